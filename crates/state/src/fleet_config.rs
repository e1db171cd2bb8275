//! Configuration of the fleet, built by replaying the changes in the log.
//!
//! Workspaces and services live in arenas; their ids are local to a host and
//! are never sent. Each object stores the revision of its last change. A
//! change names the revision that it was based on and is rejected if the
//! object has changed since, so that of two concurrent edits the same one wins
//! on every host.
//!
//! Invariants: each key belongs to an existing workspace, and each route leads
//! to an existing service.

use std::collections::BTreeMap;
use std::collections::HashMap;

use compact_str::CompactString;
use cranelift_entity::PrimaryMap;

use crate::ConfigChange;
use crate::ConfigError;
use crate::ExceptionEntry;
use crate::ExceptionScope;
use crate::KeyDigest;
use crate::RouteEntry;
use crate::RouteTable;
use crate::ServiceEntry;
use crate::ServiceId;
use crate::SettingName;
use crate::WorkspaceEntry;
use crate::WorkspaceId;
use crate::WorkspaceLimit;

/// Maximum length of a workspace or service name in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Configuration of the fleet as of one offset of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetConfig {
    /// Value and revision of each default that an operator set.
    defaults: BTreeMap<SettingName, (u32, u64)>,
    exceptions: BTreeMap<(ExceptionScope, SettingName), ExceptionEntry>,
    workspaces: PrimaryMap<WorkspaceId, WorkspaceEntry>,
    workspace_index: HashMap<CompactString, WorkspaceId>,
    services: PrimaryMap<ServiceId, ServiceEntry>,
    service_index: HashMap<CompactString, ServiceId>,
    /// Workspace and revision of each granted key.
    keys: HashMap<KeyDigest, (WorkspaceId, u64)>,
    routes: RouteTable,
}

impl FleetConfig {
    /// Applies `change` as revision `revision` if the object's current revision is `base`.
    ///
    /// Fails with [`ConfigError::StaleBase`] if it is not, and as
    /// [`FleetConfig::apply_without_base`] does.
    pub fn apply(
        &mut self,
        change: &ConfigChange,
        base: u64,
        author: &str,
        revision: u64,
    ) -> Result<(), ConfigError> {
        let current = self.revision_of(change);
        if current != base {
            return Err(ConfigError::StaleBase {
                object: change.object(),
                current,
                base,
            });
        }
        self.apply_without_base(change, author, revision)
    }

    /// Applies `change` without checking the object's current revision, as when loading a snapshot.
    ///
    /// Fails if the change is invalid or names an object that does not exist.
    pub fn apply_without_base(
        &mut self,
        change: &ConfigChange,
        author: &str,
        revision: u64,
    ) -> Result<(), ConfigError> {
        match change {
            ConfigChange::SetDefault { setting, value } => {
                setting.check(*value)?;
                self.defaults.insert(*setting, (*value, revision));
            }
            ConfigChange::PutException {
                scope,
                setting,
                value,
                reason,
            } => {
                let entry = ExceptionEntry {
                    value: *value,
                    reason: reason.clone(),
                    author: author.into(),
                    revision,
                };
                self.put_exception(scope, *setting, entry)?;
            }
            ConfigChange::RemoveException { scope, setting } => {
                let removed = self.exceptions.remove(&(scope.clone(), *setting));
                removed.map(drop).ok_or_else(|| nothing_to_remove(change))?;
            }
            ConfigChange::PutWorkspace { name } => self.put_workspace(name, revision)?,
            ConfigChange::RemoveWorkspace { name } => self.remove_workspace(name)?,
            ConfigChange::GrantKey { digest, workspace } => {
                let workspace = self.find_workspace(workspace)?;
                self.keys.insert(*digest, (workspace, revision));
            }
            ConfigChange::WithdrawKey { digest } => {
                let removed = self.keys.remove(digest);
                removed.map(drop).ok_or_else(|| nothing_to_remove(change))?;
            }
            ConfigChange::PutService {
                name,
                shed_is_not_run,
            } => {
                self.put_service(name, *shed_is_not_run, revision)?;
            }
            ConfigChange::RemoveService { name } => self.remove_service(name)?,
            ConfigChange::PutRoute {
                prefix,
                service,
                access,
            } => {
                check_prefix(prefix)?;
                let entry = RouteEntry {
                    service: self.find_service(service)?,
                    access: *access,
                    revision,
                };
                self.routes.put(prefix.clone(), entry);
            }
            ConfigChange::RemoveRoute { prefix } => {
                if !self.routes.remove(prefix) {
                    return Err(nothing_to_remove(change));
                }
            }
        }
        Ok(())
    }

