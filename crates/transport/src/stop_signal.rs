//! Signal that wakes every task that waits for it, and stays raised.

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
}

/// Signal that wakes every waiting task when raised, and stays raised; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct StopSignal(Rc<SignalState>);

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

    /// Waits until the signal is raised.
    pub fn raised(&self) -> RaisedFuture {
        RaisedFuture(self.clone())
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
