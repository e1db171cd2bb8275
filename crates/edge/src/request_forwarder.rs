//! Sends an admitted request to instances until one responds without a server
//! error or no further attempt is allowed.
//!
//! Invariants: an at-most-once request is sent again only if it certainly was
//! not run. A refusal claims that the request was not run only if that is
//! certain. Retries and hedges stay within this host's part of the fleet's retry
//! budget for the service; retries are free until an attempt reaches an instance.
//!
//! While this host has no path to the service, another host carries the request.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use compact_str::format_compact;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;

use crocushoist_policy::InstanceKey;
use crocushoist_policy::MAX_CRASHES;
use crocushoist_policy::MAX_CRASHES_FOR_RETRY;
use crocushoist_policy::RetryPayment;
use crocushoist_policy::RetrySafety;
use crocushoist_state::ClockTime;
use crocushoist_transport::ClientAccount;
use crocushoist_transport::HeldBody;

use crate::buffered_response::BufferedResponse;
use crate::crash_observer::observe_crash;
use crate::crash_observer::request_hash;
use crate::crash_observer::spawn_observer;
use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::forward_head::ForwardHead;
use crate::in_flight_guard::InFlightGuard;
use crate::instance_attempt::AttemptInput;
use crate::instance_attempt::AttemptResult;
use crate::instance_attempt::send_attempt;
use crate::relay_message::RelayRequest;
use crate::relay_sender::RelayPeer;
use crate::relay_sender::relay;
use crate::request_progress::ProgressGuard;
use crate::request_record::AttemptRecord;
use crate::request_record::RequestRecord;
use crate::request_record::RetryRecord;

/// Number of attempts that may fail to reach the chosen instance; one more ends the request.
const MAX_UNDELIVERED: u32 = 3;

/// Number of attempts that did not reach the chosen instance after which another host carries the
/// request, even if the path does not count as lost.
const MIN_UNDELIVERED_FOR_RELAY: u32 = 2;

/// Number of hosts that a request is relayed to.
const MAX_RELAYS: usize = 3;

/// Number of instances that may shed a request; one more ends the request.
const MAX_SHED: u32 = 2;

/// Minimum delay of a hedge, a second attempt in parallel at another instance, as a fraction of
/// the response-time objective.
const HEDGE_OBJECTIVE_FRACTION: f64 = 0.6;

/// Minimum delay of a hedge as a multiple of the mean latency; the longer of the two delays
/// applies.
const HEDGE_LATENCY_FACTOR: f64 = 2.0;

/// Milliseconds after which a caller should retry if no instance is left to choose.
const NO_INSTANCE_RETRY_DELAY_MS: u64 = 500;

/// Milliseconds after which a caller should retry if the limits of all instances are used up.
pub(crate) const LIMITED_RETRY_DELAY_MS: u64 = 400;

/// Range in milliseconds over which the returns of callers are spread that were refused because no
/// instance takes requests; longer for those that wait longer, as more of them return together.
const MIN_RETURN_SPREAD_MS: u64 = 300;
const MAX_RETURN_SPREAD_MS: u64 = 1_000;

/// Milliseconds after which a caller should retry if the request was not run for another reason,
/// such as full instances.
const NOT_RUN_RETRY_DELAY_MS: u64 = 300;

/// Forwards one admitted request.
pub(crate) struct RequestForwarder<'a> {
    /// Shared state of the host.
    pub(crate) context: &'a SharedContext,
    /// Entry of the request among those in progress.
    pub(crate) request: &'a ProgressGuard,
    /// Service that the request is for.
    pub(crate) service: CompactString,
    /// Whether the request is allowed to run more than once.
    pub(crate) retry_safety: RetrySafety,
    /// Number of attempts that possibly ran the request after which it is not sent again; shed
    /// and undelivered attempts do not count.
    pub(crate) max_attempts: u32,
    /// Response-time objective in milliseconds.
    pub(crate) objective_ms: u64,
    /// When the caller must have its response.
    pub(crate) deadline: Instant,
    /// Request head, which all attempts share.
    pub(crate) head: ForwardHead,
    /// Request body, which all attempts send.
    pub(crate) body: HeldBody,
    /// Account of the client that sent the request.
    pub(crate) account: &'a ClientAccount,
    /// Whether another host may carry the request; false if it came from one.
    pub(crate) may_relay: bool,
    /// Hash of what makes the request the same when it comes again, once it was needed.
    pub(crate) content_hash: OnceCell<u64>,
}

