//! Monotonic time in milliseconds.
//!
//! Time is read from `CLOCK_BOOTTIME`, which never goes back and keeps
//! counting while the process or the machine is suspended. Values from
//! different hosts must not be compared.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Point in time, in milliseconds of this host's boot clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Returns the current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        ClockTime(time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI)
    }

    /// Returns the time at `millis` milliseconds of the boot clock.
    pub const fn from_millis(millis: u64) -> Self {
        ClockTime(millis)
    }

    /// Returns the time in milliseconds of the boot clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Milliseconds from `earlier` to this time, zero if `earlier` is later.
    pub const fn since(self, earlier: ClockTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `millis` milliseconds later.
    pub const fn plus(self, millis: u64) -> Self {
        ClockTime(self.0.saturating_add(millis))
    }

    /// Returns the time `millis` milliseconds earlier, at least zero.
    pub const fn minus(self, millis: u64) -> Self {
        ClockTime(self.0.saturating_sub(millis))
    }
}
