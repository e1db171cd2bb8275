//! Plays random schedules of messages, host restarts, pauses and log outages
//! against the real state code of the daemon.
//!
//! Messages are delayed, reordered and dropped at random; the log fails and
//! recovers; hosts end and start again. After each step the model checks:
//!
//! - a host whose evidence is newer than the acceptance of a record has
//!   applied that record;
//! - no two hosts can spend tokens of one shard at the same time;
//! - hosts that applied the same records have equal replayed states;
//!
//! At the end it checks that the spent tokens exceed the limit in no window.

mod fleet_model;
mod model_checks;
mod model_delivery;
mod model_edits;
mod model_message;

use crocushoist_state::breach;

use crate::fleet_model::Counters;
use crate::fleet_model::FleetModel;
use crate::model_checks::check;
use crate::model_checks::check_spent_tokens;

const HOSTS: usize = 5;
const SHARDS: u32 = 6;
const STEPS: usize = 4_000;
const RUNS: u64 = 300;
const RATE: u32 = 400;
const BURST: u32 = 40;
const MAX_MESSAGES: usize = 120;
const WORKSPACE: &str = "depot";

#[test]
fn random_schedules_violate_no_invariant() {
    let mut seen = Counters::default();
    for seed in 0..RUNS {
        let mut model = FleetModel::new(seed);
        for step in 0..STEPS {
            model.step();
            check(&mut model, seed, step);
        }
        check_spent_tokens(&model, seed);
        seen.accepted += model.accepted_at.len();
        seen.spent += model.spent_at.len();
        seen.fresh_in_outage += model.seen.fresh_in_outage;
        let tables = model.hosts.iter().map(|host| {
            let generations = host
                .replayed
                .table()
                .iter()
                .map(|(_, entry)| u64::from(entry.generation));
            generations.sum::<u64>()
        });
        seen.moved += tables.max().unwrap_or(0);
    }
    println!("{seen:?}");
    assert!(
        seen.accepted > 5_000,
        "schedules accept too few records: {seen:?}"
    );
    assert!(
        seen.spent > 20_000,
        "schedules spend too few tokens: {seen:?}"
    );
    assert!(
        seen.moved > 4_000,
        "schedules move too few shards: {seen:?}"
    );
    assert!(
        seen.fresh_in_outage > 100_000,
        "schedules have too few fresh hosts in outages: {seen:?}"
    );
    assert_eq!(
        breach::ALL_KINDS.map(breach::count),
        [0; breach::ALL_KINDS.len()]
    );
}
