//! The ration of reads over all readers.

use foxledge_core::time::ClockTime;

/// Reads that may come at once, as a share of a second's ration.
const BURST_SHARE: f64 = 0.1;

/// `ReadRation` is a token bucket: one token a read.
#[derive(Debug)]
pub struct ReadRation {
    per_second: f64,
    tokens: f64,
    filled_at: ClockTime,
}

impl ReadRation {
    /// Makes a full bucket.
    pub fn new(per_second: u32) -> ReadRation {
        let per_second = f64::from(per_second);
        ReadRation { per_second, tokens: burst_of(per_second), filled_at: ClockTime::ZERO }
    }

    /// Takes a token; false when the ration is used up.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let gained = now.since(self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(burst_of(self.per_second));
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn burst_of(per_second: f64) -> f64 {
    (per_second * BURST_SHARE).max(1.0)
}
