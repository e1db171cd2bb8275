//! Shares add up to the limit of the workspace and are on different shards.

use std::collections::HashSet;

use yare::parameterized;

use crocushoist_state::MICROS_PER_TOKEN;
use crocushoist_state::SharePlan;
use crocushoist_state::WorkspaceLimit;

#[parameterized(
    one_token = { 1, 1, 44, 1 },
    small_burst = { 40, 20, 44, 2 },
    indivisible = { 7, 33, 44, 3 },
    large_burst = { 100_000, 100_000, 44, 8 },
    few_shards = { 500, 500, 3, 3 },
)]
fn shares_add_up_to_the_limit(rate: u32, burst: u32, shard_count: u32, expected: usize) {
    let plan = SharePlan::new("depot", WorkspaceLimit { rate, burst }, shard_count);
    let shares = plan.shares();
    let rate_sum: u64 = shares.iter().map(|(_, limit)| limit.rate).sum();
    let burst_sum: u64 = shares.iter().map(|(_, limit)| limit.burst).sum();
    let shards: HashSet<_> = shares.iter().map(|(shard, _)| *shard).collect();
    assert_eq!(rate_sum, u64::from(rate) * MICROS_PER_TOKEN / 1_000);
    assert_eq!(burst_sum, u64::from(burst) * MICROS_PER_TOKEN);
    assert_eq!(shares.len(), expected);
    assert_eq!(shards.len(), expected);
}

#[test]
fn workspaces_are_spread_over_the_shards() {
    let limit = WorkspaceLimit { rate: 10, burst: 5 };
    let mut counts = [0; 44];
    for number in 0..4_400 {
        let plan = SharePlan::new(&format!("workspace-{number}"), limit, 44);
        counts[plan.shares()[0].0.as_u32() as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}
