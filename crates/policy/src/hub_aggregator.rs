//! Aggregates the reports of hosts at the hub of a data centre.
//!
//! A host sends its hub reports of its own requests. A hub sends the other hubs
//! summaries with the totals of its data centre. Both contain counters that only
//! increase, so a lost message delays counts but loses none. For a host that is
//! new to this hub, the counters of its first report are only a baseline if an
//! earlier hub may have counted them.
//!
//! Hosts may disagree about the hub of their data centre. Therefore any host to
//! which others report acts as their hub. If it considers another host the hub,
//! it sends that host its totals, just as the hub of another data centre would.
//! Each host reports to one hub, so nothing is counted twice.
//!
//! Hosts that cannot reach this hub may admit requests that it does not count,
//! until their evidence that no configuration was missed is too old. They keep to
//! their equal part of each limit, or another hub assigns shares to them. As long
//! as they may admit requests, this hub uses only the part of each limit that
//! belongs to the hosts that report to it or to a reachable hub.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::InitialUse;
use crate::NearFullRecords;
use crate::OutcomeCounts;
use crate::ReporterId;
use crate::ServiceCounts;
use crate::WindowLimit;
use crate::WindowLimiter;
use crate::WorkspaceCounts;
use crate::fleet_coverage::FleetCoverage;
use crate::fleet_coverage::UNREACHABLE_ADMISSION_MS;
use crate::reported_counters::ReportedCounters;
use crate::reported_counters::reporter_entry;
use crate::reported_counters::update_totals;
use crate::window_limiter::NEAR_FULL_CLEAR_THRESHOLD;
use crate::window_limiter::NEAR_FULL_THRESHOLD;

/// Milliseconds without a report after which a host's address is no longer returned to callers
/// and the host no longer counts in the load and the coverage.
const HOST_TIMEOUT_MS: u64 = 1_100;

/// Milliseconds without a summary after which the addresses of another hub's hosts are no longer
/// returned to callers, its load is not counted and it gets no summaries unless another hub names
/// it.
const HUB_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds without a summary (the time of five summaries) after which another hub is assumed
/// to use its own part of each limit.
const HUB_COVERAGE_TIMEOUT_MS: u64 = 700;

/// Minimum interval in milliseconds between updates of the limiters.
const UPDATE_INTERVAL_MS: u64 = 50;

/// Minimum interval in milliseconds between sums of the requests in flight.
const LOAD_INTERVAL_MS: u64 = 20;

/// Milliseconds after the first report during which a hub assigns no shares.
///
/// Until this time has passed, it does not know the callers' demand, which reports show, or the use
/// of the windows, which summaries of other hubs show.
const WARM_UP_MS: u64 = 400;

/// Milliseconds after the first report (the time of three reports) during which a hub that read
/// the near-full records assigns no shares. It waits for the callers' demand, but need not wait for
/// summaries of other hubs.
const WARM_UP_WITH_RECORDS_MS: u64 = 180;

/// Assigned share below which a workspace counts as nearly full whatever its window's use: so
/// low a share is caused by its demand, not by random variation.
const THROTTLED_SHARE: f64 = 0.7;

/// Minimum coverage of the fleet at which a throttled workspace counts as nearly full.
///
/// At a lower coverage it may be throttled because other hubs use parts of its limit.
const FULL_COVERAGE: f64 = 0.9;

/// Share of a data centre's hosts that must accept callers for the others not to help out.
///
/// The rest would take more than twice its usual load.
const MIN_ACCEPTING_SHARE: f64 = 0.5;

