//! The checker of limits agrees with a look at every window.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crocushoist_state::WorkspaceLimit;
use crocushoist_trial::promise_check::overshoot;

/// Most tokens by which any window exceeds the limit, found the slow way.
fn slow_overshoot(admitted_at: &[u64], limit: WorkspaceLimit) -> f64 {
    let rate = f64::from(limit.rate) / 1_000.0;
    let mut worst: f64 = 0.0;
    for (first, from) in admitted_at.iter().enumerate() {
        for (more, to) in admitted_at[first..].iter().enumerate() {
            let allowed = f64::from(limit.burst) + rate * ((to - from) as f64 + 1.0);
            worst = worst.max((more + 1) as f64 - allowed);
        }
    }
    worst
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_window_is_seen(
        mut admitted_at in prop::collection::vec(0..3_000u64, 1..120),
        rate in 1..60u32,
        burst in 1..40u32,
    ) {
        admitted_at.sort_unstable();
        let limit = WorkspaceLimit { rate, burst };
        let slow = slow_overshoot(&admitted_at, limit);
        let found = overshoot(admitted_at, limit);
        prop_assert!((slow - found).abs() < 1e-6, "slow {slow}, found {found}");
    }
}

#[test]
fn one_token_too_many_is_seen() {
    let limit = WorkspaceLimit { rate: 10, burst: 5 };
    assert_eq!(overshoot(vec![100; 5], limit), 0.0);
    assert!(overshoot(vec![100; 6], limit) > 0.9);
}
