//! Host list of the platform.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// State of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In use.
    Live,
    /// Shutting down.
    Leaving,
}

/// One listed host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// `entry` for a host of the fleet, otherwise the name of the service.
    pub role: CompactString,
    /// Main address: where other hosts connect for `entry`, where requests go for a service.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Whether it is in use or shutting down.
    pub state: ListedState,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListing {
    /// Listed hosts.
    pub hosts: Vec<ListedHost>,
}

impl HostListing {
    /// Role of the hosts of the fleet.
    pub const ENTRY_ROLE: &str = "entry";
}
