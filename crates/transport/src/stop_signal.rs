//! Signal that tells connection tasks to stop, and the count of open connections.
//!
//! A stopping host raises the signal and then waits, for a limited time, until
//! the count is zero.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

#[derive(Debug, Default)]
struct SignalState {
    raised: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
    open_connections: Cell<usize>,
}

/// Signal that wakes every waiting task when raised, and stays raised; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Rc<SignalState>);

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<SignalState>);

impl StopSignal {
    /// Raises the signal for good.
    pub fn raise(&self) {
        self.0.raised.set(true);
        for waker in self.0.wakers.take() {
            waker.wake();
        }
    }

    /// Whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        self.0.raised.get()
    }

    /// Counts one more open connection until the guard is dropped.
    pub fn register_connection(&self) -> ConnectionGuard {
        self.0
            .open_connections
            .set(self.0.open_connections.get() + 1);
        ConnectionGuard(Rc::clone(&self.0))
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.0.open_connections.get()
    }

    /// Waits until the signal is raised.
    pub fn raised(&self) -> RaisedFuture {
        RaisedFuture(self.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
    }
}

/// Future that completes when a [`StopSignal`] is raised.
#[derive(Debug)]
pub struct RaisedFuture(StopSignal);

impl Future for RaisedFuture {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.0.is_raised() {
            return Poll::Ready(());
        }
        let mut wakers = self.0.0.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }
}
