//! Table of the known instances.
//!
//! In a large fleet the table holds a part of it: all or most instances of the same data centre,
//! and some of each other one. Additions and evictions are not reported as events; starts, stops
//! and deaths of instances are.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
};

use foxledge_core::time::ClockTime;

use crate::messages::PeerDescriptor;

/// Time without contact after which an instance of the same data centre is quiet and is probed, in
/// milliseconds: five heartbeats.
const QUIET_TIMEOUT_MS: u64 = 5_000;
/// Time without contact after which an instance of another data centre is quiet and is removed, in
/// milliseconds. Where 50 instances share the updates from there, each receives them directly once
/// in some 8 s.
const REMOTE_QUIET_TIMEOUT_MS: u64 = 15_000;
/// Time without contact after which an instance no longer counts as live, in milliseconds.
const LIVE_WINDOW_MS: u64 = 2_500;
/// Number of unanswered probes after which an instance of the same data centre counts as lost. With
/// two, a packet loss of one in ten would make one quiet instance in thirty count as lost.
const MAX_UNANSWERED_PROBES: u32 = 3;
/// Maximum number of known instances of the same data centre. Gossip only needs the known instances
/// of all to form one connected graph, for which some dozen edges suffice at any size.
const MAX_SAME_CENTRE_PEERS: usize = 64;
/// Maximum number of known instances of each other data centre.
const MAX_REMOTE_PEERS_PER_CENTRE: usize = 8;
/// Time, in milliseconds, for which an instance of the same data centre counts as a neighbour after
/// it was last heard from. An instance that is cut off from the others for less keeps all of them.
const NEIGHBOUR_TTL_MS: u64 = 60_000;
/// Maximum number of remembered incarnations and neighbours, at some 20 bytes each: more than a
/// data centre of the largest deployment has instances.
const MAX_REMEMBERED_INSTANCES: usize = 2_000;

/// `PeerRecord` holds what is known about another instance.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub descriptor: PeerDescriptor,
    /// Time without contact after which it is quiet, in milliseconds.
    quiet_timeout_ms: u64,
    /// Time at which any instance last heard from it.
    pub last_heard_at: ClockTime,
    /// Revision up to which it knew the list then.
    pub head: u64,
    /// Number of probes sent since it was last heard from.
    pub unanswered_probes: u32,
    /// Time at which the latest probe counts as unanswered.
    pub probe_expires_at: ClockTime,
}

impl PeerRecord {
    fn new(
        local_centre: &str,
        descriptor: &PeerDescriptor,
        last_heard_at: ClockTime,
        head: u64,
    ) -> PeerRecord {
        let quiet_timeout_ms = if descriptor.data_centre == local_centre {
            QUIET_TIMEOUT_MS
        } else {
            REMOTE_QUIET_TIMEOUT_MS
        };
        let probe_expires_at = ClockTime::ZERO;
        PeerRecord {
            descriptor: descriptor.clone(),
            quiet_timeout_ms,
            last_heard_at,
            head,
            unanswered_probes: 0,
            probe_expires_at,
        }
    }

    /// Returns true if it has not been heard from for longer than its timeout.
    pub fn is_quiet(&self, now: ClockTime) -> bool {
        self.last_heard_at.after_millis(self.quiet_timeout_ms).is_past(now)
    }

    fn is_lost(&self, now: ClockTime) -> bool {
        self.is_quiet(now)
            && self.unanswered_probes >= MAX_UNANSWERED_PROBES
            && self.probe_expires_at.is_past(now)
    }
}

/// `PeerChange` is what a contact with an instance changed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// Nothing that is worth an event.
    Unchanged,
    /// An instance of the same data centre was heard from for the first time since its start.
    Joined,
    /// An instance announced that it stops.
    Left,
    /// Another data centre is heard from, again or for the first time.
    CentreReachable,
}

