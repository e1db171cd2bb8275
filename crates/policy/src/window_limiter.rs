//! The fleet's use of one workspace's limit, as the hub of a data centre sees it.
//!
//! The limit is a number of requests in a sliding window: the rate times the
//! window plus the burst. While the window has room for what callers ask,
//! hosts admit everything without a message for a request. When it runs full,
//! hosts are told which share of their requests to admit, so that a workspace
//! beyond its limit is thinned evenly on all hosts and what leaves the window
//! is given out again. Reports come late, so the window may be overdrawn; the
//! debt is paid back by admitting less.

use std::collections::VecDeque;

use crocushoist_state::ClockTime;

use crate::PaceLimit;
use crate::WindowStart;

/// Milliseconds of the window in which limits are judged, from the platform's page.
pub(crate) const WINDOW_MS: u64 = 5_000;

/// Milliseconds over which the demand is averaged.
const DEMAND_MS: f64 = 400.0;

/// Milliseconds until a decision shows in reports: an answer, a report, an exchange of hubs.
const REACTION_MS: u64 = 400;

/// Milliseconds ahead at which the window must keep its limit; the last one is
/// the time in which free room is given out.
const HORIZONS_MS: [u64; 3] = [700, 1_300, 2_000];

/// Use of a window of which nothing is known, in windows.
const ASSUMED_USE: f64 = 1.25;

/// Use of a window that was marked as nearly full, in windows; its admissions may all be late ones.
const MARKED_USE: f64 = 1.5;

/// Use that is assumed of a window without a mark, in windows; between usual use and a mark.
const UNMARKED_USE: f64 = 0.65;

/// Part of a window from which on it is marked as nearly full.
///
/// Usual demand uses half of a window or a little more.
pub(crate) const MARK_USE: f64 = 0.85;

/// Windows up to this multiple of the slack are not marked; what a restart gives out of
/// them a second time is less than the slack.
const LEAST_MARKED_SLACKS: f64 = 1.4;

/// Standard deviations of a window's use that are put down to chance.
const CHANCE_DEVIATIONS: f64 = 0.6;

/// Part of a window below which its mark is taken back.
pub(crate) const UNMARK_USE: f64 = 0.75;

/// Usual demand of a workspace, in parts of its rate; limits are 1.6 times the usual use.
const USUAL_DEMAND: f64 = 0.65;

/// Part of a window that is given out; the rest is for what reports miss.
const GIVEN_OUT: f64 = 0.97;

/// Part of the slack of a limit that is given out; what reports miss of a small workspace
/// is a few requests.
const SLACK_GIVEN_OUT: f64 = 0.2;

/// Share of the fleet below which the demand at the rest of it is not told any better.
const LEAST_COVERAGE: f64 = 0.05;

/// Milliseconds between the admissions that are assumed of a window that is not known.
const ASSUMED_EVERY_MS: u64 = 250;

/// The fleet's use of one workspace's limit.
#[derive(Clone, Debug)]
pub struct WorkspacePace {
    admitted: VecDeque<(ClockTime, u32)>,
    in_window: u32,
    demand_per_s: f64,
    start: WindowStart,
    /// When nothing of the window at the start is left in it.
    renewed_at: ClockTime,
    shares: VecDeque<(ClockTime, f64)>,
    at: ClockTime,
}

impl WorkspacePace {
    /// Pace of a workspace with `limit` whose last window was used as `start` tells.
    pub fn new(limit: PaceLimit, start: WindowStart, now: ClockTime) -> Self {
        let part_used = |part: f64| (window_of(limit) * part) as u32;
        let whole = match start {
            WindowStart::Counted(count) => count,
            WindowStart::NearlyFull => part_used(MARKED_USE),
            WindowStart::Unmarked => part_used(UNMARKED_USE),
            WindowStart::Unknown => part_used(ASSUMED_USE),
        };
        let parts = (WINDOW_MS / ASSUMED_EVERY_MS) as u32;
        let admitted = (0..parts)
            .map(|part| {
                let age = u64::from(parts - part) * ASSUMED_EVERY_MS;
                let count = whole * (part + 1) / parts - whole * part / parts;
                (now.minus(age), count)
            })
            .collect();
        WorkspacePace {
            admitted,
            in_window: whole,
            demand_per_s: 0.0,
            start,
            renewed_at: now.plus(WINDOW_MS),
            shares: VecDeque::from([(now, 1.0)]),
            at: now,
        }
    }

