//! What a stopping host takes, and when it ends.

use proptest::proptest;
use yare::parameterized;

use crocushoist_policy::StopPlan;

/// Grace period in milliseconds.
const GRACE_MS: u64 = 6_000;

#[parameterized(
    at_the_start = { 0, 10_000, true },
    in_the_first_half = { 2_700, 10_000, true },
    budget_beyond_the_end = { 3_000, 4_000, false },
    budget_before_the_end = { 3_000, 2_000, true },
    late = { 4_100, 2_000, false },
    late_with_a_short_budget = { 4_100, 1_000, true },
    at_the_end = { 5_800, 1, false },
)]
fn stopping_host_takes_what_it_can_finish(elapsed_ms: u64, budget_ms: u64, expected: bool) {
    let plan = StopPlan::new(GRACE_MS);
    assert_eq!(plan.admits(elapsed_ms, budget_ms), expected);
}

/// Guards against requests that a host with a long grace period takes so late that their cut is not
/// excused.
#[test]
fn host_with_a_long_grace_period_takes_no_request_late_that_it_may_cut_off() {
    let plan = StopPlan::new(10_000);
    assert!(plan.admits(2_500, 10_000));
    assert!(!plan.admits(3_500, 6_500));
    assert!(plan.admits(3_500, 6_000));
}

proptest! {
    /// Guards against requests that are cut off because they were taken too late.
    #[test]
    fn request_taken_in_the_second_half_ends_before_the_process(
        grace_ms in 0_u64..20_000,
        elapsed_ms in 0_u64..20_000,
        budget_ms in 0_u64..20_000,
    ) {
        let plan = StopPlan::new(grace_ms);
        assert!(plan.close_listener_ms() <= plan.close_idle_ms());
        assert!(plan.close_idle_ms() <= plan.end_ms());
        assert!(plan.end_ms() <= grace_ms);
        let is_in_second_half = elapsed_ms >= plan.take_all_ms();
        if is_in_second_half && plan.admits(elapsed_ms, budget_ms) {
            assert!(elapsed_ms + budget_ms <= plan.end_ms());
        }
    }
}
