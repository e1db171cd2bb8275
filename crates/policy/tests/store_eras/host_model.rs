//! Host of the model: it reads the store and exchanges its knowledge with other hosts.

use std::collections::HashSet;

use crocushoist_policy::ConfigEvidence;
use crocushoist_policy::EraReading;
use crocushoist_policy::EraWatch;
use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::Presence;
use crocushoist_policy::RelayedListing;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

use crate::store_model::StoreModel;

/// Milliseconds in which lapsed instances may write their entries again.
const RELISTING_MS: u64 = 1_800;

/// Maximum numbers of entries that are relayed at all and in one message; small, so that both
/// bounds take effect.
const MAX_RELAYED: usize = 6;
const MAX_ENTRIES: usize = 2;

/// Milliseconds after which evidence admits no keyed request.
const MAX_EVIDENCE_AGE_MS: u64 = 4_400;

/// What a host has seen of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SeenStart {
    pub(crate) id: String,
    pub(crate) born: u64,
}

/// Answer of the store to a read of the list.
#[derive(Clone, Debug)]
pub(crate) struct ListAnswer {
    era: StoreEra,
    // Offset from which the records were read, `None` for the newest of each key.
    from: Option<StoreOffset>,
    end: StoreOffset,
    entries: Vec<(StoreOffset, String, Option<InstanceListing>)>,
    version: u64,
    operator_records: u64,
    requested_at: ClockTime,
}

/// Report of a host.
#[derive(Clone, Debug)]
pub(crate) struct ReportModel {
    pub(crate) offset: StoreOffset,
    pub(crate) has_list: bool,
    pub(crate) version: u64,
    pub(crate) sent_at: ClockTime,
}

/// Answer to a report.
#[derive(Clone, Debug)]
pub(crate) struct AnswerModel {
    pub(crate) end: StoreOffset,
    pub(crate) entries: Vec<RelayedListing>,
    pub(crate) is_complete: bool,
    pub(crate) needs_full_list: bool,
    pub(crate) version: u64,
    pub(crate) evidence_age: Option<u64>,
    pub(crate) report_sent_at: ClockTime,
}

/// Whole list of a host.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotModel {
    pub(crate) end: StoreOffset,
    pub(crate) entries: Vec<RelayedListing>,
}

/// Host of the model.
#[derive(Default)]
pub(crate) struct HostModel {
    pub(crate) table: InstanceTable,
    pub(crate) has_list: bool,
    pub(crate) watch: EraWatch,
    newest_era: StoreEra,
    pub(crate) version: u64,
    pub(crate) evidence: ConfigEvidence,
    reading: EraReading,
    reading_era: StoreEra,
    read_operator_records: Option<u64>,
    lapse_until: Option<ClockTime>,
    pub(crate) departed: HashSet<SeenStart>,
    pub(crate) paused_until: ClockTime,
    pub(crate) cut_until: ClockTime,
    pub(crate) read_at: ClockTime,
}

impl HostModel {
    pub(crate) fn learn_era(&mut self, era: StoreEra, now: ClockTime) {
        self.newest_era = self.newest_era.max(era);
        self.watch.notice(self.newest_era, now);
    }

    /// Answer of `store` to this host's next read.
    pub(crate) fn read(&self, store: &StoreModel, now: ClockTime) -> ListAnswer {
        let from = Some(self.table.next_offset())
            .filter(|from| self.has_list && from.era == self.newest_era);
        // The store compares the number alone; the client discards records of another era.
        let expected = from
            .filter(|from| from.era == store.era && from.number() <= store.end_offset().number());
        let entries = match expected {
            Some(from) => store
                .records
                .iter()
                .enumerate()
                .skip(from.number() as usize)
                .map(|(number, record)| {
                    let offset = StoreOffset::new(store.era, number as u64);
                    (offset, record.id.clone(), record.listing.clone())
                })
                .collect(),
            None => store
                .newest()
                .into_iter()
                .map(|(id, (offset, listing))| (offset, id, Some(listing)))
                .collect(),
        };
        ListAnswer {
            era: store.era,
            from: expected,
            end: store.end_offset(),
            entries,
            version: store.version(),
            operator_records: store.operator_records,
            requested_at: now,
        }
    }

