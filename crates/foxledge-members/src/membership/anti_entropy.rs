//! The whole exchange of tables, page by page, for what news has missed.

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

/// Time for which tables may differ before they are exchanged: news is faster.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time between two pages while tables differ.
const PAGE_EVERY: Duration = Duration::from_secs(1);
/// Outlines in one page; each is a quarter of a record in size.
const OUTLINES_PER_PAGE: usize = 96;

/// `TableExchange` is how far the whole exchange has come.
///
/// A beat with `join` carries a page in its news: outlines, that is records
/// without addresses, in the order of their names. The first outline is only
/// the place where the page starts, the sender's own for the first page. The
/// reply carries what the page lacks in its range, as whole records. A page
/// that isn't full is the last one, and its range has no end; so an instance
/// that knows nobody sends an empty page, and gets the table's first records.
#[derive(Debug)]
pub(super) struct TableExchange {
    progress: ExchangeProgress,
    /// When a difference has lasted; far while there is none.
    mismatch_deadline: ClockTime,
    /// Equal digests since the last that differed, or the last change of the own table.
    equal_run: usize,
    next_page: ClockTime,
    /// Where the next page starts.
    start: Option<InstanceName>,
    /// Where the one after it starts.
    end: Option<InstanceName>,
    /// Who was asked for what the page lacks.
    asked: Option<SocketAddr>,
    /// Who was asked last, answered or not.
    last_asked: Option<SocketAddr>,
}

/// `ExchangeProgress` is whether a whole table was read since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeProgress {
    Reading,
    Read,
}

impl TableExchange {
    pub(super) fn new(now: ClockTime) -> TableExchange {
        TableExchange {
            progress: ExchangeProgress::Reading,
            mismatch_deadline: ClockTime::MAX,
            equal_run: 0,
            next_page: now,
            start: None,
            end: None,
            asked: None,
            last_asked: None,
        }
    }

    /// Reads a whole table anew, as after a start.
    pub(super) fn restart(&mut self, now: ClockTime) {
        *self = TableExchange::new(now);
    }

    /// Notes that the own table has changed: what was equal before says nothing any more.
    pub(super) fn note_change(&mut self) {
        self.equal_run = 0;
    }

    fn is_due(&self, now: ClockTime) -> bool {
        let is_reading = self.progress == ExchangeProgress::Reading;
        (is_reading || self.mismatch_deadline.is_past(now)) && self.next_page.is_past(now)
    }
}

impl Membership {
    /// Notes whether the other's table is the same as this one.
    pub(super) fn compare_digest(&mut self, now: ClockTime, digest: u64) {
        if digest != self.table.digest_with(&self.me) {
            self.exchange.equal_run = 0;
            if self.exchange.mismatch_deadline == ClockTime::MAX {
                self.exchange.mismatch_deadline = now.after(SETTLE_TIME);
            }
            return;
        }
        self.exchange.equal_run += 1;
        if self.exchange.equal_run < 2 * self.options.rings {
            return;
        }
        // One neighbour may lack the same record as this instance, or have just
        // told it the same news. All of them hardly do, as the rings make an
        // expander: news has gone round, and nothing is missing.
        self.news.count_known();
        self.exchange.progress = ExchangeProgress::Read;
        self.exchange.mismatch_deadline = ClockTime::MAX;
        self.exchange.start = None;
    }

    /// The page that goes with the next beat, if one is due.
    pub(super) fn take_own_page(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
    ) -> Option<Vec<PeerRecord>> {
        // Beats go round the observed instances about as often as pages are due.
        // Without another peer and some jitter each time, the page could always
        // go to the one peer that lacks the same record.
        let is_repeated = self.exchange.last_asked == Some(to) && self.watch.len() > 1;
        if is_repeated || !self.exchange.is_due(now) {
            return None;
        }
        self.exchange.next_page = now.after(PAGE_EVERY.mul_f64(self.rng.random_range(0.7..1.3)));
        self.exchange.asked = Some(to);
        self.exchange.last_asked = Some(to);
        let start = self.exchange.start.clone();
        let marker = start.as_ref().and_then(|name| self.table.get(name));
        let marker = outline_of(marker.map_or(&self.me, |entry| &entry.info));
        let records = self.table.page(start.as_deref(), OUTLINES_PER_PAGE);
        let is_full = records.len() == OUTLINES_PER_PAGE;
        self.exchange.end = records.last().filter(|_| is_full).map(|peer| peer.name.clone());
        Some(std::iter::once(marker).chain(records.into_iter().map(outline_of)).collect())
    }

    /// What a beat's page lacks, one page of it.
    pub(super) fn page_for(&self, beat: &Heartbeat) -> Vec<PeerRecord> {
        let sender = beat.sender.as_ref().map_or("", |sender| sender.name.as_str());
        let mut outlines = beat.news.iter().filter(|record| is_outline(record));
        let after = outlines.next().map(|marker| marker.name.as_str());
        let after = after.filter(|marker| *marker != sender);
        let held: HashMap<&str, &PeerRecord> =
            outlines.clone().map(|record| (record.name.as_str(), record)).collect();
        let is_full = held.len() >= OUTLINES_PER_PAGE;
        let until = outlines.next_back().map(|record| record.name.as_str()).filter(|_| is_full);

        let is_lacking = |peer: &&PeerInfo| match held.get(peer.name.as_str()) {
            Some(outline) => is_newer(peer, outline),
            None => peer.name.as_str() != sender && peer.state != PeerState::Dead,
        };
        let lacking = self.table.range(after, until).filter(is_lacking);
        lacking.take(self.options.page_limit).map(convert::peer_record).collect()
    }

    /// Takes note of how much of the page's lack came with a reply.
    pub(super) fn end_page(&mut self, now: ClockTime, sender: &PeerInfo, news: &[PeerRecord]) {
        let is_asked = self.exchange.asked.take_if(|asked| *asked == sender.control_address);
        if is_asked.is_none() {
            return;
        }
        // A full reply means that more is lacking in this range: it is asked for
        // with the next beat, and the page then names what has come.
        if news.len() >= self.options.page_limit {
            self.exchange.next_page = now;
            return;
        }
        self.exchange.start = self.exchange.end.take();
        match self.exchange.start {
            Some(_) => self.exchange.next_page = now,
            None => self.exchange.progress = ExchangeProgress::Read,
        }
    }
}

/// The part of a record that tells which of two claims is newer.
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
    // The states' numbers on the wire are their ranks among claims, counted from 1.
    let held = (incarnation, refutation, i32::from(rank) + 1);
    held > (outline.incarnation, outline.refutation, outline.state)
}
