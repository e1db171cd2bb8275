//! Faults of the drill mode: instances that leave or want no requests, and restores of the store.

use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compio::time::sleep;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_platform_standin::InstanceFault;

use crate::soak_fleet::SoakFleet;
use crate::soak_run::sleep_until;
use crocushoist_platform_standin::LinkState;

/// Milliseconds, at most, that an instance goes on after it said that it leaves.
const MAX_LEAVING_MS: u64 = 5_000;

/// Milliseconds, at most, between the end of an instance and its next start.
const MAX_ENDED_MS: u64 = 600;

/// Every n-th fault affects all instances, drawn at random.
const ALL_INTERVAL: u32 = 8;

/// Seconds for which instances want no requests.
const HOLDS: [&str; 6] = ["0.6", "0.75", "1", "1.5", "2.25", "5"];

/// Milliseconds, at most, for which instances reject requests at once.
const MAX_REJECTING_MS: u64 = 500;

/// Milliseconds, at most, for which they serve between that.
const MAX_SERVING_MS: u64 = 300;

/// Milliseconds for which answers of the store are late before it is away.
const LATE_MS: u64 = 300;

/// Milliseconds in which operators and instances write again what a restore lost.
const REWRITE_MS: std::ops::RangeInclusive<u64> = 100..=1_800;

/// Has instances say, at different times until `end_ms`, that they leave; they end and start anew.
pub(crate) async fn leave_instances(fleet: &Rc<SoakFleet>, seed: u32, end_ms: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
    let from_ms = fleet.now_ms();
    let leaving: Vec<_> = draw_instances(&mut rng, fleet.size.instances)
        .into_iter()
        .map(|instance| {
            let leaves_ms = rng.random_range(from_ms..=end_ms.max(from_ms));
            let ends_ms = leaves_ms + rng.random_range(0..MAX_LEAVING_MS);
            let starts_ms = ends_ms + rng.random_range(0..MAX_ENDED_MS);
            let fleet = Rc::clone(fleet);
            compio::runtime::spawn(async move {
                sleep_until(&fleet, leaves_ms).await;
                fleet.instances[instance].leaving_value.set(Some("1"));
                sleep_until(&fleet, ends_ms).await;
                replace_instance(&fleet, instance, starts_ms).await;
            })
        })
        .collect();
    for left in leaving {
        if left.await.is_err() {
            eprintln!("an instance that leaves ended without a result");
        }
    }
}

/// Ends an instance and starts it anew under its id at `starts_ms`.
async fn replace_instance(fleet: &SoakFleet, instance: usize, starts_ms: u64) {
    let standin = &fleet.instances[instance];
    let ended_ms = fleet.now_ms();
    fleet.instance_links[instance].state.set(LinkState::Closed);
    sleep_until(fleet, starts_ms).await;
    standin.leaving_value.set(None);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_unix_ms = since_epoch.map_or(0, |since| since.as_millis() as u64);
    let earlier_unix_ms = standin.started_at_unix_ms.get();
    let started_at_unix_ms = now_unix_ms.max(earlier_unix_ms + 1);
    standin.started_at_unix_ms.set(started_at_unix_ms);
    fleet.instance_links[instance].state.set(LinkState::Open);
    let started_ms = fleet.now_ms();
    let mut history = fleet.history.borrow_mut();
    let cut = (instance, ended_ms..started_ms);
    history.instance_cuts.push(cut.clone());
    history.instance_silences.push(cut);
    history.instance_starts.push((instance, started_ms));
}

/// Has instances reject requests for short times until `end_ms` and say that they want none.
pub(crate) async fn hold_instances(fleet: &SoakFleet, seed: u32, end_ms: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
    while fleet.now_ms() < end_ms {
        let instances = draw_instances(&mut rng, fleet.size.instances);
        for instance in &instances {
            let standin = &fleet.instances[*instance];
            let hold_value = HOLDS[rng.random_range(0..HOLDS.len())];
            standin.hold_value.set(Some(hold_value));
            standin.fault.set(InstanceFault::Shedding);
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_REJECTING_MS))).await;
        for instance in &instances {
            let standin = &fleet.instances[*instance];
            standin.hold_value.set(None);
            standin.fault.set(InstanceFault::Healthy);
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_SERVING_MS))).await;
    }
}

/// Takes the store away for `away_ms` and brings it back from a copy that is `age_ms` old.
///
/// Operators write a version that hosts can still read and one that they cannot.
pub(crate) async fn restore_store(fleet: &SoakFleet, away_ms: u64, age_ms: u64) {
    fleet.write_unrevoked_config();
    fleet.store.set_late(true);
    sleep(Duration::from_millis(LATE_MS)).await;
    fleet.store.set_late(false);
    fleet.store.set_unavailable(true);
    fleet.write_unrevoked_config();
    sleep(Duration::from_millis(away_ms)).await;
    fleet.store.restore_copy(age_ms, REWRITE_MS);
    fleet.store.set_unavailable(false);
}

/// Draws up to a quarter of `count` instances, or all of them.
pub(crate) fn draw_instances(rng: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
    if rng.random_range(0..ALL_INTERVAL) == 0 {
        return (0..count).collect();
    }
    let drawn_count = rng.random_range(1..=count.div_ceil(4));
    let mut drawn: Vec<usize> = (0..drawn_count)
        .map(|_| rng.random_range(0..count))
        .collect();
    drawn.sort_unstable();
    drawn.dedup();
    drawn
}
