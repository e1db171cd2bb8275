//! Daemon that runs one host of the fleet.
//!
//! Each host is one process with one main thread. Tasks, one for each
//! connection and each peer, share a [`host_context::HostContext`]. The
//! decisions are made by types of the lower crates, which the tasks call with
//! the current time.

pub mod admission;
pub mod host_context;
pub mod host_daemon;
pub mod host_metrics;
pub mod host_settings;
pub mod host_state;
pub mod key_scrubber;
pub mod listed_hosts;
pub mod peer_roles;
pub mod refusal;
pub mod request_path;
pub mod retry_budget;

mod address_lookup;
mod admin_server;
mod byte_search;
mod edit_submission;
mod forwarding;
mod handover;
mod host_list_reader;
mod instance_slot;
mod log_reader;
mod outcome_exchange;
mod peer_server;
mod peer_tasks;
mod planned_stop;
mod shard_manager;
mod snapshot_writer;