/// Who carries an attempt.
enum AttemptCarrier {
    /// This host sends it to an instance.
    Instance(InFlightGuard),
    /// The host that callers reach at this address sends it.
    Host(SocketAddr),
}

/// Where an attempt was sent.
#[derive(Clone, Copy)]
enum AttemptTarget {
    Instance(InstanceKey),
    Host(SocketAddr),
}

impl AttemptCarrier {
    fn target(&self) -> AttemptTarget {
        match self {
            AttemptCarrier::Instance(guard) => AttemptTarget::Instance(guard.key()),
            AttemptCarrier::Host(host) => AttemptTarget::Host(*host),
        }
    }
}

/// State of the request after the attempts so far.
#[derive(Debug, Default)]
struct AttemptProgress {
    /// Instances that are not chosen again.
    tried: Vec<InstanceKey>,
    /// Hosts that the request was relayed to.
    relayed_to: Vec<SocketAddr>,
    /// Number of attempts that possibly ran the request.
    possibly_run: u32,
    /// Number of attempts that the chosen instance shed.
    shed: u32,
    /// Whether an attempt reached any instance.
    has_arrived: bool,
    /// Number of attempts that did not reach the chosen instance; of a hedged pair, only the one
    /// that ends last is counted.
    undelivered: u32,
    /// Whether any attempt possibly ran the request, in which case an at-most-once request is not
    /// sent again.
    may_have_run: bool,
    /// Last response with a server error; of a hedged pair, only that of the attempt that ends
    /// last is kept.
    failure_response: Option<BufferedResponse>,
}

/// Result of an attempt, its duration in milliseconds, and the probability that the instance is
/// faulty when it was chosen.
struct EndedAttempt {
    result: AttemptResult,
    millis: u64,
    fault_probability: f64,
}

