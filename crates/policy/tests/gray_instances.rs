//! Gray failures under traffic like that of the users' sites: about 18
//! instances with two to six requests a second each. Up to a third of them fail
//! most requests for several seconds, while the others fail one in 80. Further
//! tests use a larger service, of which 60 of 172 instances are suspected, and
//! one data centre of a large fleet.
//!
//! The users' platform counts an instance as healthy two seconds after its last
//! failure, and requires that 0.7 of the healthy instances get requests in any
//! two seconds.
//!
//! Instance keys number the instances from 0 in the order of their insertion.

mod service_fixture;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::FaultEstimate;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::RetrySafety;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::DATA_CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::new_table;

const INSTANCES: u64 = 18;
/// The faulty instances are the first ones.
const FAULTY: u64 = 5;
const FAULTY_FAILURE_RATE: f64 = 0.75;
const HEALTHY_FAILURE_RATE: f64 = 0.012;
const LATENCY_MS: u64 = 200;

/// Requests to faulty instances and to all, and the healthy instances without a request in the
/// last two seconds.
struct FaultOutcome {
    to_faulty: u64,
    sent: u64,
    idle_healthy: usize,
}

/// Simulates `seconds` with `per_s` requests a second, in which the first instances are faulty.
fn simulate_fault(seed: u64, per_s: u64, seconds: u64) -> FaultOutcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES, start);
    let mut last_at = vec![start; INSTANCES as usize];
    let mut result = FaultOutcome {
        to_faulty: 0,
        sent: 0,
        idle_healthy: 0,
    };
    let end = start.plus(seconds * 1_000);
    let mut now = start;
    while now < end {
        now = now.plus(1_000 / per_s);
        let retry_safety = if rng.random::<f64>() < 0.3 {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        };
        let draws = (rng.random(), rng.random());
        let chosen = table.choose(
            SERVICE,
            DATA_CENTRE,
            retry_safety,
            &[],
            draws,
            true,
            |_| true,
            now,
        );
        let key = chosen.expect("every instance stays eligible whatever its fault estimate");
        let index = key.as_u32() as u64;
        let failure_rate = if index < FAULTY {
            FAULTY_FAILURE_RATE
        } else {
            HEALTHY_FAILURE_RATE
        };
        result.sent += 1;
        result.to_faulty += u64::from(index < FAULTY);
        last_at[index as usize] = now;
        if rng.random::<f64>() < failure_rate {
            table.record_outcome(key, AttemptOutcome::Failed, 5, now);
        } else {
            table.record_outcome(key, AttemptOutcome::Good, LATENCY_MS, now);
        }
        table.release(key);
    }
    let healthy = FAULTY as usize..INSTANCES as usize;
    result.idle_healthy = healthy
        .filter(|index| now.since(last_at[*index]) > 2_000)
        .count();
    result
}

#[test]
fn few_requests_reach_faulty_instances() {
    for seed in 0..20 {
        let result = simulate_fault(seed, 100, 8);
        let share = result.to_faulty as f64 / result.sent as f64;
        // An even distribution would send them 28 % of the requests.
        assert!(
            share < 0.10,
            "seed {seed}: {share:.3} of the requests reached faulty instances"
        );
    }
}

#[test]
fn healthy_instances_keep_getting_requests() {
    // The platform requires this of 0.7 of them in any two seconds.
    let healthy = (INSTANCES - FAULTY) as f64;
    for seed in 0..20 {
        let result = simulate_fault(seed, 100, 8);
        let busy = (healthy - result.idle_healthy as f64) / healthy;
        assert!(
            busy >= 0.7,
            "seed {seed}: {busy:.2} of the healthy instances got a request"
        );
    }
}

#[test]
fn suspected_instances_of_a_large_service_get_trials() {
    // 60 of 172 instances are suspected, after two failures of 5 ms each. A suspected instance may
    // be healthy, so 0.7 of them must get a request in two seconds.
    const INSTANCES_IN_SERVICE: u64 = 172;
    const SUSPECTED: u64 = 60;
    const IDEMPOTENT_PER_S: u64 = 166;
    let start = ClockTime::from_millis(BOOT_MS);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = new_table(INSTANCES_IN_SERVICE, start);
        let keys: Vec<InstanceKey> = table.iter().map(|(key, _)| key).collect();
        for key in &keys[..SUSPECTED as usize] {
            table.record_outcome(*key, AttemptOutcome::Failed, 5, start);
            table.record_outcome(*key, AttemptOutcome::Failed, 5, start);
        }
        let mut tried = vec![false; SUSPECTED as usize];
        let mut now = start;
        while now < start.plus(2_000) {
            now = now.plus(1_000 / IDEMPOTENT_PER_S);
            let draws = (rng.random(), rng.random());
            let retry_safety = RetrySafety::Idempotent;
            let chosen = table.choose(
                SERVICE,
                DATA_CENTRE,
                retry_safety,
                &[],
                draws,
                true,
                |_| true,
                now,
            );
            let key = chosen.expect("instances are listed");
            if let Some(was_tried) = tried.get_mut(key.as_u32() as usize) {
                *was_tried = true;
            }
            table.release(key);
        }
        let count = tried.iter().filter(|was_tried| **was_tried).count();
        let share = count as f64 / SUSPECTED as f64;
        assert!(
            share >= 0.7,
            "seed {seed}: {share:.2} of the suspected instances got a request"
        );
    }
}

