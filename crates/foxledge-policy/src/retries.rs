//! The retry budget.

/// `RetryBudget` is a token bucket that bounds retries to a share of dispatches.
///
/// Without it a service whose targets all shed gets each request several
/// times over, which keeps it overloaded after the cause has gone.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget of `share` retries per dispatch with `burst` saved up.
    pub fn new(share: f64, burst: f64) -> RetryBudget {
        RetryBudget { share, burst, tokens: burst }
    }

    /// Counts a first dispatch.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry out of the budget; false when there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
