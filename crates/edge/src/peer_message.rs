//! Datagrams between hosts.
//!
//! Each host reports to the hub of its data centre and gets an answer; hubs
//! tell each other the sums of their data centres. A lost datagram is made
//! good by the next one, because counters only grow and changes of the list
//! are told from the offset that the reporter names.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceState;
use crocushoist_policy::OutcomeCounts;
use crocushoist_policy::Presence;
use crocushoist_policy::WorkspaceUse;
use crocushoist_state::ClockTime;

/// Datagram between hosts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A host to the hub of its data centre.
    Report(HostReport),
    /// The hub to the host.
    Answer(HubAnswer),
    /// A hub to another data centre's hub.
    Summary(HubSummary),
}

/// What a host tells its hub.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostReport {
    /// Number of the report.
    pub(crate) number: u32,
    /// Start of the host.
    pub(crate) incarnation: u64,
    /// Whether a hub answered it since, and so counted what it did.
    pub(crate) is_counted: bool,
    /// Where callers connect, unless the host takes none.
    pub(crate) callers: Option<SocketAddr>,
    /// Offset up to which it knows the list of instances.
    pub(crate) listing_offset: u64,
    /// Hash of the hosts that it knows.
    pub(crate) fleet_hash: u32,
    /// Counters of workspaces.
    pub(crate) uses: Vec<WireWorkspaceUse>,
    /// Outcomes since the last report.
    pub(crate) outcomes: Vec<WireOutcomes>,
    /// Requests in flight by instance.
    pub(crate) in_flight: Vec<(u32, u32)>,
}

/// What a hub answers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HubAnswer {
    /// Number of the report that is answered.
    pub(crate) number: u32,
    /// Whether the host that answers follows another hub itself.
    pub(crate) is_follower: bool,
    /// Whether it is about to stop.
    pub(crate) is_leaving: bool,
    /// Version of the hub's configuration.
    pub(crate) config_version: u64,
    /// Age of its proof in milliseconds.
    pub(crate) evidence_age: Option<u64>,
    /// Changed entries of the list.
    pub(crate) rows: Vec<WireListing>,
    /// Offset up to which the rows are whole.
    pub(crate) listing_offset: u64,
    /// Milliseconds since the hub's list was known to be whole, `None` if the rows are not.
    pub(crate) listing_age: Option<u64>,
    /// Workspaces of which only a share is admitted, in thousandths; `None` if the hub is young.
    pub(crate) shares: Option<Vec<(u32, u16)>>,
    /// Beliefs about instances.
    pub(crate) beliefs: Vec<WireEstimate>,
    /// Suspected instances that the reporter shall try.
    pub(crate) trials: Vec<u32>,
    /// Hosts that take callers, if the reporter knows others.
    pub(crate) fleet: Option<Vec<(CompactString, SocketAddr)>>,
    /// Hash of these hosts.
    pub(crate) fleet_hash: u32,
}

/// What a hub tells another data centre's hub.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HubSummary {
    /// Start of the host.
    pub(crate) incarnation: u64,
    /// Data centre that it speaks for.
    pub(crate) data_centre: CompactString,
    /// Hosts that take callers, told now and then.
    pub(crate) hosts: Option<Vec<SocketAddr>>,
    /// Counters of workspaces.
    pub(crate) uses: Vec<WireWorkspaceUse>,
    /// Other hubs that it hears; the receiver may not know them.
    pub(crate) heard_hubs: Vec<SocketAddr>,
    /// Outcomes since the last summary.
    pub(crate) outcomes: Vec<WireOutcomes>,
    /// Hosts that report to the hub.
    pub(crate) reporters: u32,
    /// Requests in flight from these hosts by instance.
    pub(crate) in_flight: Vec<(u32, u32)>,
}

/// Counters of a workspace.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireWorkspaceUse(u32, u32, u32, Option<u32>);

