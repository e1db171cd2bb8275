//! Which addresses a caller is told.
//!
//! The holders of the workspace's shares come first, so that most requests
//! are admitted without a draw; within them, and after them, hosts of the
//! caller's data centre come first. Hosts of the same rank come in an order
//! drawn for each answer, so that callers spread over them.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crocushoist_state::HostAddress;
use crocushoist_state::ShardTable;
use crocushoist_state::SharePlan;

/// Addresses for callers of the workspace of `plan`, at most `max`.
///
/// `spread` is a random number that orders hosts of the same rank.
/// `alive` lists hosts that can be named, in no order.
pub fn steer(
    plan: Option<&SharePlan>,
    table: &ShardTable,
    alive: &[HostAddress],
    data_centre: &str,
    spread: u64,
    max: usize,
) -> Vec<SocketAddr> {
    let holds = |host: &HostAddress| {
        plan.is_some_and(|plan| {
            plan.shares().iter().any(|(shard, _)| {
                table
                    .holder(*shard)
                    .is_some_and(|holder| holder.address.peers == host.peers)
            })
        })
    };
    let mut ranked: Vec<_> = alive
        .iter()
        .map(|host| {
            let order = xxh3_64_with_seed(host.callers.to_string().as_bytes(), spread);
            (
                !holds(host),
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
