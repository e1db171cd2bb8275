//! No window of spent tokens exceeds `burst + rate * t`, whatever the order of grants, ends and limits.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::ShareLimit;
use crocushoist_state::TOKEN_MICROS;
use crocushoist_state::TokenBucket;
use crocushoist_state::breach;

const LIFE_MS: u64 = 300;

/// Step of a schedule, with the milliseconds before it.
#[derive(Clone, Debug)]
enum BucketStep {
    Grant,
    Spend(usize),
    GiveBack(usize),
    SpendWithoutWord(usize),
}

fn step() -> impl Strategy<Value = (u64, BucketStep)> {
    let kind = prop_oneof![
        6 => Just(BucketStep::Grant),
        3 => any::<usize>().prop_map(BucketStep::Spend),
        1 => any::<usize>().prop_map(BucketStep::GiveBack),
        2 => any::<usize>().prop_map(BucketStep::SpendWithoutWord),
    ];
    let wait = prop_oneof![5 => 0..5u64, 2 => 5..60u64, 1 => 60..700u64];
    (wait, kind)
}

/// Whether some window of the sorted `spent_at` exceeds the limit.
fn exceeds(spent_at: &[u64], limit: ShareLimit) -> bool {
    spent_at.iter().enumerate().any(|(first, from)| {
        spent_at[first..].iter().enumerate().any(|(more, to)| {
            let spent = (more as u64 + 1) * TOKEN_MICROS;
            spent > limit.burst + limit.rate * (to - from)
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_exceeds_the_limit(
        rate in 1..400_000u64,
        burst in 1..40u64,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let limit = ShareLimit { rate, burst: burst * TOKEN_MICROS };
        let mut now = ClockTime::from_millis(10_000);
        let mut bucket = TokenBucket::new(limit, ClockTime::default());
        let mut open: Vec<(GrantId, ClockTime)> = Vec::new();
        let mut spent_at = Vec::new();
        for (wait, step) in steps {
            now = now.plus(wait);
            open.retain(|(_, expires)| *expires >= now);
            match step {
                BucketStep::Grant => {
                    let expires = now.plus(LIFE_MS);
                    if let Ok(id) = bucket.grant(now, expires) {
                        open.push((id, expires));
                    }
                }
                BucketStep::Spend(pick) if !open.is_empty() => {
                    let (id, _) = open.swap_remove(pick % open.len());
                    spent_at.push(now.as_millis());
                    bucket.settle(id, now);
                }
                BucketStep::GiveBack(pick) if !open.is_empty() => {
                    let (id, _) = open.swap_remove(pick % open.len());
                    bucket.take_back(id, now);
                }
                BucketStep::SpendWithoutWord(pick) if !open.is_empty() => {
                    open.swap_remove(pick % open.len());
                    spent_at.push(now.as_millis());
                }
                _ => {}
            }
        }
        prop_assert!(!exceeds(&spent_at, limit));
        prop_assert_eq!(breach::count(breach::BreachKind::BucketOverCap), 0);
    }
}

#[test]
fn steady_rate_is_not_held_down_by_settled_grants() {
    let limit = ShareLimit {
        rate: 100_000,
        burst: 20 * TOKEN_MICROS,
    };
    let mut bucket = TokenBucket::new(limit, ClockTime::default());
    let mut served = 0;
    for milli in (1_000..11_000).step_by(10) {
        let now = ClockTime::from_millis(milli);
        if let Ok(id) = bucket.grant(now, now.plus(LIFE_MS)) {
            bucket.settle(id, now.plus(5));
            served += 1;
        }
    }
    assert_eq!(served, 1_000);
}

#[test]
fn refusal_tells_when_a_token_accrues() {
    let limit = ShareLimit {
        rate: 10_000,
        burst: TOKEN_MICROS,
    };
    let mut bucket = TokenBucket::new(limit, ClockTime::from_millis(0));
    let wait = bucket.grant(ClockTime::from_millis(40), ClockTime::from_millis(340));
    assert_eq!(wait, Err(60));
    let granted = bucket.grant(ClockTime::from_millis(100), ClockTime::from_millis(400));
    assert!(granted.is_ok());
}
