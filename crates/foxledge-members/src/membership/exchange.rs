//! The whole exchange of tables, page by page, for what news has missed.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{names::InstanceName, peers::PeerInfo, time::ClockTime};
use foxledge_wire::control::PeerRecord;

use super::Membership;

/// Time for which tables may differ before they are exchanged: news is faster.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time between two pages while tables differ.
const PAGE_EVERY: Duration = Duration::from_secs(1);

/// `TableExchange` is how far the whole exchange has come.
///
/// A page is records in the order of their names. It ends a message, so that
/// its last record tells where the next page starts; the sender's own record
/// there says that there is nothing more, and to start from the first name.
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

    /// The page to end the next beat with, if one is due; empty records mean the first page.
    pub(super) fn take_own_page(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
    ) -> Option<Vec<PeerInfo>> {
        if !self.exchange.is_due(now) {
            return None;
        }
        self.exchange.asked = Some(to);
        if self.exchange.progress == ExchangeProgress::Reading {
            self.exchange.next_page = now.after(self.options.heartbeat / 2);
            let last = self.exchange.cursor.as_ref().and_then(|name| self.table.get(name));
            return Some(last.map(|entry| entry.info.clone()).into_iter().collect());
        }
        self.exchange.next_page = now.after(PAGE_EVERY);
        let page = self.page_after(self.exchange.cursor.clone());
        self.exchange.cursor = page.last().map(|peer| peer.name.clone());
        Some(page)
    }

    /// Takes the page that ends a reply, if one was asked for.
    pub(super) fn take_page(&mut self, sender: &PeerInfo, news: &[PeerRecord]) {
        if self.exchange.asked != Some(sender.control_address) {
            return;
        }
        self.exchange.asked = None;
        let Some(last) = news.last() else { return };
        if last.name != sender.name.as_str() {
            self.exchange.cursor = Some(InstanceName::new(&last.name));
            return;
        }
        // The other's last page was read: from here on, differing digests tell
        // whether something is still missing.
        self.exchange.cursor = None;
        self.exchange.progress = ExchangeProgress::Read;
    }

    /// The records after `name`, one page of them.
    pub(super) fn page_after(&self, name: Option<InstanceName>) -> Vec<PeerInfo> {
        self.table.page_after(name.as_deref(), self.options.page_limit)
    }
}
