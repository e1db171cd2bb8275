//! Token bucket of one share.
//!
//! The bucket never allows more than `burst + rate * t` in any window `t`. A
//! granted token may be spent until it is settled, returned or expired, so it
//! counts against the cap until then: level plus granted tokens never exceeds
//! the burst. Settling early matters: a grant that counted for its whole life
//! would limit a share to its burst in each such life, whatever its rate. A
//! bucket starts empty.
//!
//! Amounts are millionths of a token, so that a rate of whole or thousandth
//! tokens a second accrues without rounding in each millisecond.

use std::collections::VecDeque;

use crate::ClockTime;
use crate::ShareLimit;
use crate::breach;
use crate::breach::BreachKind;

/// Millionths in one token.
pub const TOKEN_MICROS: u64 = 1_000_000;

/// Number of a granted token, unique within its bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenGrant {
    id: GrantId,
    expires: ClockTime,
    amount: u64,
}

/// Token bucket of one share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    limit: ShareLimit,
    level: u64,
    refilled_at: ClockTime,
    open: VecDeque<OpenGrant>,
    open_sum: u64,
    next_grant: u64,
}

impl TokenBucket {
    /// Empty bucket that accrues from `since` on.
    pub fn new(limit: ShareLimit, since: ClockTime) -> Self {
        TokenBucket {
            limit,
            level: 0,
            refilled_at: since,
            open: VecDeque::new(),
            open_sum: 0,
            next_grant: 0,
        }
    }

    /// Bucket handed over at `now` with `level` millionths and `open` more that may be spent until `expires`.
    pub fn resume(now: ClockTime, level: u64, open: u64, expires: ClockTime) -> Self {
        let limit = ShareLimit {
            rate: 0,
            burst: level + open,
        };
        let mut bucket = TokenBucket::new(limit, now);
        bucket.level = level;
        bucket.open_grant(open, expires);
        bucket
    }

    /// Grants one token, which may be spent until `expires`.
    ///
    /// Fails with the milliseconds until a token accrues.
    pub fn grant(&mut self, now: ClockTime, expires: ClockTime) -> Result<GrantId, u64> {
        self.refill(now);
        if self.level < TOKEN_MICROS {
            return Err(self.wait_for_token());
        }
        self.level -= TOKEN_MICROS;
        let id = self.open_grant(TOKEN_MICROS, expires);
        self.verify();
        Ok(id)
    }

    /// Notes that the token of `id` was spent and will not be spent again.
    pub fn settle(&mut self, id: GrantId, now: ClockTime) {
        self.refill(now);
        self.close_grant(id);
    }

    /// Takes back the token of `id`, which was not spent.
    pub fn take_back(&mut self, id: GrantId, now: ClockTime) {
        self.refill(now);
        let amount = self.close_grant(id);
        self.level = (self.level + amount).min(self.cap());
        self.verify();
    }

    /// Applies a changed limit from `now` on.
    pub fn change_limit(&mut self, limit: ShareLimit, now: ClockTime) {
        if limit == self.limit {
            return;
        }
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(self.cap());
    }

    /// Level and open grants in millionths, for a hand-over.
    pub fn amounts(&mut self, now: ClockTime) -> (u64, u64) {
        self.refill(now);
        (self.level, self.open_sum)
    }

    fn open_grant(&mut self, amount: u64, expires: ClockTime) -> GrantId {
        let id = GrantId(self.next_grant);
        self.next_grant += 1;
        self.open.push_back(OpenGrant {
            id,
            expires,
            amount,
        });
        self.open_sum += amount;
        id
    }

    /// Closes the grant of `id`; its amount, zero if it was closed or has expired.
    fn close_grant(&mut self, id: GrantId) -> u64 {
        let Ok(index) = self.open.binary_search_by_key(&id, |grant| grant.id) else {
            return 0;
        };
        let amount = self.open.remove(index).map_or(0, |grant| grant.amount);
        self.open_sum -= amount;
        amount
    }

    /// Milliseconds until a token can be granted.
    ///
    /// While open grants hold the cap under one token, only their end helps.
    fn wait_for_token(&self) -> u64 {
        let missing = TOKEN_MICROS - self.level;
        missing.div_ceil(self.limit.rate.max(1))
    }

    fn refill(&mut self, now: ClockTime) {
        self.expire_grants(now);
        let accrued = now.since(self.refilled_at).saturating_mul(self.limit.rate);
        self.level = self.level.saturating_add(accrued).min(self.cap());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn expire_grants(&mut self, now: ClockTime) {
        while let Some(grant) = self.open.front().copied() {
            if grant.expires >= now {
                return;
            }
            self.open.pop_front();
            self.open_sum -= grant.amount;
        }
    }

    fn cap(&self) -> u64 {
        self.limit.burst.saturating_sub(self.open_sum)
    }

    fn verify(&self) {
        breach::require(self.level <= self.cap(), BreachKind::BucketOverCap);
    }
}
