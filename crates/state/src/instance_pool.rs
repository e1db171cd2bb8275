//! Load balancing over the instances of each service.
//!
//! A request goes to the better of two random candidates. The cost of a
//! candidate is its expected completion time: requests in flight from this
//! host times the average latency, plus a penalty for another data centre.
//!
//! An instance gets no requests while it is leaving, while the owner of its
//! service (the host that collects the outcomes from all hosts) has ejected
//! it, or while it is in backoff on this host alone after consecutive failures.
//!
//! Invariant: ejections and backoffs never leave fewer healthy instances than
//! the floor. Instances that are leaving, ejected, in backoff or warming up
//! are not healthy.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use cranelift_entity::PrimaryMap;
use cranelift_entity::entity_impl;

use crate::ClockTime;
use crate::EjectionDecision;
use crate::InstanceOutcomes;
use crate::InstanceState;
use crate::RoutingPolicy;
use crate::breach;
use crate::breach::BreachKind;
use crate::instance_state::FULL_WEIGHT_PERCENT;
use crate::instance_state::InFlightRequest;

/// Requests that this host sends to one instance at the same time.
const SLOTS_PER_INSTANCE: usize = 3;
/// Consecutive failures that start a backoff.
const FAILURES_TO_BACK_OFF: u32 = 3;
/// First backoff; each further one without a success in between is twice as long.
const FIRST_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_MS: u64 = 30_000;
/// Time for which an instance that joined later does not count as healthy.
const WARM_UP_MS: u64 = 2_000;
/// Time for which an instance's own draining notice overrides the listing.
const DRAINING_NOTICE_MS: u64 = 30_000;
/// Time for which an ejection decision holds unless it is repeated.
const DECISION_LIFETIME_MS: u64 = 3_000;
/// Penalty in the cost of an instance in another data centre.
const OTHER_DATA_CENTRE_PENALTY_MICROS: u64 = 2_000;
/// Assumed latency of an instance before its first response.
const INITIAL_LATENCY_MICROS: u64 = 2_000;
/// A new latency enters the moving average with a weight of one in this number.
const LATENCY_SMOOTHING: u64 = 8;
/// A response is slow if it took more than this multiple of the typical latency.
const SLOW_FACTOR: u64 = 3;
/// A request is stuck after this multiple of the typical latency, but not before [`MIN_STUCK_MS`].
const STUCK_FACTOR: u64 = 20;
const MIN_STUCK_MS: u64 = 250;
/// Time after which a request is stuck while the typical latency is unknown.
const DEFAULT_STUCK_MS: u64 = 2_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Arena key of an instance, valid on this host only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(u32);
entity_impl!(InstanceId, "instance");

/// Instances of one service.
#[derive(Clone, Debug, Default)]
struct ServiceMembers {
    instances: Vec<InstanceId>,
    /// Typical latency as the owner of the service reported it, zero if unknown.
    typical_latency_micros: u64,
    /// Round-robin counter.
    round_robin_count: usize,
}

/// Instances of all services, with their slots and health.
#[derive(Clone, Debug, Default)]
pub struct InstancePool {
    policy: RoutingPolicy,
    instances: PrimaryMap<InstanceId, InstanceState>,
    by_address: HashMap<SocketAddr, InstanceId>,
    by_service: HashMap<CompactString, ServiceMembers>,
    has_listing: bool,
}

impl InstancePool {
    /// Creates an empty pool that selects instances by `policy`.
    pub fn new(policy: RoutingPolicy) -> Self {
        InstancePool {
            policy,
            ..InstancePool::default()
        }
    }

    /// Adds or updates the instance at `address`.
    ///
    /// An instance that appears after the first listing warms up before it counts as healthy.
    pub fn upsert(
        &mut self,
        service: &str,
        address: SocketAddr,
        data_centre: &str,
        leaving: bool,
        now: ClockTime,
    ) {
        if let Some(id) = self.by_address.get(&address) {
            self.instances[*id].leaving = leaving;
            return;
        }
        let warm_up_until = if self.has_listing {
            now.plus(WARM_UP_MS)
        } else {
            ClockTime::default()
        };
        let id = self.instances.push(InstanceState {
            service: service.into(),
            address,
            data_centre: data_centre.into(),
            leaving,
            latency_micros: INITIAL_LATENCY_MICROS,
            backoff_until: ClockTime::default(),
            in_flight: Vec::new(),
            draining_until: ClockTime::default(),
            consecutive_failures: 0,
            backoff_millis: FIRST_BACKOFF_MS,
            warm_up_until,
            ejection_reason: CompactString::default(),
            weight: FULL_WEIGHT_PERCENT,
            decision_expires: ClockTime::default(),
            outcomes: InstanceOutcomes::default(),
        });
        self.by_address.insert(address, id);
        let members = self.by_service.entry(service.into()).or_default();
        members.instances.push(id);
    }

    /// Completes a listing by marking every instance that `is_listed` rejects as leaving.
    pub fn end_listing(&mut self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.has_listing = true;
        for instance in self.instances.values_mut() {
            instance.leaving |= !is_listed(&instance.address);
        }
    }

