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
    acquired_at: ClockTime,
    started_at: Instant,
    is_released: bool,
}

impl InstanceSlot {
    /// Slot of `instance` that was taken at `taken_at`.
    pub(crate) fn new(
        context: &SharedContext,
        instance: InstanceId,
        acquired_at: ClockTime,
        floor_percent: u32,
    ) -> Self {
        InstanceSlot {
            context: Rc::clone(context),
            instance,
            floor_percent,
            acquired_at,
            started_at: Instant::now(),
            is_released: false,
        }
    }

    /// Gives the slot back after a whole answer.
    pub(crate) fn release_succeeded(mut self, latency: Duration) {
        self.is_released = true;
        let mut state = self.context.state.borrow_mut();
        state
            .pool
            .succeed(self.instance, self.acquired_at, latency.as_micros() as u64);
    }

    /// Gives the slot back after a failure of the instance.
    pub(crate) fn release_failed(mut self) {
        self.is_released = true;
        let mut state = self.context.state.borrow_mut();
        let address = state.pool.get(self.instance).address;
        state.pool.fail(
            self.instance,
            self.acquired_at,
            ClockTime::now(),
            self.floor_percent,
        );
        self.context.upstreams.forget(address);
    }

    /// Time since the slot was taken.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Notes the instance's own word that it leaves.
    pub(crate) fn record_draining(&self) {
        self.context
            .state
            .borrow_mut()
            .pool
            .note_leaving(self.instance, ClockTime::now());
    }
}

impl Drop for InstanceSlot {
    fn drop(&mut self) {
        if !self.is_released {
            self.context
                .state
                .borrow_mut()
                .pool
                .release(self.instance, self.acquired_at);
        }
    }
}
