//! Slot that a request has acquired on an instance.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crocushoist_state::ClockTime;
use crocushoist_state::InstanceId;

use crate::host_context::SharedContext;

/// Slot on an instance, released without an outcome if dropped.
pub(crate) struct InstanceSlot {
    context: SharedContext,
    instance: InstanceId,
    floor_percent: u32,
    acquired_at: ClockTime,
    started_at: Instant,
    is_released: bool,
}

impl InstanceSlot {
    /// Guard for a slot on `instance` that was acquired at `acquired_at`.
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

    /// Releases the slot after a complete response; `latency` is the time to its head.
    pub(crate) fn release_succeeded(mut self, latency: Duration) {
        self.is_released = true;
        let mut state = self.context.state.borrow_mut();
        state
            .pool
            .record_success(self.instance, self.acquired_at, latency.as_micros() as u64);
    }

    /// Releases the slot after a failure and closes the idle connections to the instance.
    pub(crate) fn release_failed(mut self) {
        self.is_released = true;
        let mut state = self.context.state.borrow_mut();
        let address = state.pool.get(self.instance).address;
        state.pool.record_failure(
            self.instance,
            self.acquired_at,
            ClockTime::now(),
            self.floor_percent,
        );
        self.context.upstreams.close_idle(address);
    }

    /// Time since the slot was acquired.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Records that the instance reported that it is draining.
    pub(crate) fn record_draining(&self) {
        self.context
            .state
            .borrow_mut()
            .pool
            .record_draining(self.instance, ClockTime::now());
    }
}

impl Drop for InstanceSlot {
    fn drop(&mut self) {
        if !self.is_released {
            self.context
                .state
                .borrow_mut()
                .pool
                .release_slot(self.instance, self.acquired_at);
        }
    }
}
