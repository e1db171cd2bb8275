//! Routes by path prefix.
//!
//! A prefix matches whole path segments, and the longest matching prefix wins.
//! A lookup does one hash probe per path segment, so its cost depends on the
//! path and not on the number of routes.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::ServiceId;

/// Callers that may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteAccess {
    /// All callers, without a key.
    Open,
    /// Callers that present the key of a workspace.
    Keyed,
}

/// Route in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Service that handles the requests.
    pub service: ServiceId,
    /// Callers that may use the route.
    pub access: RouteAccess,
    /// Offset of the log record that last changed the route, plus one.
    pub revision: u64,
}

/// Routes by prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: HashMap<CompactString, RouteEntry>,
}

impl RouteTable {
    /// Adds or replaces the route of `prefix`.
    pub fn put(&mut self, prefix: CompactString, entry: RouteEntry) {
        self.routes.insert(prefix, entry);
    }

    /// Removes the route of `prefix` and returns whether it existed.
    pub fn remove(&mut self, prefix: &str) -> bool {
        self.routes.remove(prefix).is_some()
    }

    /// Returns the route whose prefix is exactly `prefix`.
    pub fn get(&self, prefix: &str) -> Option<&RouteEntry> {
        self.routes.get(prefix)
    }

    /// Finds the route with the longest prefix that matches whole segments of `path`.
    pub fn find(&self, path: &str) -> Option<RouteEntry> {
        let mut candidate = path;
        loop {
            if let Some(entry) = self.routes.get(candidate) {
                return Some(*entry);
            }
            if candidate == "/" {
                return None;
            }
            candidate = match candidate.rfind('/') {
                Some(0) => "/",
                Some(end) => &candidate[..end],
                None => return None,
            };
        }
    }

    /// Iterates over all routes in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &RouteEntry)> {
        self.routes.iter()
    }
}
