//! Signal that the process handles itself from [`ProcessSignal::listen`] on.
//!
//! A listener of the runtime restores the signal's default action when it
//! completes, and the default action of most signals ends the process. A second
//! listener, which is registered and never awaited, keeps the handler installed
//! as long as this value lives, whatever its owner does meanwhile.
//!
//! The next listener is registered before a received signal is reported, so a
//! signal that arrives while the last one is handled is not lost. Signals that
//! arrive before the owner waits again count as one.

use std::fmt;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

type SignalListener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Signal that never falls back to its default action while this value lives.
pub struct ProcessSignal {
    number: i32,
    listener: SignalListener,
    _keeper: SignalListener,
}

impl ProcessSignal {
    /// Installs the handler of the signal `number`; fails if there is no such signal.
    pub fn listen(number: i32) -> io::Result<Self> {
        Ok(ProcessSignal {
            number,
            listener: register(number)?,
            _keeper: register(number)?,
        })
    }

    /// Waits until the signal arrives, or returns at once if it did since the last call.
    pub async fn received(&mut self) -> io::Result<()> {
        self.listener.as_mut().await?;
        self.listener = register(self.number)?;
        Ok(())
    }
}

impl fmt::Debug for ProcessSignal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ProcessSignal")
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

/// Listener of the signal `number`, which is registered by its first poll.
fn register(number: i32) -> io::Result<SignalListener> {
    let mut listener: SignalListener = Box::pin(compio::signal::unix::signal(number));
    match listener
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
    {
        Poll::Ready(Err(error)) => Err(error),
        // The signal arrived in between; the listener must report it when awaited.
        Poll::Ready(Ok(())) => Ok(Box::pin(std::future::ready(Ok(())))),
        Poll::Pending => Ok(listener),
    }
}
