//! Requests that were in flight at instances when these crashed.
//!
//! A request may crash each instance that begins to run it. Several requests
//! are in flight at a crash, and most of them are sound. A sound one succeeds
//! sooner or later, at any host, and is no longer suspected; the deadly one is
//! in flight at one crash after the other and never succeeds. Once it has
//! crashed [`MAX_CRASHES`] starts of instances, no host sends it any more.
//!
//! A popular request may be in flight at several crashes before any host that
//! knows of them has served it again. So a host that served it in the last
//! seconds takes it for sound, whichever host saw the crashes, and tells the
//! others.
//!
//! The ledger has entries for requests that were in flight at a crash only, so
//! its size does not depend on how many callers there are. It also knows which
//! starts of instances crashed when, so that a request that was sent to one of
//! them afterwards isn't blamed.

use std::collections::HashMap;

use crocushoist_state::ClockTime;

use crate::CrashSuspicion;
use crate::DepartureNotice;
use crate::drawn_part::keep_drawn_part;
use crate::recent_successes::RecentSuccesses;

/// Number of crashes from which a request is not sent any more.
pub const MAX_CRASHES: usize = 3;

/// Number of crashes from which a request is sent to one instance only.
pub const MAX_CRASHES_FOR_RETRY: usize = 2;

/// Milliseconds for which a request is not sent, and for which a smaller number of crashes is
/// remembered.
const REFUSED_MS: u64 = 300_000;
const SUSPECTED_MS: u64 = 60_000;

/// Maximum number of requests that are remembered; the one with the fewest crashes, and of those
/// the earliest, is then forgotten.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashes that are remembered with their times.
const MAX_CRASH_TIMES: usize = 1_024;

/// Maximum number of requests in one message; a longer list is told in parts drawn at random.
const MAX_TOLD: usize = 16;

/// Crashes of one request since it last succeeded.
#[derive(Clone, Debug, Default)]
struct SuspectEntry {
    round: u32,
    crashed: Vec<DepartureNotice>,
    changed_at: ClockTime,
}

/// Requests that were in flight at instances when these crashed.
#[derive(Clone, Debug, Default)]
pub struct SuspectLedger {
    entries: HashMap<u64, SuspectEntry>,
    successes: RecentSuccesses,
    /// Starts of instances that crashed, each with the earliest time at which this is known.
    crash_times: HashMap<DepartureNotice, ClockTime>,
}

impl SuspectLedger {
    /// Whether no request is or was suspected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of crashes of `request` since it last succeeded.
    pub fn crash_count(&self, request: u64, now: ClockTime) -> usize {
        let entry = self.entries.get(&request);
        let entry = entry.filter(|entry| entry.is_remembered(now));
        entry.map_or(0, |entry| entry.crashed.len())
    }

    /// Whether the start `crashed` of an instance is known to have crashed before `at`.
    pub fn had_crashed(&self, crashed: DepartureNotice, at: ClockTime) -> bool {
        let crash_time = self.crash_times.get(&crashed);
        crash_time.is_some_and(|crash_time| *crash_time < at)
    }

    /// Number of requests that are not sent any more.
    pub fn refused_count(&self, now: ClockTime) -> usize {
        let entries = self.entries.values();
        let refused = entries.filter(|entry| entry.is_refused() && entry.is_remembered(now));
        refused.count()
    }

    /// Records that `request` was in flight at an instance that crashed; returns whether it is not
    /// sent any more from now on.
    pub fn record_crash(&mut self, request: u64, crashed: DepartureNotice, now: ClockTime) -> bool {
        self.add_crash_time(crashed, now);
        if self.successes.contains(request, now) {
            self.end_suspicion(request, now);
            return false;
        }
        self.forget_old(now);
        let entry = self.entries.entry(request).or_default();
        let was_refused = entry.is_refused();
        entry.add(crashed, now);
        !was_refused && entry.is_refused()
    }

    /// Records that `request` succeeded, which ends the suspicion; returns whether there was one.
    pub fn record_success(&mut self, request: u64, now: ClockTime) -> bool {
        self.successes.add(request, now);
        self.end_suspicion(request, now)
    }

