//! The ticket that a flow holds.

use foxledge_core::time::ClockTime;

use super::pace::SendPace;

/// Requests that a renewed ticket is taken to admit until a grant says how many.
const USUAL_COUNT: u32 = 64;

/// `TicketHolder` holds a flow's present ticket and asks for the next.
#[derive(Default)]
pub struct TicketHolder {
    held: Option<HeldTicket>,
    asking: Option<SendPace>,
    lifetime_ms: u64,
    count: u32,
}

struct HeldTicket {
    bytes: Vec<u8>,
    use_by: ClockTime,
    left: u32,
}

impl TicketHolder {
    /// Takes one request's worth of the ticket; `None` when a new one has to be asked for.
    pub fn take(&mut self, now: ClockTime) -> Option<Vec<u8>> {
        let held = self.held.as_mut()?;
        if held.left == 0 || held.use_by.is_past(now) {
            self.held = None;
            return None;
        }
        held.left -= 1;
        Some(held.bytes.clone())
    }

    /// Takes in a grant.
    pub fn grant(&mut self, now: ClockTime, bytes: &[u8], time_left_ms: u32, count: u32) {
        self.asking = None;
        self.lifetime_ms = u64::from(time_left_ms);
        self.count = count.max(1);
        self.hold(now, bytes, self.lifetime_ms);
    }

    /// Takes in the ticket that an answer carried.
    pub fn renew(&mut self, now: ClockTime, bytes: &[u8], time_left_ms: u32) {
        let millis = if time_left_ms == 0 { self.lifetime_ms } else { u64::from(time_left_ms) };
        if self.count == 0 {
            self.count = USUAL_COUNT;
        }
        self.hold(now, bytes, millis);
    }

    /// Half the time is left for the way to the home and the wait in its queue: the deadline is
    /// for starting the work, and a request that comes too late is refused.
    fn hold(&mut self, now: ClockTime, bytes: &[u8], millis: u64) {
        let use_by = now.after_millis(millis / 2);
        self.held = Some(HeldTicket { bytes: bytes.to_vec(), use_by, left: self.count });
    }

    /// Forgets the ticket when it is the refused one.
    pub fn discard(&mut self, bytes: &[u8]) {
        if self.held.as_ref().is_some_and(|held| held.bytes == bytes) {
            self.held = None;
        }
    }

    /// Starts to ask unless that is going on; true when it starts.
    pub fn start_asking(&mut self, now: ClockTime) -> bool {
        if self.asking.is_some() {
            return false;
        }
        self.asking = Some(SendPace::first(now));
        true
    }

    /// Stops asking.
    pub fn stop_asking(&mut self) {
        self.asking = None;
    }

    /// True when the request for a ticket is due again.
    pub fn is_due(&mut self, now: ClockTime) -> bool {
        self.asking.as_mut().is_some_and(|pace| pace.is_due(now))
    }

    /// When it is due.
    pub fn next_wake(&self) -> Option<ClockTime> {
        self.asking.as_ref().map(SendPace::next)
    }
}
