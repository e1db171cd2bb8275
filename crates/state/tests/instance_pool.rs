//! Backoffs respect the floor, slots are limited, and a draining notice outlasts an outdated listing.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crocushoist_state::ClockTime;
use crocushoist_state::InstancePool;
use crocushoist_state::breach;

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index))
}

fn pool_of(count: u16) -> InstancePool {
    let mut pool = InstancePool::default();
    for index in 0..count {
        pool.upsert("stock", address(index), "dc1", false, ClockTime::default());
    }
    pool
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn backoffs_keep_the_floor_of_usable_instances(
        count in 1..20u16,
        leaving in 0..20u16,
        floor in 1..100u32,
        failures in prop::collection::vec((0..2_000u64, any::<u64>(), any::<u64>()), 1..200),
    ) {
        let mut pool = pool_of(count);
        for index in 0..leaving.min(count) {
            pool.upsert("stock", address(index), "dc1", true, ClockTime::default());
        }
        let mut now = ClockTime::from_millis(1_000);
        for (wait, first, second) in failures {
            now = now.plus(wait);
            if let Some(id) = pool.acquire_slot("stock", "dc1", now, (first, second), &[]) {
                pool.record_failure(id, now, now, floor);
            }
            let live = pool.iter().filter(|(_, instance)| !instance.leaving).count() as u32;
            let usable = pool
                .iter()
                .filter(|(_, instance)| !instance.leaving && instance.backoff_until <= now)
                .count() as u32;
            prop_assert!(usable >= (live * floor).div_ceil(100));
        }
        prop_assert_eq!(breach::count(breach::BreachKind::FloorCrossed), 0);
    }
}

#[test]
fn slots_are_limited_and_reusable() {
    let mut pool = pool_of(2);
    let now = ClockTime::from_millis(1);
    let acquired: Vec<_> = (0..10)
        .filter_map(|draw| pool.acquire_slot("stock", "dc1", now, (draw, draw + 1), &[]))
        .collect();
    assert_eq!(acquired.len(), 6);
    pool.record_success(acquired[0], now, 1_000);
    assert!(
        pool.acquire_slot("stock", "dc1", now, (0, 1), &[])
            .is_some()
    );
    assert!(
        pool.acquire_slot("stock", "dc1", now, (0, 1), &[])
            .is_none()
    );
}

#[test]
fn draining_notice_outlasts_an_outdated_listing() {
    let mut pool = pool_of(1);
    let now = ClockTime::from_millis(1_000);
    let id = pool.acquire_slot("stock", "dc1", now, (0, 0), &[]).unwrap();
    pool.record_draining(id, now);
    pool.upsert("stock", address(0), "dc1", false, now);
    assert_eq!(
        pool.acquire_slot("stock", "dc1", now.plus(5_000), (0, 0), &[]),
        None
    );
    pool.upsert("stock", address(0), "dc1", false, now.plus(60_000));
    assert!(
        pool.acquire_slot("stock", "dc1", now.plus(60_000), (0, 0), &[])
            .is_some()
    );
}
