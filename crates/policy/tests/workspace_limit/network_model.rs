//! Hosts that count one workspace's requests and exchange reports, answers and
//! summaries over a network which delays and loses datagrams, and that stop,
//! freeze and start.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crocushoist_policy::GateDecision;
use crocushoist_policy::HubAggregator;
use crocushoist_policy::NearFullWorkspaces;
use crocushoist_policy::ReporterId;
use crocushoist_policy::WindowLimit;
use crocushoist_policy::WorkspaceCounts;
use crocushoist_policy::WorkspaceGate;
use crocushoist_policy::aged_share;
use crocushoist_state::ClockTime;

use crate::fleet_model::REPORT_INTERVAL_MS;
use crate::fleet_model::SUMMARY_INTERVAL_MS;
use crate::fleet_model::WINDOW_MS;
use crate::fleet_model::WORKSPACE;
use crate::fleet_model::centre_name;
use crate::fleet_model::counts_of;
use crate::fleet_model::read_records;

const STEP_MS: u64 = 20;
const HUB_TIMEOUT_MS: u64 = 700;
const SUSPECT_MS: u64 = 6_000;
/// First hosts of a data centre among which another one looks for its hub.
const MAX_CANDIDATES: usize = 4;

/// Size of a fleet and the limit of the workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) hosts: usize,
    pub(crate) data_centres: usize,
    pub(crate) limit: WindowLimit,
}

/// Demand and faults of a run, with times in milliseconds since its start.
#[derive(Clone, Debug)]
pub(crate) struct FaultPlan {
    /// Requests a second in units of the limit's rate, by time.
    pub(crate) demand: fn(u64) -> f64,
    /// Whether all callers use one host.
    pub(crate) is_at_one_host: bool,
    /// Fraction of the datagrams that are lost.
    pub(crate) loss: f64,
    /// Fraction of the datagrams that are late, and by how many milliseconds at most.
    pub(crate) late: (f64, u64),
    /// Hosts that stop, with the time, and that start again `restart_ms` later.
    pub(crate) restarts: Vec<(u64, usize)>,
    pub(crate) restart_ms: u64,
    /// Hosts that do nothing for a time and then receive what arrived meanwhile.
    pub(crate) frozen: Vec<(Range<u64>, usize)>,
    /// Time in which two thirds of the hosts are hubs of their own.
    pub(crate) divided: Range<u64>,
}

impl Default for FaultPlan {
    fn default() -> Self {
        FaultPlan {
            demand: |_| 1.0 / 1.6,
            is_at_one_host: false,
            loss: 0.0,
            late: (0.0, 0),
            restarts: Vec::new(),
            restart_ms: 1_000,
            frozen: Vec::new(),
            divided: 0..0,
        }
    }
}

/// Admissions and refusals of a run by steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionLog {
    admitted: Vec<u32>,
    /// Refusals while the last window had room in the capacity of the limit.
    refused_with_room: u32,
}

impl AdmissionLog {
    /// Most admissions in a window, and where it begins in milliseconds.
    pub(crate) fn worst_window(&self) -> (u32, u64) {
        let steps = (WINDOW_MS / STEP_MS) as usize;
        let windows = self.admitted.windows(steps).enumerate();
        windows
            .map(|(from, window)| (window.iter().sum(), from as u64 * STEP_MS))
            .max_by_key(|(sum, _)| *sum)
            .unwrap_or_default()
    }

    pub(crate) fn admitted(&self) -> u32 {
        self.admitted.iter().sum()
    }

    pub(crate) fn refused_with_room(&self) -> u32 {
        self.refused_with_room
    }
}

struct Host {
    incarnation: u64,
    is_running: bool,
    gate: WorkspaceGate,
    assigned: Option<(f64, ClockTime)>,
    answered_at: Option<ClockTime>,
    aggregator: HubAggregator,
    is_counted: bool,
    hub: usize,
    skipped: HashMap<usize, u64>,
    unanswered_since: Option<u64>,
    number: u32,
    sent: VecDeque<(u32, u64)>,
}

impl Host {
    fn new(incarnation: u64, index: usize, stored: &[NearFullWorkspaces], now: ClockTime) -> Self {
        let mut aggregator = HubAggregator::default();
        aggregator.near_full_records = read_records(stored, now);
        Host {
            incarnation,
            is_running: true,
            gate: WorkspaceGate::new(now),
            assigned: None,
            answered_at: None,
            aggregator,
            is_counted: false,
            hub: index,
            skipped: HashMap::new(),
            unanswered_since: None,
            number: 0,
            sent: VecDeque::new(),
        }
    }
}

#[derive(Clone)]
enum Message {
    Report {
        incarnation: u64,
        number: u32,
        is_counted: bool,
        counts: [WorkspaceCounts; 1],
    },
    Answer {
        incarnation: u64,
        number: u32,
        share: Option<f64>,
    },
    Summary {
        incarnation: u64,
        counts: Vec<WorkspaceCounts>,
        reporters: u32,
        heard_hubs: Vec<SocketAddr>,
    },
}

struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

/// A fleet and its network.
pub(crate) struct NetworkModel {
    size: FleetSize,
    plan: FaultPlan,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    network: BTreeMap<(u64, u64), Envelope>,
    sent: u64,
    /// Near-full records in the store, by data centre.
    stored: Vec<NearFullWorkspaces>,
    pub(crate) log: AdmissionLog,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host / 250) as u8, (host % 250) as u8], 7000))
}

fn clock(at: u64) -> ClockTime {
    ClockTime::from_millis(100_000 + at)
}

impl NetworkModel {
    pub(crate) fn new(seed: u64, size: FleetSize, plan: FaultPlan) -> Self {
        let stored = vec![NearFullWorkspaces::new(); size.data_centres];
        NetworkModel {
            size,
            plan,
            rng: ChaCha8Rng::seed_from_u64(seed),
            hosts: (0..size.hosts)
                .map(|index| Host::new(index as u64, index, &stored, clock(0)))
                .collect(),
            network: BTreeMap::new(),
            sent: 0,
            stored,
            log: AdmissionLog::default(),
        }
    }

    /// Plays `millis` of traffic.
    pub(crate) fn play(mut self, millis: u64) -> Self {
        for at in (0..millis).step_by(STEP_MS as usize) {
            self.restart_hosts(at);
            self.deliver(at);
            self.send_requests(at);
            self.report(at);
        }
        self
    }

    fn restart_hosts(&mut self, at: u64) {
        for (stop, host) in self.plan.restarts.clone() {
            if at == stop {
                self.hosts[host].is_running = false;
            } else if at == stop + self.plan.restart_ms {
                let incarnation = at * 1_000 + host as u64;
                self.hosts[host] = Host::new(incarnation, host, &self.stored, clock(at));
            }
        }
    }

    /// End of the time in which `host` is frozen.
    fn frozen_until(&self, host: usize, at: u64) -> Option<u64> {
        let mut frozen = self.plan.frozen.iter();
        let found = frozen.find(|(time, frozen)| *frozen == host && time.contains(&at));
        found.map(|(time, _)| time.end)
    }

    fn is_active(&self, host: usize, at: u64) -> bool {
        self.hosts[host].is_running && self.frozen_until(host, at).is_none()
    }

    /// Spreads the demand over the hosts that run.
    fn send_requests(&mut self, at: u64) {
        let now = clock(at);
        let active: Vec<usize> = (0..self.size.hosts)
            .filter(|host| self.is_active(*host, at))
            .collect();
        let limit = self.size.limit;
        let demand = (self.plan.demand)(at) * limit.rate * STEP_MS as f64 / 1_000.0;
        let requests = demand as u32 + u32::from(self.rng.random::<f64>() < demand.fract());
        let mut admitted = 0;
        let steps = (WINDOW_MS / STEP_MS) as usize;
        let log = &mut self.log;
        let recent = log.admitted.iter().rev().take(steps - 1);
        let in_window: u32 = recent.sum();
        let capacity = limit.rate * WINDOW_MS as f64 / 1_000.0 + limit.burst;
        for _ in 0..requests {
            if active.is_empty() {
                break;
            }
            let index = if self.plan.is_at_one_host {
                active[active.len() - 1]
            } else {
                active[self.rng.random_range(0..active.len())]
            };
            let host = &mut self.hosts[index];
            let share = host
                .assigned
                .and_then(|(share, at)| aged_share(share, at, now))
                .or_else(|| {
                    let records = &host.aggregator.near_full_records;
                    records.initial_share(WORKSPACE, now)
                });
            match host
                .gate
                .decide(limit, share, host.answered_at, self.size.hosts, now)
            {
                GateDecision::Admit => admitted += 1,
                GateDecision::Refuse { .. } => {
                    let has_room = f64::from(in_window + admitted) < capacity;
                    log.refused_with_room += u32::from(has_room);
                }
            }
        }
        log.admitted.push(admitted);
    }

