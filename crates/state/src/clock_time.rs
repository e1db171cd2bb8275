//! The one clock of the project.
//!
//! Milliseconds of the boot clock, which only moves forward, also while the
//! process is stopped. Values of different hosts are never compared.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Point in time of this host, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Reads the boot clock.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        ClockTime(time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI)
    }

    /// Time at `millis` milliseconds of the boot clock.
    pub const fn from_millis(millis: u64) -> Self {
        ClockTime(millis)
    }

    /// Milliseconds of the boot clock.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Milliseconds since `earlier`, zero if `earlier` is later.
    pub const fn since(self, earlier: ClockTime) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Time `millis` milliseconds later.
    pub const fn plus(self, millis: u64) -> Self {
        ClockTime(self.0.saturating_add(millis))
    }

    /// Time `millis` milliseconds earlier, not before zero.
    pub const fn minus(self, millis: u64) -> Self {
        ClockTime(self.0.saturating_sub(millis))
    }
}
