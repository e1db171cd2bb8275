//! Registers this host in the store and reads the registrations of the others.
//!
//! A host reads the registrations at its start, and registers unless an earlier
//! start did. It reads them again when it knows no host that can be hub. A hub
//! reads them regularly, so that it leaves the role to a host that comes before
//! it and registers later, and tells its hosts. Other hosts read them from time
//! to time, to drop those that were removed. The near-full window records are
//! in the same topic and are read with the registrations.
//!
//! When the store came back from a copy, hubs read all registrations again, and
//! tell the hosts whose registrations the copy lacks. These write them again,
//! spread over some time. Hubs also write their near-full window records again:
//! at once if they list a workspace, and when the era is settled, which tells
//! hosts that restart later that reading the store is evidence.

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
use crocushoist_policy::HostRegistration;
use crocushoist_policy::MAX_RECORD_AGE_MS;
use crocushoist_policy::NearFullWorkspaces;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::edge_context::STORE_TIMEOUT_MS;
use crate::edge_context::SharedContext;
use crate::lost_hosts::LostHosts;

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

/// Minimum milliseconds from one registration to the next in the same era; a hub that cannot read
/// the store asks for it again and again.
const REGISTER_AGAIN_MS: u64 = 10_000;

/// Milliseconds over which hosts spread the registrations that the store lost; 300 hosts stay
/// below half of the writes that the platform allows.
const REGISTRATION_SPREAD_MS: u64 = 2_000;

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
    let mut register_at: Option<ClockTime> = None;
    let mut recorded = RecordedEra::default();
    let mut lost_hosts = LostHosts::default();
    loop {
        let era = context.newest_era.get();
        let is_other_era = next_offset.is_some_and(|offset| offset.era != era);
        if is_other_era && context.is_hub.get() {
            next_offset = None;
        }
        let is_due = (context.is_hub.get() && since_read_ms >= HUB_READ_INTERVAL_MS)
            || since_read_ms >= context.settings.forget_hosts_ms;
        let is_requested =
            context.roster_read_requested.get() && since_read_ms >= MIN_READ_INTERVAL_MS;
        if is_requested || next_offset.is_none() || is_due {
            let from = next_offset.filter(|offset| offset.era == era);
            match read_registrations(&context, &mut client, from).await {
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
        register_if_lost(&context, &mut client, &mut register_at).await;
        if context.is_hub.get() {
            request_era_record(&context, &mut recorded);
            write_window_record(&context, &mut client, &mut recorded).await;
        }
        lost_hosts.remove_one(&context, &mut client).await;
        record_caught_up(&context, next_offset);
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        since_read_ms += CHECK_INTERVAL_MS;
    }
}

/// Era of which a hub wrote its near-full window record, and whether that was settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RecordedEra {
    era: StoreEra,
    is_settled: bool,
}

/// Has the hub's record written again after a change of the era and when the era is settled.
fn request_era_record(context: &EdgeContext, recorded: &mut RecordedEra) {
    let watch = context.era_watch.get();
    let present = RecordedEra {
        era: watch.era(),
        is_settled: watch.is_settled(ClockTime::now()),
    };
    if present == *recorded || !present.era.is_known() {
        return;
    }
    *recorded = present;
    let mut aggregator = context.aggregator.borrow_mut();
    if present.is_settled || !aggregator.near_full_records.is_local_empty() {
        aggregator.near_full_records.request_write();
    }
}

/// Writes the registration of this host again if the store lost it or it was removed, after a
/// random time.
async fn register_if_lost(
    context: &EdgeContext,
    client: &mut StoreClient,
    register_at: &mut Option<ClockTime>,
) {
    let now = ClockTime::now();
    let registered_at = context.registered_at.get().unwrap_or(context.started_at);
    let is_stored = context.registered_era.get() == context.newest_era.get()
        && now.since(registered_at) <= REGISTER_AGAIN_MS;
    if !context.registration_lost.get() || is_stored {
        *register_at = None;
        return;
    }
    let due = *register_at
        .get_or_insert_with(|| now.plus(rand::random_range(0..=REGISTRATION_SPREAD_MS)));
    if now >= due {
        register(context, client).await;
        *register_at = None;
    }
}

