//! Randomised soak test of the fleet, with host processes on loopback addresses.
//!
//! Each seed determines a plan of overlapping faults: killed and paused hosts,
//! broken links, a failing store, misbehaving instances, traffic peaks and
//! configuration changes. The store and the instances are stand-ins, reached
//! through proxies that can delay, stall or close a connection, or stop
//! forwarding in one direction. Callers keep a connection open until a call
//! on it gets no response. In the series mode, signals, stops and restarts
//! follow each other and overlap, and more calls are in progress. The drill
//! mode adds instances that say that they leave or want no requests, and a
//! store that comes back from older copies. The paths mode adds hosts that lose
//! their path to all instances, and instances that send bytes without end.
//!
//! After the faults, the calls that the callers sent are compared with the
//! requests that the instances executed. Whatever contradicts a guarantee of
//! the fleet is reported as a broken promise. Signals go only to processes
//! that the soak started itself.

mod call_history;
mod caller_load;
mod drill_faults;
mod lasting_callers;
mod need_check;
mod need_faults;
mod notice_check;
mod path_check;
mod path_faults;
mod promise_check;
mod series_faults;
mod soak_error;
mod soak_fleet;
mod soak_plan;
mod soak_run;
mod stop_check;
mod version_check;

pub use call_history::ArrivalRecord;
pub use call_history::CallHistory;
pub use call_history::CallOutcome;
pub use call_history::CallRecord;
pub use call_history::ExecutionRecord;
pub use call_history::HoldRecord;
pub use call_history::HostOutage;
pub use call_history::LimitRecord;
pub use call_history::PathCutRecord;
pub use call_history::ReadyProbe;
pub use promise_check::BrokenPromise;
pub use promise_check::check_promises;
pub use soak_error::SoakError;
pub use soak_plan::FaultKind;
pub use soak_plan::PlannedFault;
pub use soak_plan::SoakMode;
pub use soak_plan::SoakPlan;
pub use soak_plan::SoakSize;
pub use soak_run::SoakReport;
pub use soak_run::run_seed;
