//! Limits one workspace's requests in a sliding window, at the hub of a data
//! centre.
//!
//! The limit is a number of requests per window: the rate times the window plus
//! the burst. While the window has room for the demand, hosts admit every
//! request without consulting a hub. When it fills, the hub assigns to all
//! hosts the share of their requests to admit. A workspace above its limit is
//! thus throttled evenly on all hosts, and room that becomes free as the window
//! moves is assigned again. Reports arrive late, so a window may be exceeded;
//! the excess is made up by a smaller share later.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::InitialUse;
use crate::WindowLimit;

/// Length in milliseconds of the sliding window, set by the platform's specification.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// Time constant in milliseconds of the moving average of the demand.
const DEMAND_AVERAGE_MS: f64 = 400.0;

/// Milliseconds until a new share shows in reports: an answer, a report and an exchange between
/// hubs.
const REACTION_MS: u64 = 400;

/// Milliseconds ahead at which the window must be within its limit; free room is assigned over
/// the last one.
const HORIZONS_MS: [u64; 3] = [700, 1_300, 2_000];

/// Assumed use of a window of which nothing is known, in units of the window's capacity.
const UNKNOWN_USE: f64 = 1.25;

/// Assumed use of a window that a record lists as nearly full, in units of the window's
/// capacity; all of its admissions may be recent.
const NEAR_FULL_USE: f64 = 1.5;

/// Assumed use of a window that no record lists, in units of the window's capacity; between
/// typical use and [`NEAR_FULL_THRESHOLD`].
const UNRECORDED_USE: f64 = 0.65;

/// Used part of a window from which the workspace is recorded as nearly full.
///
/// Typical demand uses half of a window or slightly more.
pub(crate) const NEAR_FULL_THRESHOLD: f64 = 0.85;

/// Multiple of the slack up to which windows are not recorded; a restart admits less than the
/// slack out of them a second time.
const MIN_RECORDED_SLACKS: f64 = 1.4;

/// Standard deviations of a window's use that are attributed to random variation.
const RANDOM_DEVIATIONS: f64 = 0.6;

/// Used part of a window below which the workspace is no longer kept in the record.
pub(crate) const NEAR_FULL_CLEAR_THRESHOLD: f64 = 0.75;

/// Typical demand of a workspace, in units of its rate; limits are 1.6 times the typical use.
const TYPICAL_DEMAND: f64 = 0.65;

/// Part of a window's capacity that is assigned; the rest is a margin for requests that reports
/// miss.
const ASSIGNABLE_SHARE: f64 = 0.97;

/// Part of a limit's slack that is assigned; reports of a small workspace miss only a few
/// requests.
const ASSIGNABLE_SLACK_SHARE: f64 = 0.2;

/// Minimum coverage for the extrapolation of the demand at hosts that do not report.
const MIN_COVERAGE: f64 = 0.05;

/// Milliseconds between the assumed admissions of a window whose true times are not known.
const ASSUMED_INTERVAL_MS: u64 = 250;

/// Sliding window of one workspace's admissions and the shares assigned for it.
#[derive(Clone, Debug)]
pub struct WindowLimiter {
    /// Admissions in the window, oldest first.
    admitted: VecDeque<(ClockTime, u32)>,
    in_window: u32,
    demand_per_s: f64,
    initial_use: InitialUse,
    /// Time at which the initial admissions have left the window.
    initial_use_until: ClockTime,
    /// Shares of the last `REACTION_MS`, oldest first.
    shares: VecDeque<(ClockTime, f64)>,
    updated_at: ClockTime,
}

impl WindowLimiter {
    /// Limiter of a workspace with `limit`, whose last window was used as `initial_use` says.
    pub fn new(limit: WindowLimit, initial_use: InitialUse, now: ClockTime) -> Self {
        let share_of_window = |part: f64| (window_capacity(limit) * part) as u32;
        let initial_count = match initial_use {
            InitialUse::Counted(count) => count,
            InitialUse::NearFull => share_of_window(NEAR_FULL_USE),
            InitialUse::Unrecorded => share_of_window(UNRECORDED_USE),
            InitialUse::Unknown => share_of_window(UNKNOWN_USE),
        };
        let parts = (WINDOW_MS / ASSUMED_INTERVAL_MS) as u32;
        let admitted = (0..parts)
            .map(|part| {
                let age = u64::from(parts - part) * ASSUMED_INTERVAL_MS;
                let count = initial_count * (part + 1) / parts - initial_count * part / parts;
                (now.minus(age), count)
            })
            .collect();
        WindowLimiter {
            admitted,
            in_window: initial_count,
            demand_per_s: 0.0,
            initial_use,
            initial_use_until: now.plus(WINDOW_MS),
            shares: VecDeque::from([(now, 1.0)]),
            updated_at: now,
        }
    }

