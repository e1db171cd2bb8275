//! What the tasks of one host share.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use slog::Logger;
use slog::info;

use crocushoist_coordination::FleetRecord;
use crocushoist_protocol::encode_record;
use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;
use crocushoist_state::breach;
use crocushoist_transport::ByteMeter;
use crocushoist_transport::LogClient;
use crocushoist_transport::StopSignal;
use crocushoist_transport::TransportError;
use crocushoist_transport::UpstreamPool;

use crate::host_metrics::HostMetrics;
use crate::host_settings::HostSettings;
use crate::host_state::HostState;
use crate::retry_budget::RetryBudget;

/// Milliseconds that a call to the platform may take.
pub const PLATFORM_TIMEOUT_MS: u64 = 500;

/// What the tasks of one host share.
pub struct HostContext {
    /// Settings of the host.
    pub settings: HostSettings,
    /// What the host knows.
    pub state: RefCell<HostState>,
    /// Counters.
    pub metrics: HostMetrics,
    /// Connections to the instances.
    pub upstreams: UpstreamPool,
    /// Budget for retries.
    pub retries: RefCell<RetryBudget>,
    /// Raised when the connections of callers shall end.
    pub stop: StopSignal,
    /// Control bytes.
    pub meter: ByteMeter,
    /// Log lines.
    pub logger: Logger,
    /// When the host started.
    pub started_at: ClockTime,
    was_fresh: Cell<bool>,
    held_before: Cell<(usize, usize)>,
}

/// Shared reference to the context.
pub type SharedContext = Rc<HostContext>;

impl HostContext {
    /// Context of a host that just started, with a new incarnation.
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
            retries: RefCell::default(),
            stop: StopSignal::default(),
            meter: ByteMeter::default(),
            logger,
            started_at: ClockTime::now(),
            was_fresh: Cell::new(false),
            held_before: Cell::new((0, 0)),
            settings,
        }
    }

    /// Address that outgoing connections start from.
    pub fn source(&self) -> Option<IpAddr> {
        Some(self.settings.peers.ip())
    }

    /// New client of the platform's log.
    pub fn log_client(&self) -> LogClient {
        LogClient::new(
            self.source(),
            self.settings.log,
            PLATFORM_TIMEOUT_MS,
            self.meter.clone(),
        )
    }

    /// Appends `record` to the log and returns its offset.
    pub async fn append(&self, record: &FleetRecord) -> Result<u64, TransportError> {
        self.log_client().append(&encode_record(record)).await
    }

    /// Logs what changed since the last call: freshness, shards, breaches.
    pub fn log_changes(&self) {
        let now = ClockTime::now();
        let state = self.state.borrow();
        let fresh = state.is_fresh(now);
        if self.was_fresh.replace(fresh) != fresh {
            let age = state.freshness.age(now);
            info!(self.logger, "freshness changed"; "fresh" => fresh, "evidence_age_ms" => age);
        }
        let held = state.ledger.counts();
        if self.held_before.replace(held) != held {
            info!(self.logger, "shards changed"; "held" => held.0, "active" => held.1);
        }
        for kind in breach::take_unlogged() {
            slog::error!(self.logger, "invariant breached"; "kind" => kind.name());
        }
    }
}
