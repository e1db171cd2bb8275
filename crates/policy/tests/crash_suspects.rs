//! Requests that were in flight at instances when these crashed.

use yare::parameterized;

use crocushoist_policy::CrashSuspicion;
use crocushoist_policy::DepartureNotice;
use crocushoist_policy::MAX_CRASHES;
use crocushoist_policy::SuspectLedger;
use crocushoist_state::ClockTime;

const START: ClockTime = ClockTime::from_millis(1_000_000);
const DEADLY: u64 = 7;
const POPULAR: u64 = 8;

fn start(instance: u32) -> DepartureNotice {
    DepartureNotice {
        instance,
        started_at_unix_ms: 1,
    }
}

/// Sends all that `from` tells to `to`.
fn tell(from: &SuspectLedger, to: &mut SuspectLedger, now: ClockTime) {
    for suspicion in from.told(0.0, now) {
        to.apply(&suspicion, now);
    }
}

/// Guards against a request that crashes one instance after the other, each at another host
/// (issue 32, BUDGET).
#[test]
fn crashes_seen_by_different_hosts_add_up() {
    let mut hosts = vec![SuspectLedger::default(); 4];
    for (number, host) in hosts.iter_mut().take(3).enumerate() {
        host.record_crash(DEADLY, start(number as u32), START);
    }
    let now = START.plus(100);
    for from in 0..3 {
        let told = hosts[from].clone();
        for host in &mut hosts {
            tell(&told, host, now);
        }
    }
    for host in &hosts {
        assert_eq!(host.crash_count(DEADLY, now), MAX_CRASHES);
        assert_eq!(host.refused_count(now), 1);
    }
}

/// Guards against one crash that counts several times because several hosts had requests with the
/// same content in flight there (issue 32, BUDGET).
#[test]
fn one_crash_counts_once_however_many_hosts_saw_it() {
    let mut ledger = SuspectLedger::default();
    for _ in 0..5 {
        ledger.record_crash(DEADLY, start(1), START);
        let other = ledger.clone();
        tell(&other, &mut ledger, START);
    }
    assert_eq!(ledger.crash_count(DEADLY, START), 1);
}

/// Guards against a popular sound request that is refused because it was in flight at crashes
/// (issue 32, BUDGET).
#[test]
fn success_at_any_host_ends_the_suspicion_at_all() {
    let mut first = SuspectLedger::default();
    let mut second = SuspectLedger::default();
    for number in 0..2 {
        first.record_crash(POPULAR, start(number), START);
    }
    tell(&first, &mut second, START);
    assert!(second.record_success(POPULAR, START));
    // What was told before the success arrives after it.
    let earlier = first.told(0.0, START);
    tell(&second, &mut first, START);
    assert_eq!(first.crash_count(POPULAR, START), 0);
    second.apply(&earlier[0], START);
    assert_eq!(second.crash_count(POPULAR, START), 0);
    assert!(!second.record_crash(POPULAR, start(9), START));
}

/// Guards against a popular sound request that all hosts refuse because it was in flight at crashes
/// that different hosts saw, before any of them served it again (issue 32, BUDGET).
#[parameterized(
    before_the_crashes = { 0, 400, 0 },
    after_the_crashes = { 700, 400, 0 },
    long_before_the_crashes = { 0, 30_000, 3 },
)]
fn request_that_succeeded_lately_is_not_refused(success: u64, crashes: u64, expected: usize) {
    let mut hosts = vec![SuspectLedger::default(); 4];
    let success_at = START.plus(success);
    let crashed_at = START.plus(crashes);
    if success < crashes {
        hosts[3].record_success(POPULAR, success_at);
    }
    for (number, host) in hosts.iter_mut().take(3).enumerate() {
        host.record_crash(POPULAR, start(number as u32), crashed_at);
    }
    if success >= crashes {
        hosts[3].record_success(POPULAR, success_at);
    }
    let mut now = success_at.max(crashed_at);
    for _ in 0..4 {
        now = now.plus(60);
        for from in 0..hosts.len() {
            let told = hosts[from].clone();
            for host in &mut hosts {
                tell(&told, host, now);
            }
        }
    }
    for host in &hosts {
        assert_eq!(host.crash_count(POPULAR, now), expected);
    }
}

