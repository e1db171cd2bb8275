//! Reports evidence on instances to the homes of their services.
//!
//! The home of a service is the connected shard holder that ranks first by
//! hash: every host knows all holders and keeps a link to each. Bad
//! evidence is reported at once, good evidence each second. The answer brings
//! the home's verdicts, so that every host that uses a service learns them.
//! If two hosts take themselves for the home, each host follows the one it
//! reports to, and keeps to the floor by its own count.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crocushoist_coordination::JudgedMember;
use crocushoist_protocol::EvidenceReport;
use crocushoist_protocol::PeerServiceClient;
use crocushoist_protocol::VerdictAnswer;
use crocushoist_protocol::WireEvidence;
use crocushoist_protocol::WireVerdict;
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
const BAD_REPORT_MS: u64 = 200;
const GOOD_REPORT_MS: u64 = 1_000;
const REPORT_MS: u64 = 300;

/// Evidence on one service that was not reported yet.
#[derive(Debug, Default)]
struct PendingReport {
    evidence: HashMap<SocketAddr, InstanceOutcomes>,
    reported_at: ClockTime,
}

/// Reports evidence and takes verdicts, for as long as the process runs.
pub(crate) async fn exchange_evidence(context: SharedContext) {
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
            for (address, evidence) in context
                .state
                .borrow_mut()
                .pool
                .drain_outcomes(&service, now)
            {
                report.evidence.entry(address).or_default().add(&evidence);
            }
            if let Some(evidence) = report.take_due(now) {
                let task = send_report(Rc::clone(&context), service, evidence);
                compio::runtime::spawn(task).detach();
            }
        }
    }
}

impl PendingReport {
    /// The evidence, if it is time to report it.
    ///
    /// A report without evidence is made, too: verdicts expire.
    fn take_due(&mut self, now: ClockTime) -> Option<Vec<WireEvidence>> {
        let is_bad = self
            .evidence
            .values()
            .any(InstanceOutcomes::has_failed_or_slow);
        let interval = if is_bad {
            BAD_REPORT_MS
        } else {
            GOOD_REPORT_MS
        };
        if now.since(self.reported_at) < interval {
            return None;
        }
        self.reported_at = now;
        Some(self.evidence.drain().map(WireEvidence::from).collect())
    }
}

async fn send_report(context: SharedContext, service: CompactString, evidence: Vec<WireEvidence>) {
    let report = EvidenceReport {
        service: service.clone(),
        data_centre: context.settings.data_centre.clone(),
        evidence,
    };
    let home = home_of(&context.state.borrow(), &service);
    let answer = match home {
        ServiceHome::Own => {
            let mut state = context.state.borrow_mut();
            judge_report(&mut state, &report, ClockTime::now())
        }
        ServiceHome::Peer(client) => {
            let answer = client
                .report(PeerConnection::call_context(REPORT_MS), report)
                .await;
            let Ok(answer) = answer else {
                context.metrics.report_failures.inc();
                return;
            };
            answer
        }
        ServiceHome::Unreachable => {
            context.metrics.report_failures.inc();
            return;
        }
    };
    take_answer(&mut context.state.borrow_mut(), &service, answer);
}

/// Home of a service, as this host sees it.
enum ServiceHome {
    Own,
    Peer(PeerServiceClient),
    Unreachable,
}

fn home_of(state: &HostState, service: &str) -> ServiceHome {
    let own = state.own.incarnation;
    let holders = state.fold.table().live_holders();
    let score = |host: IncarnationId| xxh3_64_with_seed(service.as_bytes(), host.0);
    let reachable = holders.into_iter().filter(|holder| {
        holder.incarnation == own || state.links.contains_key(&holder.address.peers)
    });
    let Some(home) = reachable.max_by_key(|holder| score(holder.incarnation)) else {
        return ServiceHome::Unreachable;
    };
    if home.incarnation == own {
        return ServiceHome::Own;
    }
    match state.links.get(&home.address.peers) {
        Some(client) => ServiceHome::Peer(client.clone()),
        None => ServiceHome::Unreachable,
    }
}

/// Takes a report as the home of its service and answers the verdicts.
pub(crate) fn judge_report(
    state: &mut HostState,
    report: &EvidenceReport,
    now: ClockTime,
) -> VerdictAnswer {
    let floor_percent = floor_percent_of(state, &report.service);
    let members: Vec<JudgedMember> = state
        .pool
        .members(&report.service)
        .filter(|instance| !instance.is_leaving(now))
        .map(|instance| JudgedMember {
            address: instance.address,
            healthy: instance.is_healthy(now) || instance.is_ejected(now),
        })
        .collect();
    let judge = state.judges.entry(report.service.clone()).or_default();
    for evidence in &report.evidence {
        judge.note(&report.data_centre, evidence.address, &evidence.into(), now);
    }
    let verdicts = judge
        .judge(&members, floor_percent, now)
        .into_iter()
        .map(WireVerdict::from)
        .collect();
    VerdictAnswer {
        verdicts,
        typical_micros: judge.typical_micros(),
    }
}

fn take_answer(state: &mut HostState, service: &str, answer: VerdictAnswer) {
    let floor_percent = floor_percent_of(state, service);
    let verdicts: Vec<EjectionDecision> = answer
        .verdicts
        .into_iter()
        .map(EjectionDecision::from)
        .collect();
    let now = ClockTime::now();
    state.pool.apply_decisions(
        service,
        &verdicts,
        answer.typical_micros,
        now,
        floor_percent,
    );
}

fn floor_percent_of(state: &HostState, service: &str) -> u32 {
    let scope = ExceptionScope::Service(service.into());
    state
        .fold
        .config()
        .value_for(scope, SettingName::FloorPercent)
}
