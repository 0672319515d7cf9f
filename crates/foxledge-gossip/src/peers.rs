//! The instances that this one knows.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
};

use foxledge_core::time::ClockTime;
use rand::{Rng, rngs::StdRng};

use crate::messages::{HeardPeer, PeerCard};

/// Silence after which an instance is forgotten, in milliseconds: five heartbeats.
const LOST_MS: u64 = 5_000;
/// Silence after which an instance isn't counted on, in milliseconds.
const QUIET_MS: u64 = 2_500;
/// Most instances known of the own data centre. An epidemic needs only that the
/// views of all make one connected graph, for which some dozen edges do at any size.
const MOST_NEAR: usize = 64;
/// Most instances known of each other data centre.
const MOST_FAR: usize = 8;

#[derive(Clone, Debug)]
struct PeerRecord {
    card: PeerCard,
    heard_at: ClockTime,
    /// Revision up to which it knew the list.
    head: u64,
}

/// `PeerChange` is what a report of an instance changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// Nothing new.
    None,
    /// It is new here.
    Found,
    /// It stops.
    Left,
}

/// `PeerTable` is a view of the fleet: all of a small one, a random part of a large one.
#[derive(Debug, Default)]
pub struct PeerTable {
    records: HashMap<SocketAddrV4, PeerRecord>,
    /// Incarnations that said they stop, so that old reports don't bring them back.
    left: HashMap<SocketAddrV4, u64>,
}

impl PeerTable {
    /// Takes a report that somebody heard from an instance at `heard_at`.
    pub fn take(
        &mut self,
        near: &str,
        card: &PeerCard,
        heard_at: ClockTime,
        head: u64,
    ) -> PeerChange {
        let Some(address) = card.address() else { return PeerChange::None };
        if self.left.get(&address) == Some(&card.incarnation) {
            return PeerChange::None;
        }
        if card.is_leaving {
            self.left.insert(address, card.incarnation);
            let known = self.records.remove(&address);
            return if known.is_some() { PeerChange::Left } else { PeerChange::None };
        }
        if let Some(record) = self.records.get_mut(&address) {
            if heard_at > record.heard_at {
                *record = PeerRecord { card: card.clone(), heard_at, head };
            }
            return PeerChange::None;
        }
        if !self.make_room(near, card, heard_at) {
            return PeerChange::None;
        }
        self.records.insert(address, PeerRecord { card: card.clone(), heard_at, head });
        PeerChange::Found
    }

    /// Forgets instances that have been silent for long, and returns them with the time
    /// since then in milliseconds.
    pub fn forget(&mut self, now: ClockTime) -> Vec<(SocketAddrV4, u64)> {
        let mut lost = Vec::new();
        self.records.retain(|address, record| {
            let is_lost = record.heard_at.after_millis(LOST_MS).is_past(now);
            if is_lost {
                lost.push((*address, now.since(record.heard_at).as_millis() as u64));
            }
            !is_lost
        });
        if lost.len() > self.left.len() {
            self.left.clear();
        }
        lost
    }

    /// Number of known instances.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of known instances of a data centre.
    pub fn count_near(&self, near: &str) -> usize {
        self.records.values().filter(|record| record.card.data_centre == near).count()
    }

    /// Every known instance.
    pub fn all(&self) -> Vec<SocketAddrV4> {
        let mut all: Vec<_> = self.records.keys().copied().collect();
        all.sort_unstable();
        all
    }

    /// Instances heard of lately.
    pub fn live(&self, now: ClockTime) -> impl Iterator<Item = &PeerCard> {
        let is_live =
            move |record: &&PeerRecord| !record.heard_at.after_millis(QUIET_MS).is_past(now);
        self.records.values().filter(is_live).map(|record| &record.card)
    }

    /// Up to `count` random instances of a data centre.
    pub fn pick_near(&self, rng: &mut StdRng, near: &str, count: usize) -> Vec<SocketAddrV4> {
        let all = self.records.values().filter(|record| record.card.data_centre == near);
        pick(rng, all.filter_map(|record| record.card.address()).collect(), count)
    }

    /// Up to `count` random instances of each other data centre.
    pub fn pick_far(&self, rng: &mut StdRng, near: &str, count: usize) -> Vec<SocketAddrV4> {
        let mut centres: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
        for record in self.records.values().filter(|record| record.card.data_centre != near) {
            let Some(address) = record.card.address() else { continue };
            centres.entry(record.card.data_centre.as_str()).or_default().push(address);
        }
        let mut picked: Vec<_> =
            centres.into_values().flat_map(|all| pick(rng, all, count)).collect();
        picked.sort_unstable();
        picked
    }

    /// Up to `count` random known instances as they are told to others.
    pub fn sample(&self, rng: &mut StdRng, now: ClockTime, count: usize) -> Vec<HeardPeer> {
        let addresses = pick(rng, self.records.keys().copied().collect(), count);
        let records = addresses.iter().filter_map(|address| self.records.get(address));
        records.map(|record| heard(record, now)).collect()
    }

    /// Up to `count` random instances nearby, or if there are none far away, that know
    /// the list beyond `head`, as they are told to others.
    pub fn holders(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        near: &str,
        head: u64,
        count: usize,
    ) -> Vec<HeardPeer> {
        let all: Vec<_> = self.records.values().filter(|record| record.head > head).collect();
        let addresses = |is_near: bool| {
            let some = all.iter().filter(|record| (record.card.data_centre == near) == is_near);
            some.filter_map(|record| record.card.address()).collect::<Vec<_>>()
        };
        let picked = match pick(rng, addresses(true), count) {
            near if near.is_empty() => pick(rng, addresses(false), count),
            near => near,
        };
        let records = picked.iter().filter_map(|address| self.records.get(address));
        records.map(|record| heard(record, now)).collect()
    }

    fn make_room(&mut self, near: &str, card: &PeerCard, heard_at: ClockTime) -> bool {
        let centre = card.data_centre.as_str();
        let limit = if centre == near { MOST_NEAR } else { MOST_FAR };
        let same = self.records.iter().filter(|(_, record)| record.card.data_centre == centre);
        if same.clone().count() < limit {
            return true;
        }
        // The instance heard of longest ago makes room, so that views keep mixing.
        let oldest = same.min_by_key(|(address, record)| (record.heard_at, **address));
        let Some((address, record)) = oldest else { return true };
        if record.heard_at >= heard_at {
            return false;
        }
        let address = *address;
        self.records.remove(&address);
        true
    }
}

fn heard(record: &PeerRecord, now: ClockTime) -> HeardPeer {
    let age = now.since(record.heard_at).as_millis();
    HeardPeer {
        card: Some(record.card.clone()),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        head: record.head,
    }
}

fn pick(rng: &mut StdRng, mut all: Vec<SocketAddrV4>, count: usize) -> Vec<SocketAddrV4> {
    all.sort_unstable();
    while all.len() > count {
        let index = rng.random_range(0..all.len());
        all.swap_remove(index);
    }
    all
}
