//! Grants retries to the hosts that report to a hub.
//!
//! The hub keeps, for each host that reports to it, the requests and retries of
//! the last window and the highest number of retries that any grant still
//! allows. What it grants, with what was sent in the window, stays within the
//! ratio of these hosts' requests and their part of the slack. So the sum over
//! all hubs stays within the budget of the fleet without an exchange between
//! them, however late or lost their datagrams are.
//!
//! Invariants: a grant counts until the host reports that a later one replaced
//! it. The window is the hosts' own, so a hub that has just started knows it from
//! their first reports; it grants nothing before most of them have arrived. A
//! restarted host adds little slack until it has run for a whole window, because
//! what it sent before the restart is not known.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use crocushoist_state::ClockTime;

use crate::RetryCounts;
use crate::RetryGrant;
use crate::WindowHistory;
use crate::retry_account::BUDGET_WINDOW_MS;
use crate::retry_account::GRANT_VALID_MS;

/// Part of the ratio that is granted.
const RATIO_FRACTION: f64 = 0.95;

/// Part of the slack that is granted to hosts whose window is known.
const SLACK_FRACTION: f64 = 0.85;

/// Part of the slack that is granted to restarted hosts; before the restart they may have used
/// [`SLACK_FRACTION`] of it.
const LOST_HISTORY_SLACK_FRACTION: f64 = 0.15;

/// Milliseconds after the first report during which the number of hosts, and thus their parts of
/// the slack, is not known: the first hosts of a fleet read the registrations before the others
/// have registered.
const REGISTRATION_MS: u64 = 3_500;

/// Milliseconds without a report after which a host gets no part of the slack.
const REPORTER_TIMEOUT_MS: u64 = 1_100;

/// Milliseconds after the first report during which nothing is granted.
const WARM_UP_MS: u64 = 400;

/// Milliseconds after the last report until the retries of a host have left the window.
const REPORTER_EXPIRY_MS: u64 = BUDGET_WINDOW_MS + GRANT_VALID_MS;

/// Requests that are added to those of each host when the room is divided, so that hosts with few
/// requests get a part too.
const BASE_WEIGHT: f64 = 10.0;

/// Maximum number of grants that are kept apart for a host.
const MAX_OPEN_GRANTS: usize = 32;

/// Budget of the fleet for the retries at one service.
#[derive(Clone, Copy, Debug)]
pub struct FleetBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in each window beyond the ratio.
    pub slack: f64,
    /// Number of hosts of the fleet.
    pub hosts: usize,
}

/// One start of a host, by its address for datagrams and its incarnation.
pub type HostStart = (SocketAddr, u64);

/// Report of a host for the ledger.
#[derive(Clone, Debug)]
pub struct RetryReport {
    /// Sequence number of the report.
    pub number: u32,
    /// Sequence number of the report whose answer had the grants in force.
    pub granted: u32,
    /// What the host knows of the last window.
    pub history: WindowHistory,
    /// Counts of all services.
    pub counts: Vec<RetryCounts>,
}

/// Grants that a host may use, and its counts, for one service.
#[derive(Clone, Debug, Default)]
struct ServiceEntry {
    counts: RetryCounts,
    /// Grants that may be in force, by the number of the answered report, oldest first.
    open: VecDeque<(u32, u32)>,
    /// Retries that the open grants allow beyond the reported ones.
    open_retries: f64,
}

impl ServiceEntry {
    /// Applies the counts of a report sent while the grant in the answer to report `granted` was
    /// in force.
    fn apply(&mut self, counts: RetryCounts, granted: u32) {
        self.counts = counts;
        self.open
            .retain(|(number, _)| distance(*number, granted) == 0);
        self.update_open_retries();
    }

    fn update_open_retries(&mut self) {
        let open = self.open.iter();
        let most = open
            .map(|(_, ceiling)| distance(self.counts.sent, *ceiling))
            .max();
        self.open_retries = f64::from(most.unwrap_or_default());
    }

    /// Adds a grant; the oldest two become one if there are many.
    fn add(&mut self, number: u32, ceiling: u32) {
        self.open.push_back((number, ceiling));
        if self.open.len() > MAX_OPEN_GRANTS
            && let Some((_, oldest)) = self.open.pop_front()
            && let Some((_, next)) = self.open.front_mut()
            && distance(*next, oldest) > 0
        {
            *next = oldest;
        }
        self.update_open_retries();
    }
}

/// Last report of one start of a host.
#[derive(Clone, Debug)]
struct ReporterEntry {
    number: u32,
    seen_at: ClockTime,
    history: WindowHistory,
    services: HashMap<u32, ServiceEntry>,
}

/// Use of one service's budget by the hosts of a hub, without the host that is asked for.
#[derive(Clone, Copy, Debug, Default)]
struct LedgerSums {
    capacity: f64,
    sent: f64,
    /// Open grants of the other hosts.
    others_open: f64,
    /// Weight of the hosts that report.
    weight: f64,
}

/// Grants retries to the hosts that report to a hub.
#[derive(Clone, Debug, Default)]
pub struct RetryLedger {
    reporters: HashMap<HostStart, ReporterEntry>,
    /// Time of the first report after a time without any.
    active_since: Option<ClockTime>,
}

