//! Instances of the services and the choice among them.
//!
//! The choice takes the better of two random candidates by expected finish:
//! requests outstanding from this host times the smoothed latency, with a
//! penalty for another data centre. An instance that failed several times in
//! a row is avoided for a while by this host alone, unless that would leave
//! fewer usable instances than the floor.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use cranelift_entity::PrimaryMap;
use cranelift_entity::entity_impl;

use crate::ClockTime;
use crate::breach;
use crate::breach::BreachKind;

const SLOTS_PER_INSTANCE: u32 = 3;
const FAILURES_TO_AVOID: u32 = 3;
const FIRST_AVOID_MS: u64 = 1_000;
const MAX_AVOID_MS: u64 = 30_000;
const OTHER_DATA_CENTRE_MICROS: u64 = 2_000;
const INITIAL_LATENCY_MICROS: u64 = 2_000;
const LATENCY_WEIGHT: u64 = 8;

/// Instance of a service.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(u32);
entity_impl!(InstanceId, "instance");

/// State of one instance, as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceState {
    /// Name of its service.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Whether it takes new work.
    pub leaving: bool,
    /// Requests of this host that it is working on.
    pub outstanding: u32,
    /// Smoothed latency in microseconds.
    pub latency_micros: u64,
    /// Failures since the last success.
    pub failures: u32,
    /// Until when this host avoids it.
    pub avoided_until: ClockTime,
    avoid_millis: u64,
}

/// Instances of every service.
#[derive(Clone, Debug, Default)]
pub struct InstancePool {
    instances: PrimaryMap<InstanceId, InstanceState>,
    by_address: HashMap<SocketAddr, InstanceId>,
    by_service: HashMap<CompactString, Vec<InstanceId>>,
}

impl InstancePool {
    /// Adds or updates the instance at `address`.
    pub fn note(&mut self, service: &str, address: SocketAddr, data_centre: &str, leaving: bool) {
        if let Some(id) = self.by_address.get(&address) {
            self.instances[*id].leaving = leaving;
            return;
        }
        let id = self.instances.push(InstanceState {
            service: service.into(),
            address,
            data_centre: data_centre.into(),
            leaving,
            outstanding: 0,
            latency_micros: INITIAL_LATENCY_MICROS,
            failures: 0,
            avoided_until: ClockTime::default(),
            avoid_millis: FIRST_AVOID_MS,
        });
        self.by_address.insert(address, id);
        self.by_service.entry(service.into()).or_default().push(id);
    }

    /// Marks every instance that `is_listed` does not name as leaving.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&SocketAddr) -> bool) {
        for instance in self.instances.values_mut() {
            instance.leaving |= !is_listed(&instance.address);
        }
    }

    /// Marks `id` as leaving, by its own word.
    pub fn note_leaving(&mut self, id: InstanceId) {
        self.instances[id].leaving = true;
    }

    /// State of `id`.
    pub fn get(&self, id: InstanceId) -> &InstanceState {
        &self.instances[id]
    }

    /// Every instance.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &InstanceState)> {
        self.instances.iter()
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
        let usable: Vec<InstanceId> = self
            .by_service
            .get(service)?
            .iter()
            .copied()
            .filter(|id| self.has_room(*id, now) && !tried.contains(id))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let count = usable.len() as u64;
        let first = usable[(draws.0 % count) as usize];
        let second = usable[(draws.1 % count) as usize];
        let chosen = if self.cost(second, data_centre) < self.cost(first, data_centre) {
            second
        } else {
            first
        };
        self.instances[chosen].outstanding += 1;
        Some(chosen)
    }

    /// Gives the slot back after a success that took `micros`.
    pub fn succeed(&mut self, id: InstanceId, micros: u64) {
        let instance = &mut self.instances[id];
        instance.outstanding = instance.outstanding.saturating_sub(1);
        instance.failures = 0;
        instance.avoid_millis = FIRST_AVOID_MS;
        let kept = instance.latency_micros * (LATENCY_WEIGHT - 1);
        instance.latency_micros = (kept + micros) / LATENCY_WEIGHT;
    }

    /// Gives the slot back without a verdict on the instance.
    pub fn release(&mut self, id: InstanceId) {
        let instance = &mut self.instances[id];
        instance.outstanding = instance.outstanding.saturating_sub(1);
    }

    /// Gives the slot back after a failure; avoids the instance if the floor allows.
    pub fn fail(&mut self, id: InstanceId, now: ClockTime, floor_percent: u32) {
        self.release(id);
        self.instances[id].failures += 1;
        if self.instances[id].failures < FAILURES_TO_AVOID
            || !self.floor_allows(id, now, floor_percent)
        {
            return;
        }
        let instance = &mut self.instances[id];
        instance.avoided_until = now.plus(instance.avoid_millis);
        instance.avoid_millis = (instance.avoid_millis * 2).min(MAX_AVOID_MS);
        instance.failures = 0;
        let (usable, floor) = self.usable_and_floor(id, now, floor_percent);
        breach::require(usable >= floor, BreachKind::FloorCrossed);
    }

    fn floor_allows(&self, id: InstanceId, now: ClockTime, floor_percent: u32) -> bool {
        let (usable, floor) = self.usable_and_floor(id, now, floor_percent);
        self.is_usable(id, now) && usable > floor
    }

    /// Usable instances of the service of `id`, and the floor under them.
    fn usable_and_floor(&self, id: InstanceId, now: ClockTime, floor_percent: u32) -> (u32, u32) {
        let members = &self.by_service[&self.instances[id].service];
        let usable = members
            .iter()
            .filter(|id| self.is_usable(**id, now))
            .count() as u32;
        let total = members
            .iter()
            .filter(|id| !self.instances[**id].leaving)
            .count() as u32;
        (usable, (total * floor_percent).div_ceil(100))
    }

    fn is_usable(&self, id: InstanceId, now: ClockTime) -> bool {
        let instance = &self.instances[id];
        !instance.leaving && instance.avoided_until <= now
    }

    fn has_room(&self, id: InstanceId, now: ClockTime) -> bool {
        self.is_usable(id, now) && self.instances[id].outstanding < SLOTS_PER_INSTANCE
    }

    fn cost(&self, id: InstanceId, data_centre: &str) -> u64 {
        let instance = &self.instances[id];
        let distance = if instance.data_centre == data_centre {
            0
        } else {
            OTHER_DATA_CENTRE_MICROS
        };
        u64::from(instance.outstanding + 1) * instance.latency_micros + distance
    }
}
