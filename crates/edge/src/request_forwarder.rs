//! Sends an admitted request to instances until one answers or none may be tried.
//!
//! Invariants: a request that may run once is sent again only after certainty
//! that it was not run; "not run" is told only if no attempt may have run it;
//! repeated arrivals stay inside the fleet's budget.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use compio::time::sleep;
use futures_util::future::Either;
use futures_util::future::select;

use crocushoist_policy::InstanceKey;
use crocushoist_policy::RepeatKind;
use crocushoist_policy::RetryAllowance;
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

/// Instances that may be tried without the request arriving anywhere.
const MAX_UNREACHABLE: u32 = 3;

/// Instances that may shed a request before it is refused.
const MAX_SHED: u32 = 2;

/// Part of the objective after which a second instance is asked.
const HEDGE_OBJECTIVE_SHARE: f64 = 0.6;

/// Mean latencies after which a second instance is asked.
const HEDGE_LATENCY_FACTOR: f64 = 2.0;

/// Milliseconds after which to come back if no instance takes requests.
const NO_INSTANCE_RETRY_MS: u64 = 500;

/// Milliseconds after which to come back if instances are full.
const FULL_RETRY_MS: u64 = 300;

/// A request that was admitted.
pub(crate) struct RequestForwarder<'a> {
    /// What the tasks of the host share.
    pub(crate) context: &'a SharedContext,
    /// Service that serves it.
    pub(crate) service: CompactString,
    /// How often it may run.
    pub(crate) kind: RepeatKind,
    /// Instances that it may be sent to.
    pub(crate) max_attempts: u32,
    /// Milliseconds within which an answer has its full worth.
    pub(crate) objective_ms: u64,
    /// When the caller gets its final answer.
    pub(crate) deadline: Instant,
    /// Head.
    pub(crate) head: ForwardHead,
    /// Body.
    pub(crate) body: Bytes,
}

/// What is known after the attempts so far.
#[derive(Debug, Default)]
struct AttemptProgress {
    tried: Vec<InstanceKey>,
    /// Arrivals that may have run.
    possibly_run: u32,
    /// Arrivals that the instance did not run.
    shed: u32,
    unreachable: u32,
    may_have_run: bool,
    failure_response: Option<BufferedResponse>,
}

