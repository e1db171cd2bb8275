//! Hosts and hubs that do not hear each other give a limit out once.

use yare::parameterized;

use crate::fleet_model::DayTrouble;
use crate::fleet_model::assert_one_window;
use crate::fleet_model::limit_of;
use crate::fleet_model::play_with;

#[parameterized(
    few_small = { 20.0, 2 },
    few_large = { 80.0, 2 },
    third_small = { 20.0, 4 },
    third_large = { 80.0, 4 },
    most_large = { 80.0, 9 },
)]
fn hosts_without_a_hub_and_the_others_keep_one_window(rate: f64, cut_hosts: usize) {
    let limit = limit_of(rate, rate);
    let trouble = DayTrouble {
        cut: 9_000..13_500,
        cut_hosts,
        ..DayTrouble::default()
    };
    let hot = |at| {
        let times = if at >= 7_000 { 9.0 } else { 1.0 };
        rate / 1.6 * times
    };
    assert_one_window(limit, |seed| play_with(limit, seed, hot, &trouble));
}

#[parameterized(
    small = { 20.0, 7_000 },
    large = { 80.0, 7_000 },
    surge_during_the_split = { 80.0, 10_000 },
)]
fn data_centres_that_do_not_hear_each_other_keep_one_window(rate: f64, from_ms: u64) {
    let limit = limit_of(rate, rate);
    let trouble = DayTrouble {
        split: 9_000..13_500,
        ..DayTrouble::default()
    };
    let hot = |at| {
        let times = if at >= from_ms { 9.0 } else { 1.0 };
        rate / 1.6 * times
    };
    assert_one_window(limit, |seed| play_with(limit, seed, hot, &trouble));
}
