//! Tracks forwards that wait for an acknowledgement, and unresponsive homes.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use foxledge_core::{names::InstanceName, time::ClockTime};
use foxledge_wire::flow::Packet;

/// The reason why a packet is forwarded to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardRoute {
    /// The packet may be handled by any home candidate of the service, in the order of their ranks.
    ByRank,
    /// The packet needs a backend server in another data centre, as the local ones can't serve it.
    OtherCentre,
    /// The packet has to reach the process that issued its ticket.
    ByTicket {
        /// The peer address of the home, from the ticket.
        home_address: SocketAddr,
    },
}

/// A forwarded packet that hasn't been acknowledged yet.
#[derive(Clone, Debug)]
pub struct PendingForward {
    /// The forwarded packet.
    pub packet: Packet,
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The reason for forwarding.
    pub route: ForwardRoute,
    /// The instances tried so far. The last one is expected to acknowledge.
    pub tried_instances: Vec<InstanceName>,
    /// The time at which the acknowledgement is overdue.
    pub ack_deadline: ClockTime,
    /// The number of times the packet had been forwarded when it arrived at this instance.
    pub hops: u32,
}

/// The forwards that wait for an acknowledgement.
#[derive(Debug)]
pub struct ForwardTable {
    pending: HashMap<u64, PendingForward>,
    by_deadline: BTreeMap<(ClockTime, u64), ()>,
    last_id: u64,
    limit: usize,
}

impl ForwardTable {
    /// Creates an empty table for at most `limit` forwards.
    pub fn new(limit: usize) -> ForwardTable {
        ForwardTable { pending: HashMap::new(), by_deadline: BTreeMap::new(), last_id: 0, limit }
    }

    /// Adds a forward and returns its id. A full table returns an id but doesn't track the forward.
    pub fn add(&mut self, forward: PendingForward) -> u64 {
        self.last_id += 1;
        if self.pending.len() < self.limit {
            self.by_deadline.insert((forward.ack_deadline, self.last_id), ());
            self.pending.insert(self.last_id, forward);
        }
        self.last_id
    }

    /// Removes a forward that was acknowledged.
    pub fn acknowledge(&mut self, id: u64) -> Option<PendingForward> {
        let forward = self.pending.remove(&id)?;
        self.by_deadline.remove(&(forward.ack_deadline, id));
        Some(forward)
    }

    /// Removes and returns one forward whose acknowledgement is overdue.
    pub fn pop_expired(&mut self, now: ClockTime) -> Option<PendingForward> {
        let (&(deadline, id), ()) = self.by_deadline.first_key_value()?;
        if !deadline.is_past(now) {
            return None;
        }
        self.by_deadline.pop_first();
        self.pending.remove(&id)
    }

    /// Returns the number of pending forwards.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns true when no forward is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// The homes that recently didn't acknowledge a forward.
///
/// Membership takes seconds to detect that an instance has died. Until then every new request of
/// its services would wait for a timeout, so each kill of an instance would stop admission for
/// seconds. An entry instance therefore skips an unresponsive home for a while on its own
/// observation alone.
#[derive(Debug, Default)]
pub struct UnresponsiveHomes {
    skipped_until: HashMap<InstanceName, ClockTime>,
}

impl UnresponsiveHomes {
    /// Skips a home until the given time.
    pub fn insert(&mut self, name: InstanceName, until: ClockTime) {
        self.skipped_until.insert(name, until);
    }

    /// Stops skipping a home that has acknowledged a forward.
    pub fn remove(&mut self, name: &InstanceName) {
        self.skipped_until.remove(name);
    }

    /// Returns true while the home is skipped.
    pub fn contains(&self, name: &InstanceName, now: ClockTime) -> bool {
        self.skipped_until.get(name).is_some_and(|until| !until.is_past(now))
    }
}
