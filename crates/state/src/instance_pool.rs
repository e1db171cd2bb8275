//! Instances of the services and the choice among them.
//!
//! The choice takes the better of two random candidates by expected finish:
//! requests outstanding from this host times the smoothed latency, with a
//! penalty for another data centre. An instance is out of use while it leaves,
//! while the evidence of all hosts together ejects it, or while this host
//! alone avoids it after several failures in a row.
//!
//! Invariant: ejecting and avoiding never leave fewer healthy instances than
//! the floor. Leaving, ejected, avoided and cold instances are not healthy.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use cranelift_entity::PrimaryMap;
use cranelift_entity::entity_impl;

use crate::ClockTime;
use crate::InstanceEvidence;
use crate::InstanceState;
use crate::InstanceVerdict;
use crate::RoutingPolicy;
use crate::breach;
use crate::breach::BreachKind;
use crate::instance_state::WHOLE_WEIGHT;
use crate::instance_state::WorkingRequest;

const SLOTS_PER_INSTANCE: usize = 3;
const FAILURES_TO_AVOID: u32 = 3;
const FIRST_AVOID_MS: u64 = 1_000;
const MAX_AVOID_MS: u64 = 30_000;
const COLD_MS: u64 = 2_000;
const OWN_WORD_MS: u64 = 30_000;
const VERDICT_LIFE_MS: u64 = 3_000;
const OTHER_DATA_CENTRE_MICROS: u64 = 2_000;
const INITIAL_LATENCY_MICROS: u64 = 2_000;
const LATENCY_WEIGHT: u64 = 8;
const SLOW_FACTOR: u64 = 3;
const STUCK_FACTOR: u64 = 20;
const LEAST_STUCK_MS: u64 = 250;
const UNKNOWN_STUCK_MS: u64 = 2_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Instance of a service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(u32);
entity_impl!(InstanceId, "instance");

/// Members of one service.
#[derive(Clone, Debug, Default)]
struct ServiceMembers {
    instances: Vec<InstanceId>,
    typical_micros: u64,
    turn: usize,
}

/// Instances of every service.
#[derive(Clone, Debug, Default)]
pub struct InstancePool {
    policy: RoutingPolicy,
    instances: PrimaryMap<InstanceId, InstanceState>,
    by_address: HashMap<SocketAddr, InstanceId>,
    by_service: HashMap<CompactString, ServiceMembers>,
    has_listing: bool,
}

impl InstancePool {
    /// Pool that chooses by `policy`.
    pub fn new(policy: RoutingPolicy) -> Self {
        InstancePool {
            policy,
            ..InstancePool::default()
        }
    }

    /// Adds or updates the instance at `address`.
    ///
    /// An instance that appears after the first listing is cold for a while.
    pub fn note(
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
        let cold_until = if self.has_listing {
            now.plus(COLD_MS)
        } else {
            ClockTime::default()
        };
        let id = self.instances.push(InstanceState {
            service: service.into(),
            address,
            data_centre: data_centre.into(),
            leaving,
            latency_micros: INITIAL_LATENCY_MICROS,
            avoided_until: ClockTime::default(),
            working: Vec::new(),
            drains_until: ClockTime::default(),
            failures: 0,
            avoid_millis: FIRST_AVOID_MS,
            cold_until,
            reason: CompactString::default(),
            weight: WHOLE_WEIGHT,
            verdict_until: ClockTime::default(),
            evidence: InstanceEvidence::default(),
        });
        self.by_address.insert(address, id);
        let members = self.by_service.entry(service.into()).or_default();
        members.instances.push(id);
    }

    /// Ends a listing: every instance that `is_listed` does not name is leaving.
    pub fn end_listing(&mut self, is_listed: impl Fn(&SocketAddr) -> bool) {
        self.has_listing = true;
        for instance in self.instances.values_mut() {
            instance.leaving |= !is_listed(&instance.address);
        }
    }

