//! Records in the store of the workspaces that are near their limits.
//!
//! When all hosts restart at once, no host remembers what was admitted before,
//! and could admit a window's requests a second time. Therefore the hub of each
//! data centre keeps a record in the store that lists the workspaces whose
//! windows are nearly full. Hosts read these records when they start: requests
//! of a listed workspace are admitted only as its window empties, those of any
//! other one immediately. A record is written when its list changes, which is
//! rare.

use std::collections::BTreeSet;
use std::collections::HashMap;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::InitialUse;
use crate::window_limiter::WINDOW_MS;

/// Milliseconds for which a workspace stays in the record after its window was last nearly full.
///
/// Typical demand occasionally fills the window of a small workspace by random variation;
/// keeping it in the record is cheaper than writing the record again.
const KEEP_NEAR_FULL_MS: u64 = 4_000;

/// Milliseconds after which an unchanged record that lists workspaces is written again.
const RENEW_INTERVAL_MS: u64 = 12_000;

/// Minimum interval in milliseconds between writes of a record.
const MIN_WRITE_INTERVAL_MS: u64 = 1_000;

/// Share of the requests of an unrecorded workspace that a host admits before a hub assigned a
/// share.
///
/// The demand is not known and may have grown since the records were written.
const UNASSIGNED_SHARE: f64 = 0.8;

/// Milliseconds for which [`UNASSIGNED_SHARE`] applies; a hub assigns its first shares within
/// half of them.
const UNASSIGNED_SHARE_MS: u64 = 700;

/// Maximum age in milliseconds at which a record is still used; the margin is for wall clocks,
/// which may jump by several seconds.
pub const MAX_RECORD_AGE_MS: u64 = 40_000;

/// Workspaces near their limits, as hashes of their names.
pub type NearFullWorkspaces = BTreeSet<u32>;

/// Near-full records of all data centres.
#[derive(Clone, Debug, Default)]
pub struct NearFullRecords {
    /// Time at which the records of all data centres were read.
    read_at: Option<ClockTime>,
    /// Records in the store, by data centre.
    stored: HashMap<CompactString, NearFullWorkspaces>,
    /// Workspaces to record for this data centre, each with the time when it was last near full.
    local: HashMap<u32, ClockTime>,
    /// Time of the last write by this host.
    written_at: Option<ClockTime>,
    /// Whether the record is written again although it is unchanged.
    must_write: bool,
}

impl NearFullRecords {
    /// Sets the record of `data_centre` as read from the store or written to it.
    pub fn set_record(&mut self, data_centre: &str, near_full: NearFullWorkspaces) {
        self.stored.insert(data_centre.into(), near_full);
    }

    /// Sets the time at which the records of all data centres were read.
    pub fn set_read_at(&mut self, now: ClockTime) {
        self.read_at = Some(now);
    }

    /// Whether no workspace is to be recorded for this data centre.
    pub fn is_local_empty(&self) -> bool {
        self.local.is_empty()
    }

    /// Has the record written again although it is unchanged.
    pub fn request_write(&mut self) {
        self.must_write = true;
    }

    /// Whether the records were read at most one window ago.
    pub fn is_recently_read(&self, now: ClockTime) -> bool {
        self.read_at.is_some_and(|at| now.since(at) <= WINDOW_MS)
    }

    /// What the records say about the use of the window of `workspace`.
    pub fn initial_use(&self, workspace: u32, now: ClockTime) -> InitialUse {
        if !self.is_recently_read(now) {
            InitialUse::Unknown
        } else if self
            .stored
            .values()
            .any(|stored| stored.contains(&workspace))
        {
            InitialUse::NearFull
        } else {
            InitialUse::Unrecorded
        }
    }

    /// Workspaces that any record lists, if the records were read recently.
    pub fn near_full(&self, now: ClockTime) -> NearFullWorkspaces {
        if !self.is_recently_read(now) {
            return NearFullWorkspaces::new();
        }
        self.stored.values().flatten().copied().collect()
    }

    /// Share of the requests of `workspace` that a host admits before a hub assigned one.
    ///
    /// It is `None` if the records were not read recently, or if none lists the workspace and they
    /// were read more than `UNASSIGNED_SHARE_MS` ago.
    pub fn initial_share(&self, workspace: u32, now: ClockTime) -> Option<f64> {
        let since_read = self.read_at.map_or(u64::MAX, |at| now.since(at));
        match self.initial_use(workspace, now) {
            InitialUse::NearFull => Some(0.0),
            InitialUse::Unrecorded if since_read <= UNASSIGNED_SHARE_MS => Some(UNASSIGNED_SHARE),
            _ => None,
        }
    }

    /// Adds `workspace` to the list for this data centre.
    pub fn mark_near_full(&mut self, workspace: u32, now: ClockTime) {
        self.local.insert(workspace, now);
    }

    /// Keeps `workspace` in the list for this data centre, if it is there.
    pub fn keep_near_full(&mut self, workspace: u32, now: ClockTime) {
        if let Some(at) = self.local.get_mut(&workspace) {
            *at = now;
        }
    }

    /// Returns the record to write for `data_centre` if the stored one is outdated.
    ///
    /// The caller writes it and then passes it to [`Self::set_record`]. A hub that has received
    /// reports for less than a whole window (`may_clear` is false) only adds workspaces, because
    /// an earlier hub may have written the others.
    pub fn record_to_write(
        &mut self,
        data_centre: &str,
        may_clear: bool,
        now: ClockTime,
    ) -> Option<NearFullWorkspaces> {
        self.local
            .retain(|_, at| now.since(*at) <= KEEP_NEAR_FULL_MS);
        let mut near_full: NearFullWorkspaces = self.local.keys().copied().collect();
        if !may_clear && let Some(stored) = self.stored.get(data_centre) {
            near_full.extend(stored);
        }
        self.read_at?;
        let since_write = self.written_at.map_or(u64::MAX, |at| now.since(at));
        let is_unchanged = match self.stored.get(data_centre) {
            Some(stored) => *stored == near_full,
            None => near_full.is_empty(),
        };
        let is_renewal = !self.local.is_empty() && since_write >= RENEW_INTERVAL_MS;
        if (is_unchanged && !is_renewal && !self.must_write) || since_write < MIN_WRITE_INTERVAL_MS
        {
            return None;
        }
        self.written_at = Some(now);
        self.must_write = false;
        Some(near_full)
    }
}
