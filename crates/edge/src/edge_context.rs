//! State of one host that its tasks share. All tasks run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use slog::Logger;
use slog::info;
use slog::warn;

use crocushoist_platform::NewestEra;
use crocushoist_platform::StoreClient;
use crocushoist_policy::ConfigEvidence;
use crocushoist_policy::DeploymentConfig;
use crocushoist_policy::EraWatch;
use crocushoist_policy::EstimateFeed;
use crocushoist_policy::FleetBudget;
use crocushoist_policy::FleetLimit;
use crocushoist_policy::HostRegistration;
use crocushoist_policy::HostRoster;
use crocushoist_policy::HubAggregator;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::LimitIndex;
use crocushoist_policy::PathMonitor;
use crocushoist_policy::PermitPool;
use crocushoist_policy::ReadSharing;
use crocushoist_policy::RelayChoice;
use crocushoist_policy::RetryAccount;
use crocushoist_policy::RetryLedger;
use crocushoist_policy::StoreEra;
use crocushoist_policy::SuspectLedger;
use crocushoist_policy::WindowHistory;
use crocushoist_policy::WindowLimit;
use crocushoist_policy::WorkspaceGate;
use crocushoist_policy::WorkspaceSpec;
use crocushoist_policy::aged_share;
use crocushoist_policy::name_hash;
use crocushoist_policy::retry_pool_key;
use crocushoist_policy::retry_pool_limit;
use crocushoist_state::ClockTime;
use crocushoist_transport::ServerStop;
use crocushoist_transport::UpstreamPool;

use crate::edge_metrics::EdgeMetrics;
use crate::edge_settings::EdgeSettings;
use crate::hub_rejection::HubRejection;
use crate::log_limiter::LogLimiter;
use crate::request_progress::ProgressRegister;

/// Milliseconds after which a call to the store without a long poll fails.
pub(crate) const STORE_TIMEOUT_MS: u64 = 1_000;

/// Evidence older than this fraction of `revoke_ms` keeps the host from accepting new callers.
const ACCEPT_CALLERS_FRACTION: f64 = 0.56;

/// Milliseconds after its start from which a host knows its retries in the last window of the
/// budget.
const RETRY_HISTORY_MS: u64 = 10_500;

/// Evidence older than this fraction of `revoke_ms` makes the host refuse requests with a key.
///
/// The rest covers the time between the caller's send and the admission.
const ADMIT_KEYED_FRACTION: f64 = 0.88;

/// Hosts that accept callers, as address lookups return them.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvertisedHosts {
    /// Each host's data centre and address for callers.
    pub(crate) hosts: Vec<(CompactString, SocketAddr)>,
    /// Data centres that have too few of them for their own callers.
    pub(crate) short_centres: Vec<CompactString>,
    /// Hash of both; a hub sends them to a host only if their hashes differ.
    pub(crate) hash: u32,
}

/// Age in milliseconds of the instance list above which hosts read the store themselves; two read
/// intervals of a hub.
const STALE_LISTING_MS: u64 = 1_000;

/// Milliseconds after a hub's answer during which other hosts count as sharing a read of the store.
const HUB_ANSWER_VALID_MS: u64 = 800;

/// Milliseconds after a caller's request during which this host counts as serving.
const REQUEST_RECENT_MS: u64 = 2_000;

/// Milliseconds for which a host that has just started waits for its hub before it reads the store.
const AWAIT_HUB_MS: u64 = 1_000;

/// Milliseconds for which a host that has just started waits until it knows other hosts.
const AWAIT_ROSTER_MS: u64 = 2_500;

/// Shares of the workspaces' requests to admit, as the hub assigned them.
#[derive(Clone, Debug, Default)]
pub(crate) struct AssignedShares {
    /// Shares below one, by the hash of the workspace's name; all others are one.
    pub(crate) below_one: HashMap<u32, f64>,
    /// When they were received.
    pub(crate) received_at: Option<ClockTime>,
}

impl AssignedShares {
    /// Share with the key `key` as far as its age allows; `None` if the shares are too old.
    fn share_of(&self, key: u32, now: ClockTime) -> Option<f64> {
        let share = self.below_one.get(&key).copied().unwrap_or(1.0);
        aged_share(share, self.received_at?, now)
    }
}

