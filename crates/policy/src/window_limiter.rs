//! Limits one workspace's requests in a sliding window, at the hub of a data
//! centre.
//!
//! The limit applies to the whole fleet. Its capacity is a number of requests
//! per window: the rate times the window plus the burst. The users' platform
//! tolerates a further number of requests per window, the slack, because
//! reports arrive late. Each hub counts the admissions of all data centres and
//! computes the share of their requests that its hosts admit.
//!
//! While the window has room for the demand, the share is 1: hosts admit every
//! request and only report it. When the demand would overfill the window within
//! a few seconds, the share falls below 1, so a workspace above its limit is
//! throttled evenly on all hosts. As old requests leave the window, the share
//! rises again. Late reports may let a window exceed its capacity; a smaller
//! share follows.
//!
//! Near-full records in the store list the workspaces whose windows are nearly
//! full, so that a restart of all hosts does not admit their windows twice.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::InitialUse;
use crate::WindowLimit;

/// Length in milliseconds of the sliding window, set by the specification of the users'
/// platform.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// Time constant in milliseconds of the moving average of the demand.
const DEMAND_AVERAGE_MS: f64 = 400.0;

/// Milliseconds until a new share shows in the counts of a hub: an answer to a host, a report and
/// an exchange between hubs together.
const REACTION_MS: u64 = 400;

/// Times in milliseconds, after a new share took effect, at which the window must be within its
/// limit; unused capacity is spread over the longest one.
const HORIZONS_MS: [u64; 3] = [700, 1_300, 2_000];

/// Assumed use of a window, in units of its capacity, if the near-full records were not read
/// recently.
const UNKNOWN_USE: f64 = 1.25;

/// Assumed use of a window, in units of its capacity, if a near-full record lists the workspace.
///
/// All of its admissions may be recent, whereas [`WindowLimiter::new`] spreads the assumed ones
/// evenly over the window.
const NEAR_FULL_USE: f64 = 1.5;

/// Assumed use of a window, in units of its capacity, if the near-full records were read and none
/// lists the workspace; between typical use and [`NEAR_FULL_THRESHOLD`].
const UNRECORDED_USE: f64 = 0.65;

/// Used part of a window's capacity from which the workspace is recorded as nearly full.
///
/// Typical demand uses half of the capacity or slightly more.
pub(crate) const NEAR_FULL_THRESHOLD: f64 = 0.85;

/// Capacity, in units of the slack, up to which a window is never recorded.
///
/// What such a window admits twice because of a restart is less than the slack.
const MIN_RECORDED_SLACKS: f64 = 1.4;

/// Number of standard deviations that are subtracted from a window's use as random variation;
/// one is the square root of the capacity.
const RANDOM_DEVIATIONS: f64 = 0.6;

/// Used part of a window's capacity below which the workspace may be removed from the record.
pub(crate) const NEAR_FULL_CLEAR_THRESHOLD: f64 = 0.75;

/// Typical demand of a workspace, in units of its rate.
///
/// Limits are 1.6 times the typical use, which is thus slightly less.
const TYPICAL_DEMAND: f64 = 0.65;

/// Fraction of a window's capacity that hosts may use; the rest is a margin for requests missing
/// from the reports.
const USABLE_FRACTION: f64 = 0.97;

/// Fraction of a limit's slack that hosts may use in addition; few requests of a small workspace
/// are missing from the reports.
const USABLE_SLACK_FRACTION: f64 = 0.2;

/// Minimum coverage for the extrapolation of the demand at hosts that do not report.
const MIN_COVERAGE: f64 = 0.05;

/// Milliseconds between the assumed admissions of a window whose true times are not known.
const ASSUMED_INTERVAL_MS: u64 = 250;

/// Sliding window of one workspace's admissions and the shares assigned for it.
#[derive(Clone, Debug)]
pub struct WindowLimiter {
    /// Times and numbers of the admissions in the window, oldest first.
    admitted: VecDeque<(ClockTime, u32)>,
    /// Sum of the numbers in `admitted`.
    in_window: u32,
    /// Moving average of the requests a second, admitted or not.
    demand_per_s: f64,
    /// What was known of the window when the limiter was created.
    initial_use: InitialUse,
    /// Time at which the initial admissions have left the window.
    initial_use_until: ClockTime,
    /// Shares computed within `REACTION_MS` before the last update, each with its time, oldest
    /// first.
    shares: VecDeque<(ClockTime, f64)>,
    /// Time of the last update.
    updated_at: ClockTime,
}

