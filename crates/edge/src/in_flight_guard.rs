//! Guard of a request in flight at an instance, which also records the outcome.

use std::rc::Rc;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_state::ClockTime;

use crate::edge_context::SharedContext;

/// Counts a request as in flight at an instance until dropped.
pub(crate) struct InFlightGuard {
    context: SharedContext,
    key: InstanceKey,
    started_at: ClockTime,
    is_late: bool,
    /// Probability that the instance is faulty, when it was chosen.
    pub(crate) fault_probability: f64,
}

impl InFlightGuard {
    /// Guard for the instance `key`, at which the choice has already counted the request.
    pub(crate) fn new(context: &SharedContext, key: InstanceKey) -> Self {
        let now = ClockTime::now();
        let fault_probability = context.instances.borrow().get(key).fault_probability(now);
        InFlightGuard {
            context: Rc::clone(context),
            key,
            started_at: now,
            is_late: false,
            fault_probability,
        }
    }

    /// Key of the instance.
    pub(crate) fn key(&self) -> InstanceKey {
        self.key
    }

    /// Milliseconds since the instance was chosen.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        ClockTime::now().since(self.started_at)
    }

    /// Records that the response is late.
    pub(crate) fn record_late(&mut self) {
        if !self.is_late {
            self.is_late = true;
            self.record_outcome(AttemptOutcome::Late);
        }
    }

    /// Records a valid response, unless it was recorded as late.
    pub(crate) fn record_response(&mut self) {
        if !self.is_late {
            self.record_outcome(AttemptOutcome::Good);
        }
    }

    /// Records a failure of the instance.
    pub(crate) fn record_failed(&self) {
        self.record_outcome(AttemptOutcome::Failed);
    }

    /// Records that this host cannot reach the instance.
    pub(crate) fn record_unreachable(&mut self) {
        self.record_outcome(AttemptOutcome::Unreachable);
        let mut table = self.context.instances.borrow_mut();
        table.record_unreachable(self.key, ClockTime::now());
    }

    /// Records that the instance shed the request.
    pub(crate) fn record_shed(&self) {
        let mut table = self.context.instances.borrow_mut();
        table.record_shed(self.key, ClockTime::now());
    }

    /// Records that another instance responded at the listed address, so the listed one is gone.
    pub(crate) fn record_misdirected(&self) {
        self.context
            .instances
            .borrow_mut()
            .record_departure(self.key);
    }

    fn record_outcome(&self, outcome: AttemptOutcome) {
        let elapsed_ms = self.elapsed_ms();
        let mut table = self.context.instances.borrow_mut();
        table.record_outcome(self.key, outcome, elapsed_ms, ClockTime::now());
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.context.instances.borrow_mut().release(self.key);
    }
}
