//! What the hub of a data centre adds up from the reports of its hosts.
//!
//! Hosts report counters that only grow, so a lost report delays counts and
//! never loses them. Hubs tell each other the sums of their data centres in
//! the same way. A host that is new to this hub is not counted for what it did
//! before: an earlier hub has done so.
//!
//! Hosts may differ about the hub, so a host answers whoever reports to it and
//! tells its own hub the sums as a hub of another data centre does. Each host
//! reports to one, so nothing is counted twice.
//!
//! Hosts that this hub does not hear may admit requests that it cannot count,
//! for as long as their proof of the configuration lasts. They keep to their
//! parts of the limit, or another hub gives these out. Until then a hub gives
//! out only the part of each limit that the hosts it hears stand for.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::OutcomeCounts;
use crate::PaceLimit;
use crate::TellerId;
use crate::WindowMarks;
use crate::WindowStart;
use crate::WorkspacePace;
use crate::WorkspaceUse;
use crate::fleet_coverage::FleetCoverage;
use crate::fleet_coverage::UNHEARD_MS;
use crate::reported_counters::ToldCounters;
use crate::reported_counters::growth;
use crate::reported_counters::told_by;
use crate::window_limiter::MARK_USE;
use crate::window_limiter::UNMARK_USE;

/// Milliseconds of silence after which a host is not named to callers.
const HOST_SILENT_MS: u64 = 1_100;

/// Milliseconds of silence after which another hub's hosts are not named any more.
const HUB_SILENT_MS: u64 = 2_000;

/// Milliseconds of silence after which another hub may give out its part of a limit; five summaries.
const HUB_UNHEARD_MS: u64 = 700;

/// Milliseconds between decisions on the paces.
const ADVANCE_EVERY_MS: u64 = 50;

/// Milliseconds after the first report in which a hub's shares are not told.
///
/// Until then it does not know what callers ask for.
const YOUNG_MS: u64 = 400;

/// The same for a hub that read the marks, which need no word of other hubs; three reports.
const YOUNG_MARKED_MS: u64 = 180;

/// Admitted share below which a workspace is near its limit by its demand, not by chance.
const THINNED_SHARE: f64 = 0.7;

/// Share of the fleet from which on a thinned workspace is taken for one near its limit,
/// not for one whose limit others give out.
const WHOLE_COVERAGE: f64 = 0.9;

/// What the hub of a data centre adds up.
#[derive(Clone, Debug, Default)]
pub struct HubLedger {
    hosts: HashMap<SocketAddr, ToldCounters>,
    hubs: HashMap<SocketAddr, ToldCounters>,
    named_hubs: HashMap<SocketAddr, ClockTime>,
    own_totals: HashMap<u32, (u32, u32)>,
    pending: HashMap<u32, (u32, u32)>,
    paces: HashMap<u32, WorkspacePace>,
    outcomes: HashMap<u32, OutcomeCounts>,
    advanced_at: ClockTime,
    first_report_at: Option<ClockTime>,
    coverage: FleetCoverage,
    other_windows: HashMap<u32, u32>,
    /// Marks of the windows that are nearly full.
    pub marks: WindowMarks,
}

impl HubLedger {
    /// Takes the report of a host of this data centre; `callers` is `None` unless it takes callers.
    pub fn take_report(
        &mut self,
        teller: TellerId,
        callers: Option<SocketAddr>,
        uses: &[WorkspaceUse],
        now: ClockTime,
    ) {
        self.first_report_at.get_or_insert(now);
        let told = told_by(&mut self.hosts, teller, uses, HOST_SILENT_MS, now);
        told.hosts = callers.into_iter().collect();
        for used in growth(told, uses) {
            let total = self.own_totals.entry(used.workspace).or_default();
            total.0 = total.0.wrapping_add(used.admitted);
            total.1 = total.1.wrapping_add(used.refused);
            add_pending(&mut self.pending, used);
        }
    }

    /// Takes the summary of another data centre's hub; `hosts` is `None` if it tells none this time.
    pub fn take_summary(
        &mut self,
        teller: TellerId,
        data_centre: &str,
        hosts: Option<Vec<SocketAddr>>,
        uses: &[WorkspaceUse],
        now: ClockTime,
    ) {
        let told = told_by(&mut self.hubs, teller, uses, HUB_SILENT_MS, now);
        told.data_centre = data_centre.into();
        if let Some(hosts) = hosts {
            told.hosts = hosts;
        }
        for used in growth(told, uses) {
            add_pending(&mut self.pending, used);
        }
        for used in uses {
            if let Some(count) = used.in_window {
                self.other_windows.insert(used.workspace, count);
            }
        }
    }

    /// Takes the requests in flight at instances from the host at `peers`.
    pub fn take_host_load(&mut self, peers: SocketAddr, in_flight: Vec<(u32, u32)>) {
        if let Some(told) = self.hosts.get_mut(&peers) {
            told.in_flight = in_flight;
        }
    }

