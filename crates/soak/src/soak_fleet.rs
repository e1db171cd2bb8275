//! Store, instances, proxies and host processes of one run.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
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

use crate::CallLedger;
use crate::ExcusedSpan;
use crate::RanRecord;
use crate::SoakError;
use crate::SoakSize;
use crate::caller_load::key_of;
use crate::link_proxy::LinkProxy;
use crate::promise_check::LIMIT_BURST;
use crate::promise_check::LIMIT_PER_S;
use crate::promise_check::LIMITED;

/// Host name that callers send.
pub(crate) const HOST_NAME: &str = "ledger.example";

/// Milliseconds that a caller waits, and after which the routes end a request.
pub(crate) const DEADLINE_MS: u64 = 1_500;

/// Workspace whose key may be withdrawn.
pub(crate) const WITHDRAWN: &str = "installer";

const SERVICE: &str = "ledger";
pub(crate) const CENTRES: [&str; 2] = ["north", "south"];
const INSTANCE_PORT: u16 = 9_000;
const STORE_PORT: u16 = 9_100;
const WORK_MS: u64 = 20;
const READY_MS: u64 = 15_000;
const LOOK_EVERY_MS: u64 = 100;

/// Version of the first configuration; later ones grow in uneven steps.
const FIRST_VERSION: u64 = 3;
const VERSION_STEP: u64 = 3;

/// A host process and whether it may be down.
pub(crate) struct SoakHost {
    pub(crate) process: RefCell<HostProcess>,
    /// Troubles that keep it down.
    pub(crate) held_down: Cell<u32>,
}

/// Store, instances, proxies and host processes of one run.
pub(crate) struct SoakFleet {
    pub(crate) size: SoakSize,
    pub(crate) store: Rc<StoreStandin>,
    pub(crate) instances: Vec<Rc<InstanceStandin>>,
    pub(crate) instance_links: Vec<Rc<LinkProxy>>,
    pub(crate) store_links: Vec<Rc<LinkProxy>>,
    pub(crate) hosts: Vec<SoakHost>,
    pub(crate) ledger: RefCell<CallLedger>,
    pub(crate) is_hot: Cell<bool>,
    pub(crate) is_over: Cell<bool>,
    version: Cell<u64>,
    started: Instant,
    net: u8,
    folder: PathBuf,
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        // Logs of a run that broke a promise were copied before.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl SoakFleet {
    /// Starts everything in the loopback net `net` and waits until all hosts are ready.
    pub(crate) async fn start(net: u8, size: SoakSize) -> Result<Rc<Self>, SoakError> {
        let name = format!("crocushoist-soak-{net}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let store = Rc::new(StoreStandin::default());
        let store_address = SocketAddr::from(([127, net, 0, 1], STORE_PORT));
        spawn_served(Rc::clone(&store).serve(store_address));
        let mut instances = Vec::new();
        let mut instance_links = Vec::new();
        for index in 0..size.instances {
            let instance = new_instance(net, index);
            spawn_served(Rc::clone(&instance).serve());
            let link = LinkProxy::new(instance.listed_address, instance.address);
            spawn_served(Rc::clone(&link).serve());
            compio::runtime::spawn(Rc::clone(&instance).publish_entries(Rc::clone(&store)))
                .detach();
            instances.push(instance);
            instance_links.push(link);
        }
        let mut store_links = Vec::new();
        let mut hosts = Vec::new();
        store.write_config(&new_config(FIRST_VERSION, true));
        for index in 0..size.hosts {
            let near = SocketAddr::from(([127, net, 3, index as u8 + 1], STORE_PORT));
            let link = LinkProxy::new(near, store_address);
            spawn_served(Rc::clone(&link).serve());
            store_links.push(link);
            let ip = Ipv4Addr::new(127, net, 1, index as u8 + 1);
            let centre = CENTRES[index % CENTRES.len()];
            let process = HostProcess::start(folder.clone(), ip, centre, near)?;
            hosts.push(SoakHost {
                process: RefCell::new(process),
                held_down: Cell::new(0),
            });
        }
        let fleet = Rc::new(SoakFleet {
            size,
            store,
            instances,
            instance_links,
            store_links,
            hosts,
            ledger: RefCell::default(),
            is_hot: Cell::new(false),
            is_over: Cell::new(false),
            version: Cell::new(FIRST_VERSION),
            started: Instant::now(),
            net,
            folder,
        });
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Milliseconds since the start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Where callers ask the host `index` for addresses.
    pub(crate) fn directory(&self, index: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, 1, index as u8 + 1);
        HostAddresses { ip }.directory()
    }

    /// Host that listens at `address`.
    pub(crate) fn host_of(&self, address: SocketAddr) -> usize {
        match address {
            SocketAddr::V4(address) => usize::from(address.ip().octets()[3]) - 1,
            SocketAddr::V6(_) => unreachable!("hosts listen on IPv4"),
        }
    }

    /// Writes the next version; the key of one workspace is in it while `with_all_keys`.
    pub(crate) fn write_next_version(&self, with_all_keys: bool) {
        self.version.set(self.version.get() + VERSION_STEP);
        let config = new_config(self.version.get(), with_all_keys);
        self.store.write_config(&config);
    }

    /// Notes that a host may leave requests without an answer from `from_ms` until now.
    pub(crate) fn excuse(&self, host: usize, from_ms: u64, is_planned: bool) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.excused.push(ExcusedSpan {
            host,
            millis: from_ms..self.now_ms(),
            is_planned,
        });
    }