/// State that the tasks of a host share.
pub(crate) struct EdgeContext {
    /// Settings of the host.
    pub(crate) settings: EdgeSettings,
    /// Registration of this host.
    pub(crate) own_host: HostRegistration,
    /// Newest era of the store that an answer or another host told.
    pub(crate) newest_era: NewestEra,
    /// Changes of the store's era.
    pub(crate) era_watch: Cell<EraWatch>,
    /// Newest era in which the store holds the registration of this host.
    pub(crate) registered_era: Cell<StoreEra>,
    /// Whether the store lost the registration of this host, or it was removed.
    pub(crate) registration_lost: Cell<bool>,
    /// When this host last registered.
    pub(crate) registered_at: Cell<Option<ClockTime>>,
    /// Configuration in force.
    pub(crate) config: RefCell<Option<Rc<DeploymentConfig>>>,
    /// Limits of the configuration in force.
    pub(crate) limit_index: RefCell<LimitIndex>,
    /// Evidence that this host has not missed a configuration.
    pub(crate) evidence: RefCell<ConfigEvidence>,
    /// Instances of all services.
    pub(crate) instances: RefCell<InstanceTable>,
    /// Paths of this host to the instances.
    pub(crate) paths: RefCell<PathMonitor>,
    /// Time up to which this host knows every change of the instance list.
    pub(crate) listing_synced_at: Cell<Option<ClockTime>>,
    /// When this host last read the instance list from the store.
    pub(crate) listing_read_at: Cell<Option<ClockTime>>,
    /// Whether the hub of this host reads the instance list from the store.
    pub(crate) hub_reads_listing: Cell<bool>,
    /// Admission gates, by the name of the workspace.
    pub(crate) workspace_gates: RefCell<HashMap<CompactString, WorkspaceGate>>,
    /// Shares that the hub assigned.
    pub(crate) assigned_shares: RefCell<AssignedShares>,
    /// Retries of this host, by the name of the service.
    pub(crate) retry_accounts: RefCell<HashMap<CompactString, RetryAccount>>,
    /// At the hub: retries of the hosts that report to this one.
    pub(crate) retry_ledger: RefCell<RetryLedger>,
    /// Sequence number of the report whose answer had the retry grants in force.
    pub(crate) retry_granted: Cell<u32>,
    /// At the hub: permits for requests to instances that named a limit.
    pub(crate) permit_pool: RefCell<PermitPool>,
    /// Requests that were in flight at instances when these crashed.
    pub(crate) suspects: RefCell<SuspectLedger>,
    /// Sequence number of the report whose answer had the last permits.
    pub(crate) permits_added: Cell<u32>,
    /// Registered hosts.
    pub(crate) roster: RefCell<HostRoster>,
    /// Sums over the hosts that report to this one.
    pub(crate) aggregator: RefCell<HubAggregator>,
    /// At the hub: changes of the estimates of instances.
    pub(crate) estimate_feed: RefCell<EstimateFeed>,
    /// Hosts that address lookups return.
    pub(crate) advertised_hosts: RefCell<AdvertisedHosts>,
    /// Whether this host acts as the hub of its data centre.
    pub(crate) is_hub: Cell<bool>,
    /// Whether a hub has counted requests of this host since its start. Another hub then takes the
    /// first counters that it receives as the baseline.
    pub(crate) is_counted: Cell<bool>,
    /// Why another hub must be chosen although the current one answers.
    pub(crate) hub_rejection: Cell<Option<HubRejection>>,
    /// Hosts to be probed in the next round.
    pub(crate) hosts_to_probe: RefCell<Vec<SocketAddr>>,
    /// Hosts that report to the hub of this host, as it told; `None` if it did not.
    pub(crate) hub_reporters: Cell<Option<usize>>,
    /// Whether any registration was read. Before that, this host's part of a limit is unknown.
    pub(crate) knows_hosts: Cell<bool>,
    /// Whether the registrations should be read again.
    pub(crate) roster_read_requested: Cell<bool>,
    /// Newest configuration version that another host reported.
    pub(crate) newest_config_version: Cell<u64>,
    /// When another host first reported a version newer than the one in force here.
    pub(crate) newer_version_since: Cell<Option<ClockTime>>,
    /// Host from which a newer configuration or more recent evidence should be fetched.
    pub(crate) config_source: Cell<Option<SocketAddr>>,
    /// Host from which the whole instance list should be fetched.
    pub(crate) listing_source: Cell<Option<SocketAddr>>,
    /// Hub that this host reports to, or this host itself.
    pub(crate) hub: Cell<Option<SocketAddr>>,
    /// When this host first chose a hub.
    pub(crate) hub_known_since: Cell<Option<ClockTime>>,
    /// When the hub of this host last answered.
    pub(crate) hub_answered_at: Cell<Option<ClockTime>>,
    /// When the last report was sent that a hub has answered.
    pub(crate) answered_report_at: Cell<Option<ClockTime>>,
    /// When the last request of a caller arrived.
    pub(crate) last_request_at: Cell<Option<ClockTime>>,
    /// When this host last logged that an instance sent an unreadable header.
    pub(crate) unreadable_signal_logged_at: Cell<Option<ClockTime>>,
    /// Entries of the instance list that were skipped.
    pub(crate) skipped_entries: LogLimiter,
    /// Clients that were turned away.
    pub(crate) client_ends: LogLimiter,
    /// Datagrams that cannot be decoded.
    pub(crate) unread_datagrams: LogLimiter,
    /// Relayed requests that cannot be handled.
    pub(crate) unread_relays: LogLimiter,
    /// Start of the process.
    pub(crate) started_at: ClockTime,
    /// Start of the planned stop, `None` before it.
    pub(crate) stop_started_at: Cell<Option<ClockTime>>,
    /// Requests in progress.
    pub(crate) in_progress: Rc<ProgressRegister>,
    /// Connections to the instances.
    pub(crate) upstreams: UpstreamPool,
    /// Connections to other hosts for relayed requests.
    pub(crate) relays: UpstreamPool,
    /// Hosts to which relays failed lately.
    pub(crate) relay_choice: RefCell<RelayChoice>,
    /// Metrics of this host.
    pub(crate) metrics: EdgeMetrics,
    /// Stop of the server of callers.
    pub(crate) stop: ServerStop,
    /// Logger of this host.
    pub(crate) logger: Logger,
}

