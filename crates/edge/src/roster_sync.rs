//! Registers this host in the store and reads the registrations of the others.
//!
//! A host reads the registrations at its start, and registers unless an earlier
//! start did. It reads them again when it knows no host that can be hub. A hub
//! reads them regularly, so that it leaves the role to a host that comes before
//! it and registers later, and tells its hosts. The near-full window records are
//! in the same topic and are read with the registrations.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_platform::NearFullRecord;
use crocushoist_platform::PlatformError;
use crocushoist_platform::ReadOutcome;
use crocushoist_platform::StoreClient;
use crocushoist_platform::StoreRecord;
use crocushoist_platform::StoreTopic;
use crocushoist_platform::WireHostRegistration;
use crocushoist_policy::MAX_RECORD_AGE_MS;
use crocushoist_policy::NearFullWorkspaces;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::edge_context::STORE_TIMEOUT_MS;
use crate::edge_context::SharedContext;

/// Milliseconds between checks whether the registrations must be read.
const CHECK_INTERVAL_MS: u64 = 250;

/// Milliseconds between reads by a hub.
const HUB_READ_INTERVAL_MS: u64 = 3_000;

/// Milliseconds between attempts to register, and to read at the start: the first interval, which
/// doubles up to the maximum.
const MIN_STARTUP_RETRY_MS: u64 = 300;
const MAX_STARTUP_RETRY_MS: u64 = 1_500;

/// Minimum milliseconds between later reads, also after a failure.
const MIN_READ_INTERVAL_MS: u64 = 2_000;

/// Milliseconds after its own registration that a host of a new fleet waits for the others'.
const FIRST_START_SETTLE_MS: u64 = 500;

/// Milliseconds after the start within which hosts that start together have registered.
const STARTUP_SETTLE_MS: u64 = 1_200;

/// Registers this host, then reads the registrations whenever needed until the process ends.
pub(crate) async fn sync_roster(context: SharedContext) {
    let mut client = context.store_client(STORE_TIMEOUT_MS);
    let mut next_offset = if context.settings.is_first_start {
        register(&context, &mut client).await;
        sleep(Duration::from_millis(FIRST_START_SETTLE_MS)).await;
        read_with_retries(&context, &mut client).await
    } else {
        // This read finds the other hosts and the near-full window records, which are needed at
        // once if all hosts restart together.
        let next_offset = read_with_retries(&context, &mut client).await;
        if !is_registered(&context) {
            register(&context, &mut client).await;
        }
        next_offset
    };
    let mut since_read_ms = HUB_READ_INTERVAL_MS - STARTUP_SETTLE_MS;
    loop {
        let is_due = context.is_hub.get() && since_read_ms >= HUB_READ_INTERVAL_MS;
        let is_requested =
            context.roster_read_requested.get() && since_read_ms >= MIN_READ_INTERVAL_MS;
        if is_requested || next_offset.is_none() || is_due {
            match read_registrations(&context, &mut client, next_offset).await {
                Ok(offset) => {
                    next_offset = offset;
                    context.roster_read_requested.set(offset.is_none());
                    since_read_ms = 0;
                }
                Err(error) => {
                    warn!(context.logger, "registrations not read"; "cause" => %error);
                    sleep(Duration::from_millis(MIN_READ_INTERVAL_MS)).await;
                }
            }
        }
        if context.is_hub.get() {
            write_window_record(&context, &mut client).await;
        }
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        since_read_ms += CHECK_INTERVAL_MS;
    }
}

/// Reads the registrations and retries until that succeeds. Returns the next offset.
async fn read_with_retries(context: &EdgeContext, client: &mut StoreClient) -> Option<u64> {
    let mut retry_ms = MIN_STARTUP_RETRY_MS;
    loop {
        match read_registrations(context, client, None).await {
            Ok(offset) => return offset,
            Err(error) => {
                warn!(context.logger, "registrations not read"; "cause" => %error);
                pause_before_retry(&mut retry_ms).await;
            }
        }
    }
}

/// Whether an earlier start of this host registered the same addresses and capacity.
fn is_registered(context: &EdgeContext) -> bool {
    let roster = context.roster.borrow();
    let registered = roster.find(context.own_host.peer_address);
    registered.is_some_and(|(_, host)| context.own_host.is_same_host(host))
}

/// Waits between half and all of `retry_ms`, so that hosts that failed together do not retry
/// together, and doubles it.
async fn pause_before_retry(retry_ms: &mut u64) {
    let pause_ms = rand::random_range(*retry_ms / 2..=*retry_ms);
    sleep(Duration::from_millis(pause_ms)).await;
    *retry_ms = (*retry_ms * 2).min(MAX_STARTUP_RETRY_MS);
}

/// Writes the registration of this host and retries until that succeeds.
async fn register(context: &EdgeContext, client: &mut StoreClient) {
    let key = context.own_host.caller_address.to_string();
    let value = match WireHostRegistration::encode(&context.own_host) {
        Ok(value) => value,
        Err(error) => {
            warn!(context.logger, "cannot encode the registration of this host"; "cause" => %error);
            return;
        }
    };
    let mut retry_ms = MIN_STARTUP_RETRY_MS;
    loop {
        match client.write(StoreTopic::Hosts, &key, Some(&value)).await {
            Ok(offset) => {
                info!(context.logger, "registered"; "offset" => offset);
                context
                    .roster
                    .borrow_mut()
                    .apply_registration(offset, context.own_host.clone());
                return;
            }
            Err(error) => {
                context.metrics.count_store_call("failed");
                warn!(context.logger, "cannot register this host; retrying"; "cause" => %error);
                pause_before_retry(&mut retry_ms).await;
            }
        }
    }
}