    /// Notes requests that hosts admitted and refused since the last call, and decides anew.
    ///
    /// `coverage` is the share of the fleet that was heard.
    pub fn note(
        &mut self,
        admitted: u32,
        refused: u32,
        limit: PaceLimit,
        coverage: f64,
        now: ClockTime,
    ) {
        let millis = now.since(self.at) as f64;
        self.at = self.at.max(now);
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
        let kept = (-millis / DEMAND_MS).exp();
        let arrived = f64::from(admitted + refused) * 1_000.0 / DEMAND_MS;
        self.demand_per_s = self.demand_per_s * kept + arrived;
        let share = self.next_share(limit, coverage);
        self.shares.push_back((now, share));
        while self.shares.len() > 1 && now.since(self.shares[0].0) > REACTION_MS {
            self.shares.pop_front();
        }
    }

    /// Share of the requests that hosts admit.
    pub fn share(&self) -> f64 {
        self.shares.back().map_or(1.0, |(_, share)| *share)
    }

    /// Requests admitted in the window.
    pub fn in_window(&self) -> u32 {
        self.in_window
    }

    /// Whether the window holds admissions that are assumed because nothing was known.
    pub(crate) fn is_assumed(&self, now: ClockTime) -> bool {
        self.started_as(WindowStart::Unknown, now)
    }

    /// Whether the window still holds what was taken for its use at the start, by `start`.
    fn started_as(&self, start: WindowStart, now: ClockTime) -> bool {
        self.start == start && now < self.renewed_at
    }

    /// Requests a second that callers ask for.
    pub fn demand_per_s(&self) -> f64 {
        self.demand_per_s
    }

    /// Whether a restart of all hosts could give out more than the window of `limit`.
    pub(crate) fn is_markable(limit: PaceLimit) -> bool {
        limit.rate > 0.0 && window_of(limit) > limit.slack * LEAST_MARKED_SLACKS
    }

    /// Part of the window of `limit` that is surely used once the requests under way are
    /// in it; what chance adds to the use of a small window is left out.
    pub(crate) fn used_part(&self, limit: PaceLimit) -> f64 {
        let window = window_of(limit).max(1.0);
        let under_way = self.demand_per_s * self.share() * REACTION_MS as f64 / 1_000.0;
        let used = f64::from(self.in_window) + under_way - window.sqrt() * CHANCE_DEVIATIONS;
        used / window
    }

    /// Share that brings the window to its limit, once the admissions under way are in it.
    fn next_share(&self, limit: PaceLimit, coverage: f64) -> f64 {
        // What a marked window really held is not known; the slack is left for that.
        let slack = if self.started_as(WindowStart::NearlyFull, self.at) {
            0.0
        } else {
            limit.slack * SLACK_GIVEN_OUT
        };
        let given_out = window_of(limit) * GIVEN_OUT + slack;
        let whole = given_out - self.unheard_use(limit, coverage);
        // Which of the latest shares is in force at a host is not known: the largest may be.
        let in_force = self
            .shares
            .iter()
            .map(|(_, share)| *share)
            .fold(0.0, f64::max);
        let under_way = self.demand_per_s * in_force * REACTION_MS as f64 / 1_000.0;
        let room = whole - f64::from(self.in_window) - under_way;
        let payable = HORIZONS_MS
            .iter()
            .map(|ahead| {
                let leaving = f64::from(self.leaving_within(REACTION_MS + ahead));
                (room + leaving) * 1_000.0 / *ahead as f64
            })
            .fold(f64::INFINITY, f64::min);
        // An earlier hub may have given an unknown window out; usual demand is still admitted.
        let payable = if self.is_assumed(self.at) {
            payable.max(limit.rate * USUAL_DEMAND)
        } else {
            payable
        };
        if self.demand_per_s <= payable {
            return 1.0;
        }
        (payable / self.demand_per_s).max(0.0)
    }

    /// Requests that hosts which are not heard may admit in a window.
    ///
    /// They are asked for as much as the others, and keep to their part of the limit.
    fn unheard_use(&self, limit: PaceLimit, coverage: f64) -> f64 {
        let asked = self.demand_per_s / coverage.max(LEAST_COVERAGE) * WINDOW_MS as f64 / 1_000.0;
        (1.0 - coverage) * asked.min(window_of(limit))
    }

    /// Admissions that leave the window within `millis` milliseconds.
    fn leaving_within(&self, millis: u64) -> u32 {
        self.admitted
            .iter()
            .take_while(|(at, _)| self.at.since(*at) + millis > WINDOW_MS)
            .map(|(_, count)| count)
            .sum()
    }
}

/// Requests that a window of `limit` holds.
fn window_of(limit: PaceLimit) -> f64 {
    limit.rate * WINDOW_MS as f64 / 1_000.0 + limit.burst
}
