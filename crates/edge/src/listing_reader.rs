//! Follows the list of instances in the store.
//!
//! The hub of a data centre reads the list and sends the changes to its hosts.
//! If its list gets old, some of its hosts read the list and the hub fetches it
//! from them. A host that gets no answer from a hub reads the list itself.
//!
//! A list of another era is read in full. Instances that it lacks get the time
//! to write their entries again.

use std::fmt::Display;
use std::net::SocketAddr;
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
use crocushoist_policy::InstanceListing;
use crocushoist_policy::ListingChange;
use crocushoist_policy::ListingFault;
use crocushoist_policy::ReadSharing;
use crocushoist_policy::StoreOffset;
use crocushoist_policy::StoreReadPacer;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;

/// Milliseconds between reads. An instance may get new requests for two seconds after it starts
/// to leave; a read and an exchange with the hub must fit in that time.
const READ_INTERVAL_MS: u64 = 500;

/// Mean number of hosts of a data centre that start a read at one check while the list is old.
///
/// An instance may get new requests for two seconds after it starts to leave, and some of the
/// reads fail.
const READERS_PER_CHECK: f64 = 1.5;

/// Milliseconds between checks whether this host must read the list.
const CHECK_INTERVAL_MS: u64 = 150;

/// Milliseconds after the store is back in which instances may renew entries that lapsed during
/// the outage.
///
/// The platform allows two seconds; this host notices the return a little late.
pub(crate) const RELISTING_WINDOW_MS: u64 = 1_800;

/// Milliseconds after which a read fails; a slow store takes 400 ms.
const READ_TIMEOUT_MS: u64 = 600;

