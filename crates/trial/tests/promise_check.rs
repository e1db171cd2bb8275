//! The check of limits finds the same overshoot as a search of every window.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crocushoist_state::WorkspaceLimit;
use crocushoist_trial::promise_check::overshoot;

/// Largest number of tokens by which a window exceeds the limit, by trying every window.
fn overshoot_by_search(admitted_at: &[u64], limit: WorkspaceLimit) -> f64 {
    let rate_per_ms = f64::from(limit.rate) / 1_000.0;
    let mut max_overshoot: f64 = 0.0;
    for (first, from) in admitted_at.iter().enumerate() {
        for (more, to) in admitted_at[first..].iter().enumerate() {
            let allowed = f64::from(limit.burst) + rate_per_ms * ((to - from) as f64 + 1.0);
            max_overshoot = max_overshoot.max((more + 1) as f64 - allowed);
        }
    }
    max_overshoot
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn overshoot_equals_search_of_every_window(
        mut admitted_at in prop::collection::vec(0..3_000u64, 1..120),
        rate in 1..60u32,
        burst in 1..40u32,
    ) {
        admitted_at.sort_unstable();
        let limit = WorkspaceLimit { rate, burst };
        let expected = overshoot_by_search(&admitted_at, limit);
        let found = overshoot(admitted_at, limit);
        prop_assert!((expected - found).abs() < 1e-6, "expected {expected}, found {found}");
    }
}

#[test]
fn one_token_beyond_the_burst_is_found() {
    let limit = WorkspaceLimit { rate: 10, burst: 5 };
    assert_eq!(overshoot(vec![100; 5], limit), 0.0);
    assert!(overshoot(vec![100; 6], limit) > 0.9);
}
