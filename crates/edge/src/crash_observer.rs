//! Finds out whether an instance crashed when a connection to it broke off.
//!
//! A faulty instance resets connections and lives on, and a host that is cut off
//! sees all connections break. So an instance counts as crashed only if it takes
//! no new connection while another one of its service does. A request that was
//! sent to it after the crash has nothing to do with it.

use std::rc::Rc;

use sha2::Digest;
use sha2::Sha256;
use slog::warn;

use crocushoist_platform::names;
use crocushoist_policy::InstanceKey;
use crocushoist_state::ClockTime;

use crate::edge_context::SharedContext;
use crate::forward_head::ForwardHead;
use crate::path_prober::stays_open;

/// Milliseconds in which a living instance takes a connection.
const CONNECT_TIMEOUT_MS: u64 = 100;

/// Number of other instances that are tried, those first that are not known to have crashed.
const MAX_WITNESSES: usize = 3;

/// Milliseconds for which the connection of a probe is kept.
const KEEP_CONNECTION_MS: u64 = 1_000;

/// Hash of what makes a request to `service` the same when it comes again.
pub(crate) fn request_hash(service: &str, head: &ForwardHead, body: &[u8]) -> u64 {
    let caller = head.headers().get(names::WORKSPACE_HEADER);
    let caller = caller.map_or(&[][..], |caller| caller.as_bytes());
    let mut hasher = Sha256::new();
    for part in [
        service.as_bytes(),
        head.method().as_str().as_bytes(),
        head.path().as_bytes(),
        caller,
        body,
    ] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_le_bytes(first)
}

/// Records a crash of the instance `key` for the request with the hash `request`, which was sent at
/// `sent_at` and whose connection broke off, if the instance is gone.
pub(crate) async fn observe_crash(
    context: SharedContext,
    key: InstanceKey,
    request: u64,
    sent_at: ClockTime,
) {
    let broken_at = ClockTime::now();
    let start = context.instances.borrow().get(key).departure_notice();
    if context.suspects.borrow().had_crashed(start, sent_at) {
        return;
    }
    if takes_connection(&context, key).await || !has_witness(&context, key).await {
        return;
    }
    let table = context.instances.borrow();
    let listing = &table.get(key).listing;
    let mut ledger = context.suspects.borrow_mut();
    let is_refused = ledger.record_crash(request, start, broken_at);
    context.metrics.count_signal("crash");
    warn!(context.logger, "instance crashed"; "instance" => listing.id.as_str(),
        "service" => listing.service.as_str(), "request_hash" => format!("{request:016x}"),
        "crashes" => ledger.crash_count(request, broken_at), "refused" => is_refused);
}

/// Whether another instance of the service takes a connection, or there is none to ask.
async fn has_witness(context: &SharedContext, key: InstanceKey) -> bool {
    let witnesses: Vec<InstanceKey> = {
        let table = context.instances.borrow();
        let service = &table.get(key).listing.service;
        let mut others: Vec<InstanceKey> = table
            .usable_keys(service, ClockTime::now())
            .filter(|other| *other != key)
            .collect();
        let count = others.len();
        others.rotate_left(rand::random_range(0..count.max(1)).min(count));
        let suspects = context.suspects.borrow();
        let now = ClockTime::now();
        others.sort_by_key(|other| suspects.had_crashed(table.get(*other).departure_notice(), now));
        others.truncate(MAX_WITNESSES);
        others
    };
    if witnesses.is_empty() {
        return true;
    }
    for witness in witnesses {
        if takes_connection(context, witness).await {
            return true;
        }
    }
    false
}

/// Whether the instance `key` takes a connection and keeps it for a moment.
async fn takes_connection(context: &SharedContext, key: InstanceKey) -> bool {
    let address = context.instances.borrow().get(key).listing.address;
    let connected = context.upstreams.connect(address, CONNECT_TIMEOUT_MS).await;
    let Ok(connection) = connected else {
        return false;
    };
    if !stays_open(&connection).await {
        return false;
    }
    let upstreams = &context.upstreams;
    upstreams.put_with_lifetime(connection, KEEP_CONNECTION_MS);
    true
}

/// Has the crash of the instance `key` observed while the request goes on.
pub(crate) fn spawn_observer(
    context: &SharedContext,
    key: InstanceKey,
    request: u64,
    sent_at: ClockTime,
) {
    let context = Rc::clone(context);
    compio::runtime::spawn(observe_crash(context, key, request, sent_at)).detach();
}
