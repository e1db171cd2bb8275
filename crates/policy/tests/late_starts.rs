//! Instances whose new start is listed only after they said something to this host.

mod service_fixture;

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

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(BOOT_MS + millis)
}

fn only_key(table: &InstanceTable) -> InstanceKey {
    let (key, _) = table.iter().next().expect("an instance is listed");
    key
}

/// Whether the only instance is chosen for a request.
fn is_chosen(table: &mut InstanceTable, now: ClockTime) -> bool {
    let chosen = table.choose(
        SERVICE,
        DATA_CENTRE,
        RetrySafety::Idempotent,
        &[],
        (0.5, 0.5),
        true,
        |_| true,
        now,
    );
    chosen.inspect(|chosen| table.release(*chosen)).is_some()
}

/// Guards against requests to an instance that asked for none, by a host that reads only then that
/// this instance had started again.
#[test]
fn hold_said_by_a_start_that_is_listed_later_is_kept() {
    let mut table = new_table(1, at(0));
    let key = only_key(&table);
    table.record_hold(key, 2_000, at(0));
    let listing = InstanceListing {
        started_at_unix_ms: 2,
        seq: 1,
        ..table.get(key).listing.clone()
    };
    table.apply_listing(StoreOffset::new(StoreEra::default(), 10), listing, at(500));
    assert!(
        !is_chosen(&mut table, at(600)),
        "the instance wants nothing"
    );
    assert!(is_chosen(&mut table, at(2_000)), "its time is over");
}

/// Guards against requests to an instance that asked for none, in a response that arrives only after
/// its new start was listed.
#[test]
fn hold_that_arrives_after_a_new_start_was_listed_binds_that_start() {
    let mut table = new_table(1, at(0));
    let earlier = only_key(&table);
    let listing = InstanceListing {
        started_at_unix_ms: 2,
        seq: 1,
        ..table.get(earlier).listing.clone()
    };
    table.apply_listing(StoreOffset::new(StoreEra::default(), 10), listing, at(500));
    table.record_hold(earlier, 2_000, at(600));
    assert!(
        !is_chosen(&mut table, at(700)),
        "the instance wants nothing"
    );
    assert!(is_chosen(&mut table, at(2_700)), "its time is over");
}
