//! Appends operators' edits to the log and waits until they are accepted.
//!
//! If the reply to an append was lost, the edit is appended again with the
//! same edit number, and the second record is ignored. An edit is reported as
//! accepted only once its record was read back and a majority of the shard
//! holders has applied it.

use std::time::Duration;

use compact_str::CompactString;
use compio::time::sleep;

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditOutcome;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::LogRecord;
use crocushoist_protocol::EditFailure;
use crocushoist_protocol::EditRequest;
use crocushoist_protocol::EditResponse;
use crocushoist_state::ClockTime;
use crocushoist_state::ConfigChange;

use crate::host_context::HostContext;
use crate::log_reader::read_to_tail;

/// Milliseconds until an edit must be accepted.
const EDIT_TIMEOUT_MS: u64 = 8_000;
/// Milliseconds to wait after a failed append or read.
const APPEND_RETRY_MS: u64 = 200;
const CHECK_INTERVAL_MS: u64 = 15;

/// Appends the edit and waits until it is accepted.
///
/// Fails if the edit is refused, or if it was not confirmed in time and may still take effect.
pub(crate) async fn submit_edit(
    context: &HostContext,
    call: EditRequest,
) -> Result<EditResponse, EditFailure> {
    let received_at = ClockTime::now();
    let record = edit_record(context, call)?;
    let id = record.id;
    let record = LogRecord::Edit(record);
    let outcome = append_until_applied(context, id, &record, received_at).await?;
    if let Some(error) = outcome.refusal {
        return Err(refused_edit(error));
    }
    wait_accepted(context, outcome.offset, received_at).await?;
    Ok(EditResponse {
        offset: outcome.offset,
        accepted_after_ms: ClockTime::now().since(received_at),
    })
}

/// Record for the edit, based on the current revision if the call names none.
fn edit_record(context: &HostContext, call: EditRequest) -> Result<EditRecord, EditFailure> {
    let id = u128::from_str_radix(&call.id, 16)
        .map_err(|_| refused_edit(format!("edit number \"{}\" is not hexadecimal", call.id)))?;
    let change =
        ConfigChange::try_from(call.change).map_err(|error| refused_edit(error.to_string()))?;
    let base = match call.base {
        Some(base) => base,
        None => context
            .state
            .borrow()
            .replayed
            .config()
            .revision_of(&change),
    };
    Ok(EditRecord {
        id: EditId(id),
        base_revision: base,
        author: call.author,
        change,
    })
}

/// Appends `record` until its outcome is known or the edit times out.
async fn append_until_applied(
    context: &HostContext,
    id: EditId,
    record: &LogRecord,
    received_at: ClockTime,
) -> Result<EditOutcome, EditFailure> {
    let mut was_sent = false;
    loop {
        if let Some(outcome) = edit_outcome(context, id) {
            return Ok(outcome);
        }
        if ClockTime::now().since(received_at) >= EDIT_TIMEOUT_MS {
            return Err(unconfirmed_edit(was_sent));
        }
        was_sent = true;
        let appended = context.append_record(record).await;
        let read = read_to_tail(context, &mut context.log_client()).await;
        if appended.is_err() || read.is_err() {
            context.metrics.log_failures.inc();
            sleep(Duration::from_millis(APPEND_RETRY_MS)).await;
        }
    }
}

fn edit_outcome(context: &HostContext, id: EditId) -> Option<EditOutcome> {
    context.state.borrow().replayed.outcome(id).cloned()
}

/// Waits until the record at `offset` is accepted.
async fn wait_accepted(
    context: &HostContext,
    offset: u64,
    received_at: ClockTime,
) -> Result<(), EditFailure> {
    loop {
        let now = ClockTime::now();
        let accepted = {
            let mut state = context.state.borrow_mut();
            state.poll_urgently(now);
            state.update_derived_state(now);
            state.acceptance.accepted_offset()
        };
        if accepted > offset {
            return Ok(());
        }
        if now.since(received_at) >= EDIT_TIMEOUT_MS {
            return Err(unconfirmed_edit(true));
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

fn refused_edit(error: impl Into<CompactString>) -> EditFailure {
    EditFailure {
        error: error.into(),
        may_take_effect: false,
    }
}

fn unconfirmed_edit(may_take_effect: bool) -> EditFailure {
    EditFailure {
        error: "the edit was not confirmed in time; send it again with the same number".into(),
        may_take_effect,
    }
}
