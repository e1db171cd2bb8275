//! Demand that jumps while the reports on it are late or lost, several hubs do
//! not know each other, or hosts stop.
//!
//! In no five seconds may the hosts together admit more than the limit, a tenth
//! of it and the slack.

use std::ops::Range;

use crate::fleet_model::limit_of;
use crate::network_model::FaultPlan;
use crate::network_model::FleetSize;
use crate::network_model::NetworkModel;

const PLAY_MS: u64 = 20_000;

/// Milliseconds in which the hosts find their hubs.
const START_MS: u64 = 2_000;

/// Milliseconds from the start at which the demand jumps.
const JUMP_MS: u64 = 7_000;

/// Seeds for a fleet; a large one takes longer.
fn seeds(size: FleetSize) -> Range<u64> {
    0..(200 / size.hosts as u64).max(1)
}

/// Fleets of all sizes, each with a small and a large limit.
fn sizes() -> impl Iterator<Item = FleetSize> {
    let fleets = [(42, 3), (100, 3), (290, 5)];
    fleets.into_iter().flat_map(|(hosts, data_centres)| {
        [20.0, 80.0].map(|rate| FleetSize {
            hosts,
            data_centres,
            limit: limit_of(rate, rate),
        })
    })
}

fn jump_from_nothing(at_ms: u64) -> f64 {
    if at_ms < JUMP_MS { 0.0 } else { 8.0 }
}

fn typical_after_the_start(at_ms: u64) -> f64 {
    if at_ms < START_MS { 0.0 } else { 1.0 / 1.6 }
}

fn jump_from_typical(at_ms: u64) -> f64 {
    if at_ms < JUMP_MS { 1.0 / 1.6 } else { 8.0 }
}

/// Plays the fleets of all sizes and asserts that no window exceeds the limit.
fn assert_within_limit(plan: impl Fn(FleetSize) -> FaultPlan) {
    assert_sizes_within_limit(sizes(), plan);
}

