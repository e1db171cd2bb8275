//! Builds and applies the notes of messages between hosts: limits that instances
//! named, the permits for requests to them, and requests under which instances
//! crashed.
//!
//! A hub counts a host's permits by its reports, and a host uses permits only of
//! the hub that it reports to. Without an answer of a hub it gets none, and
//! sends such an instance nothing.

use std::net::SocketAddr;

use slog::info;
use slog::warn;

use crocushoist_policy::CrashSuspicion;
use crocushoist_policy::LimitStatement;
use crocushoist_policy::PermitGrant;
use crocushoist_policy::name_hash;
use crocushoist_state::ClockTime;

use crate::config_reader::MAX_EVIDENCE_AGE_MS;
use crate::edge_context::EdgeContext;
use crate::hub_exchange::is_fresher;
use crate::peer_notes::ConfigKnowledge;
use crate::peer_notes::PeerNotes;
use crate::peer_notes::WireGrant;
use crate::peer_notes::WireStatement;

/// Notes of a report of this host.
pub(crate) fn report_notes(context: &EdgeContext, now: ClockTime) -> PeerNotes {
    let lapsed = {
        let mut table = context.instances.borrow_mut();
        table.lapsed_permits(now)
    };
    PeerNotes {
        lapsed: lapsed.iter().map(Into::into).collect(),
        wanted: wanted_permits(context, now),
        ..told_notes(context, now)
    }
}

/// Permits that this host wants, by the hash of the service's name.
fn wanted_permits(context: &EdgeContext, now: ClockTime) -> Vec<WireGrant> {
    let table = context.instances.borrow();
    let mut accounts = context.retry_accounts.borrow_mut();
    let wanted = accounts.iter_mut().filter_map(|(service, account)| {
        let requests = account.counts(service, now).requests;
        let count = table.wanted_permits(service, requests, now)?;
        Some(WireGrant::new(name_hash(service), count))
    });
    wanted.collect()
}

/// Notes of a summary. Hubs of other data centres get the knowledge of the configuration by them
/// too, so that one that the store turns away follows the others.
pub(crate) fn summary_notes(context: &EdgeContext, now: ClockTime) -> PeerNotes {
    let knowledge = ConfigKnowledge {
        version: context.config_version(),
        evidence_age: context.evidence.borrow().age(now),
    };
    PeerNotes {
        knowledge: Some(knowledge),
        ..told_notes(context, now)
    }
}

/// What every message tells.
fn told_notes(context: &EdgeContext, now: ClockTime) -> PeerNotes {
    let table = context.instances.borrow();
    let told = table.told_limits(rand::random(), now);
    let suspects = context.suspects.borrow().told(rand::random(), now);
    PeerNotes {
        limits: told.iter().map(Into::into).collect(),
        suspects: suspects.iter().map(Into::into).collect(),
        ..PeerNotes::default()
    }
}

/// Notes of the answer to a report with the notes `asked`; only a hub issues permits.
pub(crate) fn answer_notes(context: &EdgeContext, asked: &PeerNotes, now: ClockTime) -> PeerNotes {
    let mut notes = told_notes(context, now);
    notes.reporters = Some(context.aggregator.borrow().reporter_count(now));
    if !context.is_hub.get() {
        return notes;
    }
    let part = context.aggregator.borrow().fleet_part(now);
    let table = context.instances.borrow();
    let mut pool = context.permit_pool.borrow_mut();
    let mut permits = Vec::new();
    for wanted in &asked.wanted {
        let (service, count) = wanted.parts();
        let draw = rand::random();
        permits.extend(table.issue_permits(&mut pool, service, count, part, draw, now));
    }
    notes.permits = permits.iter().map(Into::into).collect();
    notes
}

/// Applies the notes of a report of the host at `peer`.
pub(crate) fn apply_report_notes(
    context: &EdgeContext,
    peer: SocketAddr,
    incarnation: u64,
    notes: &PeerNotes,
    now: ClockTime,
) {
    apply_told(context, peer, notes, now);
    let lapsed: Vec<PermitGrant> = notes.lapsed.iter().map(Into::into).collect();
    let mut pool = context.permit_pool.borrow_mut();
    pool.apply_lapsed((peer, incarnation), &lapsed, now);
}

/// Applies the notes of a summary of the host at `peer`.
pub(crate) fn apply_summary_notes(
    context: &EdgeContext,
    peer: SocketAddr,
    notes: &PeerNotes,
    now: ClockTime,
) {
    apply_told(context, peer, notes, now);
    if let Some(knowledge) = notes.knowledge {
        apply_knowledge(context, peer, knowledge, now);
    }
}

/// Has the configuration fetched from the hub at `peer` if that one has a newer version, and the
/// evidence if this host's own is old.
fn apply_knowledge(
    context: &EdgeContext,
    peer: SocketAddr,
    knowledge: ConfigKnowledge,
    now: ClockTime,
) {
    context.record_peer_version(peer, knowledge.version, now);
    let own_age = context.evidence.borrow().age(now);
    let is_old = own_age.is_none_or(|age| age > MAX_EVIDENCE_AGE_MS);
    let has_same_version = knowledge.version == context.config_version();
    if has_same_version && is_old && is_fresher(knowledge.evidence_age, own_age) {
        context.config_source.set(Some(peer));
    }
}

/// Applies the notes of the answer with the number `number` to a report that was sent at
/// `report_sent_at`. A datagram may arrive twice; its permits hold once.
pub(crate) fn apply_answer_notes(
    context: &EdgeContext,
    hub: SocketAddr,
    number: u32,
    notes: &PeerNotes,
    report_sent_at: ClockTime,
    now: ClockTime,
) {
    apply_told(context, hub, notes, now);
    let reporters = notes.reporters.map(|count| count as usize);
    context.hub_reporters.set(reporters);
    if notes.permits.is_empty() || number <= context.permits_added.get() {
        return;
    }
    context.permits_added.set(number);
    let grants: Vec<PermitGrant> = notes.permits.iter().map(Into::into).collect();
    let mut table = context.instances.borrow_mut();
    table.add_permits(&grants, report_sent_at);
}

/// Applies what any message of the host at `peer` tells.
fn apply_told(context: &EdgeContext, peer: SocketAddr, notes: &PeerNotes, now: ClockTime) {
    apply_statements(context, peer, &notes.limits, now);
    let mut suspects = context.suspects.borrow_mut();
    for suspicion in notes.suspects.iter().map(CrashSuspicion::from) {
        if suspects.apply(&suspicion, now) {
            warn!(context.logger, "request crashes instances"; "cause" => "told by a host",
                "request_hash" => format!("{:016x}", suspicion.request),
                "peer" => peer.to_string());
        }
    }
}

/// Applies statements that the host at `peer` told.
fn apply_statements(
    context: &EdgeContext,
    peer: SocketAddr,
    statements: &[WireStatement],
    now: ClockTime,
) {
    let mut table = context.instances.borrow_mut();
    for statement in statements.iter().map(LimitStatement::from) {
        let Some(key) = table.apply_limit(statement, now) else {
            continue;
        };
        let listing = &table.get(key).listing;
        context.metrics.count_signal("limit_told");
        info!(context.logger, "instance limit"; "instance" => listing.id.as_str(),
            "service" => listing.service.as_str(), "cause" => "told by a host",
            "peer" => peer.to_string(), "per_s" => statement.per_s);
    }
}
