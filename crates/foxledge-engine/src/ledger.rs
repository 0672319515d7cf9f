//! The home's record of requests, by which duplicates are recognised.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use foxledge_core::{lists::TargetSpec, time::ClockTime};
use foxledge_wire::flow::{Packet, Refusal};

/// Identifies a request. Callers choose the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The caller's id.
    pub caller: u64,
    /// The flow id.
    pub flow: u64,
    /// The number of the request within the flow.
    pub request: u64,
}

impl RequestKey {
    /// Returns the key of a packet's request.
    pub fn from_packet(packet: &Packet) -> RequestKey {
        RequestKey { caller: packet.caller, flow: packet.flow, request: packet.request }
    }
}

/// The state of a request at this home.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestState {
    /// Queued in a scheduler under this work id.
    Queued(u64),
    /// Sent to a backend server. Every duplicate is sent to the same one.
    Dispatched {
        /// The dispatch id, which is the same for every duplicate.
        dispatch: u64,
        /// The backend server.
        target: Arc<TargetSpec>,
    },
    /// Refused. Every duplicate gets the same refusal.
    Refused(Refusal),
}

/// The requests that this process knows, up to a fixed number.
///
/// Invariant: a request is never removed before its ticket has expired. Otherwise a late duplicate
/// would count as a new request and run a second time, for example as a doubled bid. A full ledger
/// therefore refuses new requests and evicts none.
#[derive(Debug)]
pub struct RequestLedger {
    entries: HashMap<RequestKey, LedgerEntry>,
    by_expiry: BTreeSet<(ClockTime, RequestKey)>,
    /// The number of requests opened under each ticket, by the ticket's serial.
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
    /// Creates an empty ledger for at most `limit` requests.
    pub fn new(limit: usize) -> RequestLedger {
        RequestLedger {
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            ticket_uses: HashMap::new(),
            ticket_uses_by_expiry: BTreeSet::new(),
            limit,
        }
    }

    /// Returns the state of a request, or none if it is unknown.
    pub fn find(&self, key: &RequestKey) -> Option<&RequestState> {
        self.entries.get(key).map(|entry| &entry.state)
    }

    /// Returns true when the ledger can't hold another request.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.limit
    }

    /// Returns the number of known requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when no request is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the state of a request and keeps it at least until `expires_at`. A later expiry that
    /// was set before stays.
    pub fn record(&mut self, key: RequestKey, state: RequestState, expires_at: ClockTime) {
        let latest =
            self.entries.get(&key).map_or(expires_at, |old| old.expires_at.max(expires_at));
        if let Some(old) = self.entries.insert(key, LedgerEntry { state, expires_at: latest }) {
            self.by_expiry.remove(&(old.expires_at, key));
        }
        self.by_expiry.insert((latest, key));
    }

    /// Counts a request under a ticket. Returns false if `count` requests have used the ticket
    /// already.
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

    /// Removes requests and ticket uses that have expired.
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
