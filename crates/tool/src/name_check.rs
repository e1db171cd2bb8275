//! Checks names of an edit before it is sent, and suggests near ones.

use crocushoist_protocol::ConfigReport;
use crocushoist_protocol::WireChange;
use crocushoist_protocol::WireScope;
use crocushoist_state::SettingName;

use crate::tool_error::ToolError;

const LEAST_LIKENESS: f64 = 0.7;

/// Fails if `change` names a setting, workspace or service that does not exist.
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
        WireChange::RemoveRoute { prefix } => check_one("route", prefix, routes(config)),
        WireChange::PutWorkspace { .. }
        | WireChange::PutService { .. }
        | WireChange::WithdrawKey { .. } => Ok(()),
    }
}

/// The known name that is nearest to `name`, if any is near.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|candidate| (strsim::jaro_winkler(candidate, name), candidate))
        .filter(|(likeness, _)| *likeness >= LEAST_LIKENESS)
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
    check_one("setting", name, known)
}

fn check_workspace(config: &ConfigReport, name: &str) -> Result<(), ToolError> {
    let known = config
        .objects
        .iter()
        .filter_map(|(_, change)| match change {
            WireChange::PutWorkspace { name } => Some(name.as_str()),
            _ => None,
        });
    check_one("workspace", name, known)
}

fn check_service(config: &ConfigReport, name: &str) -> Result<(), ToolError> {
    let known = config
        .objects
        .iter()
        .filter_map(|(_, change)| match change {
            WireChange::PutService { name, .. } => Some(name.as_str()),
            _ => None,
        });
    check_one("service", name, known)
}

fn routes(config: &ConfigReport) -> impl Iterator<Item = &str> {
    config
        .objects
        .iter()
        .filter_map(|(_, change)| match change {
            WireChange::PutRoute { prefix, .. } => Some(prefix.as_str()),
            _ => None,
        })
}

fn check_one<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Result<(), ToolError> {
    let known: Vec<&str> = known.collect();
    if known.contains(&name) {
        return Ok(());
    }
    let near = nearest(name, known.into_iter())
        .map_or_else(String::new, |near| format!("; near: \"{near}\""));
    Err(ToolError::UnknownName {
        error: format!("{kind} \"{name}\" does not exist"),
        near,
    })
}
