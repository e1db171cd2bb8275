//! Share of requests that a hub assigned, with its age.
//!
//! A hub that falls silent cannot lower a share while the demand grows. The
//! share therefore falls with its age until the host uses its own part of the
//! limit.

use crocushoist_state::ClockTime;

/// Age in milliseconds up to which a share applies in full; several exchanges with the hub may be
/// lost.
const FULL_SHARE_MS: u64 = 250;

/// Age in milliseconds from which a share is no longer valid.
const SHARE_VALID_MS: u64 = 700;

/// Part of `share`, assigned at `assigned_at`, that applies at `now`; `None` if it is too old.
pub fn aged_share(share: f64, assigned_at: ClockTime, now: ClockTime) -> Option<f64> {
    let age_ms = now.since(assigned_at);
    if age_ms > SHARE_VALID_MS {
        return None;
    }
    let excess_ms = age_ms.saturating_sub(FULL_SHARE_MS) as f64;
    let fade_ms = (SHARE_VALID_MS - FULL_SHARE_MS) as f64;
    Some(share * (1.0 - excess_ms / fade_ms))
}
