//! Permits that a hub issues for requests to instances that named a limit.
//!
//! Each hub issues the part of a limit that its reporting hosts are of all
//! hosts, so the hubs need no exchange for it. Permits arise at that rate. Those
//! that arose and may still be used are bounded, so any window gets what arose in
//! it and that bound at most. A permit counts as used unless its host reports
//! that it lapsed.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::HostStart;
use crate::PermitGrant;
use crate::send_permits::PERMIT_VALID_MS;

/// Part of a limit that is issued.
const RATE_FRACTION: f64 = 0.95;

/// Requests a second that an instance gets from all hosts at a lower limit too, so that the end of
/// the limit is noticed.
const MIN_PER_S: f64 = 0.2;

/// Permits that may be open at a hub: a number, and those that arise in this many seconds.
const MIN_OPEN: f64 = 1.0;
const OPEN_SECONDS: f64 = 1.5;

/// Milliseconds after which a permit has been used, or its lapse reported.
const SETTLED_MS: u64 = PERMIT_VALID_MS + 400;

/// Milliseconds without a report after which the lapsed permits of a host are forgotten.
const REPORTER_EXPIRY_MS: u64 = 10_000;

/// Permits for one instance.
#[derive(Clone, Debug)]
struct InstancePermits {
    /// Permits that arise in a second, and those of them that were not issued.
    per_s: f64,
    ready: f64,
    updated_at: ClockTime,
    /// Times at which permits were issued that may not be used yet, earliest first.
    issued_at: VecDeque<ClockTime>,
}

/// Lapsed permits since the start of a host, as it last reported them.
#[derive(Clone, Debug)]
struct LapsedCounts {
    seen_at: ClockTime,
    counts: HashMap<u32, u32>,
}

/// Permits that a hub issues for requests to instances that named a limit.
#[derive(Clone, Debug, Default)]
pub struct PermitPool {
    instances: HashMap<u32, InstancePermits>,
    reporters: HashMap<HostStart, LapsedCounts>,
}

impl PermitPool {
    /// Issues up to `max_count` permits for the instance `instance`, which takes `per_s` requests
    /// a second; `part` is the part of the fleet that reports to this hub.
    pub fn issue(
        &mut self,
        instance: u32,
        per_s: f64,
        part: f64,
        max_count: u32,
        now: ClockTime,
    ) -> u32 {
        let permits = self
            .instances
            .entry(instance)
            .or_insert_with(|| InstancePermits {
                per_s: 0.0,
                ready: 0.0,
                updated_at: now,
                issued_at: VecDeque::new(),
            });
        permits.per_s = per_s.max(MIN_PER_S) * RATE_FRACTION * part;
        permits.update(now);
        let count = (permits.ready as u32).min(max_count);
        permits.ready -= f64::from(count);
        let issued = std::iter::repeat_n(now, count as usize);
        permits.issued_at.extend(issued);
        count
    }

    /// Applies the permits that lapsed since the start of `host`.
    ///
    /// Those of its first report may be another hub's.
    pub fn apply_lapsed(&mut self, host: HostStart, lapsed: &[PermitGrant], now: ClockTime) {
        self.reporters
            .retain(|_, known| now.since(known.seen_at) <= REPORTER_EXPIRY_MS);
        let counts = lapsed.iter().map(|grant| (grant.instance, grant.count));
        let counts: HashMap<u32, u32> = counts.collect();
        if let Some(known) = self.reporters.get(&host) {
            for (instance, count) in &counts {
                let before = known.counts.get(instance).copied().unwrap_or_default();
                // A report that overtook a later one has the lower count.
                let newly = count.wrapping_sub(before) as i32;
                if newly > 0
                    && let Some(permits) = self.instances.get_mut(instance)
                {
                    permits.take_back(newly as usize);
                }
            }
        }
        let seen = LapsedCounts {
            seen_at: now,
            counts,
        };
        let known = self.reporters.insert(host, seen);
        let entry = self.reporters.get_mut(&host);
        if let (Some(known), Some(entry)) = (known, entry) {
            for (instance, before) in known.counts {
                let count = entry.counts.entry(instance).or_insert(before);
                if (before.wrapping_sub(*count) as i32) > 0 {
                    *count = before;
                }
            }
        }
    }
}

impl InstancePermits {
    /// Adds what arose since the last update, and forgets permits that were used.
    fn update(&mut self, now: ClockTime) {
        while let Some(at) = self.issued_at.front()
            && now.since(*at) > SETTLED_MS
        {
            self.issued_at.pop_front();
        }
        let arisen = self.per_s * now.since(self.updated_at) as f64 / 1_000.0;
        self.updated_at = self.updated_at.max(now);
        let max_open = MIN_OPEN + self.per_s * OPEN_SECONDS;
        let max_ready = (max_open - self.issued_at.len() as f64).max(0.0);
        self.ready = (self.ready + arisen).min(max_ready);
    }

    /// Takes back `count` permits that lapsed, no more than were issued.
    fn take_back(&mut self, count: usize) {
        let count = count.min(self.issued_at.len());
        self.issued_at.drain(..count);
        self.ready += count as f64;
    }
}
