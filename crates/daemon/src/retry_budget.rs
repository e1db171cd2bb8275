//! Budget that keeps retries under a tenth of the requests.

const COST_OF_RETRY: u32 = 10;
const MAX_CREDIT: u32 = 100;

/// Budget that keeps retries under a tenth of the requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    credit: u32,
}

impl RetryBudget {
    /// Earns credit for one request.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(MAX_CREDIT);
    }

    /// Spends the credit of one retry; whether there was enough.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.credit.checked_sub(COST_OF_RETRY) else {
            return false;
        };
        self.credit = left;
        true
    }
}
