//! Whether this host reaches the instances of one service, and which of its
//! failed attempts say something about an instance.
//!
//! A failed connection looks the same whether the instance is gone or this host
//! has lost its path. Attempts that failed without any response are therefore
//! unconfirmed at first. They count as failures of their instances once this
//! host reached at least as many other instances afterwards; otherwise they
//! expire. A late attempt also counts when its instance does respond. If new connections to several instances fail and none succeeds
//! meanwhile, the path is lost until one does again.
//!
//! A connection that opens proves nothing, as it may be reset at once; it counts
//! when the instance responds on it, or when a probe finds that it lives. Those
//! that were opened before a cut may live on while new ones fail, so a response
//! on one of them confirms only failures on open connections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crocushoist_state::ClockTime;

use crate::AttemptOutcome;
use crate::InstanceKey;

/// Milliseconds for which a failure waits for its confirmation.
const UNCONFIRMED_VALID_MS: u64 = 1_500;

/// Number of instances to which connections fail before the path is lost; fewer if the service has
/// no more.
const MIN_UNREACHABLE: usize = 3;

/// Number of instances below which a lost path cannot be told from a lost instance.
const MIN_INSTANCES: usize = 2;

/// Milliseconds from one probe to the next while failures are unconfirmed.
const DOUBT_PROBE_INTERVAL_MS: u64 = 50;

/// Milliseconds from one probe to the next while the path is lost.
const LOST_PROBE_INTERVAL_MS: u64 = 250;

/// Milliseconds that a failure on an open connection waits for responses of other instances before
/// a probe is sent.
const AWAIT_RESPONSE_MS: u64 = 250;

/// Connection on which an instance was reached, or an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathContact {
    /// One that was opened for it.
    NewConnection,
    /// One that had been open before.
    OpenConnection,
}

/// Failed attempt without any response, which may be a failure of the instance or of the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedOutcome {
    /// Instance of the attempt.
    pub key: InstanceKey,
    /// Outcome of the attempt if the path is sound.
    pub outcome: AttemptOutcome,
    /// Connection on which it failed.
    pub contact: PathContact,
    /// Duration of the attempt in milliseconds.
    pub latency_ms: u64,
    /// When it failed.
    pub failed_at: ClockTime,
}

impl UnconfirmedOutcome {
    /// Whether a new connection failed; one that is open but silent may have a slow instance.
    fn is_failed_connection(&self) -> bool {
        self.contact == PathContact::NewConnection && self.outcome != AttemptOutcome::Late
    }

    /// When the attempt began.
    fn began_at(&self) -> ClockTime {
        self.failed_at.minus(self.latency_ms)
    }
}

/// Path of this host to the instances of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicePath {
    unconfirmed: Vec<UnconfirmedOutcome>,
    /// When each instance was last reached on a new connection.
    new_contacts: BTreeMap<InstanceKey, ClockTime>,
    /// When each instance was last reached on a connection that had been open before.
    open_contacts: BTreeMap<InstanceKey, ClockTime>,
    is_lost: bool,
    /// When a lost path was last back.
    back_at: Option<ClockTime>,
    probed_at: ClockTime,
}

impl ServicePath {
    /// Records a failure at one of `instance_count` usable instances; returns the failure if it
    /// counts already, and whether the path is lost since then.
    pub(crate) fn record_failure(
        &mut self,
        failure: UnconfirmedOutcome,
        instance_count: usize,
    ) -> (Option<UnconfirmedOutcome>, bool) {
        // An attempt that began while the path was lost says nothing about its instance.
        if self.is_lost || self.back_at.is_some_and(|at| failure.began_at() < at) {
            return (None, false);
        }
        self.remove_expired(failure.failed_at);
        if failure.outcome == AttemptOutcome::Late && self.is_confirmed(&failure, 1) {
            return (Some(failure), false);
        }
        self.unconfirmed.push(failure);
        let unreachable = || {
            let failures = self.unconfirmed.iter();
            failures.filter(|failure| failure.is_failed_connection())
        };
        let keys: BTreeSet<InstanceKey> = unreachable().map(|failure| failure.key).collect();
        let since = unreachable().map(|failure| failure.failed_at).min();
        let reaches_any = self
            .new_contacts
            .values()
            .any(|at| since.is_none_or(|since| *at >= since));
        let needed = MIN_UNREACHABLE.min(instance_count).max(MIN_INSTANCES);
        self.is_lost = !reaches_any && keys.len() >= needed;
        if self.is_lost {
            self.unconfirmed.clear();
        }
        (None, self.is_lost)
    }

