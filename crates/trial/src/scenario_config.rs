//! Scenarios of configuration edits: concurrent edits, lost responses and an outage of the log.

use std::time::Duration;

use compio::time::sleep;
use futures_util::future::join;
use futures_util::future::join_all;

use crocushoist_protocol::EditRequest;
use crocushoist_protocol::StatusReport;
use crocushoist_protocol::WireChange;
use crocushoist_standin::LogBehaviour;
use crocushoist_state::ClockTime;

use crate::fleet_plan::FleetPlan;
use crate::scenario_rate::check_wrongful;
use crate::trial_caller::run_callers;
use crate::trial_error::TrialError;
use crate::trial_fleet::TrialFleet;
use crate::trial_fleet::new_edit_call;
use crate::trial_report::TrialReport;
use crate::trial_setup::check_and_measure;
use crate::trial_setup::limit_table;
use crate::trial_setup::start_fleet;
use crate::trial_setup::steered_caller;
use crate::trial_setup::wait_applied;

const HOSTS: usize = 12;
const SHARDS: u32 = 24;
/// Target for the time until an accepted edit is in effect on every host.
const MAX_APPLY_MS: u64 = 2_000;
/// Number of concurrent edits in a round.
const CONCURRENT_EDITS: usize = 4;
const ROUNDS: u64 = 8;
const MAX_WRONGFUL_PERCENT: f64 = 0.5;

fn deadline_change(value: u32) -> WireChange {
    WireChange::SetDefault {
        setting: "deadline-ms".into(),
        value,
    }
}

/// Sends concurrent edits of one object to different hosts.
///
/// In each round exactly one edit must be accepted, and the rejected ones must
/// state the revision they were based on.
pub async fn run_edit_race(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("depot", 200, 100)]);
    let fleet = start_fleet(FleetPlan::new(HOSTS, 6, 3, SHARDS), &limits).await?;
    let before = fleet.statuses().await;
    let mut report = TrialReport::default();
    let mut base = 0;
    let mut max_delay_ms = 0;
    for round in 0..ROUNDS {
        let edits = (0..CONCURRENT_EDITS).map(|editor| {
            let value = 1_000 + (round as u32) * 100 + editor as u32;
            let call = EditRequest {
                base: Some(base),
                ..new_edit_call(deadline_change(value))
            };
            let host = (seed as usize + round as usize + editor * 3) % HOSTS;
            let fleet = &fleet;
            async move { fleet.edit(host, &call).await }
        });
        let results = join_all(edits).await;
        let accepted_offsets: Vec<u64> = results
            .iter()
            .flatten()
            .map(|response| response.offset)
            .collect();
        let have_reason = results
            .iter()
            .filter_map(|result| result.as_ref().err())
            .all(|error| error.to_string().contains("was based on revision"));
        report.require(
            accepted_offsets.len() == 1,
            format!(
                "{} of the concurrent edits were accepted, expected 1",
                accepted_offsets.len()
            ),
        );
        report.require(
            have_reason,
            "a rejected edit did not state the revision that it was based on",
        );
        base = accepted_offsets.first().map_or(base, |offset| offset + 1);
        let accepted_at = ClockTime::now();
        wait_applied(&fleet, base).await?;
        max_delay_ms = max_delay_ms.max(ClockTime::now().since(accepted_at));
    }
    report.add_figure(
        "time_to_take_effect",
        max_delay_ms as f64,
        "ms after acceptance",
    );
    report.check_target(
        max_delay_ms <= MAX_APPLY_MS,
        "an accepted edit took more than 2 s to take effect on every host",
    );
    require_consistent_hosts(&fleet, &mut report, &before).await;
    check_and_measure(&fleet, &mut report, &before, &[], &limits).await?;
    Ok(report)
}

/// Requires that no host's log offset decreased and that all hosts have the same shard table.
async fn require_consistent_hosts(
    fleet: &TrialFleet,
    report: &mut TrialReport,
    before: &[StatusReport],
) {
    let after = fleet.statuses().await;
    let has_decreased = before.iter().any(|earlier| {
        after.iter().any(|later| {
            later.host.incarnation == earlier.host.incarnation
                && later.host.next_offset < earlier.host.next_offset
        })
    });
    report.require(!has_decreased, "the log offset of a host decreased");
    let have_same_table = after
        .windows(2)
        .all(|pair| pair[0].shards == pair[1].shards);
    report.require(have_same_table, "hosts hold different shard tables");
}

