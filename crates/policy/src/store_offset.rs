//! Position in a topic of the store.
//!
//! A store that comes back from a copy gives the offsets after the copy out
//! again, for other records. A number alone therefore does not name a record;
//! the type has no order of its own, so that numbers of two eras are never
//! compared.

use crate::StoreEra;

/// Position in a topic of the store, within one era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StoreOffset {
    /// Era of the store.
    pub era: StoreEra,
    number: u64,
}

impl StoreOffset {
    /// Position `number` in `era`.
    pub fn new(era: StoreEra, number: u64) -> Self {
        StoreOffset { era, number }
    }

    /// Number within `era`, `None` if the position is of another era.
    pub fn within(self, era: StoreEra) -> Option<u64> {
        (self.era == era).then_some(self.number)
    }

    /// Number within the era of the position, for messages and logs.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Position after this one.
    pub fn next(self) -> Self {
        StoreOffset::new(self.era, self.number + 1)
    }

    /// Position before this one, or this one if it is the first.
    pub fn previous(self) -> Self {
        StoreOffset::new(self.era, self.number.saturating_sub(1))
    }

    /// Whether this position is in the same era as `other` and not before it.
    pub fn is_at_or_after(self, other: StoreOffset) -> bool {
        self.within(other.era)
            .is_some_and(|number| number >= other.number)
    }

    /// Whether what is known up to this position replaces what is known up to `other`: this
    /// position is of a later era, or of the same one and after `other`.
    pub fn supersedes(self, other: StoreOffset) -> bool {
        match self.within(other.era) {
            Some(number) => number > other.number,
            None => self.era > other.era,
        }
    }

    /// The one of both positions whose knowledge replaces that of the other.
    pub fn latest(self, other: StoreOffset) -> Self {
        if other.supersedes(self) { other } else { self }
    }
}

impl std::fmt::Display for StoreOffset {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.era, self.number)
    }
}