    /// Notes and restarts hosts that ended without being asked to, until the run is over.
    pub(crate) async fn watch_hosts(self: Rc<Self>) {
        while !self.is_over.get() {
            for (index, host) in self.hosts.iter().enumerate() {
                let mut process = host.process.borrow_mut();
                if host.held_down.get() > 0 || !process.has_ended() {
                    continue;
                }
                let mut ledger = self.ledger.borrow_mut();
                ledger.ended_by_themselves.push(index);
                drop(ledger);
                if let Err(error) = process.restart() {
                    eprintln!("host {index} cannot be started again: {error}");
                }
            }
            sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }

    /// Moves what the instances ran into the ledger.
    pub(crate) fn collect_runs(&self) {
        let mut ledger = self.ledger.borrow_mut();
        for instance in &self.instances {
            let ran = instance.executed_requests.borrow();
            ledger.ran.extend(ran.iter().map(|ran| RanRecord {
                attempt: ran.attempt_id.clone(),
                workspace: ran.workspace.clone(),
                saw_key: ran.received_key,
                at_ms: ran.executed_at.duration_since(self.started).as_millis() as u64,
            }));
        }
    }

    /// Copies the hosts' logs to `target`.
    pub(crate) fn keep_logs(&self, target: &std::path::Path) -> std::io::Result<()> {
        std::fs::create_dir_all(target)?;
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            std::fs::copy(entry.path(), target.join(entry.file_name()))?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), SoakError> {
        let until = Instant::now() + Duration::from_millis(READY_MS);
        loop {
            let mut ready = 0;
            for host in &self.hosts {
                let address = host.process.borrow().addresses.ready();
                ready += usize::from(is_ready(address, LOOK_EVERY_MS * 3).await);
            }
            if ready == self.hosts.len() {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(SoakError::NotReady(READY_MS));
            }
            sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
    }
}

fn new_instance(net: u8, index: usize) -> Rc<InstanceStandin> {
    let last = index as u8 + 1;
    let address = SocketAddr::from(([127, net, 2, last], INSTANCE_PORT));
    let centre = CENTRES[index % CENTRES.len()];
    Rc::new(InstanceStandin {
        listed_address: SocketAddr::from(([127, net, 4, last], INSTANCE_PORT)),
        ..InstanceStandin::new(format!("i-{index}"), SERVICE, address, centre, WORK_MS)
    })
}

/// Configuration of `version`; the key of one workspace is in it while `with_all_keys`.
fn new_config(version: u64, with_all_keys: bool) -> StandinConfig {
    let workspace = |name, rate, burst| StandinWorkspace {
        name,
        keys: vec![key_of(name)],
        rate_per_s: rate,
        burst,
    };
    let mut workspaces = vec![
        workspace("depot", 0.0, 0.0),
        workspace(LIMITED, LIMIT_PER_S, LIMIT_BURST),
    ];
    if with_all_keys {
        workspaces.push(workspace(WITHDRAWN, 0.0, 0.0));
    }
    StandinConfig {
        version,
        host_name: HOST_NAME,
        service: SERVICE,
        timeout_ms: DEADLINE_MS,
        workspaces,
    }
}

fn spawn_served(serving: impl Future<Output = Result<(), TransportError>> + 'static) {
    let task = async move {
        if let Err(error) = serving.await {
            eprintln!("stand-in ended: {error}");
        }
    };
    compio::runtime::spawn(task).detach();
}
