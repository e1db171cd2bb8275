//! Datagrams between hosts.
//!
//! Each host reports to the hub of its data centre and gets an answer; hubs
//! send each other the sums over their data centres. A lost datagram is made up
//! for by the next one, because the counters of workspaces are cumulative and
//! an answer has every change of the instance list from the offset that the
//! report names. The outcomes at instances are the exception: they are counted
//! since the last message.
//!
//! The encoding is positional: the order of variants and fields is the format.
//! Hosts of two builds run side by side in an upgrade, so what is new goes into the
//! notes after the message, see [`crate::peer_notes`].
//! Some fields have names of their own: `uses` holds the requests of workspaces,
//! `rows` the instance entries, `beliefs` the estimates of instances, `fleet` the
//! advertised hosts and `heard_hubs` the reachable hubs.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_policy::DepartureNotice;
use crocushoist_policy::HostRegistration;
use crocushoist_policy::HostRoster;
use crocushoist_policy::InstanceListing;
use crocushoist_policy::InstanceState;
use crocushoist_policy::OutcomeCounts;
use crocushoist_policy::Presence;
use crocushoist_policy::PresenceEvidence;
use crocushoist_policy::RelayedListing;
use crocushoist_policy::RetryCounts;
use crocushoist_policy::RetryGrant;
use crocushoist_policy::ServiceCounts;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_policy::TrialOffer;
use crocushoist_policy::WindowHistory;
use crocushoist_policy::WorkspaceCounts;
use crocushoist_state::ClockTime;

/// Datagram between hosts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// From a host to the hub of its data centre.
    Report(HostReport),
    /// From the hub, as answer to a report.
    Answer(HubAnswer),
    /// From a hub to a hub of another data centre, or to another host that may act as hub.
    Summary(HubSummary),
    /// From a host that looks for a live one. Hosts of earlier builds cannot decode it and stay
    /// silent.
    Probe,
    /// From a host that can be hub, as answer to a probe.
    ProbeAnswer(ProbeAnswer),
}

/// Answer to a probe.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ProbeAnswer {
    /// Hub of the answering host, maybe itself.
    pub(crate) hub: Option<SocketAddr>,
}

/// Report of a host to its hub.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HostReport {
    /// Sequence number of the report.
    pub(crate) number: u32,
    /// Random number that identifies this start of the host.
    pub(crate) incarnation: u64,
    /// Whether no answer of this hub has arrived yet.
    pub(crate) is_first: bool,
    /// Whether a hub has answered, and so counted, a report since this start.
    pub(crate) is_counted: bool,
    /// Address for callers, `None` if address lookups should not return the host.
    pub(crate) callers: Option<SocketAddr>,
    /// Offset up to which the host knows the instance list.
    pub(crate) listing_offset: WireOffset,
    /// Milliseconds since the host knew every change of the instance list.
    pub(crate) listing_age: Option<u64>,
    /// Version of the host's configuration.
    pub(crate) config_version: u64,
    /// Milliseconds since the host knew that it had not missed a configuration.
    pub(crate) evidence_age: Option<u64>,
    /// Hash of the hosts that its address lookups return.
    pub(crate) fleet_hash: u32,
    /// Requests of workspaces and retries at services since the start of the host.
    pub(crate) uses: Vec<WireWorkspaceCounts>,
    /// Whether `uses` has all of them, or only those that changed since the last report.
    pub(crate) has_all_uses: bool,
    /// Outcomes of attempts at instances since the last report.
    pub(crate) outcomes: Vec<WireOutcomes>,
    /// Requests in flight by the hash of the instance's id.
    pub(crate) in_flight: Vec<(u32, u32)>,
    /// Instances, by the hash of the id, whose trials the host used since the last report.
    pub(crate) used_trials: Vec<u32>,
    /// Requests that ended since the last report, by service.
    pub(crate) services: Vec<WireServiceCounts>,
    /// Starts of instances that are leaving, as far as the host knows.
    pub(crate) departures: Vec<WireDeparture>,
    /// Requests and retries of the last window of the retry budget, by service.
    pub(crate) retries: Vec<WireRetryCounts>,
    /// Sequence number of the report whose answer had the retry grants in force.
    pub(crate) retry_granted: u32,
    /// What the host knows of its retries in the last window.
    pub(crate) retry_history: WireHistory,
}

