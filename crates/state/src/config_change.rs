//! One change of the configuration.

use compact_str::CompactString;

use crate::ExceptionScope;
use crate::KeyDigest;
use crate::RouteAccess;
use crate::SettingName;

/// Change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Sets a fleet-wide default.
    SetDefault {
        /// Setting to change.
        setting: SettingName,
        /// New value.
        value: u32,
    },
    /// Adds or replaces an exception.
    PutException {
        /// What it applies to.
        scope: ExceptionScope,
        /// Setting that it changes.
        setting: SettingName,
        /// Value in place of the default.
        value: u32,
        /// Why it stands.
        reason: CompactString,
    },
    /// Removes an exception.
    RemoveException {
        /// What it applied to.
        scope: ExceptionScope,
        /// Setting that it changed.
        setting: SettingName,
    },
    /// Adds a workspace.
    PutWorkspace {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Removes a workspace and its keys.
    RemoveWorkspace {
        /// Name of the workspace.
        name: CompactString,
    },
    /// Grants a key to a workspace.
    GrantKey {
        /// Digest of the key.
        digest: KeyDigest,
        /// Workspace that the key speaks for.
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
        /// Whether its shed answer means that the request did not run.
        shed_is_not_run: bool,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: CompactString,
    },
    /// Adds or replaces a route.
    PutRoute {
        /// Path prefix, whole segments.
        prefix: CompactString,
        /// Service that answers.
        service: CompactString,
        /// Who may use it.
        access: RouteAccess,
    },
    /// Removes a route.
    RemoveRoute {
        /// Path prefix.
        prefix: CompactString,
    },
}

impl ConfigChange {
    /// Name of the object that the change applies to, for revisions and errors.
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
