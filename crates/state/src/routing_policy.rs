//! How instances are chosen and taken out of use.

use std::str::FromStr;

/// How instances are chosen and taken out of use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Expected finish, evidence of all hosts together.
    #[default]
    Shared,
    /// Expected finish, each host's own evidence alone.
    Own,
    /// In turn, nothing is taken out of use.
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
