//! Whether the instance list of the users' platform contains an instance.

use crocushoist_state::ClockTime;

/// Whether the instance list of the users' platform contains an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Contained in the list.
    Listed,
    /// The entry expired while the store was unavailable; the instance is removed at the given
    /// time unless it is listed again.
    Lapsing(ClockTime),
    /// Not in the list.
    Gone,
}
