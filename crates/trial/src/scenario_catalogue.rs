//! List of all scenarios by name.

use std::future::Future;
use std::pin::Pin;

use crate::scenario_calm::run_calm;
use crate::scenario_config::run_edit_race;
use crate::scenario_config::run_log_lost_reply;
use crate::scenario_config::run_log_outage;
use crate::scenario_gray::run_all_slow;
use crate::scenario_gray::run_error_part;
use crate::scenario_gray::run_flap;
use crate::scenario_gray::run_hang;
use crate::scenario_gray::run_late_failure;
use crate::scenario_gray::run_path_cut;
use crate::scenario_gray::run_slow_one;
use crate::scenario_gray::run_slow_some;
use crate::scenario_gray::run_wrong_answer;
use crate::scenario_host::run_dc_cut;
use crate::scenario_host::run_fleet_restart;
use crate::scenario_host::run_holders_replaced;
use crate::scenario_host::run_host_kill;
use crate::scenario_host::run_host_stop;
use crate::scenario_key::run_key_withdraw;
use crate::scenario_load::run_booking_faults;
use crate::scenario_load::run_leaving;
use crate::scenario_load::run_overload;
use crate::scenario_path::run_path;
use crate::scenario_rate::run_rate_cut;
use crate::scenario_rate::run_rate_freeze;
use crate::scenario_rate::run_rate_skew;
use crate::trial_error::TrialError;
use crate::trial_report::TrialReport;

type ScenarioRun = Pin<Box<dyn Future<Output = Result<TrialReport, TrialError>>>>;

/// One scenario.
pub struct ScenarioEntry {
    /// Name of the scenario.
    pub name: &'static str,
    /// Summary in one line.
    pub summary: &'static str,
    /// Runs the scenario; fails if it cannot be carried out.
    pub run: fn(TrialOptions) -> ScenarioRun,
}

/// Options of one run of a scenario.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// Seed of the arrival times of requests and the choice of faulty hosts.
    pub seed: u64,
    /// Policy by which hosts choose instances: `shared`, `own` or `round-robin`.
    pub policy: String,
}

/// All scenarios, in the order in which they are listed.
pub const SCENARIOS: [ScenarioEntry; 26] = [
    ScenarioEntry {
        name: "calm",
        summary: "control costs of 44 hosts without load and under a calm load",
        run: |options| Box::pin(run_calm(options.seed)),
    },
    ScenarioEntry {
        name: "path",
        summary: "calm load through six hosts, compared with direct calls to instances",
        run: |options| Box::pin(run_path(options.seed)),
    },
    ScenarioEntry {
        name: "rate-skew",
        summary: "44 hosts, callers on one host, one workspace at five times its rate",
        run: |options| Box::pin(run_rate_skew(options.seed)),
    },
    ScenarioEntry {
        name: "rate-cut",
        summary: "one-way cuts between data centres while callers exceed their limits",
        run: |options| Box::pin(run_rate_cut(options.seed)),
    },
    ScenarioEntry {
        name: "rate-freeze",
        summary: "hosts suspended for longer than any lease while callers exceed their limits",
        run: |options| Box::pin(run_rate_freeze(options.seed)),
    },
    ScenarioEntry {
        name: "key-withdraw",
        summary: "keys revoked and granted while callers reuse their connections",
        run: |options| Box::pin(run_key_withdraw(options.seed)),
    },
    ScenarioEntry {
        name: "edit-race",
        summary: "operators edit one object at the same time",
        run: |options| Box::pin(run_edit_race(options.seed)),
    },
    ScenarioEntry {
        name: "log-outage",
        summary: "the log is unavailable, early records have expired, a host starts meanwhile",
        run: |options| Box::pin(run_log_outage(options.seed)),
    },
    ScenarioEntry {
        name: "log-lost-reply",
        summary: "responses to appends are lost after the appends took effect",
        run: |options| Box::pin(run_log_lost_reply(options.seed)),
    },
    ScenarioEntry {
        name: "host-kill",
        summary: "hosts are killed and replaced",
        run: |options| Box::pin(run_host_kill(options.seed)),
    },
    ScenarioEntry {
        name: "host-stop",
        summary: "hosts are asked to stop, one after another",
        run: |options| Box::pin(run_host_stop(options.seed)),
    },
    ScenarioEntry {
        name: "fleet-restart",
        summary: "every host is killed at once and started again",
        run: |options| Box::pin(run_fleet_restart(options.seed)),
    },
    ScenarioEntry {
        name: "holders-replaced",
        summary: "most shard holders are replaced at new addresses at once",
        run: |options| Box::pin(run_holders_replaced(options.seed)),
    },
    ScenarioEntry {
        name: "dc-cut",
        summary: "a data centre is cut off in one direction, then in both",
        run: |options| Box::pin(run_dc_cut(options.seed)),
    },
    ScenarioEntry {
        name: "slow-one",
        summary: "one instance takes five times as long",
        run: |options| Box::pin(run_slow_one(options)),
    },
    ScenarioEntry {
        name: "slow-some",
        summary: "one instance is slow for a fifth of its requests",
        run: |options| Box::pin(run_slow_some(options)),
    },
    ScenarioEntry {
        name: "error-part",
        summary: "one instance fails for a third of its requests",
        run: |options| Box::pin(run_error_part(options)),
    },
    ScenarioEntry {
        name: "hang",
        summary: "one instance hangs after it accepted a request",
        run: |options| Box::pin(run_hang(options)),
    },
    ScenarioEntry {
        name: "wrong-answer",
        summary: "one instance truncates responses, another changes their attempt IDs",
        run: |options| Box::pin(run_wrong_answer(options)),
    },
    ScenarioEntry {
        name: "late-failure",
        summary: "three instances respond late and then truncate the response",
        run: |options| Box::pin(run_late_failure(options)),
    },
    ScenarioEntry {
        name: "flap",
        summary: "one instance fails for two seconds in every five",
        run: |options| Box::pin(run_flap(options)),
    },
    ScenarioEntry {
        name: "path-cut",
        summary: "one data centre cannot reach one instance",
        run: |options| Box::pin(run_path_cut(options)),
    },
    ScenarioEntry {
        name: "all-slow",
        summary: "every instance takes five times as long",
        run: |options| Box::pin(run_all_slow(options)),
    },
    ScenarioEntry {
        name: "overload",
        summary: "callers send more requests than the instances can handle",
        run: |options| Box::pin(run_overload(options)),
    },
    ScenarioEntry {
        name: "leaving",
        summary: "the host list shows an instance as leaving",
        run: |options| Box::pin(run_leaving(options)),
    },
    ScenarioEntry {
        name: "booking-faults",
        summary: "bookings while instances hang or truncate responses, and hosts are killed, suspended or cut off",
        run: |options| Box::pin(run_booking_faults(options)),
    },
];
