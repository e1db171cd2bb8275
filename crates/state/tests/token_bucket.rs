//! No window of length `t` contains more than `burst + rate * t` spent tokens, whatever the order of
//! grants, settlements, returns, expiries and limit changes.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crocushoist_state::ClockTime;
use crocushoist_state::GrantId;
use crocushoist_state::MICROS_PER_TOKEN;
use crocushoist_state::ShareLimit;
use crocushoist_state::TokenBucket;
use crocushoist_state::breach;

const GRANT_LIFETIME_MS: u64 = 300;

/// Step of a test schedule.
#[derive(Clone, Debug)]
enum BucketStep {
    Grant,
    Spend(usize),
    Return(usize),
    /// Spends a token without settling its grant.
    SpendUnsettled(usize),
    ChangeLimit(ShareLimit),
}

fn limit() -> impl Strategy<Value = ShareLimit> {
    (1..400_000u64, 1..40u64).prop_map(|(rate, burst)| ShareLimit {
        rate,
        burst: burst * MICROS_PER_TOKEN,
    })
}

/// A step and the milliseconds to wait before it.
fn step() -> impl Strategy<Value = (u64, BucketStep)> {
    let kind = prop_oneof![
        6 => Just(BucketStep::Grant),
        3 => any::<usize>().prop_map(BucketStep::Spend),
        1 => any::<usize>().prop_map(BucketStep::Return),
        2 => any::<usize>().prop_map(BucketStep::SpendUnsettled),
        1 => limit().prop_map(BucketStep::ChangeLimit),
    ];
    let wait = prop_oneof![5 => 0..5u64, 2 => 5..60u64, 1 => 60..700u64];
    (wait, kind)
}

/// Limits, each with the time in milliseconds at which it came into force.
type LimitHistory = Vec<(u64, ShareLimit)>;

/// Amount that may be spent from `from` to `to`: the burst and what accrues in between.
///
/// A token granted under an earlier burst may be spent after the change until its grant expires.
fn max_spent(limits: &LimitHistory, from: u64, to: u64) -> u64 {
    let mut burst = 0;
    let mut accrued = 0;
    for (index, (since, limit)) in limits.iter().enumerate() {
        let until = limits.get(index + 1).map_or(u64::MAX, |(next, _)| *next);
        if until.saturating_add(GRANT_LIFETIME_MS) >= from && *since <= to {
            burst = burst.max(limit.burst);
        }
        accrued += limit.rate * to.min(until).saturating_sub(from.max(*since));
    }
    burst + accrued
}

/// Whether any window of the sorted times `spent_at` exceeds the limits.
fn exceeds(spent_at: &[u64], limits: &LimitHistory) -> bool {
    spent_at.iter().enumerate().any(|(first, from)| {
        spent_at[first..].iter().enumerate().any(|(more, to)| {
            let spent = (more as u64 + 1) * MICROS_PER_TOKEN;
            spent > max_spent(limits, *from, *to)
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
        limit in limit(),
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut now = ClockTime::from_millis(10_000);
        let mut bucket = TokenBucket::new(limit, ClockTime::default());
        let mut limits: LimitHistory = vec![(0, limit)];
        let mut open: Vec<(GrantId, ClockTime)> = Vec::new();
        let mut spent_at = Vec::new();
        for (wait, step) in steps {
            now = now.plus(wait);
            open.retain(|(_, expires)| *expires >= now);
            match step {
                BucketStep::Grant => {
                    let expires = now.plus(GRANT_LIFETIME_MS);
                    if let Ok(id) = bucket.grant(now, expires) {
                        open.push((id, expires));
                    }
                }
                BucketStep::Spend(pick) if !open.is_empty() => {
                    let (id, _) = open.swap_remove(pick % open.len());
                    spent_at.push(now.as_millis());
                    bucket.settle(id, now);
                }
                BucketStep::Return(pick) if !open.is_empty() => {
                    let (id, _) = open.swap_remove(pick % open.len());
                    bucket.return_grant(id, now);
                }
                BucketStep::SpendUnsettled(pick) if !open.is_empty() => {
                    open.swap_remove(pick % open.len());
                    spent_at.push(now.as_millis());
                }
                BucketStep::ChangeLimit(limit) => {
                    bucket.change_limit(limit, now);
                    limits.push((now.as_millis(), limit));
                }
                _ => {}
            }
        }
        prop_assert!(!exceeds(&spent_at, &limits));
        prop_assert_eq!(breach::count(breach::BreachKind::BucketOverCap), 0);
    }
}

#[test]
fn settled_grants_do_not_reduce_the_steady_rate() {
    let limit = ShareLimit {
        rate: 100_000,
        burst: 20 * MICROS_PER_TOKEN,
    };
    let mut bucket = TokenBucket::new(limit, ClockTime::default());
    let mut served = 0;
    for milli in (1_000..11_000).step_by(10) {
        let now = ClockTime::from_millis(milli);
        if let Ok(id) = bucket.grant(now, now.plus(GRANT_LIFETIME_MS)) {
            bucket.settle(id, now.plus(5));
            served += 1;
        }
    }
    assert_eq!(served, 1_000);
}

#[test]
fn refusal_states_when_a_token_accrues() {
    let limit = ShareLimit {
        rate: 10_000,
        burst: MICROS_PER_TOKEN,
    };
    let mut bucket = TokenBucket::new(limit, ClockTime::from_millis(0));
    let wait = bucket.grant(ClockTime::from_millis(40), ClockTime::from_millis(340));
    assert_eq!(wait, Err(60));
    let granted = bucket.grant(ClockTime::from_millis(100), ClockTime::from_millis(400));
    assert!(granted.is_ok());
}
