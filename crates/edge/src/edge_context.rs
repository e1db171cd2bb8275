//! What the tasks of one host share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use slog::Logger;

use crocushoist_platform::StoreClient;
use crocushoist_policy::ConfigEvidence;
use crocushoist_policy::DeploymentConfig;
use crocushoist_policy::HostCard;
use crocushoist_policy::HostRoster;
use crocushoist_policy::HubLedger;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::PaceLimit;
use crocushoist_policy::RetryAllowance;
use crocushoist_policy::WorkspaceGate;
use crocushoist_policy::WorkspaceSpec;
use crocushoist_policy::name_hash;
use crocushoist_state::ClockTime;
use crocushoist_transport::StopSignal;
use crocushoist_transport::UpstreamPool;

use crate::edge_metrics::EdgeMetrics;
use crate::edge_settings::EdgeSettings;
use crate::hub_rejection::HubRejection;

/// Milliseconds that a short call to the store may take.
pub(crate) const STORE_TIMEOUT_MS: u64 = 1_000;

/// Part of the revocation bound after which a host without new evidence takes no callers.
const ACCEPT_CALLERS_FRACTION: f64 = 0.56;

/// Part of the revocation bound after which keyed requests are refused.
///
/// The rest covers the time between the caller's send and the admission.
const ADMIT_KEYED_FRACTION: f64 = 0.88;

/// Hosts that callers can be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvertisedHosts {
    /// Hosts by data centre.
    pub(crate) hosts: Vec<(CompactString, SocketAddr)>,
    /// Hash of the hosts, by which hubs tell them only after a change.
    pub(crate) hash: u32,
}

/// Milliseconds that told shares hold; two exchanges may be lost.
const SHARES_VALID_MS: u64 = 1_000;

/// Shares of workspaces that a hub told.
#[derive(Clone, Debug, Default)]
pub(crate) struct AssignedShares {
    /// Shares below one, by the hash of the workspace's name.
    pub(crate) below_one: HashMap<u32, f64>,
    /// When they were told.
    pub(crate) received_at: Option<ClockTime>,
}

/// What the tasks of one host share.
pub(crate) struct EdgeContext {
    /// Settings of the host.
    pub(crate) settings: EdgeSettings,
    /// This host as it registers.
    pub(crate) own_host: HostCard,
    /// Configuration in force.
    pub(crate) config: RefCell<Option<Rc<DeploymentConfig>>>,
    /// Age of the proof of the configuration.
    pub(crate) evidence: RefCell<ConfigEvidence>,
    /// Instances.
    pub(crate) table: RefCell<InstanceTable>,
    /// Time up to which the list of instances is known here.
    pub(crate) listing_synced_at: Cell<Option<ClockTime>>,
    /// Gates of the workspaces by name.
    pub(crate) gates: RefCell<HashMap<CompactString, WorkspaceGate>>,
    /// Shares of workspaces that a hub told.
    pub(crate) shares: RefCell<AssignedShares>,
    /// Budgets for retries by service.
    pub(crate) retries: RefCell<HashMap<CompactString, RetryAllowance>>,
    /// Registered hosts.
    pub(crate) roster: RefCell<HostRoster>,
    /// What this host adds up as a hub.
    pub(crate) ledger: RefCell<HubLedger>,
    /// Hosts that callers can be told.
    pub(crate) advertised_hosts: RefCell<AdvertisedHosts>,
    /// Whether this host takes itself for the hub of its data centre.
    pub(crate) is_hub: Cell<bool>,
    /// Whether a hub counted what this host did.
    pub(crate) is_counted: Cell<bool>,
    /// Set when the hub answered, but another one shall be chosen.
    pub(crate) hub_rejection: Cell<Option<HubRejection>>,
    /// Whether the registrations were read; until then this host's part of a limit is
    /// not known.
    pub(crate) knows_hosts: Cell<bool>,
    /// Raised when the registrations shall be read again.
    pub(crate) roster_read_requested: Cell<bool>,
    /// Newest version that a hub told of.
    pub(crate) hub_version: Cell<u64>,
    /// Whether the host is stopping.
    pub(crate) stopping: Cell<bool>,
    /// Requests in progress.
    pub(crate) in_progress: Cell<usize>,
    /// Connections to the instances.
    pub(crate) upstreams: UpstreamPool,
    /// Counters.
    pub(crate) metrics: EdgeMetrics,
    /// Raised when the connections of callers shall end.
    pub(crate) stop: StopSignal,
    /// Log lines.
    pub(crate) logger: Logger,
}

/// Shared reference to the context.
pub(crate) type SharedContext = Rc<EdgeContext>;

