//! Back-off of resends.

use foxledge_core::time::ClockTime;

const FIRST_WAIT_MS: u64 = 200;
/// A dead instance swallows what the fabric hands it, one packet in three of
/// three instances: a longer wait would let short deadlines pass unheard.
const LONGEST_WAIT_MS: u64 = 400;

/// `SendPace` says when a datagram that found no answer is sent again: the wait doubles.
#[derive(Clone, Debug)]
pub struct SendPace {
    next: ClockTime,
    wait_ms: u64,
    sent: u32,
}

impl SendPace {
    /// The pace of what was sent for the first time at `now`.
    pub fn first(now: ClockTime) -> SendPace {
        SendPace { next: now.after_millis(FIRST_WAIT_MS), wait_ms: FIRST_WAIT_MS, sent: 0 }
    }

    /// True when it is due; the next time then lies further ahead.
    pub fn is_due(&mut self, now: ClockTime) -> bool {
        if !self.next.is_past(now) {
            return false;
        }
        self.wait_ms = (self.wait_ms * 2).min(LONGEST_WAIT_MS);
        self.next = now.after_millis(self.wait_ms);
        self.sent += 1;
        true
    }

    /// Makes it due now.
    pub fn hurry(&mut self, now: ClockTime) {
        self.next = now;
    }

    /// When it is due.
    pub fn next(&self) -> ClockTime {
        self.next
    }

    /// Resends so far.
    pub fn resends(&self) -> u32 {
        self.sent
    }
}