impl RetryLedger {
    /// Applies the report of a host. A report that is older than the last one is ignored.
    pub fn apply_report(&mut self, host: HostStart, report: &RetryReport, now: ClockTime) {
        let reporters = &mut self.reporters;
        reporters.retain(|_, reporter| now.since(reporter.seen_at) <= REPORTER_EXPIRY_MS);
        let is_active = reporters.values().any(|reporter| reporter.is_recent(now));
        if !is_active || self.active_since.is_none() {
            self.active_since = Some(now);
        }
        let reporter = reporters.entry(host).or_insert_with(|| ReporterEntry {
            number: report.number,
            seen_at: now,
            history: report.history,
            services: HashMap::new(),
        });
        if distance(report.number, reporter.number) > 0 {
            return;
        }
        reporter.number = report.number;
        reporter.seen_at = now;
        reporter.history = report.history;
        for counts in &report.counts {
            let service = reporter.services.entry(counts.service).or_default();
            service.apply(*counts, report.granted);
        }
    }

    /// Grants in the answer to report `number` of `host`; none while the hub warms up.
    pub fn grants(
        &mut self,
        host: HostStart,
        number: u32,
        budget: FleetBudget,
        now: ClockTime,
    ) -> Vec<RetryGrant> {
        let warms_up = self
            .active_since
            .is_none_or(|since| now.since(since) < WARM_UP_MS);
        let Some(reporter) = self.reporters.get(&host) else {
            return Vec::new();
        };
        if warms_up || reporter.number != number {
            return Vec::new();
        }
        let services: Vec<u32> = reporter.services.keys().copied().collect();
        let grants: Vec<RetryGrant> = services
            .into_iter()
            .map(|service| RetryGrant {
                service,
                ceiling: self.ceiling(host, service, budget, now),
            })
            .collect();
        if let Some(reporter) = self.reporters.get_mut(&host) {
            for grant in &grants {
                let service = reporter.services.entry(grant.service).or_default();
                service.add(number, grant.ceiling);
            }
        }
        grants
    }

    /// Number of retries since its start up to which `host` may send them.
    ///
    /// The room is divided by the hosts' requests. What remains after rounding down goes to those
    /// that report first.
    fn ceiling(&self, host: HostStart, service: u32, budget: FleetBudget, now: ClockTime) -> u32 {
        let sums = self.sums(host, service, budget, now);
        let room = (sums.capacity - sums.sent).max(0.0);
        let fair_part = |entry: &ServiceEntry| (room * entry.weight() / sums.weight).floor();
        let others_reserved: f64 = self
            .entries(service)
            .filter(|(other, _, _)| *other != host)
            .map(|(_, reporter, entry)| {
                if reporter.is_recent(now) {
                    entry.open_retries.max(fair_part(entry))
                } else {
                    entry.open_retries
                }
            })
            .sum();
        let Some(own) = self
            .reporters
            .get(&host)
            .and_then(|own| own.services.get(&service))
        else {
            return 0;
        };
        let part = fair_part(own);
        let is_spare = room - others_reserved >= part + 1.0;
        let wanted = if is_spare { part + 1.0 } else { part };
        let granted = wanted.min(room - sums.others_open).max(0.0);
        own.counts.sent.wrapping_add(granted as u32)
    }

    fn sums(
        &self,
        host: HostStart,
        service: u32,
        budget: FleetBudget,
        now: ClockTime,
    ) -> LedgerSums {
        let slack_part = budget.slack / budget.hosts.max(1) as f64;
        let knows_hosts = self
            .active_since
            .is_some_and(|since| now.since(since) >= REGISTRATION_MS);
        let mut sums = LedgerSums::default();
        for (other, reporter, entry) in self.entries(service) {
            let age_ms = now.since(reporter.seen_at).min(BUDGET_WINDOW_MS);
            let in_window = 1.0 - age_ms as f64 / BUDGET_WINDOW_MS as f64;
            let requests = f64::from(entry.counts.requests) * in_window;
            let ratio_part = requests * budget.ratio * RATIO_FRACTION;
            sums.capacity += if reporter.is_recent(now) {
                ratio_part
            } else {
                // Another hub may count its requests, so they cover no retries of other hosts.
                ratio_part.min(f64::from(entry.counts.retries) + entry.open_retries)
            };
            sums.sent += f64::from(entry.counts.retries);
            if other != host {
                sums.others_open += entry.open_retries;
            }
            if reporter.is_recent(now) {
                sums.weight += entry.weight();
                sums.capacity += slack_part * reporter.slack_fraction(knows_hosts);
            }
        }
        sums
    }

    fn entries(
        &self,
        service: u32,
    ) -> impl Iterator<Item = (HostStart, &ReporterEntry, &ServiceEntry)> {
        self.reporters.iter().filter_map(move |(host, reporter)| {
            let entry = reporter.services.get(&service)?;
            Some((*host, reporter, entry))
        })
    }
}

impl ReporterEntry {
    /// Part of the host's slack that is granted; `knows_hosts` is whether the number of hosts is
    /// known although the fleet may be new.
    fn slack_fraction(&self, knows_hosts: bool) -> f64 {
        match self.history {
            WindowHistory::Complete => SLACK_FRACTION,
            WindowHistory::FirstStart if knows_hosts => SLACK_FRACTION,
            WindowHistory::Lost if knows_hosts => LOST_HISTORY_SLACK_FRACTION,
            WindowHistory::FirstStart | WindowHistory::Lost => 0.0,
        }
    }

    /// Whether the host reported within `REPORTER_TIMEOUT_MS`.
    fn is_recent(&self, now: ClockTime) -> bool {
        now.since(self.seen_at) <= REPORTER_TIMEOUT_MS
    }
}

impl ServiceEntry {
    /// Weight of the host when the room is divided.
    fn weight(&self) -> f64 {
        f64::from(self.counts.requests) + BASE_WEIGHT
    }
}

/// Steps from `from` up to `to`, two counters that may wrap around; zero if `from` is the higher.
fn distance(from: u32, to: u32) -> u32 {
    let steps = to.wrapping_sub(from);
    if steps <= u32::MAX / 2 { steps } else { 0 }
}
