//! Paths of this host to the instances of all services.

use std::collections::HashMap;

use compact_str::CompactString;

use crocushoist_state::ClockTime;

use crate::InstanceKey;
use crate::InstanceTable;
use crate::service_path::PathContact;
use crate::service_path::ServicePath;
use crate::service_path::UnconfirmedOutcome;

/// Milliseconds without contact after which a service is probed while another path is lost.
const CONTACT_VALID_MS: u64 = 500;

/// Change of a path to the instances of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// This host reaches no instance any more.
    Lost,
    /// This host reaches an instance again.
    Back,
}

/// Paths of this host to the instances of all services.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    services: HashMap<CompactString, ServicePath>,
}

impl PathMonitor {
    /// Records a failure at one of the `instance_count` usable instances of `service`; returns it if
    /// it counts already.
    pub fn record_failure(
        &mut self,
        service: &str,
        failure: UnconfirmedOutcome,
        instance_count: usize,
    ) -> (Option<UnconfirmedOutcome>, Option<PathChange>) {
        let path = self.services.entry(service.into()).or_default();
        let (confirmed, is_lost) = path.record_failure(failure, instance_count);
        (confirmed, is_lost.then_some(PathChange::Lost))
    }

    /// Records that this host reached the instance `key` of `service`; returns the failures at
    /// instances of the service that count from now on.
    pub fn record_contact(
        &mut self,
        service: &str,
        key: InstanceKey,
        contact: PathContact,
        now: ClockTime,
    ) -> (Vec<UnconfirmedOutcome>, Option<PathChange>) {
        let path = self.services.entry(service.into()).or_default();
        let (confirmed, is_back) = path.record_contact(key, contact, now);
        (confirmed, is_back.then_some(PathChange::Back))
    }

    /// Whether this host reaches no instance of `service`.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(ServicePath::is_lost)
    }

    /// Whether this host reaches no instance of any service that has some.
    pub fn is_cut_off(&self, table: &InstanceTable, now: ClockTime) -> bool {
        if !self.services.values().any(ServicePath::is_lost) {
            return false;
        }
        let mut services = table
            .services()
            .filter(|name| table.usable_count(name, now) > 0);
        services.all(|name| self.is_lost(name))
    }

    /// Instances to which to open connections now, one of each service whose path is in doubt or
    /// lost; `draw` returns random numbers from 0 to 1.
    pub fn next_probes(
        &mut self,
        table: &InstanceTable,
        mut draw: impl FnMut() -> f64,
        now: ClockTime,
    ) -> Vec<InstanceKey> {
        let any_lost = self.services.values().any(ServicePath::is_lost);
        let mut probes = Vec::new();
        for service in table.services() {
            let path = match self.services.get_mut(service) {
                Some(path) => path,
                None if any_lost => self.services.entry(service.clone()).or_default(),
                None => continue,
            };
            let is_unknown = any_lost && !path.has_contact(CONTACT_VALID_MS, now);
            if !path.needs_probe(is_unknown, now) {
                continue;
            }
            let members = table.usable_keys(service, now);
            let candidates: Vec<InstanceKey> =
                members.filter(|key| path.is_probe_useful(*key)).collect();
            let index = (draw() * candidates.len() as f64) as usize;
            if let Some(key) = candidates.get(index) {
                path.record_probe(now);
                probes.push(*key);
            }
        }
        probes
    }
}