    /// Applies an answer of the store unless it is of an earlier era than is known.
    pub(crate) fn apply_read(&mut self, answer: ListAnswer, now: ClockTime) {
        if answer.era < self.newest_era {
            return;
        }
        self.learn_era(answer.era, now);
        if answer.from.is_some_and(|from| from.era != answer.era) {
            return;
        }
        self.apply_config(&answer);
        let known_era = self.table.next_offset().era;
        if known_era.is_known() && answer.era != known_era {
            self.lapse_until = Some(now.plus(RELISTING_MS));
        }
        for (offset, id, listing) in &answer.entries {
            match listing {
                Some(listing) => self.table.apply_listing(*offset, listing.clone(), now),
                None => self.table.apply_removal(*offset, id, self.lapse_until, now),
            };
            if answer.from.is_some() {
                self.table.advance(offset.next());
            }
        }
        if answer.from.is_none() {
            let ids: HashSet<&str> = answer
                .entries
                .iter()
                .map(|(_, id, _)| id.as_str())
                .collect();
            self.table
                .finish_full_list(answer.end, |id| ids.contains(id), self.lapse_until, now);
        }
        self.has_list = true;
    }

    fn apply_config(&mut self, answer: &ListAnswer) {
        if self.reading_era != answer.era {
            self.reading_era = answer.era;
            self.reading = EraReading::default();
            self.read_operator_records = None;
        }
        let known = self.read_operator_records.replace(answer.operator_records);
        self.reading.is_rewritten |= known.is_some_and(|known| answer.operator_records > known);
        self.reading.is_settled = self.watch.is_settled(answer.requested_at);
        self.reading.version = self.reading.version.max(answer.version);
        self.raise_version(answer.version);
        self.evidence
            .record_store_read(self.reading, self.version, answer.requested_at);
    }

    fn raise_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.evidence.clear_peer_evidence();
        }
    }

    /// Whether requests with a key are admitted.
    pub(crate) fn admits_keys(&self, now: ClockTime) -> bool {
        let age = self.evidence.age(now);
        age.is_some_and(|age| age <= MAX_EVIDENCE_AGE_MS)
    }

    pub(crate) fn report(&self, now: ClockTime) -> ReportModel {
        ReportModel {
            offset: self.table.reported_offset(),
            has_list: self.has_list,
            version: self.version,
            sent_at: now,
        }
    }

    /// Answer to `report`, and whether this host fetches the list of the reporter.
    pub(crate) fn answer(&mut self, report: &ReportModel, now: ClockTime) -> (AnswerModel, bool) {
        self.learn_era(report.offset.era, now);
        let is_later_era = report.offset.era > self.table.next_offset().era;
        let knows_departures = self.table.lacks_departures() && report.offset.number() > 0;
        let fetches = report.has_list && (is_later_era || knows_departures);
        self.raise_version(report.version);
        let changes = self
            .table
            .changes_for(report.offset, MAX_RELAYED, MAX_ENTRIES);
        let answer = AnswerModel {
            end: changes.end_offset,
            entries: changes
                .entries
                .iter()
                .map(|state| state.relayed(now))
                .collect(),
            is_complete: changes.is_complete,
            needs_full_list: changes.needs_full_list && self.has_list,
            version: self.version,
            evidence_age: self.evidence.age(now),
            report_sent_at: report.sent_at,
        };
        (answer, fetches)
    }

    pub(crate) fn apply_answer(&mut self, answer: AnswerModel, now: ClockTime) {
        self.learn_era(answer.end.era, now);
        self.raise_version(answer.version);
        if answer.version == self.version
            && let Some(age) = answer.evidence_age
        {
            self.evidence
                .record_peer_evidence(answer.report_sent_at, age);
        }
        for relayed in answer.entries {
            self.table.apply_relayed(relayed, now);
        }
        self.table.advance(answer.end);
        if answer.is_complete {
            self.table.record_merged(answer.end.era);
        }
    }

    pub(crate) fn snapshot(&self, now: ClockTime) -> Option<SnapshotModel> {
        let present = self.table.iter().map(|(_, state)| state);
        let present = present.filter(|state| state.presence != Presence::Gone);
        let entries = present.chain(self.table.departed());
        self.has_list.then(|| SnapshotModel {
            end: self.table.next_offset(),
            entries: entries.map(|state| state.relayed(now)).collect(),
        })
    }

    pub(crate) fn apply_snapshot(&mut self, snapshot: SnapshotModel, now: ClockTime) {
        self.learn_era(snapshot.end.era, now);
        let (is_whole, _) =
            self.table
                .apply_full_list(snapshot.end, snapshot.entries, RELISTING_MS, now);
        self.has_list |= is_whole;
    }
}
