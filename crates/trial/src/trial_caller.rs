//! Callers: ask for addresses, keep the answer a while, connect there.
//!
//! Arrivals are open-loop: a slow answer does not slow the next request. A
//! caller that cannot connect tries the next address that it was told; it
//! never repeats a request that was sent. A refusal that names addresses moves
//! it there for its next request.

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

use crocushoist_protocol::AddressAnswer;
use crocushoist_protocol::headers;
use crocushoist_state::ClockTime;
use crocushoist_transport::HttpClient;
use crocushoist_transport::HttpResponse;
use crocushoist_transport::TransportError;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;

const CALL_MS: u64 = 8_000;
const MAX_ADDRESSES_TRIED: usize = 4;
const RETRY_ASK_MS: u64 = 100;

/// How a caller finds its hosts.
#[derive(Clone, Debug)]
pub enum HostChoice {
    /// Asks the fleet, as the users do.
    Steered {
        /// Hosts to ask first.
        entry: Vec<SocketAddr>,
        /// Name of the caller's data centre.
        data_centre: String,
    },
    /// Uses only these, in turn.
    Fixed(Vec<SocketAddr>),
}

/// One caller.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    /// Workspace that the key speaks for.
    pub workspace: String,
    /// Key.
    pub key: Option<String>,
    /// Requests a second, on average.
    pub rate: f64,
    /// How it finds its hosts.
    pub hosts: HostChoice,
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// A running caller.
pub struct TrialCaller {
    plan: CallerPlan,
    idle: RefCell<HashMap<SocketAddr, Vec<HttpClient>>>,
    known: RefCell<(Vec<SocketAddr>, ClockTime)>,
    turn: RefCell<usize>,
    outcomes: RefCell<Vec<CallOutcome>>,
}

/// Runs all callers for `millis` milliseconds and returns what became of their requests.
pub async fn run_callers(plans: Vec<CallerPlan>, millis: u64) -> Vec<CallOutcome> {
    let callers = plans
        .into_iter()
        .map(|plan| TrialCaller::new(plan).run(millis));
    let mut outcomes: Vec<CallOutcome> = join_all(callers).await.into_iter().flatten().collect();
    outcomes.sort_by_key(|outcome| outcome.sent_at);
    outcomes
}

impl TrialCaller {
    /// Caller that follows `plan`.
    pub fn new(plan: CallerPlan) -> Rc<Self> {
        Rc::new(TrialCaller {
            plan,
            idle: RefCell::default(),
            known: RefCell::default(),
            turn: RefCell::default(),
            outcomes: RefCell::default(),
        })
    }

    async fn run(self: Rc<Self>, millis: u64) -> Vec<CallOutcome> {
        let mut random = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let began = ClockTime::now();
        let mut next_at = 0.0;
        let mut calls = Vec::new();
        let mut number = 0;
        loop {
            next_at += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / self.plan.rate;
            if next_at >= millis as f64 {
                break;
            }
            let wait = (next_at as u64).saturating_sub(ClockTime::now().since(began));
            if wait > 0 {
                sleep(Duration::from_millis(wait)).await;
            }
            let caller = Rc::clone(&self);
            let request = format!("{}-{}-{number}", self.plan.workspace, self.plan.seed);
            number += 1;
            calls.push(compio::runtime::spawn(
                async move { caller.call(request).await },
            ));
        }
        join_all(calls).await;
        self.outcomes.take()
    }

    /// Sends one request and notes what became of it.
    pub async fn call(&self, request: String) {
        let sent_at = ClockTime::now();
        let began = std::time::Instant::now();
        let kind = self.attempt(&request).await;
        let outcome = CallOutcome {
            request,
            workspace: self.plan.workspace.clone(),
            sent_at,
            ended_at: ClockTime::now(),
            micros: began.elapsed().as_micros() as u64,
            kind,
        };
        self.outcomes.borrow_mut().push(outcome);
    }

    async fn attempt(&self, request: &str) -> OutcomeKind {
        for _ in 0..MAX_ADDRESSES_TRIED {
            let Some(address) = self.next_address().await else {
                return OutcomeKind::Unreached;
            };
            let mut client = self.take_client(address);
            let answer = self.send(&mut client, request).await;
            match answer {
                Ok(answer) => {
                    self.keep_client(client);
                    self.follow_named(&answer);
                    return self.judge(answer);
                }
                Err(TransportError::Connect { .. }) => self.drop_address(address),
                Err(TransportError::Timeout { .. }) => {
                    self.drop_address(address);
                    return OutcomeKind::Unanswered;
                }
                Err(_) => {
                    self.drop_address(address);
                    return OutcomeKind::Cut;
                }
            }
        }
        OutcomeKind::Unreached
    }

