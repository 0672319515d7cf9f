//! Who reads the store.
//!
//! No instance is appointed, and none needs to agree with another. Whoever
//! hasn't heard for a while that its list is the newest begins to read; the
//! better its rank among the live, the sooner. A reader stops when it hears of
//! better ranked ones. Too many readers cost calls, none costs seconds.

use foxledge_core::time::ClockTime;
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::PeerDescriptor;

/// Time by which each rank waits longer than the one before, in milliseconds.
///
/// A reader's first answer reaches all within some 50 ms, so the next rank
/// mostly needn't begin. Ranks of dead instances cost this much each.
const RANK_MS: u64 = 120;
/// A reader counts while its last answer is younger than this, in milliseconds:
/// a watch of a second and room for the way.
const CLAIM_MS: u64 = 1_400;
/// Readers at most that the fleet keeps, in different data centres.
///
/// One is enough while it answers: each begins only when nobody has confirmed the
/// list for the take-over's time. Where several have begun, two stay, so that a
/// next failure costs nothing.
const READERS: usize = 2;
/// Claims that are remembered.
const MOST_CLAIMS: usize = 6;
/// First wait after a failed call in milliseconds; doubles with each.
const RETRY_MS: u64 = 200;
/// Instances whose calls tell soon enough that the store serves again, even where it turns
/// some of them away.
const FIRST_RANKS: usize = 8;
/// Wait of all others after a failed call in milliseconds: in an outage half of a fleet calls.
const LATE_RETRY_MS: u64 = 3_000;
/// Longest wait after a failed call in milliseconds.
const LONGEST_RETRY_MS: u64 = 1_000;
/// The same while a better ranked reader is heard of, in milliseconds: its answers reach all, and
/// if it dies, changes are read this much later at most.
const STANDBY_MS: u64 = 1_000;
/// Shortest time from one call's answer to the next call, in milliseconds:
/// changes that come together are read together.
const BATCH_MS: u64 = 100;
/// The same after an answer that brought changes, as more follow when backend servers are
/// replaced: each call of the store has its price, and a change is in force a quarter of a
/// second later at most.
const CHANGES_BATCH_MS: u64 = 250;

/// `ReaderRank` orders instances as readers, the best first.
///
/// A list of 1,400 routes is some 300 KB long and may change three times a
/// second, so links decide first: on one of 10 Mbit/s the list would take all of
/// it. Equal ones are ordered by a hash, so that the fleet's first in the
/// alphabet isn't always the one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderRank {
    narrowness: u32,
    hash: u64,
}

impl ReaderRank {
    /// The rank of an instance.
    pub fn of(card: &PeerDescriptor) -> ReaderRank {
        let mut bytes = [0; 8];
        bytes[..4].copy_from_slice(&card.ip.to_be_bytes());
        bytes[4..].copy_from_slice(&card.port.to_be_bytes());
        ReaderRank { narrowness: u32::MAX - card.link_mbps, hash: xxh3_64(&bytes) }
    }

    /// A place within a span that differs between instances.
    pub fn spread_over(self, span: u64) -> u64 {
        self.hash % span
    }
}

/// `StoreConfirmation` is a reader's last answer from the store, as heard.
#[derive(Clone, Debug)]
pub struct StoreConfirmation {
    /// The reader.
    pub reader: PeerDescriptor,
    /// Counts the reader's answers.
    pub serial: u32,
    /// When the store answered it.
    pub confirmed_at: ClockTime,
    /// The store's revision in that answer.
    pub head: u64,
}

/// `ReaderElection` is this instance's part in reading the store.
#[derive(Debug)]
pub struct ReaderElection {
    rank: ReaderRank,
    data_centre: String,
    claims: Vec<StoreConfirmation>,
    is_reading: bool,
    is_waiting: bool,
    next_at: ClockTime,
    failures: u32,
}

impl ReaderElection {
    /// Makes the part of an instance that doesn't read yet.
    pub fn new(card: &PeerDescriptor) -> ReaderElection {
        ReaderElection {
            rank: ReaderRank::of(card),
            data_centre: card.data_centre.clone(),
            claims: Vec::new(),
            is_reading: false,
            is_waiting: false,
            next_at: ClockTime::ZERO,
            failures: 0,
        }
    }