    /// Adds requests that hosts admitted and refused since the last call, and computes a new
    /// share.
    ///
    /// `coverage` is the share of the fleet that reports.
    pub fn update(
        &mut self,
        admitted: u32,
        refused: u32,
        limit: WindowLimit,
        coverage: f64,
        now: ClockTime,
    ) {
        let millis = now.since(self.updated_at) as f64;
        self.updated_at = self.updated_at.max(now);
        if admitted > 0 {
            self.admitted.push_back((now, admitted));
            self.in_window += admitted;
        }
        while let Some((at, count)) = self.admitted.front().copied()
            && now.since(at) > WINDOW_MS
        {
            self.admitted.pop_front();
            self.in_window -= count;
        }
        let kept = (-millis / DEMAND_AVERAGE_MS).exp();
        let arrived = f64::from(admitted + refused) * 1_000.0 / DEMAND_AVERAGE_MS;
        self.demand_per_s = self.demand_per_s * kept + arrived;
        let share = self.next_share(limit, coverage);
        self.shares.push_back((now, share));
        while self.shares.len() > 1 && now.since(self.shares[0].0) > REACTION_MS {
            self.shares.pop_front();
        }
    }

    /// Share of their requests that hosts should admit.
    pub fn share(&self) -> f64 {
        self.shares.back().map_or(1.0, |(_, share)| *share)
    }

    /// Requests admitted in the current window.
    pub fn in_window(&self) -> u32 {
        self.in_window
    }

    /// Whether the window still holds admissions that were assumed because its use was not
    /// known.
    pub(crate) fn is_assumed(&self, now: ClockTime) -> bool {
        self.holds_initial_use(InitialUse::Unknown, now)
    }

    /// Whether the window still holds the assumed admissions of the given initial use.
    fn holds_initial_use(&self, initial_use: InitialUse, now: ClockTime) -> bool {
        self.initial_use == initial_use && now < self.initial_use_until
    }

    /// Requests a second that callers send, admitted or not.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Whether a restart of all hosts could exceed the window of `limit`, so that its use must
    /// be recorded.
    pub(crate) fn needs_record(limit: WindowLimit) -> bool {
        limit.rate > 0.0 && window_capacity(limit) > limit.slack * MIN_RECORDED_SLACKS
    }

    /// Used part of the window of `limit`, including requests that are not reported yet.
    ///
    /// It is a lower estimate: random variation of the use of small windows is subtracted.
    pub(crate) fn used_part(&self, limit: WindowLimit) -> f64 {
        let window = window_capacity(limit).max(1.0);
        let in_transit = self.demand_per_s * self.share() * REACTION_MS as f64 / 1_000.0;
        let used = f64::from(self.in_window) + in_transit - window.sqrt() * RANDOM_DEVIATIONS;
        used / window
    }

    /// Share that brings the window to its limit, including admissions that are not reported
    /// yet.
    fn next_share(&self, limit: WindowLimit, coverage: f64) -> f64 {
        // The true use of a window recorded as nearly full is unknown; the slack remains as a
        // margin.
        let slack = if self.holds_initial_use(InitialUse::NearFull, self.updated_at) {
            0.0
        } else {
            limit.slack * ASSIGNABLE_SLACK_SHARE
        };
        let assignable = window_capacity(limit) * ASSIGNABLE_SHARE + slack;
        let available = assignable - self.unreachable_use(limit, coverage);
        // It is not known which of the latest shares a host applies, so the largest is assumed.
        let max_share_in_force = self
            .shares
            .iter()
            .map(|(_, share)| *share)
            .fold(0.0, f64::max);
        let in_transit = self.demand_per_s * max_share_in_force * REACTION_MS as f64 / 1_000.0;
        let room = available - f64::from(self.in_window) - in_transit;
        let affordable_per_s = HORIZONS_MS
            .iter()
            .map(|ahead| {
                let expiring = f64::from(self.expiring_within(REACTION_MS + ahead));
                (room + expiring) * 1_000.0 / *ahead as f64
            })
            .fold(f64::INFINITY, f64::min);
        // An earlier hub may have used up an unknown window; typical demand is admitted
        // nevertheless.
        let affordable_per_s = if self.is_assumed(self.updated_at) {
            affordable_per_s.max(limit.rate * TYPICAL_DEMAND)
        } else {
            affordable_per_s
        };
        if self.demand_per_s <= affordable_per_s {
            return 1.0;
        }
        (affordable_per_s / self.demand_per_s).max(0.0)
    }

    /// Requests per window that hosts which do not report may admit.
    ///
    /// Their demand is assumed to be like that of the others, limited to their part of the
    /// limit.
    fn unreachable_use(&self, limit: WindowLimit, coverage: f64) -> f64 {
        let demand = self.demand_per_s / coverage.max(MIN_COVERAGE) * WINDOW_MS as f64 / 1_000.0;
        (1.0 - coverage) * demand.min(window_capacity(limit))
    }

    /// Number of admissions that leave the window within `millis` milliseconds.
    fn expiring_within(&self, millis: u64) -> u32 {
        self.admitted
            .iter()
            .take_while(|(at, _)| self.updated_at.since(*at) + millis > WINDOW_MS)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Number of requests that a window of `limit` allows.
fn window_capacity(limit: WindowLimit) -> f64 {
    limit.rate * WINDOW_MS as f64 / 1_000.0 + limit.burst
}
