//! Follows the operators' configuration in the store.
//!
//! A hub reads with a long poll: the read returns as soon as a version is
//! written, and an empty result proves that nothing was written while it
//! waited. The other hosts get this evidence from their hub, and newer versions
//! from the host that reports them. While the hub can't read the store, the
//! hosts that read the instance list in its place read the configuration in its
//! place too. If the evidence gets old all the same, some hosts read the store
//! and tell the hub.
//!
//! A host may reach the store on a new connection although the open ones are
//! silent, so a failed read is repeated at once, and without a long poll. A
//! version that is written just after a connection fell silent is thus found
//! after one long poll and the margin for its answer.
//!
//! A version in force stays in force when the store comes back from a copy with
//! an older one. Such reads are no evidence, so keyed requests are refused once
//! the evidence from before gets old, until the operator has written again.

use std::rc::Rc;
use std::time::Duration;

use compio::time::sleep;
use slog::error;
use slog::info;
use slog::warn;

use crocushoist_platform::CONFIG_KEY;
use crocushoist_platform::PlatformError;
use crocushoist_platform::ReadOutcome;
use crocushoist_platform::StoreClient;
use crocushoist_platform::StoreRecord;
use crocushoist_platform::StoreTopic;
use crocushoist_platform::decode_config;
use crocushoist_policy::DeploymentConfig;
use crocushoist_policy::EraReading;
use crocushoist_policy::LimitIndex;
use crocushoist_policy::ReadSharing;
use crocushoist_policy::StoreEra;
use crocushoist_policy::StoreOffset;
use crocushoist_policy::StoreReadPacer;
use crocushoist_state::ClockTime;

use crate::edge_context::EdgeContext;
use crate::edge_context::SharedContext;

/// Milliseconds that a hub's read waits for a new version.
///
/// A version must be in force within two seconds. A lost read takes this time and the margin for
/// its answer, and the version needs up to 300 ms from the hub to the other hosts.
const LONG_POLL_MS: u64 = 800;

/// Age of the evidence in milliseconds above which hosts read the store themselves: one long poll
/// plus one lost read.
pub(crate) const MAX_EVIDENCE_AGE_MS: u64 = LONG_POLL_MS + RESPONSE_MARGIN_MS;

/// Milliseconds after which a newer version that could not be fetched from a host is read from the
/// store.
const FETCH_GRACE_MS: u64 = 600;

/// Mean number of hosts of a data centre that start a read at one check while the evidence is old.
const READERS_PER_CHECK: f64 = 0.5;

/// Milliseconds between checks whether this host must read the store.
const CHECK_INTERVAL_MS: u64 = 100;

/// Milliseconds that a hub's read waits while operators may write lost versions again.
const UNSETTLED_POLL_MS: u64 = 200;

/// Milliseconds beyond the long poll after which a read counts as failed; a slow store takes
/// 400 ms.
const RESPONSE_MARGIN_MS: u64 = 600;

/// Minimum milliseconds from the start of a failed read to the next: the first interval, which
/// doubles up to the maximum.
const MIN_BACKOFF_MS: u64 = 150;
const MAX_BACKOFF_MS: u64 = 1_200;

/// Position of this host in the topic of the configuration.
#[derive(Clone, Copy, Debug, Default)]
struct ConfigPosition {
    /// Offset to read from, `None` if the newest records must be read.
    next_offset: Option<StoreOffset>,
    /// What was read in the present era.
    reading: EraReading,
    /// Era of `reading`.
    era: StoreEra,
}

