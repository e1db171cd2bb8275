//! Reports request outcomes to the owners of the services and applies their
//! ejection decisions.
//!
//! The owner of a service is the connected shard holder that ranks first by
//! hash: every host knows all holders and keeps a connection to each. Outcomes
//! with failures or slow responses are reported soon, others each second. The
//! response brings the decisions of the owner, so that every host that uses a
//! service learns them. If two hosts consider themselves the owner, each other
//! host follows the one that it reports to, and limits ejections to the floor
//! by its own count.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crocushoist_coordination::ServiceInstance;
use crocushoist_protocol::DecisionResponse;
use crocushoist_protocol::OutcomeReport;
use crocushoist_protocol::PeerServiceClient;
use crocushoist_protocol::WireDecision;
use crocushoist_protocol::WireInstanceOutcomes;
use crocushoist_state::ClockTime;
use crocushoist_state::EjectionDecision;
use crocushoist_state::ExceptionScope;
use crocushoist_state::IncarnationId;
use crocushoist_state::InstanceOutcomes;
use crocushoist_state::RoutingPolicy;
use crocushoist_state::SettingName;
use crocushoist_transport::PeerConnection;

use crate::host_context::SharedContext;
use crate::host_state::HostState;

const CHECK_INTERVAL_MS: u64 = 100;
/// Milliseconds between reports of a service with failures or slow responses.
const URGENT_REPORT_INTERVAL_MS: u64 = 200;
/// Milliseconds between reports of a service without failures or slow responses.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Timeout of one report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 300;

/// Request outcomes of one service that were not reported yet.
#[derive(Debug, Default)]
struct PendingReport {
    outcomes: HashMap<SocketAddr, InstanceOutcomes>,
    reported_at: ClockTime,
}

/// Reports outcomes and applies decisions, for as long as the process runs.
///
/// Returns at once unless the routing policy shares outcomes between hosts.
pub(crate) async fn exchange_outcomes(context: SharedContext) {
    if context.settings.routing_policy != RoutingPolicy::Shared {
        return;
    }
    let mut pending: HashMap<CompactString, PendingReport> = HashMap::new();
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = ClockTime::now();
        let services: Vec<CompactString> =
            context.state.borrow().pool.services().cloned().collect();
        for service in services {
            let report = pending.entry(service.clone()).or_default();
            for (address, outcomes) in context
                .state
                .borrow_mut()
                .pool
                .drain_outcomes(&service, now)
            {
                report.outcomes.entry(address).or_default().add(&outcomes);
            }
            if let Some(outcomes) = report.drain_due(now) {
                let task = send_report(Rc::clone(&context), service, outcomes);
                compio::runtime::spawn(task).detach();
            }
        }
    }
}

impl PendingReport {
    /// Drains the outcomes if a report is due.
    ///
    /// A report is also due without outcomes, because ejection decisions expire.
    fn drain_due(&mut self, now: ClockTime) -> Option<Vec<WireInstanceOutcomes>> {
        let has_failed_or_slow = self
            .outcomes
            .values()
            .any(InstanceOutcomes::has_failed_or_slow);
        let interval = if has_failed_or_slow {
            URGENT_REPORT_INTERVAL_MS
        } else {
            REPORT_INTERVAL_MS
        };
        if now.since(self.reported_at) < interval {
            return None;
        }
        self.reported_at = now;
        Some(
            self.outcomes
                .drain()
                .map(WireInstanceOutcomes::from)
                .collect(),
        )
    }
}

async fn send_report(
    context: SharedContext,
    service: CompactString,
    outcomes: Vec<WireInstanceOutcomes>,
) {
    let report = OutcomeReport {
        service: service.clone(),
        data_centre: context.settings.data_centre.clone(),
        evidence: outcomes,
    };
    let owner = owner_of(&context.state.borrow(), &service);
    let response = match owner {
        ServiceOwner::ThisHost => {
            let mut state = context.state.borrow_mut();
            apply_report(&mut state, &report, ClockTime::now())
        }
        ServiceOwner::Peer(client) => {
            let response = client
                .report(PeerConnection::call_context(REPORT_TIMEOUT_MS), report)
                .await;
            let Ok(response) = response else {
                context.metrics.report_failures.inc();
                return;
            };
            response
        }
        ServiceOwner::Unreachable => {
            context.metrics.report_failures.inc();
            return;
        }
    };
    apply_response(&mut context.state.borrow_mut(), &service, response);
}

/// Owner of a service by the shard table and the connections of this host.
enum ServiceOwner {
    ThisHost,
    Peer(PeerServiceClient),
    Unreachable,
}

/// Owner of `service`: the reachable shard holder with the highest hash score.
fn owner_of(state: &HostState, service: &str) -> ServiceOwner {
    let own = state.own.incarnation;
    let holders = state.replayed.table().live_holders();
    let score = |host: IncarnationId| xxh3_64_with_seed(service.as_bytes(), host.0);
    let reachable = holders.into_iter().filter(|holder| {
        holder.incarnation == own || state.peer_clients.contains_key(&holder.address.peers)
    });
    let Some(owner) = reachable.max_by_key(|holder| score(holder.incarnation)) else {
        return ServiceOwner::Unreachable;
    };
    if owner.incarnation == own {
        return ServiceOwner::ThisHost;
    }
    match state.peer_clients.get(&owner.address.peers) {
        Some(client) => ServiceOwner::Peer(client.clone()),
        None => ServiceOwner::Unreachable,
    }
}

/// Applies a report as the owner of its service and returns the ejection decisions.
pub(crate) fn apply_report(
    state: &mut HostState,
    report: &OutcomeReport,
    now: ClockTime,
) -> DecisionResponse {
    let floor_percent = floor_percent_for(state, &report.service);
    let members: Vec<ServiceInstance> = state
        .pool
        .members(&report.service)
        .filter(|instance| !instance.is_leaving(now))
        .map(|instance| ServiceInstance {
            address: instance.address,
            healthy: instance.is_healthy(now) || instance.is_ejected(now),
        })
        .collect();
    let detector = state
        .outlier_detectors
        .entry(report.service.clone())
        .or_default();
    for outcomes in &report.evidence {
        detector.record_outcomes(&report.data_centre, outcomes.address, &outcomes.into(), now);
    }
    let decisions = detector
        .decide_ejections(&members, floor_percent, now)
        .into_iter()
        .map(WireDecision::from)
        .collect();
    DecisionResponse {
        verdicts: decisions,
        typical_micros: detector.median_latency_micros(),
    }
}

fn apply_response(state: &mut HostState, service: &str, response: DecisionResponse) {
    let floor_percent = floor_percent_for(state, service);
    let decisions: Vec<EjectionDecision> = response
        .verdicts
        .into_iter()
        .map(EjectionDecision::from)
        .collect();
    let now = ClockTime::now();
    state.pool.apply_decisions(
        service,
        &decisions,
        response.typical_micros,
        now,
        floor_percent,
    );
}

fn floor_percent_for(state: &HostState, service: &str) -> u32 {
    let scope = ExceptionScope::Service(service.into());
    state
        .replayed
        .config()
        .value_for(scope, SettingName::FloorPercent)
}
