//! TCP proxy on a loopback address that can disturb one link of the fleet.
//!
//! A link state applies to all connections of the proxy, and takes effect on
//! open connections as well as on new ones.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::time::sleep;
use futures_util::future::select;

use crocushoist_transport::TransportError;
use crocushoist_transport::connect_from;
use crocushoist_transport::listen_on;

/// Milliseconds that a connection to the target may take to open.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

const BUFFER_BYTES: usize = 16 * 1024;

/// Milliseconds between checks for a change of the link state.
const STATE_POLL_MS: u64 = 20;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Each read is forwarded this many milliseconds later.
    Delayed(u64),
    /// Open connections are closed, and new ones as soon as they are accepted.
    Closed,
    /// No bytes are forwarded; connections stay open.
    Stalled,
    /// Bytes are forwarded to the target, but not back; connections stay open.
    OneWay,
}

/// Proxy of one link.
#[derive(Debug)]
pub(crate) struct LinkProxy {
    /// Current state of the link.
    pub(crate) state: Cell<LinkState>,
    listen_address: SocketAddr,
    target_address: SocketAddr,
}

impl LinkProxy {
    /// Creates an open link that listens at `listen_address` and connects to `target_address`.
    pub(crate) fn new(listen_address: SocketAddr, target_address: SocketAddr) -> Rc<Self> {
        Rc::new(LinkProxy {
            state: Cell::default(),
            listen_address,
            target_address,
        })
    }

    /// Accepts and forwards connections until the process ends.
    pub(crate) async fn serve(self: Rc<Self>) -> Result<(), TransportError> {
        let listener = listen_on(self.listen_address).await?;
        loop {
            let Ok((client, client_address)) = listener.accept().await else {
                continue;
            };
            let proxy = Rc::clone(&self);
            compio::runtime::spawn(async move {
                proxy.forward_connection(client, client_address).await
            })
            .detach();
        }
    }

    /// Forwards one connection; the target sees the client's IP address as its source.
    async fn forward_connection(&self, client: TcpStream, client_address: SocketAddr) {
        if self.state.get() == LinkState::Closed {
            return;
        }
        let connected = connect_from(
            Some(client_address.ip()),
            self.target_address,
            CONNECT_TIMEOUT_MS,
        )
        .await;
        let Ok(target) = connected else {
            return;
        };
        let (client_reader, client_writer) = client.into_split();
        let (target_reader, target_writer) = target.into_split();
        let to_target = Box::pin(self.forward_bytes(client_reader, target_writer, true));
        let to_client = Box::pin(self.forward_bytes(target_reader, client_writer, false));
        let either_direction = select(to_target, to_client);
        let link_closed = Box::pin(self.wait_until_closed());
        // Dropping the streams of both directions closes the connection.
        select(either_direction, link_closed).await;
    }

    async fn wait_until_closed(&self) {
        while self.state.get() != LinkState::Closed {
            sleep(Duration::from_millis(STATE_POLL_MS)).await;
        }
    }

    /// Copies bytes in one direction until a stream ends or fails.
    async fn forward_bytes(
        &self,
        mut reader: TcpStream,
        mut writer: TcpStream,
        is_to_target: bool,
    ) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = reader.read(buffer).await;
            buffer = filled;
            if !matches!(read, Ok(count) if count > 0) {
                return;
            }
            self.wait_until_forwarding(is_to_target).await;
            let BufResult(written, returned) = writer.write_all(buffer).await;
            buffer = returned;
            if written.is_err() {
                return;
            }
        }
    }

    /// Waits for the link's delay, or while the link forwards no bytes in this direction.
    async fn wait_until_forwarding(&self, is_to_target: bool) {
        loop {
            match self.state.get() {
                LinkState::Open | LinkState::Closed => return,
                LinkState::OneWay if is_to_target => return,
                LinkState::Delayed(delay_ms) => {
                    sleep(Duration::from_millis(delay_ms)).await;
                    return;
                }
                LinkState::Stalled | LinkState::OneWay => {
                    sleep(Duration::from_millis(STATE_POLL_MS)).await;
                }
            }
        }
    }
}
