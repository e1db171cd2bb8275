//! Changes to the configuration that operators request.

use compact_str::CompactString;

use crate::ExceptionScope;
use crate::KeyDigest;
use crate::RouteAccess;
use crate::SettingName;

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Sets the fleet-wide default of a setting.
    SetDefault {
        /// Setting to change.
        setting: SettingName,
        /// New value.
        value: u32,
    },
    /// Adds or replaces an exception from a default.
    PutException {
        /// Workspace or service that the exception applies to.
        scope: ExceptionScope,
        /// Setting that the exception overrides.
        setting: SettingName,
        /// Value used in place of the default.
        value: u32,
        /// Reason for the exception, as the operator gave it.
        reason: CompactString,
    },
    /// Removes an exception.
    RemoveException {
        /// Workspace or service that the exception applies to.
        scope: ExceptionScope,
        /// Setting that the exception overrides.
        setting: SettingName,
    },
    /// Adds a workspace.
    PutWorkspace {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Removes a workspace with its keys and exceptions.
    RemoveWorkspace {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Grants a key to a workspace.
    GrantKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// Workspace that requests with the key belong to.
        workspace: CompactString,
    },
    /// Withdraws a key.
    WithdrawKey {
        /// Digest of the key.
        digest: KeyDigest,
    },
    /// Adds or replaces a service.
    PutService {
        /// Name of the service.
        name: CompactString,
        /// Whether a load-shedding response of the service proves that the request did not run.
        shed_is_not_run: bool,
    },
    /// Removes a service with its exceptions; fails while a route uses it.
    RemoveService {
        /// Name of the service.
        name: CompactString,
    },
    /// Adds or replaces a route.
    PutRoute {
        /// Path prefix, which matches whole segments.
        prefix: CompactString,
        /// Service that handles the requests.
        service: CompactString,
        /// Callers that may use the route.
        access: RouteAccess,
    },
    /// Removes a route.
    RemoveRoute {
        /// Path prefix of the route.
        prefix: CompactString,
    },
}

impl ConfigChange {
    /// Text that identifies the object that the change applies to, also used in error messages.
    pub fn object(&self) -> CompactString {
        let text = match self {
            ConfigChange::SetDefault { setting, .. } => format!("default {setting}"),
            ConfigChange::PutException { scope, setting, .. }
            | ConfigChange::RemoveException { scope, setting } => {
                format!("exception {setting} of {scope}")
            }
            ConfigChange::PutWorkspace { name } | ConfigChange::RemoveWorkspace { name } => {
                format!("workspace \"{name}\"")
            }
            ConfigChange::GrantKey { digest, .. } | ConfigChange::WithdrawKey { digest } => {
                format!("key {digest}")
            }
            ConfigChange::PutService { name, .. } | ConfigChange::RemoveService { name } => {
                format!("service \"{name}\"")
            }
            ConfigChange::PutRoute { prefix, .. } | ConfigChange::RemoveRoute { prefix } => {
                format!("route \"{prefix}\"")
            }
        };
        text.into()
    }
}
