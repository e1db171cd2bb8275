//! Stop of a server in two steps, and the count of its open sockets.

use std::cell::Cell;
use std::rc::Rc;

use crate::StopSignal;

/// Stop of a server; clones share their state.
///
/// A server first ceases to accept connections, and later closes those that
/// are open, each after its current request.
#[derive(Clone, Debug, Default)]
pub struct ServerStop {
    pub(crate) listener_closed: StopSignal,
    pub(crate) connections_closed: StopSignal,
    open_listeners: Rc<Cell<usize>>,
    open_connections: Rc<Cell<usize>>,
}

/// Guard that counts a socket as open until it is dropped.
#[derive(Debug)]
pub(crate) struct SocketGuard(Rc<Cell<usize>>);

impl ServerStop {
    /// Ends the acceptance of connections and closes the listening socket.
    pub fn close_listener(&self) {
        self.listener_closed.raise();
    }

    /// Closes the listening socket and every connection, each as soon as no request is in
    /// progress on it.
    pub fn close_connections(&self) {
        self.listener_closed.raise();
        self.connections_closed.raise();
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Whether the listening socket and every connection are closed.
    pub fn has_ended(&self) -> bool {
        self.open_listeners.get() == 0 && self.open_connections() == 0
    }

    /// Counts one more open listener until the guard is dropped.
    pub(crate) fn register_listener(&self) -> SocketGuard {
        SocketGuard::new(&self.open_listeners)
    }

    /// Counts one more open connection until the guard is dropped.
    pub(crate) fn register_connection(&self) -> SocketGuard {
        SocketGuard::new(&self.open_connections)
    }
}

impl SocketGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        SocketGuard(Rc::clone(count))
    }
}

impl Drop for SocketGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
