//! Builds and applies the reports, answers and summaries that hosts exchange.
//!
//! A host reports to the hub of its data centre, which answers with the changes
//! of the instance list and its assignments. Hubs of different data centres
//! exchange summaries. A hub applies its own report and assignments without a
//! datagram. It also updates the hosts that address lookups return, and logs
//! when the limit of a workspace starts or stops taking effect.

use std::collections::HashMap;
use std::net::SocketAddr;

use slog::info;

use crocushoist_policy::CounterSelection;
use crocushoist_policy::FeedCursor;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::OutcomeCounts;
use crocushoist_policy::ReporterId;
use crocushoist_policy::RetryGrant;
use crocushoist_policy::RetryReport;
use crocushoist_policy::ServiceCounts;
use crocushoist_policy::StoreOffset;
use crocushoist_policy::WorkspaceCounts;
use crocushoist_policy::name_hash;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::hub_rejection::HubRejection;
use crate::listing_reader::log_change;
use crate::listing_reader::skips_entry;
use crate::peer_message::HostReport;
use crate::peer_message::HubAnswer;
use crate::peer_message::HubSummary;
use crate::peer_message::WireDeparture;
use crate::peer_message::WireEstimate;
use crate::peer_message::WireFleet;
use crate::peer_message::WireHub;
use crate::peer_message::WireListing;

/// Maximum number of instance entries in one answer; 30 entries of about 100 bytes are
/// below 4 KB.
const MAX_ENTRIES_PER_ANSWER: usize = 30;

/// Maximum number of trial requests to suspected instances that one answer assigns to a host.
const MAX_TRIALS_PER_ANSWER: usize = 2;

/// Maximum number of changed entries that are relayed in answers. A host that misses more fetches
/// the whole list.
const MAX_RELAYED_ENTRIES: usize = 120;

/// Milliseconds by which a reporter's knowledge must be more recent than the hub's for the hub to
/// fetch it.
const MIN_FRESHER_MS: u64 = 300;

/// Maximum milliseconds by which a hub's instance list is older than this host's own without
/// another hub being chosen. A slow store delays both lists.
const MAX_LISTING_LAG_MS: u64 = 1_200;

/// Factor from shares and probabilities to the thousandths that messages carry, rounded down.
const THOUSANDTHS: f64 = 1_000.0;

/// Report of this host with the sequence number `number`.
///
/// Resets the outcome counters, so that each report has the outcomes since the last one.
pub(crate) fn new_report(
    context: &EdgeContext,
    number: u32,
    has_answer: bool,
    selection: &mut CounterSelection,
    now: ClockTime,
) -> HostReport {
    let gates = context.workspace_gates.borrow();
    let workspaces = gates.iter().map(|(name, gate)| WorkspaceCounts {
        workspace: name_hash(name),
        admitted: gate.admitted,
        refused: gate.refused,
        in_window: None,
    });
    let mut accounts = context.retry_accounts.borrow_mut();
    let retry_counts = accounts
        .iter_mut()
        .map(|(service, account)| (&account.counts(service, now)).into());
    let retry_counts = retry_counts.collect();
    let retries = accounts
        .iter()
        .map(|(service, account)| account.pool_counts(service));
    let (uses, has_all_uses) = selection.select(workspaces.chain(retries).collect(), now);
    let is_advertised = context.is_advertised(now);
    let mut table = context.instances.borrow_mut();
    HostReport {
        number,
        incarnation: context.own_host.incarnation,
        is_first: !has_answer,
        is_counted: context.is_counted.get(),
        callers: is_advertised.then_some(context.own_host.caller_address),
        listing_offset: table.reported_offset().into(),
        listing_age: context.listing_age(now),
        config_version: context.config_version(),
        evidence_age: context.evidence.borrow().age(now),
        fleet_hash: context.advertised_hosts.borrow().hash,
        uses: uses.iter().map(Into::into).collect(),
        has_all_uses,
        in_flight: table.in_flight(|service| context.paths.borrow().is_lost(service)),
        outcomes: table.take_counts().iter().map(Into::into).collect(),
        used_trials: table.take_used_trials(),
        services: table.take_service_counts().iter().map(Into::into).collect(),
        departures: wire_departures(&table, now),
        retries: retry_counts,
        retry_granted: context.retry_granted.get(),
        retry_history: context.retry_history(now).into(),
    }
}

