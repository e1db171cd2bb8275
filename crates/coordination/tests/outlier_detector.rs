//! Tests that faulty instances are ejected, that healthy ones are not, and that enough instances
//! stay in use.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use crocushoist_coordination::EjectionReason;
use crocushoist_coordination::OutlierDetector;
use crocushoist_coordination::ServiceInstance;
use crocushoist_state::ClockTime;
use crocushoist_state::InstanceOutcomes;
use crocushoist_state::breach;
use crocushoist_state::floor_count;

const INSTANCES: u16 = 20;
const FLOOR_PERCENT: u32 = 60;
const ROUND_MS: u64 = 250;

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 9_000 + index))
}

fn members(count: u16) -> Vec<ServiceInstance> {
    (0..count)
        .map(|index| ServiceInstance {
            address: address(index),
            healthy: true,
        })
        .collect()
}

/// Outcomes whose successful requests took `millis` milliseconds each.
fn outcomes(succeeded: u32, failed: u32, millis: u64) -> InstanceOutcomes {
    InstanceOutcomes {
        succeeded,
        failed,
        slow: 0,
        latency_sum: u64::from(succeeded) * millis * 1_000,
    }
}

/// Ejections after `rounds` rounds of reports.
///
/// Instance 0 has the outcomes `faulty` in the data centres `faulty_in`, all others have `usual`.
fn ejected_after(
    rounds: u64,
    faulty: InstanceOutcomes,
    faulty_in: &[&str],
    usual: InstanceOutcomes,
) -> Vec<(SocketAddr, EjectionReason)> {
    let mut detector = OutlierDetector::default();
    let members = members(INSTANCES);
    let mut now = ClockTime::from_millis(1_000_000);
    for _ in 0..rounds {
        for data_centre in ["dc1", "dc2", "dc3"] {
            for index in 0..INSTANCES {
                let is_faulty = index == 0 && faulty_in.contains(&data_centre);
                let reported = if is_faulty { faulty } else { usual };
                detector.record_outcomes(data_centre, address(index), &reported, now);
            }
        }
        detector.decide_ejections(&members, FLOOR_PERCENT, now);
        now = now.plus(ROUND_MS);
    }
    detector
        .ejection_counts()
        .map(|(address, reason, _)| (address, reason))
        .collect()
}

const ALL_DATA_CENTRES: [&str; 3] = ["dc1", "dc2", "dc3"];

#[parameterized(
    failing = { 4, outcomes(0, 1, 0), EjectionReason::Failing },
    slow = { 8, outcomes(1, 0, 10), EjectionReason::Slow },
    in_part = { 10, outcomes(3, 1, 2), EjectionReason::FailingInPart },
)]
fn faulty_instance_is_ejected(rounds: u64, faulty: InstanceOutcomes, reason: EjectionReason) {
    let ejected = ejected_after(rounds, faulty, &ALL_DATA_CENTRES, outcomes(1, 0, 2));
    assert_eq!(ejected, [(address(0), reason)]);
}

#[test]
fn instance_with_a_share_of_slow_responses_is_ejected() {
    let faulty = InstanceOutcomes {
        succeeded: 4,
        failed: 0,
        slow: 2,
        latency_sum: 30_000,
    };
    let ejected = ejected_after(10, faulty, &ALL_DATA_CENTRES, outcomes(4, 0, 2));
    assert_eq!(ejected, [(address(0), EjectionReason::Slow)]);
}

#[test]
fn failures_seen_from_one_data_centre_eject_no_instance() {
    let ejected = ejected_after(20, outcomes(0, 2, 0), &["dc2"], outcomes(2, 0, 2));
    assert_eq!(ejected, []);
}

#[parameterized(
    healthy = { outcomes(2, 0, 2) },
    all_slow = { outcomes(2, 0, 50) },
    idle = { InstanceOutcomes::default() },
)]
fn equal_instances_are_not_ejected(usual: InstanceOutcomes) {
    assert_eq!(ejected_after(40, usual, &ALL_DATA_CENTRES, usual), []);
}

#[test]
fn ejected_instance_returns_in_steps_and_is_ejected_longer_when_it_fails_again() {
    let mut detector = OutlierDetector::default();
    let members = members(INSTANCES);
    let mut now = ClockTime::from_millis(1_000_000);
    let mut weights = Vec::new();
    let mut ejection_lengths = Vec::new();
    let mut ejected_rounds = 0;
    for _ in 0..200 {
        let decisions = detector.decide_ejections(&members, FLOOR_PERCENT, now);
        if decisions.iter().all(|decision| decision.weight > 0) {
            detector.record_outcomes("dc1", address(0), &outcomes(0, 1, 0), now);
        }
        for index in 1..INSTANCES {
            detector.record_outcomes("dc1", address(index), &outcomes(3, 0, 2), now);
        }
        let decisions = detector.decide_ejections(&members, FLOOR_PERCENT, now);
        let weight = decisions.first().map_or(100, |decision| decision.weight);
        if weight == 0 {
            ejected_rounds += 1;
        } else if ejected_rounds > 0 {
            ejection_lengths.push(ejected_rounds);
            ejected_rounds = 0;
        }
        weights.push(weight);
        now = now.plus(ROUND_MS);
    }
    assert!(
        weights.contains(&5),
        "the instance returned at the first weight"
    );
    assert!(
        !weights.contains(&60),
        "it failed again before the last step"
    );
    assert!(
        ejection_lengths
            .windows(2)
            .all(|pair| pair[1] >= pair[0] * 3 / 2),
        "{ejection_lengths:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn minimum_of_healthy_instances_stays_in_use(
        count in 1..30u16,
        floor_percent in 1..101u32,
        unhealthy in 0..10u16,
        rounds in prop::collection::vec((0..4_000u64, prop::collection::vec((0..30u16, 0..6u32, 0..6u32, 1..90u64), 0..40)), 1..30),
    ) {
        let mut detector = OutlierDetector::default();
        let mut members = members(count);
        members.iter_mut().take(unhealthy as usize).for_each(|member| member.healthy = false);
        let mut now = ClockTime::from_millis(1_000_000);
        for (pause_ms, reports) in rounds {
            now = now.plus(pause_ms);
            for (index, succeeded, failed, millis) in reports {
                detector.record_outcomes("dc1", address(index), &outcomes(succeeded, failed, millis), now);
            }
            let ejected: Vec<SocketAddr> = detector
                .decide_ejections(&members, floor_percent, now)
                .into_iter()
                .filter(|decision| decision.weight == 0)
                .map(|decision| decision.address)
                .collect();
            let healthy = members
                .iter()
                .filter(|member| member.healthy && !ejected.contains(&member.address))
                .count() as u32;
            let floor = floor_count(u32::from(count), floor_percent);
            let all_healthy = members.iter().filter(|member| member.healthy).count() as u32;
            prop_assert!(healthy >= floor.min(all_healthy), "{healthy} of {count}, floor {floor}");
        }
        prop_assert_eq!(breach::count(breach::BreachKind::FloorCrossed), 0);
    }
}
