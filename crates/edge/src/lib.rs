//! One host of the fleet on the platform.
//!
//! One process a host, one thread a process; tasks, one for each connection
//! and each duty, share an [`edge_context::EdgeContext`]. Decisions are made by
//! the structs of `crocushoist-policy`, what the platform says and calls is
//! spelled in `crocushoist-platform`.

pub mod edge_host;
pub mod edge_settings;

mod address_handler;
mod buffered_response;
mod config_reader;
mod edge_context;
mod edge_log;
mod edge_metrics;
mod edge_refusal;
mod forward_head;
mod graceful_stop;
mod hub_exchange;
mod hub_rejection;
mod in_flight_guard;
mod instance_attempt;
mod listing_reader;
mod peer_message;
mod peer_tasks;
mod request_forwarder;
mod request_handler;
mod request_record;
mod roster_sync;
