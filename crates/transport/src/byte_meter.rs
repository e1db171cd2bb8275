//! Byte counter of control traffic: calls between hosts and calls to the platform.

use std::cell::Cell;
use std::rc::Rc;

/// Byte counter; its clones share one count.
#[derive(Clone, Debug, Default)]
pub struct ByteMeter(Rc<Cell<u64>>);

impl ByteMeter {
    /// Adds `bytes` to the count.
    pub fn add(&self, bytes: u64) {
        self.0.set(self.0.get() + bytes);
    }

    /// Number of bytes counted since the start.
    pub fn total(&self) -> u64 {
        self.0.get()
    }
}
