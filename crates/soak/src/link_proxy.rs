//! Loopback proxy of one link that delays, resets, silences or cuts one way.

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

const CONNECT_MS: u64 = 1_000;
const BUFFER_BYTES: usize = 16 * 1024;
const LOOK_EVERY_MS: u64 = 20;

/// What happens on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass this many milliseconds later.
    Delayed(u64),
    /// Connections are reset.
    Reset,
    /// Nothing passes; connections stay open.
    Silent,
    /// Bytes pass to the far side only.
    OneWay,
}

/// Proxy of one link.
#[derive(Debug)]
pub(crate) struct LinkProxy {
    /// What happens on it.
    pub(crate) state: Cell<LinkState>,
    listen: SocketAddr,
    target: SocketAddr,
}

impl LinkProxy {
    /// Proxy that listens at `listen` and connects to `target`.
    pub(crate) fn new(listen: SocketAddr, target: SocketAddr) -> Rc<Self> {
        Rc::new(LinkProxy {
            state: Cell::default(),
            listen,
            target,
        })
    }

    /// Passes connections on until the process ends.
    pub(crate) async fn serve(self: Rc<Self>) -> Result<(), TransportError> {
        let listener = listen_on(self.listen).await?;
        loop {
            let Ok((near, peer)) = listener.accept().await else {
                continue;
            };
            let proxy = Rc::clone(&self);
            compio::runtime::spawn(async move { proxy.pass_connection(near, peer).await }).detach();
        }
    }

    async fn pass_connection(&self, near: TcpStream, peer: SocketAddr) {
        if self.state.get() == LinkState::Reset {
            return;
        }
        let connected = connect_from(Some(peer.ip()), self.target, CONNECT_MS).await;
        let Ok(far) = connected else {
            return;
        };
        let (near_reader, near_writer) = near.into_split();
        let (far_reader, far_writer) = far.into_split();
        let onward = Box::pin(self.pass(near_reader, far_writer, true));
        let back = Box::pin(self.pass(far_reader, near_writer, false));
        let both = select(onward, back);
        let reset = Box::pin(self.wait_for_reset());
        // Dropping both halves ends the connection.
        select(both, reset).await;
    }

    async fn wait_for_reset(&self) {
        while self.state.get() != LinkState::Reset {
            sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }

    async fn pass(&self, mut reader: TcpStream, mut writer: TcpStream, is_onward: bool) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = reader.read(buffer).await;
            buffer = filled;
            if !matches!(read, Ok(count) if count > 0) {
                return;
            }
            self.wait_for_passage(is_onward).await;
            let BufResult(written, returned) = writer.write_all(buffer).await;
            buffer = returned;
            if written.is_err() {
                return;
            }
        }
    }

    /// Holds bytes up while the link is silent in their direction.
    async fn wait_for_passage(&self, is_onward: bool) {
        loop {
            match self.state.get() {
                LinkState::Open | LinkState::Reset => return,
                LinkState::OneWay if is_onward => return,
                LinkState::Delayed(millis) => {
                    sleep(Duration::from_millis(millis)).await;
                    return;
                }
                LinkState::Silent | LinkState::OneWay => {
                    sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
                }
            }
        }
    }
}