    /// Takes the requests in flight from the `reporters` hosts of the hub at `peers`.
    pub fn take_hub_load(&mut self, peers: SocketAddr, reporters: u32, in_flight: Vec<(u32, u32)>) {
        if let Some(told) = self.hubs.get_mut(&peers) {
            told.reporters = reporters;
            told.in_flight = in_flight;
        }
    }

    /// Number of hosts that report here.
    pub fn reporter_count(&self, now: ClockTime) -> u32 {
        let hosts = self.hosts.values();
        let heard = hosts.filter(|told| now.since(told.heard_at) <= HOST_SILENT_MS);
        heard.count() as u32
    }

    /// Whether the host at `peers` reports here.
    pub fn hears_host(&self, peers: SocketAddr, now: ClockTime) -> bool {
        let told = self.hosts.get(&peers);
        told.is_some_and(|told| now.since(told.heard_at) <= HOST_SILENT_MS)
    }

    fn is_young(&self, now: ClockTime) -> bool {
        let young_ms = if self.marks.is_read(now) {
            YOUNG_MARKED_MS
        } else {
            YOUNG_MS
        };
        self.first_report_at
            .is_none_or(|at| now.since(at) < young_ms)
    }

    /// Whether hosts reported here for a whole window.
    pub fn heard_whole_window(&self, now: ClockTime) -> bool {
        self.first_report_at
            .is_some_and(|at| now.since(at) > UNHEARD_MS)
    }

    /// Notes the share of the fleet that is heard, of `registered` hosts while this hub is young.
    ///
    /// Hosts that were not heard for long admit nothing any more and do not count.
    pub fn note_coverage(&mut self, registered: usize, now: ClockTime) {
        let of_hubs: u32 = self
            .hubs
            .values()
            .filter(|told| now.since(told.heard_at) <= HUB_UNHEARD_MS)
            .map(|told| told.reporters)
            .sum();
        let heard = self.reporter_count(now) + of_hubs;
        let least = if self.heard_whole_window(now) {
            0
        } else {
            registered as u32
        };
        self.coverage.note(heard, least, now);
    }

    /// Requests in flight from this data centre, by instance.
    pub fn own_load(&self, now: ClockTime) -> HashMap<u32, u32> {
        sum_load(self.hosts.values(), HOST_SILENT_MS, now)
    }

    /// Requests in flight from all data centres, by instance.
    pub fn whole_load(&self, now: ClockTime) -> HashMap<u32, u32> {
        let mut load = self.own_load(now);
        for (instance, count) in sum_load(self.hubs.values(), HUB_SILENT_MS, now) {
            *load.entry(instance).or_default() += count;
        }
        load
    }

    /// Notes outcomes that hosts of this data centre saw, for the other hubs.
    pub fn note_outcomes(&mut self, instance: u32, counts: &OutcomeCounts) {
        let sum = self.outcomes.entry(instance).or_default();
        sum.good += counts.good;
        sum.late += counts.late;
        sum.failed += counts.failed;
        sum.unreachable += counts.unreachable;
        sum.latency_sum_ms += counts.latency_sum_ms;
    }

