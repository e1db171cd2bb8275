//! The platform's host list.

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
    /// About to stop.
    Leaving,
}

/// One listed host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// `entry` for a host of the fleet, otherwise the name of the service.
    pub role: CompactString,
    /// Address of its main service: other hosts for `entry`, requests for a service.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Whether it is in use.
    pub state: ListedState,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListing {
    /// Listed hosts.
    pub hosts: Vec<ListedHost>,
}

impl HostListing {
    /// Role of the fleet's own hosts.
    pub const ENTRY_ROLE: &str = "entry";
}
