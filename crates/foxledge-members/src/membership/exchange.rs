//! The whole exchange of tables, page by page, for what news has missed.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use foxledge_core::{names::InstanceName, peers::PeerInfo, time::ClockTime};
use foxledge_wire::{
    control::{Heartbeat, PeerRecord},
    convert,
};

use super::Membership;

/// Time for which tables may differ before they are exchanged: news is faster.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time between two pages while tables differ.
const PAGE_EVERY: Duration = Duration::from_secs(1);

/// `TableExchange` is how far the whole exchange has come.
///
/// A beat with `join` carries a page in its news: first the record after which
/// the page starts, the sender's own for the first page, then records in the
/// order of their names. The reply ends with the answerer's records in the same
/// range that the page lacks. A page that isn't full is the sender's last, and
/// its range has no end; so a sender that knows nobody sends empty pages, and
/// reads the whole table. The answerer's own record ends a reply that has none.
#[derive(Debug)]
pub(super) struct TableExchange {
    progress: ExchangeProgress,
    /// When a difference has lasted; far while there is none.
    mismatch_deadline: ClockTime,
    next_page: ClockTime,
    cursor: Option<InstanceName>,
    /// Who was asked for the page that is under way.
    asked: Option<SocketAddr>,
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
            mismatch_deadline: ClockTime::FAR,
            next_page: now,
            cursor: None,
            asked: None,
        }
    }

    /// Reads a whole table anew, as after a start.
    pub(super) fn restart(&mut self, now: ClockTime) {
        *self = TableExchange::new(now);
    }

    fn is_due(&self, now: ClockTime) -> bool {
        let is_reading = self.progress == ExchangeProgress::Reading;
        (is_reading || self.mismatch_deadline.is_past(now)) && self.next_page.is_past(now)
    }

    fn settle(&mut self) {
        self.progress = ExchangeProgress::Read;
        self.mismatch_deadline = ClockTime::FAR;
        self.cursor = None;
    }
}

impl Membership {
    /// Notes whether the other's table is the same as this one.
    pub(super) fn compare_digest(&mut self, now: ClockTime, digest: u64) {
        if digest == self.table.digest_with(&self.me) {
            self.exchange.settle();
        } else if self.exchange.mismatch_deadline == ClockTime::FAR {
            self.exchange.mismatch_deadline = now.after(SETTLE_TIME);
        }
    }

    /// The page that is the next beat's news, if one is due.
    pub(super) fn take_own_page(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
    ) -> Option<Vec<PeerInfo>> {
        if !self.exchange.is_due(now) {
            return None;
        }
        self.exchange.asked = Some(to);
        let start = self.exchange.cursor.clone();
        let marker = start.as_ref().and_then(|name| self.table.get(name));
        let marker = marker.map_or(&self.me, |entry| &entry.info).clone();
        if self.exchange.progress == ExchangeProgress::Reading {
            self.exchange.next_page = now.after(self.options.heartbeat / 2);
            return Some(vec![marker]);
        }
        self.exchange.next_page = now.after(PAGE_EVERY);
        let records = self.table.page(start.as_deref(), None, self.options.page_limit);
        let is_full = records.len() == self.options.page_limit;
        let last = records.last().filter(|_| is_full);
        self.exchange.cursor = last.map(|peer| peer.name.clone());
        Some(std::iter::once(marker).chain(records).collect())
    }

    /// The answer to a beat's page.
    pub(super) fn page_for(&self, beat: &Heartbeat) -> Vec<PeerRecord> {
        let sender = beat.sender.as_ref().map_or("", |sender| sender.name.as_str());
        let mut names = beat.news.iter().map(|record| record.name.as_str());
        let after = names.next().filter(|marker| *marker != sender);
        let held: HashSet<&str> = names.collect();
        let is_full = held.len() >= self.options.page_limit;
        let until = beat.news.last().map(|record| record.name.as_str()).filter(|_| is_full);

        let mut page = self.table.page(after, until, usize::MAX);
        page.retain(|peer| !held.contains(peer.name.as_str()) && peer.name.as_str() != sender);
        page.truncate(self.options.page_limit);
        if page.is_empty() {
            page.push(self.me.clone());
        }
        page.iter().map(convert::peer_record).collect()
    }

    /// Takes the page that ends a reply, if the whole table is being read from its sender.
    pub(super) fn take_page(&mut self, sender: &PeerInfo, news: &[PeerRecord]) {
        let is_asked = self.exchange.asked.take_if(|asked| *asked == sender.control_address);
        if is_asked.is_none() || self.exchange.progress == ExchangeProgress::Read {
            return;
        }
        let Some(last) = news.last() else { return };
        if last.name != sender.name.as_str() {
            self.exchange.cursor = Some(InstanceName::new(&last.name));
            return;
        }
        // The whole table was read: from here on, differing digests tell whether
        // something is still missing.
        self.exchange.cursor = None;
        self.exchange.progress = ExchangeProgress::Read;
    }
}
