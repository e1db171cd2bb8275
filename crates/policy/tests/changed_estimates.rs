//! Load pattern: a hub answers thousands of reports a second about hundreds of
//! instances, most of which have not changed.

mod service_fixture;

use std::collections::HashSet;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::EstimateSelection;
use crocushoist_policy::InstanceTable;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::SLOTS;
use crate::service_fixture::new_table;

const INSTANCES: u64 = 200;
const ANSWERS_PER_TURN: usize = 16;
const REPORT_INTERVAL_MS: u64 = 60;

/// Hashes of the instances that the next answer describes.
fn next_answer(
    selection: &mut EstimateSelection,
    table: &InstanceTable,
    load: u32,
    now: ClockTime,
) -> HashSet<u32> {
    selection.start_answer();
    let described = table
        .usable(now)
        .filter(|state| selection.select(state, load, now));
    described.map(|state| state.hash).collect()
}

#[test]
fn unchanged_instances_are_described_in_turn() {
    let start = ClockTime::from_millis(BOOT_MS);
    let table = new_table(INSTANCES, start);
    let mut selection = EstimateSelection::default();
    assert_eq!(
        next_answer(&mut selection, &table, 0, start).len(),
        INSTANCES as usize
    );
    let mut arrived = HashSet::new();
    let mut described = 0;
    for answer in 1..=ANSWERS_PER_TURN as u64 {
        let now = start.plus(answer * REPORT_INTERVAL_MS);
        let hashes = next_answer(&mut selection, &table, 0, now);
        described += hashes.len();
        arrived.extend(hashes);
    }
    assert_eq!(arrived.len(), INSTANCES as usize);
    assert_eq!(described, INSTANCES as usize, "each once a turn");
}

#[test]
fn failure_and_queue_are_described_at_once() {
    let start = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES, start);
    let mut selection = EstimateSelection::default();
    next_answer(&mut selection, &table, 0, start);
    let (key, hash) = table
        .iter()
        .map(|(key, state)| (key, state.hash))
        .nth(7)
        .unwrap();
    let now = start.plus(REPORT_INTERVAL_MS);
    table.record_outcome(key, AttemptOutcome::Failed, 5, now);
    assert!(next_answer(&mut selection, &table, 0, now).contains(&hash));
    // Loads below the number of slots cause no queue and wait for their turn.
    let later = now.plus(REPORT_INTERVAL_MS);
    let small = next_answer(&mut selection, &table, SLOTS - 1, later).len();
    assert!(small < INSTANCES as usize / 4, "{small} instances");
    let now = later.plus(REPORT_INTERVAL_MS);
    let full = next_answer(&mut selection, &table, SLOTS, now).len();
    assert_eq!(full, INSTANCES as usize);
}
