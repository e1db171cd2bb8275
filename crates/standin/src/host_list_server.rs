//! Stand-in for the platform's host list, which shows changes after a delay.

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

use crate::control_body::json_response;
use crate::control_body::read_json;
use crate::control_body::status_response;

/// Contents and behaviour of the host list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostListBehaviour {
    /// Hosts to list once the delay has passed.
    pub listing: HostListing,
    /// Delay in milliseconds before a change is shown.
    pub lag_ms: u64,
    /// Whether every request but those to the control path gets HTTP 503.
    #[serde(rename = "out")]
    pub is_unavailable: bool,
}

#[derive(Debug, Default)]
struct ListState {
    behaviour: HostListBehaviour,
    history: Vec<(ClockTime, HostListing)>,
}

impl ListState {
    fn set_behaviour(&mut self, behaviour: HostListBehaviour) {
        self.history
            .push((ClockTime::now(), behaviour.listing.clone()));
        self.behaviour = behaviour;
    }

    /// Newest listing that is at least the delay old; the first listing is shown at once.
    fn visible_listing(&self) -> HostListing {
        let newest_visible_at = ClockTime::now().minus(self.behaviour.lag_ms);
        let newest = self
            .history
            .iter()
            .rev()
            .find(|(at, _)| *at <= newest_visible_at);
        newest
            .or(self.history.first())
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }
}

/// Serves the host list at `address` for as long as the process runs.
///
/// Fails if it cannot listen at `address`.
pub async fn serve_host_list(address: SocketAddr) -> Result<(), TransportError> {
    let listener = listen_on(address).await?;
    let list: Rc<RefCell<ListState>> = Rc::default();
    serve_http(
        listener,
        Default::default(),
        usize::MAX,
        move |_, request| handle_request(Rc::clone(&list), request),
    )
    .await;
    Ok(())
}

async fn handle_request(
    list: Rc<RefCell<ListState>>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/control") => {
            if let Some(behaviour) = read_json(request.into_body()).await {
                list.borrow_mut().set_behaviour(behaviour);
            }
            status_response(StatusCode::OK)
        }
        _ if list.borrow().behaviour.is_unavailable => {
            status_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        (Method::GET, "/hosts") => json_response(&list.borrow().visible_listing()),
        _ => status_response(StatusCode::NOT_FOUND),
    }
}
