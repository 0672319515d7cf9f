//! Anti-entropy: the page-by-page exchange of whole tables, which repairs lost updates.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use foxledge_core::{
    names::InstanceName,
    peers::{PeerInfo, PeerState},
    time::ClockTime,
};
use foxledge_wire::{
    control::{Heartbeat, PeerRecord},
    convert,
};

use rand::Rng;

use super::Membership;
use crate::table::claim_order;

/// The time for which tables may differ before pages are exchanged: updates usually arrive sooner.
const MISMATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two pages while tables differ.
const PAGE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of outlines in one page. An outline is a quarter of a record in size.
const MAX_OUTLINES_PER_PAGE: usize = 96;

/// The progress of the exchange of tables.
///
/// A heartbeat with `join` contains a page among its update records. A page consists of outlines,
/// which are records without addresses, ordered by name. The first outline only marks the start of
/// the page's range; on the first page it is the sender's own. The reply contains, as whole
/// records, those in the range that the page lacks or has older. A page that is not full is the
/// last one, and its range is unbounded; an instance that knows no others sends an empty page and
/// receives the first records of the table.
#[derive(Debug)]
pub(super) struct TableExchange {
    progress: ExchangeProgress,
    /// The time at which a mismatch of digests starts the exchange; [`ClockTime::MAX`] without one.
    mismatch_deadline: ClockTime,
    /// The number of equal digests received since the last mismatch or the last change of the local
    /// table.
    equal_digests: usize,
    next_page_at: ClockTime,
    /// The name after which the next page starts.
    page_start: Option<InstanceName>,
    /// The name after which the following page starts.
    page_end: Option<InstanceName>,
    /// The control address of the instance whose reply to the page is outstanding.
    awaiting_reply: Option<SocketAddr>,
    /// The control address that the last page was sent to, answered or not.
    last_requested: Option<SocketAddr>,
}

/// Whether a whole table has been read since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeProgress {
    InProgress,
    Complete,
}

impl TableExchange {
    pub(super) fn new(now: ClockTime) -> TableExchange {
        TableExchange {
            progress: ExchangeProgress::InProgress,
            mismatch_deadline: ClockTime::MAX,
            equal_digests: 0,
            next_page_at: now,
            page_start: None,
            page_end: None,
            awaiting_reply: None,
            last_requested: None,
        }
    }

    /// Restarts the exchange with the first page, as after a start.
    pub(super) fn restart(&mut self, now: ClockTime) {
        *self = TableExchange::new(now);
    }

    /// Records a change of the local table, after which earlier digests no longer count.
    pub(super) fn record_table_change(&mut self) {
        self.equal_digests = 0;
    }

    fn is_page_due(&self, now: ClockTime) -> bool {
        let is_in_progress = self.progress == ExchangeProgress::InProgress;
        (is_in_progress || self.mismatch_deadline.is_past(now)) && self.next_page_at.is_past(now)
    }
}

impl Membership {
    /// Compares the digest of another instance's table with the local one.
    pub(super) fn compare_digest(&mut self, now: ClockTime, digest: u64) {
        if digest != self.table.digest_with(&self.local_peer) {
            self.exchange.equal_digests = 0;
            if self.exchange.mismatch_deadline == ClockTime::MAX {
                self.exchange.mismatch_deadline = now.after(MISMATCH_TIMEOUT);
            }
            return;
        }
        self.exchange.equal_digests += 1;
        if self.exchange.equal_digests < 2 * self.options.rings {
            return;
        }
        // A single neighbour may lack the same record, or may just have received the same update
        // from this instance. All of them are unlikely to, as the rings form an expander: all
        // updates have been disseminated, and no record is missing.
        self.updates.record_matching_table();
        self.exchange.progress = ExchangeProgress::Complete;
        self.exchange.mismatch_deadline = ClockTime::MAX;
        self.exchange.page_start = None;
    }

