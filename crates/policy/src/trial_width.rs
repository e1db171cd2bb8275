//! Number of hosts to which a hub offers one trial at a time.
//!
//! Each host has few requests, so a single offer often stays unused. More offers
//! than needed send several requests to an instance that is probably faulty.
//! The number therefore follows how often offers stay unused.

/// Factors for the number after a round without a request, and after one with a request.
const UNUSED_GROWTH: f64 = 2.0;
const USED_DECAY: f64 = 0.85;

/// Maximum number of hosts.
const MAX_WIDTH: f64 = 24.0;

/// Number of hosts to which a hub offers one trial at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TrialWidth(f64);

impl Default for TrialWidth {
    fn default() -> Self {
        TrialWidth(1.0)
    }
}

impl TrialWidth {
    /// Number of offers of the next round.
    pub(crate) fn offers(self) -> u32 {
        self.0.ceil() as u32
    }

    /// Records that no host used an offer.
    pub(crate) fn record_unused(&mut self) {
        self.0 = (self.0 * UNUSED_GROWTH).min(MAX_WIDTH);
    }

    /// Records that a host used an offer.
    pub(crate) fn record_used(&mut self) {
        self.0 = (self.0 * USED_DECAY).max(1.0);
    }
}
