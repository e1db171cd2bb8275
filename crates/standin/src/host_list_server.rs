//! Stand-in for the platform's host list, which lags.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_protocol::HostListing;
use crocushoist_state::ClockTime;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::TransportError;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;

use crate::control_body::answer_json;
use crate::control_body::answer_status;
use crate::control_body::read_json;

/// How the host list shall behave.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostListScript {
    /// Hosts listed from now on.
    pub listing: HostListing,
    /// Milliseconds after which a change is shown.
    pub lag_ms: u64,
    /// Whether nothing is answered but errors.
    pub out: bool,
}

#[derive(Debug, Default)]
struct ListState {
    script: HostListScript,
    history: Vec<(ClockTime, HostListing)>,
}

impl ListState {
    fn change(&mut self, script: HostListScript) {
        self.history
            .push((ClockTime::now(), script.listing.clone()));
        self.script = script;
    }

    /// The listing that is shown now; the first one is shown at once.
    fn shown(&self) -> HostListing {
        let until = ClockTime::now().minus(self.script.lag_ms);
        let newest = self.history.iter().rev().find(|(at, _)| *at <= until);
        newest
            .or(self.history.first())
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }
}

/// Serves the host list at `address` for as long as the process runs.
pub async fn serve_host_list(address: SocketAddr) -> Result<(), TransportError> {
    let listener = listen_on(address).await?;
    let list: Rc<RefCell<ListState>> = Rc::default();
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| answer(Rc::clone(&list), request),
    )
    .await;
    Ok(())
}

async fn answer(
    list: Rc<RefCell<ListState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/control") => {
            if let Some(script) = read_json(request.into_body()).await {
                list.borrow_mut().change(script);
            }
            answer_status(StatusCode::OK)
        }
        _ if list.borrow().script.out => answer_status(StatusCode::SERVICE_UNAVAILABLE),
        (Method::GET, "/hosts") => answer_json(&list.borrow().shown()),
        _ => answer_status(StatusCode::NOT_FOUND),
    }
}
