//! Offers one instance without recent requests to hosts for a trial request.
//!
//! A host may have no suitable request for seconds, so a hub offers a trial to
//! several hosts at once, in rounds. It learns from outcomes and from reports
//! that a trial was used and then waits for the next interval.

use crocushoist_state::ClockTime;

/// Instance that a host may try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialOffer {
    /// Hash of the instance's id.
    pub instance: u32,
    /// Whether a request that may run only once, or one that cannot be sent again, may try it.
    pub is_required: bool,
}

/// Milliseconds after a response of an instance at which the hub offers the next trial.
const INTERVAL_AFTER_RESPONSE_MS: u64 = 1_000;

/// Milliseconds after a failure, or after a trial without a known outcome, likewise.
///
/// The users' platform counts an instance as healthy two seconds after its last failure and
/// requires that it gets a request in the following two seconds. Several rounds fit in the rest.
const INTERVAL_AFTER_FAILURE_MS: u64 = 1_600;

/// Milliseconds for which an offer is valid, and length of a round.
pub(crate) const OFFER_VALID_MS: u64 = 300;

/// Number of rounds for requests that may run again, before other requests may be used too.
const MAX_UNUSED_ROUNDS: u32 = 1;

/// Which requests may be used for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialKind {
    /// Requests that may run again and can still be sent to another instance.
    Optional,
    /// Any request.
    Required,
}

/// Offers of the trials of one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialRound {
    /// Time from which a trial is offered.
    due_at: ClockTime,
    /// Time at which the current round ends.
    ends_at: ClockTime,
    /// Which requests the current round is for, `None` if none has begun since the last request.
    kind: Option<TrialKind>,
    /// Offers left in the current round.
    remaining: u32,
    /// Time of the last offer.
    offered_at: ClockTime,
    /// Number of rounds since the last request.
    unused_rounds: u32,
}

impl TrialRound {
    /// No trial is due before one interval has passed.
    pub(crate) fn new(now: ClockTime) -> Self {
        TrialRound {
            due_at: now.plus(INTERVAL_AFTER_RESPONSE_MS),
            ends_at: ClockTime::default(),
            kind: None,
            remaining: 0,
            offered_at: ClockTime::default(),
            unused_rounds: 0,
        }
    }

    /// Records a request to the instance and whether it got a response; returns which round of
    /// offers was open.
    pub(crate) fn record_tried(&mut self, has_response: bool, now: ClockTime) -> Option<TrialKind> {
        let interval_ms = if has_response {
            INTERVAL_AFTER_RESPONSE_MS
        } else {
            INTERVAL_AFTER_FAILURE_MS
        };
        self.due_at = now.plus(interval_ms);
        self.ends_at = ClockTime::default();
        self.remaining = 0;
        self.unused_rounds = 0;
        self.kind.take()
    }

    /// Whether a trial is due at `now`.
    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        self.due_at <= now
    }

    /// Which round has begun since the last request.
    pub(crate) fn open_kind(&self) -> Option<TrialKind> {
        self.kind
    }

    /// Whether the current round, if any, is over.
    pub(crate) fn is_over(&self, now: ClockTime) -> bool {
        self.ends_at <= now
    }

    /// Whether enough rounds passed without a request that may run again.
    pub(crate) fn is_overdue(&self) -> bool {
        self.unused_rounds > MAX_UNUSED_ROUNDS
    }

    /// Starts a round of `offers` offers.
    pub(crate) fn start(&mut self, kind: TrialKind, offers: u32, now: ClockTime) {
        self.kind = Some(kind);
        self.unused_rounds += 1;
        self.ends_at = now.plus(OFFER_VALID_MS);
        self.remaining = offers;
    }

    /// Time of the last offer, of any round.
    pub(crate) fn offered_at(&self) -> ClockTime {
        self.offered_at
    }

    /// Takes one offer of the round, `None` if none is left.
    pub(crate) fn take_offer(&mut self, now: ClockTime) -> Option<TrialKind> {
        self.remaining = self.remaining.checked_sub(1)?;
        self.offered_at = now;
        self.kind
    }
}