/// Loses the responses of appends that took effect, and repeats each edit at another host.
///
/// The repeated edit must get the offset of the first: it took effect once.
pub async fn run_log_lost_reply(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("depot", 200, 100)]);
    let fleet = start_fleet(FleetPlan::new(6, 6, 3, 12), &limits).await?;
    let before = fleet.statuses().await;
    let mut report = TrialReport::default();
    let mut base = 0;
    for round in 0..ROUNDS {
        let behaviour = LogBehaviour {
            lose_replies: 1 + (round % 3) as u32,
            ..LogBehaviour::default()
        };
        fleet.set_log_behaviour(behaviour).await?;
        let call = EditRequest {
            base: Some(base),
            ..new_edit_call(deadline_change(2_000 + round as u32))
        };
        let host = (seed + round) as usize % 6;
        let first = fleet.edit(host, &call).await?;
        let repeated = fleet.edit((host + 1) % 6, &call).await?;
        report.require(
            first.offset == repeated.offset,
            "a repeated edit took effect twice",
        );
        base = first.offset + 1;
    }
    fleet.set_log_behaviour(LogBehaviour::default()).await?;
    wait_applied(&fleet, base).await?;
    require_consistent_hosts(&fleet, &mut report, &before).await;
    check_and_measure(&fleet, &mut report, &before, &[], &limits).await?;
    Ok(report)
}

/// Makes the log unavailable after early records have expired, and starts a host meanwhile.
///
/// Hosts must go on serving, the new host must become ready, and edits must be
/// rejected until the log is available again.
pub async fn run_log_outage(seed: u64) -> Result<TrialReport, TrialError> {
    let limits = limit_table(&[("depot", 120, 60), ("installer", 60, 30)]);
    let mut plan = FleetPlan::new(HOSTS, 12, 3, SHARDS);
    plan.snapshot_records = 20;
    plan.snapshot_ms = 2_000;
    let mut fleet = start_fleet(plan, &limits).await?;
    fleet
        .set_log_behaviour(LogBehaviour {
            max_records: 15,
            ..LogBehaviour::default()
        })
        .await?;
    for value in 0..20 {
        fleet.change(deadline_change(3_000 + value)).await?;
    }
    let before = fleet.statuses().await;
    let callers = vec![
        steered_caller(&fleet, "depot", 45.0, 0, seed * 100 + 1),
        steered_caller(&fleet, "depot", 45.0, 1, seed * 100 + 2),
        steered_caller(&fleet, "installer", 45.0, 2, seed * 100 + 3),
    ];
    let mut report = TrialReport::default();
    let faults = run_outage(&mut fleet, &mut report);
    let (outcomes, fault_result) = join(run_callers(callers, 14_000), faults).await;
    fault_result?;
    for workspace in ["depot", "installer"] {
        check_wrongful(
            &mut report,
            &outcomes,
            workspace,
            &limits,
            MAX_WRONGFUL_PERCENT,
        );
    }
    require_consistent_hosts(&fleet, &mut report, &before).await;
    check_and_measure(&fleet, &mut report, &before, &outcomes, &limits).await?;
    Ok(report)
}

async fn run_outage(fleet: &mut TrialFleet, report: &mut TrialReport) -> Result<(), TrialError> {
    sleep(Duration::from_millis(1_500)).await;
    let unavailable = LogBehaviour {
        is_unavailable: true,
        max_records: 15,
        ..LogBehaviour::default()
    };
    fleet.set_log_behaviour(unavailable).await?;
    sleep(Duration::from_millis(1_000)).await;
    let started_at = ClockTime::now();
    let new_host = fleet.plan.add_host(0);
    fleet.publish_host_list().await?;
    fleet.start_host(new_host)?;
    fleet
        .wait_for("a new host to be ready during the outage", async |fleet| {
            fleet
                .status(new_host)
                .await
                .is_ok_and(|status| status.fresh)
        })
        .await?;
    report.add_figure(
        "newcomer_fresh_in_outage",
        ClockTime::now().since(started_at) as f64,
        "ms",
    );
    sleep(Duration::from_millis(5_000)).await;
    let is_rejected = fleet.change(deadline_change(9_999)).await.is_err();
    report.require(
        is_rejected,
        "an edit was accepted while the log was unavailable",
    );
    fleet
        .set_log_behaviour(LogBehaviour {
            is_unavailable: false,
            ..unavailable
        })
        .await?;
    let response = fleet.change(deadline_change(7_777)).await?;
    let accepted_at = ClockTime::now();
    wait_applied(fleet, response.offset + 1).await?;
    let delay_ms = ClockTime::now().since(accepted_at);
    report.add_figure(
        "time_to_take_effect",
        delay_ms as f64,
        "ms after acceptance",
    );
    report.check_target(
        delay_ms <= MAX_APPLY_MS,
        "an accepted edit took more than 2 s to take effect on every host",
    );
    Ok(())
}