/// Applies the report of the host at `peer_address`, which considers this host its hub.
pub(crate) fn apply_report(
    context: &EdgeContext,
    peer_address: SocketAddr,
    report: &HostReport,
    now: ClockTime,
) {
    if peer_address != context.own_host.peer_address {
        find_fresher_reporter(context, peer_address, report, now);
    }
    let workspace_counts: Vec<WorkspaceCounts> = report.uses.iter().map(Into::into).collect();
    let reporter = ReporterId {
        peer_address,
        incarnation: report.incarnation,
        is_counted: report.is_counted,
        has_all_counts: report.has_all_uses,
    };
    let mut aggregator = context.aggregator.borrow_mut();
    aggregator.apply_report(reporter, report.callers, &workspace_counts, now);
    aggregator.set_host_load(peer_address, report.in_flight.clone());
    aggregator.update_limiters(|key| context.limit_of_key(key, now), now);
    aggregator.update_fleet_load(now);
    let retry_report = RetryReport {
        number: report.number,
        granted: report.retry_granted,
        history: report.retry_history.into(),
        counts: report.retries.iter().map(Into::into).collect(),
    };
    let host_start = (peer_address, report.incarnation);
    let mut ledger = context.retry_ledger.borrow_mut();
    ledger.apply_report(host_start, &retry_report, now);
    let mut table = context.instances.borrow_mut();
    for wire in &report.services {
        aggregator.add_service_counts(wire.into());
        table.add_service_counts(wire.into(), now);
    }
    table.record_trials(&report.used_trials, now);
    let is_own_report = peer_address == context.own_host.peer_address;
    if !is_own_report {
        apply_departures(context, &mut table, peer_address, &report.departures, now);
    }
    for wire in &report.outcomes {
        let (instance, counts): (u32, OutcomeCounts) = wire.into();
        aggregator.add_outcomes(instance, &counts);
        // The table applied the outcomes of this host's own attempts when they were observed.
        if !is_own_report {
            record_told_outcomes(context, &mut table, peer_address, instance, &counts, now);
        }
    }
}

/// Whether knowledge with the age `told` is so much more recent than own one that it is fetched.
pub(crate) fn is_fresher(told: Option<u64>, own: Option<u64>) -> bool {
    told.is_some_and(|age| own.is_none_or(|own| age.saturating_add(MIN_FRESHER_MS) < own))
}

/// Remembers a reporter that knows the configuration or the instance list better than this host,
/// as when the store turns this host away.
fn find_fresher_reporter(
    context: &EdgeContext,
    peer_address: SocketAddr,
    report: &HostReport,
    now: ClockTime,
) {
    context.record_peer_version(peer_address, report.config_version, now);
    let has_same_version = report.config_version == context.config_version();
    let own_evidence_age = context.evidence.borrow().age(now);
    if has_same_version && is_fresher(report.evidence_age, own_evidence_age) {
        context.config_source.set(Some(peer_address));
    }
    let offset = StoreOffset::from(report.listing_offset);
    context.learn_era(offset.era, now);
    let table = context.instances.borrow();
    let is_later_era = offset.era > table.next_offset().era;
    // A reporter at the start of an era has not heard of departures either.
    let knows_departures = table.lacks_departures() && offset.number() > 0;
    let has_list = report.listing_age.is_some();
    if is_fresher(report.listing_age, context.listing_age(now))
        || (has_list && (is_later_era || knows_departures))
    {
        context.listing_source.set(Some(peer_address));
    }
}

