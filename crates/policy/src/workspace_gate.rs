//! Admission of one workspace's requests on one host.
//!
//! While a hub answers, the host admits the share of requests that the hub
//! assigned. The share follows what the hub has counted, so what a host admits
//! beyond the counts of an answered report is bounded by a number. Without a hub
//! it admits at most its equal part of the workspace's limit (the limit divided
//! by the number of hosts), so hosts without a hub together stay within the
//! limit.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::WindowLimit;
use crate::sliding_count::SlidingCount;
use crate::window_limiter::WINDOW_MS;
use crate::window_limiter::window_capacity;

/// Minimum burst, in requests, of a host's equal part.
const MIN_BURST: f64 = 1.0;

/// Fraction of its equal part of the limit that a host may admit right after its start.
///
/// All hosts may have restarted together, and their earlier admissions are not known.
const INITIAL_PART: f64 = 0.2;

/// Initial credit, in requests, of a host that has admitted nothing yet.
///
/// With a credit of 1 every host of the fleet could admit one request immediately, which is
/// more than the window of a small workspace allows.
const INITIAL_CREDIT: f64 = 0.5;

/// Part of its equal part of a window that a host may admit beyond what an answered report counts.
const UNCOUNTED_FRACTION: f64 = 0.5;

/// The same, as a fraction of what the host admitted in the last window; its callers may send to
/// this host alone.
const UNCOUNTED_FRACTION_OF_USE: f64 = 0.4;

/// Lower bound of the same, in requests, whatever the size of the fleet.
const MIN_UNCOUNTED: f64 = 2.0;

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GateDecision {
    /// The request is within the limit.
    Admit,
    /// The request exceeds the limit.
    Refuse {
        /// Milliseconds after which a retry may succeed.
        wait_ms: u64,
    },
}

/// Admission of one workspace's requests on one host.
#[derive(Clone, Debug)]
pub struct WorkspaceGate {
    /// Last share that a hub assigned.
    share: f64,
    /// Admissions due under the assigned share, with the fraction carried over.
    credit: f64,
    /// Token bucket for the time without a hub.
    local_tokens: f64,
    /// Time of the last refill of `local_tokens`.
    local_refilled_at: ClockTime,
    /// Whether no request was decided without a hub yet.
    is_first_use: bool,
    /// Requests admitted in the last window.
    recent: SlidingCount,
    /// Times of the admissions that no answered report counts.
    uncounted: VecDeque<ClockTime>,
    /// Requests admitted since the start.
    pub admitted: u32,
    /// Requests refused since the start.
    pub refused: u32,
}

impl WorkspaceGate {
    /// Gate for a workspace without requests so far.
    pub fn new(now: ClockTime) -> Self {
        WorkspaceGate {
            share: 1.0,
            credit: INITIAL_CREDIT,
            local_tokens: 0.0,
            is_first_use: true,
            local_refilled_at: now,
            recent: SlidingCount::new(WINDOW_MS),
            uncounted: VecDeque::new(),
            admitted: 0,
            refused: 0,
        }
    }

    /// Decides on a request of a workspace with `limit` in a fleet of `hosts` hosts.
    ///
    /// `assigned_share` is the share that a hub assigned, or `None` if no hub did so recently;
    /// `answered_at` is when the last report was sent that a hub answered.
    pub fn decide(
        &mut self,
        limit: WindowLimit,
        assigned_share: Option<f64>,
        answered_at: Option<ClockTime>,
        hosts: usize,
        now: ClockTime,
    ) -> GateDecision {
        if limit.rate <= 0.0 {
            self.admitted = self.admitted.wrapping_add(1);
            return GateDecision::Admit;
        }
        self.drop_counted(answered_at, now);
        let admits = match assigned_share {
            Some(_) if !self.has_uncounted_room(limit, hosts, now) => false,
            Some(share) => self.spend_credit(share, limit, hosts, now),
            None => self.spend_local_token(limit, hosts, now),
        };
        if admits {
            self.admitted = self.admitted.wrapping_add(1);
            self.recent.add(now);
            self.uncounted.push_back(now);
            return GateDecision::Admit;
        }
        self.refused = self.refused.wrapping_add(1);
        GateDecision::Refuse {
            wait_ms: self.wait_ms(),
        }
    }

    /// Undoes the last admission because its request was not sent.
    pub fn undo_admission(&mut self) {
        self.admitted = self.admitted.wrapping_sub(1);
        self.uncounted.pop_back();
    }

    /// Forgets the admissions that an answered report counts or that have left the window.
    fn drop_counted(&mut self, answered_at: Option<ClockTime>, now: ClockTime) {
        let is_counted = |at: ClockTime| answered_at.is_some_and(|answered_at| at < answered_at);
        while let Some(at) = self.uncounted.front().copied()
            && (is_counted(at) || now.since(at) > WINDOW_MS)
        {
            self.uncounted.pop_front();
        }
    }

    /// Whether a further admission stays within the number that the host may admit beyond the
    /// counts of an answered report.
    fn has_uncounted_room(&mut self, limit: WindowLimit, hosts: usize, now: ClockTime) -> bool {
        let part = window_capacity(limit) / hosts.max(1) as f64;
        let use_part = f64::from(self.recent.in_window(now)) * UNCOUNTED_FRACTION_OF_USE;
        let room = use_part.max(part * UNCOUNTED_FRACTION).max(MIN_UNCOUNTED);
        (self.uncounted.len() as f64) < room
    }

    fn spend_credit(
        &mut self,
        share: f64,
        limit: WindowLimit,
        hosts: usize,
        now: ClockTime,
    ) -> bool {
        self.share = share;
        self.credit = (self.credit + share).min(1.0 + INITIAL_CREDIT);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        // A host that used the share has that much less of its own part.
        self.refill_local_tokens(limit, hosts, now);
        self.local_tokens = (self.local_tokens - 1.0).max(0.0);
        true
    }

    fn spend_local_token(&mut self, limit: WindowLimit, hosts: usize, now: ClockTime) -> bool {
        self.refill_local_tokens(limit, hosts, now);
        if self.local_tokens < 1.0 {
            return false;
        }
        self.local_tokens -= 1.0;
        true
    }

    fn refill_local_tokens(&mut self, limit: WindowLimit, hosts: usize, now: ClockTime) {
        let hosts = hosts.max(1) as f64;
        let cap = (limit.burst / hosts).max(MIN_BURST);
        if std::mem::take(&mut self.is_first_use) {
            let part = (limit.rate + limit.burst) / hosts;
            self.local_tokens = (part * INITIAL_PART).min(MIN_BURST);
        }
        let seconds = now.since(self.local_refilled_at) as f64 / 1_000.0;
        self.local_tokens = (self.local_tokens + limit.rate / hosts * seconds).min(cap);
        self.local_refilled_at = self.local_refilled_at.max(now);
    }

    /// Wait in milliseconds suggested to a refused caller; it grows as the share falls.
    fn wait_ms(&self) -> u64 {
        const MIN_WAIT_MS: f64 = 400.0;
        const MAX_WAIT_MS: f64 = 3_000.0;
        (MIN_WAIT_MS / self.share.max(0.05)).min(MAX_WAIT_MS) as u64
    }
}
