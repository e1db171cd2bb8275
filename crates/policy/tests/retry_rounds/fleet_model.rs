//! Hosts of one service that exchange reports, answers and summaries over a
//! network which delays and loses datagrams, and that stop and start.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::FleetBudget;
use crocushoist_policy::HubAggregator;
use crocushoist_policy::InstanceTable;
use crocushoist_policy::ReporterId;
use crocushoist_policy::RetryAccount;
use crocushoist_policy::RetryGrant;
use crocushoist_policy::RetryLedger;
use crocushoist_policy::RetryReport;
use crocushoist_policy::ServiceCounts;
use crocushoist_policy::WindowHistory;
use crocushoist_policy::WorkspaceCounts;
use crocushoist_policy::aged_share;
use crocushoist_policy::name_hash;
use crocushoist_policy::retry_pool_limit;
use crocushoist_state::ClockTime;

use crate::budget_check::ArrivalLog;

pub(crate) const STEP_MS: u64 = 20;
/// Time before the traffic, in which the fleet starts.
pub(crate) const LEAD_MS: u64 = 3_000;
pub(crate) const RATIO: f64 = 0.2;

const SERVICE: &str = "ledger";
const REPORT_INTERVAL_MS: u64 = 60;
const SUMMARY_INTERVAL_MS: u64 = 120;
const HUB_TIMEOUT_MS: u64 = 700;
const BUDGET_WINDOW_MS: u64 = 10_500;
const SUSPECT_MS: u64 = 6_000;
const MAX_ATTEMPTS: u32 = 3;
/// Milliseconds that an attempt takes.
const FAILURE_MS: Range<u64> = 20..160;

/// Size of a fleet and its traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) hosts: usize,
    pub(crate) data_centres: usize,
    pub(crate) slack: f64,
    pub(crate) requests_per_s: f64,
}

/// Faults of a run.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    /// Attempts that fail, by milliseconds since the start of the traffic.
    pub(crate) failure_rate: fn(u64) -> f64,
    /// Fraction of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Time from which all datagrams are lost.
    pub(crate) lost_from: Option<u64>,
    /// Fraction of the datagrams that are late, and by how many milliseconds at most.
    pub(crate) late: (f64, u64),
    /// Hosts that restart, with the time from the start of the traffic.
    pub(crate) restarts: Vec<(u64, usize)>,
    /// Milliseconds that a restart takes.
    pub(crate) restart_ms: u64,
    /// Until this time each host of a data centre may follow another hub.
    pub(crate) divided_until: u64,
    /// Whether hosts do not get the shares by which hubs spread the granted retries.
    pub(crate) loses_shares: bool,
}

impl Default for FaultPlan {
    fn default() -> Self {
        FaultPlan {
            failure_rate: |_| 0.7,
            loss: 0.0,
            lost_from: None,
            late: (0.0, 0),
            restarts: Vec::new(),
            restart_ms: 1_000,
            divided_until: 0,
            loses_shares: false,
        }
    }
}

/// Retries of a run by the time at which they were sent or denied, from the start of the traffic.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryTotals {
    sent: Vec<u64>,
    denied: Vec<u64>,
}

impl RetryTotals {
    pub(crate) fn sent_since(&self, from_ms: u64) -> u32 {
        self.sent.iter().filter(|at| **at >= from_ms).count() as u32
    }

    pub(crate) fn denied_since(&self, from_ms: u64) -> u32 {
        self.denied.iter().filter(|at| **at >= from_ms).count() as u32
    }
}

struct Host {
    incarnation: u64,
    running_since: Option<u64>,
    account: RetryAccount,
    ledger: RetryLedger,
    granted: u32,
    share: Option<(f64, ClockTime)>,
    table: InstanceTable,
    aggregator: HubAggregator,
    is_counted: bool,
    hub: usize,
    skipped: HashMap<usize, u64>,
    unanswered_since: Option<u64>,
    number: u32,
    sent: VecDeque<(u32, u64)>,
}

