//! Serialised form of configuration changes.

use compact_str::CompactString;
use compact_str::ToCompactString;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_state::ConfigChange;
use crocushoist_state::ConfigError;
use crocushoist_state::ExceptionScope;
use crocushoist_state::RouteAccess;

/// What an exception applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireScope {
    /// One workspace, by name.
    Workspace(CompactString),
    /// One service, by name.
    Service(CompactString),
}

/// Change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum WireChange {
    /// Sets a fleet-wide default.
    SetDefault { setting: CompactString, value: u32 },
    /// Adds or replaces an exception.
    PutException {
        scope: WireScope,
        setting: CompactString,
        value: u32,
        reason: CompactString,
    },
    /// Removes an exception.
    RemoveException {
        scope: WireScope,
        setting: CompactString,
    },
    /// Adds a workspace.
    PutWorkspace { name: CompactString },
    /// Removes a workspace and its keys.
    RemoveWorkspace { name: CompactString },
    /// Grants a key, by its digest, to a workspace.
    GrantKey {
        digest: CompactString,
        workspace: CompactString,
    },
    /// Revokes a key, by its digest.
    WithdrawKey { digest: CompactString },
    /// Adds or replaces a service.
    PutService {
        name: CompactString,
        shed_is_not_run: bool,
    },
    /// Removes a service.
    RemoveService { name: CompactString },
    /// Adds or replaces a route.
    PutRoute {
        prefix: CompactString,
        service: CompactString,
        open: bool,
    },
    /// Removes a route.
    RemoveRoute { prefix: CompactString },
}

impl From<&ExceptionScope> for WireScope {
    fn from(scope: &ExceptionScope) -> Self {
        match scope {
            ExceptionScope::Workspace(name) => WireScope::Workspace(name.clone()),
            ExceptionScope::Service(name) => WireScope::Service(name.clone()),
        }
    }
}

impl From<WireScope> for ExceptionScope {
    fn from(scope: WireScope) -> Self {
        match scope {
            WireScope::Workspace(name) => ExceptionScope::Workspace(name),
            WireScope::Service(name) => ExceptionScope::Service(name),
        }
    }
}

impl From<&ConfigChange> for WireChange {
    fn from(change: &ConfigChange) -> Self {
        match change.clone() {
            ConfigChange::SetDefault { setting, value } => WireChange::SetDefault {
                setting: setting.name().into(),
                value,
            },
            ConfigChange::PutException {
                scope,
                setting,
                value,
                reason,
            } => WireChange::PutException {
                scope: (&scope).into(),
                setting: setting.name().into(),
                value,
                reason,
            },
            ConfigChange::RemoveException { scope, setting } => WireChange::RemoveException {
                scope: (&scope).into(),
                setting: setting.name().into(),
            },
            ConfigChange::PutWorkspace { name } => WireChange::PutWorkspace { name },
            ConfigChange::RemoveWorkspace { name } => WireChange::RemoveWorkspace { name },
            ConfigChange::GrantKey { digest, workspace } => WireChange::GrantKey {
                digest: digest.to_compact_string(),
                workspace,
            },
            ConfigChange::WithdrawKey { digest } => WireChange::WithdrawKey {
                digest: digest.to_compact_string(),
            },
            ConfigChange::PutService {
                name,
                shed_is_not_run,
            } => WireChange::PutService {
                name,
                shed_is_not_run,
            },
            ConfigChange::RemoveService { name } => WireChange::RemoveService { name },
            ConfigChange::PutRoute {
                prefix,
                service,
                access,
            } => WireChange::PutRoute {
                prefix,
                service,
                open: access == RouteAccess::Open,
            },
            ConfigChange::RemoveRoute { prefix } => WireChange::RemoveRoute { prefix },
        }
    }
}

impl TryFrom<WireChange> for ConfigChange {
    type Error = ConfigError;

    fn try_from(change: WireChange) -> Result<Self, ConfigError> {
        let change = match change {
            WireChange::SetDefault { setting, value } => ConfigChange::SetDefault {
                setting: setting.parse()?,
                value,
            },
            WireChange::PutException {
                scope,
                setting,
                value,
                reason,
            } => ConfigChange::PutException {
                scope: scope.into(),
                setting: setting.parse()?,
                value,
                reason,
            },
            WireChange::RemoveException { scope, setting } => ConfigChange::RemoveException {
                scope: scope.into(),
                setting: setting.parse()?,
            },
            WireChange::PutWorkspace { name } => ConfigChange::PutWorkspace { name },
            WireChange::RemoveWorkspace { name } => ConfigChange::RemoveWorkspace { name },
            WireChange::GrantKey { digest, workspace } => ConfigChange::GrantKey {
                digest: digest.parse()?,
                workspace,
            },
            WireChange::WithdrawKey { digest } => ConfigChange::WithdrawKey {
                digest: digest.parse()?,
            },
            WireChange::PutService {
                name,
                shed_is_not_run,
            } => ConfigChange::PutService {
                name,
                shed_is_not_run,
            },
            WireChange::RemoveService { name } => ConfigChange::RemoveService { name },
            WireChange::PutRoute {
                prefix,
                service,
                open,
            } => ConfigChange::PutRoute {
                prefix,
                service,
                access: route_access(open),
            },
            WireChange::RemoveRoute { prefix } => ConfigChange::RemoveRoute { prefix },
        };
        Ok(change)
    }
}

/// Access of a route: without a key if `open`, else only with one.
pub(crate) fn route_access(open: bool) -> RouteAccess {
    if open {
        RouteAccess::Open
    } else {
        RouteAccess::Keyed
    }
}