/// `PeerLoss` is an instance or data centre that no longer responds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerLoss {
    /// An instance of the same data centre doesn't respond to probes.
    Peer {
        /// Its address for messages.
        address: SocketAddrV4,
        /// Time since any instance last heard from it, in milliseconds.
        age_ms: u64,
    },
    /// No instance of another data centre is heard from.
    Centre {
        /// Name of the data centre.
        data_centre: String,
        /// Time since the last contact with it, in milliseconds.
        age_ms: u64,
    },
}

/// `PeerTable` holds the known instances: all of a small fleet, a random part of a large one.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// Data centre of this instance.
    pub(crate) local_centre: String,
    pub(crate) records: HashMap<SocketAddrV4, PeerRecord>,
    /// Incarnations of the same data centre for which a start was reported.
    joined_incarnations: HashMap<SocketAddrV4, u64>,
    /// Incarnations that announced their stop, so that older contacts don't add them again.
    stopped_incarnations: HashMap<SocketAddrV4, u64>,
    /// Time of the last contact with each instance of the same data centre, including those that
    /// were evicted from a full table or stopped responding.
    neighbours: HashMap<SocketAddrV4, ClockTime>,
    /// Other data centres that are heard from.
    remote_centres: BTreeSet<String>,
}

impl PeerTable {
    /// Creates the empty table of an instance in data centre `local_centre`.
    pub fn new(local_centre: &str) -> PeerTable {
        PeerTable { local_centre: local_centre.to_owned(), ..PeerTable::default() }
    }

    /// Records that an instance was heard from at `heard_at`; returns what that changed.
    pub fn record_contact(
        &mut self,
        descriptor: &PeerDescriptor,
        heard_at: ClockTime,
        head: u64,
    ) -> PeerChange {
        let Some(address) = descriptor.address() else { return PeerChange::Unchanged };
        if self.stopped_incarnations.get(&address) == Some(&descriptor.incarnation) {
            return PeerChange::Unchanged;
        }
        if descriptor.is_leaving {
            remember_incarnation(&mut self.stopped_incarnations, address, descriptor.incarnation);
            self.joined_incarnations.remove(&address);
            let known = self.records.remove(&address);
            return if known.is_some() { PeerChange::Left } else { PeerChange::Unchanged };
        }
        let is_newer = match self.records.get(&address) {
            Some(record) => heard_at > record.last_heard_at,
            None => self.evict_for(descriptor, heard_at),
        };
        if !is_newer {
            return PeerChange::Unchanged;
        }
        if descriptor.data_centre == self.local_centre {
            self.record_neighbour(address, heard_at);
        }
        self.records
            .insert(address, PeerRecord::new(&self.local_centre, descriptor, heard_at, head));
        self.record_presence(address, descriptor)
    }

    /// Records a contact in the sets of known incarnations and data centres; returns what it
    /// changed.
    fn record_presence(
        &mut self,
        address: SocketAddrV4,
        descriptor: &PeerDescriptor,
    ) -> PeerChange {
        if descriptor.data_centre != self.local_centre {
            let is_new = !self.remote_centres.contains(&descriptor.data_centre);
            if is_new {
                self.remote_centres.insert(descriptor.data_centre.clone());
            }
            return if is_new { PeerChange::CentreReachable } else { PeerChange::Unchanged };
        }
        let known_incarnation =
            remember_incarnation(&mut self.joined_incarnations, address, descriptor.incarnation);
        if known_incarnation == Some(descriptor.incarnation) {
            PeerChange::Unchanged
        } else {
            PeerChange::Joined
        }
    }

    /// Removes the instances that no longer respond; returns the losses to report.
    pub fn remove_lost(&mut self, now: ClockTime) -> Vec<PeerLoss> {
        let mut losses = self.remove_lost_same_centre(now);
        losses.extend(self.remove_quiet_remote(now));
        losses
    }

    fn remove_lost_same_centre(&mut self, now: ClockTime) -> Vec<PeerLoss> {
        let (local_centre, joined_incarnations, mut losses) =
            (&self.local_centre, &mut self.joined_incarnations, Vec::new());
        self.records.retain(|address, record| {
            let is_lost = record.descriptor.data_centre == *local_centre && record.is_lost(now);
            if is_lost {
                joined_incarnations.remove(address);
                let age_ms = now.since(record.last_heard_at).as_millis() as u64;
                losses.push(PeerLoss::Peer { address: *address, age_ms });
            }
            !is_lost
        });
        losses
    }