impl Host {
    fn new(incarnation: u64, running_since: Option<u64>, index: usize) -> Self {
        Host {
            incarnation,
            running_since,
            account: RetryAccount::default(),
            ledger: RetryLedger::default(),
            granted: 0,
            share: None,
            table: InstanceTable::default(),
            aggregator: HubAggregator::default(),
            is_counted: false,
            hub: index,
            skipped: HashMap::new(),
            unanswered_since: None,
            number: 0,
            sent: VecDeque::new(),
        }
    }

    fn history(&self, at: u64) -> WindowHistory {
        match self.running_since {
            Some(since) if at - since > BUDGET_WINDOW_MS => WindowHistory::Complete,
            Some(0) => WindowHistory::FirstStart,
            _ => WindowHistory::Lost,
        }
    }
}

#[derive(Clone)]
enum Message {
    Report {
        incarnation: u64,
        number: u32,
        is_counted: bool,
        counts: WorkspaceCounts,
        services: Vec<ServiceCounts>,
        retries: RetryReport,
    },
    Answer {
        incarnation: u64,
        number: u32,
        share: Option<f64>,
        grants: Vec<RetryGrant>,
    },
    Summary {
        incarnation: u64,
        counts: Vec<WorkspaceCounts>,
        services: Vec<ServiceCounts>,
        reporters: u32,
    },
}

struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

/// A fleet and its network.
pub(crate) struct FleetModel {
    size: FleetSize,
    plan: FaultPlan,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    /// Attempts by the time at which they end, host and its incarnation, number.
    pending: Vec<(u64, usize, u64, u32)>,
    network: BTreeMap<(u64, u64), Envelope>,
    sent: u64,
    pub(crate) log: ArrivalLog,
    pub(crate) totals: RetryTotals,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], 7000))
}

fn clock(at: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + at)
}

