//! Starts and runs one host of the fleet on the platform.
//!
//! Callers have a listener of their own. Readiness checks, address lookups and
//! metrics share one handler on the auxiliary listeners.

use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;
use compio::time::sleep;
use displaydoc::Display;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;

use crocushoist_platform::names;
use crocushoist_state::ClockTime;
use crocushoist_transport::ClientAccount;
use crocushoist_transport::ClientEnd;
use crocushoist_transport::ClientEntrance;
use crocushoist_transport::ClientLimits;
use crocushoist_transport::ClientRegister;
use crocushoist_transport::ProcessSignal;
use crocushoist_transport::ResponseBody;
use crocushoist_transport::TransportError;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_clients;

use crate::address_handler::answer_addresses;
use crate::address_handler::answer_readiness;
use crate::address_handler::empty_response;
use crate::config_reader::follow_config;
use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;
use crate::edge_log::new_logger;
use crate::edge_settings::EdgeSettings;
use crate::graceful_stop::stop_gracefully;
use crate::host_signals::HostSignals;
use crate::listing_reader::follow_listing;
use crate::path_prober::probe_paths;
use crate::peer_fetch::fetch_from_peers;
use crate::peer_server::handle_peer_request;
use crate::peer_server::held_response;
use crate::peer_tasks::PeerTasks;
use crate::request_handler::handle_request;
use crate::roster_sync::sync_roster;

/// Milliseconds for which an idle connection is kept at least, whatever the operators' limit is.
const MIN_IDLE_LIMIT_MS: u64 = 30_000;

/// Milliseconds for which an idle connection is kept that was accepted before the operators' limit
/// was known.
const UNKNOWN_IDLE_LIMIT_MS: u64 = 300_000;

/// Part of the memory of the process that clients share for bodies and responses.
const CLIENT_POOL_DIVISOR: u64 = 4;

/// Limits of the clients of the auxiliary listeners, whose requests have short heads.
const AUXILIARY_LIMITS: ClientLimits = ClientLimits {
    head_bytes: 8 * 1024,
    head_ms: 5_000,
    idle_ms: 30_000,
    response_ms: 10_000,
};

/// Milliseconds in which a caller must have taken its response, longer than any deadline.
const RESPONSE_LIMIT_MS: u64 = 60_000;

/// Milliseconds between closing expired connections and updating gauges.
const MAINTENANCE_INTERVAL_MS: u64 = 1_000;

const METRICS_PATH: &str = "/metrics";

/// Error that ends the host.
#[derive(Debug, Display)]
pub enum EdgeError {
    /// cannot start the runtime: {0}
    Runtime(std::io::Error),
    /// {0}
    Transport(TransportError),
    /// cannot bind the socket for datagrams: {0}
    Datagrams(std::io::Error),
    /// cannot wait for the stop signal: {0}
    Signal(std::io::Error),
}

impl std::error::Error for EdgeError {}

impl From<TransportError> for EdgeError {
    fn from(error: TransportError) -> Self {
        EdgeError::Transport(error)
    }
}

/// Runs the host with the settings file at `path` until the process gets a stop signal.
pub fn run_edge(path: &str, settings: EdgeSettings, signals: HostSignals) -> Result<(), EdgeError> {
    let (logger, guard) = new_logger(&settings.name, settings.log_level);
    let runtime = compio::runtime::Runtime::new().map_err(EdgeError::Runtime)?;
    let outcome = runtime.block_on(serve(path, settings, signals, logger));
    drop(guard);
    outcome
}

async fn serve(
    path: &str,
    settings: EdgeSettings,
    signals: HostSignals,
    logger: Logger,
) -> Result<(), EdgeError> {
    let HostSignals { mut stop, reload } = signals;
    let callers = listen_on(settings.caller_address).await?;
    let ready = listen_on(settings.readiness_address).await?;
    let directory = listen_on(settings.directory_address).await?;
    let metrics = listen_on(settings.metrics_address).await?;
    let peers = listen_on(settings.peer_address).await?;
    let socket = UdpSocket::bind(settings.peer_address)
        .await
        .map_err(EdgeError::Datagrams)?;
    let context: SharedContext = Rc::new(EdgeContext::new(settings, logger));
    info!(context.logger, "started";
        "callers" => context.own_host.caller_address.to_string(),
        "data_centre" => context.own_host.data_centre.as_str(),
        "incarnation" => format!("{:016x}", context.own_host.incarnation));
    let shared = Rc::clone(&context);
    let pool_bytes = context.settings.memory_bytes / CLIENT_POOL_DIVISOR;
    let clients = ClientRegister::new(pool_bytes, move |end| note_client_end(&shared, end));
    let peer_tasks = PeerTasks::new(Rc::clone(&context), socket);
    spawn(Rc::clone(&peer_tasks).run_receiver());
    spawn(peer_tasks.run_sender());
    spawn(fetch_from_peers(Rc::clone(&context)));
    spawn(probe_paths(Rc::clone(&context)));
    let shared = Rc::clone(&context);
    spawn(serve_clients(
        peers,
        Default::default(),
        ClientEntrance::new(&clients, context.settings.auxiliary_connections),
        || AUXILIARY_LIMITS,
        move |account, request| handle_peer_request(Rc::clone(&shared), account, request),
    ));
    spawn(follow_config(Rc::clone(&context)));
    spawn(follow_listing(Rc::clone(&context)));
    spawn(sync_roster(Rc::clone(&context)));
    spawn(run_maintenance(Rc::clone(&context), clients.clone()));
    spawn(reload_on_signal(
        Rc::clone(&context),
        reload,
        path.to_owned(),
    ));
    for listener in [ready, directory, metrics] {
        let shared = Rc::clone(&context);
        spawn(serve_clients(
            listener,
            Default::default(),
            ClientEntrance::new(&clients, context.settings.auxiliary_connections),
            || AUXILIARY_LIMITS,
            move |account, request| handle_auxiliary_request(Rc::clone(&shared), account, request),
        ));
    }
    let limit_context = Rc::clone(&context);
    let shared = Rc::clone(&context);
    spawn(serve_clients(
        callers,
        context.stop.clone(),
        ClientEntrance::new(&clients, context.settings.caller_connections),
        move || caller_limits(&limit_context),
        move |account, request| handle_request(Rc::clone(&shared), account, request),
    ));
    stop.received().await.map_err(EdgeError::Signal)?;
    spawn(log_repeated_stops(Rc::clone(&context), stop));
    stop_gracefully(&context).await;
    Ok(())
}

