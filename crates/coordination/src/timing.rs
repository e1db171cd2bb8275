//! Time limits that keep two hosts from spending from the same shard, in milliseconds.
//!
//! A host admits keyed requests only while its evidence is younger than
//! [`MAX_EVIDENCE_AGE_MS`]. A drawn token may be spent only within
//! [`DRAWN_TOKEN_LIFETIME_MS`] after the draw request was sent. Therefore,
//! [`FENCE_DELAY_MS`] after a change of holder was accepted, the earlier holder
//! has stopped granting tokens and every token drawn from it has expired.

/// Age in milliseconds from which evidence is too old to admit keyed requests.
pub const MAX_EVIDENCE_AGE_MS: u64 = 1_500;

/// Lifetime of a drawn token in milliseconds, counted from sending the draw request.
pub const DRAWN_TOKEN_LIFETIME_MS: u64 = 300;

/// Margin in milliseconds for clocks that run at different speeds.
pub const CLOCK_DRIFT_MARGIN_MS: u64 = 100;

/// Delay in milliseconds between the acceptance of a claim and the new holder's first token.
pub const FENCE_DELAY_MS: u64 =
    MAX_EVIDENCE_AGE_MS + DRAWN_TOKEN_LIFETIME_MS + CLOCK_DRIFT_MARGIN_MS;

/// Milliseconds without contact after which a holder is suspected to have stopped.
pub const SUSPECT_AFTER_MS: u64 = 1_500;

/// Age of the evidence in milliseconds at which a host reads the log itself.
pub const READ_LOG_AFTER_MS: u64 = 600;

/// Age of the evidence in milliseconds at which a host queries the shard holders for a majority.
pub const QUERY_MAJORITY_AFTER_MS: u64 = 500;
