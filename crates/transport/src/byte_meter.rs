//! Counts bytes of control traffic.

use std::cell::Cell;
use std::rc::Rc;

/// Counter of bytes, shared by the connections it meters.
#[derive(Clone, Debug, Default)]
pub struct ByteMeter(Rc<Cell<u64>>);

impl ByteMeter {
    /// Adds `bytes`.
    pub fn add(&self, bytes: u64) {
        self.0.set(self.0.get() + bytes);
    }

    /// Bytes counted so far.
    pub fn total(&self) -> u64 {
        self.0.get()
    }
}
