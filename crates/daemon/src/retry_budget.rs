//! Budget that keeps retries under a tenth of the requests.

const RETRY_COST: u32 = 10;
const MAX_CREDIT: u32 = 100;

/// Budget that keeps retries under a tenth of the requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    credit: u32,
}

impl RetryBudget {
    /// Earns credit for one request.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + 1).min(MAX_CREDIT);
    }

    /// Spends the credit of one retry; whether there was enough.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.credit.checked_sub(RETRY_COST) else {
            return false;
        };
        self.credit = left;
        true
    }
}