    /// Begins the next round of `request` if it is suspected; returns whether it was.
    fn end_suspicion(&mut self, request: u64, now: ClockTime) -> bool {
        let entry = self.entries.get_mut(&request);
        let Some(entry) = entry.filter(|entry| !entry.crashed.is_empty()) else {
            return false;
        };
        *entry = SuspectEntry {
            round: entry.round.saturating_add(1),
            crashed: Vec::new(),
            changed_at: now,
        };
        true
    }

    /// Applies what another host told; returns whether the request is not sent any more from now
    /// on.
    pub fn apply(&mut self, told: &CrashSuspicion, now: ClockTime) -> bool {
        let changed_at = now.minus(told.age_ms);
        let told_entry = SuspectEntry {
            round: told.round,
            crashed: Vec::new(),
            changed_at,
        };
        if !told_entry.is_remembered(now) && told.crashed.len() < MAX_CRASHES {
            return false;
        }
        self.forget_old(now);
        for crashed in told.crashed.iter().take(MAX_CRASHES) {
            self.add_crash_time(*crashed, changed_at);
        }
        let entry = self.entries.entry(told.request).or_insert(told_entry);
        if told.round < entry.round {
            return false;
        }
        let was_refused = entry.is_refused();
        if told.round > entry.round {
            *entry = SuspectEntry {
                round: told.round,
                crashed: Vec::new(),
                changed_at,
            };
        }
        for crashed in &told.crashed {
            entry.add(*crashed, changed_at);
        }
        let is_refused = entry.is_refused() && entry.is_remembered(now);
        if self.successes.contains(told.request, now) {
            self.end_suspicion(told.request, now);
            return false;
        }
        !was_refused && is_refused
    }

    /// Suspicions for one message to another host; `draw` is a random number from 0 to 1.
    pub fn told(&self, draw: f64, now: ClockTime) -> Vec<CrashSuspicion> {
        let entries = self.entries.iter();
        let mut told: Vec<CrashSuspicion> = entries
            .filter(|(_, entry)| entry.is_remembered(now))
            .map(|(request, entry)| CrashSuspicion {
                request: *request,
                round: entry.round,
                crashed: entry.crashed.clone(),
                age_ms: now.since(entry.changed_at),
            })
            .collect();
        if told.len() > MAX_TOLD {
            told.sort_unstable_by_key(|suspicion| suspicion.request);
        }
        keep_drawn_part(&mut told, MAX_TOLD, draw);
        told
    }

    fn add_crash_time(&mut self, crashed: DepartureNotice, at: ClockTime) {
        if self.crash_times.len() >= MAX_CRASH_TIMES {
            let times = self.crash_times.iter();
            let earliest = times.min_by_key(|(_, crash_time)| **crash_time);
            let earliest = earliest.map(|(start, _)| *start);
            self.crash_times.retain(|start, _| Some(*start) != earliest);
        }
        let crash_time = self.crash_times.entry(crashed).or_insert(at);
        *crash_time = at.min(*crash_time);
    }

    fn forget_old(&mut self, now: ClockTime) {
        self.entries.retain(|_, entry| entry.is_remembered(now));
        if self.entries.len() >= MAX_SUSPECTS {
            let entries = self.entries.iter();
            let least = entries.min_by_key(|(_, entry)| (entry.crashed.len(), entry.changed_at));
            let least = least.map(|(request, _)| *request);
            self.entries.retain(|request, _| Some(*request) != least);
        }
    }
}

impl SuspectEntry {
    fn is_refused(&self) -> bool {
        self.crashed.len() >= MAX_CRASHES
    }

    fn is_remembered(&self, now: ClockTime) -> bool {
        let remembered_ms = if self.is_refused() {
            REFUSED_MS
        } else {
            SUSPECTED_MS
        };
        now.since(self.changed_at) <= remembered_ms
    }

    /// Adds a crash that became known at `at`. Further ones than are needed tell nothing.
    fn add(&mut self, crashed: DepartureNotice, at: ClockTime) {
        if self.is_refused() || self.crashed.contains(&crashed) {
            return;
        }
        self.crashed.push(crashed);
        self.changed_at = self.changed_at.max(at);
    }
}
