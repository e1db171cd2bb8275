//! Instances that say that they are leaving, or that they want no requests for
//! a time, while the list, other hosts and new starts say other things.

mod service_fixture;

use crocushoist_policy::DepartureNotice;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::Presence;
use crocushoist_policy::PresenceEvidence;
use crocushoist_policy::RelayedListing;
use crocushoist_policy::RetrySafety;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_policy::TrialOffer;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::DATA_CENTRE;
use crate::service_fixture::SERVICE;
use crate::service_fixture::new_table;

const INSTANCES: u64 = 3;

fn offset(number: u64) -> StoreOffset {
    StoreOffset::new(StoreEra::default(), number)
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(BOOT_MS + millis)
}

fn first_key(table: &InstanceTable) -> InstanceKey {
    let (key, _) = table.iter().next().expect("instances are listed");
    key
}

/// Entry of the first instance with another start and sequence number.
fn entry(table: &InstanceTable, started_at_unix_ms: u64, seq: u64) -> InstanceListing {
    InstanceListing {
        started_at_unix_ms,
        seq,
        ..table.get(first_key(table)).listing.clone()
    }
}

/// Entry of a host that read it, or the removal of the instance, at `offset`.
fn relayed(offset: StoreOffset, listing: InstanceListing, presence: Presence) -> RelayedListing {
    let evidence = if presence == Presence::Listed {
        PresenceEvidence::read(offset, true)
    } else {
        PresenceEvidence::absent(offset.next())
    };
    RelayedListing {
        changed_offset: offset,
        listing,
        presence,
        evidence,
    }
}

/// Whether any of many choices is the instance `key`.
fn is_chosen(table: &mut InstanceTable, key: InstanceKey, now: ClockTime) -> bool {
    (0..200).any(|index| {
        let draw = f64::from(index) / 200.0;
        let chosen = table.choose(
            SERVICE,
            DATA_CENTRE,
            RetrySafety::Idempotent,
            &[],
            (draw, draw),
            true,
            |_| true,
            now,
        );
        chosen.inspect(|chosen| table.release(*chosen)) == Some(key)
    })
}

/// Guards against requests to a leaving instance that the list still shows as ready.
#[test]
fn leaving_holds_across_heartbeats_lapses_and_returns() {
    let mut table = new_table(INSTANCES, at(0));
    let key = first_key(&table);
    assert!(table.record_leaving(key, at(0)));
    assert!(!table.record_leaving(key, at(1)), "it is reported once");
    assert!(!is_chosen(&mut table, key, at(1)));
    table.apply_listing(offset(10), entry(&table, 1, 2), at(10));
    assert!(!is_chosen(&mut table, key, at(10)), "after a heartbeat");
    table.apply_removal(offset(11), "i-0", Some(at(2_000)), at(20));
    assert!(!is_chosen(&mut table, key, at(20)), "while it lapses");
    table.apply_listing(offset(12), entry(&table, 1, 3), at(30));
    assert!(!is_chosen(&mut table, key, at(30)), "after its return");
    table.finish_full_list(offset(20), |id| id != "i-0", None, at(40));
    table.apply_listing(offset(21), entry(&table, 1, 4), at(50));
    assert!(!is_chosen(&mut table, key, at(50)), "after a full list");
    table.apply_relayed(
        relayed(offset(22), entry(&table, 1, 5), Presence::Listed),
        at(60),
    );
    assert!(!is_chosen(&mut table, key, at(60)), "after a relayed entry");
    let moved = InstanceListing {
        service: "archive".into(),
        ..entry(&table, 1, 6)
    };
    table.apply_listing(offset(23), moved, at(70));
    assert_eq!(table.usable_count("archive", at(70)), 0);
}

/// Guards against an instance that started again and never gets a request.
#[test]
fn new_start_under_the_same_id_gets_requests() {
    let mut table = new_table(INSTANCES, at(0));
    table.record_leaving(first_key(&table), at(0));
    table.apply_listing(offset(10), entry(&table, 2, 1), at(10));
    assert_eq!(table.usable_count(SERVICE, at(10)), INSTANCES as usize);
    // Hosts that have not read the new entry go on telling about the earlier start.
    let notice = DepartureNotice {
        instance: table.get(first_key(&table)).hash,
        started_at_unix_ms: 1,
    };
    assert_eq!(table.apply_departure(notice, at(20)), None);
    assert_eq!(table.usable_count(SERVICE, at(20)), INSTANCES as usize);
}