/// Limits of a caller, from the operators' configuration.
fn caller_limits(context: &EdgeContext) -> ClientLimits {
    let unknown = ClientLimits {
        idle_ms: UNKNOWN_IDLE_LIMIT_MS,
        response_ms: RESPONSE_LIMIT_MS,
        ..ClientLimits::default()
    };
    let Some(config) = context.config() else {
        return unknown;
    };
    // A limit of zero would refuse every request.
    let head_bytes = Some(config.limits.max_header_bytes).filter(|bytes| *bytes > 0);
    let head_ms = Some(config.limits.header_timeout_ms).filter(|millis| *millis > 0);
    ClientLimits {
        head_bytes: head_bytes.unwrap_or(unknown.head_bytes),
        head_ms: head_ms.unwrap_or(unknown.head_ms),
        idle_ms: config.limits.idle_timeout_ms.max(MIN_IDLE_LIMIT_MS),
        ..unknown
    }
}

/// Counts and logs that a client was turned away.
fn note_client_end(context: &EdgeContext, end: ClientEnd) {
    context.metrics.count_client_end(end.name());
    if let Some(count) = context.client_ends.count(ClockTime::now()) {
        warn!(context.logger, "clients turned away"; "reason" => end.name(), "clients" => count);
    }
}

/// Serves readiness checks, address lookups and metrics.
async fn handle_auxiliary_request(
    context: SharedContext,
    account: ClientAccount,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        names::READY_PATH => answer_readiness(&context),
        names::RESOLVE_PATH => answer_addresses(&context, request.uri().query()),
        METRICS_PATH => answer_metrics(&context, &account),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn answer_metrics(context: &EdgeContext, account: &ClientAccount) -> Response<ResponseBody> {
    match context.metrics.encode() {
        Ok(text) => {
            let mut response = held_response(account, text.into());
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
            response
        }
        Err(error) => {
            error!(context.logger, "cannot encode the metrics"; "cause" => %error);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Closes expired connections and updates gauges until the process ends.
async fn run_maintenance(context: SharedContext, clients: ClientRegister) {
    loop {
        context.upstreams.drop_expired();
        context.relays.drop_expired();
        let now = ClockTime::now();
        let metrics = &context.metrics;
        let in_metrics = |age: Option<u64>| age.map_or(-1, |age| age as i64);
        let evidence_age = context.evidence.borrow().store_age(now);
        metrics.evidence_age_ms.set(in_metrics(evidence_age));
        metrics
            .listing_age_ms
            .set(in_metrics(context.listing_age(now)));
        metrics.connected_clients.set(clients.connected() as i64);
        metrics.client_bytes.set(clients.held_bytes() as i64);
        metrics.hub_age_ms.set(in_metrics(context.hub_age(now)));
        update_instance_gauges(&context, now);
        sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
    }
}

fn update_instance_gauges(context: &EdgeContext, now: ClockTime) {
    let table = context.instances.borrow();
    let usable = table.usable(now).count();
    context.metrics.usable_instances.set(usable as i64);
    let suspected = table.usable(now).filter(|state| state.is_suspected(now));
    let suspected = suspected.count();
    context.metrics.suspected_instances.set(suspected as i64);
}

/// Checks the settings file again on each reload signal; changes take effect at the next start.
async fn reload_on_signal(context: SharedContext, mut reload: ProcessSignal, path: String) {
    loop {
        if let Err(error) = reload.received().await {
            warn!(context.logger, "cannot wait for the reload signal"; "cause" => %error);
            return;
        }
        match EdgeSettings::load(&path) {
            Ok(settings) => {
                info!(context.logger, "settings file checked; changes take effect at the next start";
                "changed" => settings != context.settings)
            }
            Err(errors) => {
                for error in errors {
                    error!(context.logger, "settings file is invalid"; "cause" => %error);
                }
            }
        }
    }
}

/// Logs stop signals that arrive while the host stops; they change nothing.
async fn log_repeated_stops(context: SharedContext, mut stop: ProcessSignal) {
    while stop.received().await.is_ok() {
        info!(context.logger, "stop signal ignored; the host is stopping");
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}