/// Follows the operators' configuration until the process ends.
pub(crate) async fn follow_config(context: SharedContext) {
    let mut client = context.store_client(RESPONSE_MARGIN_MS);
    let mut position = ConfigPosition::default();
    let mut backoff_ms = MIN_BACKOFF_MS;
    let mut is_reachable = true;
    let mut pacer = StoreReadPacer::new(READERS_PER_CHECK);
    loop {
        let is_settled = context.era_watch.get().is_settled(ClockTime::now());
        let reads_for_others = context.reads_for_others(ClockTime::now());
        if !reads_for_others && !should_read(&context, &pacer) {
            sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            continue;
        }
        let wait_ms = match (reads_for_others && is_reachable, is_settled) {
            (true, true) => LONG_POLL_MS,
            (true, false) => UNSETTLED_POLL_MS,
            (false, _) => 0,
        };
        let requested_at = ClockTime::now();
        let era = context.newest_era.get();
        position.next_offset = position.next_offset.filter(|offset| offset.era == era);
        let outcome = match position.next_offset {
            Some(offset) => read_next(&context, &mut client, &mut position, offset, wait_ms).await,
            None => read_newest(&context, &mut client, &mut position).await,
        };
        pacer.record_read(outcome.is_ok(), requested_at);
        match outcome {
            Ok(()) => {
                context.metrics.count_store_call("ok");
                backoff_ms = MIN_BACKOFF_MS;
                if !is_reachable {
                    info!(context.logger, "store regained"; "reader" => "config");
                }
                is_reachable = true;
            }
            Err(error) => {
                context.metrics.count_store_call("failed");
                if is_reachable {
                    let age = context.evidence.borrow().store_age(ClockTime::now());
                    warn!(context.logger, "store lost"; "reader" => "config",
                        "cause" => %error, "evidence_age_ms" => age);
                }
                is_reachable = false;
                if reads_for_others {
                    let elapsed_ms = ClockTime::now().since(requested_at);
                    sleep(Duration::from_millis(backoff_ms.saturating_sub(elapsed_ms))).await;
                    backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
                }
            }
        }
    }
}

/// Whether a host that is not a hub reads the store now.
fn should_read(context: &EdgeContext, pacer: &StoreReadPacer) -> bool {
    let now = ClockTime::now();
    let age = context.evidence.borrow().age(now);
    let is_stale = match age {
        None => !context.awaits_hub(now),
        Some(age) => age > MAX_EVIDENCE_AGE_MS,
    };
    let misses_version = context.newest_config_version.get() > context.config_version();
    let since_newer = context.newer_version_since.get();
    let is_overdue = since_newer.is_some_and(|at| now.since(at) > FETCH_GRACE_MS);
    // Other hosts share evidence, but each needs the content for itself.
    let sharing = if age.is_none() || misses_version {
        ReadSharing::Alone
    } else {
        context.read_sharing(now)
    };
    (is_stale || (misses_version && is_overdue)) && pacer.is_due(sharing, rand::random(), now)
}

/// Reads the newest records.
async fn read_newest(
    context: &EdgeContext,
    client: &mut StoreClient,
    position: &mut ConfigPosition,
) -> Result<(), PlatformError> {
    let requested_at = ClockTime::now();
    let newest = client.read_newest_records(StoreTopic::Operators).await?;
    context.check_era(ClockTime::now());
    let era = newest.end_offset.era;
    if position.era != era {
        position.reading = EraReading::default();
        position.era = era;
    }
    position.next_offset = Some(newest.end_offset);
    if apply_records(context, position, &newest.records) {
        record_read(context, position, requested_at);
    }
    Ok(())
}

/// Records that every configuration that the store held at `at` was read.
fn record_read(context: &EdgeContext, position: &mut ConfigPosition, at: ClockTime) {
    position.reading.is_settled = context.era_watch.get().is_settled(at);
    let version = context.config_version();
    let mut evidence = context.evidence.borrow_mut();
    evidence.record_store_read(position.reading, version, at);
}

