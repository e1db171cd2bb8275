//! Outlier detection and ejection for the instances of one service.
//!
//! Every service has one owner, a host chosen by hash, to which all hosts
//! report the outcomes of their requests to its instances. The owner compares
//! each instance with the others of the same service, so that slowness of the
//! whole service ejects no instance. If only one data centre sees an instance
//! fail while others get successful responses from it, the network path is at
//! fault: the hosts in that data centre back off from the instance on their
//! own, and it stays in use elsewhere.
//!
//! An ejected instance returns gradually: it first gets a small share of real
//! requests, which show faults that a health endpoint may hide, and its weight
//! then grows in steps. An ejection that follows soon after another lasts
//! longer.

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

// `Failing`: window in milliseconds, minimum failures and minimum share of failures in percent.
const FAILING_WINDOW_MS: u64 = 1_000;
const FAILING_MIN_FAILURES: u32 = 3;
const FAILING_MIN_PERCENT: u32 = 50;

// `FailingInPart`: window in milliseconds, minimum requests and failures, and the share of failures
// in percent that an instance must reach on top of twice the median share of the other instances.
const PARTLY_FAILING_WINDOW_MS: u64 = 3_000;
const PARTLY_FAILING_MIN_REQUESTS: u32 = 15;
const PARTLY_FAILING_MIN_FAILURES: u32 = 4;
const PARTLY_FAILING_MIN_PERCENT: u32 = 12;

// `Slow`: window in milliseconds and minimum successful requests. The mean latency must be at least
// this multiple of the median over the instances and this many microseconds above it.
const SLOW_WINDOW_MS: u64 = 2_500;
const SLOW_MIN_SUCCESSES: u32 = 8;
const SLOW_MIN_FACTOR: u64 = 3;
const SLOW_MIN_EXCESS_MICROS: u64 = 3_000;

// `SlowInPart`: minimum successful requests in the same window, and the share of slow ones in
// percent that an instance must reach on top of twice the median share over the instances.
const PARTLY_SLOW_MIN_PERCENT: u32 = 25;
const PARTLY_SLOW_MIN_SUCCESSES: u32 = 16;

/// Successful requests without a failure from which a data centre counts as unaffected.
const UNAFFECTED_MIN_SUCCESSES: u32 = 3;

/// Duration of the first ejection in milliseconds; each further one soon after lasts twice as long.
const FIRST_EJECTION_MS: u64 = 4_000;

/// Maximum duration of an ejection in milliseconds.
const MAX_EJECTION_MS: u64 = 120_000;

/// Milliseconds after an ejection from which the next one counts as the first again.
const EJECTION_RESET_MS: u64 = 60_000;

const PERCENT: u32 = 100;

/// Weights in percent of a returning instance, each with its duration in milliseconds.
const RETURN_STEPS: [(u8, u64); 3] = [(5, 1_500), (25, 1_500), (60, 1_500)];

/// Why an instance was ejected, the most severe reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EjectionReason {
    /// At least half of its requests failed.
    Failing,
    /// A larger share of its requests failed than at the other instances.
    FailingInPart,
    /// Its mean latency is several times that of the others.
    Slow,
    /// A larger share of its requests was slow than at the other instances.
    SlowInPart,
}

impl EjectionReason {
    /// Name of the reason in reports and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EjectionReason::Failing => "failing",
            EjectionReason::FailingInPart => "failing_in_part",
            EjectionReason::Slow => "slow",
            EjectionReason::SlowInPart => "slow_in_part",
        }
    }
}

/// Instance of the service in the owner's own list of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceInstance {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it counts towards the minimum of instances in use, unless it is ejected.
    pub healthy: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum EjectionPhase {
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

/// Recent outcomes and ejections of one instance.
#[derive(Clone, Debug, Default)]
struct TrackedInstance {
    by_data_centre: BTreeMap<CompactString, OutcomeWindow>,
    phase: EjectionPhase,
    ejections: u32,
    ejected_at: ClockTime,
    reason: Option<EjectionReason>,
}

/// Detects outliers among the instances of one service and ejects them.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    instances: HashMap<SocketAddr, TrackedInstance>,
    ejection_counts: BTreeMap<(SocketAddr, EjectionReason), u64>,
    median_latency_micros: u64,
}