/// Answer of a hub to a report.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HubAnswer {
    /// Sequence number of the report.
    pub(crate) number: u32,
    /// Whether the answering host does not act as hub.
    pub(crate) is_follower: bool,
    /// Hub of the answering host, if it is another host.
    pub(crate) hub: Option<WireHub>,
    /// Whether the answering host is stopping.
    pub(crate) is_leaving: bool,
    /// Version of the hub's configuration.
    pub(crate) config_version: u64,
    /// Milliseconds since the hub knew that it had not missed a configuration.
    pub(crate) evidence_age: Option<u64>,
    /// Instances whose entries changed, by the offset of the change.
    pub(crate) rows: Vec<WireListing>,
    /// Offset up to which `rows` has every change.
    pub(crate) listing_offset: WireOffset,
    /// Milliseconds since the hub knew every change of the instance list, `None` if `rows` leaves
    /// some out.
    pub(crate) listing_age: Option<u64>,
    /// Whether the hub reads the instance list from the store.
    pub(crate) reads_listing: bool,
    /// Whether the reporter must fetch the whole list, because the hub does not know or relay all
    /// changes since the reporter's offset.
    pub(crate) needs_full_list: bool,
    /// Whether the store lost the registration of the reporter.
    pub(crate) must_register: bool,
    /// Shares below 1000 thousandths by the hash of the workspace's name, `None` while the hub is
    /// warming up.
    pub(crate) shares: Option<Vec<(u32, u16)>>,
    /// Estimates of instances that changed, and of some others.
    pub(crate) beliefs: Vec<WireEstimate>,
    /// Suspected instances to which the reporter may send a trial request.
    pub(crate) trials: Vec<WireTrial>,
    /// Hosts that accept callers, `None` if the reporter already has the list.
    pub(crate) fleet: Option<WireFleet>,
    /// Hash of these hosts.
    pub(crate) fleet_hash: u32,
    /// Starts of instances that are leaving, as far as the hub knows.
    pub(crate) departures: Vec<WireDeparture>,
    /// Retries that the reporter may send, by service; empty while the hub is warming up.
    pub(crate) retry_grants: Vec<WireRetryGrant>,
}

/// Summary of a hub's data centre for another hub.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HubSummary {
    /// Random number that identifies this start of the hub.
    pub(crate) incarnation: u64,
    /// Data centre that the summary is for.
    pub(crate) data_centre: CompactString,
    /// Hosts that accept callers, not sent every time.
    pub(crate) hosts: Option<Vec<SocketAddr>>,
    /// Requests of workspaces and retries at services, summed over the data centre.
    pub(crate) uses: Vec<WireWorkspaceCounts>,
    /// Whether `uses` has all of them, or only those that changed since the last summary.
    pub(crate) has_all_uses: bool,
    /// Other hubs that sent a summary recently; the receiver may not know them.
    pub(crate) heard_hubs: Vec<SocketAddr>,
    /// Outcomes of attempts at instances since the last summary.
    pub(crate) outcomes: Vec<WireOutcomes>,
    /// Requests that ended since the last summary, by service.
    pub(crate) services: Vec<WireServiceCounts>,
    /// Number of hosts that report to the hub.
    pub(crate) reporters: u32,
    /// Requests in flight from these hosts by the hash of the instance's id.
    pub(crate) in_flight: Vec<(u32, u32)>,
    /// Starts of instances that are leaving, as far as the hub knows.
    pub(crate) departures: Vec<WireDeparture>,
}

/// Hosts that accept callers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireFleet {
    /// Data centre and address for callers of each host.
    pub(crate) hosts: Vec<(CompactString, SocketAddr)>,
    /// Data centres that have too few of them for their own callers.
    pub(crate) short_centres: Vec<CompactString>,
}

/// Era of the store and number of the position within it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WireOffset(u64, u64);

impl From<StoreOffset> for WireOffset {
    fn from(offset: StoreOffset) -> Self {
        WireOffset(offset.era.0, offset.number())
    }
}

impl From<WireOffset> for StoreOffset {
    fn from(wire: WireOffset) -> Self {
        StoreOffset::new(StoreEra(wire.0), wire.1)
    }
}

