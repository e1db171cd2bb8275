//! Judges the instances of one service from the evidence of all hosts.
//!
//! Every service has one home, a host chosen by hash, to which all hosts
//! report what they saw of its instances. The home compares each instance
//! with the others of the same service, so that slowness of the whole service
//! ejects nobody. Evidence against an instance from one data centre alone,
//! while others are well served, is a fault of the path: the hosts there
//! avoid the instance themselves and it stays in use elsewhere.
//!
//! An ejected instance returns by a trickle of real requests, which show what
//! a health endpoint may hide, and gains weight step by step. Each ejection
//! soon after another lasts longer.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crocushoist_state::ClockTime;
use crocushoist_state::EjectionDecision;
use crocushoist_state::InstanceOutcomes;
use crocushoist_state::OutcomeWindow;
use crocushoist_state::breach;
use crocushoist_state::breach::BreachKind;
use crocushoist_state::floor_count;

const HARD_WINDOW_MS: u64 = 1_000;
const HARD_FAILURES: u32 = 3;
const HARD_PERCENT: u32 = 50;
const PART_WINDOW_MS: u64 = 3_000;
const PART_REQUESTS: u32 = 15;
const PART_FAILURES: u32 = 4;
const PART_PERCENT: u32 = 12;
const SLOW_WINDOW_MS: u64 = 2_500;
const SLOW_REQUESTS: u32 = 8;
const SLOW_FACTOR: u64 = 3;
const SLOW_LEAST_MICROS: u64 = 3_000;
const SLOW_SHARE_PERCENT: u32 = 25;
const SLOW_SHARE_REQUESTS: u32 = 16;
const WELL_SERVED_REQUESTS: u32 = 3;
const FIRST_EJECTION_MS: u64 = 4_000;
const MAX_EJECTION_MS: u64 = 120_000;
const CALM_MS: u64 = 60_000;
const PERCENT: u32 = 100;

/// Weights of an instance that returns, each with the milliseconds it lasts.
const RETURN_STEPS: [(u8, u64); 3] = [(5, 1_500), (25, 1_500), (60, 1_500)];

/// Why an instance was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EjectionReason {
    /// Most of its requests failed.
    Failing,
    /// More of its requests failed than elsewhere.
    FailingInPart,
    /// It took several times as long as the others.
    Slow,
    /// More of its requests were slow than elsewhere.
    SlowInPart,
}

impl EjectionReason {
    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            EjectionReason::Failing => "failing",
            EjectionReason::FailingInPart => "failing_in_part",
            EjectionReason::Slow => "slow",
            EjectionReason::SlowInPart => "slow_in_part",
        }
    }
}

/// Instance of the service, as the home's own list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JudgedMember {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it counts towards the floor, ejections apart.
    pub healthy: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum JudgedPhase {
    #[default]
    InUse,
    Ejected {
        since: ClockTime,
        until: ClockTime,
    },
    Returning {
        since: ClockTime,
    },
}

/// What is known of one instance.
#[derive(Clone, Debug, Default)]
struct JudgedInstance {
    by_centre: BTreeMap<CompactString, OutcomeWindow>,
    phase: JudgedPhase,
    ejections: u32,
    ejected_at: ClockTime,
    reason: Option<EjectionReason>,
}

/// Judge of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceJudge {
    instances: HashMap<SocketAddr, JudgedInstance>,
    ejected_total: BTreeMap<(SocketAddr, EjectionReason), u64>,
    typical_micros: u64,
}

impl ServiceJudge {
    /// Takes what a host in `data_centre` saw of the instance at `address`.
    pub fn note(
        &mut self,
        data_centre: &str,
        address: SocketAddr,
        evidence: &InstanceOutcomes,
        now: ClockTime,
    ) {
        let instance = self.instances.entry(address).or_default();
        let window = instance.by_centre.entry(data_centre.into()).or_default();
        window.add(evidence, now);
    }

    /// Judges the instances in `members`; the worst stand first.
    pub fn judge(
        &mut self,
        members: &[JudgedMember],
        floor_percent: u32,
        now: ClockTime,
    ) -> Vec<EjectionDecision> {
        self.instances
            .retain(|address, _| members.iter().any(|member| member.address == *address));
        self.typical_micros = self.typical_latency(now);
        self.advance_returns(now);
        let floor = floor_count(members.len() as u32, floor_percent);
        for (address, reason) in self.suspects(members, now) {
            if self.healthy_count(members) <= floor {
                break;
            }
            self.eject(address, reason, now);
            breach::require(
                self.healthy_count(members) >= floor,
                BreachKind::FloorCrossed,
            );
        }
        self.verdicts(now)
    }

