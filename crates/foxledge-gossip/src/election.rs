//! Election of the instances that read the store.
//!
//! Readers are not appointed, and instances need no agreement. An instance that has received no
//! confirmation for a while that its list is the newest starts to read; the better its rank among
//! the live instances, the sooner. A reader stops when it learns of better ranked readers. Too many
//! readers cost calls to the store; a fleet without a reader goes without updates for seconds.

use foxledge_core::time::ClockTime;
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::PeerDescriptor;

/// Additional delay per rank before an instance starts to read, in milliseconds.
///
/// A reader's first response reaches all instances within some 50 ms, so the next rank mostly
/// doesn't start. Each dead instance among the best ranks delays the take-over by this much.
const RANK_DELAY_MS: u64 = 120;
/// Time, in milliseconds, for which an instance counts as a reader after its latest confirmation: a
/// watch of one second, and time for the message to arrive.
const CONFIRMATION_TTL_MS: u64 = 1_400;
/// Maximum number of readers in the fleet, in different data centres.
///
/// One reader suffices while the store responds to it: an instance starts to read only when the
/// list has not been confirmed within the take-over time. Where several have started, two remain,
/// so that the next failure costs no time.
const MAX_READERS: usize = 2;
/// Maximum number of confirmations that are remembered.
const MAX_CONFIRMATIONS: usize = 6;
/// Delay before the first retry by one of the [`EARLY_RETRY_RANKS`], in milliseconds. It doubles
/// with each failure, up to [`MAX_RETRY_DELAY_MS`].
const INITIAL_RETRY_DELAY_MS: u64 = 200;
/// Number of best ranked instances that retry with the short, growing delay. They are enough to
/// detect soon that the store responds again, even if it refuses some of their calls.
const EARLY_RETRY_RANKS: usize = 8;
/// Delay before a retry by any other instance, in milliseconds. It limits the load on the store,
/// since half of a fleet calls it during an outage.
const LATE_RETRY_DELAY_MS: u64 = 3_000;
/// Maximum delay before a retry by one of the [`EARLY_RETRY_RANKS`], in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 1_000;
/// Minimum interval between calls while a better ranked reader is known, in milliseconds. That
/// reader's responses reach all instances; if it dies, changes are read later by this much at most.
const STANDBY_CALL_INTERVAL_MS: u64 = 1_000;
/// Minimum time from the response to one call to the next call, in milliseconds. Changes that come
/// together are read together.
const CALL_INTERVAL_MS: u64 = 100;
/// The same after a response with changes, since more follow when backend servers are replaced. It
/// saves calls to the store; a change takes effect a quarter of a second later at most.
const CHANGES_CALL_INTERVAL_MS: u64 = 250;

/// `ReaderRank` orders instances as readers, the best first.
///
/// Link bandwidth decides first: a list of 1,400 routes is some 300 KB long and may change three
/// times a second, which would take all of a link of 10 Mbit/s. Instances with equal links are
/// ordered by a hash of their address, so that the choice doesn't depend on the order of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderRank {
    inverse_bandwidth: u32,
    hash: u64,
}

impl ReaderRank {
    /// Returns the rank of an instance.
    pub fn from_descriptor(descriptor: &PeerDescriptor) -> ReaderRank {
        let mut bytes = [0; 8];
        bytes[..4].copy_from_slice(&descriptor.ip.to_be_bytes());
        bytes[4..].copy_from_slice(&descriptor.port.to_be_bytes());
        ReaderRank { inverse_bandwidth: u32::MAX - descriptor.link_mbps, hash: xxh3_64(&bytes) }
    }

    /// Returns a value below `span` that depends on the instance.
    pub fn hash_below(self, span: u64) -> u64 {
        self.hash % span
    }
}

/// `StoreConfirmation` is the latest response of the store to one reader, which confirms that
/// `head` was the newest revision then.
#[derive(Clone, Debug)]
pub struct StoreConfirmation {
    /// The reader.
    pub reader: PeerDescriptor,
    /// Sequence number of the response at that reader.
    pub serial: u32,
    /// Time of the response.
    pub confirmed_at: ClockTime,
    /// Revision of the store in the response.
    pub head: u64,
}

/// `ReaderElection` decides whether this instance reads the store, and when it calls next.
#[derive(Debug)]
pub struct ReaderElection {
    rank: ReaderRank,
    data_centre: String,
    confirmations: Vec<StoreConfirmation>,
    is_reading: bool,
    is_call_pending: bool,
    next_call_at: ClockTime,
    failures: u32,
}

impl ReaderElection {
    /// Creates the state of an instance that doesn't read yet.
    pub fn new(descriptor: &PeerDescriptor) -> ReaderElection {
        ReaderElection {
            rank: ReaderRank::from_descriptor(descriptor),
            data_centre: descriptor.data_centre.clone(),
            confirmations: Vec::new(),
            is_reading: false,
            is_call_pending: false,
            next_call_at: ClockTime::ZERO,
            failures: 0,
        }
    }

    /// Returns true while this instance reads the store.
    pub fn is_reading(&self) -> bool {
        self.is_reading
    }

