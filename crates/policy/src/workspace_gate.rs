//! Admission of one workspace's requests on one host.
//!
//! While a hub answers, the host admits the share of requests that the hub
//! assigned. Without a hub it admits at most its equal part of the workspace's
//! limit (the limit divided by the number of hosts), so hosts without a hub
//! together stay within the limit.

use crocushoist_state::ClockTime;

use crate::WindowLimit;

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
#[derive(Clone, Copy, Debug)]
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
            admitted: 0,
            refused: 0,
        }
    }

    /// Decides on a request of a workspace with `limit` in a fleet of `hosts` hosts.
    ///
    /// `assigned_share` is the share that a hub assigned, or `None` if no hub did so recently.
    pub fn decide(
        &mut self,
        limit: WindowLimit,
        assigned_share: Option<f64>,
        hosts: usize,
        now: ClockTime,
    ) -> GateDecision {
        let admits = match assigned_share {
            _ if limit.rate <= 0.0 => true,
            Some(share) => self.spend_credit(share),
            None => self.spend_local_token(limit, hosts, now),
        };
        if admits {
            self.admitted = self.admitted.wrapping_add(1);
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
    }

    fn spend_credit(&mut self, share: f64) -> bool {
        self.share = share;
        self.credit = (self.credit + share).min(1.0 + INITIAL_CREDIT);
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    fn spend_local_token(&mut self, limit: WindowLimit, hosts: usize, now: ClockTime) -> bool {
        let hosts = hosts.max(1) as f64;
        let cap = (limit.burst / hosts).max(MIN_BURST);
        if std::mem::take(&mut self.is_first_use) {
            let part = (limit.rate + limit.burst) / hosts;
            self.local_tokens = (part * INITIAL_PART).min(MIN_BURST);
        }
        let seconds = now.since(self.local_refilled_at) as f64 / 1_000.0;
        self.local_tokens = (self.local_tokens + limit.rate / hosts * seconds).min(cap);
        self.local_refilled_at = self.local_refilled_at.max(now);
        if self.local_tokens < 1.0 {
            return false;
        }
        self.local_tokens -= 1.0;
        true
    }

    /// Wait in milliseconds suggested to a refused caller; it grows as the share falls.
    fn wait_ms(&self) -> u64 {
        const MIN_WAIT_MS: f64 = 400.0;
        const MAX_WAIT_MS: f64 = 3_000.0;
        (MIN_WAIT_MS / self.share.max(0.05)).min(MAX_WAIT_MS) as u64
    }
}
