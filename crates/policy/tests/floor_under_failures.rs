//! Load pattern: many requests of a service fail while instances recover, and
//! each host has few requests.
//!
//! The users' platform requires that 0.7 of the healthy instances get a request
//! in any two seconds while more than a tenth of a service's requests fail. An
//! instance counts as healthy two seconds after its last failure.

mod service_fixture;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::RetrySafety;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::DATA_CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::new_table;

const REPORT_INTERVAL_MS: u64 = 60;
const LATENCY_MS: u64 = 200;
const FLOOR_SHARE: f64 = 0.7;
const SEEDS: u64 = 20;

/// One data centre's part of a service and of the fleet.
#[derive(Clone, Copy)]
struct Centre {
    hosts: usize,
    instances: u64,
    /// Instances that fail all the time, listed before all others.
    faulty: usize,
    /// Instances that failed until the start and answer well since, listed after these.
    recovered: usize,
    /// Requests a second that may run once, and that may run again.
    at_most_once_per_s: f64,
    idempotent_per_s: f64,
    /// Fraction of requests at the other instances that fail.
    failure_rate: f64,
    /// Whether another attempt is affordable.
    has_retries: bool,
}

/// Fraction of the recovered instances that got a request from two to four seconds after the
/// start, and the requests that reached them.
fn play_recovery(centre: Centre, seed: u64) -> (f64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = ClockTime::from_millis(BOOT_MS);
    let mut hub = new_table(centre.instances, start);
    let keys: Vec<InstanceKey> = hub.iter().map(|(key, _)| key).collect();
    let recovered = centre.faulty..centre.faulty + centre.recovered;
    for key in &keys[..recovered.end] {
        for _ in 0..4 {
            hub.record_outcome(*key, AttemptOutcome::Failed, 5, start);
        }
    }
    let mut hosts: Vec<InstanceTable> = vec![hub.clone(); centre.hosts];
    let mut was_tried = vec![false; centre.recovered];
    let mut to_recovered = 0;
    let per_ms = (centre.at_most_once_per_s + centre.idempotent_per_s) / 1_000.0;
    let idempotent_part =
        centre.idempotent_per_s / (centre.at_most_once_per_s + centre.idempotent_per_s);
    for millis in 1..4_000 {
        let now = start.plus(millis);
        for (index, host) in hosts.iter_mut().enumerate() {
            let phase = index as u64 * REPORT_INTERVAL_MS / centre.hosts as u64;
            if millis % REPORT_INTERVAL_MS == phase {
                hub.record_trials(&host.take_used_trials(), now);
                for counts in host.take_service_counts() {
                    hub.add_service_counts(counts, now);
                }
                for trial in hub.assign_trials(DATA_CENTRE, 2, now) {
                    host.apply_trial(trial, now);
                }
            }
        }
        if rng.random::<f64>() >= per_ms {
            continue;
        }
        let retry_safety = if rng.random::<f64>() < idempotent_part {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        };
        let draws = (rng.random(), rng.random());
        let host = &mut hosts[rng.random_range(0..centre.hosts)];
        let chosen = host.choose(
            SERVICE,
            DATA_CENTRE,
            retry_safety,
            &[],
            draws,
            centre.has_retries,
            |_| true,
            now,
        );
        let key = chosen.expect("instances are listed");
        host.release(key);
        let index = key.as_u32() as usize;
        if recovered.contains(&index) {
            was_tried[index - recovered.start] |= millis >= 2_000;
            to_recovered += 1;
        } else {
            let failure_rate = if index < centre.faulty {
                1.0
            } else {
                centre.failure_rate
            };
            let is_served = rng.random::<f64>() >= failure_rate;
            let outcome = if is_served {
                AttemptOutcome::Good
            } else {
                AttemptOutcome::Failed
            };
            hub.record_outcome(key, outcome, LATENCY_MS, now);
            host.count_request(SERVICE, is_served);
        }
    }
    let tried = was_tried.iter().filter(|tried| **tried).count();
    (tried as f64 / centre.recovered as f64, to_recovered)
}