    /// Records that this host reached the instance `key`; returns the failures that this confirms
    /// and whether a lost path is back.
    pub(crate) fn record_contact(
        &mut self,
        key: InstanceKey,
        contact: PathContact,
        now: ClockTime,
    ) -> (Vec<UnconfirmedOutcome>, bool) {
        let mut is_back = false;
        match contact {
            PathContact::NewConnection => {
                self.new_contacts.insert(key, now);
                is_back = std::mem::take(&mut self.is_lost);
                if is_back {
                    self.back_at = Some(now);
                }
            }
            PathContact::OpenConnection => {
                self.open_contacts.insert(key, now);
            }
        }
        self.remove_expired(now);
        let failing: BTreeSet<InstanceKey> =
            self.unconfirmed.iter().map(|failure| failure.key).collect();
        let (confirmed, unconfirmed) =
            std::mem::take(&mut self.unconfirmed)
                .into_iter()
                .partition(|failure| {
                    let is_own_response =
                        failure.outcome == AttemptOutcome::Late && failure.key == key;
                    is_own_response || self.is_confirmed(failure, failing.len())
                });
        self.unconfirmed = unconfirmed;
        (confirmed, is_back)
    }

    /// Whether `failure` counts, while attempts at `failing_count` instances failed.
    ///
    /// A late attempt goes on, so one other instance that was reached since it began is enough.
    fn is_confirmed(&self, failure: &UnconfirmedOutcome, failing_count: usize) -> bool {
        if failure.outcome == AttemptOutcome::Late {
            self.reached_since(failure, failure.began_at()) > 0
        } else {
            self.reached_since(failure, failure.failed_at) >= failing_count
        }
    }

    /// Number of other instances that this host reached in the way of `failure` since `since`.
    fn reached_since(&self, failure: &UnconfirmedOutcome, since: ClockTime) -> usize {
        let is_witness =
            |(key, at): &(&InstanceKey, &ClockTime)| **key != failure.key && **at >= since;
        let on_new = self.new_contacts.iter().filter(is_witness);
        if failure.contact == PathContact::NewConnection {
            return on_new.count();
        }
        let on_open = self.open_contacts.iter().filter(is_witness);
        let reached: BTreeSet<&InstanceKey> = on_new.chain(on_open).map(|(key, _)| key).collect();
        reached.len()
    }

    /// Whether this host reaches no instance of the service.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether this host reached any instance within the last `millis` milliseconds.
    pub(crate) fn has_contact(&self, millis: u64, now: ClockTime) -> bool {
        let mut contacts = self
            .new_contacts
            .values()
            .chain(self.open_contacts.values());
        contacts.any(|at| now.since(*at) <= millis)
    }

    /// Whether to open a connection to an instance now, to tell a lost path from lost instances, to
    /// find out that it is back, or because it `is_unknown`.
    pub(crate) fn needs_probe(&mut self, is_unknown: bool, now: ClockTime) -> bool {
        self.remove_expired(now);
        let is_doubtful = self.unconfirmed.iter().any(|failure| {
            failure.is_failed_connection() || now.since(failure.failed_at) >= AWAIT_RESPONSE_MS
        });
        let interval_ms = if is_doubtful {
            DOUBT_PROBE_INTERVAL_MS
        } else {
            LOST_PROBE_INTERVAL_MS
        };
        (self.is_lost || is_doubtful || is_unknown) && now.since(self.probed_at) >= interval_ms
    }

    /// Records that a probe begins.
    pub(crate) fn record_probe(&mut self, now: ClockTime) {
        self.probed_at = now;
    }

    /// Whether a probe of the instance `key` can tell anything new.
    pub(crate) fn is_probe_useful(&self, key: InstanceKey) -> bool {
        let since = self
            .unconfirmed
            .iter()
            .map(|failure| failure.failed_at)
            .min();
        let is_reached = since.is_some_and(|since| {
            let reached_at = self.new_contacts.get(&key);
            reached_at.is_some_and(|at| *at >= since)
        });
        !is_reached && !self.unconfirmed.iter().any(|failure| failure.key == key)
    }

    fn remove_expired(&mut self, now: ClockTime) {
        let is_valid =
            |failure: &UnconfirmedOutcome| now.since(failure.failed_at) <= UNCONFIRMED_VALID_MS;
        self.unconfirmed.retain(is_valid);
        let is_recent = |at: &mut ClockTime| now.since(*at) <= UNCONFIRMED_VALID_MS;
        self.new_contacts.retain(|_, at| is_recent(at));
        self.open_contacts.retain(|_, at| is_recent(at));
    }
}