/// Guards against requests that are blamed for a crash after which they were sent (issue 32, BUDGET).
#[test]
fn hosts_know_which_start_had_crashed() {
    let mut first = SuspectLedger::default();
    let mut second = SuspectLedger::default();
    first.record_success(POPULAR, START);
    first.record_crash(POPULAR, start(1), START.plus(100));
    first.record_crash(DEADLY, start(1), START.plus(110));
    tell(&first, &mut second, START.plus(200));
    for ledger in [&first, &second] {
        assert!(ledger.had_crashed(start(1), START.plus(111)));
        assert!(!ledger.had_crashed(start(1), START.plus(100)));
        assert!(!ledger.had_crashed(start(2), START.plus(200)));
    }
}

/// Guards against memory that grows with the number of crashes.
#[test]
fn many_crashes_leave_the_latest_ones_known() {
    let mut ledger = SuspectLedger::default();
    for number in 0..5_000 {
        ledger.record_crash(DEADLY, start(number), START.plus(number.into()));
    }
    let now = START.plus(10_000);
    let known = (0..5_000).filter(|number| ledger.had_crashed(start(*number), now));
    assert!(known.count() <= 1_024);
    assert!(ledger.had_crashed(start(4_999), now));
}

/// Guards against a memory of successes that grows with the number of requests.
#[test]
fn many_successes_leave_a_deadly_request_refused() {
    let mut ledger = SuspectLedger::default();
    for request in 100..100_000 {
        ledger.record_success(request, START.plus(request / 10));
    }
    let now = START.plus(10_000);
    for number in 0..3 {
        ledger.record_crash(DEADLY, start(number), now);
        ledger.record_crash(100, start(number), now);
        ledger.record_crash(99_999, start(number), now);
    }
    assert_eq!(ledger.crash_count(DEADLY, now), MAX_CRASHES);
    assert_eq!(ledger.crash_count(100, now), MAX_CRASHES);
    assert_eq!(ledger.crash_count(99_999, now), 0);
}

#[parameterized(
    refused_for_minutes = { 3, 299_000, 3 },
    refused_no_longer = { 3, 301_000, 0 },
    suspected_for_a_minute = { 2, 59_000, 2 },
    suspected_no_longer = { 2, 61_000, 0 },
)]
fn suspicion_ends_by_time(crashes: u32, millis: u64, expected: usize) {
    let mut ledger = SuspectLedger::default();
    for number in 0..crashes {
        ledger.record_crash(DEADLY, start(number), START);
    }
    assert_eq!(ledger.crash_count(DEADLY, START.plus(millis)), expected);
}

/// Guards against hosts that remind each other of a suspicion for ever.
#[test]
fn hosts_that_tell_each_other_forget_together() {
    let mut first = SuspectLedger::default();
    let mut second = SuspectLedger::default();
    for number in 0..3 {
        first.record_crash(DEADLY, start(number), START);
    }
    let mut now = START;
    while now.since(START) < 302_000 {
        now = now.plus(60);
        tell(&first, &mut second, now);
        tell(&second, &mut first, now);
    }
    assert_eq!(first.crash_count(DEADLY, now), 0);
    assert_eq!(second.crash_count(DEADLY, now), 0);
}

/// Guards against memory that grows with the number of requests, and a deadly one that many sound
/// ones push out.
#[test]
fn many_suspects_do_not_push_out_a_refused_request() {
    let mut ledger = SuspectLedger::default();
    for number in 0..3 {
        ledger.record_crash(DEADLY, start(number), START);
    }
    for request in 100..10_000 {
        ledger.record_crash(request, start(50), START.plus(request));
    }
    let now = START.plus(10_000);
    assert_eq!(ledger.crash_count(DEADLY, now), 3);
    assert!(ledger.told(0.99, now).len() <= 16);
    assert_eq!(ledger.crash_count(100, now), 0);
}

#[parameterized(
    many_crashes = { 4, u32::MAX, 1_000, 0 },
    future_age = { 5, 0, 3, u64::MAX },
)]
fn odd_messages_are_bounded(request: u64, round: u32, crashes: u32, age_ms: u64) {
    let mut ledger = SuspectLedger::default();
    let told = CrashSuspicion {
        request,
        round,
        crashed: (0..crashes).map(start).collect(),
        age_ms,
    };
    ledger.apply(&told, START);
    assert!(ledger.crash_count(request, START) <= MAX_CRASHES);
    ledger.record_success(request, START);
}
