//! Entrance of a listener to the register of clients.

use std::net::SocketAddr;

use crocushoist_clients::ListenerKey;

use crate::ClientAccount;
use crate::ClientLimits;
use crate::ClientRegister;

/// Entrance of a listener to the register of clients; clones share its places.
#[derive(Clone, Debug)]
pub struct ClientEntrance {
    register: ClientRegister,
    listener: ListenerKey,
}

impl ClientEntrance {
    /// Entrance through which `places` clients may be connected at the same time.
    pub fn new(register: &ClientRegister, places: usize) -> Self {
        ClientEntrance {
            register: register.clone(),
            listener: register.add_listener(places),
        }
    }

    /// Account of a client that has connected from `address`; `None` if there is no place.
    pub(crate) fn connect(&self, address: SocketAddr) -> Option<ClientAccount> {
        self.register.connect(self.listener, address)
    }

    /// Turns away the clients that exceed the time limits.
    pub(crate) fn end_overdue(&self, limits: ClientLimits) {
        self.register.end_overdue(self.listener, limits);
    }
}
