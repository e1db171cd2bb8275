//! Changes of the store's era against hosts that exchange their knowledge.
//!
//! The model has no network: messages are delivered late, in any order or not
//! at all, hosts restart, freeze and lose the store, and the store comes back
//! from copies, also in a row. What hosts know is then compared with what the
//! instances did and the operator wrote.

mod host_model;
mod store_model;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::Presence;
use crocushoist_state::ClockTime;

use crate::host_model::AnswerModel;
use crate::host_model::HostModel;
use crate::host_model::ListAnswer;
use crate::host_model::ReportModel;
use crate::host_model::SeenStart;
use crate::host_model::SnapshotModel;
use crate::store_model::LifeStage;
use crate::store_model::StoreModel;

const SEEDS: u64 = 3_000;
const HOSTS: usize = 5;
const INSTANCES: usize = 6;

/// Milliseconds of one step.
const STEP_MS: u64 = 20;

/// Milliseconds of a run with disturbances, and of the calm time after it.
const DISTURBED_MS: u64 = 14_000;
const CALM_MS: u64 = 7_000;

/// Milliseconds between a host's reports, and between reads of a hub and of other hosts.
const REPORT_MS: u64 = 60;
const HUB_READ_MS: u64 = 300;
const HOST_READ_MS: u64 = 2_500;

/// Milliseconds after which a withdrawn key admits no request.
const MAX_REVOKE_MS: u64 = 5_000;

/// Something on its way to a host.
enum Delivery {
    Read(ListAnswer),
    Report(usize, ReportModel),
    Answer(AnswerModel),
    Snapshot(SnapshotModel),
}

/// Fleet, store and messages of one run.
struct FleetModel {
    rng: ChaCha8Rng,
    store: StoreModel,
    hosts: Vec<HostModel>,
    // Time of delivery, receiver, and its start, which drops what was for an earlier one.
    deliveries: Vec<(ClockTime, usize, u64, Delivery)>,
    starts: Vec<u64>,
    now: ClockTime,
}

impl FleetModel {
    fn new(seed: u64) -> Self {
        let now = ClockTime::from_millis(100_000);
        FleetModel {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: StoreModel::new(INSTANCES, now),
            hosts: (0..HOSTS).map(|_| HostModel::default()).collect(),
            deliveries: Vec::new(),
            starts: vec![0; HOSTS],
            now,
        }
    }

    fn send(&mut self, receiver: usize, max_delay_ms: u64, delivery: Delivery) {
        if self.rng.random_bool(0.1) {
            return;
        }
        let at = self.now.plus(self.rng.random_range(0..=max_delay_ms));
        let start = self.starts[receiver];
        self.deliveries.push((at, receiver, start, delivery));
    }

    fn is_running(&self, host: usize) -> bool {
        self.hosts[host].paused_until <= self.now
    }

    /// Draws what goes wrong in this step.
    fn disturb(&mut self) {
        let now = self.now;
        let host = self.rng.random_range(0..HOSTS);
        let instance = self.rng.random_range(0..INSTANCES);
        if self.rng.random_bool(0.01) {
            let age_ms = self.rng.random_range(0..5_000);
            self.store.restore_copy(age_ms, &mut self.rng, now);
        }
        if self.rng.random_bool(0.006) {
            self.hosts[host] = HostModel::default();
            self.starts[host] += 1;
        }
        if self.rng.random_bool(0.006) {
            let pause_ms = self.rng.random_range(100..4_000);
            self.hosts[host].paused_until = now.plus(pause_ms);
        }
        if self.rng.random_bool(0.006) {
            let cut_ms = self.rng.random_range(100..4_000);
            self.hosts[host].cut_until = now.plus(cut_ms);
        }
        if self.store.is_away(now) {
            return;
        }
        if self.rng.random_bool(0.02) {
            self.store.move_instance(instance, &mut self.rng, now);
        }
        if self.rng.random_bool(0.004) {
            self.store.write_version(now);
        }
    }

    fn step(&mut self, is_disturbed: bool) {
        if is_disturbed {
            self.disturb();
        }
        self.store.step(self.now);
        let hub = (0..HOSTS).find(|host| self.is_running(*host));
        for host in 0..HOSTS {
            if !self.is_running(host) {
                continue;
            }
            self.read_store(host, hub == Some(host));
            if let Some(hub) = hub.filter(|hub| *hub != host)
                && self.rng.random_ratio(STEP_MS as u32, REPORT_MS as u32)
            {
                let report = self.hosts[host].report(self.now);
                self.send(hub, 150, Delivery::Report(host, report));
            }
        }
        self.deliver();
        self.now = self.now.plus(STEP_MS);
    }

