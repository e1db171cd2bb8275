//! The times that the agreement rests on, in milliseconds.
//!
//! A host admits keyed requests only on evidence younger than
//! [`FRESHNESS_MS`]. A drawn token is spent within [`DRAWN_TOKEN_MS`] of the
//! draw's sending. So [`FENCE_MS`] after a change of holder was accepted, the
//! earlier holder has stopped and all its drawn tokens have expired.

/// Largest age of the evidence that a host admits on.
pub const FRESHNESS_MS: u64 = 1_500;

/// Life of a drawn token, from the sending of the draw.
pub const DRAWN_TOKEN_MS: u64 = 300;

/// Allowance for clocks that run at different speeds.
pub const CLOCK_MARGIN_MS: u64 = 100;

/// Wait between the acceptance of a claim and the first token of its holder.
pub const FENCE_MS: u64 = FRESHNESS_MS + DRAWN_TOKEN_MS + CLOCK_MARGIN_MS;

/// Silence after which a holder is suspected.
pub const SUSPICION_MS: u64 = 1_500;

/// Age of the evidence at which a host reads the log itself.
pub const READ_SELF_MS: u64 = 600;

/// Age of the evidence at which a host asks the holders for a majority.
pub const ASK_MAJORITY_MS: u64 = 500;
