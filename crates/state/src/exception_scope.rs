//! Scope of an exception in the configuration.

use std::fmt;

use compact_str::CompactString;

/// Workspace or service that an exception applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExceptionScope {
    /// One workspace, by name.
    Workspace(CompactString),
    /// One service, by name.
    Service(CompactString),
}

impl fmt::Display for ExceptionScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExceptionScope::Workspace(name) => write!(f, "workspace \"{name}\""),
            ExceptionScope::Service(name) => write!(f, "service \"{name}\""),
        }
    }
}
