//! The invariants, checked after each step and at the end of a run.

use crocushoist_state::ShardId;

use crate::BURST;
use crate::RATE;
use crate::SHARDS;
use crate::fleet_model::FleetModel;

/// Checks the invariants that hold after each step.
pub(crate) fn check(model: &mut FleetModel, seed: u64, step: usize) {
    let now = model.now;
    for host in &mut model.hosts {
        host.update_derived_state(now);
    }
    let accepted = model
        .hosts
        .iter()
        .map(|host| host.acceptance.accepted_offset())
        .max()
        .unwrap_or(0);
    while (model.accepted_at.len() as u64) < accepted {
        model.accepted_at.push(now);
    }
    for host in &model.hosts {
        let Some(age) = host.freshness.age(now) else {
            continue;
        };
        let evidence = now.minus(age);
        let accepted_before = model
            .accepted_at
            .iter()
            .take_while(|at| **at < evidence)
            .count() as u64;
        let next = host.replayed.next_offset();
        assert!(
            next >= accepted_before,
            "seed {seed} step {step}: a host with current evidence misses record {next}"
        );
        model.seen.fresh_in_outage += usize::from(model.is_log_down && host.is_fresh(now));
    }
    for shard in (0..SHARDS).map(ShardId::from_u32) {
        let spenders = model
            .hosts
            .iter()
            .filter(|host| host.is_fresh(now) && host.shard_buckets.is_active(shard))
            .count();
        assert!(
            spenders <= 1,
            "seed {seed} step {step}: {spenders} hosts spend from {shard}"
        );
    }
    for pair in model.hosts.windows(2) {
        if pair[0].replayed.next_offset() == pair[1].replayed.next_offset() {
            assert!(
                pair[0].replayed == pair[1].replayed,
                "seed {seed} step {step}: replayed states differ"
            );
        }
    }
}

/// Checks by a token bucket that the spent tokens exceed the limit in no window.
pub(crate) fn check_spent_tokens(model: &FleetModel, seed: u64) {
    let burst = f64::from(BURST);
    let rate = f64::from(RATE) / 1_000.0;
    let mut level = burst;
    let mut last = model.spent_at.first().copied().unwrap_or(0);
    for at in &model.spent_at {
        level = (level + (at - last) as f64 * rate).min(burst) - 1.0;
        last = *at;
        assert!(
            level > -1e-6,
            "seed {seed}: a window exceeds the limit by {}",
            -level
        );
    }
}
