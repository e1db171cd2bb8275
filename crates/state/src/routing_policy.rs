//! Policies of load balancing and ejection.

use std::str::FromStr;

/// How a host selects an instance and when it stops using one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Shortest expected completion time; instances are ejected by the outcomes from all hosts.
    #[default]
    Shared,
    /// Shortest expected completion time; each host stops using instances by its own outcomes alone.
    Own,
    /// Round robin; no instance is ejected or put in backoff.
    RoundRobin,
}

impl FromStr for RoutingPolicy {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "shared" => Ok(RoutingPolicy::Shared),
            "own" => Ok(RoutingPolicy::Own),
            "round-robin" => Ok(RoutingPolicy::RoundRobin),
            _ => Err(()),
        }
    }
}
