//! Turns a command into a configuration edit and sends it.

use crocushoist_protocol::ConfigReport;
use crocushoist_protocol::EditRequest;
use crocushoist_protocol::EditResponse;
use crocushoist_protocol::WireChange;
use crocushoist_protocol::WireScope;
use crocushoist_state::ConfigChange;
use crocushoist_state::KEY_PREFIX;
use crocushoist_state::KeyDigest;

use crate::admin_client::AdminClient;
use crate::edit_wait::wait_until_in_force;
use crate::name_check::check_names;
use crate::tool_arguments::ExceptionArguments;
use crate::tool_arguments::ToolArguments;
use crate::tool_arguments::ToolCommand;
use crate::tool_error::ToolError;

/// Change of the configuration and, if it grants a key, the generated key to print.
struct PreparedEdit {
    change: WireChange,
    new_key: Option<String>,
}

/// Sends the edit that `command` describes and returns the text to print.
pub(crate) async fn run_edit(
    client: &AdminClient,
    command: &ToolCommand,
    arguments: &ToolArguments,
) -> Result<String, ToolError> {
    let prepared = prepare_edit(command);
    let config = client.config().await?;
    check_names(&config, &prepared.change)?;
    let call = EditRequest {
        id: format!("{:032x}", rand::random::<u128>()).into(),
        base: Some(current_revision(&config, &prepared.change)?),
        author: arguments.author.as_str().into(),
        change: prepared.change,
    };
    let response = client.edit(&call).await?;
    if arguments.wait {
        wait_until_in_force(client, response.offset + 1).await?;
    }
    Ok(render_result(&response, prepared.new_key, arguments))
}

fn render_result(
    response: &EditResponse,
    new_key: Option<String>,
    arguments: &ToolArguments,
) -> String {
    if arguments.json {
        return serde_json::json!({
            "offset": response.offset,
            "accepted_after_ms": response.accepted_after_ms,
            "key": new_key,
        })
        .to_string();
    }
    let state = if arguments.wait {
        "in force everywhere"
    } else {
        "accepted"
    };
    let line = format!(
        "{state}: log offset {}, after {} ms",
        response.offset, response.accepted_after_ms
    );
    match new_key {
        Some(key) => format!("{key}\n{line}; the key is not shown again"),
        None => line,
    }
}

/// Revision of the object that `change` applies to, 0 if the object does not exist.
///
/// Fails with `Config` if `change` is invalid.
fn current_revision(config: &ConfigReport, change: &WireChange) -> Result<u64, ToolError> {
    let object = ConfigChange::try_from(change.clone())?.object();
    let found = config.objects.iter().find(|(_, known)| {
        ConfigChange::try_from(known.clone()).is_ok_and(|known| known.object() == object)
    });
    Ok(found.map_or(0, |(revision, _)| *revision))
}

fn prepare_edit(command: &ToolCommand) -> PreparedEdit {
    let mut new_key = None;
    let change = match command {
        ToolCommand::Default { setting, value } => WireChange::SetDefault {
            setting: setting.into(),
            value: *value,
        },
        ToolCommand::Exception(exception) => exception_change(exception),
        ToolCommand::AddWorkspace { name } => WireChange::PutWorkspace { name: name.into() },
        ToolCommand::RemoveWorkspace { name } => WireChange::RemoveWorkspace { name: name.into() },
        ToolCommand::GrantKey { workspace } => {
            let key = generate_key();
            let digest = KeyDigest::of(&key).to_string().into();
            new_key = Some(key);
            WireChange::GrantKey {
                digest,
                workspace: workspace.into(),
            }
        }
        ToolCommand::WithdrawKey { key } => WireChange::WithdrawKey {
            digest: digest_from_argument(key).into(),
        },
        ToolCommand::AddService {
            name,
            shed_is_not_run,
        } => WireChange::PutService {
            name: name.into(),
            shed_is_not_run: *shed_is_not_run,
        },
        ToolCommand::RemoveService { name } => WireChange::RemoveService { name: name.into() },
        ToolCommand::AddRoute {
            prefix,
            service,
            open,
        } => WireChange::PutRoute {
            prefix: prefix.into(),
            service: service.into(),
            open: *open,
        },
        ToolCommand::RemoveRoute { prefix } => WireChange::RemoveRoute {
            prefix: prefix.into(),
        },
        ToolCommand::Status
        | ToolCommand::Explain { .. }
        | ToolCommand::List { .. }
        | ToolCommand::Ended { .. } => {
            unreachable!("command is not an edit")
        }
    };
    PreparedEdit { change, new_key }
}

fn exception_change(exception: &ExceptionArguments) -> WireChange {
    let scope = match (&exception.workspace, &exception.service) {
        (Some(name), _) => WireScope::Workspace(name.into()),
        (None, name) => WireScope::Service(name.clone().unwrap_or_default().into()),
    };
    let setting = exception.setting.as_str().into();
    match exception.value {
        Some(value) if !exception.remove => WireChange::PutException {
            scope,
            setting,
            value,
            reason: exception.reason.clone().unwrap_or_default().into(),
        },
        _ => WireChange::RemoveException { scope, setting },
    }
}

fn generate_key() -> String {
    format!(
        "{KEY_PREFIX}{:032x}{:08x}",
        rand::random::<u128>(),
        rand::random::<u32>()
    )
}

/// Digest of `key`, which the operator gives as a key or as its digest.
fn digest_from_argument(key: &str) -> String {
    if key.starts_with(KEY_PREFIX) {
        KeyDigest::of(key).to_string()
    } else {
        key.to_owned()
    }
}
