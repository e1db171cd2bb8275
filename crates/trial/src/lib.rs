//! Trials: scenarios that run against a fleet of real processes on loopback.
//!
//! A trial starts the stand-ins and the daemons, runs callers against them and
//! injects faults. It then checks the promises of the fleet by comparing what
//! callers observed with what the stand-in instances executed. A trial ends
//! only the processes that it started.

pub mod call_outcome;
pub mod child_processes;
pub mod demo_fleet;
pub mod fleet_plan;
pub mod host_measure;
pub mod promise_check;
pub mod replay_measure;
pub mod scenario_calm;
pub mod scenario_catalogue;
pub mod scenario_config;
pub mod scenario_gray;
pub mod scenario_host;
pub mod scenario_key;
pub mod scenario_load;
pub mod scenario_path;
pub mod scenario_rate;
pub mod service_figures;
pub mod trial_caller;
pub mod trial_error;
pub mod trial_fleet;
pub mod trial_report;
pub mod trial_setup;