/// Shared reference to the context.
pub(crate) type SharedContext = Rc<EdgeContext>;

impl EdgeContext {
    /// State of a host that has just started.
    pub(crate) fn new(settings: EdgeSettings, logger: Logger) -> Self {
        let own_host = HostRegistration {
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            data_centre: settings.data_centre.clone(),
            capacity: settings.capacity(),
            incarnation: rand::random(),
            era: StoreEra::default(),
        };
        EdgeContext {
            own_host,
            newest_era: NewestEra::default(),
            era_watch: Cell::default(),
            registered_era: Cell::default(),
            registration_lost: Cell::new(false),
            registered_at: Cell::new(None),
            config: RefCell::default(),
            limit_index: RefCell::default(),
            evidence: RefCell::default(),
            instances: RefCell::default(),
            paths: RefCell::default(),
            listing_synced_at: Cell::new(None),
            listing_read_at: Cell::new(None),
            hub_reads_listing: Cell::new(true),
            workspace_gates: RefCell::default(),
            assigned_shares: RefCell::default(),
            retry_accounts: RefCell::default(),
            retry_ledger: RefCell::default(),
            retry_granted: Cell::new(0),
            permit_pool: RefCell::default(),
            suspects: RefCell::default(),
            permits_added: Cell::new(0),
            roster: RefCell::default(),
            aggregator: RefCell::default(),
            estimate_feed: RefCell::default(),
            advertised_hosts: RefCell::default(),
            is_hub: Cell::new(false),
            is_counted: Cell::new(false),
            hub_rejection: Cell::new(None),
            hosts_to_probe: RefCell::default(),
            hub_reporters: Cell::new(None),
            knows_hosts: Cell::new(false),
            roster_read_requested: Cell::new(true),
            newest_config_version: Cell::new(0),
            newer_version_since: Cell::new(None),
            config_source: Cell::new(None),
            listing_source: Cell::new(None),
            hub: Cell::new(None),
            hub_known_since: Cell::new(None),
            hub_answered_at: Cell::new(None),
            answered_report_at: Cell::new(None),
            last_request_at: Cell::new(None),
            unreadable_signal_logged_at: Cell::new(None),
            skipped_entries: LogLimiter::default(),
            client_ends: LogLimiter::default(),
            unread_datagrams: LogLimiter::default(),
            unread_relays: LogLimiter::default(),
            started_at: ClockTime::now(),
            stop_started_at: Cell::new(None),
            in_progress: Rc::default(),
            upstreams: UpstreamPool::new(Some(settings.caller_address.ip())),
            relays: UpstreamPool::new(Some(settings.peer_address.ip())),
            relay_choice: RefCell::default(),
            metrics: EdgeMetrics::default(),
            stop: ServerStop::default(),
            logger,
            settings,
        }
    }

    /// New client of the store whose calls fail after `millis` milliseconds.
    pub(crate) fn store_client(&self, millis: u64) -> StoreClient {
        StoreClient::new(
            Some(self.own_host.peer_address.ip()),
            self.settings.store_address,
            millis,
            Rc::clone(&self.newest_era),
        )
    }