    /// Returns the number of calls that failed since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the number of live instances that are ranked before this one.
    pub fn rank_among<'a>(&self, live_peers: impl Iterator<Item = &'a PeerDescriptor>) -> usize {
        live_peers.filter(|descriptor| ReaderRank::from_descriptor(descriptor) < self.rank).count()
    }

    /// Returns how much later than the best ranked instance one of this rank starts to read, in
    /// milliseconds.
    pub fn takeover_delay_ms(rank: usize) -> u64 {
        RANK_DELAY_MS * rank as u64
    }

    /// Starts to read the store.
    pub fn start_reading(&mut self, now: ClockTime) {
        self.is_reading = true;
        self.next_call_at = now;
    }

    /// Stops reading. The response to a call in flight is still handled.
    pub fn stop_reading(&mut self) {
        self.is_reading = false;
    }

    /// Returns the time of the next call; `None` while a call is in flight or this instance doesn't
    /// read.
    pub fn next_call_at(&self) -> Option<ClockTime> {
        (self.is_reading && !self.is_call_pending).then_some(self.next_call_at)
    }

    /// Returns true while a call is in flight.
    pub fn is_call_pending(&self) -> bool {
        self.is_call_pending
    }

    /// Records that a call was sent.
    pub fn record_call(&mut self) {
        self.is_call_pending = true;
    }

    /// Records that a call succeeded; returns the number of failures before it.
    pub fn record_success(&mut self, now: ClockTime) -> u32 {
        self.is_call_pending = false;
        let interval_ms =
            if self.is_standby(now) { STANDBY_CALL_INTERVAL_MS } else { CALL_INTERVAL_MS };
        self.next_call_at = now.after_millis(interval_ms);
        std::mem::take(&mut self.failures)
    }

    /// Delays the next call after a response with changes, so that more changes can accumulate.
    pub fn delay_next_call(&mut self, now: ClockTime) {
        self.next_call_at = self.next_call_at.max(now.after_millis(CHANGES_CALL_INTERVAL_MS));
    }

    /// Records that a call failed and schedules the retry; `rank` is this instance's rank among the
    /// live ones.
    pub fn record_failure(&mut self, now: ClockTime, rank: usize) {
        self.is_call_pending = false;
        let delay_ms = match rank {
            ..EARLY_RETRY_RANKS => {
                (INITIAL_RETRY_DELAY_MS << self.failures.min(4)).min(MAX_RETRY_DELAY_MS)
            }
            _ => LATE_RETRY_DELAY_MS,
        };
        self.failures += 1;
        self.next_call_at = now.after_millis(delay_ms);
    }

    /// Records a confirmation; returns true if it is newer than the last known one of that reader.
    pub fn record_confirmation(&mut self, confirmation: StoreConfirmation) -> bool {
        let is_same_reader = |known: &&mut StoreConfirmation| {
            known.reader.address() == confirmation.reader.address()
                && known.reader.incarnation == confirmation.reader.incarnation
        };
        match self.confirmations.iter_mut().find(is_same_reader) {
            Some(known) if known.serial >= confirmation.serial => return false,
            Some(known) => *known = confirmation,
            None => self.confirmations.push(confirmation),
        }
        self.confirmations.sort_by_key(|confirmation| std::cmp::Reverse(confirmation.confirmed_at));
        self.confirmations.truncate(MAX_CONFIRMATIONS);
        true
    }

    /// Returns the remembered confirmations, the newest first.
    pub fn confirmations(&self) -> &[StoreConfirmation] {
        &self.confirmations
    }

    /// Returns the confirmations of other readers that are at most [`CONFIRMATION_TTL_MS`] old.
    pub fn other_readers(&self, now: ClockTime) -> impl Iterator<Item = &StoreConfirmation> {
        let own_rank = self.rank;
        let is_other = move |confirmation: &&StoreConfirmation| {
            ReaderRank::from_descriptor(&confirmation.reader) != own_rank
        };
        self.confirmations
            .iter()
            .filter(move |confirmation| is_recent(confirmation, now))
            .filter(is_other)
    }

    /// Returns true while a better ranked instance reads, so that this one may call less often.
    fn is_standby(&self, now: ClockTime) -> bool {
        self.other_readers(now)
            .any(|confirmation| ReaderRank::from_descriptor(&confirmation.reader) < self.rank)
    }

    /// Returns true if other instances read and all of them have narrower links than this one.
    pub fn has_widest_link(&self, now: ClockTime) -> bool {
        let mut readers = self.other_readers(now).peekable();
        let is_narrower = |confirmation: &StoreConfirmation| {
            ReaderRank::from_descriptor(&confirmation.reader).inverse_bandwidth
                > self.rank.inverse_bandwidth
        };
        readers.peek().is_some() && readers.all(is_narrower)
    }

    /// Returns true if another instance has recently read a revision beyond `head`.
    pub fn is_behind(&self, now: ClockTime, head: u64) -> bool {
        self.confirmations
            .iter()
            .any(|confirmation| confirmation.head > head && is_recent(confirmation, now))
    }

    /// Returns the time of the latest response of the store with a revision up to `head`.
    pub fn latest_confirmation_at(&self, head: u64) -> Option<ClockTime> {
        self.confirmations
            .iter()
            .filter(|confirmation| confirmation.head <= head)
            .map(|confirmation| confirmation.confirmed_at)
            .max()
    }

    /// Returns true if enough better ranked instances read: one of the same data centre, one with a
    /// wider link, or [`MAX_READERS`] of any kind.
    pub fn is_redundant(&self, now: ClockTime) -> bool {
        let is_better = |confirmation: &&StoreConfirmation| {
            ReaderRank::from_descriptor(&confirmation.reader) < self.rank
        };
        let better: Vec<_> = self.other_readers(now).filter(is_better).collect();
        let is_sufficient = |confirmation: &&StoreConfirmation| {
            confirmation.reader.data_centre == self.data_centre
                || ReaderRank::from_descriptor(&confirmation.reader).inverse_bandwidth
                    < self.rank.inverse_bandwidth
        };
        better.iter().any(is_sufficient) || better.len() >= MAX_READERS
    }
}

fn is_recent(confirmation: &StoreConfirmation, now: ClockTime) -> bool {
    !confirmation.confirmed_at.after_millis(CONFIRMATION_TTL_MS).is_past(now)
}