    /// Revision of the object that `change` applies to, zero if the object does not exist.
    pub fn revision_of(&self, change: &ConfigChange) -> u64 {
        let revision = match change {
            ConfigChange::SetDefault { setting, .. } => {
                self.defaults.get(setting).map(|entry| entry.1)
            }
            ConfigChange::PutException { scope, setting, .. }
            | ConfigChange::RemoveException { scope, setting } => self
                .exceptions
                .get(&(scope.clone(), *setting))
                .map(|entry| entry.revision),
            ConfigChange::PutWorkspace { name } | ConfigChange::RemoveWorkspace { name } => self
                .workspace_index
                .get(name)
                .map(|id| self.workspaces[*id].revision),
            ConfigChange::GrantKey { digest, .. } | ConfigChange::WithdrawKey { digest } => {
                self.keys.get(digest).map(|entry| entry.1)
            }
            ConfigChange::PutService { name, .. } | ConfigChange::RemoveService { name } => self
                .service_index
                .get(name)
                .map(|id| self.services[*id].revision),
            ConfigChange::PutRoute { prefix, .. } | ConfigChange::RemoveRoute { prefix } => {
                self.routes.get(prefix).map(|entry| entry.revision)
            }
        };
        revision.unwrap_or(0)
    }

    /// Fleet-wide default of `setting`, or its initial value if no operator set one.
    pub fn default_value(&self, setting: SettingName) -> u32 {
        self.defaults
            .get(&setting)
            .map_or(setting.initial(), |entry| entry.0)
    }

    /// Value of `setting` for `scope`: that of its exception, or the default.
    pub fn value_for(&self, scope: ExceptionScope, setting: SettingName) -> u32 {
        self.exceptions
            .get(&(scope, setting))
            .map_or_else(|| self.default_value(setting), |entry| entry.value)
    }

    /// Rate and burst of `workspace`.
    pub fn limit_of(&self, workspace: WorkspaceId) -> WorkspaceLimit {
        let scope = ExceptionScope::Workspace(self.workspaces[workspace].name.clone());
        WorkspaceLimit {
            rate: self.value_for(scope.clone(), SettingName::Rate),
            burst: self.value_for(scope, SettingName::Burst),
        }
    }

    /// Workspace that owns the key with `digest`.
    pub fn workspace_of_key(&self, digest: &KeyDigest) -> Option<WorkspaceId> {
        self.keys.get(digest).map(|entry| entry.0)
    }

    /// Finds the workspace with the given name.
    ///
    /// Fails with [`ConfigError::UnknownWorkspace`] if there is none.
    pub fn find_workspace(&self, name: &str) -> Result<WorkspaceId, ConfigError> {
        self.workspace_index
            .get(name)
            .copied()
            .ok_or_else(|| ConfigError::UnknownWorkspace { name: name.into() })
    }

    /// Finds the service with the given name.
    ///
    /// Fails with [`ConfigError::UnknownService`] if there is none.
    pub fn find_service(&self, name: &str) -> Result<ServiceId, ConfigError> {
        self.service_index
            .get(name)
            .copied()
            .ok_or_else(|| ConfigError::UnknownService { name: name.into() })
    }

    /// Entry of `workspace`.
    pub fn workspace(&self, workspace: WorkspaceId) -> &WorkspaceEntry {
        &self.workspaces[workspace]
    }

    /// Entry of `service`.
    pub fn service(&self, service: ServiceId) -> &ServiceEntry {
        &self.services[service]
    }

    /// Routes to the services.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Defaults that operators set, with value and revision.
    pub fn defaults(&self) -> impl Iterator<Item = (SettingName, u32, u64)> {
        self.defaults
            .iter()
            .map(|(setting, entry)| (*setting, entry.0, entry.1))
    }

