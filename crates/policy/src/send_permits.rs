//! Permits of this host for requests to instances that named a limit.
//!
//! A hub issues each permit for one request. One that is not used in time
//! lapses; the host counts the lapsed ones since its start, so that the hub can
//! issue them again however many reports are lost.

use std::collections::HashMap;
use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::PermitGrant;

/// Milliseconds after the report that it answers in which a permit may be used.
pub(crate) const PERMIT_VALID_MS: u64 = 800;

/// Maximum number of permits for one instance in one answer; a higher one is an error of the hub.
const MAX_PERMITS: u32 = 10_000;

/// Maximum number of instances whose lapsed permits one report has; those of the others are not
/// issued again.
const MAX_TOLD: usize = 48;

/// Permits of this host for requests to instances that named a limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendPermits {
    /// Ends of the unused permits by the hash of the instance's id, earliest first.
    open: HashMap<u32, VecDeque<ClockTime>>,
    /// Permits that lapsed since the start, likewise.
    lapsed: HashMap<u32, u32>,
}

impl SendPermits {
    /// Adds the permits in the answer to a report that was sent at `reported_at`.
    pub(crate) fn add(&mut self, grants: &[PermitGrant], reported_at: ClockTime) {
        let until = reported_at.plus(PERMIT_VALID_MS);
        for grant in grants {
            let open = self.open.entry(grant.instance).or_default();
            let count = grant.count.min(MAX_PERMITS);
            open.extend(std::iter::repeat_n(until, count as usize));
        }
    }

    /// Number of permits for `instance`.
    pub(crate) fn count(&self, instance: u32, now: ClockTime) -> u32 {
        let open = self.open.get(&instance);
        open.map_or(0, |open| {
            open.iter().filter(|until| now < **until).count() as u32
        })
    }

    /// Uses a permit for `instance`, the one that lapses first.
    pub(crate) fn spend(&mut self, instance: u32, now: ClockTime) {
        self.drop_lapsed(now);
        if let Some(open) = self.open.get_mut(&instance) {
            open.pop_front();
        }
    }

    /// Permits that lapsed since the start of the host, for instances for which `is_told` holds.
    pub(crate) fn lapsed(
        &mut self,
        is_told: impl Fn(u32) -> bool,
        now: ClockTime,
    ) -> Vec<PermitGrant> {
        self.drop_lapsed(now);
        let lapsed = self.lapsed.iter();
        lapsed
            .filter(|(instance, _)| is_told(**instance))
            .take(MAX_TOLD)
            .map(|(instance, count)| PermitGrant {
                instance: *instance,
                count: *count,
            })
            .collect()
    }

    fn drop_lapsed(&mut self, now: ClockTime) {
        for (instance, open) in &mut self.open {
            while open.front().is_some_and(|until| *until <= now) {
                open.pop_front();
                let lapsed = self.lapsed.entry(*instance).or_default();
                *lapsed = lapsed.wrapping_add(1);
            }
        }
        self.open.retain(|_, open| !open.is_empty());
    }
}
