//! Starts the servers and tasks of one host and runs them until it stops.

use std::rc::Rc;

use displaydoc::Display;
use slog::Logger;
use slog::info;

use crocushoist_transport::ProcessSignal;
use crocushoist_transport::TransportError;
use crocushoist_transport::listen_on;
use crocushoist_transport::serve_http;
use crocushoist_transport::serve_peers;

use crate::admin_server::handle_admin;
use crate::admission::send_closed_grants;
use crate::host_context::HostContext;
use crate::host_context::SharedContext;
use crate::host_list_reader::read_host_list;
use crate::host_settings::HostSettings;
use crate::log_reader::read_log;
use crate::outcome_exchange::exchange_outcomes;
use crate::peer_server::PeerServer;
use crate::peer_tasks::supervise_peers;
use crate::planned_stop::stop_host;
use crate::request_path::handle_request;
use crate::shard_manager::manage_shards;
use crate::snapshot_writer::write_snapshots;

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const MAX_CALLER_CONNECTIONS: usize = 8_192;
const MAX_ADMIN_CONNECTIONS: usize = 256;
/// Number of threads of the runtime that drives the timers.
const TIMER_THREADS: usize = 1;

/// Error that ends the daemon.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// the runtime cannot start: {0}
    Runtime(std::io::Error),
    /// {0}
    Transport(TransportError),
    /// cannot wait for the stop signal: {0}
    Signal(std::io::Error),
}

impl std::error::Error for DaemonError {}

impl From<TransportError> for DaemonError {
    fn from(error: TransportError) -> Self {
        DaemonError::Transport(error)
    }
}

/// Runs the host until it receives SIGTERM and has stopped.
///
/// Fails if the runtime cannot start, an address cannot be bound or the signal cannot be awaited.
pub fn run_host(settings: HostSettings, logger: Logger) -> Result<(), DaemonError> {
    let timers = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TIMER_THREADS)
        .enable_time()
        .build()
        .map_err(DaemonError::Runtime)?;
    let _timers = timers.enter();
    let stop = ProcessSignal::listen(SIGTERM).map_err(DaemonError::Signal)?;
    // Without a handler, a reload signal would end the process.
    let reload = ProcessSignal::listen(SIGHUP).map_err(DaemonError::Signal)?;
    let runtime = compio::runtime::Runtime::new().map_err(DaemonError::Runtime)?;
    runtime.block_on(serve(settings, logger, stop, reload))
}

async fn serve(
    settings: HostSettings,
    logger: Logger,
    mut stop: ProcessSignal,
    reload: ProcessSignal,
) -> Result<(), DaemonError> {
    let callers = listen_on(settings.listen_callers).await?;
    let peers = listen_on(settings.listen_peers).await?;
    let admin = listen_on(settings.admin).await?;
    let context: SharedContext = Rc::new(HostContext::new(settings, logger));
    let incarnation = context.state.borrow().own.incarnation.0;
    info!(context.logger, "started";
        "callers" => context.settings.callers.to_string(),
        "data_centre" => context.settings.data_centre.to_string(),
        "incarnation" => format!("{incarnation:016x}"));
    let server = PeerServer::new(Rc::clone(&context));
    spawn(serve_peers(peers, context.meter.clone(), server));
    spawn(read_host_list(Rc::clone(&context)));
    spawn(supervise_peers(Rc::clone(&context)));
    spawn(read_log(Rc::clone(&context)));
    spawn(manage_shards(Rc::clone(&context)));
    spawn(write_snapshots(Rc::clone(&context)));
    spawn(exchange_outcomes(Rc::clone(&context)));
    spawn(send_closed_grants(Rc::clone(&context)));
    let admin_context = Rc::clone(&context);
    spawn(serve_http(
        admin,
        Default::default(),
        MAX_ADMIN_CONNECTIONS,
        move |address, request| handle_admin(Rc::clone(&admin_context), address, request),
    ));
    let caller_context = Rc::clone(&context);
    spawn(serve_http(
        callers,
        context.stop.clone(),
        MAX_CALLER_CONNECTIONS,
        move |address, request| handle_request(Rc::clone(&caller_context), address, request),
    ));
    spawn(log_reloads(Rc::clone(&context), reload));
    stop.received().await.map_err(DaemonError::Signal)?;
    stop_host(&context).await;
    Ok(())
}

/// Logs reload signals; settings are read at the start only.
async fn log_reloads(context: SharedContext, mut reload: ProcessSignal) {
    while reload.received().await.is_ok() {
        info!(
            context.logger,
            "reload signal ignored; settings are read at the start"
        );
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}