    /// Removes quiet instances of other data centres, except for the most recently heard one of
    /// each, through which contact is restored once a network partition is over.
    fn remove_quiet_remote(&mut self, now: ClockTime) -> Vec<PeerLoss> {
        let latest: BTreeMap<String, ClockTime> = self
            .latest_remote()
            .into_values()
            .map(|record| (record.descriptor.data_centre.clone(), record.last_heard_at))
            .collect();
        let local_centre = &self.local_centre;
        self.records.retain(|_, record| {
            let centre = &record.descriptor.data_centre;
            centre == local_centre
                || !record.is_quiet(now)
                || latest.get(centre) == Some(&record.last_heard_at)
        });
        let is_quiet = |at: ClockTime| at.after_millis(REMOTE_QUIET_TIMEOUT_MS).is_past(now);
        let mut losses = Vec::new();
        for (data_centre, at) in latest.into_iter().filter(|(_, at)| is_quiet(*at)) {
            if self.remote_centres.remove(&data_centre) {
                let age_ms = now.since(at).as_millis() as u64;
                losses.push(PeerLoss::Centre { data_centre, age_ms });
            }
        }
        losses
    }

    /// Returns the most recently heard instance of each other data centre.
    pub(crate) fn latest_remote(&self) -> BTreeMap<&str, &PeerRecord> {
        let mut latest: BTreeMap<&str, &PeerRecord> = BTreeMap::new();
        for record in self
            .records
            .values()
            .filter(|record| record.descriptor.data_centre != self.local_centre)
        {
            let known = latest.entry(record.descriptor.data_centre.as_str()).or_insert(record);
            // A tie is broken by address, so that the result doesn't depend on the order of the
            // map.
            if (record.last_heard_at, record.descriptor.ip)
                > (known.last_heard_at, known.descriptor.ip)
            {
                *known = record;
            }
        }
        latest
    }

    /// Returns the instances of the same data centre that were heard from within the last minute,
    /// by address.
    pub fn neighbours(&mut self, now: ClockTime) -> Vec<SocketAddrV4> {
        self.neighbours.retain(|_, heard_at| !heard_at.after_millis(NEIGHBOUR_TTL_MS).is_past(now));
        let mut addresses: Vec<_> = self.neighbours.keys().copied().collect();
        addresses.sort_unstable();
        addresses
    }

    fn record_neighbour(&mut self, address: SocketAddrV4, heard_at: ClockTime) {
        if self.neighbours.len() >= MAX_REMEMBERED_INSTANCES
            && !self.neighbours.contains_key(&address)
        {
            return;
        }
        let known = self.neighbours.entry(address).or_insert(heard_at);
        *known = heard_at.max(*known);
    }

    /// Returns the number of known instances.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of known instances of the same data centre that aren't quiet.
    pub fn count_same_centre(&self, now: ClockTime) -> usize {
        self.responsive_same_centre(now).count()
    }

    /// Returns the number of other instances of the same data centre: those known and not lost, or,
    /// if the table holds only a part of them, those heard from within the last minute.
    pub fn same_centre_size(&self, now: ClockTime) -> usize {
        let peers = self
            .records
            .values()
            .filter(|record| record.descriptor.data_centre == self.local_centre);
        let count = peers.count();
        if count < MAX_SAME_CENTRE_PEERS {
            return count;
        }
        let is_recent = |at: &&ClockTime| !at.after_millis(NEIGHBOUR_TTL_MS).is_past(now);
        self.neighbours.values().filter(is_recent).count()
    }

    /// Returns the other data centres that are heard from.
    pub fn remote_centres(&self) -> impl Iterator<Item = &str> {
        self.remote_centres.iter().map(String::as_str)
    }

