//! Load pattern: all hosts of a data centre lose their hub's knowledge at once
//! and would read the store together.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use crocushoist_policy::ReadSharing;
use crocushoist_policy::StoreReadPacer;
use crocushoist_state::ClockTime;

/// Milliseconds between the checks of a host.
const CHECK_INTERVAL_MS: u64 = 100;

/// Length in milliseconds of the outage that is played.
const OUTAGE_MS: u64 = 5_000;

/// Mean number of hosts that start a read at one check.
const READERS_PER_CHECK: f64 = 0.5;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + millis)
}

/// Number of reads that `hosts` hosts start while every read fails.
fn reads_during_outage(hosts: usize, sharing: impl Fn(usize) -> ReadSharing, seed: u64) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pacers = vec![StoreReadPacer::new(READERS_PER_CHECK); hosts];
    let mut reads = 0;
    for millis in (0..OUTAGE_MS).step_by(CHECK_INTERVAL_MS as usize) {
        for pacer in &mut pacers {
            if pacer.is_due(sharing(hosts), random.random(), at(millis)) {
                pacer.record_read(false, at(millis));
                reads += 1;
            }
        }
    }
    reads
}

#[parameterized(small = { 14 }, large = { 62 }, planned = { 78 })]
fn reads_of_a_data_centre_do_not_grow_with_its_hosts(hosts: usize) {
    for seed in 0..20 {
        let reads = reads_during_outage(hosts, ReadSharing::Hub, seed);
        // Half a reader at each of the 50 checks, and room for random variation.
        assert!(reads <= 50, "seed {seed}: {reads} reads by {hosts} hosts");
    }
}

#[parameterized(small = { 14 }, large = { 62 })]
fn some_host_reads_within_a_second(hosts: usize) {
    let mut late = 0;
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let pacer = StoreReadPacer::new(READERS_PER_CHECK);
        let checks = 10;
        let is_read = (0..checks * hosts)
            .any(|_| pacer.is_due(ReadSharing::Hub(hosts), random.random(), at(0)));
        late += usize::from(!is_read);
    }
    // The chance of ten checks without any reader is 0.7%.
    assert!(late <= 6, "{late} of 200 data centres had no reader");
}

#[test]
fn host_that_no_hub_answers_reads_at_once_and_backs_off() {
    let alone = reads_during_outage(1, |_| ReadSharing::Alone, 1);
    assert!((3..=6).contains(&alone), "{alone} reads");
    let idle = reads_during_outage(1, |_| ReadSharing::AloneAndIdle, 1);
    assert_eq!(idle, 2);
}

/// Guards against an idle host that no hub answers and that learns too late of a version or of an
/// instance that leaves (review cases 1 and 3).
#[parameterized(config = { 1_400 }, instances = { 1_000 })]
fn idle_host_without_a_hub_reads_before_its_knowledge_is_too_old(stale_ms: u64) {
    /// Milliseconds within which a host must know what the store confirmed.
    const MAX_AGE_MS: u64 = 2_000;
    let mut pacer = StoreReadPacer::new(READERS_PER_CHECK);
    let mut known_at = 0;
    for millis in (0..60_000).step_by(CHECK_INTERVAL_MS as usize) {
        let is_stale = millis - known_at > stale_ms;
        if is_stale && pacer.is_due(ReadSharing::AloneAndIdle, 0.5, at(millis)) {
            pacer.record_read(true, at(millis));
            known_at = millis;
        }
        let age = millis - known_at;
        assert!(age <= MAX_AGE_MS, "{age} ms old after {millis} ms");
    }
}

#[test]
fn host_whose_read_succeeded_goes_on_in_place_of_its_hub() {
    let mut pacer = StoreReadPacer::new(READERS_PER_CHECK);
    assert!(!pacer.is_substitute(at(0)));
    pacer.record_read(true, at(0));
    assert!(!pacer.is_substitute(at(100)));
    assert!(pacer.is_substitute(at(500)));
    pacer.record_read(false, at(500));
    assert!(!pacer.is_substitute(at(1_000)));
    pacer.record_read(true, at(1_500));
    assert!(
        !pacer.is_substitute(at(4_000)),
        "a read long ago shows nothing"
    );
}
