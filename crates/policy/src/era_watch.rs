//! Changes of the store's era as one host notices them.
//!
//! A store that came back from a copy has lost what was written since. Those
//! who wrote it write it again, but until they have done so, reading the store
//! does not prove that nothing newer was acknowledged. The era is settled once
//! they had the time for it.

use crocushoist_state::ClockTime;

use crate::StoreEra;

/// Milliseconds for which operators and instances may take to write again what the store lost.
pub const REWRITE_MS: u64 = 2_000;

/// Store's era as one host knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraWatch {
    era: StoreEra,
    /// When this host noticed the era.
    noticed_at: ClockTime,
    /// Whether another host recorded that the era is settled.
    is_recorded: bool,
    /// Whether this host knows again what it reads from the store.
    is_caught_up: bool,
}

impl EraWatch {
    /// Newest era that was noticed.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Notices `era`; returns the era before if it is newer.
    pub fn notice(&mut self, era: StoreEra, now: ClockTime) -> Option<StoreEra> {
        if era <= self.era {
            return None;
        }
        let before = self.era;
        *self = EraWatch {
            era,
            noticed_at: now,
            is_recorded: false,
            is_caught_up: false,
        };
        Some(before)
    }

    /// Records that a host found `era` settled when it wrote a record in it.
    pub fn record_settled(&mut self, era: StoreEra) {
        self.is_recorded |= era == self.era;
    }

    /// Whether operators and instances had the time to write again what the store lost.
    pub fn is_settled(&self, now: ClockTime) -> bool {
        !self.era.is_known() || self.is_recorded || self.since_change(now) >= REWRITE_MS
    }

    /// Milliseconds since this host noticed the era.
    pub fn since_change(&self, now: ClockTime) -> u64 {
        now.since(self.noticed_at)
    }

    /// Records that this host knows everything again; returns after how many milliseconds, the
    /// first time in an era.
    pub fn record_caught_up(&mut self, now: ClockTime) -> Option<u64> {
        if !self.era.is_known() || std::mem::replace(&mut self.is_caught_up, true) {
            return None;
        }
        Some(self.since_change(now))
    }
}
