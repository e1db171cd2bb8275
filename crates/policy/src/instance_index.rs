//! Where instances stand in the table: by id, by the hash of the id, by service.
//!
//! An id leads to its newest start; earlier starts are members no longer.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::InstanceKey;
use crate::InstanceState;

/// Where instances stand in the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct InstanceIndex {
    by_id: HashMap<CompactString, InstanceKey>,
    by_hash: HashMap<u32, InstanceKey>,
    by_service: HashMap<CompactString, Vec<InstanceKey>>,
}

impl InstanceIndex {
    /// Instance called `id`.
    pub(crate) fn find_id(&self, id: &str) -> Option<InstanceKey> {
        self.by_id.get(id).copied()
    }

    /// Instance whose id has `hash`.
    pub(crate) fn find_hash(&self, hash: u32) -> Option<InstanceKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Members of `service`.
    pub(crate) fn members(&self, service: &str) -> impl Iterator<Item = InstanceKey> {
        self.by_service.get(service).into_iter().flatten().copied()
    }

    /// Adds the instance `key` with `state`.
    pub(crate) fn insert(&mut self, key: InstanceKey, state: &InstanceState) {
        let listing = &state.listing;
        self.by_hash.insert(state.hash, key);
        self.by_id.insert(listing.id.clone(), key);
        let members = self.by_service.entry(listing.service.clone());
        members.or_default().push(key);
    }

    /// Ends the membership of `key` in `service`.
    pub(crate) fn remove_member(&mut self, key: InstanceKey, service: &str) {
        if let Some(members) = self.by_service.get_mut(service) {
            members.retain(|member| *member != key);
        }
    }
}
