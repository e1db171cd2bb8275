//! Pool of idle connections to the instances of services.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::TransportError;
use crate::UpstreamConnection;

/// Most idle connections to one instance; a further one is closed instead of kept.
const MAX_IDLE_PER_INSTANCE: usize = 4;

/// Pool of idle connections to the instances; its clones share the connections.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    source: Option<IpAddr>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// Idle connection that may be reused until `expires_at`, or for any time if that is absent.
#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: Option<Instant>,
}

impl UpstreamPool {
    /// Empty pool that connects from the local address `source`.
    pub fn new(source: Option<IpAddr>) -> Self {
        UpstreamPool {
            source,
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection to `address`, or opens one.
    ///
    /// Fails as [`UpstreamConnection::connect`] does.
    pub async fn get(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<UpstreamConnection, TransportError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address, timeout_ms).await,
        }
    }

    /// Opens a connection to `address`; fails as [`UpstreamConnection::connect`] does.
    pub async fn connect(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<UpstreamConnection, TransportError> {
        UpstreamConnection::connect(self.source, address, timeout_ms).await
    }

    /// Keeps a connection for reuse; its last response must have been received in full.
    pub fn put(&self, connection: UpstreamConnection) {
        self.keep_idle(connection, None);
    }

    /// Keeps a connection for reuse during `lifetime_ms` milliseconds.
    ///
    /// The instance may close the connection after that time.
    pub fn put_with_lifetime(&self, connection: UpstreamConnection, lifetime_ms: u64) {
        let expires_at = Instant::now() + Duration::from_millis(lifetime_ms);
        self.keep_idle(connection, Some(expires_at));
    }

    /// Whether the pool has an idle connection to `address`.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.borrow();
        idle.get(&address)
            .is_some_and(|connections| !connections.is_empty())
    }

    /// Drops the idle connections that have expired or that the instance has closed.
    pub fn drop_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.is_usable(now));
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn keep_idle(&self, connection: UpstreamConnection, expires_at: Option<Instant>) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() < MAX_IDLE_PER_INSTANCE {
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Takes an idle connection to `address`.
    pub fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop() {
            if idle.is_usable(now) {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at) && self.connection.is_usable()
    }
}
