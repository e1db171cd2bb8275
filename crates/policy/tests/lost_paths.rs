//! Failed connections and silent attempts of hosts that may have lost their path to instances.
//!
//! Instance keys number the instances from 0 in the order of their insertion.

mod service_fixture;

use cranelift_entity::EntityRef;
use yare::parameterized;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::PathChange;
use crocushoist_policy::PathContact;
use crocushoist_policy::PathMonitor;
use crocushoist_policy::RetrySafety;
use crocushoist_policy::UnconfirmedOutcome;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::DATA_CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::new_table;

/// Instances of the service.
const INSTANCES: usize = 18;

/// Milliseconds that a connection attempt takes until it fails.
const CONNECT_MS: u64 = 250;

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(BOOT_MS + millis)
}

fn key(index: usize) -> InstanceKey {
    InstanceKey::new(index)
}

/// Records a failure after `millis` at the instance `index`.
fn fail(
    monitor: &mut PathMonitor,
    index: usize,
    outcome: AttemptOutcome,
    millis: u64,
) -> Option<PathChange> {
    let failure = UnconfirmedOutcome {
        key: key(index),
        outcome,
        contact: match outcome {
            AttemptOutcome::Unreachable => PathContact::NewConnection,
            _ => PathContact::OpenConnection,
        },
        latency_ms: CONNECT_MS,
        failed_at: at(millis),
    };
    monitor.record_failure(SERVICE, failure, INSTANCES).1
}

/// Records that the instance `index` was reached after `millis`; returns the confirmed instances.
fn reach(
    monitor: &mut PathMonitor,
    index: usize,
    contact: PathContact,
    millis: u64,
) -> (Vec<InstanceKey>, Option<PathChange>) {
    let (confirmed, change) = monitor.record_contact(SERVICE, key(index), contact, at(millis));
    let keys = confirmed.iter().map(|failure| failure.key);
    (keys.collect(), change)
}

// Guards against instances being taken for faulty by the whole fleet because one host lost its
// path to all of them.
#[test]
fn failures_of_a_host_without_a_path_never_count() {
    let mut monitor = PathMonitor::default();
    let unreachable = AttemptOutcome::Unreachable;
    assert_eq!(fail(&mut monitor, 0, unreachable, 300), None);
    assert_eq!(fail(&mut monitor, 1, AttemptOutcome::Failed, 310), None);
    assert_eq!(fail(&mut monitor, 2, unreachable, 500), None);
    assert_eq!(
        fail(&mut monitor, 3, unreachable, 700),
        Some(PathChange::Lost)
    );
    assert!(monitor.is_lost(SERVICE));
    fail(&mut monitor, 4, unreachable, 2_000);
    let (confirmed, change) = reach(&mut monitor, 5, PathContact::NewConnection, 2_300);
    assert_eq!((confirmed, change), (vec![], Some(PathChange::Back)));
    // This attempt began before the path was back.
    fail(&mut monitor, 6, unreachable, 2_400);
    let (confirmed, _) = reach(&mut monitor, 7, PathContact::NewConnection, 2_500);
    assert_eq!(confirmed, []);
    assert!(!monitor.is_lost(SERVICE));
}

#[parameterized(
    unreachable_then_connected = {AttemptOutcome::Unreachable, PathContact::NewConnection, true },
    unreachable_then_responded = {AttemptOutcome::Unreachable, PathContact::OpenConnection, false },
    broken_off_then_responded = {AttemptOutcome::Failed, PathContact::OpenConnection, true },
)]
fn failure_counts_once_another_instance_is_reached(
    outcome: AttemptOutcome,
    contact: PathContact,
    counts: bool,
) {
    let mut monitor = PathMonitor::default();
    reach(&mut monitor, 1, contact, 100);
    fail(&mut monitor, 0, outcome, 300);
    let (confirmed, _) = reach(&mut monitor, 0, contact, 310);
    assert_eq!(confirmed, [], "the instance itself confirms nothing");
    let (confirmed, _) = reach(&mut monitor, 1, contact, 320);
    assert_eq!(confirmed, if counts { vec![key(0)] } else { vec![] });
}

