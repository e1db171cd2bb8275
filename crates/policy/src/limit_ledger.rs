//! Limits that instances named, to this host or to another one.
//!
//! An instance in need names in its responses how many requests a second it
//! takes from all hosts together. A lower limit is believed at once. A higher
//! one, or a response without any, counts only if its request was sent after
//! the limit was known here: an earlier response may arrive later. The end of a
//! limit is told to other hosts like the limit itself.

use std::collections::BTreeMap;

use crocushoist_state::ClockTime;

use crate::DepartureNotice;
use crate::LimitStatement;
use crate::drawn_part::keep_drawn_part;

/// Maximum number of instances whose statements are remembered; the earliest is then forgotten.
const MAX_STATEMENTS: usize = 4_096;

/// Milliseconds for which other hosts are told that a limit has ended.
const TELL_END_MS: u64 = 60_000;

/// Maximum number of statements in one message; a longer list is told in parts drawn at random.
const MAX_TOLD: usize = 48;

/// Limits that instances named, each with the time when this host learnt it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitLedger {
    statements: BTreeMap<u32, (LimitStatement, ClockTime)>,
}

impl LimitLedger {
    /// Requests a second that `start` of an instance takes; `None` without a limit.
    pub(crate) fn limit(&self, start: DepartureNotice) -> Option<f64> {
        self.known(start)?.0.per_s
    }

    /// Starts of instances that take a limited number of requests, with that number a second.
    pub(crate) fn limits(&self) -> impl Iterator<Item = (DepartureNotice, f64)> {
        self.statements.values().filter_map(|(statement, _)| {
            let per_s = statement.per_s?;
            Some((statement.start(), per_s))
        })
    }

    /// Records what `start` of an instance said in the response to a request of this host that was
    /// sent at `sent_at`; returns whether the limit has changed.
    pub(crate) fn record(
        &mut self,
        start: DepartureNotice,
        per_s: Option<f64>,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let (known, learnt_at) = match self.known(start) {
            Some((statement, at)) => (*statement, Some(*at)),
            None => (LimitStatement::none(start), None),
        };
        let heard = LimitStatement {
            number: known.number.saturating_add(1),
            per_s,
            ..known
        };
        let is_lower = per_s.unwrap_or(f64::INFINITY) < known.per_s.unwrap_or(f64::INFINITY);
        let is_later = learnt_at.is_none_or(|at| at < sent_at);
        if heard.per_s == known.per_s || !(is_lower || is_later) {
            return false;
        }
        self.apply(heard, now)
    }

    /// Applies a statement that another host told; returns whether the limit has changed.
    pub(crate) fn apply(&mut self, statement: LimitStatement, now: ClockTime) -> bool {
        let known = self.statements.get(&statement.instance);
        if known.is_some_and(|(known, _)| !statement.supersedes(known)) {
            return false;
        }
        let before = known.and_then(|(known, _)| known.per_s);
        if known.is_none() && self.statements.len() >= MAX_STATEMENTS {
            let learnt = self.statements.iter();
            let earliest = learnt.min_by_key(|(_, (_, at))| *at).map(|(key, _)| *key);
            self.statements.retain(|key, _| Some(*key) != earliest);
        }
        let instance = statement.instance;
        self.statements.insert(instance, (statement, now));
        before != statement.per_s
    }

    /// Statements for one message to another host, at most `MAX_TOLD`: limits of instances for
    /// which `is_present` holds, and ends of limits. `draw` is a random number from 0 to 1.
    pub(crate) fn told(
        &self,
        draw: f64,
        is_present: impl Fn(DepartureNotice) -> bool,
        now: ClockTime,
    ) -> Vec<LimitStatement> {
        let is_told = |statement: &LimitStatement, learnt_at: ClockTime| {
            is_present(statement.start())
                && (statement.per_s.is_some() || now.since(learnt_at) <= TELL_END_MS)
        };
        let mut told: Vec<LimitStatement> = self
            .statements
            .values()
            .filter(|(statement, learnt_at)| is_told(statement, *learnt_at))
            .map(|(statement, _)| *statement)
            .collect();
        keep_drawn_part(&mut told, MAX_TOLD, draw);
        told
    }

    /// Statement of `start`, with the time when this host learnt it.
    fn known(&self, start: DepartureNotice) -> Option<&(LimitStatement, ClockTime)> {
        let known = self.statements.get(&start.instance);
        known.filter(|(statement, _)| statement.started_at_unix_ms == start.started_at_unix_ms)
    }
}
