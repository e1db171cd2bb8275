//! Opens connections to instances while the path to them is in doubt or lost.
//!
//! A probe sends no request. Its connection is kept for requests if it opens.

use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;

use crocushoist_policy::AttemptOutcome;
use crocushoist_policy::InstanceKey;
use crocushoist_policy::PathContact;
use crocushoist_state::ClockTime;
use crocushoist_transport::UpstreamConnection;

use crate::edge_context::SharedContext;
use crate::instance_attempt::CONNECT_TIMEOUT_MS;
use crate::path_observer::observe_contact;
use crate::path_observer::observe_failure;

/// Milliseconds between checks whether a path is in doubt.
const CHECK_INTERVAL_MS: u64 = 50;

/// Milliseconds for which the connection of a probe is kept; instances keep idle ones at least as
/// long.
const KEEP_CONNECTION_MS: u64 = 1_000;

/// Milliseconds after which a connection that a cut path resets is closed again.
const RESET_WAIT_MS: u64 = 30;

/// Probes paths until the process ends.
pub(crate) async fn probe_paths(context: SharedContext) {
    loop {
        let probes = {
            let table = context.instances.borrow();
            let mut paths = context.paths.borrow_mut();
            paths.next_probes(&table, rand::random, ClockTime::now())
        };
        for key in probes {
            compio::runtime::spawn(probe_instance(Rc::clone(&context), key)).detach();
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

/// Opens one connection to the instance `key`.
async fn probe_instance(context: SharedContext, key: InstanceKey) {
    let started_at = ClockTime::now();
    let address = context.instances.borrow().get(key).listing.address;
    match context.upstreams.connect(address, CONNECT_TIMEOUT_MS).await {
        Ok(connection) if stays_open(&connection).await => {
            observe_contact(&context, key, PathContact::NewConnection);
            let upstreams = &context.upstreams;
            upstreams.put_with_lifetime(connection, KEEP_CONNECTION_MS);
        }
        _ => {
            let elapsed_ms = ClockTime::now().since(started_at);
            let outcome = AttemptOutcome::Unreachable;
            let contact = PathContact::NewConnection;
            observe_failure(&context, key, outcome, contact, elapsed_ms);
        }
    }
}

/// Whether a new connection lives for a moment.
pub(crate) async fn stays_open(connection: &UpstreamConnection) -> bool {
    sleep(Duration::from_millis(RESET_WAIT_MS)).await;
    connection.is_usable()
}
