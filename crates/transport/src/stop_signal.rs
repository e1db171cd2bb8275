//! Tells the connection tasks that the host is stopping.

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
    open: Cell<usize>,
}

/// Signal that is raised once and wakes every waiting task.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Rc<SignalState>);

/// Counts a connection as open until dropped.
#[derive(Debug)]
pub struct OpenGuard(Rc<SignalState>);

impl StopSignal {
    /// Raises the signal.
    pub fn raise(&self) {
        self.0.raised.set(true);
        for waker in self.0.wakers.take() {
            waker.wake();
        }
    }

    /// Whether the signal was raised.
    pub fn is_raised(&self) -> bool {
        self.0.raised.get()
    }

    /// Counts one more open connection until the guard is dropped.
    pub fn open(&self) -> OpenGuard {
        self.0.open.set(self.0.open.get() + 1);
        OpenGuard(Rc::clone(&self.0))
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.0.open.get()
    }

    /// Waits until the signal is raised.
    pub fn raised(&self) -> RaisedFuture {
        RaisedFuture(self.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Future of [`StopSignal::raised`].
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