    /// Median over the instances of their mean latency in microseconds, zero if unknown.
    pub fn typical_micros(&self) -> u64 {
        self.typical_micros
    }

    /// Ejections since the start, by instance and reason.
    pub fn ejections(&self) -> impl Iterator<Item = (SocketAddr, EjectionReason, u64)> {
        self.ejected_total
            .iter()
            .map(|((address, reason), count)| (*address, *reason, *count))
    }

    fn healthy_count(&self, members: &[JudgedMember]) -> u32 {
        let in_use = |address: &SocketAddr| {
            self.instances
                .get(address)
                .is_none_or(|instance| !matches!(instance.phase, JudgedPhase::Ejected { .. }))
        };
        members
            .iter()
            .filter(|member| member.healthy && in_use(&member.address))
            .count() as u32
    }

    /// Instances in use that the evidence speaks against, the worst first.
    fn suspects(
        &self,
        members: &[JudgedMember],
        now: ClockTime,
    ) -> Vec<(SocketAddr, EjectionReason)> {
        let mut suspects: Vec<(EjectionReason, SocketAddr)> = members
            .iter()
            .filter_map(|member| {
                let instance = self.instances.get(&member.address)?;
                if matches!(instance.phase, JudgedPhase::Ejected { .. }) {
                    return None;
                }
                Some((self.reason_against(instance, now)?, member.address))
            })
            .collect();
        suspects.sort_unstable();
        suspects
            .into_iter()
            .map(|(reason, address)| (address, reason))
            .collect()
    }

    fn reason_against(&self, instance: &JudgedInstance, now: ClockTime) -> Option<EjectionReason> {
        let hard = instance.sum(now, HARD_WINDOW_MS);
        if hard.failed >= HARD_FAILURES && is_share(hard.failed, hard.total(), HARD_PERCENT) {
            return (!instance.is_path_fault(now)).then_some(EjectionReason::Failing);
        }
        let part = instance.sum(now, PART_WINDOW_MS);
        let others = self.others_failing(instance, now);
        if part.total() >= PART_REQUESTS
            && part.failed >= PART_FAILURES
            && is_share(part.failed, part.total(), PART_PERCENT + 2 * others)
        {
            return (!instance.is_path_fault(now)).then_some(EjectionReason::FailingInPart);
        }
        self.slowness_of(instance, now)
    }

    fn slowness_of(&self, instance: &JudgedInstance, now: ClockTime) -> Option<EjectionReason> {
        let seen = instance.sum(now, SLOW_WINDOW_MS);
        let typical = self.typical_micros;
        if typical == 0 || seen.succeeded < SLOW_REQUESTS {
            return None;
        }
        let mean = mean_latency(&seen)?;
        if mean >= typical * SLOW_FACTOR && mean >= typical + SLOW_LEAST_MICROS {
            return Some(EjectionReason::Slow);
        }
        let others = self.others_slow(now);
        let is_slow_in_part = seen.succeeded >= SLOW_SHARE_REQUESTS
            && is_share(seen.slow, seen.succeeded, SLOW_SHARE_PERCENT + 2 * others)
            && mean >= typical + typical / 2;
        is_slow_in_part.then_some(EjectionReason::SlowInPart)
    }

    /// Median over the instances of their mean latency.
    fn typical_latency(&self, now: ClockTime) -> u64 {
        let means = self
            .instances
            .values()
            .filter_map(|instance| mean_latency(&instance.sum(now, SLOW_WINDOW_MS)));
        median(means.collect()).unwrap_or(self.typical_micros)
    }

    /// Median share of failures in percent over the other instances.
    fn others_failing(&self, judged: &JudgedInstance, now: ClockTime) -> u32 {
        let shares = self
            .instances
            .values()
            .filter(|instance| !std::ptr::eq(*instance, judged))
            .map(|instance| instance.sum(now, PART_WINDOW_MS))
            .filter(|seen| seen.total() > 0)
            .map(|seen| u64::from(seen.failed * PERCENT / seen.total()));
        median(shares.collect()).unwrap_or(0) as u32
    }