/// Records that this host knows again what the store holds, if it does.
fn record_caught_up(context: &EdgeContext, next_offset: Option<StoreOffset>) {
    let now = ClockTime::now();
    context.check_era(now);
    let mut watch = context.era_watch.get();
    let evidence_age = context.evidence.borrow().age(now);
    let has_list = context.instances.borrow().next_offset().era == watch.era();
    let has_evidence = evidence_age.is_some_and(|age| age <= watch.since_change(now));
    let has_roster = next_offset.is_some_and(|offset| offset.era == watch.era());
    if !has_list || !has_evidence || (context.is_hub.get() && !has_roster) {
        return;
    }
    if let Some(millis) = watch.record_caught_up(now) {
        context.metrics.era_catch_up_ms.set(millis as i64);
        info!(context.logger, "store's content known again"; "era" => watch.era().0,
            "after_ms" => millis);
    }
    context.era_watch.set(watch);
}

/// Reads the registrations and retries until that succeeds. Returns the next offset.
async fn read_with_retries(context: &EdgeContext, client: &mut StoreClient) -> Option<StoreOffset> {
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
    let registration = HostRegistration {
        era: context.newest_era.get(),
        ..context.own_host.clone()
    };
    let value = match WireHostRegistration::encode(&registration) {
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
                info!(context.logger, "registered"; "offset" => %offset);
                context.registered_era.set(offset.era);
                context.registered_at.set(Some(ClockTime::now()));
                context
                    .roster
                    .borrow_mut()
                    .apply_stored(offset, registration);
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
    from: Option<StoreOffset>,
) -> Result<Option<StoreOffset>, PlatformError> {
    let outcome = read_records(client, from).await;
    let result = if outcome.is_ok() { "ok" } else { "failed" };
    context.metrics.count_store_call(result);
    context.check_era(ClockTime::now());
    let Some((records, next_offset)) = outcome? else {
        return Ok(None);
    };
    let own_address = context.own_host.peer_address;
    let now = ClockTime::now();
    let era_before = {
        let mut roster = context.roster.borrow_mut();
        // This host is alive, whatever the store holds.
        roster.record_message(own_address, now);
        from.is_none()
            .then(|| roster.begin_full_read(next_offset.era))
    };
    let is_other_era =
        era_before.is_some_and(|before| before.is_known() && before != next_offset.era);
    apply_records(context, &records);
    if let Some(era_before) = era_before {
        let mut roster = context.roster.borrow_mut();
        roster.end_full_read(era_before, now);
    }
    let must_register = {
        let roster = context.roster.borrow();
        roster.must_register(own_address, next_offset.era)
    };
    context.registration_lost.set(must_register);
    if !must_register && next_offset.era == context.newest_era.get() {
        context.registered_era.set(next_offset.era);
    }
    // The records say what was admitted before a start, not before a change of the era.
    if from.is_none() && !is_other_era {
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
    from: Option<StoreOffset>,
) -> Result<Option<(Vec<StoreRecord>, StoreOffset)>, PlatformError> {
    let Some(from) = from else {
        let newest = client.read_newest_records(StoreTopic::Hosts).await?;
        return Ok(Some((newest.records, newest.end_offset)));
    };
    match client.read(StoreTopic::Hosts, from, 0).await? {
        ReadOutcome::OffsetExpired => Ok(None),
        ReadOutcome::Records { records, .. } => {
            let next_offset = records.last().map_or(from, |record| record.offset.next());
            Ok(Some((records, next_offset)))
        }
    }
}

/// Writes which workspaces have nearly full windows, if that changed or the record must be
/// renewed.
async fn write_window_record(
    context: &EdgeContext,
    client: &mut StoreClient,
    recorded: &mut RecordedEra,
) {
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
        settled_era: settled_era(context, now),
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
                "workspaces" => record.near_full_workspaces.len(), "offset" => %offset);
            let mut aggregator = context.aggregator.borrow_mut();
            aggregator
                .near_full_records
                .set_record(data_centre, record.near_full_workspaces);
        }
        Err(error) => {
            context.metrics.count_store_call("failed");
            warn!(context.logger, "cannot write the near-full window record"; "cause" => %error);
            *recorded = RecordedEra::default();
        }
    }
}

/// Era of the store if it is settled.
fn settled_era(context: &EdgeContext, now: ClockTime) -> StoreEra {
    let watch = context.era_watch.get();
    if watch.is_settled(now) {
        watch.era()
    } else {
        StoreEra::default()
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
    if let Some(Ok(record_content)) = &decoded
        && record_content.settled_era == record.offset.era
    {
        let mut watch = context.era_watch.get();
        watch.record_settled(record.offset.era);
        context.era_watch.set(watch);
    }
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
                roster.remove(record.offset, caller_address, ClockTime::now());
            }
            continue;
        };
        match WireHostRegistration::decode(value) {
            Ok(host) => roster.apply_stored(record.offset, host),
            Err(error) => warn!(context.logger, "skipped an unreadable registration";
                "key" => record.key.as_str(), "cause" => %error),
        }
    }
}