    /// Marks `id` as leaving, by its own word, which a listing that lags does not take back.
    pub fn note_leaving(&mut self, id: InstanceId, now: ClockTime) {
        self.instances[id].drains_until = now.plus(OWN_WORD_MS);
    }

    /// State of `id`.
    pub fn get(&self, id: InstanceId) -> &InstanceState {
        &self.instances[id]
    }

    /// Every instance.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &InstanceState)> {
        self.instances.iter()
    }

    /// Instances of `service`.
    pub fn members(&self, service: &str) -> impl Iterator<Item = &InstanceState> {
        let members = self.by_service.get(service);
        members
            .into_iter()
            .flat_map(|members| members.instances.iter())
            .map(|id| &self.instances[*id])
    }

    /// Takes a slot of an instance of `service`, or `None` when none is free.
    ///
    /// `draws` are two random numbers; `tried` is never chosen again.
    pub fn choose(
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
                members.turn += 1;
                usable[members.turn % usable.len()]
            }
            RoutingPolicy::Shared | RoutingPolicy::Own => {
                self.better_of_two(&usable, data_centre, draws)
            }
        };
        self.instances[chosen].working.push(WorkingRequest {
            taken_at: now,
            counted_stuck: false,
        });
        Some(chosen)
    }

    /// Gives the slot taken at `taken_at` back after a success that took `micros`.
    pub fn succeed(&mut self, id: InstanceId, taken_at: ClockTime, micros: u64) {
        let typical = self.typical_of(id);
        let instance = &mut self.instances[id];
        instance.release(taken_at);
        instance.failures = 0;
        instance.avoid_millis = FIRST_AVOID_MS;
        let kept = instance.latency_micros * (LATENCY_WEIGHT - 1);
        instance.latency_micros = (kept + micros) / LATENCY_WEIGHT;
        instance.evidence.succeeded += 1;
        instance.evidence.latency_sum += micros;
        instance.evidence.slow += u32::from(typical > 0 && micros > typical * SLOW_FACTOR);
    }

    /// Gives the slot taken at `taken_at` back without a verdict on the instance.
    pub fn release(&mut self, id: InstanceId, taken_at: ClockTime) {
        self.instances[id].release(taken_at);
    }

    /// Gives the slot back after a failure; avoids the instance if the floor allows.
    pub fn fail(
        &mut self,
        id: InstanceId,
        taken_at: ClockTime,
        now: ClockTime,
        floor_percent: u32,
    ) {
        let instance = &mut self.instances[id];
        instance.release(taken_at);
        instance.evidence.failed += 1;
        instance.failures += 1;
        let is_enough = instance.failures >= FAILURES_TO_AVOID;
        if !is_enough || self.policy == RoutingPolicy::RoundRobin {
            return;
        }
        let service = instance.service.clone();
        if !self.instances[id].is_healthy(now) || !self.has_spare(&service, now, floor_percent) {
            return;
        }
        let instance = &mut self.instances[id];
        instance.avoided_until = now.plus(instance.avoid_millis);
        instance.avoid_millis = (instance.avoid_millis * 2).min(MAX_AVOID_MS);
        instance.failures = 0;
        self.verify_floor(&service, now, floor_percent);
    }

    /// Takes the verdicts of the service's home, worst instance first.
    ///
    /// Verdicts that the floor does not allow are passed over.
    pub fn take_verdicts(
        &mut self,
        service: &str,
        verdicts: &[InstanceVerdict],
        typical_micros: u64,
        now: ClockTime,
        floor_percent: u32,
    ) {
        let Some(members) = self.by_service.get_mut(service) else {
            return;
        };
        members.typical_micros = typical_micros;
        for id in members.instances.clone() {
            self.instances[id].verdict_until = ClockTime::default();
        }
        let mut ejected_any = false;
        for verdict in verdicts {
            let Some(id) = self.by_address.get(&verdict.address).copied() else {
                continue;
            };
            let is_healthy = self.instances[id].is_healthy(now);
            if verdict.weight == 0 && is_healthy && !self.has_spare(service, now, floor_percent) {
                continue;
            }
            ejected_any |= verdict.weight == 0 && is_healthy;
            let instance = &mut self.instances[id];
            instance.weight = verdict.weight;
            instance.reason = verdict.reason.clone();
            instance.verdict_until = now.plus(VERDICT_LIFE_MS);
        }
        if ejected_any {
            self.verify_floor(service, now, floor_percent);
        }
    }

    /// Takes the evidence on the instances of `service` since the last call.
    ///
    /// Requests that are stuck count as failed once.
    pub fn take_evidence(
        &mut self,
        service: &str,
        now: ClockTime,
    ) -> Vec<(SocketAddr, InstanceEvidence)> {
        let Some(members) = self.by_service.get(service) else {
            return Vec::new();
        };
        let stuck_millis = stuck_millis(members.typical_micros);
        let mut taken = Vec::new();
        for id in &members.instances {
            let instance = &mut self.instances[*id];
            for request in &mut instance.working {
                if !request.counted_stuck && now.since(request.taken_at) > stuck_millis {
                    request.counted_stuck = true;
                    instance.evidence.failed += 1;
                }
            }
            let evidence = std::mem::take(&mut instance.evidence);
            if !evidence.is_empty() {
                taken.push((instance.address, evidence));
            }
        }
        taken
    }

    /// Names of the services that have instances.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        self.by_service.keys()
    }

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
            .filter(|id| self.instances[*id].working.len() < SLOTS_PER_INSTANCE)
            .collect();
        let weighed: Vec<InstanceId> = free
            .iter()
            .copied()
            .filter(|id| {
                let percent = (draw >> 32).wrapping_add(u64::from(id.as_u32()) * 37) % 100;
                percent < u64::from(self.instances[*id].current_weight(now))
            })
            .collect();
        if weighed.is_empty() { free } else { weighed }
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

    fn cost(&self, id: InstanceId, data_centre: &str) -> u64 {
        let instance = &self.instances[id];
        let distance = if instance.data_centre == data_centre {
            0
        } else {
            OTHER_DATA_CENTRE_MICROS
        };
        (instance.working.len() as u64 + 1) * instance.latency_micros + distance
    }

    fn typical_of(&self, id: InstanceId) -> u64 {
        let members = self.by_service.get(&self.instances[id].service);
        members.map_or(0, |members| members.typical_micros)
    }

    /// Whether one more healthy instance of `service` may be taken out of use.
    fn has_spare(&self, service: &str, now: ClockTime, floor_percent: u32) -> bool {
        let (healthy, floor) = self.healthy_and_floor(service, now, floor_percent);
        healthy > floor
    }

    fn verify_floor(&self, service: &str, now: ClockTime, floor_percent: u32) {
        let (healthy, floor) = self.healthy_and_floor(service, now, floor_percent);
        breach::require(healthy >= floor, BreachKind::FloorCrossed);
    }

    fn healthy_and_floor(&self, service: &str, now: ClockTime, floor_percent: u32) -> (u32, u32) {
        let healthy = self
            .members(service)
            .filter(|instance| instance.is_healthy(now))
            .count() as u32;
        let total = self
            .members(service)
            .filter(|instance| !instance.is_leaving(now))
            .count() as u32;
        (healthy, floor_of(total, floor_percent))
    }
}

/// Milliseconds after which a request is stuck where `typical_micros` is typical, zero if unknown.
fn stuck_millis(typical_micros: u64) -> u64 {
    if typical_micros == 0 {
        return UNKNOWN_STUCK_MS;
    }
    (typical_micros * STUCK_FACTOR / MICROS_PER_MILLI).max(LEAST_STUCK_MS)
}

/// Instances of `total` that a floor of `floor_percent` percent leaves in use.
pub fn floor_of(total: u32, floor_percent: u32) -> u32 {
    (total * floor_percent).div_ceil(100)
}
