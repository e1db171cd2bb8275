//! What reports, answers and summaries say and change.

use std::collections::HashMap;
use std::net::SocketAddr;

use slog::info;

use crocushoist_policy::OutcomeCounts;
use crocushoist_policy::TellerId;
use crocushoist_policy::WorkspaceUse;
use crocushoist_policy::name_hash;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::hub_rejection::HubRejection;
use crate::listing_reader::log_change;
use crate::peer_message::HostReport;
use crate::peer_message::HubAnswer;
use crate::peer_message::HubSummary;
use crate::peer_message::WireEstimate;
use crate::peer_message::WireListing;

/// Rows of one answer; 30 rows of some 100 bytes keep it under 4 KB.
const MAX_ROWS_PER_ANSWER: usize = 30;

/// Suspected instances that one answer gives to a host to try.
const MAX_TRIALS_PER_ANSWER: usize = 2;

/// Milliseconds after which a list of instances is out of date; two reads of a hub.
pub(crate) const STALE_LISTING_MS: u64 = 1_000;

/// Milliseconds that a hub's list may be behind a host's own; a slow store costs both some.
const MAX_LISTING_LAG_MS: u64 = 1_200;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1_000.0;

/// Report of this host.
pub(crate) fn new_report(context: &EdgeContext, number: u32, now: ClockTime) -> HostReport {
    let gates = context.gates.borrow();
    let uses = gates.iter().map(|(name, gate)| WorkspaceUse {
        workspace: name_hash(name),
        admitted: gate.admitted,
        refused: gate.refused,
        in_window: None,
    });
    let mut table = context.table.borrow_mut();
    HostReport {
        number,
        incarnation: context.own_host.incarnation,
        is_counted: context.is_counted.get(),
        callers: context
            .accepts_callers(now)
            .then_some(context.own_host.callers),
        listing_offset: table.next_offset(),
        fleet_hash: context.advertised_hosts.borrow().hash,
        uses: uses.map(|used| (&used).into()).collect(),
        in_flight: table.in_flight(),
        outcomes: table.take_counts().iter().map(Into::into).collect(),
    }
}

/// Takes the report of the host at `peers`, as its hub.
pub(crate) fn apply_report(
    context: &EdgeContext,
    peers: SocketAddr,
    report: &HostReport,
    now: ClockTime,
) {
    let uses: Vec<WorkspaceUse> = report.uses.iter().map(Into::into).collect();
    let reporter = TellerId {
        peers,
        incarnation: report.incarnation,
        is_counted: report.is_counted,
    };
    let mut ledger = context.ledger.borrow_mut();
    ledger.take_report(reporter, report.callers, &uses, now);
    ledger.take_host_load(peers, report.in_flight.clone());
    ledger.advance(|hash| context.limit_of_hash(hash), now);
    let mut table = context.table.borrow_mut();
    let is_own_report = peers == context.own_host.peers;
    for wire in &report.outcomes {
        let (instance, counts): (u32, OutcomeCounts) = wire.into();
        ledger.note_outcomes(instance, &counts);
        // What this host saw itself is in its table already.
        if !is_own_report {
            table.observe_counts(instance, &counts, now);
        }
    }
}

