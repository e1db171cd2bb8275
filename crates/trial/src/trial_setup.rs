//! Set-up that scenarios share, and the checks and figures at their end.

use crocushoist_protocol::StatusReport;
use crocushoist_protocol::WireChange;
use crocushoist_protocol::WireScope;
use crocushoist_state::KEY_PREFIX;
use crocushoist_state::KeyDigest;
use crocushoist_state::WorkspaceLimit;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;
use crate::fleet_plan::FleetPlan;
use crate::fleet_plan::SERVICE_NAME;
use crate::promise_check::LimitTable;
use crate::promise_check::check_promises;
use crate::trial_caller::CallerPlan;
use crate::trial_caller::HostSelection;
use crate::trial_error::TrialError;
use crate::trial_fleet::TrialFleet;
use crate::trial_report::TrialReport;

/// Milliseconds for which callers may use an address list.
const ADDRESS_TTL_MS: u32 = 1_500;

/// Path of a route that requires a key.
pub const KEYED_PATH: &str = "/stock/bins";

/// Path of a route that requires no key.
pub const OPEN_PATH: &str = "/open/hours";

/// Key number `number` of `workspace`.
pub fn workspace_key(workspace: &str, number: u32) -> String {
    let digest = KeyDigest::of(&format!("{workspace}/{number}")).to_string();
    format!("{KEY_PREFIX}{}", &digest[..40])
}

/// Starts a fleet and configures the service, the routes and the workspaces of `limits`.
///
/// Returns once the configuration is in effect on every host. Fails if a process
/// cannot be started, an edit is rejected or the fleet is not ready in time.
pub async fn start_fleet(plan: FleetPlan, limits: &LimitTable) -> Result<TrialFleet, TrialError> {
    let fleet = TrialFleet::start(plan).await?;
    let common_changes = [
        WireChange::SetDefault {
            setting: "address-ttl-ms".into(),
            value: ADDRESS_TTL_MS,
        },
        WireChange::PutService {
            name: SERVICE_NAME.into(),
            shed_is_not_run: true,
        },
        WireChange::PutRoute {
            prefix: "/stock".into(),
            service: SERVICE_NAME.into(),
            open: false,
        },
        WireChange::PutRoute {
            prefix: "/open".into(),
            service: SERVICE_NAME.into(),
            open: true,
        },
    ];
    for change in common_changes {
        fleet.change(change).await?;
    }
    let mut names: Vec<&String> = limits.keys().collect();
    names.sort_unstable();
    for name in names {
        add_workspace(&fleet, name, limits[name]).await?;
    }
    let last_offset = fleet.change(final_setup_change()).await?.offset;
    wait_applied(&fleet, last_offset + 1).await?;
    Ok(fleet)
}

/// Last change of the set-up; once a host has applied it, it has applied all.
fn final_setup_change() -> WireChange {
    WireChange::SetDefault {
        setting: "attempts".into(),
        value: 2,
    }
}

/// Waits until every live host has applied the log records below `next_offset`.
pub async fn wait_applied(fleet: &TrialFleet, next_offset: u64) -> Result<(), TrialError> {
    fleet
        .wait_for("an edit to take effect on every host", async |fleet| {
            let statuses = fleet.statuses().await;
            statuses.len() == fleet.live_hosts().len()
                && statuses
                    .iter()
                    .all(|status| status.host.next_offset >= next_offset)
        })
        .await
}

async fn add_workspace(
    fleet: &TrialFleet,
    name: &str,
    limit: WorkspaceLimit,
) -> Result<(), TrialError> {
    fleet
        .change(WireChange::PutWorkspace { name: name.into() })
        .await?;
    set_limit(fleet, name, "rate", limit.rate).await?;
    set_limit(fleet, name, "burst", limit.burst).await?;
    fleet.change(grant_change(name, 0)).await?;
    Ok(())
}

/// Sets `setting` of `workspace` by an exception to the default.
pub async fn set_limit(
    fleet: &TrialFleet,
    workspace: &str,
    setting: &str,
    value: u32,
) -> Result<(), TrialError> {
    let change = WireChange::PutException {
        scope: WireScope::Workspace(workspace.into()),
        setting: setting.into(),
        value,
        reason: "agreed with the workspace".into(),
    };
    fleet.change(change).await?;
    Ok(())
}