    /// Sends `message` unless the network loses it.
    fn post(&mut self, from: usize, to: usize, message: Message, at: u64) {
        if self.rng.random::<f64>() < self.plan.loss {
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
        let host = &mut self.hosts[index];
        let is_silent = host
            .unanswered_since
            .is_some_and(|since| at - since > HUB_TIMEOUT_MS);
        if is_silent && host.hub != index {
            host.skipped.insert(host.hub, at);
            host.unanswered_since = None;
        }
        let is_own_hub = self.plan.divided.contains(&at) && !(index / centres).is_multiple_of(3);
        let first = index % centres;
        let hub = (first..self.size.hosts)
            .step_by(centres)
            .find(|hub| {
                let skipped_at = host.skipped.get(hub);
                skipped_at.is_none_or(|since| at - since > SUSPECT_MS)
            })
            .filter(|_| !is_own_hub)
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
            let phase_ms = index as u64 * STEP_MS % REPORT_INTERVAL_MS;
            if at % REPORT_INTERVAL_MS != phase_ms || !self.is_active(index, at) {
                continue;
            }
            let hub = self.select_hub(index, at);
            let host = &mut self.hosts[index];
            host.number += 1;
            host.sent.push_back((host.number, at));
            let message = Message::Report {
                incarnation: host.incarnation,
                number: host.number,
                is_counted: host.is_counted,
                counts: counts_of(&host.gate),
            };
            if hub == index {
                let envelope = Envelope {
                    from: index,
                    to: index,
                    message,
                };
                self.handle(envelope, at);
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
        let centres = self.size.data_centres;
        let hub = &mut self.hosts[index].aggregator;
        if hub.reporter_count(now) == 0 {
            return;
        }
        hub.update_coverage(self.size.hosts, now);
        let limit = self.size.limit;
        hub.update_limiters(|_| Some(limit), now);
        let name = centre_name(index % centres);
        let may_clear = hub.covers_full_window(now);
        if let Some(near_full) = hub.near_full_records.record_to_write(&name, may_clear, now) {
            hub.near_full_records.set_record(&name, near_full.clone());
            self.stored[index % centres] = near_full;
        }
        let hub = &self.hosts[index].aggregator;
        let known = hub.summary_recipients(now);
        let reachable = hub.reachable_hubs(now);
        let message = Message::Summary {
            incarnation: self.hosts[index].incarnation,
            counts: hub.local_totals(),
            reporters: hub.reporter_count(now),
            heard_hubs: reachable.iter().map(|(address, _)| *address).collect(),
        };
        let mut recipients: Vec<usize> = (0..self.size.hosts)
            .filter(|to| known.contains(&address(*to)))
            .collect();
        recipients.push(self.hosts[index].hub);
        // For each data centre without a reachable hub, one of its first hosts in turn.
        let round = (at / SUMMARY_INTERVAL_MS) as usize;
        for centre in (0..centres).filter(|centre| *centre != index % centres) {
            let name = centre_name(centre);
            if !reachable.iter().any(|(_, reached)| *reached == name) {
                recipients.push(centre + round % MAX_CANDIDATES * centres);
            }
        }
        recipients.sort_unstable();
        recipients.dedup();
        recipients.retain(|to| *to != index);
        for to in recipients {
            self.post(index, to, message.clone(), at);
        }
    }

    fn deliver(&mut self, at: u64) {
        while let Some(entry) = self.network.first_entry()
            && entry.key().0 <= at
        {
            let (_, number) = *entry.key();
            let envelope = entry.remove();
            if let Some(until) = self.frozen_until(envelope.to, at) {
                self.network.insert((until, number), envelope);
            } else if self.hosts[envelope.to].is_running {
                self.handle(envelope, at);
            }
        }
    }

    fn handle(&mut self, envelope: Envelope, at: u64) {
        let now = clock(at);
        let Envelope { from, to, message } = envelope;
        let limit = self.size.limit;
        let host = &mut self.hosts[to];
        let reporter_id = |incarnation, is_counted| ReporterId {
            peer_address: address(from),
            incarnation,
            is_counted,
            has_all_counts: true,
        };
        match message {
            Message::Report {
                incarnation,
                number,
                is_counted,
                counts,
            } => {
                let hub = &mut host.aggregator;
                hub.apply_report(reporter_id(incarnation, is_counted), None, &counts, now);
                hub.update_limiters(|_| Some(limit), now);
                let shares = hub.shares(|_| Some(limit), now);
                let share = shares.map(|shares| shares.first().map_or(1.0, |(_, share)| *share));
                let answer = Message::Answer {
                    incarnation,
                    number,
                    share,
                };
                if from == to {
                    let envelope = Envelope {
                        from,
                        to,
                        message: answer,
                    };
                    self.handle(envelope, at);
                } else {
                    self.post(to, from, answer, at);
                }
            }
            Message::Answer {
                incarnation,
                number,
                share,
            } => {
                let sent = host.sent.iter().find(|(sent, _)| *sent == number);
                let Some(sent_at) = sent.map(|(_, at)| clock(*at)) else {
                    return;
                };
                if host.incarnation != incarnation || host.hub != from {
                    return;
                }
                host.unanswered_since = None;
                host.is_counted = true;
                host.answered_at = host.answered_at.max(Some(sent_at));
                if let Some(share) = share {
                    host.assigned = Some((share, now));
                }
            }
            Message::Summary {
                incarnation,
                counts,
                reporters,
                heard_hubs,
            } => {
                let name = centre_name(from % self.size.data_centres);
                let hub = &mut host.aggregator;
                hub.apply_summary(reporter_id(incarnation, true), &name, None, &counts, now);
                hub.set_hub_load(address(from), reporters, Vec::new());
                hub.add_named_hubs(&heard_hubs, now);
            }
        }
    }
}
