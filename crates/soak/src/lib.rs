//! Randomised soak of the fleet: real host processes on loopback, faults from
//! outside them, and the promises checked from the ledgers of both sides.
//!
//! A seed draws a plan of overlapping troubles. Store and instances are
//! stand-ins behind proxies that delay, reset, silence or cut one way. Callers
//! keep their connections until the process is gone. The soak ends only
//! processes that it started.

mod call_history;
mod caller_load;
mod link_proxy;
mod promise_check;
mod soak_error;
mod soak_fleet;
mod soak_plan;
mod soak_run;

pub use call_history::CallEnd;
pub use call_history::CallLedger;
pub use call_history::CallRecord;
pub use call_history::ExcusedSpan;
pub use call_history::RanRecord;
pub use promise_check::BrokenPromise;
pub use promise_check::check_promises;
pub use soak_error::SoakError;
pub use soak_plan::FaultKind;
pub use soak_plan::PlannedFault;
pub use soak_plan::SoakPlan;
pub use soak_plan::SoakSize;
pub use soak_run::SoakVerdict;
pub use soak_run::run_seed;