    /// True while this instance reads.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Calls that failed since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Live instances that are ranked before this one.
    pub fn rank_among<'a>(&self, live: impl Iterator<Item = &'a PeerDescriptor>) -> usize {
        live.filter(|card| ReaderRank::of(card) < self.rank).count()
    }

    /// How much longer than the best ranked this instance waits, in milliseconds.
    pub fn patience_ms(rank: usize) -> u64 {
        RANK_MS * rank as u64
    }

    /// Begins to read.
    pub fn begin(&mut self, now: ClockTime) {
        self.is_reading = true;
        self.next_at = now;
    }

    /// Stops reading; an answer that is still out is taken all the same.
    pub fn end(&mut self) {
        self.is_reading = false;
    }

    /// When the next call is due; none while one is out or others read.
    pub fn call_at(&self) -> Option<ClockTime> {
        (self.is_reading && !self.is_waiting).then_some(self.next_at)
    }

    /// True while a call is out.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Notes that a call went out.
    pub fn called(&mut self) {
        self.is_waiting = true;
    }

    /// Notes a call's success; returns how many had failed before.
    pub fn succeeded(&mut self, now: ClockTime) -> u32 {
        self.is_waiting = false;
        let pause = if self.is_standby(now) { STANDBY_MS } else { BATCH_MS };
        self.next_at = now.after_millis(pause);
        std::mem::take(&mut self.failures)
    }

    /// Notes that the last answer brought changes: the next call leaves time for more.
    pub fn expect_more(&mut self, now: ClockTime) {
        self.next_at = self.next_at.max(now.after_millis(CHANGES_BATCH_MS));
    }

    /// Notes that a call failed; `rank` is this instance's among the live ones.
    pub fn failed(&mut self, now: ClockTime, rank: usize) {
        self.is_waiting = false;
        let wait = match rank {
            ..FIRST_RANKS => (RETRY_MS << self.failures.min(4)).min(LONGEST_RETRY_MS),
            _ => LATE_RETRY_MS,
        };
        self.failures += 1;
        self.next_at = now.after_millis(wait);
    }

    /// Takes a claim as heard; true when it is newer than the reader's last known one.
    pub fn record_confirmation(&mut self, claim: StoreConfirmation) -> bool {
        let same = |known: &&mut StoreConfirmation| {
            known.reader.address() == claim.reader.address()
                && known.reader.incarnation == claim.reader.incarnation
        };
        match self.claims.iter_mut().find(same) {
            Some(known) if known.serial >= claim.serial => return false,
            Some(known) => *known = claim,
            None => self.claims.push(claim),
        }
        self.claims.sort_by_key(|claim| std::cmp::Reverse(claim.confirmed_at));
        self.claims.truncate(MOST_CLAIMS);
        true
    }

    /// Every claim that is remembered, the newest first.
    pub fn claims(&self) -> &[StoreConfirmation] {
        &self.claims
    }

    /// Other instances that read, as far as is known.
    pub fn other_readers(&self, now: ClockTime) -> impl Iterator<Item = &StoreConfirmation> {
        let own = self.rank;
        let is_other = move |claim: &&StoreConfirmation| ReaderRank::of(&claim.reader) != own;
        self.claims.iter().filter(move |claim| is_fresh(claim, now)).filter(is_other)
    }

    /// True when a better ranked instance reads.
    fn is_standby(&self, now: ClockTime) -> bool {
        self.other_readers(now).any(|claim| ReaderRank::of(&claim.reader) < self.rank)
    }

    /// True when all who read have narrower links than this instance.
    pub fn is_wider(&self, now: ClockTime) -> bool {
        let mut readers = self.other_readers(now).peekable();
        let is_narrower = |claim: &StoreConfirmation| {
            ReaderRank::of(&claim.reader).narrowness > self.rank.narrowness
        };
        readers.peek().is_some() && readers.all(is_narrower)
    }

    /// True when somebody has lately read more than is known up to `head`.
    pub fn is_behind(&self, now: ClockTime, head: u64) -> bool {
        self.claims.iter().any(|claim| claim.head > head && is_fresh(claim, now))
    }

    /// When the store last answered anybody with no more than is known up to `head`.
    pub fn latest_confirmation_at(&self, head: u64) -> Option<ClockTime> {
        self.claims.iter().filter(|claim| claim.head <= head).map(|claim| claim.confirmed_at).max()
    }

    /// True when enough better ranked instances read: one nearby, one with a wider
    /// link, or two of any kind.
    pub fn is_needless(&self, now: ClockTime) -> bool {
        let is_better = |claim: &&StoreConfirmation| ReaderRank::of(&claim.reader) < self.rank;
        let better: Vec<_> = self.other_readers(now).filter(is_better).collect();
        let is_served_well = |claim: &&StoreConfirmation| {
            claim.reader.data_centre == self.data_centre
                || ReaderRank::of(&claim.reader).narrowness < self.rank.narrowness
        };
        better.iter().any(is_served_well) || better.len() >= READERS
    }
}

fn is_fresh(claim: &StoreConfirmation, now: ClockTime) -> bool {
    !claim.confirmed_at.after_millis(CLAIM_MS).is_past(now)
}