    /// Notices the newest era that the store told.
    pub(crate) fn check_era(&self, now: ClockTime) {
        let mut watch = self.era_watch.get();
        let Some(before) = watch.notice(self.newest_era.get(), now) else {
            return;
        };
        self.era_watch.set(watch);
        let era = watch.era();
        self.metrics.store_era.set(era.0 as i64);
        if before.is_known() {
            self.metrics.era_changes.inc();
            warn!(self.logger, "store came back from a copy"; "era" => era.0,
                "before" => before.0, "config_version" => self.config_version());
        } else {
            info!(self.logger, "store told its era"; "era" => era.0);
        }
    }

    /// Notices an era of the store that another host told.
    pub(crate) fn learn_era(&self, era: StoreEra, now: ClockTime) {
        if era > self.newest_era.get() {
            self.newest_era.set(era);
            self.check_era(now);
        }
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<Rc<DeploymentConfig>> {
        self.config.borrow().clone()
    }

    /// Version of the configuration in force, 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        let config = self.config.borrow();
        config.as_ref().map_or(0, |config| config.version)
    }

    /// Milliseconds since this host last knew every change of the instance list, `None` before
    /// the first time.
    pub(crate) fn listing_age(&self, now: ClockTime) -> Option<u64> {
        self.listing_synced_at.get().map(|at| now.since(at))
    }

    /// Whether the instance list is so old that some host must read it.
    pub(crate) fn is_listing_stale(&self, now: ClockTime) -> bool {
        let age = self.listing_age(now);
        age.is_none_or(|age| age > STALE_LISTING_MS)
    }

    /// Whether this host reads the instance list from the store.
    pub(crate) fn reads_listing(&self, now: ClockTime) -> bool {
        let read_at = self.listing_read_at.get();
        read_at.is_some_and(|at| now.since(at) <= STALE_LISTING_MS)
    }

    /// Whether this host reads the store for the others of its data centre, as the hub or in its
    /// place.
    pub(crate) fn reads_for_others(&self, now: ClockTime) -> bool {
        self.is_hub.get() || (!self.hub_reads_listing.get() && self.reads_listing(now))
    }

