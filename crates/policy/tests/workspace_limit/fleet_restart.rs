//! All hosts restart at once, so their earlier admissions are known only from
//! the near-full records.

use yare::parameterized;

use crocushoist_policy::NearFullRecords;
use crocushoist_policy::NearFullWorkspaces;
use crocushoist_state::ClockTime;

use crate::fleet_model::BOOT_MS;
use crate::fleet_model::WORKSPACE;
use crate::fleet_model::assert_within_limit;
use crate::fleet_model::limit_of;
use crate::fleet_model::simulate_with_restart;

#[parameterized(
    small = { 10.0, 10.0, 0, 0 },
    large = { 80.0, 80.0, 0, 0 },
    smallest_recorded = { 5.0, 5.0, 0, 0 },
    too_small_to_be_recorded = { 4.0, 4.0, 0, 0 },
    small_after_an_outage = { 10.0, 10.0, 0, 1_000 },
    large_after_an_outage = { 80.0, 80.0, 0, 1_000 },
    surge_just_before = { 80.0, 80.0, 8_000, 1_000 },
    surge_just_before_at_once = { 53.0, 53.0, 7_600, 300 },
    surge_some_time_before = { 53.0, 53.0, 6_000, 500 },
    without_burst = { 40.0, 0.0, 7_500, 1_000 },
)]
fn restart_of_all_hosts_does_not_admit_a_second_window(
    rate: f64,
    burst: f64,
    from_ms: u64,
    downtime_ms: u64,
) {
    let limit = limit_of(rate, burst);
    let typical = rate / 1.6;
    let demand = |at| {
        if at >= from_ms {
            typical * 6.0
        } else {
            typical
        }
    };
    assert_within_limit(limit, |seed| {
        simulate_with_restart(limit, seed, demand, 9_000, downtime_ms)
    });
}

#[parameterized(
    small = { 10.0, 10.0 },
    large = { 80.0, 80.0 },
    without_burst = { 40.0, 0.0 },
)]
fn typical_demand_is_served_after_a_restart_of_all_hosts(rate: f64, burst: f64) {
    const RESTART_MS: u64 = 9_000;
    const DOWNTIME_MS: u64 = 1_000;
    const SEEDS: u64 = 40;
    let limit = limit_of(rate, burst);
    let typical = rate / 1.6;
    // With a few seeds the window is nearly full at the restart by chance, and requests are
    // refused until it empties.
    let refused: u32 = (0..SEEDS)
        .map(|seed| {
            simulate_with_restart(limit, seed, |_| typical, RESTART_MS, DOWNTIME_MS).refused
        })
        .sum();
    // For half a second, until a hub assigns shares, hosts admit only a part of the limit.
    let allowed = typical * 0.5 * SEEDS as f64;
    assert!(
        f64::from(refused) <= allowed,
        "{refused} requests were refused, {allowed} may be"
    );
}

#[test]
fn new_hub_does_not_clear_the_record_of_an_earlier_one() {
    let at = ClockTime::from_millis;
    let mut records = NearFullRecords::default();
    assert_eq!(
        records.record_to_write("north", false, at(BOOT_MS)),
        None,
        "not read yet"
    );
    records.set_record("north", [WORKSPACE].into());
    records.set_read_at(at(BOOT_MS));
    assert_eq!(
        records.record_to_write("north", false, at(BOOT_MS + 100)),
        None
    );
    let cleared = records.record_to_write("north", true, at(BOOT_MS + 5_100));
    assert_eq!(cleared, Some(NearFullWorkspaces::new()));
}