/// Reads and applies the registrations from offset `from` on, or all of them. Returns the next
/// offset, or `None` if the store no longer holds `from`.
async fn read_registrations(
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
    apply_records(context, &records);
    if from.is_none() {
        let mut aggregator = context.aggregator.borrow_mut();
        aggregator.near_full_records.set_read_at(ClockTime::now());
    }
    let knows_hosts = !context.roster.borrow().is_empty();
    context.knows_hosts.set(knows_hosts);
    Ok(Some(next_offset))
}

/// Records from offset `from` on, or the newest of each key, and the next offset; `None` if the
/// store no longer holds `from`.
async fn read_records(
    client: &mut StoreClient,
    from: Option<u64>,
) -> Result<Option<(Vec<StoreRecord>, u64)>, PlatformError> {
    let Some(from) = from else {
        let newest = client.read_newest_records(StoreTopic::Hosts).await?;
        return Ok(Some((newest.records, newest.end_offset)));
    };
    match client.read(StoreTopic::Hosts, from, 0).await? {
        ReadOutcome::OffsetExpired => Ok(None),
        ReadOutcome::Records { records, .. } => {
            let next_offset = records.last().map_or(from, |record| record.offset + 1);
            Ok(Some((records, next_offset)))
        }
    }
}

/// Writes which workspaces have nearly full windows, if that changed or the record must be
/// renewed.
async fn write_window_record(context: &EdgeContext, client: &mut StoreClient) {
    let data_centre = &context.own_host.data_centre;
    let now = ClockTime::now();
    let near_full = {
        let mut aggregator = context.aggregator.borrow_mut();
        let may_clear = aggregator.covers_full_window(now);
        aggregator
            .near_full_records
            .record_to_write(data_centre, may_clear, now)
    };
    let Some(near_full) = near_full else {
        return;
    };
    let record = NearFullRecord {
        near_full_workspaces: near_full,
        written_at_ms: unix_time_ms(context),
    };
    let value = match record.encode() {
        Ok(value) => value,
        Err(error) => {
            warn!(context.logger, "cannot encode the near-full window record"; "cause" => %error);
            return;
        }
    };
    let key = NearFullRecord::key(data_centre);
    match client.write(StoreTopic::Hosts, &key, Some(&value)).await {
        Ok(offset) => {
            context.metrics.count_store_call("ok");
            info!(context.logger, "near-full window record written";
                "workspaces" => record.near_full_workspaces.len(), "offset" => offset);
            let mut aggregator = context.aggregator.borrow_mut();
            aggregator
                .near_full_records
                .set_record(data_centre, record.near_full_workspaces);
        }
        Err(error) => {
            context.metrics.count_store_call("failed");
            warn!(context.logger, "cannot write the near-full window record"; "cause" => %error);
        }
    }
}

/// Milliseconds since 1970; the clocks of hosts may differ by seconds.
fn unix_time_ms(context: &EdgeContext) -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as u64,
        Err(error) => {
            // The time only serves to ignore old records, so a wrong one at worst has this record
            // ignored.
            warn!(context.logger, "system clock is before 1970"; "cause" => %error);
            0
        }
    }
}

/// Applies the near-full window record of `data_centre`; an old or unreadable one counts as empty.
fn apply_window_record(context: &EdgeContext, data_centre: &str, record: &StoreRecord) {
    let decoded = record.value.as_deref().map(NearFullRecord::decode);
    let is_recent = |record: &NearFullRecord| {
        let age = record.written_at_ms.abs_diff(unix_time_ms(context));
        age <= MAX_RECORD_AGE_MS
    };
    let near_full = match decoded {
        Some(Ok(record)) if is_recent(&record) => record.near_full_workspaces,
        Some(Err(error)) => {
            warn!(context.logger, "skipped an unreadable near-full window record";
                "key" => record.key.as_str(), "cause" => %error);
            NearFullWorkspaces::new()
        }
        _ => NearFullWorkspaces::new(),
    };
    let mut aggregator = context.aggregator.borrow_mut();
    aggregator
        .near_full_records
        .set_record(data_centre, near_full);
}

/// Applies registrations, removals of hosts and near-full window records.
fn apply_records(context: &EdgeContext, records: &[StoreRecord]) {
    let mut roster = context.roster.borrow_mut();
    for record in records {
        if let Some(data_centre) = NearFullRecord::data_centre_of_key(&record.key) {
            apply_window_record(context, &data_centre, record);
            continue;
        }
        let Some(value) = &record.value else {
            if let Ok(caller_address) = record.key.parse() {
                roster.remove(record.offset, caller_address);
            }
            continue;
        };
        match WireHostRegistration::decode(value) {
            Ok(host) => roster.apply_registration(record.offset, host),
            Err(error) => warn!(context.logger, "skipped an unreadable registration";
                "key" => record.key.as_str(), "cause" => %error),
        }
    }
}
