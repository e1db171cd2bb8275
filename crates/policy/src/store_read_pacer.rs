//! Spreads reads of the store over the hosts that share their outcome.
//!
//! When the hub of a data centre loses the store, the knowledge of all its
//! hosts gets old at the same moment. One read by any of them serves all, so
//! each host reads with a probability that gives a constant number of readers
//! for the data centre, whatever its size. A host whose read succeeded goes on
//! in place of the hub while that cannot read. A host that no hub answers reads
//! for itself alone, whether or not it has requests: the next one may come at any time, and must
//! find knowledge that is recent enough.

use crocushoist_state::ClockTime;

/// Minimum interval in milliseconds between reads of one host, which doubles with each failure up
/// to the maximum.
const MIN_INTERVAL_MS: u64 = 400;
const MAX_INTERVAL_MS: u64 = 1_600;

/// Milliseconds after a successful read during which a host goes on in place of its hub.
const SUBSTITUTE_MS: u64 = 1_500;

/// Interval in milliseconds between reads of a host that no hub answers and that has no requests,
/// while the store does not answer either.
const IDLE_RETRY_MS: u64 = 3_000;

/// How many hosts share the outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadSharing {
    /// The hosts of this number follow one hub.
    Hub(usize),
    /// Only this host, which serves requests.
    Alone,
    /// Only this host, which has no requests.
    AloneAndIdle,
}

/// Decides when a host reads the store because its knowledge is old.
#[derive(Clone, Copy, Debug)]
pub struct StoreReadPacer {
    /// Mean number of hosts that start a read at one check, over the hosts that share the outcome.
    readers_per_check: f64,
    /// Time of the last read.
    last_read_at: Option<ClockTime>,
    /// Number of failures since the last success.
    failures: u32,
    /// Time of the last read that succeeded.
    succeeded_at: Option<ClockTime>,
}

impl StoreReadPacer {
    /// Pacer for a mean of `readers_per_check` hosts that start a read at one check.
    pub fn new(readers_per_check: f64) -> Self {
        StoreReadPacer {
            readers_per_check,
            last_read_at: None,
            failures: 0,
            succeeded_at: None,
        }
    }

    /// Whether this host reads in place of a hub that cannot, because its last read succeeded.
    pub fn is_substitute(&self, now: ClockTime) -> bool {
        let succeeded_at = self.succeeded_at.filter(|_| self.failures == 0);
        succeeded_at.is_some_and(|at| (MIN_INTERVAL_MS..=SUBSTITUTE_MS).contains(&now.since(at)))
    }

    /// Whether this host reads at this check, with a random number from 0 to 1.
    pub fn is_due(&self, sharing: ReadSharing, draw: f64, now: ClockTime) -> bool {
        let since_read = self.last_read_at.map_or(u64::MAX, |at| now.since(at));
        let backoff_ms = (MIN_INTERVAL_MS << self.failures.min(8)).min(MAX_INTERVAL_MS);
        match sharing {
            ReadSharing::Hub(hosts) => {
                let probability = self.readers_per_check / hosts.max(1) as f64;
                since_read >= backoff_ms && draw < probability
            }
            ReadSharing::Alone => since_read >= backoff_ms,
            ReadSharing::AloneAndIdle if self.failures > 0 => since_read >= IDLE_RETRY_MS,
            ReadSharing::AloneAndIdle => since_read >= MIN_INTERVAL_MS,
        }
    }

    /// Records a read that started at `now` and whether it succeeded.
    pub fn record_read(&mut self, is_ok: bool, now: ClockTime) {
        self.last_read_at = Some(now);
        self.failures = if is_ok { 0 } else { self.failures + 1 };
        if is_ok {
            self.succeeded_at = Some(now);
        }
    }
}
