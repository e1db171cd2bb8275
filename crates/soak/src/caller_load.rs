//! Callers that ask for addresses, keep them, and send calls on connections
//! that they keep until the process is gone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_platform_standin::CallerRequest;
use crocushoist_platform_standin::resolve_addresses;
use crocushoist_transport::HttpClient;
use crocushoist_transport::TransportError;

use crate::CallEnd;
use crate::CallRecord;
use crate::promise_check::LIMITED;
use crate::soak_fleet::CENTRES;
use crate::soak_fleet::DEADLINE_MS;
use crate::soak_fleet::HOST_NAME;
use crate::soak_fleet::SoakFleet;
use crate::soak_fleet::WITHDRAWN;

/// Milliseconds after which a caller takes a call for cut; the routes end a request earlier.
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
const WORKSPACES: [&str; 3] = ["depot", LIMITED, WITHDRAWN];

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
            let directory = fleet.directory(host);
            let told = resolve_addresses(directory, HOST_NAME, CENTRES[0], RESOLVE_MS).await;
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
    let key = key_of(workspace);
    let request = CallerRequest {
        host_name: HOST_NAME,
        path: if is_booking { "/book/1" } else { "/read/1" },
        attempt_id: attempt,
        key: &key,
        deadline_ms: DEADLINE_MS,
        body: attempt.as_bytes(),
    };
    match request.send(client).await {
        Ok(answer) => CallEnd::Answered {
            status: answer.status.as_u16(),
            is_intact: request.is_intact(&answer),
        },
        Err(TransportError::Connect { .. }) => CallEnd::NotConnected,
        Err(_) => CallEnd::Cut,
    }
}
