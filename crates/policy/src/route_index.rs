//! Finds the route of a request by host name and path.
//!
//! Prefixes end with a slash, so a lookup probes one hash for each slash of the
//! path, longest prefix first. Its cost does not depend on the number of
//! routes.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::RouteSpec;

/// Routes by host name and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_host: HashMap<CompactString, HashMap<CompactString, RouteSpec>>,
}

impl RouteIndex {
    /// Adds or replaces a route.
    pub fn put(&mut self, route: RouteSpec) {
        let prefixes = self.by_host.entry(route.host.clone()).or_default();
        prefixes.insert(route.prefix.clone(), route);
    }

    /// Route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let prefixes = self.by_host.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(slash, _)| prefixes.get(&path[..=slash]))
    }

    /// All routes, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &RouteSpec> {
        self.by_host.values().flat_map(HashMap::values)
    }
}