/// Answers a report, as the hub.
pub(crate) fn new_answer(context: &EdgeContext, report: &HostReport, now: ClockTime) -> HubAnswer {
    let data_centre = &context.own_host.data_centre;
    let trials = if context.is_hub.get() && report.callers.is_some() {
        let mut table = context.table.borrow_mut();
        table.give_trials(data_centre, MAX_TRIALS_PER_ANSWER, now)
    } else {
        Vec::new()
    };
    let table = context.table.borrow();
    let changed = table.changed_since(report.listing_offset);
    let rows: Vec<WireListing> = changed
        .iter()
        .take(MAX_ROWS_PER_ANSWER)
        .map(|state| WireListing::new(state, now))
        .collect();
    let is_whole = changed.len() <= rows.len();
    let listing_offset = match rows.last() {
        Some(last) if !is_whole => last.changed_at,
        _ => table.next_offset(),
    };
    let load = context.ledger.borrow().whole_load(now);
    let own_load: HashMap<u32, u32> = report.in_flight.iter().copied().collect();
    let beliefs = table
        .usable(now)
        .map(|state| WireEstimate {
            instance: state.hash,
            faulty: (state.faulty(now) * THOUSANDTHS) as u16,
            latency_ms: state.latency_ms() as u16,
            load: count_of(&load, state.hash),
            own_load: count_of(&own_load, state.hash),
        })
        .collect();
    let shares = context
        .ledger
        .borrow()
        .shares(|hash| context.limit_of_hash(hash), now);
    let fleet = context.advertised_hosts.borrow();
    HubAnswer {
        number: report.number,
        is_follower: !context.is_hub.get(),
        is_leaving: context.stopping.get(),
        config_version: context.config_version(),
        evidence_age: context.evidence.borrow().age(now),
        rows,
        listing_offset,
        listing_age: context.listing_age(now).filter(|_| is_whole),
        shares: shares.map(|shares| {
            let in_thousandths = |(workspace, share)| (workspace, (share * THOUSANDTHS) as u16);
            shares.into_iter().map(in_thousandths).collect()
        }),
        beliefs,
        trials,
        fleet: (fleet.hash != report.fleet_hash).then(|| fleet.hosts.clone()),
        fleet_hash: fleet.hash,
    }
}

