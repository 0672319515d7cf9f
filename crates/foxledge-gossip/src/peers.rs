//! The instances that this one knows.
//!
//! Of a large fleet that is a part: all or most of the own data centre, some of each other
//! one. Which part it happens to be is no news; that an instance starts, stops or is dead is.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
};

use foxledge_core::time::ClockTime;

use crate::messages::PeerDescriptor;

/// Silence after which an instance of the own data centre is asked for a sign of life, in
/// milliseconds: five heartbeats.
const QUIET_MS: u64 = 5_000;
/// Silence after which one of another data centre is forgotten, in milliseconds. Of 50
/// instances that share the news from there, each hears it at first hand once in some 8 s.
const FAR_QUIET_MS: u64 = 15_000;
/// Silence after which an instance isn't counted on, in milliseconds.
const STALE_MS: u64 = 2_500;
/// Questions without an answer after which an instance of the own data centre is lost. Where
/// one packet in ten is lost, two and their answers are lost for one in thirty.
const LOST_ASKS: u32 = 3;
/// Most instances known of the own data centre. An epidemic needs only that the
/// views of all make one connected graph, for which some dozen edges do at any size.
const MOST_NEAR: usize = 64;
/// Most instances known of each other data centre.
const MOST_FAR: usize = 8;
/// How long an instance of the own data centre counts as a neighbour after it was last heard of,
/// in milliseconds. Who is cut off from the others for less keeps them all.
const NEIGHBOUR_MS: u64 = 60_000;
/// Most starts and stops that are remembered, at some 20 bytes each: more than a data centre
/// of the largest deployment has instances.
const MOST_REMEMBERED: usize = 2_000;

/// `PeerRecord` is what is known of another instance.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub descriptor: PeerDescriptor,
    /// Silence in milliseconds after which it is quiet.
    quiet_ms: u64,
    /// When somebody last heard from it.
    pub last_heard_at: ClockTime,
    /// Revision up to which it knew the list.
    pub head: u64,
    /// Questions since it was last heard of.
    pub asks: u32,
    /// When the last of them counts as unanswered.
    pub answer_by: ClockTime,
}

impl PeerRecord {
    fn new(near: &str, card: &PeerDescriptor, heard_at: ClockTime, head: u64) -> PeerRecord {
        let quiet_ms = if card.data_centre == near { QUIET_MS } else { FAR_QUIET_MS };
        let answer_by = ClockTime::ZERO;
        PeerRecord {
            descriptor: card.clone(),
            quiet_ms,
            last_heard_at: heard_at,
            head,
            asks: 0,
            answer_by,
        }
    }

    /// True when it wasn't heard of for long.
    pub fn is_quiet(&self, now: ClockTime) -> bool {
        self.last_heard_at.after_millis(self.quiet_ms).is_past(now)
    }

    fn is_lost(&self, now: ClockTime) -> bool {
        self.is_quiet(now) && self.asks >= LOST_ASKS && self.answer_by.is_past(now)
    }
}

/// `PeerChange` is what a report of an instance changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// Nothing that is news.
    Unchanged,
    /// An instance of the own data centre was heard of for the first time since its start.
    Joined,
    /// An instance stops.
    Left,
    /// Another data centre is heard of, again or for the first time.
    CentreReachable,
}

/// `PeerLoss` is what silence tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerLoss {
    /// An instance of the own data centre doesn't answer.
    Peer {
        /// Where it took messages.
        address: SocketAddrV4,
        /// Time since somebody heard from it, in milliseconds.
        age_ms: u64,
    },
    /// Nothing is heard of any instance of another data centre.
    Centre {
        /// Its name.
        data_centre: String,
        /// Time since then in milliseconds.
        age_ms: u64,
    },
}

/// `PeerTable` is a view of the fleet: all of a small one, a random part of a large one.
#[derive(Debug, Default)]
pub struct PeerTable {
    /// The own data centre.
    pub(crate) near: String,
    pub(crate) records: HashMap<SocketAddrV4, PeerRecord>,
    /// Incarnations of the own data centre that have been told as found.
    found: HashMap<SocketAddrV4, u64>,
    /// Incarnations that said they stop, so that old reports don't bring them back.
    left: HashMap<SocketAddrV4, u64>,
    /// When each instance of the own data centre was last heard of, those included that have
    /// made room in a large fleet or have fallen silent.
    neighbours: HashMap<SocketAddrV4, ClockTime>,
    /// Other data centres that are heard of.
    remote_centres: BTreeSet<String>,
}

