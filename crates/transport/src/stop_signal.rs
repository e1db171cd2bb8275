//! Signal that wakes every task that waits for it, and stays raised.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

#[derive(Debug, Default)]
struct SignalState {
    raised: Cell<bool>,
    /// Wakers of the futures that wait, by the key of the future.
    wakers: RefCell<HashMap<u64, Waker>>,
    last_key: Cell<u64>,
}

/// Signal that wakes every waiting task when raised, and stays raised; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Rc<SignalState>);

impl StopSignal {
    /// Raises the signal for good.
    pub fn raise(&self) {
        self.0.raised.set(true);
        for waker in self.0.wakers.take().into_values() {
            waker.wake();
        }
    }

    /// Whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        self.0.raised.get()
    }

    /// Number of futures that wait for the signal.
    pub fn waiting(&self) -> usize {
        self.0.wakers.borrow().len()
    }

    /// Waits until the signal is raised.
    pub fn raised(&self) -> RaisedFuture {
        let key = self.0.last_key.get() + 1;
        self.0.last_key.set(key);
        RaisedFuture {
            signal: self.clone(),
            key,
        }
    }
}

/// Future that completes when a [`StopSignal`] is raised.
#[derive(Debug)]
pub struct RaisedFuture {
    signal: StopSignal,
    key: u64,
}

impl Future for RaisedFuture {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.signal.is_raised() {
            return Poll::Ready(());
        }
        let mut wakers = self.signal.0.wakers.borrow_mut();
        match wakers.get_mut(&self.key) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                wakers.insert(self.key, cx.waker().clone());
            }
        }
        Poll::Pending
    }
}

impl Drop for RaisedFuture {
    fn drop(&mut self) {
        // The waker is dropped after the borrow, as it may own the last reference to a task.
        let waker = self.signal.0.wakers.borrow_mut().remove(&self.key);
        drop(waker);
    }
}
