//! Number of the store's history.

/// Number of the store's history, which rises each time the store comes back from a copy.
///
/// The default stands for a store that tells no number and therefore loses nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Whether the store tells its era, so that it may come back from a copy.
    pub fn is_known(self) -> bool {
        self != StoreEra::default()
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
