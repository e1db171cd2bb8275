//! Token bucket of one share.
//!
//! Invariant: in any window of length `t`, at most `burst + rate * t` tokens are
//! spent. A granted token can be spent until its grant is settled, returned or
//! expired. Such an open grant counts against the burst, so that the level plus
//! all open grants never exceed it. Grants should be settled early: if each
//! counted until it expired, a share could spend only its burst per grant
//! lifetime, whatever its rate. A bucket starts empty.
//!
//! Amounts are in millionths of a token, so that rates of whole tokens or
//! thousandths of a token per second accrue each millisecond without rounding.

use std::collections::VecDeque;

use crate::ClockTime;
use crate::ShareLimit;
use crate::breach;
use crate::breach::BreachKind;

/// Millionths of a token in one token.
pub const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Number of a grant, unique within its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId(pub u64);

/// Grant that is neither settled, returned nor expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenGrant {
    id: GrantId,
    expires: ClockTime,
    amount: u64,
}

/// Token bucket of one share.
///
/// All amounts are in millionths of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    limit: ShareLimit,
    level: u64,
    refilled_at: ClockTime,
    /// Open grants, in the order of their numbers.
    open_grants: VecDeque<OpenGrant>,
    open_sum: u64,
    next_grant: u64,
}

impl TokenBucket {
    /// Creates an empty bucket that accrues tokens from `since` on.
    pub fn new(limit: ShareLimit, since: ClockTime) -> Self {
        TokenBucket {
            limit,
            level: 0,
            refilled_at: since,
            open_grants: VecDeque::new(),
            open_sum: 0,
            next_grant: 0,
        }
    }

    /// Creates a bucket from the amounts that the previous holder handed over at `now`.
    ///
    /// `level` and `open_sum` are in millionths of a token; the tokens in `open_sum` can
    /// still be spent until `expires`. Nothing accrues until a limit is set.
    pub fn from_handover(now: ClockTime, level: u64, open_sum: u64, expires: ClockTime) -> Self {
        let limit = ShareLimit {
            rate: 0,
            burst: level + open_sum,
        };
        let mut bucket = TokenBucket::new(limit, now);
        bucket.level = level;
        bucket.add_grant(open_sum, expires);
        bucket
    }

    /// Grants one token, which can be spent until `expires`.
    ///
    /// Fails with the number of milliseconds until a token accrues.
    pub fn grant(&mut self, now: ClockTime, expires: ClockTime) -> Result<GrantId, u64> {
        self.refill(now);
        if self.level < MICROS_PER_TOKEN {
            return Err(self.millis_until_token());
        }
        self.level -= MICROS_PER_TOKEN;
        let id = self.add_grant(MICROS_PER_TOKEN, expires);
        self.check_invariant();
        Ok(id)
    }

    /// Closes the grant `id` after its token was spent.
    pub fn settle(&mut self, id: GrantId, now: ClockTime) {
        self.refill(now);
        self.close_grant(id);
    }

    /// Closes the grant `id` and returns its unspent token to the bucket.
    pub fn return_grant(&mut self, id: GrantId, now: ClockTime) {
        self.refill(now);
        let amount = self.close_grant(id);
        self.level = (self.level + amount).min(self.max_level());
        self.check_invariant();
    }

    /// Replaces the limit from `now` on.
    pub fn change_limit(&mut self, limit: ShareLimit, now: ClockTime) {
        if limit == self.limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.max_level());
    }

    /// Returns the level and the sum of open grants, in millionths of a token, for a handover.
    pub fn handover_amounts(&mut self, now: ClockTime) -> (u64, u64) {
        self.refill(now);
        (self.level, self.open_sum)
    }

    fn add_grant(&mut self, amount: u64, expires: ClockTime) -> GrantId {
        let id = GrantId(self.next_grant);
        self.next_grant += 1;
        self.open_grants.push_back(OpenGrant {
            id,
            expires,
            amount,
        });
        self.open_sum += amount;
        id
    }

    /// Removes the grant `id` and returns its amount, zero if it was closed or has expired.
    fn close_grant(&mut self, id: GrantId) -> u64 {
        let Ok(index) = self.open_grants.binary_search_by_key(&id, |grant| grant.id) else {
            return 0;
        };
        let amount = self
            .open_grants
            .remove(index)
            .map_or(0, |grant| grant.amount);
        self.open_sum -= amount;
        amount
    }

    /// Milliseconds until a whole token has accrued.
    ///
    /// Open grants can keep the capacity below one token; the next token then
    /// becomes available only when one of them is closed or expires.
    fn millis_until_token(&self) -> u64 {
        let missing = MICROS_PER_TOKEN - self.level;
        missing.div_ceil(self.limit.rate.max(1))
    }

    fn refill(&mut self, now: ClockTime) {
        self.expire_grants(now);
        let accrued = now.since(self.refilled_at).saturating_mul(self.limit.rate);
        self.level = self.level.saturating_add(accrued).min(self.max_level());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn expire_grants(&mut self, now: ClockTime) {
        while let Some(grant) = self.open_grants.front().copied() {
            if grant.expires >= now {
                return;
            }
            self.open_grants.pop_front();
            self.open_sum -= grant.amount;
        }
    }

    /// Highest level that the burst and the open grants allow.
    fn max_level(&self) -> u64 {
        self.limit.burst.saturating_sub(self.open_sum)
    }

    fn check_invariant(&self) {
        breach::require(self.level <= self.max_level(), BreachKind::BucketOverCap);
    }
}
