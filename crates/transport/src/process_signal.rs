//! Signal that the process handles itself from [`ProcessSignal::listen`] to its end.
//!
//! The handler only writes a byte to a socket pair, which a task of the runtime
//! reads. It stays installed for good: a handler that goes with the task that
//! waits leaves the signal to its default action, which ends the process, and one
//! that wakes the task itself would change the runtime's queues while they are
//! in use.
//!
//! Signals that arrive before the owner waits again count as one.

use std::io;
use std::os::unix::net::UnixStream as StdStream;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::UnixStream;

/// Signals that are taken at once; any more are taken by the next call.
const MAX_SIGNALS: usize = 1_024;

/// Signal that never falls back to its default action.
#[derive(Debug)]
pub struct ProcessSignal {
    /// Reading end, until the runtime takes it over.
    receiver: Option<StdStream>,
    stream: Option<UnixStream>,
}

impl ProcessSignal {
    /// Installs the handler of the signal `number`; fails if the system refuses it.
    pub fn listen(number: i32) -> io::Result<Self> {
        let (receiver, sender) = StdStream::pair()?;
        receiver.set_nonblocking(true)?;
        signal_hook::low_level::pipe::register(number, sender)?;
        Ok(ProcessSignal {
            receiver: Some(receiver),
            stream: None,
        })
    }

    /// Waits until the signal arrives, or returns at once if it did since the last call.
    pub async fn received(&mut self) -> io::Result<()> {
        if let Some(receiver) = self.receiver.take() {
            self.stream = Some(UnixStream::from_std(receiver)?);
        }
        let stream = self.stream.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let BufResult(read, _) = stream.read(Vec::with_capacity(MAX_SIGNALS)).await;
        match read? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
