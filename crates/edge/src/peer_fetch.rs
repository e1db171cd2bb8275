//! Fetches the configuration and the instance list from other hosts.
//!
//! Datagrams tell which host knows more than this one. What is fetched there
//! saves a read of the store. A host that fails to answer is not asked again
//! until another datagram names it; the readers of the store take over when
//! the knowledge of this host gets old.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use displaydoc::Display;
use serde::de::DeserializeOwned;
use slog::info;

use crocushoist_state::ClockTime;
use crocushoist_transport::HttpClient;
use crocushoist_transport::TransportError;

use crate::config_reader::apply_config;
use crate::config_snapshot::ConfigSnapshot;
use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;
use crate::listing_snapshot::ListingSnapshot;
use crate::peer_server::CONFIG_PATH;
use crate::peer_server::INSTANCES_PATH;

/// Milliseconds between checks whether another host knows more.
const CHECK_INTERVAL_MS: u64 = 20;

/// Milliseconds after which a fetch fails.
const FETCH_TIMEOUT_MS: u64 = 500;

/// Why nothing was fetched from another host.
#[derive(Debug, Display)]
enum FetchError {
    /// {0}
    Transport(TransportError),
    /// cannot decode the answer: {0}
    Undecodable(postcard::Error),
}

/// Fetches what other hosts know better, until the process ends.
pub(crate) async fn fetch_from_peers(context: SharedContext) {
    loop {
        if let Some(peer) = context.config_source.take() {
            fetch_config(&context, peer).await;
        }
        if let Some(peer) = context.listing_source.take() {
            fetch_listing(&context, peer).await;
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

/// Fetches the configuration of `peer`, or only its evidence if both have the same version.
async fn fetch_config(context: &EdgeContext, peer: SocketAddr) {
    let requested_at = ClockTime::now();
    let path = format!("{CONFIG_PATH}?{}", context.config_version());
    let snapshot: ConfigSnapshot = match fetch(context, peer, &path).await {
        Ok(snapshot) => snapshot,
        Err(error) => return log_failure(context, peer, "config", &error),
    };
    if let Some(config) = snapshot.config {
        apply_config(context, config.into(), "peer");
    }
    if snapshot.version == context.config_version()
        && let Some(age) = snapshot.evidence_age
    {
        let mut evidence = context.evidence.borrow_mut();
        evidence.record_peer_evidence(requested_at, age);
    }
}

/// Fetches the instance list of `peer`.
async fn fetch_listing(context: &EdgeContext, peer: SocketAddr) {
    let requested_at = ClockTime::now();
    match fetch::<ListingSnapshot>(context, peer, INSTANCES_PATH).await {
        Ok(snapshot) => snapshot.apply(context, requested_at, ClockTime::now()),
        Err(error) => log_failure(context, peer, "instances", &error),
    }
}

/// Sends one request to `peer` on a connection of its own and decodes the answer.
async fn fetch<T: DeserializeOwned>(
    context: &EdgeContext,
    peer: SocketAddr,
    path: &str,
) -> Result<T, FetchError> {
    let source = Some(context.own_host.peer_address.ip());
    let mut client = HttpClient::new(source, peer, FETCH_TIMEOUT_MS);
    let body = client
        .call_ok("GET", path, Bytes::new())
        .await
        .map_err(FetchError::Transport)?;
    postcard::from_bytes(&body).map_err(FetchError::Undecodable)
}

fn log_failure(context: &EdgeContext, peer: SocketAddr, what: &'static str, error: &FetchError) {
    info!(context.logger, "not fetched from a host"; "what" => what,
        "peer" => peer.to_string(), "cause" => %error);
}
