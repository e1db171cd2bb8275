//! Calls to and from peers.
//!
//! The library's deadlines run on its own timer, so its runtime must be
//! entered on the thread that calls these functions.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
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
use crate::CountedStream;
use crate::RaisedFuture;
use crate::StopSignal;
use crate::TransportError;
use crate::connect_from;

const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;

/// Connection to a peer.
#[derive(Debug)]
pub struct PeerLink {
    client: PeerServiceClient,
    ended: StopSignal,
    _task: JoinHandle<()>,
}

impl PeerLink {
    /// Connects from `source` to the peer at `address` within `millis` milliseconds.
    pub async fn connect(
        source: Option<IpAddr>,
        address: SocketAddr,
        millis: u64,
        meter: ByteMeter,
    ) -> Result<Self, TransportError> {
        let stream = connect_from(source, address, millis).await?;
        let transport = tarpc::serde_transport::new(frame(stream, meter), Bincode::default());
        let client::NewClient { client, dispatch } =
            PeerServiceClient::new(client::Config::default(), transport);
        let ended = StopSignal::default();
        let signal = ended.clone();
        let task = compio::runtime::spawn(async move {
            let _ = dispatch.await;
            signal.raise();
        });
        Ok(PeerLink {
            client,
            ended,
            _task: task,
        })
    }

    /// Client for calls over this connection.
    pub fn client(&self) -> PeerServiceClient {
        self.client.clone()
    }

    /// Waits until the connection has ended.
    pub fn closed(&self) -> RaisedFuture {
        self.ended.raised()
    }

    /// Context of a call that is given up after `millis` milliseconds.
    pub fn context(millis: u64) -> Context {
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + Duration::from_millis(millis);
        context
    }
}

/// Answers the calls of every accepted peer by `service`.
pub async fn serve_peers<S>(listener: TcpListener, meter: ByteMeter, service: S)
where
    S: PeerService + Clone + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let task = serve_peer(stream, meter.clone(), service.clone());
        compio::runtime::spawn(task).detach();
    }
}

async fn serve_peer<S>(stream: TcpStream, meter: ByteMeter, service: S)
where
    S: PeerService + Clone + 'static,
{
    let transport = tarpc::serde_transport::new(frame(stream, meter), Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let mut calls = std::pin::pin!(channel.execute(service.serve()));
    while let Some(call) = calls.next().await {
        compio::runtime::spawn(call).detach();
    }
}

type PeerFramed = tarpc::tokio_util::codec::Framed<
    tokio_util::compat::Compat<CountedStream<HyperStream<TcpStream>>>,
    LengthDelimitedCodec,
>;

fn frame(stream: TcpStream, meter: ByteMeter) -> PeerFramed {
    let stream = CountedStream::new(HyperStream::new_plain(stream), meter);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream.compat())
}