/// Answer to `report` of the host at `reporter`. Trial requests are assigned only by a hub, and
/// only to a host that accepts callers.
pub(crate) fn new_answer(
    context: &EdgeContext,
    reporter: SocketAddr,
    report: &HostReport,
    cursor: &mut FeedCursor,
    now: ClockTime,
) -> HubAnswer {
    let data_centre = &context.own_host.data_centre;
    let trials = if context.is_hub.get() && report.callers.is_some() {
        let mut table = context.instances.borrow_mut();
        let trials = table.assign_trials(data_centre, MAX_TRIALS_PER_ANSWER, now);
        trials.iter().map(Into::into).collect()
    } else {
        Vec::new()
    };
    let table = context.instances.borrow();
    let changes = table.changes_for(
        report.listing_offset.into(),
        MAX_RELAYED_ENTRIES,
        MAX_ENTRIES_PER_ANSWER,
    );
    let entries = changes.entries.iter();
    let aggregator = context.aggregator.borrow();
    let fleet_load = aggregator.fleet_load();
    let reporter_load: HashMap<u32, u32> = report.in_flight.iter().copied().collect();
    let load_of = |load: &HashMap<u32, u32>, hash| load.get(&hash).copied().unwrap_or_default();
    let mut feed = context.estimate_feed.borrow_mut();
    feed.search(&table, fleet_load, now);
    let described = feed.next_answer(cursor).into_iter();
    let estimates = described
        .map(|key| {
            let state = table.get(key);
            let own_load = load_of(&reporter_load, state.hash);
            let others_load = load_of(fleet_load, state.hash).saturating_sub(own_load);
            WireEstimate {
                instance: state.hash,
                faulty: (state.fault_probability(now) * THOUSANDTHS) as u16,
                latency_ms: state.latency_ms() as u16,
                others_load: u16::try_from(others_load).unwrap_or(u16::MAX),
            }
        })
        .collect();
    let shares = aggregator.shares(|key| context.limit_of_key(key, now), now);
    let advertised_hosts = context.advertised_hosts.borrow();
    let host_start = (reporter, report.incarnation);
    let mut ledger = context.retry_ledger.borrow_mut();
    let grants = ledger.grants(host_start, report.number, context.fleet_budget(), now);
    HubAnswer {
        number: report.number,
        is_follower: !context.is_hub.get(),
        hub: own_hub(context),
        is_leaving: context.is_stopping(),
        config_version: context.config_version(),
        evidence_age: context.evidence.borrow().age(now),
        rows: entries.map(|state| WireListing::new(state, now)).collect(),
        listing_offset: changes.end_offset.into(),
        listing_age: context.listing_age(now).filter(|_| changes.is_complete),
        reads_listing: context.reads_listing(now),
        needs_full_list: changes.needs_full_list && context.listing_synced_at.get().is_some(),
        must_register: context
            .roster
            .borrow()
            .must_register(reporter, context.era_watch.get().era()),
        shares: shares.map(|shares| {
            let in_thousandths = |(workspace, share)| (workspace, (share * THOUSANDTHS) as u16);
            shares.into_iter().map(in_thousandths).collect()
        }),
        beliefs: estimates,
        trials,
        fleet: (advertised_hosts.hash != report.fleet_hash).then(|| WireFleet {
            hosts: advertised_hosts.hosts.clone(),
            short_centres: advertised_hosts.short_centres.clone(),
        }),
        fleet_hash: advertised_hosts.hash,
        departures: wire_departures(&table, now),
        retry_grants: grants.iter().map(Into::into).collect(),
    }
}

/// Hub of this host, unless it is this host itself.
fn own_hub(context: &EdgeContext) -> Option<WireHub> {
    let hub = context.hub.get().filter(|_| !context.is_hub.get())?;
    let roster = context.roster.borrow();
    let (offset, registration) = roster.find(hub)?;
    Some(WireHub::new(*offset, registration))
}