/// Totals, limiters and reachability that a hub derives from reports and summaries.
#[derive(Clone, Debug, Default)]
pub struct HubAggregator {
    /// Hosts of this data centre, by peer address.
    hosts: HashMap<SocketAddr, ReportedCounters>,
    /// Other hubs, by peer address.
    hubs: HashMap<SocketAddr, ReportedCounters>,
    /// Hubs that another hub can reach, each with the time of its last mention.
    named_hubs: HashMap<SocketAddr, ClockTime>,
    /// Requests (admitted, refused) by hosts of this data centre, by workspace hash.
    local_totals: HashMap<u32, (u32, u32)>,
    /// Requests (admitted, refused) in all data centres since the last update of the limiters, by
    /// workspace hash.
    pending: HashMap<u32, (u32, u32)>,
    /// Limiters, by workspace hash.
    limiters: HashMap<u32, WindowLimiter>,
    /// Outcomes to send to the other hubs, by instance hash.
    outcomes: HashMap<u32, OutcomeCounts>,
    /// Requests to send to the other hubs, by the hash of the service's name.
    service_counts: HashMap<u32, ServiceCounts>,
    /// Requests in flight from all data centres, by instance hash, and when they were summed.
    fleet_load: HashMap<u32, u32>,
    load_summed_at: ClockTime,
    /// Time of the last update of the limiters.
    updated_at: ClockTime,
    /// Time of the first report of a host of this data centre.
    first_report_at: Option<ClockTime>,
    /// Fraction of the admitting hosts that report to this hub or to a reachable one.
    coverage: FleetCoverage,
    /// Admissions in the current window as last reported by another hub, by workspace hash.
    remote_windows: HashMap<u32, u32>,
    /// Records of the workspaces whose windows are nearly full.
    pub near_full_records: NearFullRecords,
}

impl HubAggregator {
    /// Applies the report of a host of this data centre; `caller_address` is `None` unless the host
    /// accepts callers.
    pub fn apply_report(
        &mut self,
        reporter_id: ReporterId,
        caller_address: Option<SocketAddr>,
        counts: &[WorkspaceCounts],
        now: ClockTime,
    ) {
        self.first_report_at.get_or_insert(now);
        let reporter = reporter_entry(&mut self.hosts, reporter_id, counts, HOST_TIMEOUT_MS, now);
        reporter.caller_addresses = caller_address.into_iter().collect();
        for count in update_totals(reporter, counts) {
            let total = self.local_totals.entry(count.workspace).or_default();
            total.0 = total.0.wrapping_add(count.admitted);
            total.1 = total.1.wrapping_add(count.refused);
            add_pending(&mut self.pending, count);
        }
    }

    /// Applies the summary of another hub; `hosts` is `None` if this summary does not include
    /// the list.
    pub fn apply_summary(
        &mut self,
        reporter_id: ReporterId,
        data_centre: &str,
        hosts: Option<Vec<SocketAddr>>,
        counts: &[WorkspaceCounts],
        now: ClockTime,
    ) {
        let reporter = reporter_entry(&mut self.hubs, reporter_id, counts, HUB_TIMEOUT_MS, now);
        reporter.data_centre = data_centre.into();
        if let Some(hosts) = hosts {
            reporter.caller_addresses = hosts;
        }
        for count in update_totals(reporter, counts) {
            add_pending(&mut self.pending, count);
        }
        for count in counts {
            if let Some(in_window) = count.in_window {
                self.remote_windows.insert(count.workspace, in_window);
            }
        }
    }

    /// Sets the requests in flight, by instance hash, that the host at `peer_address` reported.
    pub fn set_host_load(&mut self, peer_address: SocketAddr, in_flight: Vec<(u32, u32)>) {
        if let Some(reporter) = self.hosts.get_mut(&peer_address) {
            reporter.in_flight = in_flight;
        }
    }

    /// Sets the requests in flight, by instance hash, of the `host_count` hosts that report to
    /// the hub at `peer_address`.
    pub fn set_hub_load(
        &mut self,
        peer_address: SocketAddr,
        host_count: u32,
        in_flight: Vec<(u32, u32)>,
    ) {
        if let Some(reporter) = self.hubs.get_mut(&peer_address) {
            reporter.host_count = host_count;
            reporter.in_flight = in_flight;
        }
    }

    /// Number of hosts, whether or not they accept callers, that reported within
    /// `HOST_TIMEOUT_MS`.
    pub fn reporter_count(&self, now: ClockTime) -> u32 {
        let hosts = self.hosts.values();
        let reporting =
            hosts.filter(|reporter| now.since(reporter.last_seen_at) <= HOST_TIMEOUT_MS);
        reporting.count() as u32
    }

    /// Part of the admitting hosts of the fleet that report to this hub.
    pub fn fleet_part(&self, now: ClockTime) -> f64 {
        self.coverage.part(self.reporter_count(now))
    }

