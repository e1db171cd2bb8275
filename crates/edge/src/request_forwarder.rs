//! Sends an admitted request to instances until one responds or no other may be
//! tried.
//!
//! Invariants: an at-most-once request is sent again only if it certainly was
//! not run. A refusal says that the request was not run only if no attempt may
//! have run it. Retries stay within the retry budget of the fleet.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;

use crocushoist_policy::InstanceKey;
use crocushoist_policy::RetryBudget;
use crocushoist_policy::RetrySafety;
use crocushoist_state::ClockTime;

use crate::buffered_response::BufferedResponse;
use crate::edge_context::SharedContext;
use crate::edge_refusal::EdgeReason;
use crate::edge_refusal::EdgeRefusal;
use crate::forward_head::ForwardHead;
use crate::in_flight_guard::InFlightGuard;
use crate::instance_attempt::AttemptInput;
use crate::instance_attempt::AttemptResult;
use crate::instance_attempt::run_attempt;
use crate::request_record::AttemptRecord;
use crate::request_record::RequestRecord;

/// Number of attempts that may fail to reach the chosen instance; one more ends the request.
const MAX_UNDELIVERED: u32 = 3;

/// Number of instances that may shed a request; one more ends the request.
const MAX_SHED: u32 = 2;

/// Fraction of the objective after which a hedged attempt is sent to a second instance.
const HEDGE_OBJECTIVE_FRACTION: f64 = 0.6;

/// Multiple of the mean latency before which no hedged attempt is sent.
const HEDGE_LATENCY_FACTOR: f64 = 2.0;

/// Milliseconds after which a caller should retry if no instance accepts requests.
const NO_INSTANCE_RETRY_MS: u64 = 500;

/// Milliseconds after which a caller should retry if instances are full.
const INSTANCES_FULL_RETRY_MS: u64 = 300;

/// Forwards one admitted request.
pub(crate) struct RequestForwarder<'a> {
    /// Shared state of the host.
    pub(crate) context: &'a SharedContext,
    /// Service that the request is for.
    pub(crate) service: CompactString,
    /// Whether the request may run more than once.
    pub(crate) kind: RetrySafety,
    /// Maximum number of attempts that may run the request.
    pub(crate) max_attempts: u32,
    /// Milliseconds within which the response should arrive.
    pub(crate) objective_ms: u64,
    /// When the caller must have its response.
    pub(crate) deadline: Instant,
    /// Request head.
    pub(crate) head: ForwardHead,
    /// Request body.
    pub(crate) body: Bytes,
}

/// State of the request after the attempts so far.
#[derive(Debug, Default)]
struct AttemptProgress {
    /// Instances that are not chosen again.
    tried: Vec<InstanceKey>,
    /// Number of attempts that may have run the request.
    possibly_run: u32,
    /// Number of attempts that an instance received and refused.
    shed: u32,
    /// Number of attempts that did not reach the chosen instance.
    undelivered: u32,
    /// Whether any attempt may have run the request.
    may_have_run: bool,
    /// Last response with a server error.
    failure_response: Option<BufferedResponse>,
}

