//! TCP relay that can drop bytes in one direction of chosen connections.
//!
//! A host connects from its own IP address, so the relay knows both ends of a
//! connection. While a rule is set, bytes that flow from its `from` addresses to
//! its `to` addresses are dropped. A connection that lost bytes is closed as
//! soon as bytes arrive that no rule drops, as its stream is incomplete.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::buf::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWrite;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use futures_util::future::select;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_transport::ResponseBody;
use crocushoist_transport::TransportError;
use crocushoist_transport::connect_from;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

use crate::control_body::read_json;
use crate::control_body::status_response;

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const BUFFER_BYTES: usize = 16 * 1024;

/// Address at which the relay listens, and the address it forwards to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RelayMapping {
    /// Address at which the relay listens.
    pub listen: SocketAddr,
    /// Address to which the relay connects for each accepted connection.
    pub target: SocketAddr,
}

/// All mappings of a relay.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayPlan {
    /// Mappings, one for each address at which the relay listens.
    pub mappings: Vec<RelayMapping>,
}

/// Rule that drops all bytes from one group of addresses to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CutRule {
    /// IP addresses of the senders.
    pub from: Vec<IpAddr>,
    /// IP addresses of the receivers, as the relay listens for them.
    pub to: Vec<IpAddr>,
}

type SharedRules = Rc<RefCell<Vec<CutRule>>>;

/// Serves the relay, and its control path at `control`, for as long as the process runs.
///
/// Fails if it cannot listen at one of the addresses.
pub async fn serve_relay(control: SocketAddr, plan: RelayPlan) -> Result<(), TransportError> {
    let rules = SharedRules::default();
    for mapping in plan.mappings {
        let listener = listen_on(mapping.listen).await?;
        compio::runtime::spawn(accept_connections(listener, mapping, Rc::clone(&rules))).detach();
    }
    let listener = listen_on(control).await?;
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| handle_control(Rc::clone(&rules), request),
    )
    .await;
    Ok(())
}

async fn handle_control(rules: SharedRules, request: Request<Incoming>) -> Response<ResponseBody> {
    match read_json(request.into_body()).await {
        Some(new_rules) => {
            *rules.borrow_mut() = new_rules;
            status_response(StatusCode::OK)
        }
        None => status_response(StatusCode::BAD_REQUEST),
    }
}

async fn accept_connections(listener: TcpListener, mapping: RelayMapping, rules: SharedRules) {
    loop {
        if let Ok((stream, peer)) = listener.accept().await {
            let task = relay_connection(stream, peer.ip(), mapping, Rc::clone(&rules));
            compio::runtime::spawn(task).detach();
        }
    }
}

async fn relay_connection(
    client: TcpStream,
    client_ip: IpAddr,
    mapping: RelayMapping,
    rules: SharedRules,
) {
    let Ok(target_stream) = connect_from(Some(client_ip), mapping.target, CONNECT_TIMEOUT_MS).await
    else {
        return;
    };
    let _ = client.set_nodelay(true);
    let has_lost_bytes = Rc::new(Cell::new(false));
    let target_ip = mapping.listen.ip();
    let (client_reader, client_writer) = client.into_split();
    let (target_reader, target_writer) = target_stream.into_split();
    let to_target = RelayFlow {
        from: client_ip,
        to: target_ip,
        rules: Rc::clone(&rules),
        has_lost_bytes: Rc::clone(&has_lost_bytes),
    };
    let to_client = RelayFlow {
        from: target_ip,
        to: client_ip,
        rules,
        has_lost_bytes,
    };
    let to_target = Box::pin(to_target.forward(client_reader, target_writer));
    let to_client = Box::pin(to_client.forward(target_reader, client_writer));
    select(to_target, to_client).await;
}

/// One direction of a relayed connection.
///
/// Both directions share `has_lost_bytes`, so a loss in one closes the whole connection.
struct RelayFlow {
    from: IpAddr,
    to: IpAddr,
    rules: SharedRules,
    has_lost_bytes: Rc<Cell<bool>>,
}

impl RelayFlow {
    /// Copies bytes from `reader` to `writer` until the connection ends or must be closed.
    async fn forward(self, mut reader: TcpStream, mut writer: TcpStream) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = reader.read(buffer).await;
            buffer = filled;
            if !matches!(read, Ok(count) if count > 0) {
                let _ = writer.shutdown().await;
                return;
            }
            if self.drops_bytes() {
                self.has_lost_bytes.set(true);
                continue;
            }
            if self.has_lost_bytes.get() {
                return;
            }
            let BufResult(written, returned) = writer.write_all(buffer).await;
            buffer = returned;
            if written.is_err() {
                return;
            }
        }
    }

    fn drops_bytes(&self) -> bool {
        self.rules
            .borrow()
            .iter()
            .any(|rule| rule.from.contains(&self.from) && rule.to.contains(&self.to))
    }
}
