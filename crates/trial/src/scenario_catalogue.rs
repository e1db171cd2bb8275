//! The scenarios by name.

use std::future::Future;
use std::pin::Pin;

use crate::scenario_calm::run_calm;
use crate::scenario_config::run_edit_race;
use crate::scenario_config::run_log_lost_reply;
use crate::scenario_config::run_log_outage;
use crate::scenario_host::run_dc_cut;
use crate::scenario_host::run_host_kill;
use crate::scenario_host::run_host_stop;
use crate::scenario_key::run_key_withdraw;
use crate::scenario_path::run_path;
use crate::scenario_rate::run_rate_cut;
use crate::scenario_rate::run_rate_freeze;
use crate::scenario_rate::run_rate_skew;
use crate::trial_error::TrialError;
use crate::trial_report::TrialReport;

type ScenarioRun = Pin<Box<dyn Future<Output = Result<TrialReport, TrialError>>>>;

/// One scenario.
pub struct ScenarioEntry {
    /// Name.
    pub name: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    /// Runs it with a seed.
    pub run: fn(u64) -> ScenarioRun,
}

/// Every scenario.
pub const SCENARIOS: [ScenarioEntry; 12] = [
    ScenarioEntry {
        name: "calm",
        summary: "44 hosts, what control costs idle and under a calm load",
        run: |seed| Box::pin(run_calm(seed)),
    },
    ScenarioEntry {
        name: "path",
        summary: "calm load through six hosts, compared with going direct",
        run: |seed| Box::pin(run_path(seed)),
    },
    ScenarioEntry {
        name: "rate-skew",
        summary: "44 hosts, callers on one host, one workspace at five times its rate",
        run: |seed| Box::pin(run_rate_skew(seed)),
    },
    ScenarioEntry {
        name: "rate-cut",
        summary: "one-way cuts between data centres while limits are pressed",
        run: |seed| Box::pin(run_rate_cut(seed)),
    },
    ScenarioEntry {
        name: "rate-freeze",
        summary: "hosts frozen for longer than every lease while limits are pressed",
        run: |seed| Box::pin(run_rate_freeze(seed)),
    },
    ScenarioEntry {
        name: "key-withdraw",
        summary: "keys withdrawn and granted while traffic runs over kept connections",
        run: |seed| Box::pin(run_key_withdraw(seed)),
    },
    ScenarioEntry {
        name: "edit-race",
        summary: "operators race with edits of one object",
        run: |seed| Box::pin(run_edit_race(seed)),
    },
    ScenarioEntry {
        name: "log-outage",
        summary: "the log is out, early records have expired, a host starts meanwhile",
        run: |seed| Box::pin(run_log_outage(seed)),
    },
    ScenarioEntry {
        name: "log-lost-reply",
        summary: "replies of appends are lost after they took effect",
        run: |seed| Box::pin(run_log_lost_reply(seed)),
    },
    ScenarioEntry {
        name: "host-kill",
        summary: "hosts are killed and replaced",
        run: |seed| Box::pin(run_host_kill(seed)),
    },
    ScenarioEntry {
        name: "host-stop",
        summary: "hosts stop in the planned way",
        run: |seed| Box::pin(run_host_stop(seed)),
    },
    ScenarioEntry {
        name: "dc-cut",
        summary: "a data centre is cut off in one direction, then in both",
        run: |seed| Box::pin(run_dc_cut(seed)),
    },
];
