//! Context that the tasks of one host share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use slog::Logger;
use slog::info;

use crocushoist_coordination::LogRecord;
use crocushoist_protocol::encode_record;
use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::breach;
use crocushoist_transport::ByteMeter;
use crocushoist_transport::LogClient;
use crocushoist_transport::ServerStop;
use crocushoist_transport::TransportError;
use crocushoist_transport::UpstreamPool;

use crate::host_metrics::HostMetrics;
use crate::host_settings::HostSettings;
use crate::host_state::HostState;
use crate::retry_budget::RetryBudget;

/// Timeout of a call to the platform, in milliseconds.
pub const PLATFORM_TIMEOUT_MS: u64 = 500;

/// Context that the tasks of one host share.
pub struct HostContext {
    /// Settings of the host.
    pub settings: HostSettings,
    /// State of the host.
    pub state: RefCell<HostState>,
    /// Metrics of the host.
    pub metrics: HostMetrics,
    /// Connections to the instances.
    pub upstreams: UpstreamPool,
    /// Budget for retries.
    pub retry_budget: RefCell<RetryBudget>,
    /// Raised to close the connections of callers.
    pub stop: ServerStop,
    /// Counts the bytes of control traffic.
    pub meter: ByteMeter,
    /// Logger of the host.
    pub logger: Logger,
    /// Time at which the host started.
    pub started_at: ClockTime,
    last_fresh: Cell<bool>,
    last_shard_counts: Cell<(usize, usize)>,
}

/// Shared reference to the context.
pub type SharedContext = Rc<HostContext>;

impl HostContext {
    /// Creates the context of a starting host, with a random incarnation.
    pub fn new(settings: HostSettings, logger: Logger) -> Self {
        let own = ShardHolder {
            incarnation: IncarnationId(rand::random()),
            address: HostAddress {
                callers: settings.callers,
                peers: settings.peers,
                data_centre: settings.data_centre.clone(),
            },
            start_offset: 0,
            ended: false,
        };
        HostContext {
            state: RefCell::new(HostState::new(
                own,
                settings.shard_count,
                settings.routing_policy,
            )),
            metrics: HostMetrics::default(),
            upstreams: UpstreamPool::new(Some(settings.callers.ip())),
            retry_budget: RefCell::default(),
            stop: ServerStop::default(),
            meter: ByteMeter::default(),
            logger,
            started_at: ClockTime::now(),
            last_fresh: Cell::new(false),
            last_shard_counts: Cell::new((0, 0)),
            settings,
        }
    }

    /// Local address of outgoing connections.
    pub fn local_ip(&self) -> Option<IpAddr> {
        Some(self.settings.peers.ip())
    }

    /// New client of the platform's log.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(
            self.local_ip(),
            self.settings.log,
            PLATFORM_TIMEOUT_MS,
            self.meter.clone(),
        )
    }

    /// Appends `record` to the log and returns its offset.
    ///
    /// Fails if the append was not confirmed; the record may still take effect.
    pub async fn append_record(&self, record: &LogRecord) -> Result<u64, TransportError> {
        self.log_client().append(&encode_record(record)).await
    }

    /// Logs changes of freshness and held shards, and new breaches, since the last call.
    pub fn log_changes(&self) {
        let now = ClockTime::now();
        let state = self.state.borrow();
        let fresh = state.is_fresh(now);
        if self.last_fresh.replace(fresh) != fresh {
            let age = state.freshness.age(now);
            info!(self.logger, "freshness changed"; "fresh" => fresh, "evidence_age_ms" => age);
        }
        let held = state.shard_buckets.held_and_active_counts();
        if self.last_shard_counts.replace(held) != held {
            info!(self.logger, "shards changed"; "held" => held.0, "active" => held.1);
        }
        for kind in breach::take_unlogged() {
            slog::error!(self.logger, "invariant breached"; "kind" => kind.name());
        }
    }
}
