//! A host on the wire.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::ShardHolder;

/// A host with its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHolder {
    /// Incarnation.
    pub incarnation: u64,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// One more than the log's tail that it read after it was bound, zero if it read none.
    pub born: u64,
    /// Whether the incarnation is known to have ended.
    pub ended: bool,
}

impl From<&ShardHolder> for WireHolder {
    fn from(holder: &ShardHolder) -> Self {
        WireHolder {
            incarnation: holder.incarnation.0,
            callers: holder.address.callers,
            peers: holder.address.peers,
            data_centre: holder.address.data_centre.clone(),
            born: holder.start_offset,
            ended: holder.ended,
        }
    }
}

impl From<WireHolder> for ShardHolder {
    fn from(holder: WireHolder) -> Self {
        ShardHolder {
            incarnation: IncarnationId(holder.incarnation),
            address: HostAddress {
                callers: holder.callers,
                peers: holder.peers,
                data_centre: holder.data_centre,
            },
            start_offset: holder.born,
            ended: holder.ended,
        }
    }
}
