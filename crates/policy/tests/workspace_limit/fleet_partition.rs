//! Hosts and hubs that cannot reach each other together admit a limit only
//! once.

use yare::parameterized;

use crate::fleet_model::Disruption;
use crate::fleet_model::assert_within_limit;
use crate::fleet_model::limit_of;
use crate::fleet_model::simulate_with;

#[parameterized(
    few_small = { 20.0, 2 },
    few_large = { 80.0, 2 },
    third_small = { 20.0, 4 },
    third_large = { 80.0, 4 },
    most_large = { 80.0, 9 },
)]
fn hosts_without_a_hub_and_the_others_share_one_limit(rate: f64, isolated_hosts: usize) {
    let limit = limit_of(rate, rate);
    let disruption = Disruption {
        isolation: 9_000..13_500,
        isolated_hosts,
        ..Disruption::default()
    };
    let demand = |at| {
        let times = if at >= 7_000 { 9.0 } else { 1.0 };
        rate / 1.6 * times
    };
    assert_within_limit(limit, |seed| {
        simulate_with(limit, seed, demand, &disruption)
    });
}

#[parameterized(
    small = { 20.0, 7_000 },
    large = { 80.0, 7_000 },
    surge_during_the_split = { 80.0, 10_000 },
)]
fn partitioned_data_centres_share_one_limit(rate: f64, from_ms: u64) {
    let limit = limit_of(rate, rate);
    let disruption = Disruption {
        partition: 9_000..13_500,
        ..Disruption::default()
    };
    let demand = |at| {
        let times = if at >= from_ms { 9.0 } else { 1.0 };
        rate / 1.6 * times
    };
    assert_within_limit(limit, |seed| {
        simulate_with(limit, seed, demand, &disruption)
    });
}

#[parameterized(
    third_small = { 20.0, 4 },
    third_large = { 80.0, 4 },
    all_but_the_hubs_small = { 20.0, 13 },
    all_but_the_hubs_large = { 80.0, 13 },
)]
fn share_from_a_hub_that_falls_silent_admits_no_surge(rate: f64, isolated_hosts: usize) {
    let limit = limit_of(rate, rate);
    let disruption = Disruption {
        isolation: 9_000..9_700,
        isolated_hosts,
        ..Disruption::default()
    };
    let demand = |at| {
        let times = if at >= 9_000 { 10.0 } else { 1.0 };
        rate / 1.6 * times
    };
    assert_within_limit(limit, |seed| {
        simulate_with(limit, seed, demand, &disruption)
    });
}