    /// Takes the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(u32, OutcomeCounts)> {
        self.outcomes.drain().collect()
    }

    /// Brings the paces up to `now`, unless that was done a moment ago.
    ///
    /// `limit_of` gives the limit of a workspace by its hash.
    pub fn advance(&mut self, limit_of: impl Fn(u32) -> Option<PaceLimit>, now: ClockTime) {
        if now.since(self.advanced_at) < ADVANCE_EVERY_MS {
            return;
        }
        self.advanced_at = now;
        // A hub that is young waits for what other hubs counted.
        if self.is_young(now) {
            return;
        }
        // A workspace of which this hub heard nothing for a window used nothing.
        let heard_whole_window = self.heard_whole_window(now);
        let mut begun: Vec<u32> = self.pending.keys().copied().collect();
        begun.extend(self.marks.marked(now));
        for workspace in begun {
            if let Some(limit) = limit_of(workspace) {
                self.paces.entry(workspace).or_insert_with(|| {
                    let start = match self.other_windows.get(&workspace) {
                        Some(count) => WindowStart::Counted(*count),
                        None if heard_whole_window => WindowStart::Counted(0),
                        None => self.marks.start_of(workspace, now),
                    };
                    WorkspacePace::new(limit, start, now)
                });
            }
        }
        for (workspace, pace) in &mut self.paces {
            let (admitted, refused) = self.pending.remove(workspace).unwrap_or_default();
            if let Some(limit) = limit_of(*workspace) {
                pace.note(admitted, refused, limit, self.coverage.share(), now);
                if !WorkspacePace::is_markable(limit) || pace.is_assumed(now) {
                    continue;
                }
                let used = pace.used_part(limit);
                let is_thinned =
                    pace.share() < THINNED_SHARE && self.coverage.share() >= WHOLE_COVERAGE;
                if used >= MARK_USE || is_thinned {
                    self.marks.note_full(*workspace, now);
                } else if used >= UNMARK_USE {
                    self.marks.note_still_full(*workspace, now);
                }
            }
        }
        self.pending.clear();
    }

    /// Shares below one that hosts shall admit, by workspace; `None` while a hub is young.
    pub fn shares(
        &self,
        limit_of: impl Fn(u32) -> Option<PaceLimit>,
        now: ClockTime,
    ) -> Option<Vec<(u32, f64)>> {
        if self.is_young(now) {
            return None;
        }
        let shares = self
            .paces
            .iter()
            .filter_map(|(workspace, pace)| {
                limit_of(*workspace).filter(|limit| limit.rate > 0.0)?;
                Some((*workspace, pace.share()))
            })
            .filter(|(_, share)| *share < 1.0)
            .collect();
        Some(shares)
    }

    /// Pace of `workspace`.
    pub fn pace(&self, workspace: u32) -> Option<&WorkspacePace> {
        self.paces.get(&workspace)
    }

    /// Counters of this data centre, for the other hubs.
    pub fn own_totals(&self) -> Vec<WorkspaceUse> {
        self.own_totals
            .iter()
            .map(|(workspace, (admitted, refused))| WorkspaceUse {
                workspace: *workspace,
                admitted: *admitted,
                refused: *refused,
                in_window: self.paces.get(workspace).map(WorkspacePace::in_window),
            })
            .collect()
    }

    /// Hosts of this data centre that take callers.
    pub fn own_hosts(&self, now: ClockTime) -> Vec<SocketAddr> {
        let mut hosts: Vec<SocketAddr> = self
            .hosts
            .values()
            .filter(|told| now.since(told.heard_at) <= HOST_SILENT_MS)
            .flat_map(|told| told.hosts.iter().copied())
            .collect();
        hosts.sort_unstable();
        hosts
    }

    /// Hosts of the other data centres that take callers, each with its data centre.
    pub fn other_hosts(&self, now: ClockTime) -> Vec<(CompactString, SocketAddr)> {
        let mut hosts: Vec<(CompactString, SocketAddr)> = self
            .hubs
            .values()
            .filter(|told| now.since(told.heard_at) <= HUB_SILENT_MS)
            .flat_map(|told| {
                told.hosts
                    .iter()
                    .map(|host| (told.data_centre.clone(), *host))
            })
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Hubs that were heard lately, each with its data centre.
    pub fn heard_hubs(&self, now: ClockTime) -> Vec<(SocketAddr, CompactString)> {
        self.hubs
            .iter()
            .filter(|(_, told)| now.since(told.heard_at) <= HUB_SILENT_MS)
            .map(|(peers, told)| (*peers, told.data_centre.clone()))
            .collect()
    }

    /// Takes the hubs that another hub hears.
    ///
    /// Hosts that differ about the hub of their data centre may not know each other.
    pub fn take_named_hubs(&mut self, hubs: &[SocketAddr], now: ClockTime) {
        self.named_hubs.extend(hubs.iter().map(|hub| (*hub, now)));
    }

    /// Hubs that were heard or named lately.
    pub fn hubs_to_tell(&self, now: ClockTime) -> Vec<SocketAddr> {
        let heard = self
            .hubs
            .iter()
            .map(|(peers, told)| (*peers, told.heard_at));
        let named = self.named_hubs.iter().map(|(peers, at)| (*peers, *at));
        let recent = heard
            .chain(named)
            .filter(|(_, at)| now.since(*at) <= HUB_SILENT_MS);
        recent.map(|(peers, _)| peers).collect()
    }

    /// Forgets what was not heard for `millis` milliseconds.
    pub fn forget_silent(&mut self, millis: u64, now: ClockTime) {
        let is_recent = |told: &ToldCounters| now.since(told.heard_at) <= millis;
        self.hosts.retain(|_, told| is_recent(told));
        self.hubs.retain(|_, told| is_recent(told));
        self.named_hubs.retain(|_, at| now.since(*at) <= millis);
    }
}

/// Requests in flight that tellers heard within `millis` milliseconds told, by instance.
fn sum_load<'a>(
    tellers: impl Iterator<Item = &'a ToldCounters>,
    millis: u64,
    now: ClockTime,
) -> HashMap<u32, u32> {
    let mut load = HashMap::new();
    for told in tellers.filter(|told| now.since(told.heard_at) <= millis) {
        for (instance, count) in &told.in_flight {
            *load.entry(*instance).or_default() += count;
        }
    }
    load
}

fn add_pending(pending: &mut HashMap<u32, (u32, u32)>, used: WorkspaceUse) {
    let sum = pending.entry(used.workspace).or_default();
    sum.0 += used.admitted;
    sum.1 += used.refused;
}