impl OutlierDetector {
    /// Adds outcomes that a host in `data_centre` observed at the instance at `address`.
    pub fn record_outcomes(
        &mut self,
        data_centre: &str,
        address: SocketAddr,
        outcomes: &InstanceOutcomes,
        now: ClockTime,
    ) {
        let instance = self.instances.entry(address).or_default();
        let window = instance
            .by_data_centre
            .entry(data_centre.into())
            .or_default();
        window.add(outcomes, now);
    }

    /// Decides which of the instances in `members` are ejected or returning.
    ///
    /// Returns the longest ejected first. An ejection never leaves fewer than
    /// `floor_percent` percent of all instances healthy and in use.
    pub fn decide_ejections(
        &mut self,
        members: &[ServiceInstance],
        floor_percent: u32,
        now: ClockTime,
    ) -> Vec<EjectionDecision> {
        self.instances
            .retain(|address, _| members.iter().any(|member| member.address == *address));
        self.median_latency_micros = self.current_median_latency(now);
        self.advance_phases(now);
        let floor = floor_count(members.len() as u32, floor_percent);
        for (address, reason) in self.outliers(members, now) {
            if self.usable_count(members) <= floor {
                break;
            }
            self.eject(address, reason, now);
            breach::require(
                self.usable_count(members) >= floor,
                BreachKind::FloorCrossed,
            );
        }
        self.decisions(now)
    }

    /// Median over the instances of their mean latency in microseconds, zero if unknown.
    ///
    /// As of the last decision.
    pub fn median_latency_micros(&self) -> u64 {
        self.median_latency_micros
    }

    /// Number of ejections since the start, by instance and reason.
    pub fn ejection_counts(&self) -> impl Iterator<Item = (SocketAddr, EjectionReason, u64)> {
        self.ejection_counts
            .iter()
            .map(|((address, reason), count)| (*address, *reason, *count))
    }

    /// Number of healthy instances that are not ejected.
    fn usable_count(&self, members: &[ServiceInstance]) -> u32 {
        let is_in_use = |address: &SocketAddr| {
            self.instances
                .get(address)
                .is_none_or(|instance| !matches!(instance.phase, EjectionPhase::Ejected { .. }))
        };
        members
            .iter()
            .filter(|member| member.healthy && is_in_use(&member.address))
            .count() as u32
    }

    /// Instances in use whose outcomes call for an ejection, the most severe reason first.
    fn outliers(
        &self,
        members: &[ServiceInstance],
        now: ClockTime,
    ) -> Vec<(SocketAddr, EjectionReason)> {
        let mut outliers: Vec<(EjectionReason, SocketAddr)> = members
            .iter()
            .filter_map(|member| {
                let instance = self.instances.get(&member.address)?;
                if matches!(instance.phase, EjectionPhase::Ejected { .. }) {
                    return None;
                }
                Some((self.ejection_reason(instance, now)?, member.address))
            })
            .collect();
        outliers.sort_unstable();
        outliers
            .into_iter()
            .map(|(reason, address)| (address, reason))
            .collect()
    }