/// Change that grants key number `number` of `workspace`.
pub fn grant_change(workspace: &str, number: u32) -> WireChange {
    WireChange::GrantKey {
        digest: KeyDigest::of(&workspace_key(workspace, number))
            .to_string()
            .into(),
        workspace: workspace.into(),
    }
}

/// Change that revokes key number `number` of `workspace`.
pub fn revoke_change(workspace: &str, number: u32) -> WireChange {
    WireChange::WithdrawKey {
        digest: KeyDigest::of(&workspace_key(workspace, number))
            .to_string()
            .into(),
    }
}

/// Limits from entries of name, rate per second and burst.
pub fn limit_table(entries: &[(&str, u32, u32)]) -> LimitTable {
    entries
        .iter()
        .map(|(name, rate, burst)| {
            let limit = WorkspaceLimit {
                rate: *rate,
                burst: *burst,
            };
            ((*name).to_owned(), limit)
        })
        .collect()
}

/// Plan of a caller of `workspace` in `data_centre` that looks up host addresses in the fleet.
///
/// It sends `rate_per_s` requests per second on average.
pub fn steered_caller(
    fleet: &TrialFleet,
    workspace: &str,
    rate_per_s: f64,
    data_centre: usize,
    seed: u64,
) -> CallerPlan {
    let entry_addresses = fleet
        .plan
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    CallerPlan {
        workspace: workspace.to_owned(),
        key: Some(workspace_key(workspace, 0)),
        rate_per_s,
        hosts: HostSelection::Steered {
            entry_addresses,
            data_centre: FleetPlan::data_centre_name(data_centre),
        },
        method: "GET",
        path: KEYED_PATH,
        seed,
    }
}

/// Plan of a caller of `workspace` that uses only the hosts with the given indexes.
pub fn fixed_caller(
    fleet: &TrialFleet,
    workspace: &str,
    rate_per_s: f64,
    hosts: &[usize],
    seed: u64,
) -> CallerPlan {
    let addresses = hosts
        .iter()
        .map(|index| fleet.plan.hosts[*index].caller_address)
        .collect();
    CallerPlan {
        hosts: HostSelection::Fixed(addresses),
        ..steered_caller(fleet, workspace, rate_per_s, 0, seed)
    }
}

/// Checks the promises of every scenario and adds the figures that all scenarios have.
///
/// `before` is the status of the hosts at the start of the load.
pub async fn check_and_measure(
    fleet: &TrialFleet,
    report: &mut TrialReport,
    before: &[StatusReport],
    outcomes: &[CallOutcome],
    limits: &LimitTable,
) -> Result<(), TrialError> {
    let executed_requests = fleet.executed_requests().await?;
    add_outcome_counts(report, outcomes);
    check_promises(report, outcomes, &executed_requests, limits);
    let after = fleet.statuses().await;
    let breaches: Vec<_> = after
        .iter()
        .flat_map(|status| status.breaches.iter())
        .collect();
    report.add_figure("breaches", breaches.len() as f64, "kinds");
    report.require(
        breaches.is_empty(),
        format!("invariants were breached: {breaches:?}"),
    );
    report.add_host_costs("loaded", before, &after);
    Ok(())
}

fn add_outcome_counts(report: &mut TrialReport, outcomes: &[CallOutcome]) {
    let count = |is_counted: &dyn Fn(&OutcomeKind) -> bool| {
        outcomes
            .iter()
            .filter(|outcome| is_counted(&outcome.kind))
            .count() as f64
    };
    report.add_figure("sent", outcomes.len() as f64, "requests");
    report.add_figure(
        "answered",
        count(&|kind| matches!(kind, OutcomeKind::Completed { .. })),
        "requests",
    );
    report.add_figure(
        "cut",
        count(&|kind| *kind == OutcomeKind::Truncated),
        "requests",
    );
    report.add_figure(
        "unanswered",
        count(&|kind| *kind == OutcomeKind::NoResponse),
        "requests",
    );
    report.add_figure(
        "unreached",
        count(&|kind| *kind == OutcomeKind::Unreachable),
        "requests",
    );
    let mut reasons: Vec<&str> = outcomes.iter().filter_map(CallOutcome::refusal).collect();
    reasons.sort_unstable();
    for chunk in reasons.chunk_by(|a, b| a == b) {
        report.add_figure(
            format!("refused_{}", chunk[0]),
            chunk.len() as f64,
            "requests",
        );
    }
}
