//! A request in flight at an instance.

use std::rc::Rc;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_state::ClockTime;

use crate::edge_context::SharedContext;

/// A request in flight at an instance; the flight ends when this is dropped.
pub(crate) struct InFlightGuard {
    context: SharedContext,
    key: InstanceKey,
    started_at: ClockTime,
    is_late: bool,
}

impl InFlightGuard {
    /// Hold on `key`, which was chosen a moment ago.
    pub(crate) fn new(context: &SharedContext, key: InstanceKey) -> Self {
        InFlightGuard {
            context: Rc::clone(context),
            key,
            started_at: ClockTime::now(),
            is_late: false,
        }
    }

    /// Instance that is held.
    pub(crate) fn key(&self) -> InstanceKey {
        self.key
    }

    /// Milliseconds since the instance was chosen.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        ClockTime::now().since(self.started_at)
    }

    /// Notes that the objective passed without an answer.
    pub(crate) fn record_late(&mut self) {
        if !self.is_late {
            self.is_late = true;
            self.observe(AttemptOutcome::Late);
        }
    }

    /// Notes a whole answer.
    pub(crate) fn record_answered(&mut self) {
        if !self.is_late {
            self.observe(AttemptOutcome::Good);
        }
    }

    /// Notes a failure of the instance.
    pub(crate) fn record_failed(&self) {
        self.observe(AttemptOutcome::Failed);
    }

    /// Notes that this host cannot reach the instance.
    pub(crate) fn record_unreachable(&mut self) {
        self.observe(AttemptOutcome::Unreachable);
        let mut table = self.context.table.borrow_mut();
        table.note_unreached(self.key, ClockTime::now());
    }

    /// Notes that the instance shed the request.
    pub(crate) fn record_shed(&self) {
        let mut table = self.context.table.borrow_mut();
        table.note_shed(self.key, ClockTime::now());
    }

    /// Notes the instance's own word that it is not the one listed.
    pub(crate) fn record_misdirected(&self) {
        self.context.table.borrow_mut().note_own_word(self.key);
    }

    fn observe(&self, outcome: AttemptOutcome) {
        let millis = self.elapsed_ms();
        let mut table = self.context.table.borrow_mut();
        table.observe(self.key, outcome, millis, ClockTime::now());
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.context.table.borrow_mut().release(self.key);
    }
}