    /// Whether the host at `peer_address` reported within `HOST_TIMEOUT_MS`.
    pub fn is_host_reporting(&self, peer_address: SocketAddr, now: ClockTime) -> bool {
        let reporter = self.hosts.get(&peer_address);
        reporter.is_some_and(|reporter| now.since(reporter.last_seen_at) <= HOST_TIMEOUT_MS)
    }

    fn is_warming_up(&self, now: ClockTime) -> bool {
        let warm_up_ms = if self.near_full_records.is_recently_read(now) {
            WARM_UP_WITH_RECORDS_MS
        } else {
            WARM_UP_MS
        };
        self.first_report_at
            .is_none_or(|at| now.since(at) < warm_up_ms)
    }

    /// Whether the first report arrived more than a whole window (`UNREACHABLE_ADMISSION_MS`) ago.
    pub fn covers_full_window(&self, now: ClockTime) -> bool {
        self.first_report_at
            .is_some_and(|at| now.since(at) > UNREACHABLE_ADMISSION_MS)
    }

    /// Updates the fraction of the admitting hosts that report to this hub or to a reachable one.
    ///
    /// Until this hub has received reports for a whole window, it assumes that all `registered`
    /// hosts admit requests. Later it leaves out hosts that have not reported for long, because
    /// they no longer admit any.
    pub fn update_coverage(&mut self, registered: usize, now: ClockTime) {
        let at_hubs: u32 = self
            .hubs
            .values()
            .filter(|reporter| now.since(reporter.last_seen_at) <= HUB_COVERAGE_TIMEOUT_MS)
            .map(|reporter| reporter.host_count)
            .sum();
        let reporting = self.reporter_count(now) + at_hubs;
        let min_hosts = if self.covers_full_window(now) {
            0
        } else {
            registered as u32
        };
        self.coverage.update(reporting, min_hosts, now);
    }

    /// Requests in flight from this data centre, by instance hash.
    pub fn local_load(&self, now: ClockTime) -> HashMap<u32, u32> {
        sum_load(self.hosts.values(), HOST_TIMEOUT_MS, now)
    }

    /// Requests in flight from all data centres, by instance hash, at the last call of
    /// [`Self::update_fleet_load`].
    pub fn fleet_load(&self) -> &HashMap<u32, u32> {
        &self.fleet_load
    }

    /// Sums the requests in flight from all data centres, at most once in `LOAD_INTERVAL_MS`.
    pub fn update_fleet_load(&mut self, now: ClockTime) {
        if now.since(self.load_summed_at) < LOAD_INTERVAL_MS {
            return;
        }
        self.load_summed_at = now;
        let mut load = self.local_load(now);
        for (instance, count) in sum_load(self.hubs.values(), HUB_TIMEOUT_MS, now) {
            *load.entry(instance).or_default() += count;
        }
        self.fleet_load = load;
    }

    /// Adds requests that hosts of this data centre reported, to be sent to the other hubs.
    pub fn add_service_counts(&mut self, counts: ServiceCounts) {
        let sum = self.service_counts.entry(counts.service).or_default();
        sum.service = counts.service;
        sum.requests += counts.requests;
        sum.unserved += counts.unserved;
    }

    /// Drains the requests to be sent to the other hubs.
    pub fn take_service_counts(&mut self) -> Vec<ServiceCounts> {
        self.service_counts
            .drain()
            .map(|(_, counts)| counts)
            .collect()
    }

    /// Adds outcomes that hosts of this data centre observed, to be sent to the other hubs.
    pub fn add_outcomes(&mut self, instance: u32, counts: &OutcomeCounts) {
        let sum = self.outcomes.entry(instance).or_default();
        sum.good += counts.good;
        sum.late += counts.late;
        sum.failed += counts.failed;
        sum.unreachable += counts.unreachable;
        sum.latency_sum_ms += counts.latency_sum_ms;
    }