/// Registration of a host and its offset in the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireHub {
    offset: WireOffset,
    callers: SocketAddr,
    peers: SocketAddr,
    data_centre: CompactString,
    capacity: u32,
    incarnation: u64,
    era: u64,
}

impl WireHub {
    /// The host registered as `registration` at `offset`.
    pub(crate) fn new(offset: StoreOffset, registration: &HostRegistration) -> Self {
        WireHub {
            offset: offset.into(),
            callers: registration.caller_address,
            peers: registration.peer_address,
            data_centre: registration.data_centre.clone(),
            capacity: registration.capacity,
            incarnation: registration.incarnation,
            era: registration.era.0,
        }
    }

    /// Address of the host for datagrams.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Adds the host to `roster`.
    pub(crate) fn apply(self, roster: &mut HostRoster) {
        let registration = HostRegistration {
            caller_address: self.callers,
            peer_address: self.peers,
            data_centre: self.data_centre,
            capacity: self.capacity,
            incarnation: self.incarnation,
            era: StoreEra(self.era),
        };
        roster.apply_registration(self.offset.into(), registration);
    }
}

/// Hash of a workspace's name, its admitted and refused requests, and its requests in the current
/// window if known.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireWorkspaceCounts(u32, u32, u32, Option<u32>);

impl From<&WorkspaceCounts> for WireWorkspaceCounts {
    fn from(counts: &WorkspaceCounts) -> Self {
        WireWorkspaceCounts(
            counts.workspace,
            counts.admitted,
            counts.refused,
            counts.in_window,
        )
    }
}

impl From<&WireWorkspaceCounts> for WorkspaceCounts {
    fn from(wire: &WireWorkspaceCounts) -> Self {
        WorkspaceCounts {
            workspace: wire.0,
            admitted: wire.1,
            refused: wire.2,
            in_window: wire.3,
        }
    }
}

/// Hash of a service's name, its requests that ended and those of them that were not served.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireServiceCounts(u32, u32, u32);

impl From<&ServiceCounts> for WireServiceCounts {
    fn from(counts: &ServiceCounts) -> Self {
        WireServiceCounts(counts.service, counts.requests, counts.unserved)
    }
}

impl From<&WireServiceCounts> for ServiceCounts {
    fn from(wire: &WireServiceCounts) -> Self {
        ServiceCounts {
            service: wire.0,
            requests: wire.1,
            unserved: wire.2,
        }
    }
}

/// Hash of a service's name, its requests and its retries in the last window, and its retries since
/// the start of the host.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireRetryCounts(u32, u32, u32, u32);

impl From<&RetryCounts> for WireRetryCounts {
    fn from(counts: &RetryCounts) -> Self {
        WireRetryCounts(counts.service, counts.requests, counts.retries, counts.sent)
    }
}

impl From<&WireRetryCounts> for RetryCounts {
    fn from(wire: &WireRetryCounts) -> Self {
        RetryCounts {
            service: wire.0,
            requests: wire.1,
            retries: wire.2,
            sent: wire.3,
        }
    }
}

/// Hash of a service's name, and the retries since the start of the host up to which it may send
/// them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireRetryGrant(u32, u32);

impl From<&RetryGrant> for WireRetryGrant {
    fn from(grant: &RetryGrant) -> Self {
        WireRetryGrant(grant.service, grant.ceiling)
    }
}

impl From<&WireRetryGrant> for RetryGrant {
    fn from(wire: &WireRetryGrant) -> Self {
        RetryGrant {
            service: wire.0,
            ceiling: wire.1,
        }
    }
}

/// What a host knows of its retries in the last window.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum WireHistory {
    Complete,
    FirstStart,
    Lost,
}

impl From<WindowHistory> for WireHistory {
    fn from(history: WindowHistory) -> Self {
        match history {
            WindowHistory::Complete => WireHistory::Complete,
            WindowHistory::FirstStart => WireHistory::FirstStart,
            WindowHistory::Lost => WireHistory::Lost,
        }
    }
}

impl From<WireHistory> for WindowHistory {
    fn from(wire: WireHistory) -> Self {
        match wire {
            WireHistory::Complete => WindowHistory::Complete,
            WireHistory::FirstStart => WindowHistory::FirstStart,
            WireHistory::Lost => WindowHistory::Lost,
        }
    }
}