/// Applies a hub's answer to a report that was sent at `report_sent_at`.
///
/// The ages in the answer count back from that time, the earliest at which it can have been
/// written.
pub(crate) fn apply_answer(
    context: &EdgeContext,
    hub: SocketAddr,
    mut answer: HubAnswer,
    report_sent_at: ClockTime,
    now: ClockTime,
) {
    // The answering host has applied the counters of the report.
    context.is_counted.set(true);
    let own_version = context.config_version();
    if answer.config_version == own_version
        && let Some(age) = answer.evidence_age
    {
        context
            .evidence
            .borrow_mut()
            .record_peer_evidence(report_sent_at, age);
    }
    context.hub_answered_at.set(Some(now));
    context.record_answered_report(report_sent_at);
    context.hub_reads_listing.set(answer.reads_listing);
    context.record_peer_version(hub, answer.config_version, now);
    if answer.needs_full_list {
        context.listing_source.set(Some(hub));
    }
    let listing_offset = StoreOffset::from(answer.listing_offset);
    context.learn_era(listing_offset.era, now);
    context.registration_lost.set(answer.must_register);
    let mut table = context.instances.borrow_mut();
    for entry in std::mem::take(&mut answer.rows) {
        let relayed = entry.relayed(now);
        if skips_entry(context, &relayed.listing, relayed.changed_offset) {
            continue;
        }
        let id = relayed.listing.id.clone();
        let offset = relayed.changed_offset;
        let change = table.apply_relayed(relayed, now);
        log_change(context, &id, change, offset);
    }
    apply_departures(context, &mut table, hub, &answer.departures, now);
    table.advance(listing_offset);
    if let Some(age) = answer.listing_age {
        table.record_merged(listing_offset.era);
        let synced_at = report_sent_at.minus(age);
        // A hub that lost the store still answers, while this host's own list may be newer.
        let own_age = context.listing_age(now);
        let is_behind = own_age.is_some_and(|own| own + MAX_LISTING_LAG_MS < now.since(synced_at));
        context
            .hub_rejection
            .set(is_behind.then_some(HubRejection::Behind));
        context.record_listing_sync(synced_at);
    }
    if answer.is_follower {
        // The answering host does not act as hub. It may know a host that comes before it, whose
        // registration this host has not read yet.
        match answer.hub.take() {
            Some(hub) => {
                let mut roster = context.roster.borrow_mut();
                // A suspected host that another one follows is probably alive.
                if roster.is_suspected(hub.peer_address()) {
                    let mut hosts = context.hosts_to_probe.borrow_mut();
                    hosts.push(hub.peer_address());
                }
                hub.apply(&mut roster);
            }
            None => context.roster_read_requested.set(true),
        }
    }
    if answer.is_leaving {
        context.hub_rejection.set(Some(HubRejection::Stopping));
    }
    for estimate in &answer.beliefs {
        let fault_probability = f64::from(estimate.faulty) / THOUSANDTHS;
        table.apply_hub_estimate(
            estimate.instance,
            fault_probability,
            f64::from(estimate.latency_ms),
            now,
        );
    }
    drop(table);
    apply_retry_grants(context, &answer, report_sent_at);
    apply_assignments(context, &answer, now);
    let mut advertised_hosts = context.advertised_hosts.borrow_mut();
    if let Some(fleet) = answer.fleet {
        advertised_hosts.hosts = fleet.hosts;
        advertised_hosts.short_centres = fleet.short_centres;
        advertised_hosts.hash = answer.fleet_hash;
    }
}

/// Applies the loads, trial requests and shares of an answer.
///
/// A hub calls this for its own answer too. Workspaces without a share are admitted in full. While
/// the hub is warming up, the answer has no shares and the assigned ones stay until they expire.
pub(crate) fn apply_assignments(context: &EdgeContext, answer: &HubAnswer, now: ClockTime) {
    let mut table = context.instances.borrow_mut();
    for estimate in &answer.beliefs {
        table.set_others_load(estimate.instance, u32::from(estimate.others_load));
    }
    if !answer.is_follower {
        table.record_hub_offers(now);
    }
    for trial in &answer.trials {
        table.apply_trial(trial.into(), now);
    }
    let Some(shares) = &answer.shares else {
        return;
    };
    let mut assigned = context.assigned_shares.borrow_mut();
    assigned.received_at = Some(now);
    assigned.below_one = shares
        .iter()
        .map(|(workspace, share)| (*workspace, f64::from(*share) / THOUSANDTHS))
        .collect();
}

