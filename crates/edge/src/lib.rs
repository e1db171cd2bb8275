//! One host of the fleet on the platform.
//!
//! A host is one process with one thread. Its tasks, one for each connection
//! and each background job, share an [`edge_context::EdgeContext`]. The types
//! of `crocushoist-policy` make the decisions; the names and formats of the
//! platform are in `crocushoist-platform`.

pub mod edge_host;
pub mod edge_settings;
pub mod host_signals;

mod address_handler;
mod buffered_response;
mod config_reader;
mod config_snapshot;
mod crash_observer;
mod edge_context;
mod edge_log;
mod edge_metrics;
mod edge_refusal;
mod forward_head;
mod graceful_stop;
mod host_search;
mod hub_exchange;
mod hub_rejection;
mod in_flight_guard;
mod instance_attempt;
mod listing_reader;
mod listing_snapshot;
mod log_limiter;
mod lost_hosts;
mod notes_exchange;
mod path_observer;
mod path_prober;
mod peer_fetch;
mod peer_message;
mod peer_notes;
mod peer_server;
mod peer_tasks;
mod relay_handler;
mod relay_message;
mod relay_sender;
mod request_forwarder;
mod request_handler;
mod request_progress;
mod request_record;
mod roster_sync;
