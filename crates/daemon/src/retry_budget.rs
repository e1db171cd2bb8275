//! Budget that limits retries to a tenth of the requests.

/// Credit that one retry costs; one request deposits 1.
const RETRY_COST: u32 = 10;
/// Upper bound of the credit, enough for 10 retries in a row.
const MAX_CREDIT: u32 = 100;

/// Credit that requests deposit and retries withdraw.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    credit: u32,
}

impl RetryBudget {
    /// Deposits the credit of one request.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + 1).min(MAX_CREDIT);
    }

    /// Withdraws the credit of one retry; returns whether there was enough.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.credit.checked_sub(RETRY_COST) else {
            return false;
        };
        self.credit = left;
        true
    }
}
