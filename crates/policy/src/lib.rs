//! Decisions of a host on the platform, without network and clock.
//!
//! The daemon's tasks hold these structs, feed them with what they read and
//! hear, and ask them for decisions. Every function that depends on time takes
//! a [`crocushoist_state::ClockTime`]; every random choice takes its draw.

mod admission_rank;
mod config_evidence;
mod deployment_config;
mod fleet_coverage;
mod host_roster;
mod hub_ledger;
mod instance_belief;
mod instance_choice;
mod instance_index;
mod instance_key;
mod instance_listing;
mod instance_state;
mod instance_table;
mod listing_change;
mod name_hash;
mod outcome_counts;
mod pace_limit;
mod presence;
mod retry_allowance;
mod route_index;
mod told_counters;
mod window_marks;
mod window_start;
mod workspace_gate;
mod workspace_pace;
mod workspace_use;

pub use admission_rank::AdmissionRank;
pub use config_evidence::ConfigEvidence;
pub use deployment_config::CallerLimits;
pub use deployment_config::DeploymentConfig;
pub use deployment_config::RepeatKind;
pub use deployment_config::RouteSpec;
pub use deployment_config::SplitPart;
pub use deployment_config::WorkspaceSpec;
pub use host_roster::HostCard;
pub use host_roster::HostRoster;
pub use hub_ledger::HubLedger;
pub use instance_belief::AttemptOutcome;
pub use instance_belief::InstanceBelief;
pub use instance_key::InstanceKey;
pub use instance_listing::InstanceListing;
pub use instance_state::InstanceState;
pub use instance_table::InstanceTable;
pub use listing_change::ListingChange;
pub use name_hash::name_hash;
pub use outcome_counts::OutcomeCounts;
pub use pace_limit::PaceLimit;
pub use presence::Presence;
pub use retry_allowance::RetryAllowance;
pub use route_index::RouteIndex;
pub use told_counters::TellerId;
pub use window_marks::MARK_AGE_MS;
pub use window_marks::MarkedWorkspaces;
pub use window_marks::WindowMarks;
pub use window_start::WindowStart;
pub use workspace_gate::GateDecision;
pub use workspace_gate::WorkspaceGate;
pub use workspace_pace::WorkspacePace;
pub use workspace_use::WorkspaceUse;