    /// Drains the outcomes added since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(u32, OutcomeCounts)> {
        self.outcomes.drain().collect()
    }

    /// Updates the limiters, at most once in `UPDATE_INTERVAL_MS`.
    ///
    /// `limit_of` returns the limit of a workspace by its hash.
    pub fn update_limiters(
        &mut self,
        limit_of: impl Fn(u32) -> Option<WindowLimit>,
        now: ClockTime,
    ) {
        if now.since(self.updated_at) < UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_at = now;
        // While this hub warms up, the counts stay pending: new limiters start from the counts of
        // other hubs, if these have arrived by then.
        if self.is_warming_up(now) {
            return;
        }
        // A workspace that no report mentioned for a whole window has an empty window.
        let covers_window = self.covers_full_window(now);
        let mut workspaces: Vec<u32> = self.pending.keys().copied().collect();
        workspaces.extend(self.near_full_records.near_full(now));
        for workspace in workspaces {
            if let Some(limit) = limit_of(workspace) {
                self.limiters.entry(workspace).or_insert_with(|| {
                    let initial_use = match self.remote_windows.get(&workspace) {
                        Some(count) => InitialUse::Counted(*count),
                        // Two windows of an unrecorded limit fit in the platform's.
                        None if covers_window || !limit.is_recorded => InitialUse::Counted(0),
                        None => self.near_full_records.initial_use(workspace, now),
                    };
                    WindowLimiter::new(limit, initial_use, now)
                });
            }
        }
        for (workspace, limiter) in &mut self.limiters {
            let (admitted, refused) = self.pending.remove(workspace).unwrap_or_default();
            if let Some(limit) = limit_of(*workspace) {
                limiter.update(admitted, refused, limit, self.coverage.fraction(), now);
                if !WindowLimiter::needs_record(limit) || limiter.holds_unknown_use(now) {
                    continue;
                }
                let used = limiter.used_part(limit);
                let is_throttled =
                    limiter.share() < THROTTLED_SHARE && self.coverage.fraction() >= FULL_COVERAGE;
                if used >= NEAR_FULL_THRESHOLD || is_throttled {
                    self.near_full_records.mark_near_full(*workspace, now);
                } else if used >= NEAR_FULL_CLEAR_THRESHOLD {
                    self.near_full_records.keep_near_full(*workspace, now);
                }
            }
        }
        self.pending.clear();
    }

    /// Shares of their requests that hosts should admit, by workspace hash; `None` while the hub
    /// warms up.
    ///
    /// Workspaces with a share of 1 or a limit whose rate is 0 are left out.
    pub fn shares(
        &self,
        limit_of: impl Fn(u32) -> Option<WindowLimit>,
        now: ClockTime,
    ) -> Option<Vec<(u32, f64)>> {
        if self.is_warming_up(now) {
            return None;
        }
        let shares = self
            .limiters
            .iter()
            .filter_map(|(workspace, limiter)| {
                limit_of(*workspace).filter(|limit| limit.rate > 0.0)?;
                Some((*workspace, limiter.share()))
            })
            .filter(|(_, share)| *share < 1.0)
            .collect();
        Some(shares)
    }

    /// Limiter of the workspace with the hash `workspace`.
    pub fn limiter(&self, workspace: u32) -> Option<&WindowLimiter> {
        self.limiters.get(&workspace)
    }

    /// Totals of this data centre, to be sent to the other hubs.
    pub fn local_totals(&self) -> Vec<WorkspaceCounts> {
        self.local_totals
            .iter()
            .map(|(workspace, (admitted, refused))| WorkspaceCounts {
                workspace: *workspace,
                admitted: *admitted,
                refused: *refused,
                in_window: self.limiters.get(workspace).map(WindowLimiter::in_window),
            })
            .collect()
    }

    /// Caller addresses of the hosts of this data centre that accept callers.
    pub fn local_hosts(&self, now: ClockTime) -> Vec<SocketAddr> {
        let mut hosts: Vec<SocketAddr> = self
            .hosts
            .values()
            .filter(|reporter| now.since(reporter.last_seen_at) <= HOST_TIMEOUT_MS)
            .flat_map(|reporter| reporter.caller_addresses.iter().copied())
            .collect();
        hosts.sort_unstable();
        hosts
    }

    /// Caller addresses of the hosts of other data centres that accept callers, each with its
    /// data centre.
    pub fn remote_hosts(&self, now: ClockTime) -> Vec<(CompactString, SocketAddr)> {
        let mut hosts: Vec<(CompactString, SocketAddr)> = self
            .hubs
            .values()
            .filter(|reporter| now.since(reporter.last_seen_at) <= HUB_TIMEOUT_MS)
            .flat_map(|reporter| {
                reporter
                    .caller_addresses
                    .iter()
                    .map(|host| (reporter.data_centre.clone(), *host))
            })
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Data centres of which less than `MIN_ACCEPTING_SHARE` of the reporting hosts accept callers;
    /// this hub's is `own_centre`. Callers there need hosts of other data centres too.
    pub fn short_data_centres(&self, own_centre: &str, now: ClockTime) -> Vec<CompactString> {
        let mut counts: BTreeMap<CompactString, (usize, u32)> = BTreeMap::new();
        let own_counts = (self.local_hosts(now).len(), self.reporter_count(now));
        counts.insert(own_centre.into(), own_counts);
        let hubs = self.hubs.values();
        for hub in hubs.filter(|hub| now.since(hub.last_seen_at) <= HUB_TIMEOUT_MS) {
            let count = counts.entry(hub.data_centre.clone()).or_default();
            count.0 += hub.caller_addresses.len();
            count.1 += hub.host_count;
        }
        let is_short = |(accepting, reporting): (usize, u32)| {
            (accepting as f64) < f64::from(reporting) * MIN_ACCEPTING_SHARE
        };
        let short = counts.into_iter().filter(|(_, count)| is_short(*count));
        short.map(|(data_centre, _)| data_centre).collect()
    }

    /// Hubs that sent a summary within `HUB_TIMEOUT_MS`, each with its data centre.
    pub fn reachable_hubs(&self, now: ClockTime) -> Vec<(SocketAddr, CompactString)> {
        self.hubs
            .iter()
            .filter(|(_, reporter)| now.since(reporter.last_seen_at) <= HUB_TIMEOUT_MS)
            .map(|(peer_address, reporter)| (*peer_address, reporter.data_centre.clone()))
            .collect()
    }

    /// Adds hubs that another hub can reach.
    ///
    /// Hosts that disagree about the hub of their data centre may not know each other directly.
    pub fn add_named_hubs(&mut self, hubs: &[SocketAddr], now: ClockTime) {
        self.named_hubs.extend(hubs.iter().map(|hub| (*hub, now)));
    }

    /// Hubs that sent a summary, or that another hub named, within `HUB_TIMEOUT_MS`.
    pub fn summary_recipients(&self, now: ClockTime) -> Vec<SocketAddr> {
        let reporting = self
            .hubs
            .iter()
            .map(|(peer_address, reporter)| (*peer_address, reporter.last_seen_at));
        let named = self
            .named_hubs
            .iter()
            .map(|(peer_address, at)| (*peer_address, *at));
        let recent = reporting
            .chain(named)
            .filter(|(_, at)| now.since(*at) <= HUB_TIMEOUT_MS);
        recent.map(|(peer_address, _)| peer_address).collect()
    }

    /// Removes hosts and hubs from which nothing arrived for `millis` milliseconds, and named hubs
    /// that were not mentioned for as long.
    pub fn remove_silent(&mut self, millis: u64, now: ClockTime) {
        let is_recent = |reporter: &ReportedCounters| now.since(reporter.last_seen_at) <= millis;
        self.hosts.retain(|_, reporter| is_recent(reporter));
        self.hubs.retain(|_, reporter| is_recent(reporter));
        self.named_hubs.retain(|_, at| now.since(*at) <= millis);
    }
}

/// Sums the requests in flight, by instance hash, of the reporters seen within `millis`
/// milliseconds.
fn sum_load<'a>(
    reporters: impl Iterator<Item = &'a ReportedCounters>,
    millis: u64,
    now: ClockTime,
) -> HashMap<u32, u32> {
    let mut load = HashMap::new();
    for reporter in reporters.filter(|reporter| now.since(reporter.last_seen_at) <= millis) {
        for (instance, count) in &reporter.in_flight {
            *load.entry(*instance).or_default() += count;
        }
    }
    load
}

fn add_pending(pending: &mut HashMap<u32, (u32, u32)>, count: WorkspaceCounts) {
    let sum = pending.entry(count.workspace).or_default();
    sum.0 += count.admitted;
    sum.1 += count.refused;
}
