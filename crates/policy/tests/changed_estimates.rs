//! Load pattern: a hub answers thousands of reports a second about hundreds of
//! instances, most of which have not changed.

mod service_fixture;

use std::collections::HashMap;
use std::collections::HashSet;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::EstimateFeed;
use crocushoist_policy::FeedCursor;
use crocushoist_policy::InstanceKey;
use crocushoist_state::ClockTime;

use crate::service_fixture::BOOT_MS;
use crate::service_fixture::SLOTS;
use crate::service_fixture::new_table;

const INSTANCES: u64 = 200;
const ANSWERS_PER_TURN: u64 = 32;
const REPORT_INTERVAL_MS: u64 = 60;

/// Instances that the next answer to the host at `cursor` describes.
fn next_answer(feed: &EstimateFeed, cursor: &mut FeedCursor) -> HashSet<InstanceKey> {
    feed.next_answer(cursor).into_iter().collect()
}

#[test]
fn unchanged_instances_are_described_in_turn() {
    let start = ClockTime::from_millis(BOOT_MS);
    let table = new_table(INSTANCES, start);
    let mut feed = EstimateFeed::default();
    let mut cursor = FeedCursor::default();
    feed.search(&table, &HashMap::new(), start);
    assert_eq!(next_answer(&feed, &mut cursor).len(), INSTANCES as usize);
    let mut arrived = HashSet::new();
    let mut described = 0;
    for answer in 1..=ANSWERS_PER_TURN {
        feed.search(
            &table,
            &HashMap::new(),
            start.plus(answer * REPORT_INTERVAL_MS),
        );
        let keys = next_answer(&feed, &mut cursor);
        described += keys.len();
        arrived.extend(keys);
    }
    assert_eq!(arrived.len(), INSTANCES as usize);
    assert!(
        described <= INSTANCES as usize * 6 / 5,
        "{described} descriptions in one turn"
    );
}

#[test]
fn failure_and_queue_are_described_at_once() {
    let start = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES, start);
    let mut feed = EstimateFeed::default();
    let mut cursor = FeedCursor::default();
    let load = |count| -> HashMap<u32, u32> {
        let states = table.iter().map(|(_, state)| (state.hash, count));
        states.collect()
    };
    let (small, full) = (load(SLOTS - 1), load(SLOTS));
    feed.search(&table, &HashMap::new(), start);
    next_answer(&feed, &mut cursor);
    let (key, _) = table.iter().nth(77).expect("instances are listed");
    let now = start.plus(REPORT_INTERVAL_MS);
    table.record_outcome(key, AttemptOutcome::Failed, 5, now);
    feed.search(&table, &HashMap::new(), now);
    assert!(next_answer(&feed, &mut cursor).contains(&key));
    // Loads below the number of slots cause no queue and wait for their turn.
    let now = now.plus(REPORT_INTERVAL_MS);
    feed.search(&table, &small, now);
    let described = next_answer(&feed, &mut cursor).len();
    assert!(described < INSTANCES as usize / 4, "{described} instances");
    feed.search(&table, &full, now.plus(REPORT_INTERVAL_MS));
    let described = next_answer(&feed, &mut cursor).len();
    assert_eq!(described, INSTANCES as usize);
}

#[test]
fn two_hosts_get_the_same_changes() {
    let start = ClockTime::from_millis(BOOT_MS);
    let mut table = new_table(INSTANCES, start);
    let mut feed = EstimateFeed::default();
    let mut cursors = [FeedCursor::default(); 2];
    feed.search(&table, &HashMap::new(), start);
    for cursor in &mut cursors {
        next_answer(&feed, cursor);
    }
    let (key, _) = table.iter().nth(77).expect("instances are listed");
    let now = start.plus(REPORT_INTERVAL_MS);
    table.record_outcome(key, AttemptOutcome::Failed, 5, now);
    feed.search(&table, &HashMap::new(), now);
    for cursor in &mut cursors {
        assert!(next_answer(&feed, cursor).contains(&key));
    }
}
