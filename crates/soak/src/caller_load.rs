//! Callers that ask for addresses, keep them, and send calls on connections
//! that they keep until the process is gone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crocushoist_transport::HttpAnswer;
use crocushoist_transport::HttpClient;
use crocushoist_transport::TransportError;

use crate::CallEnd;
use crate::CallRecord;
use crate::promise_check::LIMITED;
use crate::soak_fleet::HOST_NAME;
use crate::soak_fleet::SoakFleet;

/// Milliseconds that a caller waits; the routes end a request after 1500.
const CALL_MS: u64 = 2_300;

/// Milliseconds that a caller waits for addresses.
const RESOLVE_MS: u64 = 500;

/// Milliseconds between the calls of one caller, and of one whose workspace is hot.
const PAUSE_MS: u64 = 80;
const HOT_PAUSE_MS: u64 = 8;

/// Milliseconds that callers keep addresses: what they are told, and three times that.
const KEPT_MS: [u64; 2] = [1_000, 3_000];

/// Calls of which one may run once only.
const BOOKING_EVERY: u64 = 2;

/// Workspaces in the order of the callers.
const WORKSPACES: [&str; 3] = ["depot", LIMITED, "installer"];

/// Key of `workspace`.
pub(crate) fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Sends calls as the caller `index` until the fleet is over.
pub(crate) async fn run_caller(fleet: Rc<SoakFleet>, seed: u64, index: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9));
    // A third of the callers share the limited workspace's demand.
    let workspace = WORKSPACES[index % WORKSPACES.len()];
    let kept_ms = KEPT_MS[index % KEPT_MS.len()];
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut resolved_ms = 0;
    let mut client: Option<(usize, HttpClient)> = None;
    let mut number = 0;
    while !fleet.is_over.get() {
        if addresses.is_empty() || fleet.now_ms() > resolved_ms + kept_ms {
            let host = rng.random_range(0..fleet.size.hosts);
            let told = resolve(fleet.directory(host)).await;
            if !told.is_empty() {
                addresses = told;
                resolved_ms = fleet.now_ms();
            }
        }
        let (host, mut caller) = match client.take() {
            Some(kept) => kept,
            None if addresses.is_empty() => {
                sleep(Duration::from_millis(PAUSE_MS)).await;
                continue;
            }
            None => {
                let address = addresses[rng.random_range(0..addresses.len())];
                let host = fleet.host_of(address);
                (host, HttpClient::new(None, address, CALL_MS))
            }
        };
        number += 1;
        let attempt = format!("{index:04x}{number:012x}");
        let is_booking = number % BOOKING_EVERY == 0;
        let sent_ms = fleet.now_ms();
        let end = send_call(&mut caller, &attempt, workspace, is_booking).await;
        fleet.ledger.borrow_mut().calls.push(CallRecord {
            attempt,
            is_booking,
            workspace,
            host,
            sent_ms,
            ended_ms: fleet.now_ms(),
            end,
        });
        if matches!(end, CallEnd::Answered { .. }) {
            client = Some((host, caller));
        } else {
            addresses.retain(|address| fleet.host_of(*address) != host);
        }
        let is_hot = workspace == LIMITED && fleet.is_hot.get();
        let pause_ms = if is_hot { HOT_PAUSE_MS } else { PAUSE_MS };
        sleep(Duration::from_millis(rng.random_range(0..pause_ms * 2))).await;
    }
}

async fn send_call(
    client: &mut HttpClient,
    attempt: &str,
    workspace: &str,
    is_booking: bool,
) -> CallEnd {
    let token = format!("Token {}", key_of(workspace));
    let headers = [
        ("host", HOST_NAME),
        ("attempt-id", attempt),
        ("deadline-ms", "1500"),
        ("authorization", token.as_str()),
    ];
    let (method, path) = if is_booking {
        ("POST", "/book/1")
    } else {
        ("GET", "/read/1")
    };
    let body = Bytes::copy_from_slice(attempt.as_bytes());
    match client.call(method, path, &headers, body).await {
        Ok(answer) => CallEnd::Answered {
            status: answer.status.as_u16(),
            is_intact: is_intact(&answer, attempt),
        },
        Err(TransportError::Connect { .. }) => CallEnd::NotConnected,
        Err(_) => CallEnd::Cut,
    }
}

/// Whether the answer is no success, or the instance's own for this attempt.
fn is_intact(answer: &HttpAnswer, attempt: &str) -> bool {
    let echoed = answer.headers.get("attempt-id");
    let names_attempt = echoed.is_some_and(|echoed| echoed.as_bytes() == attempt.as_bytes());
    let is_signed = answer.headers.contains_key("response-signature");
    !answer.status.is_success()
        || (names_attempt && is_signed && &answer.body[..] == attempt.as_bytes())
}

/// Addresses that the host at `directory` tells.
async fn resolve(directory: SocketAddr) -> Vec<SocketAddr> {
    let mut client = HttpClient::new(None, directory, RESOLVE_MS);
    let path = "/v1/resolve?Name=ledger.example&Region=r&Zone=north";
    let Ok(answer) = client.call("GET", path, &[], Bytes::new()).await else {
        return Vec::new();
    };
    let Ok(body) = serde_json::from_slice::<Value>(&answer.body) else {
        return Vec::new();
    };
    let listed = body["Addresses"].as_array().cloned().unwrap_or_default();
    let parse = |address: &Value| address.as_str()?.parse().ok();
    listed.iter().filter_map(parse).collect()
}
