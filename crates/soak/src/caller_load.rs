//! Callers that put load on the fleet and record the outcome of every call.
//!
//! A caller asks a random host for addresses, picks one of them and sends its
//! calls on one connection. It keeps using the connection until a call gets no
//! response, then avoids that host until it asks for addresses again. Idempotent
//! and at-most-once calls alternate.

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

use crate::CallOutcome;
use crate::CallRecord;
use crate::promise_check::LIMITED_WORKSPACE;
use crate::soak_fleet::DATA_CENTRES;
use crate::soak_fleet::DEADLINE_MS;
use crate::soak_fleet::HOST_NAME;
use crate::soak_fleet::REVOCABLE_WORKSPACE;
use crate::soak_fleet::SoakFleet;

/// Milliseconds after which a caller gives up; longer than the routes' timeout, `DEADLINE_MS`.
const CALL_TIMEOUT_MS: u64 = 2_300;

/// Milliseconds that a caller waits for addresses.
const RESOLVE_TIMEOUT_MS: u64 = 500;

/// Mean milliseconds that a caller pauses between two calls.
const MEAN_PAUSE_MS: u64 = 80;

/// Mean pause in milliseconds with which callers exceed the limit of the limited workspace.
const HOT_MEAN_PAUSE_MS: u64 = 8;

/// Milliseconds that callers use resolved addresses: the lifetime given by the fleet, or three
/// times as long.
const ADDRESS_LIFETIMES_MS: [u64; 2] = [1_000, 3_000];

/// Every n-th call may be executed at most once.
const AT_MOST_ONCE_INTERVAL: u64 = 2;

/// Workspaces that are assigned to the callers in turn.
const WORKSPACES: [&str; 3] = ["depot", LIMITED_WORKSPACE, REVOCABLE_WORKSPACE];

/// API key of `workspace`.
pub(crate) fn workspace_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Sends calls as the caller with index `caller_index` until the run is over.
pub(crate) async fn run_caller(fleet: Rc<SoakFleet>, seed: u64, caller_index: usize) {
    let mut rng =
        ChaCha8Rng::seed_from_u64(seed ^ (caller_index as u64 + 1).wrapping_mul(0x9e37_79b9));
    // Every third caller uses the limited workspace; together they make up its demand.
    let workspace = WORKSPACES[caller_index % WORKSPACES.len()];
    let address_lifetime_ms = ADDRESS_LIFETIMES_MS[caller_index % ADDRESS_LIFETIMES_MS.len()];
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut resolved_ms = 0;
    let mut idle_client: Option<(usize, HttpClient)> = None;
    let mut call_number = 0;
    while !fleet.is_over.get() {
        if addresses.is_empty() || fleet.now_ms() > resolved_ms + address_lifetime_ms {
            let host = rng.random_range(0..fleet.size.hosts);
            let directory = fleet.directory_address(host);
            let resolved =
                resolve_addresses(directory, HOST_NAME, DATA_CENTRES[0], RESOLVE_TIMEOUT_MS).await;
            if !resolved.is_empty() {
                addresses = resolved;
                resolved_ms = fleet.now_ms();
            }
        }
        let is_kept = idle_client.is_some();
        let (host, mut client) = match idle_client.take() {
            Some(host_and_client) => host_and_client,
            None if addresses.is_empty() => {
                sleep(Duration::from_millis(MEAN_PAUSE_MS)).await;
                continue;
            }
            None => {
                let address = addresses[rng.random_range(0..addresses.len())];
                let host = fleet.host_at(address);
                (host, HttpClient::new(None, address, CALL_TIMEOUT_MS))
            }
        };
        call_number += 1;
        let attempt_id = format!("{caller_index:04x}{call_number:012x}");
        let is_at_most_once = call_number % AT_MOST_ONCE_INTERVAL == 0;
        let sent_ms = fleet.now_ms();
        let (outcome, is_from_host) =
            send_call(&mut client, &attempt_id, workspace, is_at_most_once).await;
        fleet.history.borrow_mut().calls.push(CallRecord {
            attempt_id,
            is_at_most_once,
            workspace,
            host,
            is_kept,
            sent_ms,
            last_byte_ms: sent_ms,
            ended_ms: fleet.now_ms(),
            deadline_ms: DEADLINE_MS,
            outcome,
            is_from_host,
            leaving_instance: None,
        });
        if matches!(outcome, CallOutcome::Responded { .. }) {
            idle_client = Some((host, client));
        } else {
            addresses.retain(|address| fleet.host_at(*address) != host);
        }
        let is_hot = workspace == LIMITED_WORKSPACE && fleet.is_workspace_hot.get();
        let mean_pause_ms = if is_hot {
            HOT_MEAN_PAUSE_MS
        } else {
            MEAN_PAUSE_MS
        };
        sleep(Duration::from_millis(
            rng.random_range(0..mean_pause_ms * 2),
        ))
        .await;
    }
}

/// Sends one call; returns its outcome and whether the host made the response itself.
async fn send_call(
    client: &mut HttpClient,
    attempt_id: &str,
    workspace: &str,
    is_at_most_once: bool,
) -> (CallOutcome, bool) {
    let key = workspace_key(workspace);
    let request = CallerRequest {
        host_name: HOST_NAME,
        path: if is_at_most_once {
            "/book/1"
        } else {
            "/read/1"
        },
        attempt_id,
        key: &key,
        deadline_ms: DEADLINE_MS,
        body: attempt_id.as_bytes(),
    };
    match request.send(client).await {
        Ok(response) => {
            let outcome = CallOutcome::Responded {
                status: response.status.as_u16(),
                is_intact: request.is_intact(&response),
            };
            (outcome, !CallerRequest::is_signed(&response))
        }
        Err(TransportError::Connect { .. }) => (CallOutcome::NotConnected, false),
        Err(_) => (CallOutcome::NoResponse, false),
    }
}
