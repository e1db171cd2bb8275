//! Small stand-ins for the systems that the fleet meets.
//!
//! The platform's log and host list, the instances of the services and a
//! relay that can drop one direction of chosen connections. Each is switched
//! while it runs through a control path of its own HTTP server.

mod control_body;
mod executed_request;
mod host_list_server;
mod instance_faults;
mod instance_server;
mod log_server;
mod relay_server;
mod truncatable_body;

pub use executed_request::RunEntry;
pub use host_list_server::HostListScript;
pub use host_list_server::serve_host_list;
pub use instance_faults::FaultScript;
pub use instance_server::InstanceGroup;
pub use instance_server::serve_instances;
pub use log_server::LogScript;
pub use log_server::LogStats;
pub use log_server::serve_log;
pub use relay_server::CutRule;
pub use relay_server::RelayMapping;
pub use relay_server::RelayPlan;
pub use relay_server::serve_relay;
