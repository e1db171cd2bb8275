//! One host of the fleet on the platform.
//!
//! One process a host, one thread a process; tasks, one for each connection
//! and each duty, share an [`edge_context::EdgeContext`]. Decisions are made by
//! the structs of `crocushoist-policy`, what the platform says and calls is
//! spelled in `crocushoist-platform`.

pub mod edge_host;
pub mod edge_settings;

mod address_desk;
mod attempt_run;
mod caller_path;
mod config_reader;
mod edge_context;
mod edge_log;
mod edge_metrics;
mod edge_refusal;
mod edge_stop;
mod forward_head;
mod forward_plan;
mod hub_doubt;
mod hub_exchange;
mod instance_hold;
mod listing_reader;
mod peer_message;
mod peer_tasks;
mod request_record;
mod roster_keeper;
mod whole_answer;