impl From<&WorkspaceUse> for WireWorkspaceUse {
    fn from(used: &WorkspaceUse) -> Self {
        WireWorkspaceUse(used.workspace, used.admitted, used.refused, used.in_window)
    }
}

impl From<&WireWorkspaceUse> for WorkspaceUse {
    fn from(wire: &WireWorkspaceUse) -> Self {
        WorkspaceUse {
            workspace: wire.0,
            admitted: wire.1,
            refused: wire.2,
            in_window: wire.3,
        }
    }
}

/// Outcomes at one instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireOutcomes {
    instance: u32,
    good: u32,
    late: u32,
    failed: u32,
    unreachable: u32,
    latency_sum_ms: u32,
}

impl From<&(u32, OutcomeCounts)> for WireOutcomes {
    fn from((instance, counts): &(u32, OutcomeCounts)) -> Self {
        WireOutcomes {
            instance: *instance,
            good: counts.good,
            late: counts.late,
            failed: counts.failed,
            unreachable: counts.unreachable,
            latency_sum_ms: counts.latency_sum_ms,
        }
    }
}

impl From<&WireOutcomes> for (u32, OutcomeCounts) {
    fn from(wire: &WireOutcomes) -> Self {
        let counts = OutcomeCounts {
            good: wire.good,
            late: wire.late,
            failed: wire.failed,
            unreachable: wire.unreachable,
            latency_sum_ms: wire.latency_sum_ms,
        };
        (wire.instance, counts)
    }
}

/// What a hub believes of an instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireEstimate {
    /// Hash of its id.
    pub(crate) instance: u32,
    /// Probability in thousandths that it is faulty.
    pub(crate) faulty: u16,
    /// Smoothed latency in milliseconds.
    pub(crate) latency_ms: u16,
    /// Requests in flight from all hosts.
    pub(crate) load: u16,
    /// Requests in flight that the reporter's report named.
    pub(crate) own_load: u16,
}

/// Entry of the list.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireListing {
    /// Offset after which it last changed.
    pub(crate) changed_at: u64,
    id: CompactString,
    born: u64,
    seq: u64,
    service: CompactString,
    address: SocketAddr,
    data_centre: CompactString,
    slots: u32,
    leaving: bool,
    warm_up_ms: u64,
    presence: WirePresence,
}

#[derive(Debug, Serialize, Deserialize)]
enum WirePresence {
    Listed,
    Lapsing(u64),
    Gone,
}

impl WireListing {
    /// Row of `state` at `now`.
    pub(crate) fn new(state: &InstanceState, now: ClockTime) -> Self {
        let listing = &state.listing;
        WireListing {
            changed_at: state.changed_at,
            id: listing.id.clone(),
            born: listing.born,
            seq: listing.seq,
            service: listing.service.clone(),
            address: listing.address,
            data_centre: listing.data_centre.clone(),
            slots: listing.slots,
            leaving: listing.leaving,
            warm_up_ms: state.warm_up_ms(now),
            presence: match state.presence {
                Presence::Listed => WirePresence::Listed,
                Presence::Lapsing(until) => WirePresence::Lapsing(until.since(now)),
                Presence::Gone => WirePresence::Gone,
            },
        }
    }

    /// Whether the instance is in the list.
    pub(crate) fn presence(&self, now: ClockTime) -> Presence {
        match self.presence {
            WirePresence::Listed => Presence::Listed,
            WirePresence::Lapsing(millis) => Presence::Lapsing(now.plus(millis)),
            WirePresence::Gone => Presence::Gone,
        }
    }
}

impl From<WireListing> for InstanceListing {
    fn from(row: WireListing) -> Self {
        InstanceListing {
            id: row.id,
            born: row.born,
            seq: row.seq,
            service: row.service,
            address: row.address,
            data_centre: row.data_centre,
            slots: row.slots,
            leaving: row.leaving,
            warm_up_ms: row.warm_up_ms,
        }
    }
}
