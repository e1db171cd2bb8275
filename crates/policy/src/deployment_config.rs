//! The operators' configuration of a deployment.
//!
//! A configuration is always replaced as a whole, and its version only
//! increases.

use std::collections::HashMap;

use compact_str::CompactString;

use crocushoist_state::KeyDigest;

use crate::RouteIndex;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing it repeatedly does no harm.
    Idempotent,
    /// Executed at most once for each attempt of the caller.
    AtMostOnce,
}

/// Service that receives a weighted part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: CompactString,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route: the requests that it matches and how they are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name that appears in logs.
    pub name: CompactString,
    /// Value of the `Host` header of matching requests.
    pub host: CompactString,
    /// Path prefix of matching requests, with a slash at both ends.
    pub prefix: CompactString,
    /// Whether its requests may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Longest time in milliseconds that a caller waits for the response.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds; a later response counts as late.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services that share the route's traffic.
    pub split: Vec<WeightedService>,
    /// Maximum number of instances that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

impl RouteSpec {
    /// Chooses the service of a request by weight, with a random number `draw`.
    pub fn service_for(&self, draw: u64) -> Option<&CompactString> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return self.split.first().map(|part| &part.service);
        }
        let mut remaining = draw % total;
        for part in &self.split {
            if remaining < u64::from(part.weight) {
                return Some(&part.service);
            }
            remaining -= u64::from(part.weight);
        }
        None
    }
}

/// A workspace and its request limit.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Name, which is sent to instances with each request.
    pub name: CompactString,
    /// Priority that overrides the route's.
    pub priority: Option<u32>,
    /// Requests a second over all hosts; zero means no limit.
    pub rate_per_s: f64,
    /// Requests allowed at once beyond the rate.
    pub burst: f64,
}

/// Limits on the size and the timing of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The operators' configuration of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Version, which only increases.
    pub version: u64,
    /// Routes, by host name and path prefix.
    pub routes: RouteIndex,
    /// Workspaces that share the deployment.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Index into `workspaces` for the digest of each API key.
    pub keys: HashMap<KeyDigest, usize>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

impl DeploymentConfig {
    /// Smallest and largest priority that any request of the deployment can have.
    pub fn priority_range(&self) -> (u32, u32) {
        let workspace_priorities = self.workspaces.iter().map(|workspace| workspace.priority);
        let uses_route_priorities = workspace_priorities
            .clone()
            .any(|priority| priority.is_none())
            || self.workspaces.is_empty();
        let route_priorities = self
            .routes
            .iter()
            .filter(|route| uses_route_priorities || route.is_public)
            .map(|route| route.priority);
        let all = workspace_priorities.flatten().chain(route_priorities);
        all.fold((u32::MAX, 0), |(min, max), priority| {
            (min.min(priority), max.max(priority))
        })
    }

    /// Workspace of the API key with `digest`.
    pub fn workspace_for_key(&self, digest: &KeyDigest) -> Option<&WorkspaceSpec> {
        self.workspaces.get(*self.keys.get(digest)?)
    }
}
