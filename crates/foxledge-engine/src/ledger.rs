//! The home's memory of requests: what makes a copy run nothing.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use foxledge_core::{lists::TargetSpec, time::ClockTime};
use foxledge_wire::flow::{Packet, Refusal};

/// `RequestKey` is which request: callers choose the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The caller.
    pub caller: u64,
    /// The flow.
    pub flow: u64,
    /// Number of the request within the flow.
    pub request: u64,
}

impl RequestKey {
    /// The key of a packet's request.
    pub fn from_packet(packet: &Packet) -> RequestKey {
        RequestKey { caller: packet.caller, flow: packet.flow, request: packet.request }
    }
}

/// `RequestState` is what became of a request at this home.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestState {
    /// Waits in a desk's queue under this work id.
    Queued(u64),
    /// Was sent to a backend server; every copy goes to the same one.
    Dispatched {
        /// The dispatch that a copy repeats.
        dispatch: u64,
        /// The backend server.
        target: Arc<TargetSpec>,
    },
    /// Was refused for good; every copy gets the same refusal.
    Refused(Refusal),
}

/// `RequestLedger` is the requests that this process knows.
///
/// Invariant: a request whose ticket hasn't run out is never forgotten. If it
/// were, a late copy would be taken for a new request and run a second time;
/// one would notice a doubled bid. Therefore a full ledger refuses new
/// requests and evicts none.
#[derive(Debug)]
pub struct RequestLedger {
    entries: HashMap<RequestKey, LedgerEntry>,
    by_expiry: BTreeSet<(ClockTime, RequestKey)>,
    /// Requests opened under each ticket, by its serial.
    ticket_uses: HashMap<u64, u32>,
    ticket_uses_by_expiry: BTreeSet<(ClockTime, u64)>,
    limit: usize,
}

#[derive(Debug)]
struct LedgerEntry {
    state: RequestState,
    expires_at: ClockTime,
}

impl RequestLedger {
    /// Makes an empty ledger of at most `limit` requests.
    pub fn new(limit: usize) -> RequestLedger {
        RequestLedger {
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            ticket_uses: HashMap::new(),
            ticket_uses_by_expiry: BTreeSet::new(),
            limit,
        }
    }

    /// What became of the request, if it is known.
    pub fn find(&self, key: &RequestKey) -> Option<&RequestState> {
        self.entries.get(key).map(|entry| &entry.state)
    }

    /// True when no further request fits.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Requests known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no request is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the state of a request, to be forgotten at `forget_at` at the earliest.
    pub fn record(&mut self, key: RequestKey, state: RequestState, expires_at: ClockTime) {
        let later = self.entries.get(&key).map_or(expires_at, |old| old.expires_at.max(expires_at));
        if let Some(old) = self.entries.insert(key, LedgerEntry { state, expires_at: later }) {
            self.by_expiry.remove(&(old.expires_at, key));
        }
        self.by_expiry.insert((later, key));
    }

    /// Counts one more request under a ticket; false when the ticket is used up.
    pub fn count_ticket_use(&mut self, serial: u64, count: u32, expires_at: ClockTime) -> bool {
        let used = self.ticket_uses.entry(serial).or_insert_with(|| {
            self.ticket_uses_by_expiry.insert((expires_at, serial));
            0
        });
        if *used >= count {
            return false;
        }
        *used += 1;
        true
    }

    /// Forgets what has passed its deadline.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.remove_expired_uses(now);
        while let Some(&(expires_at, key)) = self.by_expiry.first() {
            if !expires_at.is_past(now) {
                return;
            }
            self.by_expiry.pop_first();
            self.entries.remove(&key);
        }
    }

    fn remove_expired_uses(&mut self, now: ClockTime) {
        while let Some(&(expires_at, serial)) = self.ticket_uses_by_expiry.first() {
            if !expires_at.is_past(now) {
                return;
            }
            self.ticket_uses_by_expiry.pop_first();
            self.ticket_uses.remove(&serial);
        }
    }
}
