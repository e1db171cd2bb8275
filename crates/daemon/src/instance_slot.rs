//! Slot of an instance that a request has taken.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crocushoist_state::ClockTime;
use crocushoist_state::InstanceId;

use crate::host_context::SharedContext;

/// Slot of an instance, given back when dropped.
pub(crate) struct InstanceSlot {
    context: SharedContext,
    instance: InstanceId,
    floor_percent: u32,
    taken_at: ClockTime,
    started: Instant,
    given_back: bool,
}

impl InstanceSlot {
    /// Slot of `instance` that was taken at `taken_at`.
    pub(crate) fn new(
        context: &SharedContext,
        instance: InstanceId,
        taken_at: ClockTime,
        floor_percent: u32,
    ) -> Self {
        InstanceSlot {
            context: Rc::clone(context),
            instance,
            floor_percent,
            taken_at,
            started: Instant::now(),
            given_back: false,
        }
    }

    /// Gives the slot back after a whole answer.
    pub(crate) fn succeed(mut self, latency: Duration) {
        self.given_back = true;
        let mut state = self.context.state.borrow_mut();
        state
            .pool
            .record_success(self.instance, self.taken_at, latency.as_micros() as u64);
    }

    /// Gives the slot back after a failure of the instance.
    pub(crate) fn fail(mut self) {
        self.given_back = true;
        let mut state = self.context.state.borrow_mut();
        let address = state.pool.get(self.instance).address;
        state.pool.record_failure(
            self.instance,
            self.taken_at,
            ClockTime::now(),
            self.floor_percent,
        );
        self.context.upstreams.close_idle(address);
    }

    /// Time since the slot was taken.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes the instance's own word that it leaves.
    pub(crate) fn note_leaving(&self) {
        self.context
            .state
            .borrow_mut()
            .pool
            .record_draining(self.instance, ClockTime::now());
    }
}

impl Drop for InstanceSlot {
    fn drop(&mut self) {
        if !self.given_back {
            self.context
                .state
                .borrow_mut()
                .pool
                .release_slot(self.instance, self.taken_at);
        }
    }
}
