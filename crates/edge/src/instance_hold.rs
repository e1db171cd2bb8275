//! A request in flight at an instance.

use std::rc::Rc;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_state::ClockTime;

use crate::edge_context::SharedEdge;

/// A request in flight at an instance; the flight ends when this is dropped.
pub(crate) struct InstanceHold {
    context: SharedEdge,
    key: InstanceKey,
    started_at: ClockTime,
    noted_late: bool,
}

impl InstanceHold {
    /// Hold on `key`, which was chosen a moment ago.
    pub(crate) fn new(context: &SharedEdge, key: InstanceKey) -> Self {
        InstanceHold {
            context: Rc::clone(context),
            key,
            started_at: ClockTime::now(),
            noted_late: false,
        }
    }

    /// Instance that is held.
    pub(crate) fn key(&self) -> InstanceKey {
        self.key
    }

    /// Milliseconds since the instance was chosen.
    pub(crate) fn millis(&self) -> u64 {
        ClockTime::now().since(self.started_at)
    }

    /// Notes that the objective passed without an answer.
    pub(crate) fn note_late(&mut self) {
        if !self.noted_late {
            self.noted_late = true;
            self.observe(AttemptOutcome::Late);
        }
    }

    /// Notes a whole answer.
    pub(crate) fn note_answered(&mut self) {
        if !self.noted_late {
            self.observe(AttemptOutcome::Good);
        }
    }

    /// Notes a failure of the instance.
    pub(crate) fn note_failed(&self) {
        self.observe(AttemptOutcome::Failed);
    }

    /// Notes that this host cannot reach the instance.
    pub(crate) fn note_unreached(&mut self) {
        self.observe(AttemptOutcome::Unreachable);
        let mut table = self.context.table.borrow_mut();
        table.note_unreached(self.key, ClockTime::now());
    }

    /// Notes that the instance shed the request.
    pub(crate) fn note_shed(&self) {
        let mut table = self.context.table.borrow_mut();
        table.note_shed(self.key, ClockTime::now());
    }

    /// Notes the instance's own word that it is not the one listed.
    pub(crate) fn note_misdirected(&self) {
        self.context.table.borrow_mut().note_own_word(self.key);
    }

    fn observe(&self, outcome: AttemptOutcome) {
        let millis = self.millis();
        let mut table = self.context.table.borrow_mut();
        table.observe(self.key, outcome, millis, ClockTime::now());
    }
}

impl Drop for InstanceHold {
    fn drop(&mut self) {
        self.context.table.borrow_mut().release(self.key);
    }
}
