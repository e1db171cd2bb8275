//! An instance of a service, as one host knows it.

use crocushoist_state::ClockTime;

use crate::AttemptOutcome;
use crate::InstanceBelief;
use crate::InstanceListing;
use crate::OutcomeCounts;
use crate::Presence;
use crate::name_hash;

/// Milliseconds that an instance is passed over after it shed a request.
const SHED_PAUSE_MS: u64 = 150;

/// Milliseconds that this host passes an instance over that it cannot reach: the first time and the longest.
const FIRST_UNREACHED_MS: u64 = 1_500;
const MAX_UNREACHED_MS: u64 = 6_000;

/// Milliseconds that an own failure outweighs what a hub tells, some exchanges.
const OWN_FAILURE_MS: u64 = 500;

/// Milliseconds without an outcome after which a suspected instance is to be tried.
///
/// The platform takes an instance for sound two seconds after a failure of its own, and
/// asks that it gets a request in the two seconds after that; three trials fit.
const TRIAL_EVERY_MS: u64 = 1_200;

/// Milliseconds for which a host may use a trial that it was given.
const TRIAL_HOLDS_MS: u64 = 1_000;

/// Part of a new latency in the smoothed one.
const LATENCY_GAIN: f64 = 0.08;

/// An instance of a service, as one host knows it.
#[derive(Clone, Debug)]
pub struct InstanceState {
    /// Newest entry.
    pub listing: InstanceListing,
    /// Hash of the id, as datagrams carry it.
    pub hash: u32,
    /// Whether it is in the list.
    pub presence: Presence,
    /// Offset after which the entry last changed in more than its number.
    pub changed_at: u64,
    /// Requests in flight from this host.
    pub in_flight: u32,
    /// Requests in flight from all hosts, but for those from this one.
    others_in_flight: u32,
    warm_at: ClockTime,
    belief: InstanceBelief,
    latency_ms: f64,
    passed_over_until: ClockTime,
    unreached_ms: u64,
    failed_at: Option<ClockTime>,
    /// When an outcome was last heard of, or a trial given to a host.
    tried_at: ClockTime,
    /// Until when this host may try it, once.
    trial_until: ClockTime,
    left_by_own_word: bool,
    counts: OutcomeCounts,
}

impl InstanceState {
    /// State of an instance whose entry changed at `offset`, with an assumed latency.
    pub(crate) fn new(
        offset: u64,
        listing: InstanceListing,
        latency_ms: f64,
        now: ClockTime,
    ) -> Self {
        InstanceState {
            hash: name_hash(&listing.id),
            presence: Presence::Listed,
            changed_at: offset,
            in_flight: 0,
            others_in_flight: 0,
            warm_at: now.plus(listing.warm_up_ms),
            belief: InstanceBelief::new(now),
            latency_ms,
            passed_over_until: ClockTime::default(),
            unreached_ms: FIRST_UNREACHED_MS,
            failed_at: None,
            tried_at: now,
            trial_until: ClockTime::default(),
            left_by_own_word: false,
            counts: OutcomeCounts::default(),
            listing,
        }
    }

