//! Store, instances, link proxies and host processes of one run.
//!
//! A run uses the loopback network 127.N.0.0/16. Its third octet tells the
//! kinds of address apart: 0 for the store, 1 for hosts, 2 for instances, 3
//! for the proxies between each host and the store, 4 for the proxies in front
//! of the instances. The fourth octet is the index of the host or instance
//! plus one. Hosts know the store and the instances by their proxies only.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;

use crocushoist_platform_standin::HostAddresses;
use crocushoist_platform_standin::HostProcess;
use crocushoist_platform_standin::InstanceStandin;
use crocushoist_platform_standin::StandinConfig;
use crocushoist_platform_standin::StandinWorkspace;
use crocushoist_platform_standin::StoreStandin;
use crocushoist_platform_standin::is_ready;
use crocushoist_transport::TransportError;

use crate::ArrivalRecord;
use crate::CallHistory;
use crate::ExecutionRecord;
use crate::HoldRecord;
use crate::HostOutage;
use crate::ReadyProbe;
use crate::SoakError;
use crate::SoakMode;
use crate::SoakSize;
use crate::caller_load::workspace_key;
use crate::promise_check::LIMIT_BURST;
use crate::promise_check::LIMIT_PER_S;
use crate::promise_check::LIMITED_WORKSPACE;
use crate::version_check::VERSION_WORKSPACE;
use crocushoist_platform_standin::LinkProxy;

/// Host name in the callers' requests, by which the fleet selects the route.
pub(crate) const HOST_NAME: &str = "ledger.example";

/// Milliseconds of the deadline that callers send, and of the routes' timeout.
pub(crate) const DEADLINE_MS: u64 = 1_500;

/// Name of the workspace whose key a fault can revoke.
pub(crate) const REVOCABLE_WORKSPACE: &str = "installer";

const SERVICE: &str = "ledger";

/// Data centres that are assigned to hosts and instances in turn.
pub(crate) const DATA_CENTRES: [&str; 2] = ["north", "south"];
const INSTANCE_PORT: u16 = 9_000;
const STORE_PORT: u16 = 9_100;

/// Milliseconds that an instance takes for a request.
const EXECUTION_MS: u64 = 20;

/// Requests that an instance executes at once in the series mode.
const MAX_EXECUTING: usize = 5;

/// Milliseconds of the routes' timeout in the series mode.
const SERIES_TIMEOUT_MS: u64 = 3_000;

/// Milliseconds between two readiness checks of a host, as the platform makes them.
const READY_INTERVAL_MS: u64 = 1_000;

/// Milliseconds that a host may take for a readiness check.
const READY_CHECK_MS: u64 = 900;

/// Milliseconds within which all hosts must be ready after the start.
const READY_TIMEOUT_MS: u64 = 15_000;

/// Milliseconds within which the addresses of an earlier run are free again.
const LISTEN_TIMEOUT_MS: u64 = 10_000;

/// Milliseconds between checks for ready hosts and for hosts that exited.
const POLL_INTERVAL_MS: u64 = 100;

/// Number of the signal SIGKILL.
const SIGKILL: i32 = 9;

/// Version of the first configuration.
const FIRST_VERSION: u64 = 3;

/// Step between configuration versions, so that they are not consecutive.
const VERSION_STEP: u64 = 3;

/// Host process of the run.
pub(crate) struct SoakHost {
    pub(crate) process: RefCell<HostProcess>,
    /// Number of active faults that keep the process down.
    pub(crate) down_count: Cell<u32>,
    /// When the process was started, in milliseconds.
    pub(crate) started_ms: Cell<u64>,
    /// Whether the process handled signals when it was first asked to stop.
    handled_stop: Cell<bool>,
    /// When the process was first asked to stop, in milliseconds, until its exit is recorded.
    pub(crate) stop_asked_ms: Cell<Option<u64>>,
}

