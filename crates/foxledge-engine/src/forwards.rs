//! Forwardings that wait for a home's acknowledgement, and homes passed over.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use foxledge_core::{names::InstanceName, time::ClockTime};
use foxledge_wire::flow::Packet;

/// `ForwardRoute` is why a packet goes to a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardRoute {
    /// Any home of the service will do.
    ByRank,
    /// Another data centre serves it, as this one's targets can't.
    OtherCentre,
    /// Only the process that issued the ticket will do.
    ByTicket {
        /// The home's peer address from the ticket.
        home_address: SocketAddr,
    },
}

/// `PendingForward` is a packet that a home hasn't acknowledged yet.
#[derive(Clone, Debug)]
pub struct PendingForward {
    /// The packet.
    pub packet: Packet,
    /// Where its caller is.
    pub caller: SocketAddr,
    /// Why it goes there.
    pub route: ForwardRoute,
    /// Instances tried so far; the last one is being waited for.
    pub tried_instances: Vec<InstanceName>,
    /// When the wait ends.
    pub ack_deadline: ClockTime,
    /// Forwardings so far on the packet's way.
    pub hops: u32,
}

/// `ForwardTable` is the forwardings that wait.
#[derive(Debug)]
pub struct ForwardTable {
    pending: HashMap<u64, PendingForward>,
    by_deadline: BTreeMap<(ClockTime, u64), ()>,
    last_id: u64,
    limit: usize,
}

impl ForwardTable {
    /// Makes an empty table of at most `limit` forwardings.
    pub fn new(limit: usize) -> ForwardTable {
        ForwardTable { pending: HashMap::new(), by_deadline: BTreeMap::new(), last_id: 0, limit }
    }

    /// Adds a forwarding and gives its id; a full table gives an id but doesn't wait.
    pub fn add(&mut self, forward: PendingForward) -> u64 {
        self.last_id += 1;
        if self.pending.len() < self.limit {
            self.by_deadline.insert((forward.ack_deadline, self.last_id), ());
            self.pending.insert(self.last_id, forward);
        }
        self.last_id
    }

    /// Takes out a forwarding that was acknowledged.
    pub fn acknowledge(&mut self, id: u64) -> Option<PendingForward> {
        let forward = self.pending.remove(&id)?;
        self.by_deadline.remove(&(forward.ack_deadline, id));
        Some(forward)
    }

    /// Takes out one forwarding whose wait has ended.
    pub fn pop_expired(&mut self, now: ClockTime) -> Option<PendingForward> {
        let (&(deadline, id), ()) = self.by_deadline.first_key_value()?;
        if !deadline.is_past(now) {
            return None;
        }
        self.by_deadline.pop_first();
        self.pending.remove(&id)
    }

    /// Forwardings that wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// `UnresponsiveHomes` is the homes that didn't acknowledge lately.
///
/// Membership takes seconds to find out that an instance died. Until then every
/// new request of its services would wait in vain; one would notice admission
/// that stops for seconds at each kill. An entry instance therefore passes over
/// a silent home for a while on its own observation alone.
#[derive(Debug, Default)]
pub struct UnresponsiveHomes {
    skipped_until: HashMap<InstanceName, ClockTime>,
}

impl UnresponsiveHomes {
    /// Notes that a home was silent.
    pub fn insert(&mut self, name: InstanceName, until: ClockTime) {
        self.skipped_until.insert(name, until);
    }

    /// Forgets that a home was silent, as it has been heard again.
    pub fn remove(&mut self, name: &InstanceName) {
        self.skipped_until.remove(name);
    }

    /// True while the home is passed over.
    pub fn contains(&self, name: &InstanceName, now: ClockTime) -> bool {
        self.skipped_until.get(name).is_some_and(|until| !until.is_past(now))
    }
}