/// Outcomes of attempts at one instance, which is given by the hash of its id.
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

/// A hub's estimate of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireEstimate {
    /// Hash of the instance's id.
    pub(crate) instance: u32,
    /// Probability that the instance is faulty, in thousandths.
    pub(crate) faulty: u16,
    /// Smoothed latency in milliseconds.
    pub(crate) latency_ms: u16,
    /// Requests in flight from hosts other than the reporter.
    pub(crate) others_load: u16,
}

/// Hash of a leaving instance's id, and its start in Unix milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireDeparture(u32, u64);

impl From<&DepartureNotice> for WireDeparture {
    fn from(notice: &DepartureNotice) -> Self {
        WireDeparture(notice.instance, notice.started_at_unix_ms)
    }
}

impl From<&WireDeparture> for DepartureNotice {
    fn from(wire: &WireDeparture) -> Self {
        DepartureNotice {
            instance: wire.0,
            started_at_unix_ms: wire.1,
        }
    }
}

/// Hash of a suspected instance's id, and whether its trial is required.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireTrial(u32, bool);

impl From<&TrialOffer> for WireTrial {
    fn from(offer: &TrialOffer) -> Self {
        WireTrial(offer.instance, offer.is_required)
    }
}

impl From<&WireTrial> for TrialOffer {
    fn from(wire: &WireTrial) -> Self {
        TrialOffer {
            instance: wire.0,
            is_required: wire.1,
        }
    }
}

/// One instance's entry in the list.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireListing {
    /// Offset of the entry's last change.
    changed_at: WireOffset,
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
    evidence: WireEvidence,
}

/// Positions of the entry that was read last, of the last one that is known to be written in its
/// era, and of the list that lacked the instance last.
#[derive(Debug, Serialize, Deserialize)]
struct WireEvidence(WireOffset, WireOffset, Option<WireOffset>);

impl From<PresenceEvidence> for WireEvidence {
    fn from(evidence: PresenceEvidence) -> Self {
        WireEvidence(
            evidence.read_at.into(),
            evidence.written_at.into(),
            evidence.absent_before.map(Into::into),
        )
    }
}

impl From<WireEvidence> for PresenceEvidence {
    fn from(wire: WireEvidence) -> Self {
        PresenceEvidence {
            read_at: wire.0.into(),
            written_at: wire.1.into(),
            absent_before: wire.2.map(Into::into),
        }
    }
}

/// Whether an instance is in the list.
#[derive(Debug, Serialize, Deserialize)]
enum WirePresence {
    Listed,
    /// Milliseconds left until the lapsed entry counts as removed.
    Lapsing(u64),
    Gone,
}

impl WireListing {
    /// Entry of the instance with `state`.
    pub(crate) fn new(state: &InstanceState, now: ClockTime) -> Self {
        let listing = &state.listing;
        WireListing {
            changed_at: state.changed_offset.into(),
            id: listing.id.clone(),
            born: listing.started_at_unix_ms,
            seq: listing.seq,
            service: listing.service.clone(),
            address: listing.address,
            data_centre: listing.data_centre.clone(),
            slots: listing.slots,
            leaving: listing.leaving,
            warm_up_ms: state.warm_up_left_ms(now),
            presence: match state.presence_at(now) {
                Presence::Listed => WirePresence::Listed,
                Presence::Lapsing(until) => WirePresence::Lapsing(until.since(now)),
                Presence::Gone => WirePresence::Gone,
            },
            evidence: state.evidence.into(),
        }
    }

    /// Entry as the policy applies it at `now`.
    pub(crate) fn relayed(self, now: ClockTime) -> RelayedListing {
        RelayedListing {
            changed_offset: self.changed_at.into(),
            presence: match self.presence {
                WirePresence::Listed => Presence::Listed,
                WirePresence::Lapsing(millis) => Presence::Lapsing(now.plus(millis)),
                WirePresence::Gone => Presence::Gone,
            },
            evidence: self.evidence.into(),
            listing: InstanceListing {
                id: self.id,
                started_at_unix_ms: self.born,
                seq: self.seq,
                service: self.service,
                address: self.address,
                data_centre: self.data_centre,
                slots: self.slots,
                leaving: self.leaving,
                warm_up_ms: self.warm_up_ms,
            },
        }
    }
}
