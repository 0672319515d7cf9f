//! Rows asked of a peer, page by page.

use std::{collections::BTreeMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use foxledge_flows::{list::ListCursor, rows::ListRow};

use crate::{
    messages::{PAGES_PER_REQUEST, PullPage, PullRequest},
    packing::PackedRows,
};

/// Wait for a page in milliseconds.
///
/// The way is some milliseconds, but a slow instance that serves several others takes much
/// longer. Asked again too early it makes all pages a second time, and with many askers nothing
/// ever ends.
const PAGE_MS: u64 = 200;
/// Questions for one page before the peer is given up.
const MOST_TRIES: u32 = 3;

/// `ListPull` is a transfer of rows from one peer.
///
/// Rows are kept aside until the last page has come: a list of which one part is
/// new and another old would treat one flow by the new list and the next by the old.
#[derive(Debug)]
pub struct ListPull {
    /// The peer.
    pub from: SocketAddrV4,
    /// Ticket of the question that is out.
    pub ticket: u32,
    /// Revision that was known at the begin.
    known: u64,
    /// The peer's process; none before its first page.
    incarnation: Option<u64>,
    cursor: ListCursor,
    is_copy: bool,
    /// The list is complete up to `known` and holds nothing newer, so that changes can be
    /// taken over a gap.
    takes_gaps: bool,
    /// A page came that holds changes over a gap.
    has_gap: bool,
    rows: Vec<ListRow>,
    /// Place of the next page among those that answer the question.
    next_index: u32,
    /// Pages that came before it, by their place.
    early: BTreeMap<u32, PullPage>,
    tries: u32,
    /// When to ask again.
    pub retry_at: ClockTime,
}

/// `PulledKind` is what the rows of a transfer are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PulledKind {
    /// A whole copy.
    Copy,
    /// Every change after the revision that was known.
    Changes,
    /// What differs since the revision that was known, told over a gap.
    OverGap {
        /// That revision.
        known: u64,
    },
}

/// `PullStep` is how a transfer goes on.
#[derive(Debug)]
pub enum PullStep {
    /// Ask the peer.
    Ask(PullRequest),
    /// Wait for further pages.
    Wait,
    /// Everything has come.
    Done {
        /// The rows.
        rows: Vec<ListRow>,
        /// What they are.
        kind: PulledKind,
        /// Revision up to which the peer knows the list.
        head: u64,
        /// Revision after which the peer can tell changes.
        floor: u64,
    },
    /// The peer is given up.
    Lost,
}

impl ListPull {
    /// Begins a transfer of what changed after `known`.
    pub fn new(now: ClockTime, from: SocketAddrV4, ticket: u32, known: u64) -> ListPull {
        let cursor =
            if known == 0 { ListCursor::start() } else { ListCursor::after_revision(known) };
        ListPull {
            from,
            ticket,
            known,
            incarnation: None,
            cursor,
            is_copy: known == 0,
            takes_gaps: false,
            has_gap: false,
            rows: Vec::new(),
            next_index: 0,
            early: BTreeMap::new(),
            tries: 0,
            retry_at: now.after_millis(PAGE_MS),
        }
    }

    /// Takes changes over a gap as well, as nothing newer than `known` is held.
    pub fn over_gaps(self) -> ListPull {
        ListPull { takes_gaps: true, ..self }
    }

    /// The question for the next page.
    pub fn question(&self) -> PullRequest {
        PullRequest {
            request_id: self.ticket,
            revision: self.cursor.revision,
            key: self.cursor.key.to_string(),
            is_snapshot: self.is_copy,
            known: self.takes_gaps.then_some(self.known),
        }
    }

    /// Takes a page that answers the question that is out.
    ///
    /// Pages are sent together, and the network may hand them over in another order: one
    /// that comes before its turn is kept. Were it dropped, it would be asked for again
    /// after [`PAGE_MS`], and a transfer of many pages would hardly ever end.
    pub fn take(&mut self, now: ClockTime, page: PullPage) -> PullStep {
        if page.index < self.next_index || page.index >= PAGES_PER_REQUEST {
            return PullStep::Wait;
        }
        self.early.insert(page.index, page);
        while let Some(page) = self.early.remove(&self.next_index) {
            match self.take_next(now, page) {
                PullStep::Wait => {}
                step => return step,
            }
        }
        PullStep::Wait
    }

    /// Begins the transfer again, from another process of the peer.
    ///
    /// That may have the same rows under other revisions, so that some of them lie before a
    /// cursor that came from its former process.
    fn begin_again(&mut self, now: ClockTime) -> PullStep {
        let anew = ListPull::new(now, self.from, self.ticket, self.known);
        *self = ListPull { tries: self.tries, takes_gaps: self.takes_gaps, ..anew };
        self.ask_again()
    }

    /// Takes the page whose turn it is.
    fn take_next(&mut self, now: ClockTime, page: PullPage) -> PullStep {
        if *self.incarnation.get_or_insert(page.incarnation) != page.incarnation {
            return self.begin_again(now);
        }
        if page.is_snapshot && !self.is_copy {
            // The peer can't tell the changes since what is known here.
            self.is_copy = true;
            self.rows.clear();
        }
        self.has_gap |= page.has_gap;
        let rows = page.rows.map(PackedRows::unpack).unwrap_or_default();
        let Some(last) = rows.last().filter(|_| page.has_more) else {
            self.rows.extend(rows);
            let rows = std::mem::take(&mut self.rows);
            let PullPage { head, floor, .. } = page;
            return PullStep::Done { rows, kind: self.kind(), head, floor };
        };
        self.cursor = ListCursor { revision: last.revision, key: last.key.as_str().into() };
        self.rows.extend(rows);
        self.next_index += 1;
        self.tries = 0;
        self.retry_at = now.after_millis(PAGE_MS);
        if self.next_index < PAGES_PER_REQUEST {
            return PullStep::Wait;
        }
        self.ask_again()
    }

    fn kind(&self) -> PulledKind {
        match (self.is_copy, self.has_gap) {
            (true, _) => PulledKind::Copy,
            (false, false) => PulledKind::Changes,
            (false, true) => PulledKind::OverGap { known: self.known },
        }
    }

    fn ask_again(&mut self) -> PullStep {
        self.ticket = self.ticket.wrapping_add(1);
        self.next_index = 0;
        self.early.clear();
        PullStep::Ask(self.question())
    }

    /// Goes on when no page has come in time.
    pub fn retry(&mut self, now: ClockTime) -> PullStep {
        self.tries += 1;
        if self.tries >= MOST_TRIES {
            return PullStep::Lost;
        }
        self.retry_at = now.after_millis(PAGE_MS << self.tries);
        self.ask_again()
    }
}
