//! State of one instance of a service as this host observes it.

use crocushoist_state::ClockTime;

use crate::AttemptOutcome;
use crate::DepartureNotice;
use crate::FaultEstimate;
use crate::InstanceListing;
use crate::OutcomeCounts;
use crate::Presence;
use crate::PresenceEvidence;
use crate::RelayedListing;
use crate::StoreOffset;
use crate::TrialOffer;
use crate::instance_selector::SUSPECT_PROBABILITY;
use crate::name_hash;
use crate::trial_round::OFFER_VALID_MS;
use crate::trial_round::TrialRound;

/// Backoff in milliseconds after an instance shed a request because it was full.
const SHED_BACKOFF_MS: u64 = 150;

/// Backoff in milliseconds after an attempt without a response, until its outcome counts.
const SILENCE_BACKOFF_MS: u64 = 500;

/// Backoff in milliseconds for an instance that this host cannot reach: the first value, and
/// the maximum after doubling.
const MIN_UNREACHABLE_BACKOFF_MS: u64 = 1_500;
const MAX_UNREACHABLE_BACKOFF_MS: u64 = 6_000;

/// Milliseconds without a hold after which the start of another one is reported again.
const HOLD_REPORT_INTERVAL_MS: u64 = 5_000;

/// Milliseconds after a failure seen by this host (several exchanges with the hub) during which a
/// lower estimate of the hub is ignored.
const KEEP_LOCAL_FAILURE_MS: u64 = 500;

/// Milliseconds after a failed connection for which an instance counts as partly unreachable; twice
/// the longest stability time of the users' deployments.
const UNREACHABLE_MEMORY_MS: u64 = 8_000;

/// Weight of a new latency in the exponential moving average.
const LATENCY_SMOOTHING: f64 = 0.08;

/// State of one instance of a service as this host observes it.
#[derive(Clone, Debug)]
pub struct InstanceState {
    /// Newest entry of the instance list.
    pub listing: InstanceListing,
    /// Hash of the id, which identifies the instance in datagrams.
    pub hash: u32,
    /// Whether the instance list contains it, or its entry expired while the store was unavailable.
    pub presence: Presence,
    /// Offset of the last entry that changed more than its sequence number and warm-up.
    pub changed_offset: StoreOffset,
    /// Why the instance is in the list or not.
    pub evidence: PresenceEvidence,
    /// Requests in flight from this host.
    pub in_flight: u32,
    /// Those of them that wait for a connection.
    connecting: u32,
    /// Requests in flight from the other hosts, as last reported by the hub.
    others_in_flight: u32,
    /// Time at which the instance has warmed up.
    warm_up_until: ClockTime,
    /// Probability that the instance is faulty.
    estimate: FaultEstimate,
    /// Moving average of the latency in milliseconds: of this host's attempts, at the hub of all
    /// reported ones. The hub's value replaces that of a host.
    latency_ms: f64,
    /// Time until which this host prefers other instances.
    backoff_until: ClockTime,
    /// Time until which the instance wants no requests from this host.
    hold_until: ClockTime,
    /// Next backoff in milliseconds if this host cannot reach the instance.
    unreachable_backoff_ms: u64,
    /// Time at which a host last failed to connect to the instance.
    last_unreachable_at: Option<ClockTime>,
    /// Time of the last failure seen by this host.
    last_failure_at: Option<ClockTime>,
    /// Whether any outcome is known.
    was_tried: bool,
    /// Whether the instance was warming up when it was first listed.
    joined_cold: bool,
    /// At the hub: offers of trials to hosts.
    pub(crate) trial_round: TrialRound,
    /// Trial that the hub offered to this host, with the time at which the offer ends.
    trial: Option<(TrialOffer, ClockTime)>,
    /// Whether this host used a trial since the last report.
    has_used_trial: bool,
    /// Whether the instance reported that it is leaving, to this host or another one, or is not
    /// the listed instance. A newer entry of the same start does not clear this.
    has_reported_departure: bool,
    /// Outcomes of this host's attempts since the last report.
    counts: OutcomeCounts,
}