    /// Median share of slow answers in percent over the instances.
    fn others_slow(&self, now: ClockTime) -> u32 {
        let shares = self
            .instances
            .values()
            .map(|instance| instance.sum(now, SLOW_WINDOW_MS))
            .filter(|seen| seen.succeeded > 0)
            .map(|seen| u64::from(seen.slow * PERCENT / seen.succeeded));
        median(shares.collect()).unwrap_or(0) as u32
    }

    fn eject(&mut self, address: SocketAddr, reason: EjectionReason, now: ClockTime) {
        let Some(instance) = self.instances.get_mut(&address) else {
            return;
        };
        if now.since(instance.ejected_at) > CALM_MS {
            instance.ejections = 0;
        }
        let millis = (FIRST_EJECTION_MS << instance.ejections.min(5)).min(MAX_EJECTION_MS);
        instance.ejections += 1;
        instance.ejected_at = now;
        instance.reason = Some(reason);
        instance.phase = JudgedPhase::Ejected {
            since: now,
            until: now.plus(millis),
        };
        instance
            .by_centre
            .values_mut()
            .for_each(OutcomeWindow::clear);
        *self.ejected_total.entry((address, reason)).or_default() += 1;
    }

    fn advance_returns(&mut self, now: ClockTime) {
        for instance in self.instances.values_mut() {
            match instance.phase {
                JudgedPhase::Ejected { until, .. } if until <= now => {
                    instance.phase = JudgedPhase::Returning { since: now };
                    instance
                        .by_centre
                        .values_mut()
                        .for_each(OutcomeWindow::clear);
                }
                JudgedPhase::Returning { since } if return_weight(since, now).is_none() => {
                    instance.phase = JudgedPhase::InUse;
                }
                _ => {}
            }
        }
    }

    /// Verdicts on the instances that are not wholly in use, the longest ejected first.
    fn verdicts(&self, now: ClockTime) -> Vec<EjectionDecision> {
        let mut verdicts: Vec<(ClockTime, EjectionDecision)> = self
            .instances
            .iter()
            .filter_map(|(address, instance)| {
                let (since, weight) = match instance.phase {
                    JudgedPhase::InUse => return None,
                    JudgedPhase::Ejected { since, .. } => (since, 0),
                    JudgedPhase::Returning { since } => (since, return_weight(since, now)?),
                };
                let verdict = EjectionDecision {
                    address: *address,
                    weight,
                    reason: instance.reason.map_or("", EjectionReason::name).into(),
                };
                Some((since, verdict))
            })
            .collect();
        verdicts.sort_unstable_by_key(|(since, verdict)| (*since, verdict.address));
        verdicts.into_iter().map(|(_, verdict)| verdict).collect()
    }
}

impl JudgedInstance {
    fn sum(&self, now: ClockTime, millis: u64) -> InstanceOutcomes {
        let mut sum = InstanceOutcomes::default();
        for window in self.by_centre.values() {
            sum.add(&window.sum(now, millis));
        }
        sum
    }

    /// Whether only one data centre sees failures while others are well served.
    fn is_path_fault(&self, now: ClockTime) -> bool {
        let seen: Vec<InstanceOutcomes> = self
            .by_centre
            .values()
            .map(|window| window.sum(now, PART_WINDOW_MS))
            .filter(|seen| seen.total() > 0)
            .collect();
        let failing = seen
            .iter()
            .filter(|seen| is_share(seen.failed, seen.total(), PART_PERCENT))
            .count();
        let well_served = seen
            .iter()
            .filter(|seen| seen.failed == 0 && seen.succeeded >= WELL_SERVED_REQUESTS)
            .count();
        failing == 1 && well_served >= 1
    }
}

fn return_weight(since: ClockTime, now: ClockTime) -> Option<u8> {
    let mut elapsed = now.since(since);
    for (weight, millis) in RETURN_STEPS {
        if elapsed < millis {
            return Some(weight);
        }
        elapsed -= millis;
    }
    None
}

fn is_share(part: u32, whole: u32, percent: u32) -> bool {
    whole > 0 && part * PERCENT >= whole * percent
}

fn mean_latency(seen: &InstanceOutcomes) -> Option<u64> {
    (seen.succeeded > 0).then(|| seen.latency_sum / u64::from(seen.succeeded))
}

fn median(mut values: Vec<u64>) -> Option<u64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
