//! Which workspaces were near their limits, kept beyond the life of every host.
//!
//! When all hosts start again at once, nobody remembers what they admitted. So
//! the hub of each data centre keeps a mark in the store that names the
//! workspaces whose windows are nearly full. Hosts that start read the marks:
//! a marked workspace is admitted only as its window empties, any other one at
//! once. A mark is written when its workspaces change, which is rare.

use std::collections::BTreeSet;
use std::collections::HashMap;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::WindowStart;
use crate::window_limiter::WINDOW_MS;

/// Milliseconds for which a workspace stays marked after its window emptied.
///
/// Usual demand of a small workspace fills its window by chance now and then; a mark
/// that stays costs less than writing it again.
const KEEP_MS: u64 = 4_000;

/// Milliseconds between writes of a mark that does not change.
const RENEW_MS: u64 = 12_000;

/// Milliseconds between writes of a mark at the least.
const LEAST_WRITE_MS: u64 = 1_000;

/// Share that a host without word of a hub admits of a workspace without a mark.
///
/// Its demand is not known; it may have grown since the marks were written.
const UNTOLD_SHARE: f64 = 0.8;

/// Milliseconds for which that share holds; a hub tells its first shares within half of them.
const UNTOLD_MS: u64 = 700;

/// Milliseconds of age up to which a mark counts; times of day may jump by some seconds.
pub const MARK_AGE_MS: u64 = 40_000;

/// Workspaces near their limits, by the hashes of their names.
pub type MarkedWorkspaces = BTreeSet<u32>;

/// Marks of the data centres.
#[derive(Clone, Debug, Default)]
pub struct WindowMarks {
    read_at: Option<ClockTime>,
    told: HashMap<CompactString, MarkedWorkspaces>,
    own: HashMap<u32, ClockTime>,
    written_at: Option<ClockTime>,
}

impl WindowMarks {
    /// Takes the mark of `data_centre`.
    pub fn take(&mut self, data_centre: &str, marked: MarkedWorkspaces) {
        self.told.insert(data_centre.into(), marked);
    }

    /// Notes that every mark in the store was taken.
    pub fn note_read(&mut self, now: ClockTime) {
        self.read_at = Some(now);
    }

    /// Whether the marks were read within a window's time.
    pub fn is_read(&self, now: ClockTime) -> bool {
        self.read_at.is_some_and(|at| now.since(at) <= WINDOW_MS)
    }

    /// What the marks tell of the window of `workspace`.
    pub fn start_of(&self, workspace: u32, now: ClockTime) -> WindowStart {
        if !self.is_read(now) {
            WindowStart::Unknown
        } else if self.told.values().any(|told| told.contains(&workspace)) {
            WindowStart::NearlyFull
        } else {
            WindowStart::Unmarked
        }
    }

    /// Workspaces that the marks name.
    pub fn marked(&self, now: ClockTime) -> MarkedWorkspaces {
        if !self.is_read(now) {
            return MarkedWorkspaces::new();
        }
        self.told.values().flatten().copied().collect()
    }

    /// Share that a host admits of `workspace` before a hub told any; `None` if the marks do not say.
    pub fn share_before_told(&self, workspace: u32, now: ClockTime) -> Option<f64> {
        let since_read = self.read_at.map_or(u64::MAX, |at| now.since(at));
        match self.start_of(workspace, now) {
            WindowStart::NearlyFull => Some(0.0),
            WindowStart::Unmarked if since_read <= UNTOLD_MS => Some(UNTOLD_SHARE),
            _ => None,
        }
    }

    /// Notes that the hub of this data centre counts `workspace` as nearly full.
    pub fn note_full(&mut self, workspace: u32, now: ClockTime) {
        self.own.insert(workspace, now);
    }

    /// Keeps `workspace` marked, if it is.
    pub fn note_still_full(&mut self, workspace: u32, now: ClockTime) {
        if let Some(at) = self.own.get_mut(&workspace) {
            *at = now;
        }
    }

    /// Mark to write for `data_centre`, if the one in the store is out of date.
    ///
    /// The caller writes it and takes it then. A hub that heard less than a whole window
    /// (`may_clear` is false) only adds to the mark, which an earlier hub may have written.
    pub fn due(
        &mut self,
        data_centre: &str,
        may_clear: bool,
        now: ClockTime,
    ) -> Option<MarkedWorkspaces> {
        self.own.retain(|_, at| now.since(*at) <= KEEP_MS);
        let mut marked: MarkedWorkspaces = self.own.keys().copied().collect();
        if !may_clear && let Some(told) = self.told.get(data_centre) {
            marked.extend(told);
        }
        self.read_at?;
        let since_write = self.written_at.map_or(u64::MAX, |at| now.since(at));
        let is_same = match self.told.get(data_centre) {
            Some(told) => *told == marked,
            None => marked.is_empty(),
        };
        let is_renewal = !self.own.is_empty() && since_write >= RENEW_MS;
        if (is_same && !is_renewal) || since_write < LEAST_WRITE_MS {
            return None;
        }
        self.written_at = Some(now);
        Some(marked)
    }
}