fn count_of(counts: &HashMap<u32, u32>, instance: u32) -> u16 {
    let count = counts.get(&instance).copied().unwrap_or_default();
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Takes a hub's answer to a report that was sent at `asked_at`.
pub(crate) fn apply_answer(
    context: &EdgeContext,
    mut answer: HubAnswer,
    asked_at: ClockTime,
    now: ClockTime,
) {
    context.is_counted.set(true);
    let own_version = context.config_version();
    if answer.config_version == own_version
        && let Some(age) = answer.evidence_age
    {
        context.evidence.borrow_mut().note_peer(asked_at, age);
    }
    let newest = context.hub_version.get().max(answer.config_version);
    context.hub_version.set(newest);
    let mut table = context.table.borrow_mut();
    for row in std::mem::take(&mut answer.rows) {
        let offset = row.changed_at;
        let presence = row.presence(now);
        let listing: crocushoist_policy::InstanceListing = row.into();
        let id = listing.id.clone();
        let change = table.note_relayed(offset, listing, presence, now);
        log_change(context, &id, change, offset);
    }
    table.advance(answer.listing_offset);
    if let Some(age) = answer.listing_age {
        let assigned = asked_at.minus(age);
        // A hub that lost the store still answers, with a list that other hosts can renew.
        let own_age = context.listing_age(now);
        let is_behind = own_age.is_some_and(|own| own + MAX_LISTING_LAG_MS < now.since(assigned));
        context
            .hub_rejection
            .set(is_behind.then_some(HubRejection::Behind));
        context.record_listing_sync(assigned);
    }
    if answer.is_follower {
        // It may know an earlier host that registered after this one read.
        context.roster_read_requested.set(true);
    }
    if answer.is_leaving {
        context.hub_rejection.set(Some(HubRejection::Leaving));
    }
    for belief in &answer.beliefs {
        let faulty = f64::from(belief.faulty) / THOUSANDTHS;
        table.take_told(belief.instance, faulty, f64::from(belief.latency_ms), now);
    }
    drop(table);
    apply_assignments(context, &answer, now);
    let mut fleet = context.advertised_hosts.borrow_mut();
    if let Some(hosts) = answer.fleet {
        fleet.hosts = hosts;
        fleet.hash = answer.fleet_hash;
    }
}

/// Takes what an answer tells of loads, trials and shares, as a host or as the hub itself.
///
/// Workspaces that the shares do not name are admitted whole.
pub(crate) fn apply_assignments(context: &EdgeContext, answer: &HubAnswer, now: ClockTime) {
    let mut table = context.table.borrow_mut();
    for belief in &answer.beliefs {
        table.take_load(
            belief.instance,
            u32::from(belief.load),
            u32::from(belief.own_load),
        );
    }
    for instance in &answer.trials {
        table.take_trial(*instance, now);
    }
    let Some(shares) = &answer.shares else {
        return;
    };
    let mut assigned = context.shares.borrow_mut();
    assigned.received_at = Some(now);
    assigned.below_one = shares
        .iter()
        .map(|(workspace, share)| (*workspace, f64::from(*share) / THOUSANDTHS))
        .collect();
}

/// Logs which workspaces came to be limited or ceased to be, as the hub.
pub(crate) fn log_limit_changes(context: &EdgeContext, shares: &[(u32, u16)]) {
    let config = context.config.borrow();
    let Some(config) = config.as_ref() else {
        return;
    };
    let assigned = context.shares.borrow();
    let ledger = context.ledger.borrow();
    for workspace in &config.workspaces {
        let hash = name_hash(&workspace.name);
        let share = shares.iter().find(|(limited, _)| *limited == hash);
        if share.is_some() == assigned.below_one.contains_key(&hash) {
            continue;
        }
        let Some(pace) = ledger.pace(hash) else {
            continue;
        };
        info!(context.logger, "workspace limit";
            "workspace" => workspace.name.as_str(), "limited" => share.is_some(),
            "share_thousandths" => share.map_or(1_000, |(_, share)| *share),
            "demand_per_s" => pace.demand_per_s().round(), "in_window" => pace.in_window(),
            "rate" => workspace.rate_per_s, "burst" => workspace.burst,
            "config_version" => config.version);
    }
}

/// Summary of this data data_centre for another hub.
pub(crate) fn new_summary(
    context: &EdgeContext,
    outcomes: &[(u32, OutcomeCounts)],
    with_hosts: bool,
    now: ClockTime,
) -> HubSummary {
    let ledger = context.ledger.borrow();
    let heard_hubs = ledger.heard_hubs(now).into_iter().map(|(peers, _)| peers);
    HubSummary {
        incarnation: context.own_host.incarnation,
        data_centre: context.own_host.data_centre.clone(),
        hosts: with_hosts.then(|| ledger.own_hosts(now)),
        uses: ledger.own_totals().iter().map(Into::into).collect(),
        heard_hubs: heard_hubs.collect(),
        outcomes: outcomes.iter().map(Into::into).collect(),
        reporters: ledger.reporter_count(now),
        in_flight: ledger.own_load(now).into_iter().collect(),
    }
}

/// Takes the summary of the hub at `peers`.
pub(crate) fn apply_summary(
    context: &EdgeContext,
    peers: SocketAddr,
    summary: HubSummary,
    now: ClockTime,
) {
    let uses: Vec<WorkspaceUse> = summary.uses.iter().map(Into::into).collect();
    let reporter = TellerId {
        peers,
        incarnation: summary.incarnation,
        is_counted: true,
    };
    let mut ledger = context.ledger.borrow_mut();
    ledger.take_summary(reporter, &summary.data_centre, summary.hosts, &uses, now);
    ledger.take_hub_load(peers, summary.reporters, summary.in_flight);
    ledger.take_named_hubs(&summary.heard_hubs, now);
    let mut table = context.table.borrow_mut();
    for wire in &summary.outcomes {
        let (instance, counts): (u32, OutcomeCounts) = wire.into();
        table.observe_counts(instance, &counts, now);
    }
}

/// Renews the hosts that callers can be assigned, as the hub.
pub(crate) fn update_advertised_hosts(context: &EdgeContext, now: ClockTime) {
    let ledger = context.ledger.borrow();
    let data_centre = &context.own_host.data_centre;
    let mut hosts: Vec<_> = ledger
        .own_hosts(now)
        .into_iter()
        .map(|host| (data_centre.clone(), host))
        .chain(ledger.other_hosts(now))
        .collect();
    hosts.sort_unstable();
    let mut text = String::new();
    for (_, host) in &hosts {
        text.push_str(&host.to_string());
        text.push(' ');
    }
    let mut fleet = context.advertised_hosts.borrow_mut();
    fleet.hash = name_hash(&text);
    fleet.hosts = hosts;
}
