//! Lookup of instances by id, by the hash of the id and by service.
//!
//! An id refers to the latest start of its instance; earlier starts are no
//! longer members of their service.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::InstanceKey;
use crate::InstanceState;

/// Maps from ids, hashes and services to instance keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct InstanceIndex {
    by_id: HashMap<CompactString, InstanceKey>,
    by_hash: HashMap<u32, InstanceKey>,
    by_service: HashMap<CompactString, Vec<InstanceKey>>,
}

impl InstanceIndex {
    /// Instance with the id `id`.
    pub(crate) fn find_id(&self, id: &str) -> Option<InstanceKey> {
        self.by_id.get(id).copied()
    }

    /// Instance whose id has the hash `hash`.
    pub(crate) fn find_hash(&self, hash: u32) -> Option<InstanceKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Names of all services.
    pub(crate) fn services(&self) -> impl Iterator<Item = &CompactString> {
        self.by_service.keys()
    }

    /// Instances of `service`.
    pub(crate) fn members(&self, service: &str) -> impl Iterator<Item = InstanceKey> {
        self.by_service.get(service).into_iter().flatten().copied()
    }

    /// Adds the instance `key`, replacing an earlier start with the same id.
    pub(crate) fn insert(&mut self, key: InstanceKey, state: &InstanceState) {
        let listing = &state.listing;
        self.by_hash.insert(state.hash, key);
        self.by_id.insert(listing.id.clone(), key);
        let members = self.by_service.entry(listing.service.clone());
        members.or_default().push(key);
    }

    /// Removes `key` from the members of `service`.
    pub(crate) fn remove_member(&mut self, key: InstanceKey, service: &str) {
        if let Some(members) = self.by_service.get_mut(service) {
            members.retain(|member| *member != key);
        }
    }
}
