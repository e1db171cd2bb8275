//! Decision logic of a host, without network access or a clock.
//!
//! The host's tasks own these structs, update them from what they read and
//! receive, and query them for decisions. Functions that depend on time take a
//! [`crocushoist_state::ClockTime`]; functions that make a random choice take
//! the random numbers as arguments.

mod admission_rank;
mod assigned_share;
mod config_evidence;
mod counter_selection;
mod deployment_config;
mod estimate_feed;
mod fault_estimate;
mod fleet_coverage;
mod host_roster;
mod hub_aggregator;
mod initial_use;
mod instance_index;
mod instance_key;
mod instance_listing;
mod instance_selector;
mod instance_state;
mod instance_table;
mod limit_index;
mod listing_change;
mod name_hash;
mod near_full_records;
mod outcome_counts;
mod presence;
mod reported_counters;
mod retry_budget;
mod retry_pool;
mod route_index;
mod service_counts;
mod store_read_pacer;
mod trial_offers;
mod trial_round;
mod trial_width;
mod window_limit;
mod window_limiter;
mod workspace_counts;
mod workspace_gate;

pub use admission_rank::AdmissionRank;
pub use assigned_share::aged_share;
pub use config_evidence::ConfigEvidence;
pub use counter_selection::CounterSelection;
pub use deployment_config::CallerLimits;
pub use deployment_config::DeploymentConfig;
pub use deployment_config::RetrySafety;
pub use deployment_config::RouteSpec;
pub use deployment_config::WeightedService;
pub use deployment_config::WorkspaceSpec;
pub use estimate_feed::EstimateFeed;
pub use estimate_feed::FeedCursor;
pub use fault_estimate::AttemptOutcome;
pub use fault_estimate::FaultEstimate;
pub use host_roster::HostRegistration;
pub use host_roster::HostRoster;
pub use hub_aggregator::HubAggregator;
pub use initial_use::InitialUse;
pub use instance_key::InstanceKey;
pub use instance_listing::InstanceListing;
pub use instance_state::InstanceState;
pub use instance_table::InstanceTable;
pub use limit_index::FleetLimit;
pub use limit_index::LimitIndex;
pub use listing_change::ListingChange;
pub use name_hash::name_hash;
pub use near_full_records::MAX_RECORD_AGE_MS;
pub use near_full_records::NearFullRecords;
pub use near_full_records::NearFullWorkspaces;
pub use outcome_counts::OutcomeCounts;
pub use presence::Presence;
pub use reported_counters::ReporterId;
pub use retry_budget::RetryBudget;
pub use retry_pool::retry_pool_key;
pub use retry_pool::retry_pool_limit;
pub use route_index::RouteIndex;
pub use service_counts::ServiceCounts;
pub use store_read_pacer::ReadSharing;
pub use store_read_pacer::StoreReadPacer;
pub use trial_round::TrialOffer;
pub use window_limit::WindowLimit;
pub use window_limiter::WindowLimiter;
pub use workspace_counts::WorkspaceCounts;
pub use workspace_gate::GateDecision;
pub use workspace_gate::WorkspaceGate;