/// Guards against a restored list that shows an instance as ready to a host that just started.
#[test]
fn other_hosts_are_told_before_and_after_they_list_the_instance() {
    let mut teller = new_table(INSTANCES, at(0));
    teller.record_leaving(first_key(&teller), at(0));
    let told = teller.told_departures(0.5, at(10));
    assert_eq!(told.len(), 1);
    let mut host = new_table(INSTANCES, at(0));
    let key = first_key(&host);
    assert_eq!(host.apply_departure(told[0], at(10)), Some(key));
    assert_eq!(host.apply_departure(told[0], at(20)), None);
    assert!(!is_chosen(&mut host, key, at(20)));
    let mut started = InstanceTable::default();
    assert_eq!(started.apply_departure(told[0], at(10)), None);
    started.apply_listing(offset(0), entry(&teller, 1, 9), at(20));
    assert_eq!(started.usable_count(SERVICE, at(20)), 0);
    assert_eq!(started.told_departures(0.5, at(30)), told);
}

#[test]
fn notices_are_told_while_listed_and_a_minute_after_and_messages_stay_small() {
    const LEAVING: u64 = 100;
    let mut table = new_table(LEAVING, at(0));
    let keys: Vec<InstanceKey> = table.iter().map(|(key, _)| key).collect();
    for key in &keys {
        table.record_leaving(*key, at(0));
    }
    let mut seen = std::collections::BTreeSet::new();
    for index in 0..200 {
        let told = table.told_departures(f64::from(index) / 200.0, at(600_000));
        assert!(told.len() <= 24, "{} notices in one message", told.len());
        seen.extend(told);
    }
    assert_eq!(seen.len(), LEAVING as usize, "each is told at some time");
    table.finish_full_list(offset(LEAVING), |_| false, None, at(600_000));
    assert!(table.told_departures(0.0, at(600_000)).is_empty());
}

#[test]
fn instance_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let mut table = new_table(INSTANCES, at(0));
    let key = first_key(&table);
    assert!(table.record_hold(key, 2_000, at(0)));
    assert!(
        !table.record_hold(key, 300, at(100)),
        "a shorter time does not end it"
    );
    for millis in [0, 300, 500, 1_999] {
        assert!(!is_chosen(&mut table, key, at(millis)), "at {millis} ms");
    }
    assert!(is_chosen(&mut table, key, at(2_000)));
    assert_eq!(table.hold_end(SERVICE, at(0)), None, "others take requests");
}

/// Guards against a fallback to instances that want nothing because every one does.
#[test]
fn nothing_is_chosen_while_every_instance_wants_nothing() {
    let mut table = new_table(INSTANCES, at(0));
    let keys: Vec<InstanceKey> = table.iter().map(|(key, _)| key).collect();
    for (index, key) in keys.iter().enumerate() {
        table.record_hold(*key, 1_000 + 500 * index as u64, at(0));
        table.record_shed(*key, at(0));
    }
    assert_eq!(table.hold_end(SERVICE, at(0)), Some(at(1_000)));
    assert!(keys.iter().all(|key| !is_chosen(&mut table, *key, at(999))));
    assert!(is_chosen(&mut table, keys[0], at(1_000)));
    assert_eq!(table.hold_end(SERVICE, at(1_000)), None);
    // The service has an instance that wants nothing and others that are leaving.
    table.record_hold(keys[0], 700, at(2_000));
    table.record_leaving(keys[1], at(2_000));
    table.record_leaving(keys[2], at(2_000));
    assert_eq!(table.hold_end(SERVICE, at(2_000)), Some(at(2_700)));
    table.record_leaving(keys[0], at(2_000));
    assert_eq!(table.hold_end(SERVICE, at(2_000)), None);
    assert_eq!(table.usable_count(SERVICE, at(2_000)), 0);
}

/// Guards against trials that pass over what an instance said.
#[test]
fn offered_trial_is_not_used_at_an_instance_that_leaves_or_wants_nothing() {
    let mut table = new_table(INSTANCES, at(0));
    let keys: Vec<InstanceKey> = table.iter().map(|(key, _)| key).collect();
    table.record_leaving(keys[0], at(0));
    table.record_hold(keys[1], 2_000, at(0));
    for key in &keys[..2] {
        let instance = table.get(*key).hash;
        let is_required = true;
        table.apply_trial(
            TrialOffer {
                instance,
                is_required,
            },
            at(0),
        );
        assert!(!is_chosen(&mut table, *key, at(10)));
    }
    // The hub offers no trial of its own such instances either.
    for key in &keys {
        for _ in 0..4 {
            let failed = crocushoist_policy::AttemptOutcome::Failed;
            table.record_outcome(*key, failed, 5, at(0));
        }
    }
    let offered = table.assign_trials(DATA_CENTRE, 10, at(1_700));
    assert!(!offered.is_empty());
    let third = table.get(keys[2]).hash;
    assert!(offered.iter().all(|offer| offer.instance == third));
}

/// Neither statement is a failure: the fault estimate stays as it was.
#[test]
fn statements_do_not_change_the_fault_estimate() {
    let mut table = new_table(INSTANCES, at(0));
    let key = first_key(&table);
    let before = table.get(key).fault_probability(at(10));
    table.record_hold(key, 2_000, at(0));
    table.record_leaving(key, at(0));
    assert_eq!(table.get(key).fault_probability(at(10)), before);
}