/// Applies the retry grants of an answer to a report that was sent at `report_sent_at`, unless
/// those in force are newer.
pub(crate) fn apply_retry_grants(
    context: &EdgeContext,
    answer: &HubAnswer,
    report_sent_at: ClockTime,
) {
    if answer.number <= context.retry_granted.get() || answer.retry_grants.is_empty() {
        return;
    }
    context.retry_granted.set(answer.number);
    let mut accounts = context.retry_accounts.borrow_mut();
    for grant in answer.retry_grants.iter().map(RetryGrant::from) {
        let mut by_name = accounts.iter_mut();
        let account = by_name.find(|(service, _)| name_hash(service) == grant.service);
        if let Some((_, account)) = account {
            account.apply_grant(grant.ceiling, report_sent_at);
        }
    }
}

/// Logs, at the hub, each workspace whose limit starts or stops taking effect.
///
/// Compares `shares` with the assigned ones, so this must run before [`apply_assignments`].
pub(crate) fn log_limit_changes(context: &EdgeContext, shares: &[(u32, u16)]) {
    let config = context.config.borrow();
    let Some(config) = config.as_ref() else {
        return;
    };
    let assigned = context.assigned_shares.borrow();
    let aggregator = context.aggregator.borrow();
    for workspace in &config.workspaces {
        let hash = name_hash(&workspace.name);
        let share = shares.iter().find(|(limited, _)| *limited == hash);
        if share.is_some() == assigned.below_one.contains_key(&hash) {
            continue;
        }
        let Some(limiter) = aggregator.limiter(hash) else {
            continue;
        };
        info!(context.logger, "workspace limit";
            "workspace" => workspace.name.as_str(), "limited" => share.is_some(),
            "share_thousandths" => share.map_or(1_000, |(_, share)| *share),
            "demand_per_s" => limiter.demand_per_s().round(), "in_window" => limiter.in_window(),
            "rate" => workspace.rate_per_s, "burst" => workspace.burst,
            "config_version" => config.version);
    }
}

/// Summary of this data centre for another hub; it includes the hosts that accept callers if
/// `with_hosts` is set.
pub(crate) fn new_summary(
    context: &EdgeContext,
    outcomes: &[(u32, OutcomeCounts)],
    services: &[ServiceCounts],
    selection: &mut CounterSelection,
    with_hosts: bool,
    now: ClockTime,
) -> HubSummary {
    let aggregator = context.aggregator.borrow();
    let reachable_hubs = aggregator
        .reachable_hubs(now)
        .into_iter()
        .map(|(address, _)| address);
    let (uses, has_all_uses) = selection.select(aggregator.local_totals(), now);
    HubSummary {
        incarnation: context.own_host.incarnation,
        data_centre: context.own_host.data_centre.clone(),
        hosts: with_hosts.then(|| aggregator.local_hosts(now)),
        uses: uses.iter().map(Into::into).collect(),
        has_all_uses,
        heard_hubs: reachable_hubs.collect(),
        outcomes: outcomes.iter().map(Into::into).collect(),
        services: services.iter().map(Into::into).collect(),
        reporters: aggregator.reporter_count(now),
        in_flight: aggregator.local_load(now).into_iter().collect(),
        departures: wire_departures(&context.instances.borrow(), now),
    }
}

/// Departure notices for one message.
pub(crate) fn wire_departures(table: &InstanceTable, now: ClockTime) -> Vec<WireDeparture> {
    let told = table.told_departures(rand::random(), now);
    told.iter().map(Into::into).collect()
}