impl PeerTable {
    /// Makes a view that an instance in data centre `near` has of the others.
    pub fn new(near: &str) -> PeerTable {
        PeerTable { near: near.to_owned(), ..PeerTable::default() }
    }

    /// Takes a report that somebody heard from an instance at `heard_at`.
    pub fn record_contact(
        &mut self,
        card: &PeerDescriptor,
        heard_at: ClockTime,
        head: u64,
    ) -> PeerChange {
        let Some(address) = card.address() else { return PeerChange::Unchanged };
        if self.left.get(&address) == Some(&card.incarnation) {
            return PeerChange::Unchanged;
        }
        if card.is_leaving {
            remember(&mut self.left, address, card.incarnation);
            self.found.remove(&address);
            let known = self.records.remove(&address);
            return if known.is_some() { PeerChange::Left } else { PeerChange::Unchanged };
        }
        let is_newer = match self.records.get(&address) {
            Some(record) => heard_at > record.last_heard_at,
            None => self.make_room(card, heard_at),
        };
        if !is_newer {
            return PeerChange::Unchanged;
        }
        if card.data_centre == self.near {
            self.note_neighbour(address, heard_at);
        }
        self.records.insert(address, PeerRecord::new(&self.near, card, heard_at, head));
        self.change_by(address, card)
    }

    /// What it means that an instance was heard of.
    fn change_by(&mut self, address: SocketAddrV4, card: &PeerDescriptor) -> PeerChange {
        if card.data_centre != self.near {
            let is_news = !self.remote_centres.contains(&card.data_centre);
            if is_news {
                self.remote_centres.insert(card.data_centre.clone());
            }
            return if is_news { PeerChange::CentreReachable } else { PeerChange::Unchanged };
        }
        let former = remember(&mut self.found, address, card.incarnation);
        if former == Some(card.incarnation) { PeerChange::Unchanged } else { PeerChange::Joined }
    }

    /// Forgets instances that are lost, and returns what that tells.
    pub fn remove_lost(&mut self, now: ClockTime) -> Vec<PeerLoss> {
        let mut losses = self.forget_near(now);
        losses.extend(self.forget_far(now));
        losses
    }

    fn forget_near(&mut self, now: ClockTime) -> Vec<PeerLoss> {
        let (near, found, mut losses) = (&self.near, &mut self.found, Vec::new());
        self.records.retain(|address, record| {
            let is_lost = record.descriptor.data_centre == *near && record.is_lost(now);
            if is_lost {
                found.remove(address);
                let age_ms = now.since(record.last_heard_at).as_millis() as u64;
                losses.push(PeerLoss::Peer { address: *address, age_ms });
            }
            !is_lost
        });
        losses
    }

    /// Forgets far instances, but for the newest known of each data centre: once a cut is
    /// over, it is the way back.
    fn forget_far(&mut self, now: ClockTime) -> Vec<PeerLoss> {
        let newest: BTreeMap<String, ClockTime> = self
            .latest_remote()
            .into_values()
            .map(|record| (record.descriptor.data_centre.clone(), record.last_heard_at))
            .collect();
        let near = &self.near;
        self.records.retain(|_, record| {
            let centre = &record.descriptor.data_centre;
            centre == near
                || !record.is_quiet(now)
                || newest.get(centre) == Some(&record.last_heard_at)
        });
        let is_silent = |at: ClockTime| at.after_millis(FAR_QUIET_MS).is_past(now);
        let mut losses = Vec::new();
        for (data_centre, at) in newest.into_iter().filter(|(_, at)| is_silent(*at)) {
            if self.remote_centres.remove(&data_centre) {
                let age_ms = now.since(at).as_millis() as u64;
                losses.push(PeerLoss::Centre { data_centre, age_ms });
            }
        }
        losses
    }

    /// The instance of each other data centre that was heard of last.
    pub(crate) fn latest_remote(&self) -> BTreeMap<&str, &PeerRecord> {
        let mut newest: BTreeMap<&str, &PeerRecord> = BTreeMap::new();
        for record in
            self.records.values().filter(|record| record.descriptor.data_centre != self.near)
        {
            let known = newest.entry(record.descriptor.data_centre.as_str()).or_insert(record);
            // Of two heard of at the same time always the same, whatever the map's order.
            if (record.last_heard_at, record.descriptor.ip)
                > (known.last_heard_at, known.descriptor.ip)
            {
                *known = record;
            }
        }
        newest
    }

    /// Instances of the own data centre that were heard of within the last minute, by address.
    pub fn neighbours(&mut self, now: ClockTime) -> Vec<SocketAddrV4> {
        self.neighbours.retain(|_, at| !at.after_millis(NEIGHBOUR_MS).is_past(now));
        let mut known: Vec<_> = self.neighbours.keys().copied().collect();
        known.sort_unstable();
        known
    }