impl RequestForwarder<'_> {
    /// Sends attempts until one succeeds or no further one is allowed.
    pub(crate) async fn forward(
        &self,
        record: &mut RequestRecord,
    ) -> Result<BufferedResponse, EdgeRefusal> {
        let mut progress = AttemptProgress::default();
        loop {
            if self.crash_count() >= MAX_CRASHES {
                return self.final_response(progress, EdgeReason::CrashesInstances);
            }
            let Some(carrier) = self.choose_carrier(&mut progress) else {
                return self.final_response(progress, self.no_carrier_reason());
            };
            record.is_required_trial = self.is_required_trial(&carrier);
            let result = self.attempt_hedged(carrier, &mut progress, record).await;
            let result_name = result.name();
            match result {
                AttemptResult::Responded(response) if !response.is_failure() => {
                    self.end_suspicion();
                    return Ok(response);
                }
                AttemptResult::Responded(response) => {
                    progress.may_have_run = true;
                    progress.failure_response = Some(response);
                }
                AttemptResult::NotRun {
                    reached_instance: false,
                    ..
                } => progress.undelivered += 1,
                AttemptResult::NotRun {
                    reached_instance: true,
                    ..
                } => {
                    // `finish_attempt` has counted the attempt as shed.
                }
                AttemptResult::MayHaveRun { .. } => progress.may_have_run = true,
                AttemptResult::Refused(refusal) => {
                    if progress.may_have_run || progress.failure_response.is_some() {
                        return self.final_response(progress, refusal.reason);
                    }
                    return Err(refusal);
                }
                AttemptResult::OutOfTime => {
                    progress.may_have_run = true;
                    return self.final_response(progress, EdgeReason::TimeAfterSend);
                }
            }
            let refusal_reason = self.refuse_retry(&progress, result_name, record);
            if let Some(refusal_reason) = refusal_reason {
                return self.final_response(progress, refusal_reason);
            }
        }
    }

    /// Sends an attempt, and a hedge to a second instance if the first one takes long. Returns the
    /// first success, or else the result of the attempt that ends last.
    async fn attempt_hedged(
        &self,
        carrier: AttemptCarrier,
        progress: &mut AttemptProgress,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        let first_target = carrier.target();
        if matches!(first_target, AttemptTarget::Host(_)) {
            // The other host may use all attempts, and hedges by itself.
            let ended = self.attempt(carrier, progress.possibly_run).await;
            return self.finish_attempt(first_target, ended, progress, record);
        }
        let mut first = Box::pin(self.attempt(carrier, progress.possibly_run));
        let delay = sleep(Duration::from_millis(self.hedge_delay_ms()));
        let result = match select(first.as_mut(), std::pin::pin!(delay)).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
        if let Some(result) = result {
            return self.finish_attempt(first_target, result, progress, record);
        }
        let second = if self.try_start_hedge(progress, record) {
            self.choose_carrier(progress)
        } else {
            None
        };
        let Some(second) = second else {
            let result = first.await;
            return self.finish_attempt(first_target, result, progress, record);
        };
        let second_target = second.target();
        let second = Box::pin(self.attempt(second, progress.possibly_run + 1));
        match select(first, second).await {
            Either::Left((result, second)) => {
                let result = self.finish_attempt(first_target, result, progress, record);
                if is_success(&result) {
                    return result;
                }
                progress.may_have_run |= may_have_run(&result);
                let result = second.await;
                self.finish_attempt(second_target, result, progress, record)
            }
            Either::Right((result, first)) => {
                let result = self.finish_attempt(second_target, result, progress, record);
                if is_success(&result) {
                    return result;
                }
                progress.may_have_run |= may_have_run(&result);
                let result = first.await;
                self.finish_attempt(first_target, result, progress, record)
            }
        }
    }

    /// Sends one attempt, before which `possibly_run` others possibly ran the request.
    async fn attempt(&self, carrier: AttemptCarrier, possibly_run: u32) -> EndedAttempt {
        match carrier {
            AttemptCarrier::Instance(guard) => self.attempt_instance(guard).await,
            AttemptCarrier::Host(host) => self.attempt_relay(host, possibly_run).await,
        }
    }

    /// Has the host that callers reach at `host` send the request.
    async fn attempt_relay(&self, host: SocketAddr, possibly_run: u32) -> EndedAttempt {
        let started_at = Instant::now();
        let remaining = self.deadline.saturating_duration_since(started_at);
        let peer = {
            let roster = self.context.roster.borrow();
            let registration = roster.find_caller_address(host);
            registration.map(|registration| registration.peer_address)
        };
        let request = RelayRequest {
            id: self.request.id().into(),
            service: self.service.clone(),
            is_idempotent: self.retry_safety == RetrySafety::Idempotent,
            max_attempts: self.max_attempts.saturating_sub(possibly_run).max(1),
            objective_ms: self.objective_ms,
            remaining_ms: remaining.as_millis() as u64,
            method: self.head.method().as_str().into(),
            path: self.head.path().into(),
            headers: self.head.headers().into(),
            body: self.body.bytes().to_vec(),
        };
        let _open_attempt = self.request.open_attempt();
        let result = match peer {
            Some(peer) => {
                let peer = RelayPeer {
                    address: peer,
                    account: self.account,
                };
                relay(self.context, peer, request, self.deadline).await
            }
            None => AttemptResult::NotRun {
                reason: "relay_unreachable",
                reached_instance: false,
            },
        };
        if matches!(result, AttemptResult::NotRun { .. }) {
            let mut choice = self.context.relay_choice.borrow_mut();
            choice.record_rejection(&self.service, host, ClockTime::now());
        }
        EndedAttempt {
            result,
            millis: started_at.elapsed().as_millis() as u64,
            fault_probability: 0.0,
        }
    }

    /// Sends one attempt to the instance of `guard`.
    async fn attempt_instance(&self, mut guard: InFlightGuard) -> EndedAttempt {
        let slow_ms = {
            let table = self.context.instances.borrow();
            table.slow_threshold_ms(&self.service, self.objective_ms, ClockTime::now())
        };
        let input = AttemptInput {
            head: &self.head,
            body: self.body.bytes(),
            account: self.account,
            deadline: self.deadline,
            slow_ms,
        };
        let result = {
            let _open_attempt = self.request.open_attempt();
            send_attempt(self.context, &mut guard, input).await
        };
        if result.is_broken_off() {
            let request = self.request_hash();
            let sent_at = ClockTime::now().minus(guard.elapsed_ms());
            match self.retry_safety {
                // Whether the request may be sent again depends on what is found.
                RetrySafety::Idempotent => {
                    observe_crash(Rc::clone(self.context), guard.key(), request, sent_at).await;
                }
                RetrySafety::AtMostOnce => {
                    spawn_observer(self.context, guard.key(), request, sent_at);
                }
            }
        }
        EndedAttempt {
            result,
            millis: guard.elapsed_ms(),
            fault_probability: guard.fault_probability,
        }
    }

    /// Hash of what makes the request the same when it comes again.
    fn request_hash(&self) -> u64 {
        let hash = || request_hash(&self.service, &self.head, self.body.bytes());
        *self.content_hash.get_or_init(hash)
    }

    /// Number of crashes of instances with this request in flight since it last succeeded.
    fn crash_count(&self) -> usize {
        let suspects = self.context.suspects.borrow();
        if suspects.is_empty() {
            return 0;
        }
        suspects.crash_count(self.request_hash(), ClockTime::now())
    }

    /// Ends the suspicion that instances crash under this request, which succeeded, and keeps new
    /// ones from it for some seconds.
    fn end_suspicion(&self) {
        let mut suspects = self.context.suspects.borrow_mut();
        suspects.record_success(self.request_hash(), ClockTime::now());
    }

    /// Counts an attempt that has ended and adds it to the log record.
    fn finish_attempt(
        &self,
        target: AttemptTarget,
        ended: EndedAttempt,
        progress: &mut AttemptProgress,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        let result = ended.result;
        progress.has_arrived |= result.has_arrived();
        match result {
            AttemptResult::NotRun {
                reached_instance: false,
                ..
            } => {
                // `forward` counts undelivered attempts.
            }
            AttemptResult::NotRun {
                reached_instance: true,
                ..
            } => progress.shed += 1,
            AttemptResult::Refused(_) => {}
            // Another host has made all attempts that the request may have.
            _ if matches!(target, AttemptTarget::Host(_)) => {
                progress.possibly_run = self.max_attempts;
            }
            _ => progress.possibly_run += 1,
        }
        self.context.metrics.count_attempt(result.name());
        let (instance, in_flight) = match target {
            AttemptTarget::Instance(key) => {
                let table = self.context.instances.borrow();
                let state = table.get(key);
                (state.listing.id.clone(), state.load())
            }
            AttemptTarget::Host(host) => (format_compact!("via-{host}"), 0),
        };
        record.record_attempt(AttemptRecord {
            instance,
            result: result.name(),
            millis: ended.millis,
            fault_probability: ended.fault_probability,
            in_flight,
        });
        result
    }

    /// Whether only the floor requires the attempt, at an instance that probably fails.
    fn is_required_trial(&self, carrier: &AttemptCarrier) -> bool {
        let AttemptCarrier::Instance(guard) = carrier else {
            return false;
        };
        let table = self.context.instances.borrow();
        self.retry_safety == RetrySafety::AtMostOnce
            && table.is_suspected(guard.key(), ClockTime::now())
    }

    /// Whether this host reaches no instance of the service.
    fn has_lost_path(&self) -> bool {
        self.context.paths.borrow().is_lost(&self.service)
    }

    /// Why nothing can carry the request.
    fn no_carrier_reason(&self) -> EdgeReason {
        if self.has_lost_path() {
            EdgeReason::NoPath
        } else {
            EdgeReason::NoInstance
        }
    }

    /// Chooses another host while this one does not reach the service, or else an instance.
    fn choose_carrier(&self, progress: &mut AttemptProgress) -> Option<AttemptCarrier> {
        let is_lost = self.has_lost_path();
        if is_lost || progress.undelivered >= MIN_UNDELIVERED_FOR_RELAY {
            let host = self.choose_relay(progress);
            if let Some(host) = host {
                progress.relayed_to.push(host);
                return Some(AttemptCarrier::Host(host));
            }
        }
        if is_lost {
            return None;
        }
        let guard = self.choose_instance(progress)?;
        Some(AttemptCarrier::Instance(guard))
    }

    /// Chooses a host to relay the request to.
    fn choose_relay(&self, progress: &AttemptProgress) -> Option<SocketAddr> {
        if !self.may_relay || progress.relayed_to.len() >= MAX_RELAYS {
            return None;
        }
        let context = self.context;
        let own_address = context.own_host.caller_address;
        context.relay_choice.borrow().choose(
            &self.service,
            &context.advertised_hosts.borrow().hosts,
            &context.own_host.data_centre,
            |host| host == own_address || progress.relayed_to.contains(&host),
            rand::random(),
            ClockTime::now(),
        )
    }

    /// Chooses an instance that was not tried yet and counts the request in flight there.
    fn choose_instance(&self, progress: &mut AttemptProgress) -> Option<InFlightGuard> {
        let allow_trial = progress.possibly_run + 1 < self.max_attempts && self.has_retry_budget();
        let key = self.context.instances.borrow_mut().choose(
            &self.service,
            &self.context.own_host.data_centre,
            self.retry_safety,
            &progress.tried,
            (rand::random(), rand::random()),
            allow_trial,
            |address| self.context.upstreams.has_idle(address),
            ClockTime::now(),
        )?;
        progress.tried.push(key);
        Some(InFlightGuard::new(self.context, key))
    }

    /// Milliseconds from the start of the first attempt to its hedge.
    fn hedge_delay_ms(&self) -> u64 {
        let table = self.context.instances.borrow();
        let mean_ms = table.mean_latency_ms(&self.service, ClockTime::now());
        let objective_delay_ms = self.objective_ms as f64 * HEDGE_OBJECTIVE_FRACTION;
        objective_delay_ms.max(mean_ms * HEDGE_LATENCY_FACTOR) as u64
    }

    /// Whether a hedge is allowed; if so, takes it from the retry budget, even if no instance is
    /// found for it afterwards.
    fn try_start_hedge(&self, progress: &AttemptProgress, record: &mut RequestRecord) -> bool {
        self.retry_safety == RetrySafety::Idempotent
            && progress.possibly_run + 1 < self.max_attempts
            && self.crash_count() == 0
            && self.try_withdraw_retry("hedge", record)
    }

    /// Reason to refuse a further attempt, `None` to allow it.
    ///
    /// An allowed attempt is taken from the retry budget, even if no instance is found for it
    /// afterwards. It is free if no attempt has reached an instance yet.
    fn refuse_retry(
        &self,
        progress: &AttemptProgress,
        result_name: &'static str,
        record: &mut RequestRecord,
    ) -> Option<EdgeReason> {
        if progress.may_have_run && self.retry_safety == RetrySafety::AtMostOnce {
            return Some(EdgeReason::InstanceFailed);
        }
        if self.crash_count() >= MAX_CRASHES_FOR_RETRY {
            return Some(EdgeReason::CrashesInstances);
        }
        if Instant::now() >= self.deadline {
            return Some(EdgeReason::TimeBeforeSend);
        }
        if progress.undelivered > MAX_UNDELIVERED {
            return Some(EdgeReason::NotSent);
        }
        let is_exhausted = progress.possibly_run >= self.max_attempts || progress.shed > MAX_SHED;
        if is_exhausted {
            return Some(EdgeReason::RetriesExhausted);
        }
        if !progress.has_arrived {
            let payment = Some(RetryPayment::Free);
            self.record_retry(payment, None, result_name, record);
            return None;
        }
        if !self.try_withdraw_retry(result_name, record) {
            return Some(EdgeReason::RetriesExhausted);
        }
        None
    }

    /// Response after the last attempt: the kept response with a server error if there is one, or
    /// else a refusal. Replaces a `reason` that claims that the request was not run if an attempt
    /// possibly ran it.
    fn final_response(
        &self,
        progress: AttemptProgress,
        reason: EdgeReason,
    ) -> Result<BufferedResponse, EdgeRefusal> {
        if let Some(response) = progress.failure_response {
            return Ok(response);
        }
        if progress.may_have_run {
            let reason = match reason {
                EdgeReason::TimeAfterSend | EdgeReason::TimeBeforeSend => EdgeReason::TimeAfterSend,
                _ => EdgeReason::InstanceFailed,
            };
            return Err(EdgeRefusal::new(reason));
        }
        if reason == EdgeReason::NoInstance
            && let Some(refusal) = refuse_unservable(self.context, &self.service)
        {
            return Err(refusal);
        }
        if reason == EdgeReason::CrashesInstances {
            return Err(EdgeRefusal::new(reason));
        }
        let retry_after_ms = match reason {
            EdgeReason::NoInstance => NO_INSTANCE_RETRY_DELAY_MS,
            _ => NOT_RUN_RETRY_DELAY_MS,
        };
        Err(EdgeRefusal::with_retry_after(reason, retry_after_ms))
    }

    /// Whether the retry budget of the service probably has a retry left; a missing one has none.
    fn has_retry_budget(&self) -> bool {
        let now = ClockTime::now();
        let share = self.context.retry_share(&self.service, now);
        let accounts = self.context.retry_accounts.borrow();
        let account = accounts.get(&self.service);
        account.is_some_and(|account| account.is_affordable(share, now))
    }

    /// Takes one retry from the budget of the service; returns false if it has none left. A missing
    /// budget is created with less than one retry.
    fn try_withdraw_retry(&self, reason: &'static str, record: &mut RequestRecord) -> bool {
        let now = ClockTime::now();
        let share = self.context.retry_share(&self.service, now);
        let payment = {
            let mut accounts = self.context.retry_accounts.borrow_mut();
            let account = accounts.entry(self.service.clone()).or_default();
            account.withdraw(share, rand::random(), now)
        };
        self.record_retry(payment, share, reason, record);
        payment.is_some()
    }

    /// Counts and records whether a retry or a hedge was allowed, and why.
    fn record_retry(
        &self,
        payment: Option<RetryPayment>,
        share: Option<f64>,
        reason: &'static str,
        record: &mut RequestRecord,
    ) {
        match payment {
            Some(payment) => self.context.metrics.count_retry(reason, payment),
            None => self.context.metrics.count_denied_retry(reason),
        }
        record.record_retry(RetryRecord {
            payment,
            share,
            share_age: self.context.shares_age(ClockTime::now()),
        });
    }
}