    /// Returns the page to send with the next heartbeat, if one is due.
    pub(super) fn next_own_page(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
    ) -> Option<Vec<PeerRecord>> {
        // Heartbeats rotate through the observed instances about as often as pages are due. Without
        // a change of peer and some jitter, the page could always go to the one peer that lacks the
        // same record.
        let is_repeated = self.exchange.last_requested == Some(to) && self.observed.len() > 1;
        if is_repeated || !self.exchange.is_page_due(now) {
            return None;
        }
        self.exchange.next_page_at =
            now.after(PAGE_INTERVAL.mul_f64(self.rng.random_range(0.7..1.3)));
        self.exchange.awaiting_reply = Some(to);
        self.exchange.last_requested = Some(to);
        let start = self.exchange.page_start.clone();
        let start_marker = start.as_ref().and_then(|name| self.table.get(name));
        let start_marker = outline_of(start_marker.map_or(&self.local_peer, |entry| &entry.info));
        let records = self.table.living_page(start.as_deref(), MAX_OUTLINES_PER_PAGE);
        let is_full = records.len() == MAX_OUTLINES_PER_PAGE;
        self.exchange.page_end = records.last().filter(|_| is_full).map(|peer| peer.name.clone());
        Some(std::iter::once(start_marker).chain(records.into_iter().map(outline_of)).collect())
    }

    /// Returns the records that a heartbeat's page lacks or has older, up to the limit of one
    /// reply.
    pub(super) fn missing_records(&self, heartbeat: &Heartbeat) -> Vec<PeerRecord> {
        let sender = heartbeat.sender.as_ref().map_or("", |sender| sender.name.as_str());
        let mut outlines = heartbeat.news.iter().filter(|record| is_outline(record));
        let after = outlines.next().map(|marker| marker.name.as_str());
        let after = after.filter(|marker| *marker != sender);
        let outlined: HashMap<&str, &PeerRecord> =
            outlines.clone().map(|record| (record.name.as_str(), record)).collect();
        let is_full = outlined.len() >= MAX_OUTLINES_PER_PAGE;
        let until = outlines.next_back().map(|record| record.name.as_str()).filter(|_| is_full);

        let is_missing = |peer: &&PeerInfo| match outlined.get(peer.name.as_str()) {
            Some(outline) => is_newer(peer, outline),
            None => peer.name.as_str() != sender && peer.state != PeerState::Dead,
        };
        let missing = self.table.records_between(after, until).filter(is_missing);
        missing.take(self.options.page_record_limit).map(convert::peer_record).collect()
    }

    /// Records the reply to a page and selects the next one.
    pub(super) fn finish_page(&mut self, now: ClockTime, sender: &PeerInfo, news: &[PeerRecord]) {
        let is_expected =
            self.exchange.awaiting_reply.take_if(|address| *address == sender.control_address);
        if is_expected.is_none() {
            return;
        }
        // A full reply means that more records are missing in this range. The page is repeated with
        // the next heartbeat, and then contains the records that have arrived.
        if news.len() >= self.options.page_record_limit {
            self.exchange.next_page_at = now;
            return;
        }
        self.exchange.page_start = self.exchange.page_end.take();
        match self.exchange.page_start {
            Some(_) => self.exchange.next_page_at = now,
            None => self.exchange.progress = ExchangeProgress::Complete,
        }
    }
}

/// Returns the fields of a record that determine which of two claims is newer.
fn outline_of(peer: &PeerInfo) -> PeerRecord {
    let mut outline = convert::peer_record(peer);
    outline.data_centre.clear();
    outline.data_address.clear();
    outline.peer_address.clear();
    outline.control_address.clear();
    outline
}

fn is_outline(record: &PeerRecord) -> bool {
    record.control_address.is_empty()
}

fn is_newer(peer: &PeerInfo, outline: &PeerRecord) -> bool {
    let (incarnation, refutation, rank) = claim_order(peer);
    // On the wire, states are numbered by their rank among claims, starting at 1.
    let outlined = (incarnation, refutation, i32::from(rank) + 1);
    outlined > (outline.incarnation, outline.refutation, outline.state)
}