#[test]
fn hub_assigns_trials_of_each_suspected_instance() {
    // One data centre of a large fleet: 30 hosts with 41 idempotent requests a second, and 15
    // of 43 instances suspected. An instance counts as healthy two seconds after its last failure
    // and must get a request in the following two seconds, so the run lasts four seconds.
    const HOSTS: usize = 30;
    const INSTANCES_IN_CENTRE: u64 = 43;
    const SUSPECTED: usize = 15;
    const PER_S: u64 = 41;
    const REPORT_INTERVAL_MS: u64 = 60;
    const SEEDS: u64 = 20;
    let start = ClockTime::from_millis(BOOT_MS);
    let mut tried = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hub = new_table(INSTANCES_IN_CENTRE, start);
        let keys: Vec<InstanceKey> = hub.iter().map(|(key, _)| key).collect();
        for key in &keys[..SUSPECTED] {
            hub.record_outcome(*key, AttemptOutcome::Failed, 5, start);
            hub.record_outcome(*key, AttemptOutcome::Failed, 5, start);
        }
        let mut hosts = vec![hub.clone(); HOSTS];
        let mut was_tried = [false; SUSPECTED];
        for millis in 1..4_000 {
            let now = start.plus(millis);
            let host = rng.random_range(0..HOSTS);
            if millis % (REPORT_INTERVAL_MS / HOSTS as u64) == 0 {
                for hash in hub.assign_trials(DATA_CENTRE, 2, now) {
                    hosts[host].apply_trial(hash, now);
                }
            }
            if rng.random::<f64>() >= PER_S as f64 / 1_000.0 {
                continue;
            }
            let draws = (rng.random(), rng.random());
            let retry_safety = RetrySafety::Idempotent;
            let host = &mut hosts[rng.random_range(0..HOSTS)];
            let chosen = host.choose(
                SERVICE,
                DATA_CENTRE,
                retry_safety,
                &[],
                draws,
                true,
                |_| true,
                now,
            );
            let key = chosen.expect("instances are listed");
            if let Some(tried) = was_tried.get_mut(key.as_u32() as usize) {
                *tried = true;
                hub.record_outcome(key, AttemptOutcome::Failed, 5, now);
            }
            host.release(key);
        }
        tried += was_tried.iter().filter(|tried| **tried).count();
    }
    let share = tried as f64 / (SUSPECTED as u64 * SEEDS) as f64;
    assert!(
        share >= 0.97,
        "{share:.3} of the suspected instances got a request"
    );
}

#[test]
fn recovered_instance_counts_as_healthy_within_seconds() {
    let now = ClockTime::from_millis(BOOT_MS);
    let mut estimate = FaultEstimate::new(now);
    for _ in 0..20 {
        estimate.record_outcome(AttemptOutcome::Failed, now);
    }
    assert!(estimate.probability(now) > 0.9);
    let mut later = now;
    for _ in 0..3 {
        later = later.plus(1_000);
        estimate.record_outcome(AttemptOutcome::Good, later);
    }
    assert!(
        estimate.probability(later) < 0.25,
        "{}",
        estimate.probability(later)
    );
}

#[parameterized(
    failure = { AttemptOutcome::Failed, true },
    unreachable = { AttemptOutcome::Unreachable, true },
    late = { AttemptOutcome::Late, false },
    good = { AttemptOutcome::Good, false },
)]
fn first_outcome_makes_an_instance_suspected_only_if_it_failed(
    outcome: AttemptOutcome,
    is_suspected: bool,
) {
    let now = ClockTime::from_millis(BOOT_MS);
    let mut estimate = FaultEstimate::new(now);
    estimate.record_outcome(outcome, now);
    assert_eq!(
        estimate.probability(now) > 0.5,
        is_suspected,
        "{}",
        estimate.probability(now)
    );
}