impl RequestForwarder<'_> {
    /// Makes attempts until one is answered or none may be made.
    pub(crate) async fn run(
        &self,
        record: &mut RequestRecord,
    ) -> Result<BufferedResponse, EdgeRefusal> {
        let mut progress = AttemptProgress::default();
        loop {
            let Some(guard) = self.choose_instance(&mut progress) else {
                return self.final_answer(progress, EdgeReason::NoInstance);
            };
            let result = self.attempt_hedged(guard, &mut progress, record).await;
            let reason = result.name();
            match result {
                AttemptResult::Answered(answer) if !answer.is_failure() => return Ok(answer),
                AttemptResult::Answered(answer) => {
                    progress.may_have_run = true;
                    progress.failure_response = Some(answer);
                }
                AttemptResult::NotRun {
                    reached_instance: false,
                    ..
                } => progress.unreachable += 1,
                AttemptResult::NotRun {
                    reached_instance: true,
                    ..
                } => {}
                AttemptResult::MayHaveRun { .. } => progress.may_have_run = true,
                AttemptResult::OutOfTime => {
                    progress.may_have_run = true;
                    return self.final_answer(progress, EdgeReason::TimeAfterSend);
                }
            }
            if let Some(refused) = self.check_retry(&progress) {
                return self.final_answer(progress, refused);
            }
            self.context.metrics.count_retry(reason);
        }
    }

    /// Runs an attempt, and a second one beside it if the first takes long.
    async fn attempt_hedged(
        &self,
        guard: InFlightGuard,
        progress: &mut AttemptProgress,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        let first_key = guard.key();
        let mut first = Box::pin(self.attempt(guard));
        let pause = sleep(Duration::from_millis(self.hedge_delay_ms()));
        let result = match select(first.as_mut(), std::pin::pin!(pause)).await {
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

    async fn attempt(&self, mut guard: InFlightGuard) -> (AttemptResult, u64) {
        let slow_ms = {
            let table = self.context.table.borrow();
            table.slow_ms(&self.service, self.objective_ms, ClockTime::now())
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
        let table = self.context.table.borrow();
        let state = table.get(key);
        record.record_attempt(AttemptRecord {
            instance: state.listing.id.clone(),
            result: result.name(),
            millis,
            faulty: state.faulty(ClockTime::now()),
            load: state.load(),
        });
        result
    }

    fn choose_instance(&self, progress: &mut AttemptProgress) -> Option<InFlightGuard> {
        let may_send_trial =
            progress.possibly_run + 1 < self.max_attempts && self.has_retry_budget();
        let chosen = self.context.table.borrow_mut().choose(
            &self.service,
            &self.context.own_host.data_centre,
            self.kind,
            &progress.tried,
            (rand::random(), rand::random()),
            may_send_trial,
            |address| self.context.upstreams.has_idle(address),
            ClockTime::now(),
        )?;
        progress.tried.push(chosen);
        Some(InFlightGuard::new(self.context, chosen))
    }

    fn hedge_delay_ms(&self) -> u64 {
        let table = self.context.table.borrow();
        let mean = table.mean_latency_ms(&self.service, ClockTime::now());
        let of_objective = self.objective_ms as f64 * HEDGE_OBJECTIVE_SHARE;
        of_objective.max(mean * HEDGE_LATENCY_FACTOR) as u64
    }

    fn try_start_hedge(&self, progress: &AttemptProgress) -> bool {
        self.kind == RepeatKind::Idempotent
            && progress.possibly_run + 1 < self.max_attempts
            && self.withdraw_retry()
    }

    /// Why no further attempt may be made, if so.
    fn check_retry(&self, progress: &AttemptProgress) -> Option<EdgeReason> {
        if progress.may_have_run && self.kind == RepeatKind::AtMostOnce {
            return Some(EdgeReason::InstanceFailed);
        }
        if Instant::now() >= self.deadline {
            return Some(EdgeReason::TimeBeforeSend);
        }
        if progress.unreachable > MAX_UNREACHABLE {
            return Some(EdgeReason::NotSent);
        }
        let is_first_arrival = progress.possibly_run + progress.shed == 0;
        let is_spent = progress.possibly_run >= self.max_attempts || progress.shed > MAX_SHED;
        if is_spent || !(is_first_arrival || self.withdraw_retry()) {
            return Some(EdgeReason::NotRunAnywhere);
        }
        None
    }

    /// Final answer after `progress`: a failure of an instance, or one of the host's own that is true.
    fn final_answer(
        &self,
        progress: AttemptProgress,
        reason: EdgeReason,
    ) -> Result<BufferedResponse, EdgeRefusal> {
        if let Some(answer) = progress.failure_response {
            return Ok(answer);
        }
        if progress.may_have_run {
            let reason = match reason {
                EdgeReason::TimeAfterSend | EdgeReason::TimeBeforeSend => EdgeReason::TimeAfterSend,
                _ => EdgeReason::InstanceFailed,
            };
            return Err(EdgeRefusal::new(reason));
        }
        let wait_ms = match reason {
            EdgeReason::NoInstance => NO_INSTANCE_RETRY_MS,
            _ => FULL_RETRY_MS,
        };
        Err(EdgeRefusal::with_retry_after(reason, wait_ms))
    }

    fn has_retry_budget(&self) -> bool {
        let retries = self.context.retries.borrow();
        let allowance = retries.get(&self.service);
        allowance.is_some_and(RetryAllowance::has_one)
    }

    fn withdraw_retry(&self) -> bool {
        let mut retries = self.context.retries.borrow_mut();
        retries.entry(self.service.clone()).or_default().spend()
    }
}

fn is_success(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Answered(answer) if !answer.is_failure())
}