    /// Marks `id` as leaving after its own draining notice, which an outdated listing does not undo.
    pub fn record_draining(&mut self, id: InstanceId, now: ClockTime) {
        self.instances[id].draining_until = now.plus(DRAINING_NOTICE_MS);
    }

    /// Returns the state of `id`.
    pub fn get(&self, id: InstanceId) -> &InstanceState {
        &self.instances[id]
    }

    /// Iterates over all instances.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &InstanceState)> {
        self.instances.iter()
    }

    /// Iterates over the instances of `service`.
    pub fn members(&self, service: &str) -> impl Iterator<Item = &InstanceState> {
        let members = self.by_service.get(service);
        members
            .into_iter()
            .flat_map(|members| members.instances.iter())
            .map(|id| &self.instances[*id])
    }

    /// Selects a usable instance of `service` and occupies one of its slots.
    ///
    /// Returns `None` if no slot is free. `draws` are two random numbers;
    /// instances in `tried` are excluded.
    pub fn acquire_slot(
        &mut self,
        service: &str,
        data_centre: &str,
        now: ClockTime,
        draws: (u64, u64),
        tried: &[InstanceId],
    ) -> Option<InstanceId> {
        let usable = self.candidates(service, now, draws.0, tried);
        if usable.is_empty() {
            return None;
        }
        let chosen = match self.policy {
            RoutingPolicy::RoundRobin => {
                let members = self.by_service.get_mut(service)?;
                members.round_robin_count += 1;
                usable[members.round_robin_count % usable.len()]
            }
            RoutingPolicy::Shared | RoutingPolicy::Own => {
                self.better_of_two(&usable, data_centre, draws)
            }
        };
        self.instances[chosen].in_flight.push(InFlightRequest {
            acquired_at: now,
            is_counted_as_failed: false,
        });
        Some(chosen)
    }

    /// Frees the slot acquired at `acquired_at` after a success that took `micros` microseconds.
    pub fn record_success(&mut self, id: InstanceId, acquired_at: ClockTime, micros: u64) {
        let typical = self.typical_latency_of(id);
        let instance = &mut self.instances[id];
        instance.free_slot(acquired_at);
        instance.consecutive_failures = 0;
        instance.backoff_millis = FIRST_BACKOFF_MS;
        let previous = instance.latency_micros * (LATENCY_SMOOTHING - 1);
        instance.latency_micros = (previous + micros) / LATENCY_SMOOTHING;
        instance.outcomes.succeeded += 1;
        instance.outcomes.latency_sum += micros;
        instance.outcomes.slow += u32::from(typical > 0 && micros > typical * SLOW_FACTOR);
    }

    /// Frees the slot acquired at `acquired_at` without counting a success or a failure.
    pub fn release_slot(&mut self, id: InstanceId, acquired_at: ClockTime) {
        self.instances[id].free_slot(acquired_at);
    }

    /// Frees the slot after a failure and starts a backoff if the policy and the floor allow one.
    pub fn record_failure(
        &mut self,
        id: InstanceId,
        acquired_at: ClockTime,
        now: ClockTime,
        floor_percent: u32,
    ) {
        let instance = &mut self.instances[id];
        instance.free_slot(acquired_at);
        instance.outcomes.failed += 1;
        instance.consecutive_failures += 1;
        let is_backoff_due = instance.consecutive_failures >= FAILURES_TO_BACK_OFF;
        if !is_backoff_due || self.policy == RoutingPolicy::RoundRobin {
            return;
        }
        let service = instance.service.clone();
        if !self.instances[id].is_healthy(now)
            || !self.floor_allows_one_less(&service, now, floor_percent)
        {
            return;
        }
        let instance = &mut self.instances[id];
        instance.backoff_until = now.plus(instance.backoff_millis);
        instance.backoff_millis = (instance.backoff_millis * 2).min(MAX_BACKOFF_MS);
        instance.consecutive_failures = 0;
        self.check_floor(&service, now, floor_percent);
    }

    /// Replaces the ejection decisions of `service` by those of its owner, worst instance first.
    ///
    /// Ejections that the floor does not allow are skipped.
    pub fn apply_decisions(
        &mut self,
        service: &str,
        decisions: &[EjectionDecision],
        typical_latency_micros: u64,
        now: ClockTime,
        floor_percent: u32,
    ) {
        let Some(members) = self.by_service.get_mut(service) else {
            return;
        };
        members.typical_latency_micros = typical_latency_micros;
        for id in members.instances.clone() {
            self.instances[id].decision_expires = ClockTime::default();
        }
        let mut ejected_any = false;
        for decision in decisions {
            let Some(id) = self.by_address.get(&decision.address).copied() else {
                continue;
            };
            let is_healthy = self.instances[id].is_healthy(now);
            if decision.weight == 0
                && is_healthy
                && !self.floor_allows_one_less(service, now, floor_percent)
            {
                continue;
            }
            ejected_any |= decision.weight == 0 && is_healthy;
            let instance = &mut self.instances[id];
            instance.weight = decision.weight;
            instance.ejection_reason = decision.reason.clone();
            instance.decision_expires = now.plus(DECISION_LIFETIME_MS);
        }
        if ejected_any {
            self.check_floor(service, now, floor_percent);
        }
    }

    /// Drains the outcomes at the instances of `service` since the last call.
    ///
    /// A request that is stuck counts as failed once.
    pub fn drain_outcomes(
        &mut self,
        service: &str,
        now: ClockTime,
    ) -> Vec<(SocketAddr, InstanceOutcomes)> {
        let Some(members) = self.by_service.get(service) else {
            return Vec::new();
        };
        let stuck_millis = stuck_millis(members.typical_latency_micros);
        let mut drained = Vec::new();
        for id in &members.instances {
            let instance = &mut self.instances[*id];
            for request in &mut instance.in_flight {
                if !request.is_counted_as_failed && now.since(request.acquired_at) > stuck_millis {
                    request.is_counted_as_failed = true;
                    instance.outcomes.failed += 1;
                }
            }
            let outcomes = std::mem::take(&mut instance.outcomes);
            if !outcomes.is_empty() {
                drained.push((instance.address, outcomes));
            }
        }
        drained
    }

    /// Iterates over the names of the services that have instances.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        self.by_service.keys()
    }

    /// Usable instances with a free slot that pass the random draw against their weight, or all of
    /// them if none passes.
    fn candidates(
        &self,
        service: &str,
        now: ClockTime,
        draw: u64,
        tried: &[InstanceId],
    ) -> Vec<InstanceId> {
        let Some(members) = self.by_service.get(service) else {
            return Vec::new();
        };
        let free: Vec<InstanceId> = members
            .instances
            .iter()
            .copied()
            .filter(|id| !tried.contains(id))
            .filter(|id| self.instances[*id].is_usable(now))
            .filter(|id| self.instances[*id].in_flight.len() < SLOTS_PER_INSTANCE)
            .collect();
        let within_weight: Vec<InstanceId> = free
            .iter()
            .copied()
            .filter(|id| {
                let percent = (draw >> 32).wrapping_add(u64::from(id.as_u32()) * 37) % 100;
                percent < u64::from(self.instances[*id].current_weight(now))
            })
            .collect();
        if within_weight.is_empty() {
            free
        } else {
            within_weight
        }
    }

    fn better_of_two(
        &self,
        usable: &[InstanceId],
        data_centre: &str,
        draws: (u64, u64),
    ) -> InstanceId {
        let count = usable.len() as u64;
        let first = usable[(draws.0 % count) as usize];
        let second = usable[(draws.1 % count) as usize];
        if self.cost(second, data_centre) < self.cost(first, data_centre) {
            second
        } else {
            first
        }
    }

    /// Expected completion time of one more request, in microseconds.
    fn cost(&self, id: InstanceId, data_centre: &str) -> u64 {
        let instance = &self.instances[id];
        let penalty = if instance.data_centre == data_centre {
            0
        } else {
            OTHER_DATA_CENTRE_PENALTY_MICROS
        };
        (instance.in_flight.len() as u64 + 1) * instance.latency_micros + penalty
    }

    fn typical_latency_of(&self, id: InstanceId) -> u64 {
        let members = self.by_service.get(&self.instances[id].service);
        members.map_or(0, |members| members.typical_latency_micros)
    }

    /// Whether the floor allows one more ejection or backoff in `service`.
    fn floor_allows_one_less(&self, service: &str, now: ClockTime, floor_percent: u32) -> bool {
        let (healthy, floor) = self.healthy_and_floor(service, now, floor_percent);
        healthy > floor
    }

    fn check_floor(&self, service: &str, now: ClockTime, floor_percent: u32) {
        let (healthy, floor) = self.healthy_and_floor(service, now, floor_percent);
        breach::require(healthy >= floor, BreachKind::FloorCrossed);
    }

    /// Number of healthy instances of `service` and the number that the floor requires.
    fn healthy_and_floor(&self, service: &str, now: ClockTime, floor_percent: u32) -> (u32, u32) {
        let healthy = self
            .members(service)
            .filter(|instance| instance.is_healthy(now))
            .count() as u32;
        let total = self
            .members(service)
            .filter(|instance| !instance.is_leaving(now))
            .count() as u32;
        (healthy, floor_count(total, floor_percent))
    }
}

/// Milliseconds after which a request is stuck, given the typical latency or zero if it is unknown.
fn stuck_millis(typical_latency_micros: u64) -> u64 {
    if typical_latency_micros == 0 {
        return DEFAULT_STUCK_MS;
    }
    (typical_latency_micros * STUCK_FACTOR / MICROS_PER_MILLI).max(MIN_STUCK_MS)
}

/// Number of instances that a floor of `floor_percent` percent of `total` keeps in use, rounded up.
pub fn floor_count(total: u32, floor_percent: u32) -> u32 {
    (total * floor_percent).div_ceil(100)
}
