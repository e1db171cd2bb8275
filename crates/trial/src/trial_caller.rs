//! Callers that look up host addresses in the fleet and send requests.
//!
//! Arrivals are open-loop: a slow response does not delay the next request. A
//! caller uses a looked-up address list until its time to live has passed. If it
//! cannot connect, it tries the next address; it never repeats a request that
//! was sent. A refusal that names addresses replaces the list.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_protocol::AddressResponse;
use crocushoist_protocol::headers;
use crocushoist_state::ClockTime;
use crocushoist_transport::HttpClient;
use crocushoist_transport::HttpResponse;
use crocushoist_transport::TransportError;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;

/// Timeout of a request.
const CALL_TIMEOUT_MS: u64 = 8_000;
/// Most attempts to connect for a request, and to look up addresses.
const MAX_ADDRESSES_TRIED: usize = 4;
/// Delay after a failed address lookup.
const RESOLVE_RETRY_MS: u64 = 100;

/// How a caller selects its hosts.
#[derive(Clone, Debug)]
pub enum HostSelection {
    /// The caller looks up addresses in the fleet, as users' callers do.
    Steered {
        /// Addresses of hosts to which lookups are sent in rotation.
        entry_addresses: Vec<SocketAddr>,
        /// Name of the caller's data centre.
        data_centre: String,
    },
    /// The caller uses these addresses in rotation, without lookups.
    Fixed(Vec<SocketAddr>),
}

/// Plan of one caller.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Workspace of the key; with the seed it forms the request IDs.
    pub workspace: String,
    /// Key to send, if any.
    pub key: Option<String>,
    /// Requests per second, on average.
    pub rate_per_s: f64,
    /// How the caller selects its hosts.
    pub hosts: HostSelection,
    /// HTTP method of its requests.
    pub method: &'static str,
    /// Path of its requests.
    pub path: &'static str,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// A running caller.
pub struct TrialCaller {
    plan: CallerPlan,
    idle_clients: RefCell<HashMap<SocketAddr, Vec<HttpClient>>>,
    /// Addresses of the last lookup, and the time at which they expire.
    resolved: RefCell<(Vec<SocketAddr>, ClockTime)>,
    rotation: RefCell<usize>,
    outcomes: RefCell<Vec<CallOutcome>>,
}

/// Runs all callers for `duration_ms` milliseconds.
///
/// Returns the outcomes of their requests in the order of sending.
pub async fn run_callers(plans: Vec<CallerPlan>, duration_ms: u64) -> Vec<CallOutcome> {
    let callers = plans
        .into_iter()
        .map(|plan| TrialCaller::new(plan).run(duration_ms));
    let mut outcomes: Vec<CallOutcome> = join_all(callers).await.into_iter().flatten().collect();
    outcomes.sort_by_key(|outcome| outcome.sent_at);
    outcomes
}

impl TrialCaller {
    /// Caller that follows `plan`.
    pub fn new(plan: CallerPlan) -> Rc<Self> {
        Rc::new(TrialCaller {
            plan,
            idle_clients: RefCell::default(),
            resolved: RefCell::default(),
            rotation: RefCell::default(),
            outcomes: RefCell::default(),
        })
    }

    async fn run(self: Rc<Self>, duration_ms: u64) -> Vec<CallOutcome> {
        let mut random = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let started_at = ClockTime::now();
        let mut next_at_ms = 0.0;
        let mut calls = Vec::new();
        let mut number = 0;
        loop {
            next_at_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / self.plan.rate_per_s;
            if next_at_ms >= duration_ms as f64 {
                break;
            }
            let wait_ms = (next_at_ms as u64).saturating_sub(ClockTime::now().since(started_at));
            if wait_ms > 0 {
                sleep(Duration::from_millis(wait_ms)).await;
            }
            let caller = Rc::clone(&self);
            let request_id = format!("{}-{}-{number}", self.plan.workspace, self.plan.seed);
            number += 1;
            calls.push(compio::runtime::spawn(async move {
                caller.call(request_id).await
            }));
        }
        join_all(calls).await;
        self.outcomes.take()
    }

    /// Sends one request and records its outcome.
    pub async fn call(&self, request_id: String) {
        let sent_at = ClockTime::now();
        let started_at = std::time::Instant::now();
        let kind = self.send_to_hosts(&request_id).await;
        let outcome = CallOutcome {
            request_id,
            workspace: self.plan.workspace.clone(),
            sent_at,
            ended_at: ClockTime::now(),
            latency_us: started_at.elapsed().as_micros() as u64,
            kind,
        };
        self.outcomes.borrow_mut().push(outcome);
    }

