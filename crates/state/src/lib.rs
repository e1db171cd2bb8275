//! State of a fleet and the decisions made on it: configuration, shard table,
//! token buckets and load balancing.
//!
//! This is the lowest layer. Except for [`ClockTime::now`], nothing here does
//! I/O or reads a clock: every function that depends on time takes a
//! [`ClockTime`]. Objects refer to each other by small `Copy` keys into arenas,
//! so that state is cheap to copy and compare.
//!
//! Invariants that are checked in every build are reported through [`breach`].

pub mod breach;

mod clock_time;
mod config_change;
mod config_error;
mod ejection_decision;
mod exception_entry;
mod exception_scope;
mod fleet_config;
mod instance_outcomes;
mod instance_pool;
mod instance_state;
mod key_digest;
mod outcome_window;
mod route_table;
mod routing_policy;
mod service_entry;
mod setting_name;
mod shard_holder;
mod shard_table;
mod share_plan;
mod token_bucket;
mod workspace_entry;
mod workspace_limit;

pub use clock_time::ClockTime;
pub use config_change::ConfigChange;
pub use config_error::ConfigError;
pub use ejection_decision::EjectionDecision;
pub use exception_entry::ExceptionEntry;
pub use exception_scope::ExceptionScope;
pub use fleet_config::FleetConfig;
pub use instance_outcomes::InstanceOutcomes;
pub use instance_pool::InstanceId;
pub use instance_pool::InstancePool;
pub use instance_pool::floor_count;
pub use instance_state::InstanceState;
pub use key_digest::KEY_LENGTH;
pub use key_digest::KEY_PREFIX;
pub use key_digest::KeyDigest;
pub use outcome_window::OutcomeWindow;
pub use route_table::RouteAccess;
pub use route_table::RouteEntry;
pub use route_table::RouteTable;
pub use routing_policy::RoutingPolicy;
pub use service_entry::ServiceEntry;
pub use service_entry::ServiceId;
pub use setting_name::SettingName;
pub use shard_holder::HostAddress;
pub use shard_holder::IncarnationId;
pub use shard_holder::ShardHolder;
pub use shard_table::OfferId;
pub use shard_table::ShardEntry;
pub use shard_table::ShardId;
pub use shard_table::ShardTable;
pub use share_plan::ShareLimit;
pub use share_plan::SharePlan;
pub use token_bucket::GrantId;
pub use token_bucket::MICROS_PER_TOKEN;
pub use token_bucket::TokenBucket;
pub use workspace_entry::WorkspaceEntry;
pub use workspace_entry::WorkspaceId;
pub use workspace_limit::WorkspaceLimit;
