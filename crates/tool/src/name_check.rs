//! Checks that the names in an edit exist before it is sent, and suggests similar ones.

use crocushoist_protocol::ConfigReport;
use crocushoist_protocol::WireChange;
use crocushoist_protocol::WireScope;
use crocushoist_state::SettingName;

use crate::tool_error::ToolError;

/// Smallest Jaro-Winkler similarity, from 0 to 1, at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Fails with `UnknownName` if `change` refers to something that does not exist.
///
/// Settings, workspaces, services and the route of a removal are checked.
pub fn check_names(config: &ConfigReport, change: &WireChange) -> Result<(), ToolError> {
    match change {
        WireChange::SetDefault { setting, .. } => check_setting(setting),
        WireChange::PutException { scope, setting, .. }
        | WireChange::RemoveException { scope, setting } => {
            check_setting(setting)?;
            check_scope(config, scope)
        }
        WireChange::RemoveWorkspace { name }
        | WireChange::GrantKey {
            workspace: name, ..
        } => check_workspace(config, name),
        WireChange::RemoveService { name } | WireChange::PutRoute { service: name, .. } => {
            check_service(config, name)
        }
        WireChange::RemoveRoute { prefix } => check_exists("route", prefix, route_prefixes(config)),
        WireChange::PutWorkspace { .. }
        | WireChange::PutService { .. }
        | WireChange::WithdrawKey { .. } => Ok(()),
    }
}

/// The most similar of the `known` names, if any is similar enough to `name`.
pub fn closest_name<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|candidate| (strsim::jaro_winkler(candidate, name), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, candidate)| candidate)
}

fn check_scope(config: &ConfigReport, scope: &WireScope) -> Result<(), ToolError> {
    match scope {
        WireScope::Workspace(name) => check_workspace(config, name),
        WireScope::Service(name) => check_service(config, name),
    }
}

fn check_setting(name: &str) -> Result<(), ToolError> {
    let known = SettingName::ALL.into_iter().map(SettingName::name);
    check_exists("setting", name, known)
}

fn check_workspace(config: &ConfigReport, name: &str) -> Result<(), ToolError> {
    let known = config
        .objects
        .iter()
        .filter_map(|(_, change)| match change {
            WireChange::PutWorkspace { name } => Some(name.as_str()),
            _ => None,
        });
    check_exists("workspace", name, known)
}

fn check_service(config: &ConfigReport, name: &str) -> Result<(), ToolError> {
    let known = config
        .objects
        .iter()
        .filter_map(|(_, change)| match change {
            WireChange::PutService { name, .. } => Some(name.as_str()),
            _ => None,
        });
    check_exists("service", name, known)
}

fn route_prefixes(config: &ConfigReport) -> impl Iterator<Item = &str> {
    config
        .objects
        .iter()
        .filter_map(|(_, change)| match change {
            WireChange::PutRoute { prefix, .. } => Some(prefix.as_str()),
            _ => None,
        })
}

fn check_exists<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Result<(), ToolError> {
    let known: Vec<&str> = known.collect();
    if known.contains(&name) {
        return Ok(());
    }
    let suggestion = closest_name(name, known.into_iter())
        .map_or_else(String::new, |closest| format!("; near: \"{closest}\""));
    Err(ToolError::UnknownName {
        error: format!("{kind} \"{name}\" does not exist"),
        suggestion,
    })
}
