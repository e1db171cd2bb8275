//! Gray instances under the traffic of the sites: some eighteen instances with
//! two to six requests a second each, of which up to a third fail most requests
//! for several seconds while the others fail one in eighty.

mod service_fixture;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceBelief;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::RepeatKind;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::new_table;

const INSTANCES: u64 = 18;
const FAULTY: u64 = 5;
const FAULT_FAILS: f64 = 0.75;
const SOUND_FAILS: f64 = 0.012;
const LATENCY_MS: u64 = 200;

/// Requests to faulty instances, to all, and the instances that got none in the last two seconds.
struct PlayedFault {
    to_faulty: u64,
    sent: u64,
    idle_sound: usize,
}

/// Plays `seconds` in which the first instances are faulty, with `per_s` requests a second.
fn play(seed: u64, per_s: u64, seconds: u64) -> PlayedFault {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES, start);
    let mut last_at = vec![start; INSTANCES as usize];
    let mut played = PlayedFault {
        to_faulty: 0,
        sent: 0,
        idle_sound: 0,
    };
    let end = start.plus(seconds * 1_000);
    let mut now = start;
    while now < end {
        now = now.plus(1_000 / per_s);
        let kind = if rng.random::<f64>() < 0.3 {
            RepeatKind::Idempotent
        } else {
            RepeatKind::AtMostOnce
        };
        let draws = (rng.random(), rng.random());
        let chosen = table.choose(SERVICE, CENTRE, kind, &[], draws, true, |_| true, now);
        let key = chosen.expect("no instance is ever shut out by belief alone");
        let index = key.as_u32() as u64;
        let fails = if index < FAULTY {
            FAULT_FAILS
        } else {
            SOUND_FAILS
        };
        played.sent += 1;
        played.to_faulty += u64::from(index < FAULTY);
        last_at[index as usize] = now;
        if rng.random::<f64>() < fails {
            table.observe(key, AttemptOutcome::Failed, 5, now);
        } else {
            table.observe(key, AttemptOutcome::Good, LATENCY_MS, now);
        }
        table.release(key);
    }
    let sound = FAULTY as usize..INSTANCES as usize;
    played.idle_sound = sound
        .filter(|index| now.since(last_at[*index]) > 2_000)
        .count();
    played
}

#[test]
fn few_requests_reach_faulty_instances() {
    for seed in 0..20 {
        let played = play(seed, 100, 8);
        let share = played.to_faulty as f64 / played.sent as f64;
        // An even spread would send 28 in 100 there.
        assert!(share < 0.10, "seed {seed}: {share:.3} of the requests");
    }
}

#[test]
fn sound_instances_keep_getting_requests() {
    // The platform's floor: 0.7 of the sound instances get requests in any two seconds.
    let sound = (INSTANCES - FAULTY) as f64;
    for seed in 0..20 {
        let played = play(seed, 100, 8);
        let busy = (sound - played.idle_sound as f64) / sound;
        assert!(busy >= 0.7, "seed {seed}: {busy:.2} of the sound instances");
    }
}

#[test]
fn suspected_instances_of_a_large_service_get_trials() {
    // Sixty of 172 instances are suspected; the platform's floor is 0.7 of the
    // instances in any two seconds, and a suspected one may be sound.
    const LARGE: u64 = 172;
    const SUSPECTED: u64 = 60;
    const IDEMPOTENT_PER_S: u64 = 166;
    let start = ClockTime::from_millis(BOOT_MS);
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = new_table(LARGE, start);
        let keys: Vec<InstanceKey> = table.iter().map(|(key, _)| key).collect();
        for key in &keys[..SUSPECTED as usize] {
            table.observe(*key, AttemptOutcome::Failed, 5, start);
            table.observe(*key, AttemptOutcome::Failed, 5, start);
        }
        let mut tried = vec![false; SUSPECTED as usize];
        let mut now = start;
        while now < start.plus(2_000) {
            now = now.plus(1_000 / IDEMPOTENT_PER_S);
            let draws = (rng.random(), rng.random());
            let kind = RepeatKind::Idempotent;
            let chosen = table.choose(SERVICE, CENTRE, kind, &[], draws, true, |_| true, now);
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
            "seed {seed}: {share:.2} of the suspected instances"
        );
    }
}