fn assert_sizes_within_limit(
    sizes: impl Iterator<Item = FleetSize>,
    plan: impl Fn(FleetSize) -> FaultPlan,
) {
    let mut broken = Vec::new();
    for size in sizes {
        let limit = size.limit;
        let allowed = (limit.rate * 5.0 + limit.burst) * 1.1 + limit.slack;
        let (mut worst, mut refused, mut admitted) = ((0, 0), 0, 0);
        for seed in seeds(size) {
            let run = NetworkModel::new(seed, size, plan(size)).play(PLAY_MS);
            worst = worst.max(run.log.worst_window());
            refused += run.log.refused_with_room();
            admitted += run.log.admitted();
        }
        let (count, from_ms) = worst;
        let refused_share = f64::from(refused) / f64::from(refused + admitted);
        let text = format!(
            "{} hosts, rate {}: {count} requests in the window from {from_ms} ms, {allowed:.0} \
             allowed; {refused_share:.3} refused with room",
            size.hosts, limit.rate
        );
        println!("{text}");
        if f64::from(count) > allowed {
            broken.push(text);
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

// A host that no answer reached in time went on with the share of the time without requests.
#[test]
fn jump_from_nothing_stays_within_the_limit_when_all_datagrams_are_late() {
    assert_within_limit(|_| FaultPlan {
        demand: jump_from_nothing,
        late: (1.0, 500),
        ..FaultPlan::default()
    });
}

// As above, with a hub that knows the demand before it jumps.
#[test]
fn jump_from_typical_demand_stays_within_the_limit_when_all_datagrams_are_late() {
    assert_within_limit(|_| FaultPlan {
        demand: jump_from_typical,
        late: (1.0, 500),
        ..FaultPlan::default()
    });
}

// A jump between two rounds, with nothing late or lost.
#[test]
fn jump_from_nothing_stays_within_the_limit() {
    assert_within_limit(|_| FaultPlan {
        demand: jump_from_nothing,
        ..FaultPlan::default()
    });
}

// Answers that are lost leave the old share in force.
#[test]
fn jump_stays_within_the_limit_when_half_of_the_datagrams_are_lost() {
    assert_within_limit(|_| FaultPlan {
        demand: jump_from_nothing,
        loss: 0.5,
        ..FaultPlan::default()
    });
}

// Each hub that knows no other assigned the whole limit.
#[test]
fn jump_stays_within_the_limit_while_many_hosts_are_hubs_of_their_own() {
    // A third of 290 hosts would exchange some 40,000 summaries in each round.
    let sizes = sizes().filter(|size| size.hosts <= 100);
    assert_sizes_within_limit(sizes, |_| FaultPlan {
        demand: jump_from_nothing,
        divided: JUMP_MS - 1_000..JUMP_MS + 3_000,
        ..FaultPlan::default()
    });
}

// A hub that is frozen lets the shares of its hosts age while the demand jumps.
#[test]
fn jump_stays_within_the_limit_while_the_hubs_are_frozen() {
    assert_within_limit(|size| FaultPlan {
        demand: jump_from_nothing,
        frozen: (0..size.data_centres)
            .map(|hub| (JUMP_MS - 200..JUMP_MS + 3_000, hub))
            .collect(),
        ..FaultPlan::default()
    });
}

// A new hub begins without the counts of the one before.
#[test]
fn hot_workspace_stays_within_the_limit_while_hubs_restart_in_turn() {
    assert_within_limit(|size| FaultPlan {
        demand: jump_from_typical,
        restarts: (0..3 * size.data_centres)
            .map(|host| (8_000 + 1_600 * (host / size.data_centres) as u64, host))
            .collect(),
        restart_ms: 6_000,
        ..FaultPlan::default()
    });
}

// All hosts forget their window at once, just after the demand jumped.
#[test]
fn hot_workspace_stays_within_the_limit_when_all_hosts_restart() {
    assert_within_limit(|size| FaultPlan {
        demand: jump_from_typical,
        restarts: (0..size.hosts).map(|host| (9_000, host)).collect(),
        ..FaultPlan::default()
    });
}

// At the first start no hub has answered yet, and each host has a part of its own.
#[test]
fn demand_at_the_start_stays_within_the_limit_when_all_datagrams_are_late() {
    assert_within_limit(|_| FaultPlan {
        demand: |_| 8.0,
        late: (1.0, 500),
        ..FaultPlan::default()
    });
}

/// Part of the requests that are refused while the limit has room.
fn refused_part(size: FleetSize, plan: &FaultPlan) -> f64 {
    let (mut refused, mut admitted) = (0, 0);
    for seed in seeds(size) {
        let run = NetworkModel::new(seed, size, plan.clone()).play(PLAY_MS);
        refused += run.log.refused_with_room();
        admitted += run.log.admitted();
    }
    f64::from(refused) / f64::from(refused + admitted)
}

// The price of the bound: callers within the limit are refused only by rare chance.
#[test]
fn typical_demand_is_admitted() {
    for size in sizes() {
        let plan = |is_at_one_host, late| FaultPlan {
            demand: typical_after_the_start,
            is_at_one_host,
            late,
            ..FaultPlan::default()
        };
        let in_time = refused_part(size, &plan(false, (0.0, 0)));
        let at_one_host = refused_part(size, &plan(true, (0.0, 0)));
        println!(
            "{} hosts, rate {}: refused {in_time:.4}, at one host {at_one_host:.4}, with all \
             datagrams late {:.4} and {:.4}",
            size.hosts,
            size.limit.rate,
            refused_part(size, &plan(false, (1.0, 500))),
            refused_part(size, &plan(true, (1.0, 500)))
        );
        assert!(in_time <= 0.01, "{in_time:.4} refused with room");
        assert!(at_one_host <= 0.01, "{at_one_host:.4} refused at one host");
    }
}
