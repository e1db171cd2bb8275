//! Finds the limit that a key in the messages of hosts refers to.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::DeploymentConfig;
use crate::name_hash;
use crate::retry_pool_key;

/// Limit of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetLimit {
    /// Requests of the workspace with this index in the configuration.
    Workspace(usize),
    /// Retries at the service with this name.
    Retries(CompactString),
}

/// Limits of one configuration by their keys.
#[derive(Clone, Debug, Default)]
pub struct LimitIndex {
    by_key: HashMap<u32, FleetLimit>,
}

impl LimitIndex {
    /// Index of the limits of `config`.
    pub fn new(config: &DeploymentConfig) -> Self {
        let mut by_key = HashMap::new();
        for route in config.routes.iter() {
            for part in &route.split {
                let limit = FleetLimit::Retries(part.service.clone());
                by_key.insert(retry_pool_key(&part.service), limit);
            }
        }
        for (index, workspace) in config.workspaces.iter().enumerate() {
            by_key.insert(name_hash(&workspace.name), FleetLimit::Workspace(index));
        }
        LimitIndex { by_key }
    }

    /// Names of the services.
    pub fn services(&self) -> impl Iterator<Item = &CompactString> {
        self.by_key.values().filter_map(|limit| match limit {
            FleetLimit::Retries(service) => Some(service),
            FleetLimit::Workspace(_) => None,
        })
    }

    /// Limit with the key `key`.
    pub fn find(&self, key: u32) -> Option<&FleetLimit> {
        self.by_key.get(&key)
    }
}
