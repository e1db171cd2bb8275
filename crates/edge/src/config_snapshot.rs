//! Whole configuration as one host sends it to another.
//!
//! It has digests in place of the keys, so no key leaves the store and the
//! callers. A host replaces its configuration only by a higher version.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_policy::CallerLimits;
use crocushoist_policy::DeploymentConfig;
use crocushoist_policy::RetrySafety;
use crocushoist_policy::RouteIndex;
use crocushoist_policy::RouteSpec;
use crocushoist_policy::WeightedService;
use crocushoist_policy::WorkspaceSpec;
use crocushoist_state::KeyDigest;

/// Configuration of a host and its evidence.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfigSnapshot {
    /// Version in force at the host.
    pub(crate) version: u64,
    /// Milliseconds since the host knew that it had not missed a configuration.
    pub(crate) evidence_age: Option<u64>,
    /// The configuration, unless the asking host has this version.
    pub(crate) config: Option<WireDeployment>,
}

/// Configuration of a deployment between hosts.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireDeployment {
    version: u64,
    routes: Vec<WireRouteSpec>,
    workspaces: Vec<WireWorkspaceSpec>,
    /// Digest of each key and the index of its workspace.
    keys: Vec<([u8; 32], u32)>,
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRouteSpec {
    name: CompactString,
    host: CompactString,
    prefix: CompactString,
    is_idempotent: bool,
    timeout_ms: u64,
    objective_ms: u64,
    priority: u32,
    split: Vec<(CompactString, u32)>,
    max_attempts: u32,
    is_public: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireWorkspaceSpec {
    name: CompactString,
    priority: Option<u32>,
    rate_per_s: f64,
    burst: f64,
}

impl From<&DeploymentConfig> for WireDeployment {
    fn from(config: &DeploymentConfig) -> Self {
        let keys = config.keys.iter();
        WireDeployment {
            version: config.version,
            routes: config.routes.iter().map(WireRouteSpec::from).collect(),
            workspaces: config
                .workspaces
                .iter()
                .map(WireWorkspaceSpec::from)
                .collect(),
            keys: keys
                .map(|(digest, index)| (digest.0, *index as u32))
                .collect(),
            max_header_bytes: config.limits.max_header_bytes as u64,
            max_body_bytes: config.limits.max_body_bytes,
            header_timeout_ms: config.limits.header_timeout_ms,
            idle_timeout_ms: config.limits.idle_timeout_ms,
        }
    }
}

impl From<WireDeployment> for DeploymentConfig {
    fn from(wire: WireDeployment) -> Self {
        let mut routes = RouteIndex::default();
        for route in wire.routes {
            routes.put(route.into());
        }
        let keys = wire.keys.into_iter();
        DeploymentConfig {
            version: wire.version,
            routes,
            workspaces: wire.workspaces.into_iter().map(Into::into).collect(),
            keys: keys
                .map(|(digest, index)| (KeyDigest(digest), index as usize))
                .collect(),
            limits: CallerLimits {
                max_header_bytes: wire.max_header_bytes as usize,
                max_body_bytes: wire.max_body_bytes,
                header_timeout_ms: wire.header_timeout_ms,
                idle_timeout_ms: wire.idle_timeout_ms,
            },
        }
    }
}

impl From<&RouteSpec> for WireRouteSpec {
    fn from(route: &RouteSpec) -> Self {
        let split = route.split.iter();
        WireRouteSpec {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            is_idempotent: route.retry_safety == RetrySafety::Idempotent,
            timeout_ms: route.timeout_ms,
            objective_ms: route.objective_ms,
            priority: route.priority,
            split: split
                .map(|part| (part.service.clone(), part.weight))
                .collect(),
            max_attempts: route.max_attempts,
            is_public: route.is_public,
        }
    }
}

impl From<WireRouteSpec> for RouteSpec {
    fn from(wire: WireRouteSpec) -> Self {
        let split = wire.split.into_iter();
        RouteSpec {
            name: wire.name,
            host: wire.host,
            prefix: wire.prefix,
            retry_safety: if wire.is_idempotent {
                RetrySafety::Idempotent
            } else {
                RetrySafety::AtMostOnce
            },
            timeout_ms: wire.timeout_ms,
            objective_ms: wire.objective_ms,
            priority: wire.priority,
            split: split
                .map(|(service, weight)| WeightedService { service, weight })
                .collect(),
            max_attempts: wire.max_attempts,
            is_public: wire.is_public,
        }
    }
}

impl From<&WorkspaceSpec> for WireWorkspaceSpec {
    fn from(workspace: &WorkspaceSpec) -> Self {
        WireWorkspaceSpec {
            name: workspace.name.clone(),
            priority: workspace.priority,
            rate_per_s: workspace.rate_per_s,
            burst: workspace.burst,
        }
    }
}

impl From<WireWorkspaceSpec> for WorkspaceSpec {
    fn from(wire: WireWorkspaceSpec) -> Self {
        WorkspaceSpec {
            name: wire.name,
            priority: wire.priority,
            rate_per_s: wire.rate_per_s,
            burst: wire.burst,
        }
    }
}
