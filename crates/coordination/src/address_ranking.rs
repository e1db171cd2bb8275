//! Ranks the host addresses that are advertised to a caller.
//!
//! Holders of the workspace's shares come first, because they admit requests
//! without drawing a token from another host. Among the holders, and among the
//! remaining hosts, those in the caller's data centre come first. Hosts of
//! equal rank are ordered at random for each response, which spreads callers
//! over them.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crocushoist_state::HostAddress;
use crocushoist_state::ShardTable;
use crocushoist_state::SharePlan;

/// Returns at most `max` addresses for a caller in `data_centre`, best first.
///
/// `plan` says which shards hold the shares of the caller's workspace.
/// `candidates` lists the hosts to choose from, in any order.
/// `spread` is a random number that orders hosts of equal rank.
pub fn rank_addresses(
    plan: Option<&SharePlan>,
    table: &ShardTable,
    candidates: &[HostAddress],
    data_centre: &str,
    spread: u64,
    max: usize,
) -> Vec<SocketAddr> {
    let holds_share = |host: &HostAddress| {
        plan.is_some_and(|plan| {
            plan.shares().iter().any(|(shard, _)| {
                table
                    .holder(*shard)
                    .is_some_and(|holder| holder.address.peers == host.peers)
            })
        })
    };
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|host| {
            let order = xxh3_64_with_seed(host.callers.to_string().as_bytes(), spread);
            (
                !holds_share(host),
                host.data_centre != data_centre,
                order,
                host.callers,
            )
        })
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .take(max)
        .map(|(_, _, _, callers)| callers)
        .collect()
}