impl RequestForwarder<'_> {
    /// Sends attempts until one succeeds or no other is allowed.
    pub(crate) async fn run(
        &self,
        record: &mut RequestRecord,
    ) -> Result<BufferedResponse, EdgeRefusal> {
        let mut progress = AttemptProgress::default();
        loop {
            let Some(guard) = self.choose_instance(&mut progress) else {
                return self.final_response(progress, EdgeReason::NoInstance);
            };
            let result = self.attempt_hedged(guard, &mut progress, record).await;
            let reason = result.name();
            match result {
                AttemptResult::Answered(response) if !response.is_failure() => return Ok(response),
                AttemptResult::Answered(response) => {
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
                } => {}
                AttemptResult::MayHaveRun { .. } => progress.may_have_run = true,
                AttemptResult::OutOfTime => {
                    progress.may_have_run = true;
                    return self.final_response(progress, EdgeReason::TimeAfterSend);
                }
            }
            if let Some(refusal_reason) = self.check_retry(&progress) {
                return self.final_response(progress, refusal_reason);
            }
            self.context.metrics.count_retry(reason);
        }
    }

    /// Sends an attempt, and a hedged one to a second instance if the first takes long. Returns
    /// the first success, or else the result of the attempt that ends last.
    async fn attempt_hedged(
        &self,
        guard: InFlightGuard,
        progress: &mut AttemptProgress,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        let first_key = guard.key();
        let mut first = Box::pin(self.attempt(guard));
        let delay = sleep(Duration::from_millis(self.hedge_delay_ms()));
        let result = match select(first.as_mut(), std::pin::pin!(delay)).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
        if let Some(result) = result {
            return self.finish_attempt(first_key, result, progress, record);
        }
        let second = if self.try_start_hedge(progress) {
            self.choose_instance(progress)
        } else {
            None
        };
        let Some(second) = second else {
            let result = first.await;
            return self.finish_attempt(first_key, result, progress, record);
        };
        self.context.metrics.count_retry("hedge");
        let second_key = second.key();
        let second = Box::pin(self.attempt(second));
        match select(first, second).await {
            Either::Left((result, second)) => {
                let result = self.finish_attempt(first_key, result, progress, record);
                if is_success(&result) {
                    return result;
                }
                progress.may_have_run |= !matches!(result, AttemptResult::NotRun { .. });
                let result = second.await;
                self.finish_attempt(second_key, result, progress, record)
            }
            Either::Right((result, first)) => {
                let result = self.finish_attempt(second_key, result, progress, record);
                if is_success(&result) {
                    return result;
                }
                progress.may_have_run |= !matches!(result, AttemptResult::NotRun { .. });
                let result = first.await;
                self.finish_attempt(first_key, result, progress, record)
            }
        }
    }

    /// Sends one attempt. Returns its result and its duration in milliseconds.
    async fn attempt(&self, mut guard: InFlightGuard) -> (AttemptResult, u64) {
        let slow_ms = {
            let table = self.context.instances.borrow();
            table.slow_threshold_ms(&self.service, self.objective_ms, ClockTime::now())
        };
        let input = AttemptInput {
            head: &self.head,
            body: &self.body,
            deadline: self.deadline,
            slow_ms,
        };
        let result = run_attempt(self.context, &mut guard, input).await;
        (result, guard.elapsed_ms())
    }

    /// Counts an attempt that has ended and adds it to the log record.
    fn finish_attempt(
        &self,
        key: InstanceKey,
        (result, millis): (AttemptResult, u64),
        progress: &mut AttemptProgress,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        match result {
            AttemptResult::NotRun {
                reached_instance: false,
                ..
            } => {}
            AttemptResult::NotRun {
                reached_instance: true,
                ..
            } => progress.shed += 1,
            _ => progress.possibly_run += 1,
        }
        self.context.metrics.count_attempt(result.name());
        let table = self.context.instances.borrow();
        let state = table.get(key);
        record.record_attempt(AttemptRecord {
            instance: state.listing.id.clone(),
            result: result.name(),
            millis,
            faulty: state.fault_probability(ClockTime::now()),
            load: state.load(),
        });
        result
    }

    /// Chooses an instance that was not tried yet and counts the request in flight there.
    fn choose_instance(&self, progress: &mut AttemptProgress) -> Option<InFlightGuard> {
        let may_send_trial =
            progress.possibly_run + 1 < self.max_attempts && self.has_retry_budget();
        let key = self.context.instances.borrow_mut().choose(
            &self.service,
            &self.context.own_host.data_centre,
            self.kind,
            &progress.tried,
            (rand::random(), rand::random()),
            may_send_trial,
            |address| self.context.upstreams.has_idle(address),
            ClockTime::now(),
        )?;
        progress.tried.push(key);
        Some(InFlightGuard::new(self.context, key))
    }

    /// Milliseconds after which a hedged attempt is sent.
    fn hedge_delay_ms(&self) -> u64 {
        let table = self.context.instances.borrow();
        let mean_ms = table.mean_latency_ms(&self.service, ClockTime::now());
        let min_delay_ms = self.objective_ms as f64 * HEDGE_OBJECTIVE_FRACTION;
        min_delay_ms.max(mean_ms * HEDGE_LATENCY_FACTOR) as u64
    }

    /// Whether a hedged attempt is allowed; if so, takes it from the retry budget.
    fn try_start_hedge(&self, progress: &AttemptProgress) -> bool {
        self.kind == RetrySafety::Idempotent
            && progress.possibly_run + 1 < self.max_attempts
            && self.withdraw_retry()
    }

    /// Why no further attempt is allowed; `None` allows one and has taken it from the retry
    /// budget, unless no instance has received the request yet.
    fn check_retry(&self, progress: &AttemptProgress) -> Option<EdgeReason> {
        if progress.may_have_run && self.kind == RetrySafety::AtMostOnce {
            return Some(EdgeReason::InstanceFailed);
        }
        if Instant::now() >= self.deadline {
            return Some(EdgeReason::TimeBeforeSend);
        }
        if progress.undelivered > MAX_UNDELIVERED {
            return Some(EdgeReason::NotSent);
        }
        let is_first_delivery = progress.possibly_run + progress.shed == 0;
        let is_exhausted = progress.possibly_run >= self.max_attempts || progress.shed > MAX_SHED;
        if is_exhausted || !(is_first_delivery || self.withdraw_retry()) {
            return Some(EdgeReason::NotRunAnywhere);
        }
        None
    }

    /// Response after the last attempt: a failure response of an instance if there is one, or
    /// else a refusal that says truthfully whether the request may have run.
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
        let retry_after_ms = match reason {
            EdgeReason::NoInstance => NO_INSTANCE_RETRY_MS,
            _ => INSTANCES_FULL_RETRY_MS,
        };
        Err(EdgeRefusal::with_retry_after(reason, retry_after_ms))
    }

    /// Whether the retry budget of the service has a retry left.
    fn has_retry_budget(&self) -> bool {
        let budgets = self.context.retry_budgets.borrow();
        let budget = budgets.get(&self.service);
        budget.is_some_and(RetryBudget::has_balance)
    }

    /// Takes one retry from the budget of the service; false if the budget has none.
    fn withdraw_retry(&self) -> bool {
        let mut budgets = self.context.retry_budgets.borrow_mut();
        budgets
            .entry(self.service.clone())
            .or_default()
            .try_withdraw()
    }
}

fn is_success(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Answered(response) if !response.is_failure())
}