    async fn send(
        &self,
        client: &mut HttpClient,
        request: &str,
    ) -> Result<HttpResponse, TransportError> {
        let mut sent = vec![("x-request-id", request)];
        if let Some(key) = &self.plan.key {
            sent.push((headers::KEY, key));
        }
        let body = match self.plan.method {
            "GET" => Bytes::new(),
            _ => Bytes::from(format!("{{\"request\":\"{request}\"}}")),
        };
        client
            .call(self.plan.method, self.plan.path, &sent, body)
            .await
    }

    fn judge(&self, answer: HttpResponse) -> OutcomeKind {
        let text = |name: &str| {
            let value = answer.headers.get(name);
            value.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        match text(headers::REASON) {
            None => OutcomeKind::Answered {
                status: answer.status.as_u16(),
            },
            Some(reason) => OutcomeKind::Refused {
                not_run: text(headers::RAN).as_deref() == Some("no"),
                has_retry: text(headers::RETRY_AFTER_MS).is_some(),
                reason,
            },
        }
    }

    /// Uses the addresses that a refusal names from now on.
    fn follow_named(&self, answer: &HttpResponse) {
        let named = answer.headers.get(headers::ADDRESSES);
        let Some(text) = named.and_then(|value| value.to_str().ok()) else {
            return;
        };
        let addresses: Vec<SocketAddr> = text
            .split(',')
            .filter_map(|address| address.trim().parse().ok())
            .collect();
        self.known.borrow_mut().0 = addresses;
    }

    async fn next_address(&self) -> Option<SocketAddr> {
        match &self.plan.hosts {
            HostChoice::Fixed(addresses) => Some(self.in_turn(addresses)),
            HostChoice::Steered { entry, data_centre } => {
                let (addresses, until) = self.known.borrow().clone();
                if !addresses.is_empty() && ClockTime::now() < until {
                    return addresses.first().copied();
                }
                self.ask_addresses(entry, data_centre).await;
                self.known.borrow().0.first().copied()
            }
        }
    }

    fn in_turn(&self, addresses: &[SocketAddr]) -> SocketAddr {
        let mut turn = self.turn.borrow_mut();
        *turn += 1;
        addresses[*turn % addresses.len()]
    }

    /// Asks hosts in turn until one tells addresses.
    async fn ask_addresses(&self, entry: &[SocketAddr], data_centre: &str) {
        let path = format!("{}?data_centre={data_centre}", headers::ADDRESSES_PATH);
        let key = self.plan.key.as_deref().unwrap_or("");
        for _ in 0..MAX_ADDRESSES_TRIED {
            let mut client = HttpClient::new(None, self.in_turn(entry), 500);
            let sent = [(headers::KEY, key)];
            let sent = if key.is_empty() {
                &sent[..0]
            } else {
                &sent[..]
            };
            let answer = client.call("GET", &path, sent, Bytes::new()).await;
            let told = answer
                .ok()
                .and_then(|answer| serde_json::from_slice::<AddressAnswer>(&answer.body).ok());
            if let Some(told) = told.filter(|told| !told.addresses.is_empty()) {
                let until = ClockTime::now().plus(u64::from(told.ttl_ms));
                *self.known.borrow_mut() = (told.addresses, until);
                return;
            }
            sleep(Duration::from_millis(RETRY_ASK_MS)).await;
        }
    }

    fn drop_address(&self, address: SocketAddr) {
        self.known.borrow_mut().0.retain(|known| *known != address);
        self.idle.borrow_mut().remove(&address);
    }

    fn take_client(&self, address: SocketAddr) -> HttpClient {
        let mut idle = self.idle.borrow_mut();
        idle.get_mut(&address)
            .and_then(Vec::pop)
            .unwrap_or_else(|| HttpClient::new(None, address, CALL_MS))
    }

    fn keep_client(&self, client: HttpClient) {
        let mut idle = self.idle.borrow_mut();
        idle.entry(client.address()).or_default().push(client);
    }
}
