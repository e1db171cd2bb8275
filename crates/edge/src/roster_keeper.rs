//! Registers this host in the store and follows the registrations.
//!
//! A host reads the registrations at its start and again when its hub falls
//! silent or turns out to follow another host; a hub follows them, so that it steps back for an earlier host. The
//! marks of nearly full windows stand in the same topic and are read with them.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_platform::PlatformError;
use crocushoist_platform::ReadOutcome;
use crocushoist_platform::StoreClient;
use crocushoist_platform::StoreRecord;
use crocushoist_platform::StoreTopic;
use crocushoist_platform::WindowRecord;
use crocushoist_platform::WireHostRegistration;
use crocushoist_policy::MARK_AGE_MS;
use crocushoist_policy::MarkedWorkspaces;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::edge_context::STORE_CALL_MS;
use crate::edge_context::SharedEdge;

/// Milliseconds between looks at whether the registrations must be read.
const LOOK_EVERY_MS: u64 = 250;

/// Milliseconds between reads of a hub.
const HUB_READ_EVERY_MS: u64 = 3_000;

/// Milliseconds between tries to register and to read at the start.
const RETRY_MS: u64 = 400;

/// Milliseconds between tries to read the registrations.
const REREAD_MS: u64 = 2_000;

/// Milliseconds after the start at which hosts that start together have registered.
const SETTLED_MS: u64 = 1_200;

/// Registers this host and follows the registrations until the process ends.
pub(crate) async fn keep_roster(context: SharedEdge) {
    let mut client = context.store_client(STORE_CALL_MS);
    // The first read tells the other hosts and the marks, at once after a restart of
    // all hosts; the second one tells who registered meanwhile.
    let mut next_offset = read_until_done(&context, &mut client, None).await;
    register(&context, &mut client).await;
    next_offset = read_until_done(&context, &mut client, next_offset).await;
    let mut since_read_ms = HUB_READ_EVERY_MS - SETTLED_MS;
    loop {
        let is_due = context.is_hub.get() && since_read_ms >= HUB_READ_EVERY_MS;
        let is_wanted = context.wants_roster.get() && since_read_ms >= REREAD_MS;
        if is_wanted || next_offset.is_none() || is_due {
            match read(&context, &mut client, next_offset).await {
                Ok(offset) => {
                    next_offset = offset;
                    context.wants_roster.set(offset.is_none());
                    since_read_ms = 0;
                }
                Err(failure) => {
                    warn!(context.logger, "registrations not read"; "cause" => %failure);
                    sleep(Duration::from_millis(REREAD_MS)).await;
                }
            }
        }
        if context.is_hub.get() {
            write_mark(&context, &mut client).await;
        }
        sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        since_read_ms += LOOK_EVERY_MS;
    }
}