/// Applies the departure notices in a message of the host at `peer`.
pub(crate) fn apply_departures(
    context: &EdgeContext,
    table: &mut InstanceTable,
    peer: SocketAddr,
    departures: &[WireDeparture],
    now: ClockTime,
) {
    for wire in departures {
        let Some(key) = table.apply_departure(wire.into(), now) else {
            continue;
        };
        let listing = &table.get(key).listing;
        context.metrics.count_signal("leaving_told");
        context.upstreams.close_idle(listing.address);
        info!(context.logger, "instance says that it leaves"; "instance" => listing.id.as_str(),
            "service" => listing.service.as_str(), "cause" => "told by a host",
            "peer" => peer.to_string(), "started_at" => listing.started_at_unix_ms);
    }
}

/// Applies the summary of the hub at `peer_address`.
pub(crate) fn apply_summary(
    context: &EdgeContext,
    peer_address: SocketAddr,
    summary: HubSummary,
    now: ClockTime,
) {
    let workspace_counts: Vec<WorkspaceCounts> = summary.uses.iter().map(Into::into).collect();
    let reporter = ReporterId {
        peer_address,
        incarnation: summary.incarnation,
        // Another hub may have counted requests that a hub's first summary includes.
        is_counted: true,
        has_all_counts: summary.has_all_uses,
    };
    let mut aggregator = context.aggregator.borrow_mut();
    aggregator.apply_summary(
        reporter,
        &summary.data_centre,
        summary.hosts,
        &workspace_counts,
        now,
    );
    aggregator.set_hub_load(peer_address, summary.reporters, summary.in_flight);
    aggregator.add_named_hubs(&summary.heard_hubs, now);
    let mut table = context.instances.borrow_mut();
    apply_departures(context, &mut table, peer_address, &summary.departures, now);
    for wire in &summary.services {
        table.add_service_counts(wire.into(), now);
    }
    for wire in &summary.outcomes {
        let (instance, counts): (u32, OutcomeCounts) = wire.into();
        record_told_outcomes(context, &mut table, peer_address, instance, &counts, now);
    }
}

/// Records outcomes at the instance with the hash `instance` that the host at `peer` told, and
/// logs if the instance is suspected to be faulty from then on.
fn record_told_outcomes(
    context: &EdgeContext,
    table: &mut InstanceTable,
    peer: SocketAddr,
    instance: u32,
    counts: &OutcomeCounts,
    now: ClockTime,
) {
    let Some(key) = table.find_hash(instance) else {
        return;
    };
    let was_suspected = table.is_suspected(key, now);
    table.record_outcome_counts(instance, counts, now);
    for (outcome, count) in counts.by_outcome() {
        let metrics = &context.metrics;
        metrics.count_outcomes(outcome.name(), "another_host", count);
    }
    if !was_suspected && table.is_suspected(key, now) {
        let state = table.get(key);
        info!(context.logger, "instance suspected"; "instance" => state.listing.id.as_str(),
            "service" => state.listing.service.as_str(), "peer" => peer.to_string(),
            "good" => counts.good, "late" => counts.late, "failed" => counts.failed,
            "unreachable" => counts.unreachable);
    }
}

/// Updates, at the hub, the list of hosts that address lookups return.
pub(crate) fn update_advertised_hosts(context: &EdgeContext, now: ClockTime) {
    let aggregator = context.aggregator.borrow();
    let data_centre = &context.own_host.data_centre;
    let mut hosts: Vec<_> = aggregator
        .local_hosts(now)
        .into_iter()
        .map(|host| (data_centre.clone(), host))
        .chain(aggregator.remote_hosts(now))
        .collect();
    hosts.sort_unstable();
    let short_centres = aggregator.short_data_centres(data_centre, now);
    let mut text = short_centres.join(" ");
    for (_, host) in &hosts {
        text.push(' ');
        text.push_str(&host.to_string());
    }
    let mut advertised_hosts = context.advertised_hosts.borrow_mut();
    advertised_hosts.hash = name_hash(&text);
    advertised_hosts.hosts = hosts;
    advertised_hosts.short_centres = short_centres;
}
