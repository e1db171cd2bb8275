//! Callers that use open connections until the host closes them or is gone.
//!
//! They pause for a short time only, so that many of their calls are in
//! progress whenever a host stops. Their calls keep instances at work for
//! different times and have different deadlines. Some callers keep addresses
//! for long, some open a connection for each call.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_platform_standin::CallerConnection;
use crocushoist_platform_standin::CallerRequest;
use crocushoist_platform_standin::resolve_addresses;

use crate::CallOutcome;
use crate::CallRecord;
use crate::SoakMode;
use crate::caller_load::workspace_key;
use crate::promise_check::LIMITED_WORKSPACE;
use crate::soak_fleet::DATA_CENTRES;
use crate::soak_fleet::HOST_NAME;
use crate::soak_fleet::REVOCABLE_WORKSPACE;
use crate::soak_fleet::SoakFleet;
use crate::version_check::VERSION_WORKSPACE;

/// Milliseconds that a caller waits for a connection.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds that a caller waits for addresses.
const RESOLVE_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds after its deadline at which a caller gives up.
const PATIENCE_MS: u64 = 800;

/// Longest pause in milliseconds after a response.
const MAX_PAUSE_MS: u64 = 40;

/// Longest pause in milliseconds after a call that was not served.
const MAX_BACKOFF_MS: u64 = 300;

/// Milliseconds of the deadlines of calls.
const DEADLINES_MS: [u64; 4] = [600, 1_500, 2_500, 4_000];

/// Milliseconds for which calls keep an instance at work.
const WORKS_MS: [u64; 8] = [20, 20, 20, 60, 150, 400, 800, 1_500];

/// Workspaces that are assigned to the callers in turn.
const WORKSPACES: [&str; 6] = [
    "depot",
    "depot",
    REVOCABLE_WORKSPACE,
    "depot",
    "depot",
    LIMITED_WORKSPACE,
];

/// Workspaces that are assigned to the callers in turn in the drill mode.
const DRILL_WORKSPACES: [&str; 6] = [
    "depot",
    VERSION_WORKSPACE,
    REVOCABLE_WORKSPACE,
    "depot",
    VERSION_WORKSPACE,
    LIMITED_WORKSPACE,
];

/// How a caller uses addresses and connections.
struct CallerHabits {
    /// Milliseconds for which it uses addresses.
    address_lifetime_ms: u64,
    /// Whether it opens a connection for each call.
    has_new_connections: bool,
    /// Whether it leaves a connection to a host that is missing from new addresses.
    follows_addresses: bool,
}

const HABITS: [CallerHabits; 4] = [
    CallerHabits {
        address_lifetime_ms: 2_000,
        has_new_connections: false,
        follows_addresses: false,
    },
    CallerHabits {
        address_lifetime_ms: 15_000,
        has_new_connections: false,
        follows_addresses: false,
    },
    CallerHabits {
        address_lifetime_ms: 15_000,
        has_new_connections: true,
        follows_addresses: false,
    },
    CallerHabits {
        address_lifetime_ms: 2_000,
        has_new_connections: false,
        follows_addresses: true,
    },
];

/// Caller with its addresses and its connection.
struct LastingCaller {
    fleet: Rc<SoakFleet>,
    index: usize,
    rng: ChaCha8Rng,
    habits: &'static CallerHabits,
    workspace: &'static str,
    addresses: Vec<SocketAddr>,
    resolved_ms: u64,
    connection: Option<CallerConnection>,
    call_count: u64,
}

