//! Follows the list of instances in the store.
//!
//! The hub of a data centre reads the list for its hosts. A host that no hub
//! answers reads it itself.

use std::time::Duration;

use compio::time::sleep;
use slog::info;
use slog::warn;

use crocushoist_platform::PlatformError;
use crocushoist_platform::ReadOutcome;
use crocushoist_platform::StoreClient;
use crocushoist_platform::StoreRecord;
use crocushoist_platform::StoreTopic;
use crocushoist_platform::decode_instance;
use crocushoist_policy::ListingChange;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::edge_context::SharedEdge;
use crate::hub_exchange::STALE_LISTING_MS;

/// Milliseconds between reads; with an exchange it keeps leaving instances
/// well inside the two seconds in which they may still get work.
const READ_EVERY_MS: u64 = 500;

/// Milliseconds between looks at whether this host must read.
const IDLE_MS: u64 = 150;

/// Milliseconds after the store's return in which lapsed entries may be back.
///
/// The platform's page says two seconds; the return is seen a little late.
const RETURN_MS: u64 = 1_800;

/// Milliseconds that a read may take; a slow store takes 0.4 s.
const READ_MS: u64 = 600;

/// Follows the list of instances until the process ends.
pub(crate) async fn follow_listing(context: SharedEdge) {
    let mut client = context.store_client(READ_MS);
    let mut is_whole = false;
    let mut failures = 0u32;
    let mut lapse_until: Option<ClockTime> = None;
    loop {
        if is_whole && !must_read(&context) {
            failures = 0;
            sleep(Duration::from_millis(IDLE_MS)).await;
            continue;
        }
        // The first read after failures finds what lapsed meanwhile.
        let lapse_until_now = if failures > 0 {
            Some(ClockTime::now().plus(RETURN_MS))
        } else {
            lapse_until
        };
        let asked_at = ClockTime::now();
        let read = if is_whole {
            read_on(&context, &mut client, lapse_until_now).await
        } else {
            let whole = read_whole(&context, &mut client, lapse_until_now).await;
            whole.map(|()| true)
        };
        match read {
            Ok(whole) => {
                context.metrics.count_store_call("ok");
                is_whole = whole;
                if whole {
                    context.note_listed(asked_at);
                }
                lapse_until = lapse_until_now;
                if failures > 0 {
                    info!(context.logger, "store regained"; "reader" => "instances",
                        "failures" => failures);
                }
                failures = 0;
            }
            Err(failure) => {
                context.metrics.count_store_call("failed");
                failures += 1;
                if failures == 1 {
                    warn!(context.logger, "store lost"; "reader" => "instances", "cause" => %failure);
                }
            }
        }
        let spent = ClockTime::now().since(asked_at);
        let pause_ms = READ_EVERY_MS.saturating_sub(spent).max(IDLE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn must_read(context: &EdgeContext) -> bool {
    let age = context.listing_age(ClockTime::now());
    context.is_hub.get() || age.is_none_or(|age| age > STALE_LISTING_MS)
}

async fn read_whole(
    context: &EdgeContext,
    client: &mut StoreClient,
    lapse_until: Option<ClockTime>,
) -> Result<(), PlatformError> {
    let newest = client.newest(StoreTopic::Instances).await?;
    let now = ClockTime::now();
    for record in &newest.records {
        take_record(context, record, lapse_until, now);
    }
    let ids: std::collections::HashSet<&str> = newest
        .records
        .iter()
        .map(|record| record.key.as_str())
        .collect();
    let absent = context.table.borrow_mut().end_whole_list(
        newest.end,
        |id| ids.contains(id),
        lapse_until,
        now,
    );
    for id in absent {
        info!(context.logger, "instance left"; "instance" => id.as_str(),
            "cause" => "absent from the whole list", "offset" => newest.end);
    }
    Ok(())
}

/// Reads on; whether no record was dropped.
async fn read_on(
    context: &EdgeContext,
    client: &mut StoreClient,
    lapse_until: Option<ClockTime>,
) -> Result<bool, PlatformError> {
    let from = context.table.borrow().next_offset();
    match client.read(StoreTopic::Instances, from, 0).await? {
        ReadOutcome::Dropped => Ok(false),
        ReadOutcome::Records { records, .. } => {
            let now = ClockTime::now();
            for record in &records {
                take_record(context, record, lapse_until, now);
                context.table.borrow_mut().advance(record.offset + 1);
            }
            Ok(true)
        }
    }
}

fn take_record(
    context: &EdgeContext,
    record: &StoreRecord,
    lapse_until: Option<ClockTime>,
    now: ClockTime,
) {
    let id = record.key.as_str();
    let change = match &record.value {
        None => {
            let mut table = context.table.borrow_mut();
            table.note_removed(record.offset, id, lapse_until, now)
        }
        Some(value) => match decode_instance(id, value) {
            Ok(listing) => {
                let mut table = context.table.borrow_mut();
                table.note_listed(record.offset, listing, now)
            }
            Err(fault) => {
                warn!(context.logger, "entry passed over"; "instance" => id,
                    "cause" => %fault, "offset" => record.offset);
                return;
            }
        },
    };
    log_change(context, id, change, record.offset);
}

/// Logs what an entry changed.
pub(crate) fn log_change(context: &EdgeContext, id: &str, change: ListingChange, offset: u64) {
    let what = match change {
        ListingChange::Joined => "instance joined",
        ListingChange::Leaving => "instance leaves",
        ListingChange::Lapsed => "instance lapsed",
        ListingChange::Gone => "instance left",
        ListingChange::Updated | ListingChange::Nothing => return,
    };
    info!(context.logger, "{}", what; "instance" => id, "offset" => offset);
}