/// Store, instances, link proxies and host processes of one run.
pub(crate) struct SoakFleet {
    pub(crate) mode: SoakMode,
    pub(crate) size: SoakSize,
    pub(crate) store: Rc<StoreStandin>,
    pub(crate) instances: Vec<Rc<InstanceStandin>>,
    /// Link from all hosts to an instance, by the instance's index.
    pub(crate) instance_links: Vec<Rc<LinkProxy>>,
    /// Link from a host to the store, by the host's index.
    pub(crate) store_links: Vec<Rc<LinkProxy>>,
    pub(crate) hosts: Vec<SoakHost>,
    pub(crate) history: RefCell<CallHistory>,
    /// Whether callers send far more than the limited workspace's limit.
    pub(crate) is_workspace_hot: Cell<bool>,
    /// Whether the run is over, so that callers and the host watch end.
    pub(crate) is_over: Cell<bool>,
    config_version: Cell<u64>,
    started_at: Instant,
    /// Second octet of the loopback network.
    net: u8,
    /// Directory of the hosts' settings files and logs.
    host_files: PathBuf,
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        // The logs of a run that broke a promise have been copied by now.
        let _ = std::fs::remove_dir_all(&self.host_files);
    }
}

impl SoakFleet {
    /// Starts all parts in the loopback network 127.`net`.0.0/16 and waits until hosts are ready.
    pub(crate) async fn start(
        net: u8,
        mode: SoakMode,
        size: SoakSize,
    ) -> Result<Rc<Self>, SoakError> {
        let directory_name = format!("crocushoist-soak-{net}-{}", std::process::id());
        let host_files = std::env::temp_dir().join(directory_name);
        std::fs::create_dir_all(&host_files)?;
        let store = Rc::new(StoreStandin::default());
        let store_address = SocketAddr::from(([127, net, 0, 1], STORE_PORT));
        let served_store = Rc::clone(&store);
        spawn_server(move || Rc::clone(&served_store).serve(store_address));
        let mut instances = Vec::new();
        let mut instance_links = Vec::new();
        for index in 0..size.instances {
            let instance = new_instance(net, index);
            if mode != SoakMode::Single {
                instance.max_executing.set(MAX_EXECUTING);
            }
            let served_instance = Rc::clone(&instance);
            spawn_server(move || Rc::clone(&served_instance).serve());
            let instance_link = LinkProxy::new(instance.listed_address, instance.address);
            let served_link = Rc::clone(&instance_link);
            spawn_server(move || Rc::clone(&served_link).serve());
            compio::runtime::spawn(Rc::clone(&instance).publish_entries(Rc::clone(&store)))
                .detach();
            instances.push(instance);
            instance_links.push(instance_link);
        }
        if mode.has_drills() {
            store.tell_era();
        }
        let mut store_links = Vec::new();
        let mut hosts = Vec::new();
        store.write_config(&new_config(FIRST_VERSION, mode, true));
        for index in 0..size.hosts {
            let link_address = SocketAddr::from(([127, net, 3, index as u8 + 1], STORE_PORT));
            let store_link = LinkProxy::new(link_address, store_address);
            let served_link = Rc::clone(&store_link);
            spawn_server(move || Rc::clone(&served_link).serve());
            store_links.push(store_link);
            let ip = Ipv4Addr::new(127, net, 1, index as u8 + 1);
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let process = HostProcess::start(host_files.clone(), ip, data_centre, link_address)?;
            hosts.push(SoakHost {
                process: RefCell::new(process),
                down_count: Cell::new(0),
                started_ms: Cell::new(0),
                handled_stop: Cell::new(false),
                stop_asked_ms: Cell::new(None),
            });
        }
        let fleet = Rc::new(SoakFleet {
            mode,
            size,
            store,
            instances,
            instance_links,
            store_links,
            hosts,
            history: RefCell::default(),
            is_workspace_hot: Cell::new(false),
            is_over: Cell::new(false),
            config_version: Cell::new(FIRST_VERSION),
            started_at: Instant::now(),
            net,
            host_files,
        });
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Milliseconds since the fleet was started.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Address at which the host with this index responds to address lookups.
    pub(crate) fn directory_address(&self, host: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, 1, host as u8 + 1);
        HostAddresses { ip }.directory()
    }

    /// IP address of the host with this index.
    pub(crate) fn host_ip(&self, host: usize) -> IpAddr {
        IpAddr::from([127, self.net, 1, host as u8 + 1])
    }

    /// Index of the host that listens at `address`.
    pub(crate) fn host_at(&self, address: SocketAddr) -> usize {
        match address {
            SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
            SocketAddr::V6(_) => unreachable!("hosts listen on IPv4"),
        }
    }

    /// Index of the instance with this id.
    pub(crate) fn instance_index(&self, id: &str) -> Option<usize> {
        let mut instances = self.instances.iter();
        instances.position(|instance| instance.id == id)
    }

