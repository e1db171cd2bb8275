//! Positions in the store's log that tell whether an instance is in the list.
//!
//! Within an era the later of two positions decides. A store that came back
//! from a copy shows entries of earlier eras among those of its own, so a
//! position of a later era outweighs one of an earlier era only if the instance
//! is known to have written in that era, or if the list lacks the instance.
//!
//! What two hosts know is joined by the latest of each position. The order and
//! the number of messages therefore change nothing.

use crate::StoreEra;
use crate::StoreOffset;

/// Positions in the store's log that tell whether an instance is in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PresenceEvidence {
    /// Latest entry that a host read.
    pub read_at: StoreOffset,
    /// Latest entry, or one before it, that the instance is known to have written in that era.
    pub written_at: StoreOffset,
    /// Position at which the list lacked the instance: only entries from there on are newer.
    pub absent_before: Option<StoreOffset>,
}

impl PresenceEvidence {
    /// Evidence of an entry at `offset`, which `is_written` tells to be written in that era.
    pub fn read(offset: StoreOffset, is_written: bool) -> Self {
        PresenceEvidence {
            read_at: offset,
            written_at: if is_written {
                offset
            } else {
                StoreOffset::default()
            },
            absent_before: None,
        }
    }

    /// Evidence of a list that lacks the instance at `offset`.
    pub fn absent(offset: StoreOffset) -> Self {
        PresenceEvidence {
            absent_before: Some(offset),
            ..PresenceEvidence::default()
        }
    }

    /// What both evidences tell together.
    pub fn joined(self, other: PresenceEvidence) -> Self {
        let absent_before = match (self.absent_before, other.absent_before) {
            (Some(own), Some(others)) => Some(own.latest(others)),
            (own, others) => own.or(others),
        };
        let read_at = self.read_at.latest(other.read_at);
        let mut written_at = self.written_at.latest(other.written_at);
        for absent in [self.absent_before, other.absent_before]
            .into_iter()
            .flatten()
        {
            let is_read_later = |read_at: StoreOffset| read_at.is_at_or_after(absent);
            if is_read_later(self.read_at) || is_read_later(other.read_at) {
                written_at = written_at.latest(absent);
            }
        }
        PresenceEvidence {
            read_at,
            written_at,
            absent_before,
        }
    }

    /// Whether the instance wrote after the list of `other` lacked it.
    pub(crate) fn outlives(self, other: PresenceEvidence) -> bool {
        let absent_before = other.absent_before;
        absent_before.is_none_or(|absent| !absent.supersedes(self.written_at))
    }

    /// Whether the list of `era` lacks the instance, as far as it is known.
    pub(crate) fn is_absent_in(self, era: StoreEra) -> bool {
        let absent_before = self.absent_before.filter(|absent| absent.era == era);
        absent_before.is_some_and(|absent| !self.read_at.is_at_or_after(absent))
    }

    /// Whether the instance wrote after a list lacked it, if any did.
    pub(crate) fn is_listed(self) -> bool {
        self.outlives(self)
    }
}
