//! Relay that can drop one direction of chosen connections.
//!
//! Connections start from their host's own address, so the relay knows both
//! ends. Bytes that flow from one group to another are dropped while a rule
//! names the groups; a connection that lost bytes is closed when the rule
//! ends, as its stream no longer makes sense.

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

use crate::control_body::answer_status;
use crate::control_body::read_json;

const CONNECT_MS: u64 = 1_000;
const BUFFER_BYTES: usize = 16 * 1024;

/// Where the relay listens and where it passes bytes on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RelayMapping {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it connects.
    pub target: SocketAddr,
}

/// All mappings of a relay.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayPlan {
    /// Mappings.
    pub mappings: Vec<RelayMapping>,
}

/// Drops bytes that flow from one group of hosts to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CutRule {
    /// IP numbers that bytes come from.
    pub from: Vec<IpAddr>,
    /// IP numbers that bytes go to.
    pub to: Vec<IpAddr>,
}

type SharedRules = Rc<RefCell<Vec<CutRule>>>;

/// Serves the relay, and its control path at `control`, for as long as the process runs.
pub async fn serve_relay(control: SocketAddr, plan: RelayPlan) -> Result<(), TransportError> {
    let rules = SharedRules::default();
    for mapping in plan.mappings {
        let listener = listen_on(mapping.listen).await?;
        compio::runtime::spawn(accept_all(listener, mapping, Rc::clone(&rules))).detach();
    }
    let listener = listen_on(control).await?;
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| answer_control(Rc::clone(&rules), request),
    )
    .await;
    Ok(())
}

async fn answer_control(rules: SharedRules, request: Request<Incoming>) -> Response<ResponseBody> {
    match read_json(request.into_body()).await {
        Some(new_rules) => {
            *rules.borrow_mut() = new_rules;
            answer_status(StatusCode::OK)
        }
        None => answer_status(StatusCode::BAD_REQUEST),
    }
}

async fn accept_all(listener: TcpListener, mapping: RelayMapping, rules: SharedRules) {
    loop {
        if let Ok((stream, peer)) = listener.accept().await {
            let task = relay_connection(stream, peer.ip(), mapping, Rc::clone(&rules));
            compio::runtime::spawn(task).detach();
        }
    }
}

async fn relay_connection(
    near: TcpStream,
    source: IpAddr,
    mapping: RelayMapping,
    rules: SharedRules,
) {
    let Ok(far) = connect_from(Some(source), mapping.target, CONNECT_MS).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let lost = Rc::new(Cell::new(false));
    let target = mapping.listen.ip();
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let onward = FlowPath {
        from: source,
        to: target,
        rules: Rc::clone(&rules),
        lost: Rc::clone(&lost),
    };
    let back = FlowPath {
        from: target,
        to: source,
        rules,
        lost,
    };
    let onward = Box::pin(onward.pass(near_reader, far_writer));
    let back = Box::pin(back.pass(far_reader, near_writer));
    select(onward, back).await;
}

/// One direction of a relayed connection.
struct FlowPath {
    from: IpAddr,
    to: IpAddr,
    rules: SharedRules,
    lost: Rc<Cell<bool>>,
}

impl FlowPath {
    async fn pass(self, mut reader: TcpStream, mut writer: TcpStream) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let BufResult(read, filled) = reader.read(buffer).await;
            buffer = filled;
            if !matches!(read, Ok(count) if count > 0) {
                let _ = writer.shutdown().await;
                return;
            }
            if self.is_cut() {
                self.lost.set(true);
                continue;
            }
            if self.lost.get() {
                return;
            }
            let BufResult(written, kept) = writer.write_all(buffer).await;
            buffer = kept;
            if written.is_err() {
                return;
            }
        }
    }

    fn is_cut(&self) -> bool {
        self.rules
            .borrow()
            .iter()
            .any(|rule| rule.from.contains(&self.from) && rule.to.contains(&self.to))
    }
}
