//! The budget that limits retries.

/// A token bucket that limits retries to a fraction of the first dispatches.
///
/// Without it, a service whose targets all shed would get each request several times, which
/// keeps it overloaded after the cause has gone.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first dispatch, which holds `burst` retries at
    /// most and at first.
    pub fn new(ratio: f64, burst: f64) -> RetryBudget {
        RetryBudget { ratio, burst, tokens: burst }
    }

    /// Adds the retries that one first dispatch allows.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry out of the budget; returns false if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of retries left.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }
}
