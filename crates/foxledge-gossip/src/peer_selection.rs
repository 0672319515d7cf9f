//! Which of the known instances are told, asked and named to others.

use std::{collections::BTreeMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use rand::{Rng, rngs::StdRng};

use crate::{
    messages::PeerEntry,
    peers::{PeerRecord, PeerTable},
};

/// Silence after which an instance of another data centre is asked for a sign of life, in
/// milliseconds, if nothing has come from anywhere there.
const CENTRE_QUIET_MS: u64 = 8_000;
/// Time that an instance has for an answer, in milliseconds: ten times what one of a
/// twentieth of a core takes when its whole fleet starts.
const ANSWER_MS: u64 = 1_500;

/// `SampleSize` is how many instances a message tells of.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// Of the receiver's data centre.
    pub near: usize,
    /// Of others.
    pub far: usize,
}

impl SampleSize {
    /// Told with a whole heartbeat to another data centre, whose instances know few of this
    /// one, and all of their own.
    pub const FAR: SampleSize = SampleSize { near: 2, far: 0 };
    /// None at all.
    pub const NONE: SampleSize = SampleSize { near: 0, far: 0 };
    /// Told with each whole heartbeat. An instance gets some four of these a second: with four
    /// instances each, views of fifty held half of their data centre ten seconds after its
    /// start, and some were in so few that news passed them by.
    pub const USUAL: SampleSize = SampleSize { near: 6, far: 3 };
    /// Told to an instance that asks, as it may know nobody.
    pub const WIDE: SampleSize = SampleSize { near: 12, far: 4 };
}

impl PeerTable {
    /// Up to `count` random instances of the own data centre that were heard of lately.
    pub fn pick_same_centre(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        pick(
            rng,
            self.responsive_same_centre(now)
                .filter_map(|record| record.descriptor.address())
                .collect(),
            count,
        )
    }

    /// An instance of the own data centre that was silent for long, to be asked for a sign of
    /// life: the one that was asked least.
    ///
    /// Of fifty instances that live, some are heard of once in ten seconds, by chance. Taken
    /// for lost they would be told nothing by those that forgot them, and everybody would read
    /// of losses that are none.
    pub fn pick_quiet(&mut self, rng: &mut StdRng, now: ClockTime) -> Option<SocketAddrV4> {
        let near = &self.near;
        let is_due = |record: &PeerRecord| {
            let is_near = record.descriptor.data_centre == *near;
            is_near && record.is_quiet(now) && record.answer_by.is_past(now)
        };
        let due = self.records.iter().filter(|(_, record)| is_due(record));
        let fewest = due.clone().map(|(_, record)| record.asks).min()?;
        let least = due.filter(|(_, record)| record.asks == fewest);
        let address = pick(rng, least.map(|(address, _)| *address).collect(), 1).pop()?;
        let record = self.records.get_mut(&address)?;
        record.asks += 1;
        record.answer_by = now.after_millis(ANSWER_MS);
        Some(address)
    }

    /// A random instance of the own data centre that was silent for long, to be told of news
    /// all the same: most such are alive.
    pub fn pick_random_quiet(&self, rng: &mut StdRng, now: ClockTime) -> Option<SocketAddrV4> {
        let near =
            self.records.values().filter(|record| record.descriptor.data_centre == self.near);
        let quiet = near.filter(|record| record.is_quiet(now));
        pick(rng, quiet.filter_map(|record| record.descriptor.address()).collect(), 1).pop()
    }

    /// An instance of another data centre from which nothing has come for long, to be asked
    /// for a sign of life: the newest known there.
    pub fn pick_unheard(&self, rng: &mut StdRng, now: ClockTime) -> Option<SocketAddrV4> {
        let newest = self.latest_remote().into_values();
        let unheard =
            newest.filter(|record| record.last_heard_at.after_millis(CENTRE_QUIET_MS).is_past(now));
        pick(rng, unheard.filter_map(|record| record.descriptor.address()).collect(), 1).pop()
    }

    /// Up to `count` random instances of each other data centre.
    pub fn pick_remote(&self, rng: &mut StdRng, count: usize) -> Vec<SocketAddrV4> {
        let mut centres: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
        for record in
            self.records.values().filter(|record| record.descriptor.data_centre != self.near)
        {
            let Some(address) = record.descriptor.address() else { continue };
            centres.entry(record.descriptor.data_centre.as_str()).or_default().push(address);
        }
        let mut picked: Vec<_> =
            centres.into_values().flat_map(|all| pick(rng, all, count)).collect();
        picked.sort_unstable();
        picked
    }

    /// Some random instances as they are told to one of data centre `centre`: mostly of its
    /// own, as it may learn of those from nobody else.
    pub fn sample_entries(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        centre: &str,
        size: SampleSize,
    ) -> Vec<PeerEntry> {
        let fresh = self.records.iter().filter(|(_, record)| !record.is_quiet(now));
        let (near, far): (Vec<_>, Vec<_>) =
            fresh.partition(|(_, record)| record.descriptor.data_centre == centre);
        let addresses = |of: Vec<(&SocketAddrV4, &PeerRecord)>| {
            of.into_iter().map(|(address, _)| *address).collect::<Vec<_>>()
        };
        let mut picked = pick(rng, addresses(near), size.near);
        picked.extend(pick(rng, addresses(far), size.far));
        let records = picked.iter().filter_map(|address| self.records.get(address));
        records.map(|record| heard(record, now)).collect()
    }

    /// Up to `count` random instances that know the list beyond `head`, as they are told to
    /// others: nearby ones heard of lately, or else any nearby, or else far ones.
    pub fn pick_list_holders(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        head: u64,
        count: usize,
    ) -> Vec<PeerEntry> {
        let all = self.records.values().filter(|record| record.head > head && record.asks == 0);
        let rank = |record: &PeerRecord| {
            (record.descriptor.data_centre != self.near, record.is_quiet(now))
        };
        let Some(best) = all.clone().map(rank).min() else { return Vec::new() };
        let best = all.filter(|record| rank(record) == best);
        let picked =
            pick(rng, best.filter_map(|record| record.descriptor.address()).collect(), count);
        let records = picked.iter().filter_map(|address| self.records.get(address));
        records.map(|record| heard(record, now)).collect()
    }
}

/// An instance as it is told to others.
fn heard(record: &PeerRecord, now: ClockTime) -> PeerEntry {
    let age = now.since(record.last_heard_at).as_millis();
    PeerEntry {
        descriptor: Some(record.descriptor.clone()),
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
