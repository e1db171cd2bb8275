//! Renders the fleet's status and the objects of its configuration as text or JSON.

use std::fmt::Write;

use crocushoist_protocol::HostReport;
use crocushoist_protocol::InstanceReport;
use crocushoist_protocol::ReasonCount;
use crocushoist_protocol::StatusReport;
use crocushoist_protocol::WireChange;

use crate::admin_client::AdminClient;
use crate::tool_arguments::ListedKind;
use crate::tool_error::ToolError;

/// Renders the status that the first host to respond reports.
pub(crate) async fn show_status(client: &AdminClient, json: bool) -> Result<String, ToolError> {
    let status = client.status().await?;
    if json {
        return Ok(serde_json::to_string(&status).unwrap_or_default());
    }
    let mut text = String::new();
    let _ = write_status(&mut text, &status);
    Ok(text.trim_end().to_owned())
}

/// Renders the configuration's objects of one kind.
pub(crate) async fn show_list(
    client: &AdminClient,
    kind: ListedKind,
    json: bool,
) -> Result<String, ToolError> {
    let config = client.config().await?;
    let objects: Vec<&(u64, WireChange)> = config
        .objects
        .iter()
        .filter(|(_, change)| kind_of(change) == Some(kind))
        .collect();
    if json {
        return Ok(serde_json::to_string(&objects).unwrap_or_default());
    }
    let lines: Vec<String> = objects
        .into_iter()
        .map(|(revision, change)| format!("{}  (revision {revision})", describe(change)))
        .collect();
    Ok(lines.join("\n"))
}

fn kind_of(change: &WireChange) -> Option<ListedKind> {
    match change {
        WireChange::SetDefault { .. } => Some(ListedKind::Defaults),
        WireChange::PutException { .. } => Some(ListedKind::Exceptions),
        WireChange::PutWorkspace { .. } => Some(ListedKind::Workspaces),
        WireChange::GrantKey { .. } => Some(ListedKind::Keys),
        WireChange::PutService { .. } => Some(ListedKind::Services),
        WireChange::PutRoute { .. } => Some(ListedKind::Routes),
        _ => None,
    }
}

fn describe(change: &WireChange) -> String {
    match change {
        WireChange::SetDefault { setting, value } => format!("{setting} = {value}"),
        WireChange::PutException {
            scope,
            setting,
            value,
            reason,
        } => {
            format!("{scope:?} {setting} = {value}: {reason}")
        }
        WireChange::GrantKey { digest, workspace } => format!("{digest} of {workspace}"),
        WireChange::PutWorkspace { name } => name.to_string(),
        WireChange::PutService {
            name,
            shed_is_not_run,
        } => {
            format!("{name}, a load-shedding response means not run: {shed_is_not_run}")
        }
        WireChange::PutRoute {
            prefix,
            service,
            open,
        } => {
            let access = if *open { "open to all" } else { "needs a key" };
            format!("{prefix} to {service}, {access}")
        }
        other => format!("{other:?}"),
    }
}

fn write_status(text: &mut String, status: &StatusReport) -> std::fmt::Result {
    let evidence_age = status
        .evidence_age_ms
        .map_or_else(|| "none yet".to_owned(), |age| format!("{age} ms old"));
    let admission = if status.fresh {
        "admits keyed requests"
    } else {
        "REFUSES keyed requests"
    };
    writeln!(
        text,
        "reported by {}: {admission}, evidence {evidence_age}",
        status.host.callers
    )?;
    writeln!(
        text,
        "offset {}, accepted {}, shards held {} of {}, in use {}",
        status.host.next_offset,
        status.accepted,
        status.shards_held,
        status.shards.len(),
        status.shards_active
    )?;
    writeln!(text, "\nhosts")?;
    write_host(text, status, &status.host)?;
    for peer in &status.peers {
        write_host(text, status, peer)?;
    }
    write_unheld_shards(text, status)?;
    write_instances(text, status)?;
    write_counts(
        text,
        "requests refused since start, on this host",
        &status.refusals,
    )?;
    write_counts(text, "retries since start, on this host", &status.retries)?;
    write_counts(text, "BREACHED INVARIANTS, on this host", &status.breaches)?;
    writeln!(text, "\nexceptions")?;
    for exception in &status.exceptions {
        writeln!(
            text,
            "  {} {} = {}, by {}: {}",
            exception.scope, exception.setting, exception.value, exception.author, exception.reason
        )?;
    }
    if status.exceptions.is_empty() {
        writeln!(text, "  none")?;
    }
    Ok(())
}

fn write_host(text: &mut String, status: &StatusReport, host: &HostReport) -> std::fmt::Result {
    let held = status
        .shards
        .iter()
        .filter(|shard| shard.incarnation.as_ref() == Some(&host.incarnation))
        .count();
    let leaving = if host.leaving { ", leaving" } else { "" };
    writeln!(
        text,
        "  {} in {}, incarnation {}, offset {}, last response {} ms ago, shards {held}{leaving}",
        host.callers, host.data_centre, host.incarnation, host.next_offset, host.silent_ms
    )
}

fn write_unheld_shards(text: &mut String, status: &StatusReport) -> std::fmt::Result {
    let unheld = status
        .shards
        .iter()
        .filter(|shard| shard.holder.is_none())
        .count();
    if unheld > 0 {
        writeln!(text, "\n{unheld} shards have no holder")?;
    }
    Ok(())
}

fn write_instances(text: &mut String, status: &StatusReport) -> std::fmt::Result {
    let live = status
        .instances
        .iter()
        .filter(|instance| instance.state == "live")
        .count();
    writeln!(
        text,
        "\ninstances: {live} live of {}",
        status.instances.len()
    )?;
    for instance in status
        .instances
        .iter()
        .filter(|instance| instance.state != "live")
    {
        writeln!(
            text,
            "  {} of {} in {}: {}{}",
            instance.address,
            instance.service,
            instance.data_centre,
            instance.state,
            ejection_suffix(instance)
        )?;
    }
    Ok(())
}

/// Text that names the cause of an ejection, empty for an instance that is not ejected.
fn ejection_suffix(instance: &InstanceReport) -> String {
    if instance.state == "ejected" {
        format!(", {}", instance.reason.replace('_', " "))
    } else {
        String::new()
    }
}

fn write_counts(text: &mut String, title: &str, counts: &[ReasonCount]) -> std::fmt::Result {
    if counts.is_empty() {
        return Ok(());
    }
    writeln!(text, "\n{title}")?;
    for entry in counts {
        writeln!(text, "  {} {}", entry.reason, entry.count)?;
    }
    Ok(())
}