/// Reads the registrations, again and again until that succeeds; the next offset.
async fn read_until_done(
    context: &EdgeContext,
    client: &mut StoreClient,
    from: Option<u64>,
) -> Option<u64> {
    loop {
        match read(context, client, from).await {
            Ok(offset) => return offset,
            Err(failure) => {
                warn!(context.logger, "registrations not read"; "cause" => %failure);
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

async fn register(context: &EdgeContext, client: &mut StoreClient) {
    let key = context.own.callers.to_string();
    let value = match WireHostRegistration::encode(&context.own) {
        Ok(value) => value,
        Err(fault) => {
            warn!(context.logger, "registration not encoded"; "cause" => %fault);
            return;
        }
    };
    loop {
        match client.write(StoreTopic::Hosts, &key, Some(&value)).await {
            Ok(offset) => {
                info!(context.logger, "registered"; "offset" => offset);
                context
                    .roster
                    .borrow_mut()
                    .note(offset, context.own.clone());
                return;
            }
            Err(failure) => {
                context.metrics.count_store_call("failed");
                warn!(context.logger, "not registered"; "cause" => %failure);
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Reads the registrations; the next offset, or `None` if records were dropped.
async fn read(
    context: &EdgeContext,
    client: &mut StoreClient,
    from: Option<u64>,
) -> Result<Option<u64>, PlatformError> {
    let outcome = read_records(client, from).await;
    let result = if outcome.is_ok() { "ok" } else { "failed" };
    context.metrics.count_store_call(result);
    let Some((records, next_offset)) = outcome? else {
        return Ok(None);
    };
    take_records(context, &records);
    if from.is_none() {
        let mut ledger = context.ledger.borrow_mut();
        ledger.marks.note_read(ClockTime::now());
    }
    let knows_hosts = !context.roster.borrow().is_empty();
    context.knows_hosts.set(knows_hosts);
    Ok(Some(next_offset))
}

/// Records from `from` on and the next offset, `None` if they were dropped.
async fn read_records(
    client: &mut StoreClient,
    from: Option<u64>,
) -> Result<Option<(Vec<StoreRecord>, u64)>, PlatformError> {
    let Some(from) = from else {
        let newest = client.newest(StoreTopic::Hosts).await?;
        return Ok(Some((newest.records, newest.end)));
    };
    match client.read(StoreTopic::Hosts, from, 0).await? {
        ReadOutcome::Dropped => Ok(None),
        ReadOutcome::Records { records, .. } => {
            let next_offset = records.last().map_or(from, |record| record.offset + 1);
            Ok(Some((records, next_offset)))
        }
    }
}

/// Writes which workspaces are near their limits, if that changed.
async fn write_mark(context: &EdgeContext, client: &mut StoreClient) {
    let data_centre = &context.own.data_centre;
    let now = ClockTime::now();
    let due = {
        let mut ledger = context.ledger.borrow_mut();
        let may_clear = ledger.heard_whole_window(now);
        ledger.marks.due(data_centre, may_clear, now)
    };
    let Some(marked) = due else {
        return;
    };
    let record = WindowRecord {
        marked,
        written_at_ms: time_of_day_ms(context),
    };
    let value = match record.encode() {
        Ok(value) => value,
        Err(fault) => {
            warn!(context.logger, "mark of full windows not encoded"; "cause" => %fault);
            return;
        }
    };
    let key = WindowRecord::key(data_centre);
    match client.write(StoreTopic::Hosts, &key, Some(&value)).await {
        Ok(offset) => {
            context.metrics.count_store_call("ok");
            info!(context.logger, "full windows marked";
                "workspaces" => record.marked.len(), "offset" => offset);
            let mut ledger = context.ledger.borrow_mut();
            ledger.marks.take(data_centre, record.marked);
        }
        Err(failure) => {
            context.metrics.count_store_call("failed");
            warn!(context.logger, "full windows not marked"; "cause" => %failure);
        }
    }
}

/// Milliseconds since 1970; hosts' clocks may differ by seconds.
fn time_of_day_ms(context: &EdgeContext) -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as u64,
        Err(error) => {
            // Marks only compare times, so one far off merely ages them.
            warn!(context.logger, "time of day is before 1970"; "cause" => %error);
            0
        }
    }
}

fn take_mark(context: &EdgeContext, data_centre: &str, record: &StoreRecord) {
    let decoded = record.value.as_deref().map(WindowRecord::decode);
    let is_recent = |mark: &WindowRecord| {
        let age = mark.written_at_ms.abs_diff(time_of_day_ms(context));
        age <= MARK_AGE_MS
    };
    let marked = match decoded {
        Some(Ok(mark)) if is_recent(&mark) => mark.marked,
        Some(Err(fault)) => {
            warn!(context.logger, "mark of full windows passed over";
                "key" => record.key.as_str(), "cause" => %fault);
            MarkedWorkspaces::new()
        }
        _ => MarkedWorkspaces::new(),
    };
    let mut ledger = context.ledger.borrow_mut();
    ledger.marks.take(data_centre, marked);
}

fn take_records(context: &EdgeContext, records: &[StoreRecord]) {
    let mut roster = context.roster.borrow_mut();
    for record in records {
        if let Some(data_centre) = WindowRecord::data_centre(&record.key) {
            take_mark(context, &data_centre, record);
            continue;
        }
        let Some(value) = &record.value else {
            if let Ok(callers) = record.key.parse() {
                roster.remove(record.offset, callers);
            }
            continue;
        };
        match WireHostRegistration::decode(value) {
            Ok(card) => roster.note(record.offset, card),
            Err(fault) => warn!(context.logger, "registration passed over";
                "key" => record.key.as_str(), "cause" => %fault),
        }
    }
}