#[test]
fn hub_sees_to_it_that_each_suspected_instance_is_tried() {
    // One data centre of a large fleet: 30 hosts with 41 idempotent requests a second,
    // and 15 suspected of 43 instances. An instance counts as sound two seconds after a
    // failure of its own, and shall get a request in the two seconds after that.
    const HOSTS: usize = 30;
    const NEAR: u64 = 43;
    const SUSPECTED: usize = 15;
    const PER_S: u64 = 41;
    const ANSWER_EVERY_MS: u64 = 60;
    const SEEDS: u64 = 20;
    let start = ClockTime::from_millis(BOOT_MS);
    let mut tried = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hub = new_table(NEAR, start);
        let keys: Vec<InstanceKey> = hub.iter().map(|(key, _)| key).collect();
        for key in &keys[..SUSPECTED] {
            hub.observe(*key, AttemptOutcome::Failed, 5, start);
            hub.observe(*key, AttemptOutcome::Failed, 5, start);
        }
        let mut hosts = vec![hub.clone(); HOSTS];
        let mut was_tried = [false; SUSPECTED];
        for millis in 1..4_000 {
            let now = start.plus(millis);
            let host = rng.random_range(0..HOSTS);
            if millis % (ANSWER_EVERY_MS / HOSTS as u64) == 0 {
                for hash in hub.give_trials(CENTRE, 2, now) {
                    hosts[host].take_trial(hash, now);
                }
            }
            if rng.random::<f64>() >= PER_S as f64 / 1_000.0 {
                continue;
            }
            let draws = (rng.random(), rng.random());
            let kind = RepeatKind::Idempotent;
            let host = &mut hosts[rng.random_range(0..HOSTS)];
            let chosen = host.choose(SERVICE, CENTRE, kind, &[], draws, true, |_| true, now);
            let key = chosen.expect("instances are listed");
            if let Some(tried) = was_tried.get_mut(key.as_u32() as usize) {
                *tried = true;
                hub.observe(key, AttemptOutcome::Failed, 5, now);
            }
            host.release(key);
        }
        tried += was_tried.iter().filter(|tried| **tried).count();
    }
    let share = tried as f64 / (SUSPECTED as u64 * SEEDS) as f64;
    assert!(share >= 0.97, "{share:.3} of the suspected instances");
}

#[test]
fn an_instance_that_recovered_is_trusted_within_seconds() {
    let now = ClockTime::from_millis(BOOT_MS);
    let mut belief = InstanceBelief::new(now);
    for _ in 0..20 {
        belief.observe(AttemptOutcome::Failed, now);
    }
    assert!(belief.faulty(now) > 0.9);
    let mut later = now;
    for _ in 0..3 {
        later = later.plus(1_000);
        belief.observe(AttemptOutcome::Good, later);
    }
    assert!(belief.faulty(later) < 0.25, "{}", belief.faulty(later));
}

#[parameterized(
    failure = { AttemptOutcome::Failed, true },
    unreachable = { AttemptOutcome::Unreachable, true },
    late = { AttemptOutcome::Late, false },
    good = { AttemptOutcome::Good, false },
)]
fn one_outcome_speaks_as_loud_as_it_is_rare(outcome: AttemptOutcome, suspects: bool) {
    let now = ClockTime::from_millis(BOOT_MS);
    let mut belief = InstanceBelief::new(now);
    belief.observe(outcome, now);
    assert_eq!(belief.faulty(now) > 0.5, suspects, "{}", belief.faulty(now));
}