    fn read_store(&mut self, host: usize, is_hub: bool) {
        let interval_ms = if is_hub { HUB_READ_MS } else { HOST_READ_MS };
        let model = &mut self.hosts[host];
        let is_cut = model.cut_until > self.now || self.store.is_away(self.now);
        if is_cut || self.now.since(model.read_at) < interval_ms {
            return;
        }
        model.read_at = self.now;
        let answer = model.read(&self.store, self.now);
        // Some answers are under way across a change of the era.
        let max_delay_ms = if self.rng.random_bool(0.1) { 1_500 } else { 20 };
        self.send(host, max_delay_ms, Delivery::Read(answer));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|(at, host, ..)| *at <= now && self.hosts[*host].paused_until <= now);
        self.deliveries = later;
        for (_, host, start, delivery) in due {
            if self.starts[host] != start {
                continue;
            }
            match delivery {
                Delivery::Read(answer) => self.hosts[host].apply_read(answer, now),
                Delivery::Report(reporter, report) => {
                    let (answer, fetches) = self.hosts[host].answer(&report, now);
                    let needs_full_list = answer.needs_full_list;
                    self.send(reporter, 150, Delivery::Answer(answer));
                    if needs_full_list && let Some(list) = self.hosts[host].snapshot(now) {
                        self.send(reporter, 250, Delivery::Snapshot(list));
                    }
                    if fetches && let Some(list) = self.hosts[reporter].snapshot(now) {
                        self.send(host, 250, Delivery::Snapshot(list));
                    }
                }
                Delivery::Answer(answer) => self.hosts[host].apply_answer(answer, now),
                Delivery::Snapshot(list) => self.hosts[host].apply_snapshot(list, now),
            }
        }
    }

    /// Checks that no host uses an instance that it knew to leave.
    fn check_departures(&mut self) {
        let now = self.now;
        for (index, host) in self.hosts.iter_mut().enumerate() {
            for instance in &self.store.instances {
                let seen = SeenStart {
                    id: instance.id.clone(),
                    born: instance.born,
                };
                let state = host.table.iter().map(|(_, state)| state).find(|state| {
                    state.listing.id == instance.id
                        && state.listing.started_at_unix_ms == instance.born
                });
                let Some(state) = state else { continue };
                // A host that took the instance for gone before it wrote again did not know.
                let is_known_gone = state.presence_at(now) == Presence::Gone
                    && instance.stage == LifeStage::Gone
                    && state
                        .evidence
                        .absent_before
                        .is_some_and(|absent| absent.supersedes(instance.written_at));
                if !state.is_usable(now) && (state.listing.leaving || is_known_gone) {
                    host.departed.insert(seen);
                } else if state.presence == Presence::Listed && state.is_usable(now) {
                    assert!(
                        !host.departed.contains(&seen),
                        "host {index} uses {} again, which it knew to leave",
                        instance.id
                    );
                }
            }
        }
    }

    /// Checks that no host admits keys by a version that a newer one replaced too long ago.
    fn check_keys(&self) {
        let now = self.now;
        let (version, since) = self.store.acknowledged;
        for (index, host) in self.hosts.iter().enumerate() {
            let is_overdue = now.since(since) > MAX_REVOKE_MS;
            assert!(
                host.version >= version || !is_overdue || !host.admits_keys(now),
                "host {index} admits keys by version {} after {version}",
                host.version
            );
        }
    }

    /// Checks that all hosts know the true list, after a calm time.
    fn check_lists(&self) {
        for (index, host) in self.hosts.iter().enumerate() {
            assert_eq!(host.table.next_offset().era, self.store.era, "host {index}");
            for instance in &self.store.instances {
                let is_usable = host
                    .table
                    .usable(self.now)
                    .any(|state| state.listing.id == instance.id);
                assert_eq!(
                    is_usable,
                    instance.stage == LifeStage::Ready,
                    "host {index}, {} {:?}",
                    instance.id,
                    instance.stage
                );
            }
        }
    }
}

/// Plays `seed` and calls `check` after each step; returns the fleet after the calm time.
fn play(seed: u64, check: impl Fn(&mut FleetModel)) -> FleetModel {
    let mut fleet = FleetModel::new(seed);
    for step in 0..(DISTURBED_MS + CALM_MS) / STEP_MS {
        fleet.step(step < DISTURBED_MS / STEP_MS);
        check(&mut fleet);
    }
    fleet
}

/// Seeds for which `test` fails.
fn failed_seeds(test: impl Fn(u64) + std::panic::RefUnwindSafe) -> Vec<u64> {
    (0..SEEDS)
        .filter(|seed| std::panic::catch_unwind(|| test(*seed)).is_err())
        .collect()
}

// Guards against hosts that take an older version in the copy of the store for the newest one.
#[test]
fn no_key_is_admitted_by_a_version_that_was_replaced_too_long_ago() {
    let failed = failed_seeds(|seed| {
        let fleet = play(seed, |fleet| fleet.check_keys());
        for (index, host) in fleet.hosts.iter().enumerate() {
            assert_eq!(host.version, fleet.store.acknowledged.0, "host {index}");
            assert!(host.admits_keys(fleet.now), "host {index} refuses keys");
        }
    });
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

// Guards against hosts that take the list in the copy of the store for newer than what they knew,
// or that never follow the store into the new era.
#[test]
fn hosts_follow_the_list_through_eras_and_forget_no_departure() {
    let failed = failed_seeds(|seed| {
        let fleet = play(seed, FleetModel::check_departures);
        fleet.check_lists();
    });
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