impl FleetModel {
    pub(crate) fn new(seed: u64, size: FleetSize, plan: FaultPlan) -> Self {
        FleetModel {
            size,
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..size.hosts)
                .map(|index| Host::new(index as u64, Some(0), index))
                .collect(),
            pending: Vec::new(),
            network: BTreeMap::new(),
            sent: 0,
            log: ArrivalLog::new(STEP_MS, LEAD_MS, RATIO, size.slack),
            totals: RetryTotals::default(),
        }
    }

    /// Plays `millis` of traffic.
    pub(crate) fn play(mut self, millis: u64) -> Self {
        for at in (0..LEAD_MS + millis).step_by(STEP_MS as usize) {
            self.restart_hosts(at);
            self.deliver(at);
            let arrivals = if at >= LEAD_MS {
                self.send_requests(at)
            } else {
                (0, 0)
            };
            self.log.push(arrivals.0, arrivals.1);
            self.report(at);
        }
        self
    }

    fn restart_hosts(&mut self, at: u64) {
        for (stop, host) in self.plan.restarts.clone() {
            let stop = LEAD_MS + stop;
            if at == stop {
                self.hosts[host].running_since = None;
            } else if at == stop + self.plan.restart_ms {
                self.hosts[host] = Host::new(at * 1_000 + host as u64, Some(at), host);
            }
        }
    }

    fn send_requests(&mut self, at: u64) -> (u32, u32) {
        let now = clock(at);
        let mut requests = 0;
        let failure_rate = (self.plan.failure_rate)(at - LEAD_MS);
        let per_host = self.size.requests_per_s / self.size.hosts as f64;
        let (slack, count) = (self.size.slack, self.size.hosts);
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if host.running_since.is_none() {
                continue;
            }
            if self.rng.random::<f64>() >= per_host * STEP_MS as f64 / 1_000.0 {
                continue;
            }
            requests += 1;
            host.account.add_request(RATIO, slack, count, now);
            host.table.count_request(SERVICE, true);
            let duration = self.rng.random_range(FAILURE_MS);
            self.pending
                .push((at + duration, index, host.incarnation, 1));
        }
        let repeats = self.end_attempts(at, failure_rate);
        (requests, repeats)
    }

    /// Ends the attempts that are due and sends those that failed again; returns their number.
    fn end_attempts(&mut self, at: u64, failure_rate: f64) -> u32 {
        let now = clock(at);
        let mut repeats = 0;
        for (due, index, incarnation, attempts) in std::mem::take(&mut self.pending) {
            if due > at {
                self.pending.push((due, index, incarnation, attempts));
                continue;
            }
            let host = &mut self.hosts[index];
            if host.running_since.is_none()
                || host.incarnation != incarnation
                || attempts >= MAX_ATTEMPTS
                || self.rng.random::<f64>() >= failure_rate
            {
                continue;
            }
            let share = host
                .share
                .and_then(|(share, at)| aged_share(share, at, now));
            if host
                .account
                .withdraw(share, self.rng.random(), now)
                .is_none()
            {
                self.totals.denied.push(at - LEAD_MS);
                continue;
            }
            self.totals.sent.push(at - LEAD_MS);
            repeats += 1;
            let duration = self.rng.random_range(FAILURE_MS);
            self.pending
                .push((at + duration, index, incarnation, attempts + 1));
        }
        repeats
    }

    /// Sends `message` unless the network loses it.
    fn post(&mut self, from: usize, to: usize, message: Message, at: u64) {
        let is_lost = |from: u64| at >= LEAD_MS + from;
        if self.plan.lost_from.is_some_and(is_lost) || self.rng.random::<f64>() < self.plan.loss {
            return;
        }
        let mut delay = STEP_MS;
        if self.rng.random::<f64>() < self.plan.late.0 {
            delay += self.rng.random_range(0..self.plan.late.1);
        }
        self.sent += 1;
        let envelope = Envelope { from, to, message };
        self.network.insert((at + delay, self.sent), envelope);
    }

    /// First host of the data centre of `host` that it does not skip; the host itself while the
    /// fleet is divided.
    fn select_hub(&mut self, index: usize, at: u64) -> usize {
        let centres = self.size.data_centres;
        if at < LEAD_MS + self.plan.divided_until && !(index / centres).is_multiple_of(3) {
            return index;
        }
        let host = &mut self.hosts[index];
        let is_silent = host
            .unanswered_since
            .is_some_and(|since| at - since > HUB_TIMEOUT_MS);
        if is_silent && host.hub != index {
            host.skipped.insert(host.hub, at);
            host.unanswered_since = None;
        }
        let first = index % centres;
        let hub = (first..self.size.hosts)
            .step_by(centres)
            .find(|hub| {
                host.skipped
                    .get(hub)
                    .is_none_or(|since| at - since > SUSPECT_MS)
            })
            .unwrap_or(index);
        if hub != host.hub {
            host.hub = hub;
            host.unanswered_since = None;
            host.sent.clear();
        }
        hub
    }

    fn report(&mut self, at: u64) {
        for index in 0..self.size.hosts {
            if self.hosts[index].running_since.is_none()
                || at % REPORT_INTERVAL_MS != index as u64 * STEP_MS % REPORT_INTERVAL_MS
            {
                continue;
            }
            let hub = self.select_hub(index, at);
            let host = &mut self.hosts[index];
            host.number += 1;
            let number = host.number;
            host.sent.push_back((number, at));
            let message = Message::Report {
                incarnation: host.incarnation,
                number,
                is_counted: host.is_counted,
                counts: host.account.pool_counts(SERVICE),
                services: host.table.take_service_counts(),
                retries: RetryReport {
                    number,
                    granted: host.granted,
                    history: host.history(at),
                    counts: vec![host.account.counts(SERVICE, clock(at))],
                },
            };
            if hub == index {
                host.is_counted = true;
                self.handle(
                    Envelope {
                        from: index,
                        to: index,
                        message,
                    },
                    at,
                );
            } else {
                host.unanswered_since.get_or_insert(at);
                self.post(index, hub, message, at);
            }
            if at % SUMMARY_INTERVAL_MS < REPORT_INTERVAL_MS {
                self.send_summaries(index, at);
            }
        }
    }

    fn send_summaries(&mut self, index: usize, at: u64) {
        let now = clock(at);
        if self.hosts[index].aggregator.reporter_count(now) == 0 {
            return;
        }
        let registered = self.size.hosts;
        let hub = &mut self.hosts[index].aggregator;
        hub.update_coverage(registered, now);
        let message = Message::Summary {
            incarnation: self.hosts[index].incarnation,
            counts: self.hosts[index].aggregator.local_totals(),
            services: self.hosts[index].aggregator.take_service_counts(),
            reporters: self.hosts[index].aggregator.reporter_count(now),
        };
        let centres = self.size.data_centres;
        let mut recipients: Vec<usize> = (0..centres)
            .filter(|to| to % centres != index % centres)
            .collect();
        recipients.push(self.hosts[index].hub);
        recipients.retain(|to| *to != index);
        for to in recipients {
            self.post(index, to, message.clone(), at);
        }
    }

    fn deliver(&mut self, at: u64) {
        while let Some(entry) = self.network.first_entry()
            && entry.key().0 <= at
        {
            let envelope = entry.remove();
            if self.hosts[envelope.to].running_since.is_some() {
                self.handle(envelope, at);
            }
        }
    }

    fn handle(&mut self, envelope: Envelope, at: u64) {
        let now = clock(at);
        let slack = self.size.slack;
        let budget = FleetBudget {
            ratio: RATIO,
            slack,
            hosts: self.size.hosts,
        };
        let Envelope { from, to, message } = envelope;
        let host = &mut self.hosts[to];
        match message {
            Message::Report {
                incarnation,
                number,
                is_counted,
                counts,
                services,
                retries,
            } => {
                let reporter_id = ReporterId {
                    peer_address: address(from),
                    incarnation,
                    is_counted,
                    has_all_counts: true,
                };
                host.ledger
                    .apply_report((address(from), incarnation), &retries, now);
                let hub = &mut host.aggregator;
                hub.apply_report(reporter_id, None, &[counts], now);
                for counts in services {
                    host.table.add_service_counts(counts, now);
                    hub.add_service_counts(counts);
                }
                let requests_per_s = host.table.requests_per_s(name_hash(SERVICE), now);
                let limit = |_| Some(retry_pool_limit(RATIO, slack, requests_per_s));
                hub.update_limiters(limit, now);
                let share = hub.shares(limit, now);
                let share = share.map(|shares| shares.first().map_or(1.0, |(_, share)| *share));
                let sender = (address(from), incarnation);
                let answer = Message::Answer {
                    incarnation,
                    number,
                    share,
                    grants: host.ledger.grants(sender, number, budget, now),
                };
                if from == to {
                    self.handle(
                        Envelope {
                            from: to,
                            to: from,
                            message: answer,
                        },
                        at,
                    );
                } else {
                    self.post(to, from, answer, at);
                }
            }
            Message::Answer {
                incarnation,
                number,
                share,
                grants,
            } => {
                let sent = host.sent.iter().find(|(sent, _)| *sent == number);
                let Some(reported_at) = sent.map(|(_, at)| clock(*at)) else {
                    return;
                };
                if host.incarnation != incarnation || host.hub != from {
                    return;
                }
                if number > host.granted {
                    for grant in grants {
                        host.granted = number;
                        host.account.apply_grant(grant.ceiling, reported_at);
                    }
                }
                host.unanswered_since = None;
                host.is_counted = true;
                if let Some(share) = share
                    && !self.plan.loses_shares
                {
                    host.share = Some((share, now));
                }
            }
            Message::Summary {
                incarnation,
                counts,
                services,
                reporters,
            } => {
                let reporter_id = ReporterId {
                    peer_address: address(from),
                    incarnation,
                    is_counted: true,
                    has_all_counts: true,
                };
                let name = format!("dc{}", from % self.size.data_centres);
                let hub = &mut host.aggregator;
                hub.apply_summary(reporter_id, &name, None, &counts, now);
                hub.set_hub_load(address(from), reporters, Vec::new());
                for counts in services {
                    host.table.add_service_counts(counts, now);
                }
            }
        }
    }
}
