//! Load shedding by priority when a service is overloaded.
//!
//! A request that would be answered after its latency objective takes capacity
//! from others. While the queue of every healthy instance is longer than an
//! objective allows, requests are refused immediately, and the less urgent ones
//! at a somewhat shorter queue.

use crate::DeploymentConfig;
use crate::RouteSpec;
use crate::WorkspaceSpec;

/// Longest queue, in waiting requests per slot, at which the most urgent requests are still
/// sent.
///
/// Objectives are about three times the mean service time of a request, so a request that waits
/// for two others in its slot is answered just in time.
const MOST_URGENT_MAX_QUEUE: f64 = 1.8;

/// Longest queue, in waiting requests per slot, at which the least urgent requests are still
/// sent.
const LEAST_URGENT_MAX_QUEUE: f64 = 1.2;

/// Priority of a request relative to the other requests of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRank {
    /// Position in the deployment's range of priorities, from 0 (most urgent) to 1.
    position: f64,
}

impl AdmissionRank {
    /// Rank of a request on `route`; the workspace's priority overrides the route's.
    pub fn for_request(
        config: &DeploymentConfig,
        route: &RouteSpec,
        workspace: Option<&WorkspaceSpec>,
    ) -> Self {
        let priority = workspace
            .and_then(|workspace| workspace.priority)
            .unwrap_or(route.priority);
        let (min, max) = config.priority_range();
        let position = if max > min {
            f64::from(priority - min.min(priority)) / f64::from(max - min)
        } else {
            0.0
        };
        AdmissionRank {
            position: position.min(1.0),
        }
    }

    /// Whether the request may be sent while this host has `permits` for the service, all of whose
    /// instances named limits. The last one is kept for the most urgent requests.
    pub fn admits_with(self, permits: u32) -> bool {
        f64::from(permits) >= 1.0 + self.position
    }

    /// Whether the request may be sent while the least loaded healthy instance has
    /// `queue_per_slot` requests waiting per slot.
    pub fn admits(self, queue_per_slot: f64) -> bool {
        let max_queue = MOST_URGENT_MAX_QUEUE
            + (LEAST_URGENT_MAX_QUEUE - MOST_URGENT_MAX_QUEUE) * self.position;
        queue_per_slot <= max_queue
    }
}