#[parameterized(
    only_at_most_once = { Centre {
        hosts: 23, instances: 15, faulty: 0, recovered: 4, at_most_once_per_s: 60.0, idempotent_per_s: 0.0,
        failure_rate: 0.2, has_retries: true,
    } },
    many_hosts_with_few_requests = { Centre {
        hosts: 62, instances: 32, faulty: 0, recovered: 8, at_most_once_per_s: 83.0, idempotent_per_s: 39.0,
        failure_rate: 0.2, has_retries: true,
    } },
    no_retries_left = { Centre {
        hosts: 62, instances: 32, faulty: 0, recovered: 8, at_most_once_per_s: 83.0, idempotent_per_s: 39.0,
        failure_rate: 0.2, has_retries: false,
    } },
)]
fn recovered_instances_get_requests_while_many_fail(centre: Centre) {
    for seed in 0..SEEDS {
        let (share, _) = play_recovery(centre, seed);
        assert!(
            share >= FLOOR_SHARE,
            "seed {seed}: {share:.2} of the recovered instances got a request"
        );
    }
}

/// Guards against trials that only reach the instances listed first, while those listed later
/// recover.
#[parameterized(
    half_faulty = { 30, 40.0, 0.0 },
    two_thirds_faulty = { 40, 60.0, 0.0 },
    few_idempotent = { 30, 20.0, 100.0 },
    few_idempotent_and_two_thirds_faulty = { 40, 30.0, 80.0 },
)]
fn recovered_instances_get_requests_beside_many_faulty_ones(
    faulty: usize,
    idempotent_per_s: f64,
    at_most_once_per_s: f64,
) {
    let centre = Centre {
        hosts: 31,
        instances: 60,
        faulty,
        recovered: 8,
        at_most_once_per_s,
        idempotent_per_s,
        failure_rate: 0.0,
        has_retries: true,
    };
    for seed in 0..SEEDS {
        let (share, _) = play_recovery(centre, seed);
        assert!(
            share >= FLOOR_SHARE,
            "seed {seed}: {share:.2} of the recovered instances got a request"
        );
    }
}

#[test]
fn at_most_once_requests_are_no_trials_while_few_fail() {
    let centre = Centre {
        hosts: 23,
        instances: 15,
        faulty: 0,
        recovered: 1,
        at_most_once_per_s: 60.0,
        idempotent_per_s: 0.0,
        failure_rate: 0.0,
        has_retries: true,
    };
    for seed in 0..SEEDS {
        let (_, to_recovered) = play_recovery(centre, seed);
        assert!(
            to_recovered == 0,
            "seed {seed}: {to_recovered} requests that may run once met a suspected instance"
        );
    }
}

#[test]
fn new_instances_get_requests_while_they_warm_up() {
    const HOSTS: usize = 62;
    const INSTANCES: u64 = 32;
    const NEW: u64 = 6;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = ClockTime::from_millis(BOOT_MS);
        let mut hub = new_table(INSTANCES, start);
        for index in 0..NEW {
            let (_, state) = hub.iter().next().expect("instances are listed");
            let listing = InstanceListing {
                id: format!("new-{index}").into(),
                warm_up_ms: 3_000,
                ..state.listing.clone()
            };
            let offset = StoreOffset::new(StoreEra::default(), INSTANCES + index);
            hub.apply_listing(offset, listing, start);
        }
        let mut hosts: Vec<InstanceTable> = vec![hub.clone(); HOSTS];
        let mut was_tried = [false; NEW as usize];
        for millis in 1..2_000 {
            let now = start.plus(millis);
            for (index, host) in hosts.iter_mut().enumerate() {
                if millis % REPORT_INTERVAL_MS == index as u64 % REPORT_INTERVAL_MS {
                    hub.record_trials(&host.take_used_trials(), now);
                    for trial in hub.assign_trials(DATA_CENTRE, 2, now) {
                        host.apply_trial(trial, now);
                    }
                }
            }
            if rng.random::<f64>() >= 0.122 {
                continue;
            }
            let draws = (rng.random(), rng.random());
            let host = &mut hosts[rng.random_range(0..HOSTS)];
            let safety = RetrySafety::AtMostOnce;
            let chosen = host.choose(
                SERVICE,
                DATA_CENTRE,
                safety,
                &[],
                draws,
                true,
                |_| true,
                now,
            );
            let key = chosen.expect("instances are listed");
            host.release(key);
            hub.record_outcome(key, AttemptOutcome::Good, LATENCY_MS, now);
            if let Some(index) = (key.as_u32() as u64).checked_sub(INSTANCES) {
                was_tried[index as usize] = true;
            }
        }
        let share = was_tried.iter().filter(|tried| **tried).count() as f64 / NEW as f64;
        assert!(
            share >= FLOOR_SHARE,
            "seed {seed}: {share:.2} of the new instances got a request"
        );
    }
}