    fn ejection_reason(
        &self,
        instance: &TrackedInstance,
        now: ClockTime,
    ) -> Option<EjectionReason> {
        let short = instance.sum(now, FAILING_WINDOW_MS);
        if short.failed >= FAILING_MIN_FAILURES
            && reaches_percent(short.failed, short.total(), FAILING_MIN_PERCENT)
        {
            return (!instance.is_path_fault(now)).then_some(EjectionReason::Failing);
        }
        let long = instance.sum(now, PARTLY_FAILING_WINDOW_MS);
        let usual_percent = self.median_failed_percent_of_others(instance, now);
        if long.total() >= PARTLY_FAILING_MIN_REQUESTS
            && long.failed >= PARTLY_FAILING_MIN_FAILURES
            && reaches_percent(
                long.failed,
                long.total(),
                PARTLY_FAILING_MIN_PERCENT + 2 * usual_percent,
            )
        {
            return (!instance.is_path_fault(now)).then_some(EjectionReason::FailingInPart);
        }
        self.slowness_reason(instance, now)
    }

    fn slowness_reason(
        &self,
        instance: &TrackedInstance,
        now: ClockTime,
    ) -> Option<EjectionReason> {
        let recent = instance.sum(now, SLOW_WINDOW_MS);
        let median_micros = self.median_latency_micros;
        if median_micros == 0 || recent.succeeded < SLOW_MIN_SUCCESSES {
            return None;
        }
        let mean_micros = mean_latency(&recent)?;
        if mean_micros >= median_micros * SLOW_MIN_FACTOR
            && mean_micros >= median_micros + SLOW_MIN_EXCESS_MICROS
        {
            return Some(EjectionReason::Slow);
        }
        let usual_percent = self.median_slow_percent(now);
        let is_slow_in_part = recent.succeeded >= PARTLY_SLOW_MIN_SUCCESSES
            && reaches_percent(
                recent.slow,
                recent.succeeded,
                PARTLY_SLOW_MIN_PERCENT + 2 * usual_percent,
            )
            && mean_micros >= median_micros + median_micros / 2;
        is_slow_in_part.then_some(EjectionReason::SlowInPart)
    }

    /// Median over the instances of their mean latency in microseconds.
    ///
    /// The last known one if there were no successful requests.
    fn current_median_latency(&self, now: ClockTime) -> u64 {
        let means = self
            .instances
            .values()
            .filter_map(|instance| mean_latency(&instance.sum(now, SLOW_WINDOW_MS)));
        median(means.collect()).unwrap_or(self.median_latency_micros)
    }

    /// Median over the other instances of their share of failures in percent.
    fn median_failed_percent_of_others(&self, excluded: &TrackedInstance, now: ClockTime) -> u32 {
        let shares = self
            .instances
            .values()
            .filter(|instance| !std::ptr::eq(*instance, excluded))
            .map(|instance| instance.sum(now, PARTLY_FAILING_WINDOW_MS))
            .filter(|outcomes| outcomes.total() > 0)
            .map(|outcomes| u64::from(outcomes.failed * PERCENT / outcomes.total()));
        median(shares.collect()).unwrap_or(0) as u32
    }

    /// Median over the instances of their share of slow responses in percent.
    fn median_slow_percent(&self, now: ClockTime) -> u32 {
        let shares = self
            .instances
            .values()
            .map(|instance| instance.sum(now, SLOW_WINDOW_MS))
            .filter(|outcomes| outcomes.succeeded > 0)
            .map(|outcomes| u64::from(outcomes.slow * PERCENT / outcomes.succeeded));
        median(shares.collect()).unwrap_or(0) as u32
    }

    fn eject(&mut self, address: SocketAddr, reason: EjectionReason, now: ClockTime) {
        let Some(instance) = self.instances.get_mut(&address) else {
            return;
        };
        if now.since(instance.ejected_at) > EJECTION_RESET_MS {
            instance.ejections = 0;
        }
        let duration_ms = (FIRST_EJECTION_MS << instance.ejections.min(5)).min(MAX_EJECTION_MS);
        instance.ejections += 1;
        instance.ejected_at = now;
        instance.reason = Some(reason);
        instance.phase = EjectionPhase::Ejected {
            since: now,
            until: now.plus(duration_ms),
        };
        instance
            .by_data_centre
            .values_mut()
            .for_each(OutcomeWindow::clear);
        *self.ejection_counts.entry((address, reason)).or_default() += 1;
    }

