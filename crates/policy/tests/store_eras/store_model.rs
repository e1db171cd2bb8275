//! Store that comes back from copies, with the instances and the operator that write to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

pub(crate) const SERVICE: &str = "ledger";

/// Milliseconds between the entries of an instance.
const ENTRY_INTERVAL_MS: u64 = 500;

/// Milliseconds within which lost records are written again.
const MAX_REWRITE_MS: u64 = 1_500;

/// Record of the instance list: an entry, or the removal of the instance.
#[derive(Clone, Debug)]
pub(crate) struct ListRecord {
    pub(crate) id: String,
    pub(crate) listing: Option<InstanceListing>,
    written_at: ClockTime,
}

/// Stage of an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifeStage {
    Ready,
    Leaving,
    Gone,
}

/// Instance as it is in truth.
#[derive(Clone, Debug)]
pub(crate) struct TrueInstance {
    pub(crate) id: String,
    pub(crate) born: u64,
    pub(crate) stage: LifeStage,
    pub(crate) seq: u64,
    /// Offset of its last entry.
    pub(crate) written_at: StoreOffset,
    next_entry_at: ClockTime,
    next_stage_at: ClockTime,
    // Time at which a lost record is written again.
    rewrite_at: Option<ClockTime>,
}

/// Store with the list of instances and the versions of the configuration.
pub(crate) struct StoreModel {
    pub(crate) era: StoreEra,
    pub(crate) records: Vec<ListRecord>,
    pub(crate) instances: Vec<TrueInstance>,
    // Versions with their times, as the store holds them.
    versions: Vec<(u64, ClockTime)>,
    // Newest version that was acknowledged, and when it was first.
    pub(crate) acknowledged: (u64, ClockTime),
    version_rewrite_at: Option<ClockTime>,
    pub(crate) away_until: ClockTime,
    // Whether the operator wrote in this era, by the number of its records.
    pub(crate) operator_records: u64,
}

impl StoreModel {
    pub(crate) fn new(instances: usize, now: ClockTime) -> Self {
        let instances = (0..instances).map(|index| TrueInstance {
            id: format!("i-{index}"),
            born: 1,
            stage: LifeStage::Ready,
            seq: 0,
            written_at: StoreOffset::default(),
            next_entry_at: now,
            next_stage_at: now.plus(u64::MAX / 4),
            rewrite_at: None,
        });
        StoreModel {
            era: StoreEra(1),
            records: Vec::new(),
            instances: instances.collect(),
            versions: vec![(1, now)],
            acknowledged: (1, now),
            version_rewrite_at: None,
            away_until: ClockTime::default(),
            operator_records: 1,
        }
    }

    pub(crate) fn is_away(&self, now: ClockTime) -> bool {
        now < self.away_until
    }

    /// Offset after the last record of the list.
    pub(crate) fn end_offset(&self) -> StoreOffset {
        StoreOffset::new(self.era, self.records.len() as u64)
    }

    /// Version that the store holds.
    pub(crate) fn version(&self) -> u64 {
        self.versions.last().map_or(0, |(version, _)| *version)
    }

    /// Newest entry of each instance, with its offset.
    pub(crate) fn newest(&self) -> BTreeMap<String, (StoreOffset, InstanceListing)> {
        let mut newest = BTreeMap::new();
        for (number, record) in self.records.iter().enumerate() {
            match &record.listing {
                Some(listing) => {
                    let offset = StoreOffset::new(self.era, number as u64);
                    newest.insert(record.id.clone(), (offset, listing.clone()));
                }
                None => {
                    newest.remove(&record.id);
                }
            }
        }
        newest
    }

    /// Loses what was written in the last `age_ms` milliseconds.
    pub(crate) fn restore_copy(&mut self, age_ms: u64, rng: &mut ChaCha8Rng, now: ClockTime) {
        let copied_at = now.minus(age_ms);
        self.era = StoreEra(self.era.0 + 1);
        self.records.retain(|record| record.written_at <= copied_at);
        self.versions.retain(|(_, at)| *at <= copied_at);
        self.away_until = now.plus(rng.random_range(0..400));
        self.operator_records = 0;
        if self.version() != self.acknowledged.0 {
            self.version_rewrite_at =
                Some(self.away_until.plus(rng.random_range(0..MAX_REWRITE_MS)));
        }
        for instance in &mut self.instances {
            instance.rewrite_at = Some(self.away_until.plus(rng.random_range(0..MAX_REWRITE_MS)));
        }
    }

    /// Has the operator write a new version.
    pub(crate) fn write_version(&mut self, now: ClockTime) {
        let version = self.acknowledged.0 + 3;
        self.acknowledged = (version, now);
        self.versions.push((version, now));
        self.operator_records += 1;
        self.version_rewrite_at = None;
    }

    /// Has the instance with the index `index` leave, or start again if it is gone.
    pub(crate) fn move_instance(&mut self, index: usize, rng: &mut ChaCha8Rng, now: ClockTime) {
        let reports = rng.random_bool(0.7);
        let instance = &mut self.instances[index];
        match instance.stage {
            LifeStage::Ready if reports => {
                instance.stage = LifeStage::Leaving;
                instance.next_entry_at = now;
                instance.next_stage_at = now.plus(rng.random_range(500..2_500));
            }
            LifeStage::Ready => instance.next_stage_at = now,
            LifeStage::Leaving => {}
            LifeStage::Gone => {
                instance.born += 1;
                instance.stage = LifeStage::Ready;
                instance.seq = 0;
                instance.next_entry_at = now;
                instance.next_stage_at = now.plus(u64::MAX / 4);
            }
        }
    }

    /// Has the operator and the instances write what is due.
    pub(crate) fn step(&mut self, now: ClockTime) {
        if self.is_away(now) {
            return;
        }
        if self.version_rewrite_at.is_some_and(|at| at <= now) {
            self.version_rewrite_at = None;
            self.versions.push((self.acknowledged.0, now));
            self.operator_records += 1;
        }
        for instance in &mut self.instances {
            if instance.stage != LifeStage::Gone && instance.next_stage_at <= now {
                instance.stage = LifeStage::Gone;
                instance.rewrite_at = None;
                self.records.push(ListRecord {
                    id: instance.id.clone(),
                    listing: None,
                    written_at: now,
                });
                continue;
            }
            let is_rewrite = instance.rewrite_at.is_some_and(|at| at <= now);
            if is_rewrite {
                instance.rewrite_at = None;
            }
            let is_alive = instance.stage != LifeStage::Gone;
            // An instance that waits to write lost records again writes no other entry before.
            let is_entry_due =
                is_alive && instance.rewrite_at.is_none() && instance.next_entry_at <= now;
            if !is_rewrite && !is_entry_due {
                continue;
            }
            let offset = StoreOffset::new(self.era, self.records.len() as u64);
            let listing = is_alive.then(|| {
                instance.seq += 1;
                instance.written_at = offset;
                instance.next_entry_at = now.plus(ENTRY_INTERVAL_MS);
                InstanceListing {
                    id: instance.id.as_str().into(),
                    started_at_unix_ms: instance.born,
                    seq: instance.seq,
                    service: SERVICE.into(),
                    address: SocketAddr::from(([10, 0, 0, 1], 80)),
                    data_centre: "north".into(),
                    slots: 3,
                    leaving: instance.stage == LifeStage::Leaving,
                    warm_up_ms: 0,
                }
            });
            self.records.push(ListRecord {
                id: instance.id.clone(),
                listing,
                written_at: now,
            });
        }
    }
}
