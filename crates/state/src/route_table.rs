//! Finds the route of a request path.
//!
//! A route is a prefix of whole path segments; the longest one that matches
//! wins. A look-up tries one hash probe for each segment, so its cost depends
//! on the path and not on the number of routes.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::ServiceId;

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteAccess {
    /// Anyone, without a key.
    Open,
    /// Callers with a key of a workspace.
    Keyed,
}

/// Route of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Service that answers.
    pub service: ServiceId,
    /// Who may use it.
    pub access: RouteAccess,
    /// Offset of the record that last changed it.
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

    /// Removes the route of `prefix`; whether there was one.
    pub fn remove(&mut self, prefix: &str) -> bool {
        self.routes.remove(prefix).is_some()
    }

    /// Route of exactly `prefix`.
    pub fn get(&self, prefix: &str) -> Option<&RouteEntry> {
        self.routes.get(prefix)
    }

    /// Route with the longest prefix of whole segments of `path`.
    pub fn find(&self, path: &str) -> Option<RouteEntry> {
        let mut rest = path;
        loop {
            if let Some(entry) = self.routes.get(rest) {
                return Some(*entry);
            }
            if rest == "/" {
                return None;
            }
            rest = match rest.rfind('/') {
                Some(0) => "/",
                Some(end) => &rest[..end],
                None => return None,
            };
        }
    }

    /// Every route, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &RouteEntry)> {
        self.routes.iter()
    }
}