impl InstanceState {
    /// State of an instance whose entry is first known as `relayed`, with `latency_ms` assumed
    /// until responses arrive.
    pub(crate) fn new(relayed: RelayedListing, latency_ms: f64, now: ClockTime) -> Self {
        let RelayedListing {
            changed_offset,
            listing,
            presence,
            evidence,
        } = relayed;
        InstanceState {
            hash: name_hash(&listing.id),
            presence,
            changed_offset,
            evidence,
            in_flight: 0,
            connecting: 0,
            others_in_flight: 0,
            warm_up_until: now.plus(listing.warm_up_ms),
            estimate: FaultEstimate::new(now),
            latency_ms,
            backoff_until: ClockTime::default(),
            hold_until: ClockTime::default(),
            unreachable_backoff_ms: MIN_UNREACHABLE_BACKOFF_MS,
            last_unreachable_at: None,
            last_failure_at: None,
            was_tried: false,
            joined_cold: listing.warm_up_ms > 0,
            trial_round: TrialRound::new(now),
            trial: None,
            has_used_trial: false,
            has_reported_departure: false,
            counts: OutcomeCounts::default(),
            listing,
        }
    }

    /// Whether the instance is present and not leaving at `now`, regardless of backoff, load and
    /// faults.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        let is_present = match self.presence {
            Presence::Listed => true,
            Presence::Lapsing(until) => now < until,
            Presence::Gone => false,
        };
        is_present && !self.listing.leaving && !self.has_reported_departure
    }

    /// Whether this host may send a request to the instance at `now`, regardless of backoff, load
    /// and faults.
    pub fn accepts_requests(&self, now: ClockTime) -> bool {
        self.is_usable(now) && !self.is_on_hold(now)
    }

    /// Whether the instance wants no requests from this host at `now`.
    pub fn is_on_hold(&self, now: ClockTime) -> bool {
        now < self.hold_until
    }

    /// Time until which the instance wants no requests from this host.
    pub(crate) fn hold_until(&self) -> ClockTime {
        self.hold_until
    }

    /// Records that the instance wants no requests from this host before `until`; returns whether
    /// it did not say so lately.
    pub(crate) fn start_hold(&mut self, until: ClockTime, now: ClockTime) -> bool {
        let is_first = self.hold_until.plus(HOLD_REPORT_INTERVAL_MS) <= now;
        self.hold_until = self.hold_until.max(until);
        is_first
    }

    /// Notice that this start of the instance is leaving.
    pub fn departure_notice(&self) -> DepartureNotice {
        DepartureNotice {
            instance: self.hash,
            started_at_unix_ms: self.listing.started_at_unix_ms,
        }
    }

    /// Presence at `now`, gone after the lapse time.
    pub fn presence_at(&self, now: ClockTime) -> Presence {
        match self.presence {
            Presence::Lapsing(until) if now >= until => Presence::Gone,
            presence => presence,
        }
    }

    /// Whether the instance is not in backoff on this host.
    pub fn is_past_backoff(&self, now: ClockTime) -> bool {
        self.backoff_until <= now
    }

    /// Probability that the instance is faulty at `now`.
    pub fn fault_probability(&self, now: ClockTime) -> f64 {
        self.estimate.probability(now)
    }

    /// Whether the instance is suspected to be faulty.
    pub fn is_suspected(&self, now: ClockTime) -> bool {
        self.fault_probability(now) >= SUSPECT_PROBABILITY
    }

    /// Whether all hosts that tried lately could connect, as far as this host knows.
    pub(crate) fn is_reachable(&self, now: ClockTime) -> bool {
        self.last_unreachable_at
            .is_none_or(|at| now.since(at) > UNREACHABLE_MEMORY_MS)
    }

    /// Requests from this host that the instance may have received.
    pub(crate) fn sent_in_flight(&self) -> u32 {
        self.in_flight.saturating_sub(self.connecting)
    }

    /// Records that a request in flight waits for a connection.
    pub(crate) fn start_connecting(&mut self) {
        self.connecting += 1;
    }

    /// Records that such a request has its connection or has ended.
    pub(crate) fn end_connecting(&mut self) {
        self.connecting = self.connecting.saturating_sub(1);
    }

    /// Moving average of the latency in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Requests in flight from all hosts, as far as this host knows.
    pub fn load(&self) -> u32 {
        self.others_in_flight + self.in_flight
    }

    /// Requests that would wait per slot if one more request were sent.
    pub fn queue_per_slot(&self) -> f64 {
        let slots = self.listing.slots.max(1);
        f64::from((self.load() + 1).saturating_sub(slots)) / f64::from(slots)
    }

    /// Remaining milliseconds of the warm-up.
    pub fn warm_up_left_ms(&self, now: ClockTime) -> u64 {
        self.warm_up_until.since(now)
    }

    /// Entry as this host sends it to another.
    pub fn relayed(&self, now: ClockTime) -> RelayedListing {
        RelayedListing {
            changed_offset: self.changed_offset,
            listing: self.listing.clone(),
            presence: self.presence_at(now),
            evidence: self.evidence,
        }
    }

    /// Replaces the entry with a newer one of the same start; returns whether more than its
    /// sequence number and warm-up changed.
    pub(crate) fn replace_listing(&mut self, listing: InstanceListing, now: ClockTime) -> bool {
        let is_same = InstanceListing {
            seq: listing.seq,
            warm_up_ms: listing.warm_up_ms,
            ..self.listing.clone()
        } == listing;
        self.warm_up_until = now.plus(listing.warm_up_ms);
        self.listing = listing;
        !is_same
    }

    /// Joins `evidence`, of a list that has the instance as `presence`, with the known one.
    ///
    /// A lapse that is over counts as gone, and an instance that is gone does not lapse again
    /// unless it wrote in between.
    pub(crate) fn join_evidence(
        &mut self,
        evidence: PresenceEvidence,
        presence: Presence,
        now: ClockTime,
    ) {
        let known = self.evidence;
        let known_presence = self.presence_at(now);
        self.evidence = known.joined(evidence);
        self.presence = if self.evidence.is_listed() {
            Presence::Listed
        } else if known.is_listed() || evidence.outlives(known) {
            presence
        } else if known.outlives(evidence) || presence != Presence::Gone {
            known_presence
        } else {
            Presence::Gone
        };
    }

    /// Records that the instance reported that it is leaving, or has another identity than listed.
    pub(crate) fn record_departure(&mut self) {
        self.has_reported_departure = true;
    }

    /// Records the outcome of an attempt by this host.
    pub(crate) fn record_outcome(
        &mut self,
        outcome: AttemptOutcome,
        latency_ms: u64,
        now: ClockTime,
    ) {
        self.was_tried = true;
        self.estimate.record_outcome(outcome, now);
        match outcome {
            AttemptOutcome::Good => self.counts.good += 1,
            AttemptOutcome::Late => self.counts.late += 1,
            AttemptOutcome::Failed => self.counts.failed += 1,
            AttemptOutcome::Unreachable => {
                self.counts.unreachable += 1;
                self.last_unreachable_at = Some(now);
            }
        }
        if matches!(outcome, AttemptOutcome::Good | AttemptOutcome::Late) {
            self.unreachable_backoff_ms = MIN_UNREACHABLE_BACKOFF_MS;
            self.record_latency(latency_ms as f64);
            self.counts.latency_sum_ms += latency_ms as u32;
        } else {
            self.last_failure_at = Some(now);
        }
    }

    /// At the hub: records outcomes that other hosts reported.
    pub(crate) fn record_outcome_counts(&mut self, counts: &OutcomeCounts, now: ClockTime) {
        self.was_tried = true;
        if counts.unreachable > 0 {
            self.last_unreachable_at = Some(now);
        }
        let responses = counts.good + counts.late;
        if let Some(mean) = counts.latency_sum_ms.checked_div(responses) {
            for _ in 0..responses {
                self.record_latency(f64::from(mean));
            }
        }
        for (outcome, count) in counts.by_outcome() {
            for _ in 0..count {
                self.estimate.record_outcome(outcome, now);
            }
        }
    }

    /// Whether the instance was listed while it warmed up and has no outcome yet.
    pub(crate) fn is_new(&self) -> bool {
        self.joined_cold && !self.was_tried
    }

    /// Accepts a trial that the hub offered to this host.
    pub(crate) fn apply_trial(&mut self, offer: TrialOffer, now: ClockTime) {
        self.trial = Some((offer, now.plus(OFFER_VALID_MS)));
    }

    /// Trial that this host may send.
    pub(crate) fn trial(&self, now: ClockTime) -> Option<TrialOffer> {
        let (offer, ends_at) = self.trial?;
        (now < ends_at).then_some(offer)
    }

    /// Counts a request sent to the instance, which uses up an offered trial.
    pub(crate) fn record_sent(&mut self) {
        self.in_flight += 1;
        self.has_used_trial |= self.trial.take().is_some();
    }

    /// Whether this host used a trial since the last call.
    pub(crate) fn take_used_trial(&mut self) -> bool {
        std::mem::take(&mut self.has_used_trial)
    }

    /// Drains the outcome counts recorded since the last call.
    pub(crate) fn take_counts(&mut self) -> OutcomeCounts {
        std::mem::take(&mut self.counts)
    }

    /// Applies the hub's fault probability and latency.
    ///
    /// For `KEEP_LOCAL_FAILURE_MS` after a failure seen by this host, the probability is only
    /// raised.
    pub(crate) fn apply_hub_estimate(&mut self, probability: f64, latency_ms: f64, now: ClockTime) {
        self.latency_ms = latency_ms;
        let has_recent_failure = self
            .last_failure_at
            .is_some_and(|at| now.since(at) < KEEP_LOCAL_FAILURE_MS);
        if !has_recent_failure || probability > self.estimate.probability(now) {
            self.estimate = FaultEstimate::received(probability, now);
        }
    }

    /// Sets the number of requests in flight from the other hosts.
    pub(crate) fn set_others_in_flight(&mut self, count: u32) {
        self.others_in_flight = count;
    }

    /// Starts a backoff because this host cannot reach the instance, and doubles the next one.
    pub(crate) fn start_unreachable_backoff(&mut self, now: ClockTime) {
        self.backoff_until = now.plus(self.unreachable_backoff_ms);
        self.unreachable_backoff_ms =
            (self.unreachable_backoff_ms * 2).min(MAX_UNREACHABLE_BACKOFF_MS);
    }

    /// Starts a short backoff because the instance shed a request.
    pub(crate) fn start_shed_backoff(&mut self, now: ClockTime) {
        self.backoff_until = now.plus(SHED_BACKOFF_MS);
    }

    /// Starts a short backoff because the instance gave no response to an attempt.
    pub(crate) fn start_silence_backoff(&mut self, now: ClockTime) {
        self.backoff_until = self.backoff_until.max(now.plus(SILENCE_BACKOFF_MS));
    }

    /// Ends any backoff, and starts again with the shortest one.
    pub(crate) fn end_backoff(&mut self) {
        self.backoff_until = ClockTime::default();
        self.unreachable_backoff_ms = MIN_UNREACHABLE_BACKOFF_MS;
    }

    fn record_latency(&mut self, millis: f64) {
        self.latency_ms += (millis - self.latency_ms) * LATENCY_SMOOTHING;
    }
}
