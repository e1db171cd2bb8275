//! Scenarios against a fleet of real processes on loopback.
//!
//! A trial starts the stand-ins and the daemons, drives callers and faults,
//! and checks the promises from the ledgers of both sides. It ends only what
//! it started.

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
