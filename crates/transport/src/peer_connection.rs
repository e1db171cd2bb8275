//! RPC between the hosts of the fleet, over TCP with tarpc.
//!
//! tarpc measures call deadlines with tokio's timer, so the calling thread must
//! have entered a tokio runtime before it uses these functions.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use compio::time::sleep;
use cyper_core::HyperStream;
use futures_util::StreamExt;
use tarpc::client;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crocushoist_protocol::PeerService;
use crocushoist_protocol::PeerServiceClient;

use crate::ByteMeter;
use crate::MeteredStream;
use crate::RaisedFuture;
use crate::StopSignal;
use crate::TransportError;
use crate::connect::ACCEPT_RETRY_DELAY;
use crate::connect_from;

/// Largest message in bytes; a host sends its whole snapshot as one message.
const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;

/// Connection to another host of the fleet.
#[derive(Debug)]
pub struct PeerConnection {
    client: PeerServiceClient,
    end_signal: StopSignal,
    _task: JoinHandle<()>,
}

impl PeerConnection {
    /// Connects from the local address `source` to the host at `address`.
    ///
    /// Counts the bytes of the connection in `meter`. Fails with `Timeout` after
    /// `timeout_ms` milliseconds, and with `Connect` on a socket error.
    pub async fn connect(
        source: Option<IpAddr>,
        address: SocketAddr,
        timeout_ms: u64,
        meter: ByteMeter,
    ) -> Result<Self, TransportError> {
        let stream = connect_from(source, address, timeout_ms).await?;
        let transport =
            tarpc::serde_transport::new(framed_stream(stream, meter), Bincode::default());
        let client::NewClient { client, dispatch } =
            PeerServiceClient::new(client::Config::default(), transport);
        let end_signal = StopSignal::default();
        let raised_at_end = end_signal.clone();
        let task = compio::runtime::spawn(async move {
            let _ = dispatch.await;
            raised_at_end.raise();
        });
        Ok(PeerConnection {
            client,
            end_signal,
            _task: task,
        })
    }

    /// Client for calls over this connection.
    pub fn client(&self) -> PeerServiceClient {
        self.client.clone()
    }

    /// Waits until the connection has ended.
    pub fn closed(&self) -> RaisedFuture {
        self.end_signal.raised()
    }

    /// Context of a call whose deadline is `timeout_ms` milliseconds from now.
    pub fn call_context(timeout_ms: u64) -> Context {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
        context
    }
}

/// Serves the calls of every accepted connection with `service`, forever.
///
/// Counts the bytes of all connections in `meter`.
pub async fn serve_peers<S>(listener: TcpListener, meter: ByteMeter, service: S)
where
    S: PeerService + Clone + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let task = serve_connection(stream, meter.clone(), service.clone());
        compio::runtime::spawn(task).detach();
    }
}

async fn serve_connection<S>(stream: TcpStream, meter: ByteMeter, service: S)
where
    S: PeerService + Clone + 'static,
{
    let transport = tarpc::serde_transport::new(framed_stream(stream, meter), Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = std::pin::pin!(channel.execute(service.serve()));
    while let Some(call) = calls.next().await {
        compio::runtime::spawn(call).detach();
    }
}

type FramedStream = tarpc::tokio_util::codec::Framed<
    tokio_util::compat::Compat<MeteredStream<HyperStream<TcpStream>>>,
    LengthDelimitedCodec,
>;

fn framed_stream(stream: TcpStream, meter: ByteMeter) -> FramedStream {
    let stream = MeteredStream::new(HyperStream::new_plain(stream), meter);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream.compat())
}