    /// Moves instances on whose ejection or gradual return has finished.
    fn advance_phases(&mut self, now: ClockTime) {
        for instance in self.instances.values_mut() {
            match instance.phase {
                EjectionPhase::Ejected { until, .. } if until <= now => {
                    instance.phase = EjectionPhase::Returning { since: now };
                    instance
                        .by_data_centre
                        .values_mut()
                        .for_each(OutcomeWindow::clear);
                }
                EjectionPhase::Returning { since } if return_weight(since, now).is_none() => {
                    instance.phase = EjectionPhase::InUse;
                }
                _ => {}
            }
        }
    }

    /// Decisions on the instances that are ejected or returning, the longest ejected first.
    fn decisions(&self, now: ClockTime) -> Vec<EjectionDecision> {
        let mut decisions: Vec<(ClockTime, EjectionDecision)> = self
            .instances
            .iter()
            .filter_map(|(address, instance)| {
                let (since, weight) = match instance.phase {
                    EjectionPhase::InUse => return None,
                    EjectionPhase::Ejected { since, .. } => (since, 0),
                    EjectionPhase::Returning { since } => (since, return_weight(since, now)?),
                };
                let decision = EjectionDecision {
                    address: *address,
                    weight,
                    reason: instance.reason.map_or("", EjectionReason::name).into(),
                };
                Some((since, decision))
            })
            .collect();
        decisions.sort_unstable_by_key(|(since, decision)| (*since, decision.address));
        decisions
            .into_iter()
            .map(|(_, decision)| decision)
            .collect()
    }
}

impl TrackedInstance {
    /// Outcomes of the last `millis` milliseconds over all data centres.
    fn sum(&self, now: ClockTime, millis: u64) -> InstanceOutcomes {
        let mut sum = InstanceOutcomes::default();
        for window in self.by_data_centre.values() {
            sum.add(&window.sum(now, millis));
        }
        sum
    }

    /// Whether exactly one data centre sees failures while at least one other sees none.
    fn is_path_fault(&self, now: ClockTime) -> bool {
        let by_data_centre: Vec<InstanceOutcomes> = self
            .by_data_centre
            .values()
            .map(|window| window.sum(now, PARTLY_FAILING_WINDOW_MS))
            .filter(|outcomes| outcomes.total() > 0)
            .collect();
        let failing = by_data_centre
            .iter()
            .filter(|outcomes| {
                reaches_percent(
                    outcomes.failed,
                    outcomes.total(),
                    PARTLY_FAILING_MIN_PERCENT,
                )
            })
            .count();
        let unaffected = by_data_centre
            .iter()
            .filter(|outcomes| {
                outcomes.failed == 0 && outcomes.succeeded >= UNAFFECTED_MIN_SUCCESSES
            })
            .count();
        failing == 1 && unaffected >= 1
    }
}

/// Weight in percent of an instance returning since `since`, `None` once its return has finished.
fn return_weight(since: ClockTime, now: ClockTime) -> Option<u8> {
    let mut elapsed_ms = now.since(since);
    for (weight, duration_ms) in RETURN_STEPS {
        if elapsed_ms < duration_ms {
            return Some(weight);
        }
        elapsed_ms -= duration_ms;
    }
    None
}

/// Whether `part` is at least `percent` percent of `whole`, false if `whole` is zero.
fn reaches_percent(part: u32, whole: u32, percent: u32) -> bool {
    whole > 0 && part * PERCENT >= whole * percent
}

/// Mean latency of the successful requests in microseconds.
fn mean_latency(outcomes: &InstanceOutcomes) -> Option<u64> {
    (outcomes.succeeded > 0).then(|| outcomes.latency_sum / u64::from(outcomes.succeeded))
}

/// Median of `values`, the upper one of the middle two.
fn median(mut values: Vec<u64>) -> Option<u64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