    /// Sends a request to the first host to which a connection succeeds.
    async fn send_to_hosts(&self, request_id: &str) -> OutcomeKind {
        for _ in 0..MAX_ADDRESSES_TRIED {
            let Some(address) = self.choose_address().await else {
                return OutcomeKind::Unreachable;
            };
            let mut client = self.idle_or_new_client(address);
            let result = self.send(&mut client, request_id).await;
            match result {
                Ok(response) => {
                    self.store_idle_client(client);
                    self.use_refusal_addresses(&response);
                    return self.response_outcome(response);
                }
                Err(TransportError::Connect { .. }) => self.remove_address(address),
                Err(TransportError::Timeout { .. }) => {
                    self.remove_address(address);
                    return OutcomeKind::NoResponse;
                }
                Err(_) => {
                    self.remove_address(address);
                    return OutcomeKind::Truncated;
                }
            }
        }
        OutcomeKind::Unreachable
    }

    async fn send(
        &self,
        client: &mut HttpClient,
        request_id: &str,
    ) -> Result<HttpResponse, TransportError> {
        let mut sent_headers = vec![("x-request-id", request_id)];
        if let Some(key) = &self.plan.key {
            sent_headers.push((headers::WORKSPACE_KEY, key));
        }
        let body = match self.plan.method {
            "GET" => Bytes::new(),
            _ => Bytes::from(format!("{{\"request\":\"{request_id}\"}}")),
        };
        client
            .call(self.plan.method, self.plan.path, &sent_headers, body)
            .await
    }

    fn response_outcome(&self, response: HttpResponse) -> OutcomeKind {
        let header_text = |name: &str| {
            let value = response.headers.get(name);
            value.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        match header_text(headers::REASON) {
            None => OutcomeKind::Completed {
                status: response.status.as_u16(),
            },
            Some(reason) => OutcomeKind::Refused {
                not_executed: header_text(headers::EXECUTED).as_deref() == Some("no"),
                has_retry_after: header_text(headers::RETRY_AFTER_MS).is_some(),
                reason,
            },
        }
    }

    /// Replaces the resolved addresses by those that a refusal names, if it does.
    fn use_refusal_addresses(&self, response: &HttpResponse) {
        let address_header = response.headers.get(headers::ADDRESSES);
        let Some(text) = address_header.and_then(|value| value.to_str().ok()) else {
            return;
        };
        let addresses: Vec<SocketAddr> = text
            .split(',')
            .filter_map(|address| address.trim().parse().ok())
            .collect();
        self.resolved.borrow_mut().0 = addresses;
    }

    async fn choose_address(&self) -> Option<SocketAddr> {
        match &self.plan.hosts {
            HostSelection::Fixed(addresses) => Some(self.next_in_rotation(addresses)),
            HostSelection::Steered {
                entry_addresses,
                data_centre,
            } => {
                let (addresses, expires_at) = self.resolved.borrow().clone();
                if !addresses.is_empty() && ClockTime::now() < expires_at {
                    return addresses.first().copied();
                }
                self.resolve_addresses(entry_addresses, data_centre).await;
                self.resolved.borrow().0.first().copied()
            }
        }
    }

    fn next_in_rotation(&self, addresses: &[SocketAddr]) -> SocketAddr {
        let mut rotation = self.rotation.borrow_mut();
        *rotation += 1;
        addresses[*rotation % addresses.len()]
    }

    /// Looks up addresses at the entry hosts in rotation until one returns any.
    async fn resolve_addresses(&self, entry_addresses: &[SocketAddr], data_centre: &str) {
        let path = format!("{}?data_centre={data_centre}", headers::ADDRESSES_PATH);
        let key = self.plan.key.as_deref().unwrap_or("");
        for _ in 0..MAX_ADDRESSES_TRIED {
            let mut client = HttpClient::new(None, self.next_in_rotation(entry_addresses), 500);
            let key_header = [(headers::WORKSPACE_KEY, key)];
            let sent_headers = if key.is_empty() {
                &key_header[..0]
            } else {
                &key_header[..]
            };
            let result = client.call("GET", &path, sent_headers, Bytes::new()).await;
            let lookup = result.ok().and_then(|response| {
                serde_json::from_slice::<AddressResponse>(&response.body).ok()
            });
            if let Some(lookup) = lookup.filter(|lookup| !lookup.addresses.is_empty()) {
                let expires_at = ClockTime::now().plus(u64::from(lookup.ttl_ms));
                *self.resolved.borrow_mut() = (lookup.addresses, expires_at);
                return;
            }
            sleep(Duration::from_millis(RESOLVE_RETRY_MS)).await;
        }
    }

    fn remove_address(&self, address: SocketAddr) {
        self.resolved
            .borrow_mut()
            .0
            .retain(|resolved| *resolved != address);
        self.idle_clients.borrow_mut().remove(&address);
    }

    fn idle_or_new_client(&self, address: SocketAddr) -> HttpClient {
        let mut idle_clients = self.idle_clients.borrow_mut();
        idle_clients
            .get_mut(&address)
            .and_then(Vec::pop)
            .unwrap_or_else(|| HttpClient::new(None, address, CALL_TIMEOUT_MS))
    }

    /// Keeps the connection of `client` for a later request.
    fn store_idle_client(&self, client: HttpClient) {
        let mut idle_clients = self.idle_clients.borrow_mut();
        idle_clients
            .entry(client.address())
            .or_default()
            .push(client);
    }
}
