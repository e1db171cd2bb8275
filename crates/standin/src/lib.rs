//! Stand-ins for the systems outside the fleet, for use in trials.
//!
//! There are four: the platform's log, the platform's host list, the instances
//! of the services, and a relay that can drop bytes in one direction of chosen
//! connections. The behaviour of each can be changed while it runs, by an HTTP
//! request to its control path.

mod control_body;
mod executed_request;
mod host_list_server;
mod instance_faults;
mod instance_server;
mod log_server;
mod relay_server;
mod truncatable_body;

pub use executed_request::ExecutedRequest;
pub use host_list_server::HostListBehaviour;
pub use host_list_server::serve_host_list;
pub use instance_faults::InstanceFaults;
pub use instance_server::InstanceGroup;
pub use instance_server::serve_instances;
pub use log_server::LogBehaviour;
pub use log_server::LogStats;
pub use log_server::serve_log;
pub use relay_server::CutRule;
pub use relay_server::RelayMapping;
pub use relay_server::RelayPlan;
pub use relay_server::serve_relay;
