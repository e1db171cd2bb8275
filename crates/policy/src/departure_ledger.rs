//! Departure notices that a host has seen or was told.
//!
//! The ledger is kept apart from the instance list: a list that is read again,
//! or that is older than what the host knew, takes no notice back.

use std::collections::BTreeMap;

use crocushoist_state::ClockTime;

use crate::DepartureNotice;
use crate::drawn_part::keep_drawn_part;

/// Maximum number of notices that are remembered; the earliest is then forgotten.
const MAX_NOTICES: usize = 4_096;

/// Milliseconds for which other hosts are told about an instance that left the list.
///
/// Longer than an instance runs on after it left, or a store needs to come back with older entries.
const TELL_MS: u64 = 60_000;

/// Maximum number of notices in one message; a longer list is told in parts drawn at random.
const MAX_TOLD: usize = 24;

/// Departure notices, each with the time when this host learnt it.
#[derive(Clone, Debug, Default)]
pub(crate) struct DepartureLedger {
    learnt_at: BTreeMap<DepartureNotice, ClockTime>,
}

impl DepartureLedger {
    /// Records a notice; returns whether it is new.
    pub(crate) fn record(&mut self, notice: DepartureNotice, now: ClockTime) -> bool {
        if self.contains(notice) {
            return false;
        }
        if self.learnt_at.len() >= MAX_NOTICES {
            let learnt = self.learnt_at.iter();
            let earliest = learnt.min_by_key(|(_, at)| **at).map(|(notice, _)| *notice);
            self.learnt_at.retain(|known, _| Some(*known) != earliest);
        }
        self.learnt_at.insert(notice, now);
        true
    }

    /// Whether the ledger has `notice`.
    pub(crate) fn contains(&self, notice: DepartureNotice) -> bool {
        self.learnt_at.contains_key(&notice)
    }

    /// Notices for one message to another host, at most `MAX_TOLD`: those of instances for which
    /// `is_present` holds, and others that this host learnt lately. `draw` is a random number from
    /// 0 to 1.
    pub(crate) fn told(
        &self,
        draw: f64,
        is_present: impl Fn(DepartureNotice) -> bool,
        now: ClockTime,
    ) -> Vec<DepartureNotice> {
        let mut notices: Vec<DepartureNotice> = self
            .learnt_at
            .iter()
            .filter(|(notice, at)| now.since(**at) <= TELL_MS || is_present(**notice))
            .map(|(notice, _)| *notice)
            .collect();
        keep_drawn_part(&mut notices, MAX_TOLD, draw);
        notices
    }
}