    /// Whether it takes requests at `now`.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        let is_present = match self.presence {
            Presence::Listed => true,
            Presence::Lapsing(until) => now < until,
            Presence::Gone => false,
        };
        is_present && !self.listing.leaving && !self.left_by_own_word
    }

    /// Whether this host does not pass it over for a moment.
    pub fn is_rested(&self, now: ClockTime) -> bool {
        self.passed_over_until <= now
    }

    /// Probability that it is faulty.
    pub fn faulty(&self, now: ClockTime) -> f64 {
        self.belief.faulty(now)
    }

    /// Smoothed latency in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Requests in flight from all hosts, as far as this one knows.
    pub fn load(&self) -> u32 {
        self.others_in_flight + self.in_flight
    }

    /// Requests beyond the slots, per slot, if one more is sent.
    pub fn queue(&self) -> f64 {
        let slots = self.listing.slots.max(1);
        f64::from((self.load() + 1).saturating_sub(slots)) / f64::from(slots)
    }

    /// Milliseconds that it is still slow after its start.
    pub fn warm_up_ms(&self, now: ClockTime) -> u64 {
        self.warm_at.since(now)
    }

    /// Takes a newer entry; whether more than its number changed.
    pub(crate) fn take_entry(&mut self, listing: InstanceListing, now: ClockTime) -> bool {
        let is_back = self.presence != Presence::Listed;
        let is_same = InstanceListing {
            seq: listing.seq,
            warm_up_ms: listing.warm_up_ms,
            ..self.listing.clone()
        } == listing;
        self.presence = Presence::Listed;
        self.warm_at = now.plus(listing.warm_up_ms);
        self.listing = listing;
        is_back || !is_same
    }

    /// Notes the instance's own word that it is not the one listed.
    pub(crate) fn note_own_word(&mut self) {
        self.left_by_own_word = true;
    }

    /// Notes an outcome seen by this host.
    pub(crate) fn observe(&mut self, outcome: AttemptOutcome, latency_ms: u64, now: ClockTime) {
        self.tried_at = self.tried_at.max(now);
        self.belief.observe(outcome, now);
        match outcome {
            AttemptOutcome::Good => self.counts.good += 1,
            AttemptOutcome::Late => self.counts.late += 1,
            AttemptOutcome::Failed => self.counts.failed += 1,
            AttemptOutcome::Unreachable => self.counts.unreachable += 1,
        }
        if matches!(outcome, AttemptOutcome::Good | AttemptOutcome::Late) {
            self.unreached_ms = FIRST_UNREACHED_MS;
            self.note_latency(latency_ms as f64);
            self.counts.latency_sum_ms += latency_ms as u32;
        } else {
            self.failed_at = Some(now);
        }
    }

    /// Notes outcomes that other hosts saw.
    pub(crate) fn observe_counts(&mut self, counts: &OutcomeCounts, now: ClockTime) {
        self.tried_at = self.tried_at.max(now);
        let answered = counts.good + counts.late;
        if let Some(mean) = counts.latency_sum_ms.checked_div(answered) {
            for _ in 0..answered {
                self.note_latency(f64::from(mean));
            }
        }
        let outcomes = [
            (AttemptOutcome::Good, counts.good),
            (AttemptOutcome::Late, counts.late),
            (AttemptOutcome::Failed, counts.failed),
            (AttemptOutcome::Unreachable, counts.unreachable),
        ];
        for (outcome, count) in outcomes {
            for _ in 0..count {
                self.belief.observe(outcome, now);
            }
        }
    }

    /// Gives out a trial if no outcome was heard of for long, as the hub.
    pub(crate) fn give_trial(&mut self, now: ClockTime) -> bool {
        let is_due = now.since(self.tried_at) > TRIAL_EVERY_MS;
        if is_due {
            self.tried_at = now;
        }
        is_due
    }

    /// Notes a trial that the hub gave to this host.
    pub(crate) fn take_trial(&mut self, now: ClockTime) {
        self.trial_until = now.plus(TRIAL_HOLDS_MS);
    }

    /// Whether this host shall try it.
    pub(crate) fn has_trial(&self, now: ClockTime) -> bool {
        now < self.trial_until
    }

    /// Notes that a request goes there, which uses a trial up.
    pub(crate) fn note_sent(&mut self) {
        self.in_flight += 1;
        self.trial_until = ClockTime::default();
    }

    /// Takes the counts since the last call.
    pub(crate) fn take_counts(&mut self) -> OutcomeCounts {
        std::mem::take(&mut self.counts)
    }

    /// Takes what a hub believes; an own failure of late outweighs it.
    pub(crate) fn take_told(&mut self, faulty: f64, latency_ms: f64, now: ClockTime) {
        self.latency_ms = latency_ms;
        let failed_lately = self
            .failed_at
            .is_some_and(|at| now.since(at) < OWN_FAILURE_MS);
        if !failed_lately || faulty > self.belief.faulty(now) {
            self.belief = InstanceBelief::told(faulty, now);
        }
    }

    /// Takes the requests in flight from all other hosts.
    pub(crate) fn take_others_in_flight(&mut self, count: u32) {
        self.others_in_flight = count;
    }

    /// Passes it over, because this host cannot reach it, longer each time.
    pub(crate) fn note_unreached(&mut self, now: ClockTime) {
        self.passed_over_until = now.plus(self.unreached_ms);
        self.unreached_ms = (self.unreached_ms * 2).min(MAX_UNREACHED_MS);
    }

    /// Passes it over for a moment, because it shed a request.
    pub(crate) fn note_shed(&mut self, now: ClockTime) {
        self.passed_over_until = now.plus(SHED_PAUSE_MS);
    }

    fn note_latency(&mut self, millis: f64) {
        self.latency_ms += (millis - self.latency_ms) * LATENCY_GAIN;
    }
}
