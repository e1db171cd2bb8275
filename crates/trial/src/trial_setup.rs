//! Sets a fleet up for a scenario and concludes it.

use crocushoist_protocol::StatusReport;
use crocushoist_protocol::WireChange;
use crocushoist_protocol::WireScope;
use crocushoist_state::KEY_PREFIX;
use crocushoist_state::KeyDigest;
use crocushoist_state::WorkspaceLimit;

use crate::call_outcome::CallOutcome;
use crate::call_outcome::OutcomeKind;
use crate::fleet_plan::FleetPlan;
use crate::fleet_plan::STOCK;
use crate::promise_check::LimitTable;
use crate::promise_check::check_promises;
use crate::trial_caller::CallerPlan;
use crate::trial_caller::HostSelection;
use crate::trial_error::TrialError;
use crate::trial_fleet::TrialFleet;
use crate::trial_report::TrialReport;

const ADDRESS_TTL_MS: u32 = 1_500;

/// Path that keyed callers use.
pub const KEYED_PATH: &str = "/stock/bins";

/// Path that is open to all.
pub const OPEN_PATH: &str = "/open/hours";

/// Key number `number` of `workspace`.
pub fn key_of(workspace: &str, number: u32) -> String {
    let digest = KeyDigest::of(&format!("{workspace}/{number}")).to_string();
    format!("{KEY_PREFIX}{}", &digest[..40])
}

/// Starts a fleet of `plan` and sets up the service, the routes and the workspaces of `limits`.
pub async fn start_fleet(plan: FleetPlan, limits: &LimitTable) -> Result<TrialFleet, TrialError> {
    let fleet = TrialFleet::start(plan).await?;
    let common = [
        WireChange::SetDefault {
            setting: "address-ttl-ms".into(),
            value: ADDRESS_TTL_MS,
        },
        WireChange::PutService {
            name: STOCK.into(),
            shed_is_not_run: true,
        },
        WireChange::PutRoute {
            prefix: "/stock".into(),
            service: STOCK.into(),
            open: false,
        },
        WireChange::PutRoute {
            prefix: "/open".into(),
            service: STOCK.into(),
            open: true,
        },
    ];
    for change in common {
        fleet.change(change).await?;
    }
    let mut names: Vec<&String> = limits.keys().collect();
    names.sort_unstable();
    for name in names {
        add_workspace(&fleet, name, limits[name]).await?;
    }
    let newest = fleet.change(final_setup_change()).await?.offset;
    wait_applied(&fleet, newest + 1).await?;
    Ok(fleet)
}

/// The change that ends the set-up.
fn final_setup_change() -> WireChange {
    WireChange::SetDefault {
        setting: "attempts".into(),
        value: 2,
    }
}

/// Waits until every live host has folded up to `next_offset`.
pub async fn wait_applied(fleet: &TrialFleet, next_offset: u64) -> Result<(), TrialError> {
    fleet
        .wait_for("an edit in force everywhere", async |fleet| {
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
    fleet.change(grant(name, 0)).await?;
    Ok(())
}

/// Sets `setting` of `workspace` by an exception.
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

/// Grants key number `number` of `workspace`.
pub fn grant(workspace: &str, number: u32) -> WireChange {
    WireChange::GrantKey {
        digest: KeyDigest::of(&key_of(workspace, number)).to_string().into(),
        workspace: workspace.into(),
    }
}

/// Withdraws key number `number` of `workspace`.
pub fn withdraw(workspace: &str, number: u32) -> WireChange {
    WireChange::WithdrawKey {
        digest: KeyDigest::of(&key_of(workspace, number)).to_string().into(),
    }
}

/// Limits of workspaces, each with a name, a rate and a burst.
pub fn limits(entries: &[(&str, u32, u32)]) -> LimitTable {
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

/// Caller of `workspace` in `data_centre` that asks the fleet for addresses.
pub fn steered_caller(
    fleet: &TrialFleet,
    workspace: &str,
    rate: f64,
    data_centre: usize,
    seed: u64,
) -> CallerPlan {
    let entry = fleet
        .plan
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    CallerPlan {
        workspace: workspace.to_owned(),
        key: Some(key_of(workspace, 0)),
        rate,
        hosts: HostSelection::Steered {
            entry,
            data_centre: FleetPlan::data_centre_name(data_centre),
        },
        method: "GET",
        path: KEYED_PATH,
        seed,
    }
}

/// Caller of `workspace` that uses only the hosts with the given indexes.
pub fn fixed_caller(
    fleet: &TrialFleet,
    workspace: &str,
    rate: f64,
    hosts: &[usize],
    seed: u64,
) -> CallerPlan {
    let addresses = hosts
        .iter()
        .map(|index| fleet.plan.hosts[*index].caller_address)
        .collect();
    CallerPlan {
        hosts: HostSelection::Fixed(addresses),
        ..steered_caller(fleet, workspace, rate, 0, seed)
    }
}

/// Checks the promises and takes the figures that every scenario has.
pub async fn check_and_measure(
    fleet: &TrialFleet,
    report: &mut TrialReport,
    before: &[StatusReport],
    outcomes: &[CallOutcome],
    limits: &LimitTable,
) -> Result<(), TrialError> {
    let ledger = fleet.ledger().await?;
    add_outcome_counts(report, outcomes);
    check_promises(report, outcomes, &ledger, limits);
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
    let count = |wanted: &dyn Fn(&OutcomeKind) -> bool| {
        outcomes
            .iter()
            .filter(|outcome| wanted(&outcome.kind))
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