/// Sends calls as the caller with index `caller_index` until the run is over.
pub(crate) async fn run_lasting_caller(fleet: Rc<SoakFleet>, seed: u64, caller_index: usize) {
    let caller_seed = seed ^ (caller_index as u64 + 1).wrapping_mul(0x9e37_79b9);
    let workspaces = match fleet.mode {
        SoakMode::Single | SoakMode::Series | SoakMode::Needs => WORKSPACES,
        SoakMode::Drill | SoakMode::Paths => DRILL_WORKSPACES,
    };
    let mut caller = LastingCaller {
        index: caller_index,
        rng: ChaCha8Rng::seed_from_u64(caller_seed),
        habits: &HABITS[caller_index % HABITS.len()],
        workspace: workspaces[caller_index % workspaces.len()],
        addresses: Vec::new(),
        resolved_ms: 0,
        connection: None,
        call_count: 0,
        fleet,
    };
    while !caller.fleet.is_over.get() {
        let is_served = caller.make_call().await;
        let max_pause_ms = if is_served {
            MAX_PAUSE_MS
        } else {
            MAX_BACKOFF_MS
        };
        let pause_ms = caller.rng.random_range(0..max_pause_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

impl LastingCaller {
    /// Sends one call and returns whether it was served.
    async fn make_call(&mut self) -> bool {
        self.refresh_addresses().await;
        self.call_count += 1;
        let is_at_most_once = self.rng.random_bool(0.5);
        let deadline_ms = DEADLINES_MS[self.rng.random_range(0..DEADLINES_MS.len())];
        let work_ms = WORKS_MS[self.rng.random_range(0..WORKS_MS.len())].min(deadline_ms / 2);
        let route = if is_at_most_once { "book" } else { "read" };
        let mut record = CallRecord {
            attempt_id: format!("{:04x}{:012x}", self.index, self.call_count),
            is_at_most_once,
            workspace: self.workspace,
            host: 0,
            is_kept: false,
            sent_ms: self.fleet.now_ms(),
            last_byte_ms: self.fleet.now_ms(),
            ended_ms: 0,
            deadline_ms: deadline_ms.min(self.fleet.route_timeout_ms()),
            outcome: CallOutcome::NotConnected,
            is_from_host: false,
            leaving_instance: None,
        };
        let kept = self.connection.take();
        let mut connection = match kept.filter(CallerConnection::is_usable) {
            Some(connection) => connection,
            None => match self.connect(&mut record).await {
                Some(connection) => connection,
                None => return false,
            },
        };
        // The time for which the connection was opened excuses no host.
        record.sent_ms = self.fleet.now_ms();
        record.host = self.fleet.host_at(connection.address());
        record.is_kept = connection.response_count > 0;
        let key = workspace_key(self.workspace);
        let request = CallerRequest {
            host_name: HOST_NAME,
            path: &format!("/{route}/work-{work_ms}"),
            attempt_id: &record.attempt_id,
            key: &key,
            deadline_ms,
            body: record.attempt_id.as_bytes(),
        };
        let (response, sent_at) = connection.send(request, deadline_ms + PATIENCE_MS).await;
        let Some(sent_at) = sent_at else {
            return false;
        };
        record.last_byte_ms = self.fleet.ms_at(sent_at);
        record.outcome = match &response {
            Some(response) => CallOutcome::Responded {
                status: response.status.as_u16(),
                is_intact: request.is_intact(response),
            },
            None => CallOutcome::NoResponse,
        };
        record.is_from_host = response
            .as_ref()
            .is_some_and(|response| !CallerRequest::is_signed(response));
        let leaving_id = response.as_ref().and_then(CallerRequest::leaving_instance);
        record.leaving_instance = leaving_id.and_then(|id| self.fleet.instance_index(id));
        if response.is_none() {
            self.avoid_host(connection.address());
        } else if !self.habits.has_new_connections {
            self.connection = Some(connection);
        }
        self.record_call(record);
        response.is_some_and(|response| response.status.is_success())
    }

    /// Opens a connection to one of the addresses, and records a failure to do so as a call.
    async fn connect(&mut self, record: &mut CallRecord) -> Option<CallerConnection> {
        let count = self.addresses.len();
        let address = *self.addresses.get(self.rng.random_range(0..count.max(1)))?;
        record.host = self.fleet.host_at(address);
        let opened = CallerConnection::open(address, CONNECT_TIMEOUT_MS).await;
        if opened.is_err() {
            self.avoid_host(address);
            self.record_call(record.clone());
        }
        opened.ok()
    }

    fn record_call(&self, mut record: CallRecord) {
        record.ended_ms = self.fleet.now_ms();
        self.fleet.history.borrow_mut().calls.push(record);
    }

    fn avoid_host(&mut self, address: SocketAddr) {
        self.addresses.retain(|known| *known != address);
    }

    /// Asks a host for addresses if there are none left or their lifetime is over.
    async fn refresh_addresses(&mut self) {
        let is_old = self.fleet.now_ms() > self.resolved_ms + self.habits.address_lifetime_ms;
        if !self.addresses.is_empty() && !is_old {
            return;
        }
        let host = self.rng.random_range(0..self.fleet.size.hosts);
        let directory = self.fleet.directory_address(host);
        let data_centre = DATA_CENTRES[self.index % DATA_CENTRES.len()];
        let resolved =
            resolve_addresses(directory, HOST_NAME, data_centre, RESOLVE_TIMEOUT_MS).await;
        if resolved.is_empty() {
            return;
        }
        self.addresses = resolved;
        self.resolved_ms = self.fleet.now_ms();
        if self.habits.follows_addresses {
            let addresses = &self.addresses;
            self.connection = self
                .connection
                .take()
                .filter(|connection| addresses.contains(&connection.address()));
        }
    }
}
