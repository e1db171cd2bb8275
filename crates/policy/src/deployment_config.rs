//! The operators' configuration of a deployment.
//!
//! A configuration is replaced as a whole; its version only grows.

use std::collections::HashMap;

use compact_str::CompactString;

use crocushoist_state::KeyDigest;

use crate::RouteIndex;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatKind {
    /// More than once without harm.
    Idempotent,
    /// At most once for each attempt of the caller.
    AtMostOnce,
}

/// Part of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitPart {
    /// Name of the service.
    pub service: CompactString,
    /// Weight among the parts of the route.
    pub weight: u32,
}

/// Route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// Name in logs.
    pub name: CompactString,
    /// Host name that requests carry.
    pub host: CompactString,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// How often a request may run.
    pub kind: RepeatKind,
    /// Milliseconds that a caller is kept waiting at most.
    pub timeout_ms: u64,
    /// Milliseconds within which an answer has its full worth.
    pub objective_ms: u64,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// Services that answer.
    pub split: Vec<SplitPart>,
    /// Instances that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_open: bool,
}

impl RouteSpec {
    /// Service that serves the request with the random `draw`.
    pub fn service_for(&self, draw: u64) -> Option<&CompactString> {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        if total == 0 {
            return self.split.first().map(|part| &part.service);
        }
        let mut rest = draw % total;
        for part in &self.split {
            if rest < u64::from(part.weight) {
                return Some(&part.service);
            }
            rest -= u64::from(part.weight);
        }
        None
    }
}

/// Workspace of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// Name, which instances are told.
    pub name: CompactString,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
    /// Requests a second over all hosts, zero for no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Milliseconds for a request's head.
    pub header_ms: u64,
    /// Milliseconds that a connection may be idle.
    pub idle_ms: u64,
}

/// The operators' configuration of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Version, which only grows.
    pub version: u64,
    /// Routes.
    pub routes: RouteIndex,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Index of the workspace of each key.
    pub keys: HashMap<KeyDigest, usize>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl DeploymentConfig {
    /// Smallest and largest priority that a request can have.
    pub fn priority_range(&self) -> (u32, u32) {
        let of_workspaces = self.workspaces.iter().map(|workspace| workspace.priority);
        let has_route_priorities =
            of_workspaces.clone().any(|priority| priority.is_none()) || self.workspaces.is_empty();
        let of_routes = self
            .routes
            .iter()
            .filter(|route| has_route_priorities || route.is_open)
            .map(|route| route.priority);
        let all = of_workspaces.flatten().chain(of_routes);
        all.fold((u32::MAX, 0), |(least, most), priority| {
            (least.min(priority), most.max(priority))
        })
    }

    /// Workspace of the key with `digest`.
    pub fn workspace_of(&self, digest: &KeyDigest) -> Option<&WorkspaceSpec> {
        self.workspaces.get(*self.keys.get(digest)?)
    }
}