// Guards against slow instances that stay unsuspected because all others are slow too.
#[test]
fn late_response_counts_when_it_arrives() {
    let mut monitor = PathMonitor::default();
    for index in 0..INSTANCES {
        fail(&mut monitor, index, AttemptOutcome::Late, 600);
    }
    let (confirmed, _) = reach(&mut monitor, 0, PathContact::OpenConnection, 700);
    assert_eq!(confirmed.len(), INSTANCES, "the path is sound");
    let mut monitor = PathMonitor::default();
    fail(&mut monitor, 0, AttemptOutcome::Late, 600);
    let (confirmed, _) = reach(&mut monitor, 0, PathContact::OpenConnection, 700);
    assert_eq!(confirmed, [key(0)]);
}

#[test]
fn failures_wait_for_as_many_contacts_and_expire() {
    let mut monitor = PathMonitor::default();
    fail(&mut monitor, 0, AttemptOutcome::Unreachable, 300);
    fail(&mut monitor, 1, AttemptOutcome::Unreachable, 310);
    let (confirmed, _) = reach(&mut monitor, 2, PathContact::NewConnection, 320);
    assert_eq!(confirmed, [], "one path of three is no proof");
    let (confirmed, _) = reach(&mut monitor, 3, PathContact::NewConnection, 330);
    assert_eq!(confirmed, [key(0), key(1)]);
    fail(&mut monitor, 0, AttemptOutcome::Unreachable, 1_000);
    let (confirmed, _) = reach(&mut monitor, 2, PathContact::NewConnection, 5_000);
    assert_eq!(confirmed, [], "the contact is too late to tell");
}

#[test]
fn probes_tell_a_lost_path_from_lost_instances() {
    let table = new_table(INSTANCES as u64, at(0));
    let mut monitor = PathMonitor::default();
    assert_eq!(monitor.next_probes(&table, || 0.5, at(200)), []);
    fail(&mut monitor, 9, AttemptOutcome::Unreachable, 300);
    let probes = monitor.next_probes(&table, || 0.5, at(310));
    assert_eq!(probes.len(), 1);
    assert_ne!(probes, [key(9)]);
    fail(&mut monitor, 1, AttemptOutcome::Unreachable, 560);
    fail(&mut monitor, 2, AttemptOutcome::Unreachable, 600);
    assert!(monitor.is_cut_off(&table, at(610)));
    assert_eq!(monitor.next_probes(&table, || 0.5, at(800)).len(), 1);
    assert_eq!(monitor.next_probes(&table, || 0.5, at(900)).len(), 0);
    reach(&mut monitor, 4, PathContact::NewConnection, 1_000);
    assert!(!monitor.is_cut_off(&table, at(1_010)));
}

#[test]
fn single_instance_is_never_taken_for_a_lost_path() {
    let mut monitor = PathMonitor::default();
    for millis in 1..20 {
        let failure = UnconfirmedOutcome {
            key: key(0),
            outcome: AttemptOutcome::Unreachable,
            contact: PathContact::NewConnection,
            latency_ms: CONNECT_MS,
            failed_at: at(millis * 50),
        };
        assert_eq!(monitor.record_failure(SERVICE, failure, 1), (None, None));
    }
}

// Guards against slow instances being taken for a lost path.
#[test]
fn late_responses_on_new_connections_lose_no_path() {
    let mut monitor = PathMonitor::default();
    for index in 0..INSTANCES {
        let failure = UnconfirmedOutcome {
            key: key(index),
            outcome: AttemptOutcome::Late,
            contact: PathContact::NewConnection,
            latency_ms: CONNECT_MS,
            failed_at: at(600),
        };
        let recorded = monitor.record_failure(SERVICE, failure, INSTANCES);
        assert_eq!(recorded, (None, None));
    }
}

/// Sends a request to some instance of `table`.
fn choose(table: &mut InstanceTable) -> InstanceKey {
    let safety = RetrySafety::Idempotent;
    let draws = (0.5, 0.5);
    let chosen = table.choose(
        SERVICE,
        DATA_CENTRE,
        safety,
        &[],
        draws,
        false,
        |_| true,
        at(1),
    );
    chosen.expect("an instance takes requests")
}

// Guards against requests that never left a cut host filling the instances for all others.
#[test]
fn requests_that_were_not_sent_are_no_load_of_an_instance() {
    let mut table = new_table(1, at(0));
    let sent = choose(&mut table);
    let waiting = choose(&mut table);
    table.start_connecting(waiting);
    let hash = table.get(sent).hash;
    assert_eq!(table.in_flight(|_| false), [(hash, 1)]);
    assert_eq!(table.in_flight(|service| service == SERVICE), []);
    table.end_connecting(waiting);
    assert_eq!(table.in_flight(|_| false), [(hash, 2)]);
}