    fn note_neighbour(&mut self, address: SocketAddrV4, heard_at: ClockTime) {
        if self.neighbours.len() >= MOST_REMEMBERED && !self.neighbours.contains_key(&address) {
            return;
        }
        let known = self.neighbours.entry(address).or_insert(heard_at);
        *known = heard_at.max(*known);
    }

    /// Number of known instances.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of instances of the own data centre that were heard of lately.
    pub fn count_same_centre(&self, now: ClockTime) -> usize {
        self.responsive_same_centre(now).count()
    }

    /// Number of other instances of the own data centre: those known and not lost, or those heard
    /// of within a minute where the view holds only a part.
    pub fn same_centre_size(&self, now: ClockTime) -> usize {
        let near =
            self.records.values().filter(|record| record.descriptor.data_centre == self.near);
        let known = near.count();
        if known < MOST_NEAR {
            return known;
        }
        let is_recent = |at: &&ClockTime| !at.after_millis(NEIGHBOUR_MS).is_past(now);
        self.neighbours.values().filter(is_recent).count()
    }

    /// Other data centres that are heard of.
    pub fn remote_centres(&self) -> impl Iterator<Item = &str> {
        self.remote_centres.iter().map(String::as_str)
    }

    /// True when another data centre is heard of.
    pub fn has_centre(&self, data_centre: &str) -> bool {
        self.remote_centres.contains(data_centre)
    }

    /// True when this start of an instance, of which the low half is given, said that it stops.
    pub fn has_left(&self, address: &SocketAddrV4, incarnation: u32) -> bool {
        self.left.get(address).is_some_and(|left| *left as u32 == incarnation)
    }

    /// True when an instance is known to be of another data centre.
    pub fn is_remote(&self, address: &SocketAddrV4) -> bool {
        self.records.get(address).is_some_and(|record| record.descriptor.data_centre != self.near)
    }

    /// Number of all other instances, as far as can be told from a part of them: data centres
    /// are taken to be of one size.
    pub fn fleet_size(&self) -> usize {
        let far = self.latest_remote().len();
        let is_near = |record: &&PeerRecord| record.descriptor.data_centre == self.near;
        let near = self.records.values().filter(is_near).count();
        self.len().max(near + far * (near + 1))
    }

    /// True when an instance is known to be of the own data centre.
    pub fn is_same_centre(&self, address: &SocketAddrV4) -> bool {
        self.records.get(address).is_some_and(|record| record.descriptor.data_centre == self.near)
    }

    /// True unless an instance was last heard of with a list no newer than `head`.
    pub fn may_have_newer_list(&self, address: &SocketAddrV4, head: u64) -> bool {
        self.records.get(address).is_none_or(|record| record.head > head)
    }

    /// Every known instance.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        let mut all: Vec<_> = self.records.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// Instances heard of lately.
    pub fn live(&self, now: ClockTime) -> impl Iterator<Item = &PeerDescriptor> {
        let is_live =
            move |record: &&PeerRecord| !record.last_heard_at.after_millis(STALE_MS).is_past(now);
        self.records.values().filter(is_live).map(|record| &record.descriptor)
    }

    pub(crate) fn responsive_same_centre(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = &PeerRecord> {
        let near =
            self.records.values().filter(|record| record.descriptor.data_centre == self.near);
        near.filter(move |record| !record.is_quiet(now))
    }

    fn make_room(&mut self, card: &PeerDescriptor, heard_at: ClockTime) -> bool {
        let centre = card.data_centre.as_str();
        let limit = if centre == self.near { MOST_NEAR } else { MOST_FAR };
        let same =
            self.records.iter().filter(|(_, record)| record.descriptor.data_centre == centre);
        if same.clone().count() < limit {
            return true;
        }
        // The instance heard of longest ago makes room, so that views keep mixing.
        let oldest = same.min_by_key(|(address, record)| (record.last_heard_at, **address));
        let Some((address, record)) = oldest else { return true };
        if record.last_heard_at >= heard_at {
            return false;
        }
        let address = *address;
        self.records.remove(&address);
        true
    }
}

/// Remembers an incarnation, and returns the one that was remembered of that address.
fn remember(
    memory: &mut HashMap<SocketAddrV4, u64>,
    address: SocketAddrV4,
    incarnation: u64,
) -> Option<u64> {
    if memory.len() >= MOST_REMEMBERED && !memory.contains_key(&address) {
        memory.clear();
    }
    memory.insert(address, incarnation)
}
