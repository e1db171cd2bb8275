//! The judge ejects the faulty, spares the others and keeps to the floor.

use std::net::SocketAddr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yare::parameterized;

use crocushoist_coordination::EjectionReason;
use crocushoist_coordination::JudgedMember;
use crocushoist_coordination::ServiceJudge;
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

fn members(count: u16) -> Vec<JudgedMember> {
    (0..count)
        .map(|index| JudgedMember {
            address: address(index),
            healthy: true,
        })
        .collect()
}

fn evidence(succeeded: u32, failed: u32, millis: u64) -> InstanceOutcomes {
    InstanceOutcomes {
        succeeded,
        failed,
        slow: 0,
        latency_sum: u64::from(succeeded) * millis * 1_000,
    }
}

/// Rounds in which instance 0 shows `faulty` in the data centres `seen_in`, the others `usual`.
fn ejected_after(
    rounds: u64,
    faulty: InstanceOutcomes,
    seen_in: &[&str],
    usual: InstanceOutcomes,
) -> Vec<(SocketAddr, EjectionReason)> {
    let mut judge = ServiceJudge::default();
    let members = members(INSTANCES);
    let mut now = ClockTime::from_millis(1_000_000);
    for _ in 0..rounds {
        for centre in ["dc1", "dc2", "dc3"] {
            for index in 0..INSTANCES {
                let is_faulty = index == 0 && seen_in.contains(&centre);
                let shown = if is_faulty { faulty } else { usual };
                judge.note(centre, address(index), &shown, now);
            }
        }
        judge.judge(&members, FLOOR_PERCENT, now);
        now = now.plus(ROUND_MS);
    }
    judge
        .ejections()
        .map(|(address, reason, _)| (address, reason))
        .collect()
}

const EVERYWHERE: [&str; 3] = ["dc1", "dc2", "dc3"];

#[parameterized(
    failing = { 4, evidence(0, 1, 0), EjectionReason::Failing },
    slow = { 8, evidence(1, 0, 10), EjectionReason::Slow },
    in_part = { 10, evidence(3, 1, 2), EjectionReason::FailingInPart },
)]
fn faulty_instance_is_ejected(rounds: u64, faulty: InstanceOutcomes, reason: EjectionReason) {
    let ejected = ejected_after(rounds, faulty, &EVERYWHERE, evidence(1, 0, 2));
    assert_eq!(ejected, [(address(0), reason)]);
}

#[test]
fn instance_that_is_slow_in_part_is_ejected() {
    let faulty = InstanceOutcomes {
        succeeded: 4,
        failed: 0,
        slow: 2,
        latency_sum: 30_000,
    };
    let ejected = ejected_after(10, faulty, &EVERYWHERE, evidence(4, 0, 2));
    assert_eq!(ejected, [(address(0), EjectionReason::Slow)]);
}

#[test]
fn fault_of_one_path_ejects_nobody() {
    let ejected = ejected_after(20, evidence(0, 2, 0), &["dc2"], evidence(2, 0, 2));
    assert_eq!(ejected, []);
}

#[parameterized(
    calm = { evidence(2, 0, 2) },
    all_slow = { evidence(2, 0, 50) },
    idle = { InstanceOutcomes::default() },
)]
fn equal_instances_are_left_alone(usual: InstanceOutcomes) {
    assert_eq!(ejected_after(40, usual, &EVERYWHERE, usual), []);
}

#[test]
fn ejected_instance_returns_by_steps_and_stays_away_longer_when_it_fails_again() {
    let mut judge = ServiceJudge::default();
    let members = members(INSTANCES);
    let mut now = ClockTime::from_millis(1_000_000);
    let mut weights = Vec::new();
    let mut away = Vec::new();
    let mut ejected_rounds = 0;
    for _ in 0..200 {
        let verdicts = judge.judge(&members, FLOOR_PERCENT, now);
        if verdicts.iter().all(|verdict| verdict.weight > 0) {
            judge.note("dc1", address(0), &evidence(0, 1, 0), now);
        }
        for index in 1..INSTANCES {
            judge.note("dc1", address(index), &evidence(3, 0, 2), now);
        }
        let verdicts = judge.judge(&members, FLOOR_PERCENT, now);
        let weight = verdicts.first().map_or(100, |verdict| verdict.weight);
        if weight == 0 {
            ejected_rounds += 1;
        } else if ejected_rounds > 0 {
            away.push(ejected_rounds);
            ejected_rounds = 0;
        }
        weights.push(weight);
        now = now.plus(ROUND_MS);
    }
    assert!(
        weights.contains(&5),
        "the instance came back at a small weight"
    );
    assert!(!weights.contains(&60), "it failed before it gained more");
    assert!(
        away.windows(2).all(|pair| pair[1] >= pair[0] * 3 / 2),
        "{away:?}"
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
    fn floor_holds_whatever_fails(
        count in 1..30u16,
        floor_percent in 1..101u32,
        unhealthy in 0..10u16,
        rounds in prop::collection::vec((0..4_000u64, prop::collection::vec((0..30u16, 0..6u32, 0..6u32, 1..90u64), 0..40)), 1..30),
    ) {
        let mut judge = ServiceJudge::default();
        let mut members = members(count);
        members.iter_mut().take(unhealthy as usize).for_each(|member| member.healthy = false);
        let mut now = ClockTime::from_millis(1_000_000);
        for (wait, shown) in rounds {
            now = now.plus(wait);
            for (index, succeeded, failed, millis) in shown {
                judge.note("dc1", address(index), &evidence(succeeded, failed, millis), now);
            }
            let ejected: Vec<SocketAddr> = judge
                .judge(&members, floor_percent, now)
                .into_iter()
                .filter(|verdict| verdict.weight == 0)
                .map(|verdict| verdict.address)
                .collect();
            let healthy = members
                .iter()
                .filter(|member| member.healthy && !ejected.contains(&member.address))
                .count() as u32;
            let floor = floor_count(u32::from(count), floor_percent);
            let could = members.iter().filter(|member| member.healthy).count() as u32;
            prop_assert!(healthy >= floor.min(could), "{healthy} of {count}, floor {floor}");
        }
        prop_assert_eq!(breach::count(breach::BreachKind::FloorCrossed), 0);
    }
}
