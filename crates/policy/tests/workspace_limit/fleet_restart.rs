//! All hosts end at once: what they admitted is known by the marks only.

use yare::parameterized;

use crocushoist_policy::MarkedWorkspaces;
use crocushoist_policy::WindowMarks;
use crocushoist_state::ClockTime;

use crate::fleet_model::BOOT_MS;
use crate::fleet_model::WORKSPACE;
use crate::fleet_model::assert_one_window;
use crate::fleet_model::limit_of;
use crate::fleet_model::play_with_restart;

#[parameterized(
    small = { 10.0, 10.0, 0, 0 },
    large = { 80.0, 80.0, 0, 0 },
    smallest_marked = { 5.0, 5.0, 0, 0 },
    too_small_to_be_marked = { 4.0, 4.0, 0, 0 },
    small_after_an_outage = { 10.0, 10.0, 0, 1_000 },
    large_after_an_outage = { 80.0, 80.0, 0, 1_000 },
    surge_just_before = { 80.0, 80.0, 8_000, 1_000 },
    surge_just_before_at_once = { 53.0, 53.0, 7_600, 300 },
    surge_some_time_before = { 53.0, 53.0, 6_000, 500 },
    without_burst = { 40.0, 0.0, 7_500, 1_000 },
)]
fn restart_of_all_hosts_gives_no_second_window(rate: f64, burst: f64, from_ms: u64, away_ms: u64) {
    let limit = limit_of(rate, burst);
    let usual = rate / 1.6;
    let hot = |at| if at >= from_ms { usual * 6.0 } else { usual };
    assert_one_window(limit, |seed| {
        play_with_restart(limit, seed, hot, 9_000, away_ms)
    });
}

#[parameterized(
    small = { 10.0, 10.0 },
    large = { 80.0, 80.0 },
    without_burst = { 40.0, 0.0 },
)]
fn usual_demand_is_served_after_a_restart_of_all_hosts(rate: f64, burst: f64) {
    const RESTART_MS: u64 = 9_000;
    const AWAY_MS: u64 = 1_000;
    const SEEDS: u64 = 40;
    let limit = limit_of(rate, burst);
    let usual = rate / 1.6;
    // A few seeds have a nearly full window by chance and wait until it empties.
    let refused: u32 = (0..SEEDS)
        .map(|seed| play_with_restart(limit, seed, |_| usual, RESTART_MS, AWAY_MS).refused)
        .sum();
    // Hosts keep to a part of the limit until a hub tells, for half a second.
    let most = usual * 0.5 * SEEDS as f64;
    assert!(f64::from(refused) <= most, "{refused} of {most} refused");
}

#[test]
fn new_hub_does_not_clear_the_mark_of_an_earlier_one() {
    let at = ClockTime::from_millis;
    let mut marks = WindowMarks::default();
    assert_eq!(marks.due("north", false, at(BOOT_MS)), None, "not read yet");
    marks.take("north", [WORKSPACE].into());
    marks.note_read(at(BOOT_MS));
    assert_eq!(marks.due("north", false, at(BOOT_MS + 100)), None);
    let cleared = marks.due("north", true, at(BOOT_MS + 5_100));
    assert_eq!(cleared, Some(MarkedWorkspaces::new()));
}