    /// Returns true if another data centre is heard from.
    pub fn has_centre(&self, data_centre: &str) -> bool {
        self.remote_centres.contains(data_centre)
    }

    /// Returns true if the incarnation of an instance, of which the low half is given, announced
    /// that it stops.
    pub fn has_left(&self, address: &SocketAddrV4, incarnation: u32) -> bool {
        self.stopped_incarnations.get(address).is_some_and(|stopped| *stopped as u32 == incarnation)
    }

    /// Returns true if an instance is known to be in another data centre.
    pub fn is_remote(&self, address: &SocketAddrV4) -> bool {
        self.records
            .get(address)
            .is_some_and(|record| record.descriptor.data_centre != self.local_centre)
    }

    /// Returns the estimated number of all other instances. Data centres are assumed to be of equal
    /// size.
    pub fn estimated_fleet_size(&self) -> usize {
        let remote_centres = self.latest_remote().len();
        let is_same_centre =
            |record: &&PeerRecord| record.descriptor.data_centre == self.local_centre;
        let same_centre_peers = self.records.values().filter(is_same_centre).count();
        self.len().max(same_centre_peers + remote_centres * (same_centre_peers + 1))
    }

    /// Returns true if an instance is known to be in the same data centre.
    pub fn is_same_centre(&self, address: &SocketAddrV4) -> bool {
        self.records
            .get(address)
            .is_some_and(|record| record.descriptor.data_centre == self.local_centre)
    }

    /// Returns true unless an instance was last heard from with a list no newer than `head`.
    pub fn may_have_newer_list(&self, address: &SocketAddrV4, head: u64) -> bool {
        self.records.get(address).is_none_or(|record| record.head > head)
    }

    /// Returns the addresses of all known instances.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        let mut addresses: Vec<_> = self.records.keys().copied().collect();
        addresses.sort_unstable();
        addresses
    }

    /// Returns the instances that were heard from within [`LIVE_WINDOW_MS`].
    pub fn live_peers(&self, now: ClockTime) -> impl Iterator<Item = &PeerDescriptor> {
        let is_live = move |record: &&PeerRecord| {
            !record.last_heard_at.after_millis(LIVE_WINDOW_MS).is_past(now)
        };
        self.records.values().filter(is_live).map(|record| &record.descriptor)
    }

    pub(crate) fn responsive_same_centre(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = &PeerRecord> {
        let peers = self
            .records
            .values()
            .filter(|record| record.descriptor.data_centre == self.local_centre);
        peers.filter(move |record| !record.is_quiet(now))
    }

    /// Makes room for an instance: if the table holds the maximum for its data centre, evicts the
    /// instance of that data centre that was heard from least recently. Returns false if all of
    /// them were heard from at `heard_at` or later.
    fn evict_for(&mut self, descriptor: &PeerDescriptor, heard_at: ClockTime) -> bool {
        let centre = descriptor.data_centre.as_str();
        let limit = if centre == self.local_centre {
            MAX_SAME_CENTRE_PEERS
        } else {
            MAX_REMOTE_PEERS_PER_CENTRE
        };
        let same_centre_records =
            self.records.iter().filter(|(_, record)| record.descriptor.data_centre == centre);
        if same_centre_records.clone().count() < limit {
            return true;
        }
        // Evicting the least recently heard instance keeps changing which instances each table
        // holds.
        let oldest =
            same_centre_records.min_by_key(|(address, record)| (record.last_heard_at, **address));
        let Some((address, record)) = oldest else { return true };
        if record.last_heard_at >= heard_at {
            return false;
        }
        let address = *address;
        self.records.remove(&address);
        true
    }
}

/// Remembers an incarnation; returns the one that was remembered for that address.
fn remember_incarnation(
    incarnations: &mut HashMap<SocketAddrV4, u64>,
    address: SocketAddrV4,
    incarnation: u64,
) -> Option<u64> {
    if incarnations.len() >= MAX_REMEMBERED_INSTANCES && !incarnations.contains_key(&address) {
        incarnations.clear();
    }
    incarnations.insert(address, incarnation)
}