impl WindowLimiter {
    /// Limiter of a workspace with `limit`; the admissions that `initial_use` implies are spread
    /// evenly over the last window.
    pub fn new(limit: WindowLimit, initial_use: InitialUse, now: ClockTime) -> Self {
        let assumed_count = |fraction: f64| (window_capacity(limit) * fraction) as u32;
        let initial_count = match initial_use {
            InitialUse::Counted(count) => count,
            InitialUse::NearFull => assumed_count(NEAR_FULL_USE),
            InitialUse::Unrecorded => assumed_count(UNRECORDED_USE),
            InitialUse::Unknown => assumed_count(UNKNOWN_USE),
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
    /// `coverage` is the fraction of the admitting hosts whose reports this hub receives, directly
    /// or through other hubs.
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
        let decay = (-millis / DEMAND_AVERAGE_MS).exp();
        let arrivals_per_s = f64::from(admitted + refused) * 1_000.0 / DEMAND_AVERAGE_MS;
        self.demand_per_s = self.demand_per_s * decay + arrivals_per_s;
        let share = self.next_share(limit, coverage);
        self.shares.push_back((now, share));
        while self.shares.len() > 1 && now.since(self.shares[0].0) > REACTION_MS {
            self.shares.pop_front();
        }
    }

    /// Fraction of the workspace's requests that hosts should admit.
    pub fn share(&self) -> f64 {
        self.shares.back().map_or(1.0, |(_, share)| *share)
    }

    /// Requests admitted in the current window, including those assumed at the start.
    pub fn in_window(&self) -> u32 {
        self.in_window
    }

    /// Whether the limiter started with [`InitialUse::Unknown`] less than a window ago.
    pub(crate) fn holds_unknown_use(&self, now: ClockTime) -> bool {
        self.holds_initial_use(InitialUse::Unknown, now)
    }

    /// Whether the limiter started with `initial_use` less than a window ago.
    fn holds_initial_use(&self, initial_use: InitialUse, now: ClockTime) -> bool {
        self.initial_use == initial_use && now < self.initial_use_until
    }

    /// Requests a second that callers send, admitted or not.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Whether a restart of all hosts could exceed the window of `limit` by more than the slack,
    /// so that the workspace must be recorded when it is nearly full.
    ///
    /// A rate of zero means no limit.
    pub(crate) fn needs_record(limit: WindowLimit) -> bool {
        limit.is_recorded
            && limit.rate > 0.0
            && window_capacity(limit) > limit.slack * MIN_RECORDED_SLACKS
    }

    /// Used part of the capacity of `limit`, including admissions that are not reported yet.
    ///
    /// It is a lower estimate: it counts unreported admissions by the latest share, and subtracts
    /// the random variation of the use, which matters in small windows.
    pub(crate) fn used_part(&self, limit: WindowLimit) -> f64 {
        let window = window_capacity(limit).max(1.0);
        let unreported = self.demand_per_s * self.share() * REACTION_MS as f64 / 1_000.0;
        let used = f64::from(self.in_window) + unreported - window.sqrt() * RANDOM_DEVIATIONS;
        used / window
    }

    /// Largest share that keeps the window within its usable capacity at all horizons, counting
    /// admissions that are not reported yet.
    fn next_share(&self, limit: WindowLimit, coverage: f64) -> f64 {
        // A near-full record does not give the exact use of the window, so the whole slack
        // remains as a margin.
        let slack = if self.holds_initial_use(InitialUse::NearFull, self.updated_at) {
            0.0
        } else {
            limit.slack * USABLE_SLACK_FRACTION
        };
        let usable = window_capacity(limit) * USABLE_FRACTION + slack;
        let available = usable - self.uncovered_use(limit, coverage);
        // It is not known which of the latest shares a host applies, so the largest is assumed.
        let max_share_in_force = self
            .shares
            .iter()
            .map(|(_, share)| *share)
            .fold(0.0, f64::max);
        let unreported = self.demand_per_s * max_share_in_force * REACTION_MS as f64 / 1_000.0;
        let room = available - f64::from(self.in_window) - unreported;
        let affordable_per_s = HORIZONS_MS
            .iter()
            .map(|ahead| {
                let expiring = f64::from(self.expiring_within(REACTION_MS + ahead));
                (room + expiring) * 1_000.0 / *ahead as f64
            })
            .fold(f64::INFINITY, f64::min);
        // If nothing is known of the window, an earlier hub may have used it up; typical demand
        // is admitted nevertheless.
        let affordable_per_s = if self.holds_unknown_use(self.updated_at) {
            affordable_per_s.max(limit.rate * TYPICAL_DEMAND)
        } else {
            affordable_per_s
        };
        if self.demand_per_s <= affordable_per_s {
            return 1.0;
        }
        (affordable_per_s / self.demand_per_s).max(0.0)
    }

    /// Requests per window that may be admitted by hosts whose reports do not reach this hub.
    ///
    /// Their demand is assumed to be like that of the other hosts, limited to their part of the
    /// capacity.
    fn uncovered_use(&self, limit: WindowLimit, coverage: f64) -> f64 {
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
pub(crate) fn window_capacity(limit: WindowLimit) -> f64 {
    limit.rate * WINDOW_MS as f64 / 1_000.0 + limit.burst
}