    /// Writes the next configuration version, without the revocable key unless `with_all_keys`.
    pub(crate) fn write_next_config(&self, with_all_keys: bool) {
        self.config_version
            .set(self.config_version.get() + VERSION_STEP);
        let config = new_config(self.config_version.get(), self.mode, with_all_keys);
        self.store.write_config(&config);
    }

    /// Writes the next configuration version with all keys that were not revoked.
    pub(crate) fn write_unrevoked_config(&self) {
        let is_key_revoked = self.history.borrow().revoked_key.is_some();
        self.write_next_config(!is_key_revoked);
    }

    /// Milliseconds after which hosts give up on a request.
    pub(crate) fn route_timeout_ms(&self) -> u64 {
        route_timeout_ms(self.mode)
    }

    /// Milliseconds from the start of the fleet until `at`.
    pub(crate) fn ms_at(&self, at: Instant) -> u64 {
        at.duration_since(self.started_at).as_millis() as u64
    }

    /// Records an unplanned outage of a host from `from_ms` until now.
    pub(crate) fn record_outage(&self, host: usize, from_ms: u64) {
        let mut history = self.history.borrow_mut();
        history.outages.push(HostOutage {
            host,
            span_ms: from_ms..self.now_ms(),
            is_planned: false,
        });
    }

    /// Asks the process of a host to stop, and notes when it was first asked.
    pub(crate) fn request_stop(&self, index: usize) -> std::io::Result<()> {
        let host = &self.hosts[index];
        if host.stop_asked_ms.get().is_none() {
            host.stop_asked_ms.set(Some(self.now_ms()));
            let handles_signals = host.process.borrow().handles_signals();
            host.handled_stop.set(handles_signals);
        }
        host.process.borrow_mut().request_stop()
    }

    /// Records the planned stop of a host whose process has ended; does nothing otherwise.
    ///
    /// An exit by another signal than SIGKILL or with an error counts as unexpected, unless the
    /// process had not installed its handlers yet when it was asked to stop.
    pub(crate) fn record_stop(&self, index: usize) {
        let host = &self.hosts[index];
        let Some(status) = host.process.borrow_mut().exit_status() else {
            return;
        };
        let Some(asked_ms) = host.stop_asked_ms.take() else {
            return;
        };
        let mut history = self.history.borrow_mut();
        history.outages.push(HostOutage {
            host: index,
            span_ms: asked_ms..self.now_ms(),
            is_planned: true,
        });
        let is_killed = status.signal() == Some(SIGKILL);
        if !status.success() && !is_killed && host.handled_stop.get() {
            history.unexpected_exits.push(index);
        }
    }

    /// Starts the process of a host again after it has ended.
    pub(crate) fn restart_host(&self, index: usize) -> std::io::Result<()> {
        self.record_stop(index);
        let started_ms = self.now_ms();
        self.hosts[index].started_ms.set(started_ms);
        let mut history = self.history.borrow_mut();
        history.host_starts.push((index, started_ms));
        drop(history);
        self.hosts[index].process.borrow_mut().restart()
    }

    /// Checks the readiness of a host periodically until the run is over.
    pub(crate) async fn probe_host(self: Rc<Self>, host: usize) {
        let ready_address = self.hosts[host].process.borrow().addresses.ready();
        while !self.is_over.get() {
            let at_ms = self.now_ms();
            let is_ready = is_ready(ready_address, READY_CHECK_MS).await;
            self.history.borrow_mut().ready_probes.push(ReadyProbe {
                host,
                at_ms,
                is_ready,
            });
            let passed_ms = self.now_ms() - at_ms;
            sleep(Duration::from_millis(
                READY_INTERVAL_MS.saturating_sub(passed_ms),
            ))
            .await;
        }
    }