    /// Whether the host is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_started_at.get().is_some()
    }

    /// Records that this host knows every change of the instance list before `at`.
    pub(crate) fn record_listing_sync(&self, at: ClockTime) {
        self.listing_synced_at
            .set(self.listing_synced_at.get().max(Some(at)));
    }

    /// Whether the evidence is fresh enough to admit requests with a key.
    pub(crate) fn has_fresh_evidence(&self, now: ClockTime) -> bool {
        let max_age_ms = self.settings.revoke_ms as f64 * ADMIT_KEYED_FRACTION;
        let age = self.evidence.borrow().age(now);
        age.is_some_and(|age| age as f64 <= max_age_ms)
    }

    /// Whether new callers should connect to this host.
    pub(crate) fn accepts_callers(&self, now: ClockTime) -> bool {
        let max_age_ms = self.settings.revoke_ms as f64 * ACCEPT_CALLERS_FRACTION;
        let age = self.evidence.borrow().age(now);
        let is_recent = age.is_some_and(|age| age as f64 <= max_age_ms);
        let can_serve = self.config.borrow().is_some()
            && self.listing_synced_at.get().is_some()
            && self.knows_hosts.get();
        is_recent && can_serve && !self.is_stopping()
    }

    /// Whether address lookups should return this host: it accepts callers and reaches instances.
    ///
    /// It serves callers that come all the same, over other hosts.
    pub(crate) fn is_advertised(&self, now: ClockTime) -> bool {
        let table = self.instances.borrow();
        self.accepts_callers(now) && !self.paths.borrow().is_cut_off(&table, now)
    }

    /// Records that the host at `peer_address` has the configuration `version`.
    pub(crate) fn record_peer_version(
        &self,
        peer_address: SocketAddr,
        version: u64,
        now: ClockTime,
    ) {
        if version > self.config_version() {
            self.config_source.set(Some(peer_address));
        }
        if version > self.newest_config_version.get() {
            self.newest_config_version.set(version);
            self.newer_version_since.set(Some(now));
        }
    }

    /// Milliseconds since a hub last answered this host, zero if it is the hub, `None` before the
    /// first answer.
    pub(crate) fn hub_age(&self, now: ClockTime) -> Option<u64> {
        if self.is_hub.get() {
            return Some(0);
        }
        self.hub_answered_at.get().map(|at| now.since(at))
    }

    /// How many hosts share the outcome of a read of the store by this one.
    pub(crate) fn read_sharing(&self, now: ClockTime) -> ReadSharing {
        let is_recent =
            |at: Option<ClockTime>, millis| at.is_some_and(|at| now.since(at) <= millis);
        if is_recent(self.hub_answered_at.get(), HUB_ANSWER_VALID_MS) {
            // Hosts that were lost stay registered, and read nothing.
            let hosts = self.hub_reporters.get().unwrap_or_else(|| {
                let roster = self.roster.borrow();
                roster.hosts_in(&self.own_host.data_centre).count()
            });
            return ReadSharing::Hub(hosts);
        }
        if is_recent(self.last_request_at.get(), REQUEST_RECENT_MS) {
            ReadSharing::Alone
        } else {
            ReadSharing::AloneAndIdle
        }
    }

    /// Whether the process started so recently that its hub may still tell it what it needs.
    pub(crate) fn awaits_hub(&self, now: ClockTime) -> bool {
        match self.hub_known_since.get() {
            Some(at) => now.since(at) <= AWAIT_HUB_MS,
            None => now.since(self.started_at) <= AWAIT_ROSTER_MS,
        }
    }

    /// Whether this host knows the other hosts and the limits, as a hub must.
    pub(crate) fn can_be_hub(&self) -> bool {
        self.knows_hosts.get() && self.config.borrow().is_some()
    }

    /// Records that a hub has counted the report that was sent at `sent_at`.
    pub(crate) fn record_answered_report(&self, sent_at: ClockTime) {
        let answered_at = self.answered_report_at.get().max(Some(sent_at));
        self.answered_report_at.set(answered_at);
    }

    /// Number of hosts that share the limits of the fleet.
    pub(crate) fn fleet_size(&self) -> usize {
        let advertised = self.advertised_hosts.borrow().hosts.len();
        advertised.max(self.roster.borrow().len()).max(1)
    }

    /// Share of the requests of `workspace` to admit, from the hub or else from the near-full
    /// window records; `None` if neither applies.
    pub(crate) fn assigned_share(&self, workspace: &str, now: ClockTime) -> Option<f64> {
        let shares = self.assigned_shares.borrow();
        let hash = name_hash(workspace);
        shares.share_of(hash, now).or_else(|| {
            let aggregator = self.aggregator.borrow();
            aggregator.near_full_records.initial_share(hash, now)
        })
    }

    /// Limit with the key `key`, of a workspace or of the retries at a service.
    pub(crate) fn limit_of_key(&self, key: u32, now: ClockTime) -> Option<WindowLimit> {
        let index = self.limit_index.borrow();
        match index.find(key)? {
            FleetLimit::Workspace(index) => {
                let config = self.config.borrow();
                Some(self.limit_of(config.as_ref()?.workspaces.get(*index)?))
            }
            FleetLimit::Retries(service) => {
                let table = self.instances.borrow();
                let requests_per_s = table.requests_per_s(name_hash(service), now);
                let settings = &self.settings;
                let (ratio, slack) = (settings.retry_ratio, settings.retry_slack);
                Some(retry_pool_limit(ratio, slack, requests_per_s))
            }
        }
    }

    /// Share of the retries at `service` that this host may send, `None` without a hub.
    pub(crate) fn retry_share(&self, service: &str, now: ClockTime) -> Option<f64> {
        let shares = self.assigned_shares.borrow();
        shares.share_of(retry_pool_key(service), now)
    }

    /// What this host knows of its retries in the last window of the budget.
    pub(crate) fn retry_history(&self, now: ClockTime) -> WindowHistory {
        if now.since(self.started_at) > RETRY_HISTORY_MS {
            WindowHistory::Complete
        } else if self.settings.is_first_start {
            WindowHistory::FirstStart
        } else {
            WindowHistory::Lost
        }
    }

    /// Budget of the fleet for the retries at one service.
    pub(crate) fn fleet_budget(&self) -> FleetBudget {
        FleetBudget {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            hosts: self.fleet_size(),
        }
    }

    /// Milliseconds since the hub's shares arrived.
    pub(crate) fn shares_age(&self, now: ClockTime) -> Option<u64> {
        let received_at = self.assigned_shares.borrow().received_at?;
        Some(now.since(received_at))
    }

    /// Limit of `workspace`.
    pub(crate) fn limit_of(&self, workspace: &WorkspaceSpec) -> WindowLimit {
        WindowLimit {
            rate: workspace.rate_per_s,
            burst: workspace.burst,
            slack: self.settings.limit_slack,
            is_recorded: true,
        }
    }
}
