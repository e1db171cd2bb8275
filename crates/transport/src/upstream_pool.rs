//! Kept connections to the instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::TransportError;
use crate::UpstreamConnection;

const MAX_IDLE_PER_INSTANCE: usize = 4;

/// Kept connections to the instances.
#[derive(Clone, Debug)]
pub struct UpstreamPool {
    source: Option<IpAddr>,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<UpstreamConnection>>>>,
}

impl UpstreamPool {
    /// Pool whose connections start from `source`.
    pub fn new(source: Option<IpAddr>) -> Self {
        UpstreamPool {
            source,
            idle: Rc::default(),
        }
    }

    /// Kept connection to `address`, or a new one within `millis` milliseconds.
    pub async fn get(
        &self,
        address: SocketAddr,
        millis: u64,
    ) -> Result<UpstreamConnection, TransportError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => UpstreamConnection::connect(self.source, address, millis).await,
        }
    }

    /// Keeps a connection that has passed on a whole answer.
    pub fn put(&self, connection: UpstreamConnection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address()).or_default();
        if kept.len() < MAX_IDLE_PER_INSTANCE {
            kept.push(connection);
        }
    }

    /// Closes the kept connections to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }
}