    /// Records and restarts hosts that exit while no fault keeps them down, until the run is over.
    pub(crate) async fn watch_hosts(self: Rc<Self>) {
        while !self.is_over.get() {
            for (index, host) in self.hosts.iter().enumerate() {
                if host.down_count.get() > 0 || !host.process.borrow_mut().has_ended() {
                    continue;
                }
                let mut history = self.history.borrow_mut();
                history.unexpected_exits.push(index);
                drop(history);
                if let Err(error) = self.restart_host(index) {
                    eprintln!("host {index} could not be restarted: {error}");
                }
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Copies what the instances recorded into the history.
    pub(crate) fn collect_executions(&self) {
        let mut history = self.history.borrow_mut();
        for (index, instance) in self.instances.iter().enumerate() {
            let arrivals = instance.arrivals.records();
            history.arrivals.extend(arrivals.iter().map(|arrival| {
                ArrivalRecord {
                    attempt_id: arrival.attempt_id.clone(),
                    host: self.host_at(SocketAddr::from((arrival.host, 0))),
                    instance: index,
                    span_ms: self.ms_at(arrival.arrived_at)
                        ..arrival
                            .ended_at
                            .map_or(u64::MAX, |ended_at| self.ms_at(ended_at)),
                    result: arrival.result,
                }
            }));
            let statements = instance.hold_statements.borrow();
            history.holds.extend(statements.iter().map(|statement| {
                let said_ms = self.ms_at(statement.said_at);
                HoldRecord {
                    host: self.host_at(SocketAddr::from((statement.host, 0))),
                    instance: index,
                    span_ms: said_ms..said_ms + statement.hold_ms,
                }
            }));
            let requests = instance.executed_requests.borrow();
            history
                .executions
                .extend(requests.iter().map(|request| ExecutionRecord {
                    attempt_id: request.attempt_id.clone(),
                    workspace: request.workspace.clone(),
                    received_key: request.received_key,
                    started_ms: self.ms_at(request.executed_at),
                }));
        }
    }

    /// Copies the hosts' settings files and logs to the directory `target`.
    pub(crate) fn copy_host_files(&self, target: &std::path::Path) -> std::io::Result<()> {
        std::fs::create_dir_all(target)?;
        for entry in std::fs::read_dir(&self.host_files)? {
            let entry = entry?;
            std::fs::copy(entry.path(), target.join(entry.file_name()))?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), SoakError> {
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        loop {
            let mut ready_count = 0;
            for host in &self.hosts {
                let ready_address = host.process.borrow().addresses.ready();
                ready_count += usize::from(is_ready(ready_address, POLL_INTERVAL_MS * 3).await);
            }
            if ready_count == self.hosts.len() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(SoakError::NotReady(READY_TIMEOUT_MS));
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}

/// Creates an instance that is listed at the address of its proxy.
fn new_instance(net: u8, index: usize) -> Rc<InstanceStandin> {
    let last_octet = index as u8 + 1;
    let address = SocketAddr::from(([127, net, 2, last_octet], INSTANCE_PORT));
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    Rc::new(InstanceStandin {
        listed_address: SocketAddr::from(([127, net, 4, last_octet], INSTANCE_PORT)),
        ..InstanceStandin::new(
            format!("i-{index}"),
            SERVICE,
            address,
            data_centre,
            EXECUTION_MS,
        )
    })
}

/// Creates the configuration `version`, without the revocable key unless `with_all_keys`.
fn new_config(version: u64, mode: SoakMode, with_all_keys: bool) -> StandinConfig {
    let workspace = |name, rate, burst| StandinWorkspace {
        name,
        keys: vec![workspace_key(name)],
        rate_per_s: rate,
        burst,
    };
    let mut workspaces = vec![
        workspace("depot", 0.0, 0.0),
        workspace(LIMITED_WORKSPACE, LIMIT_PER_S, LIMIT_BURST),
    ];
    if with_all_keys {
        workspaces.push(workspace(REVOCABLE_WORKSPACE, 0.0, 0.0));
    }
    StandinConfig {
        version,
        host_name: HOST_NAME,
        service: SERVICE,
        timeout_ms: route_timeout_ms(mode),
        workspaces,
        version_key: mode.has_drills().then(|| workspace_key(VERSION_WORKSPACE)),
    }
}

/// Milliseconds after which hosts give up on a request.
fn route_timeout_ms(mode: SoakMode) -> u64 {
    match mode {
        SoakMode::Single => DEADLINE_MS,
        SoakMode::Series | SoakMode::Drill | SoakMode::Paths | SoakMode::Needs => SERIES_TIMEOUT_MS,
    }
}

/// Runs the server of a stand-in or link proxy until the process ends.
///
/// The system closes the listeners of a run some time after its end, so the first attempts of the
/// next run may find the address in use.
fn spawn_server<S: Future<Output = Result<(), TransportError>>>(serve: impl Fn() -> S + 'static) {
    let server_task = async move {
        let deadline = Instant::now() + Duration::from_millis(LISTEN_TIMEOUT_MS);
        while let Err(error) = serve().await {
            if Instant::now() > deadline {
                eprintln!("server of a stand-in or link proxy stopped: {error}");
                return;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    };
    compio::runtime::spawn(server_task).detach();
}