/// Refusal of any request to `service` while none of its instances takes one; `None` if one does.
pub(crate) fn refuse_unservable(context: &EdgeContext, service: &str) -> Option<EdgeRefusal> {
    let now = ClockTime::now();
    let table = context.instances.borrow();
    let (reason, wait_ms) = if let Some(end) = table.hold_end(service, now) {
        (EdgeReason::InstancesOnHold, end.since(now))
    } else if table.usable_count(service, now) == 0 {
        (EdgeReason::NoInstance, NO_INSTANCE_RETRY_DELAY_MS)
    } else if table.permit_count(service, now) == Some(0) {
        (EdgeReason::InstancesLimited, LIMITED_RETRY_DELAY_MS)
    } else {
        return None;
    };
    let spread_ms = wait_ms.clamp(MIN_RETURN_SPREAD_MS, MAX_RETURN_SPREAD_MS);
    let retry_after_ms = wait_ms + rand::random_range(0..spread_ms);
    Some(EdgeRefusal::with_retry_after(reason, retry_after_ms))
}

/// Whether the instance sent a valid response without a server error.
fn is_success(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Responded(response) if !response.is_failure())
}

/// Whether an instance possibly ran the request of an attempt.
fn may_have_run(result: &AttemptResult) -> bool {
    !matches!(
        result,
        AttemptResult::NotRun { .. } | AttemptResult::Refused(_)
    )
}