impl EdgeContext {
    /// Context of a host that just started.
    pub(crate) fn new(settings: EdgeSettings, logger: Logger) -> Self {
        let own_host = HostCard {
            callers: settings.callers,
            peers: settings.peers,
            data_centre: settings.data_centre.clone(),
            incarnation: rand::random(),
        };
        EdgeContext {
            own_host,
            config: RefCell::default(),
            evidence: RefCell::default(),
            table: RefCell::default(),
            listing_synced_at: Cell::new(None),
            gates: RefCell::default(),
            shares: RefCell::default(),
            retries: RefCell::default(),
            roster: RefCell::default(),
            ledger: RefCell::default(),
            advertised_hosts: RefCell::default(),
            is_hub: Cell::new(false),
            is_counted: Cell::new(false),
            hub_rejection: Cell::new(None),
            knows_hosts: Cell::new(false),
            roster_read_requested: Cell::new(true),
            hub_version: Cell::new(0),
            stopping: Cell::new(false),
            in_progress: Cell::new(0),
            upstreams: UpstreamPool::new(Some(settings.callers.ip())),
            metrics: EdgeMetrics::default(),
            stop: StopSignal::default(),
            logger,
            settings,
        }
    }

    /// New client of the store that waits `millis` milliseconds for an answer.
    pub(crate) fn store_client(&self, millis: u64) -> StoreClient {
        StoreClient::new(Some(self.own_host.peers.ip()), self.settings.store, millis)
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<DeploymentConfig>> {
        self.config.borrow().clone()
    }

    /// Version of the configuration in force, zero before the first.
    pub(crate) fn config_version(&self) -> u64 {
        let config = self.config.borrow();
        config.as_ref().map_or(0, |config| config.version)
    }

    /// Milliseconds since the list of instances was known to be whole here.
    pub(crate) fn listing_age(&self, now: ClockTime) -> Option<u64> {
        self.listing_synced_at.get().map(|at| now.since(at))
    }

    /// Notes that every entry of the list before `at` is known here.
    pub(crate) fn record_listing_sync(&self, at: ClockTime) {
        self.listing_synced_at
            .set(self.listing_synced_at.get().max(Some(at)));
    }

    /// Whether keyed requests may be admitted.
    pub(crate) fn has_fresh_evidence(&self, now: ClockTime) -> bool {
        let bound = self.settings.revoke_ms as f64 * ADMIT_KEYED_FRACTION;
        let age = self.evidence.borrow().age(now);
        age.is_some_and(|age| age as f64 <= bound)
    }

    /// Whether callers shall be sent here.
    pub(crate) fn accepts_callers(&self, now: ClockTime) -> bool {
        let bound = self.settings.revoke_ms as f64 * ACCEPT_CALLERS_FRACTION;
        let age = self.evidence.borrow().age(now);
        let is_recent = age.is_some_and(|age| age as f64 <= bound);
        let can_serve = self.config.borrow().is_some()
            && self.listing_synced_at.get().is_some()
            && self.knows_hosts.get();
        is_recent && can_serve && !self.stopping.get()
    }

    /// Whether this host knows the other hosts and the limits.
    pub(crate) fn can_be_hub(&self) -> bool {
        self.knows_hosts.get() && self.config.borrow().is_some()
    }

    /// Number of hosts that share the fleet's limits.
    pub(crate) fn fleet_size(&self) -> usize {
        let told = self.advertised_hosts.borrow().hosts.len();
        told.max(self.roster.borrow().len()).max(1)
    }

    /// Share of the requests of `workspace` to admit, `None` if neither a hub nor a mark tells.
    pub(crate) fn assigned_share(&self, workspace: &str, now: ClockTime) -> Option<f64> {
        let shares = self.shares.borrow();
        let hash = name_hash(workspace);
        if shares
            .received_at
            .is_some_and(|at| now.since(at) <= SHARES_VALID_MS)
        {
            return Some(shares.below_one.get(&hash).copied().unwrap_or(1.0));
        }
        let ledger = self.ledger.borrow();
        ledger.marks.share_before_told(hash, now)
    }

    /// Limit of the workspace whose name has `hash`.
    pub(crate) fn limit_of_hash(&self, hash: u32) -> Option<PaceLimit> {
        let config = self.config.borrow();
        let workspaces = &config.as_ref()?.workspaces;
        let workspace = workspaces
            .iter()
            .find(|workspace| name_hash(&workspace.name) == hash)?;
        Some(self.limit_of(workspace))
    }

    /// Limit of `workspace`.
    pub(crate) fn limit_of(&self, workspace: &WorkspaceSpec) -> PaceLimit {
        PaceLimit {
            rate: workspace.rate_per_s,
            burst: workspace.burst,
            slack: self.settings.limit_slack,
        }
    }
}