/// Reads from `offset` on, waiting up to `wait_ms` milliseconds for a record. The newest records
/// are read next if the store no longer holds `offset`.
async fn read_next(
    context: &EdgeContext,
    client: &mut StoreClient,
    position: &mut ConfigPosition,
    offset: StoreOffset,
    wait_ms: u64,
) -> Result<(), PlatformError> {
    let requested_at = ClockTime::now();
    position.next_offset = None;
    let outcome = client.read(StoreTopic::Operators, offset, wait_ms).await;
    context.check_era(ClockTime::now());
    // A failed read is repeated from the same offset.
    let Ok(outcome) = outcome else {
        position.next_offset = Some(offset);
        return outcome.map(|_| ());
    };
    let ReadOutcome::Records {
        records,
        end_offset,
    } = outcome
    else {
        return Ok(());
    };
    let Some(last) = records.last() else {
        let waited = ClockTime::now().since(requested_at).min(wait_ms);
        record_read(context, position, requested_at.plus(waited));
        position.next_offset = Some(offset.latest(end_offset));
        return Ok(());
    };
    let next_offset = offset.latest(last.offset.next());
    position.reading.is_rewritten |= has_config(&records);
    if !apply_records(context, position, &records) {
        return Ok(());
    }
    if wait_ms == 0 {
        record_read(context, position, requested_at);
        position.next_offset = Some(next_offset);
        return Ok(());
    }
    // The record may have been written at any moment of the wait, so the long poll does not tell
    // up to when the configuration is known; a second read without a wait does.
    let requested_at = ClockTime::now();
    position.next_offset = Some(next_offset);
    let outcome = client.read(StoreTopic::Operators, next_offset, 0).await?;
    let ReadOutcome::Records { records, .. } = outcome else {
        position.next_offset = None;
        return Ok(());
    };
    if apply_records(context, position, &records) {
        record_read(context, position, requested_at);
    }
    position.next_offset = Some(
        records
            .last()
            .map_or(next_offset, |record| record.offset.next()),
    );
    Ok(())
}

/// Whether `records` have a configuration.
fn has_config(records: &[StoreRecord]) -> bool {
    records
        .iter()
        .any(|record| record.key == CONFIG_KEY && record.value.is_some())
}

/// Puts `config` into force if it is newer than the present one; `source` says where it is from.
pub(crate) fn apply_config(context: &EdgeContext, config: DeploymentConfig, source: &str) {
    let current = context.config_version();
    if config.version <= current {
        return;
    }
    info!(context.logger, "configuration in force";
        "version" => config.version, "before" => current, "source" => source,
        "routes" => config.routes.iter().count(), "workspaces" => config.workspaces.len());
    context.metrics.config_version.set(config.version as i64);
    context.evidence.borrow_mut().clear_peer_evidence();
    let limit_index = LimitIndex::new(&config);
    {
        // Hubs grant retries at the services that hosts report, so that the first failure finds a
        // grant.
        let mut accounts = context.retry_accounts.borrow_mut();
        for service in limit_index.services() {
            accounts.entry(service.clone()).or_default();
        }
    }
    *context.limit_index.borrow_mut() = limit_index;
    *context.config.borrow_mut() = Some(Rc::new(config));
}

/// Applies the newest configuration among `records`. Returns whether it could be read, so that
/// it or a newer one is in force here.
fn apply_records(
    context: &EdgeContext,
    position: &mut ConfigPosition,
    records: &[StoreRecord],
) -> bool {
    let newest = records
        .iter()
        .rev()
        .find(|record| record.key == CONFIG_KEY && record.value.is_some());
    let Some(record) = newest else {
        return context.config.borrow().is_some();
    };
    let Some(value) = &record.value else {
        return false;
    };
    match decode_config(value) {
        Ok(config) => {
            let version = config.version;
            if version < context.config_version() && version != position.reading.version {
                warn!(context.logger, "store holds an older configuration"; "version" => version,
                    "version_in_force" => context.config_version(), "era" => position.era.0);
            }
            position.reading.version = position.reading.version.max(version);
            apply_config(context, config, "store");
            true
        }
        Err(error) => {
            error!(context.logger, "configuration unreadable"; "cause" => %error,
                "offset" => %record.offset, "version_in_force" => context.config_version());
            // The last valid version stays in force, but the host has no evidence that it is the
            // newest.
            false
        }
    }
}
