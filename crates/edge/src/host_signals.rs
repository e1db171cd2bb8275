//! Signals by which operators stop a host or let it check its settings again.

use crocushoist_transport::ProcessSignal;

use crate::edge_host::EdgeError;

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Signals that a host handles from the start of its process to its end.
#[derive(Debug)]
pub struct HostSignals {
    /// Starts the planned stop.
    pub(crate) stop: ProcessSignal,
    /// Lets the host check its settings file again.
    pub(crate) reload: ProcessSignal,
}

impl HostSignals {
    /// Installs the handlers; fails if the system refuses one.
    pub fn listen() -> Result<Self, EdgeError> {
        let listen = |number| ProcessSignal::listen(number).map_err(EdgeError::Signal);
        Ok(HostSignals {
            stop: listen(SIGTERM)?,
            reload: listen(SIGHUP)?,
        })
    }
}