    /// Exceptions in force.
    pub fn exceptions(
        &self,
    ) -> impl Iterator<Item = (&ExceptionScope, SettingName, &ExceptionEntry)> {
        self.exceptions
            .iter()
            .map(|((scope, setting), entry)| (scope, *setting, entry))
    }

    /// Existing workspaces, in arbitrary order.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceEntry> {
        self.workspace_index
            .values()
            .map(|id| &self.workspaces[*id])
    }

    /// Existing services, in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.service_index.values().map(|id| &self.services[*id])
    }

    /// Granted keys with workspace and revision, in arbitrary order.
    pub fn keys(&self) -> impl Iterator<Item = (KeyDigest, WorkspaceId, u64)> {
        self.keys
            .iter()
            .map(|(digest, entry)| (*digest, entry.0, entry.1))
    }

    fn put_exception(
        &mut self,
        scope: &ExceptionScope,
        setting: SettingName,
        entry: ExceptionEntry,
    ) -> Result<(), ConfigError> {
        setting.check(entry.value)?;
        match scope {
            ExceptionScope::Workspace(name) => self.find_workspace(name).map(drop)?,
            ExceptionScope::Service(name) => self.find_service(name).map(drop)?,
        }
        if entry.reason.trim().is_empty() {
            return Err(ConfigError::MissingReason {
                scope: scope.clone(),
                setting,
            });
        }
        self.exceptions.insert((scope.clone(), setting), entry);
        Ok(())
    }

    fn put_workspace(&mut self, name: &CompactString, revision: u64) -> Result<(), ConfigError> {
        check_name(name)?;
        match self.workspace_index.get(name) {
            Some(id) => self.workspaces[*id].revision = revision,
            None => {
                let id = self.workspaces.push(WorkspaceEntry {
                    name: name.clone(),
                    revision,
                });
                self.workspace_index.insert(name.clone(), id);
            }
        }
        Ok(())
    }

    fn remove_workspace(&mut self, name: &CompactString) -> Result<(), ConfigError> {
        let id = self.find_workspace(name)?;
        let scope = ExceptionScope::Workspace(name.clone());
        self.workspace_index.remove(name);
        self.keys.retain(|_, entry| entry.0 != id);
        self.exceptions
            .retain(|(excepted_scope, _), _| *excepted_scope != scope);
        Ok(())
    }

    fn put_service(
        &mut self,
        name: &CompactString,
        shed_is_not_run: bool,
        revision: u64,
    ) -> Result<(), ConfigError> {
        check_name(name)?;
        let entry = ServiceEntry {
            name: name.clone(),
            shed_is_not_run,
            revision,
        };
        match self.service_index.get(name) {
            Some(id) => self.services[*id] = entry,
            None => {
                let id = self.services.push(entry);
                self.service_index.insert(name.clone(), id);
            }
        }
        Ok(())
    }

    fn remove_service(&mut self, name: &CompactString) -> Result<(), ConfigError> {
        let id = self.find_service(name)?;
        if let Some((prefix, _)) = self.routes.iter().find(|(_, entry)| entry.service == id) {
            return Err(ConfigError::StillUsed {
                object: format!("service \"{name}\"").into(),
                user: format!("route \"{prefix}\"").into(),
            });
        }
        let scope = ExceptionScope::Service(name.clone());
        self.service_index.remove(name);
        self.exceptions
            .retain(|(excepted_scope, _), _| *excepted_scope != scope);
        Ok(())
    }
}

fn nothing_to_remove(change: &ConfigChange) -> ConfigError {
    ConfigError::NothingToRemove {
        object: change.object(),
    }
}

fn check_name(name: &CompactString) -> Result<(), ConfigError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.bytes().all(allowed) {
        return Err(ConfigError::MalformedName { name: name.clone() });
    }
    Ok(())
}

fn check_prefix(prefix: &CompactString) -> Result<(), ConfigError> {
    if !prefix.starts_with('/') || (prefix.len() > 1 && prefix.ends_with('/')) {
        return Err(ConfigError::MalformedRoute {
            prefix: prefix.clone(),
        });
    }
    Ok(())
}
