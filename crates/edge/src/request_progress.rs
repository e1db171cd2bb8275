//! Requests in progress, so that a stopping host can name those that it cuts off.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

/// Request in progress.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    /// Id of the caller's attempt.
    pub(crate) id: CompactString,
    /// When the host had read the head of the request.
    pub(crate) read_at: ClockTime,
    /// Number of attempts that instances have not responded to yet.
    pub(crate) open_attempts: Cell<u32>,
}

/// All requests in progress, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct ProgressRegister {
    requests: RefCell<BTreeMap<u64, Rc<RequestProgress>>>,
    last_key: Cell<u64>,
}

/// Keeps a request in the register until dropped.
#[derive(Debug)]
pub(crate) struct ProgressGuard {
    register: Rc<ProgressRegister>,
    key: u64,
    progress: Rc<RequestProgress>,
}

/// Counts an attempt as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenAttempt<'a>(&'a RequestProgress);

impl ProgressRegister {
    /// Adds the request `id`, read at `read_at`.
    pub(crate) fn add(self: &Rc<Self>, id: CompactString, read_at: ClockTime) -> ProgressGuard {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let progress = Rc::new(RequestProgress {
            id,
            read_at,
            open_attempts: Cell::new(0),
        });
        self.requests.borrow_mut().insert(key, Rc::clone(&progress));
        ProgressGuard {
            register: Rc::clone(self),
            key,
            progress,
        }
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// The requests, oldest first.
    pub(crate) fn requests(&self) -> Vec<Rc<RequestProgress>> {
        self.requests.borrow().values().cloned().collect()
    }
}

impl ProgressGuard {
    /// Id of the caller's attempt.
    pub(crate) fn id(&self) -> &str {
        &self.progress.id
    }

    /// Counts an attempt at an instance as open until the returned value is dropped.
    pub(crate) fn open_attempt(&self) -> OpenAttempt<'_> {
        let attempts = &self.progress.open_attempts;
        attempts.set(attempts.get() + 1);
        OpenAttempt(&self.progress)
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.register.requests.borrow_mut().remove(&self.key);
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        let attempts = &self.0.open_attempts;
        attempts.set(attempts.get() - 1);
    }
}