/// Follows the list of instances until the process ends.
pub(crate) async fn follow_listing(context: SharedContext) {
    let mut client = context.store_client(READ_TIMEOUT_MS);
    let mut has_full_list = false;
    let mut failures = 0u32;
    let mut pacer = StoreReadPacer::new(READERS_PER_CHECK);
    // Until then, entries that disappear count as lapsed, not as removed.
    let mut lapse_until: Option<ClockTime> = None;
    loop {
        if !should_read(&context, &pacer) {
            // A list from a hub is complete too.
            has_full_list |= context.listing_synced_at.get().is_some();
            if !context.is_listing_stale(ClockTime::now()) {
                failures = 0;
            }
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            continue;
        }
        // The first read after an outage finds the entries that lapsed during it.
        let lapse_until_now = if failures > 0 {
            Some(ClockTime::now().plus(RELISTING_WINDOW_MS))
        } else {
            lapse_until
        };
        let requested_at = ClockTime::now();
        let era_before = context.instances.borrow().next_offset().era;
        has_full_list &= era_before == context.newest_era.get();
        let read = if has_full_list {
            read_next(&context, &mut client, lapse_until_now).await
        } else {
            let full = read_full(&context, &mut client, lapse_until_now).await;
            full.map(|()| true)
        };
        pacer.record_read(read.is_ok(), requested_at);
        context.check_era(ClockTime::now());
        match read {
            Ok(is_complete) => {
                context.metrics.count_store_call("ok");
                has_full_list = is_complete;
                if is_complete {
                    context.record_listing_sync(requested_at);
                    context.listing_read_at.set(Some(requested_at));
                }
                lapse_until = lapse_until_now;
                let era = context.instances.borrow().next_offset().era;
                if era_before.is_known() && era != era_before {
                    lapse_until = Some(ClockTime::now().plus(RELISTING_WINDOW_MS));
                }
                if failures > 0 {
                    info!(context.logger, "store regained"; "reader" => "instances",
                        "failures" => failures);
                }
                failures = 0;
            }
            Err(error) => {
                context.metrics.count_store_call("failed");
                failures += 1;
                if failures == 1 {
                    warn!(context.logger, "store lost"; "reader" => "instances", "cause" => %error);
                }
            }
        }
        let elapsed_ms = ClockTime::now().since(requested_at);
        let pause_ms = READ_INTERVAL_MS
            .saturating_sub(elapsed_ms)
            .max(CHECK_INTERVAL_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Whether this host reads the list now.
fn should_read(context: &EdgeContext, pacer: &StoreReadPacer) -> bool {
    let now = ClockTime::now();
    if context.is_hub.get() {
        return true;
    }
    if context.listing_synced_at.get().is_none() {
        return !context.awaits_hub(now) && pacer.is_due(ReadSharing::Alone, rand::random(), now);
    }
    if !context.hub_reads_listing.get() && pacer.is_substitute(now) {
        return true;
    }
    context.is_listing_stale(now) && pacer.is_due(context.read_sharing(now), rand::random(), now)
}

/// Reads the whole list; instances that it does not contain are removed.
async fn read_full(
    context: &EdgeContext,
    client: &mut StoreClient,
    lapse_until: Option<ClockTime>,
) -> Result<(), PlatformError> {
    let newest = client.read_newest_records(StoreTopic::Instances).await?;
    let now = ClockTime::now();
    let known_era = context.instances.borrow().next_offset().era;
    let is_other_era = known_era.is_known() && newest.end_offset.era != known_era;
    let lapse_until = if is_other_era {
        Some(now.plus(RELISTING_WINDOW_MS))
    } else {
        lapse_until
    };
    for record in &newest.records {
        apply_record(context, record, lapse_until, now);
    }
    let ids: std::collections::HashSet<&str> = newest
        .records
        .iter()
        .map(|record| record.key.as_str())
        .collect();
    let absent = context.instances.borrow_mut().finish_full_list(
        newest.end_offset,
        |id| ids.contains(id),
        lapse_until,
        now,
    );
    for id in absent {
        info!(context.logger, "instance left"; "instance" => id.as_str(),
            "cause" => "not in the full list", "offset" => %newest.end_offset);
    }
    Ok(())
}

/// Reads the records after the last known one. Returns false if the store no longer holds them.
async fn read_next(
    context: &EdgeContext,
    client: &mut StoreClient,
    lapse_until: Option<ClockTime>,
) -> Result<bool, PlatformError> {
    let from = context.instances.borrow().next_offset();
    match client.read(StoreTopic::Instances, from, 0).await? {
        ReadOutcome::OffsetExpired => Ok(false),
        ReadOutcome::Records { records, .. } => {
            let now = ClockTime::now();
            for record in &records {
                apply_record(context, record, lapse_until, now);
                context.instances.borrow_mut().advance(record.offset.next());
            }
            Ok(true)
        }
    }
}

/// Applies one entry, or the removal of one.
///
/// A removal before `lapse_until` counts as lapsed, so that the instance can renew its entry.
fn apply_record(
    context: &EdgeContext,
    record: &StoreRecord,
    lapse_until: Option<ClockTime>,
    now: ClockTime,
) {
    let id = record.key.as_str();
    let change = match &record.value {
        None => {
            let mut table = context.instances.borrow_mut();
            table.apply_removal(record.offset, id, lapse_until, now)
        }
        Some(value) => match decode_instance(id, value) {
            Ok(listing) if skips_entry(context, &listing, record.offset) => return,
            Ok(listing) => {
                let mut table = context.instances.borrow_mut();
                table.apply_listing(record.offset, listing, now)
            }
            Err(error) => return record_skip(context, id, &error, record.offset),
        },
    };
    log_change(context, id, change, record.offset);
}

/// Whether the entry `listing` names no instance to use, which is then counted and logged.
pub(crate) fn skips_entry(
    context: &EdgeContext,
    listing: &InstanceListing,
    offset: StoreOffset,
) -> bool {
    let fault = listing
        .fault()
        .or_else(|| is_host_address(context, listing.address).then_some(ListingFault::HostAddress));
    if let Some(fault) = fault {
        record_skip(context, &listing.id, &fault.cause(), offset);
    }
    fault.is_some()
}

/// Whether a host of the fleet serves callers or other hosts at `address`; a request that is sent
/// there would come back as one of a caller.
fn is_host_address(context: &EdgeContext, address: SocketAddr) -> bool {
    let roster = context.roster.borrow();
    let own_host = &context.own_host;
    [own_host.caller_address, own_host.peer_address].contains(&address)
        || roster.find(address).is_some()
        || roster.find_caller_address(address).is_some()
}

/// Counts an entry that names no instance to use, and logs it from time to time.
fn record_skip(context: &EdgeContext, id: &str, cause: &dyn Display, offset: StoreOffset) {
    const MAX_LOGGED_BYTES: usize = 64;
    context.metrics.skipped_entries.inc();
    let Some(skipped) = context.skipped_entries.count(ClockTime::now()) else {
        return;
    };
    let id = &id[..id.floor_char_boundary(MAX_LOGGED_BYTES)];
    warn!(context.logger, "skipped instance entries"; "skipped" => skipped, "instance" => id,
        "cause" => %cause, "offset" => %offset);
}

/// Logs a change of an instance's entry.
pub(crate) fn log_change(
    context: &EdgeContext,
    id: &str,
    change: ListingChange,
    offset: StoreOffset,
) {
    let message = match change {
        ListingChange::Joined => "instance joined",
        ListingChange::Leaving => "instance is leaving",
        ListingChange::Lapsed => "instance entry lapsed",
        ListingChange::Gone => "instance left",
        ListingChange::Updated | ListingChange::Unchanged => return,
    };
    info!(context.logger, "{}", message; "instance" => id, "offset" => %offset);
}
