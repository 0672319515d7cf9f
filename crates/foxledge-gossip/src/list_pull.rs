//! State of a transfer of rows from a peer.

use std::{collections::BTreeMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    list::{ListBounds, ListCursor},
    rows::ListRow,
};

use crate::{
    messages::{PAGES_PER_REQUEST, PullPage, PullRequest},
    packing::PackedRows,
};

/// Time, in milliseconds, to wait for a page before the request is repeated.
///
/// A round trip takes some milliseconds, but a slow instance that serves several others takes much
/// longer. If requests were repeated too early, it would build all pages a second time, and with
/// many requesters no transfer would end.
const PAGE_TIMEOUT_MS: u64 = 200;
/// Number of requests for one page before the peer is given up.
const MAX_ATTEMPTS: u32 = 3;

/// `ListPull` is a transfer of rows from one peer.
///
/// Rows are buffered until the last page has come: with a list that is partly new and partly old,
/// one flow would be handled by the new list and the next by the old one.
#[derive(Debug)]
pub struct ListPull {
    /// Address of the peer.
    pub peer: SocketAddrV4,
    /// Id of the outstanding request.
    pub request_id: u32,
    /// Revision that was known when the transfer started.
    known_head: u64,
    /// Incarnation of the peer; `None` before its first page.
    incarnation: Option<u64>,
    cursor: ListCursor,
    is_snapshot: bool,
    /// The local list is complete up to `known_head` and holds nothing newer, so that changes
    /// across a gap in the history can be applied.
    accepts_gaps: bool,
    /// A page with changes across a gap was received.
    has_gap: bool,
    rows: Vec<ListRow>,
    /// Index of the next page among those that respond to the request.
    next_index: u32,
    /// Later pages that arrived before that one, by index.
    early_pages: BTreeMap<u32, PullPage>,
    attempts: u32,
    /// Time at which the request is repeated.
    pub retry_at: ClockTime,
}

/// `TransferKind` is the kind of rows that a transfer brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferKind {
    /// The whole list.
    Snapshot,
    /// Every change after the revision that was known.
    Changes,
    /// The differences since the revision that was known, across a gap in the history.
    ChangesAcrossGap {
        /// The revision that was known.
        known_head: u64,
    },
}

/// `PullStep` is the next step of a transfer.
#[derive(Debug)]
pub enum PullStep {
    /// Send a request to the peer.
    SendRequest(PullRequest),
    /// Wait for more pages.
    Wait,
    /// All rows were received.
    Complete {
        /// The rows.
        rows: Vec<ListRow>,
        /// Kind of the rows.
        kind: TransferKind,
        /// Revisions between which the peer knows the list.
        bounds: ListBounds,
    },
    /// The peer doesn't respond and is given up.
    Abandoned,
}

impl ListPull {
    /// Creates a transfer of the changes after `known_head`.
    pub fn new(now: ClockTime, peer: SocketAddrV4, request_id: u32, known_head: u64) -> ListPull {
        let cursor = if known_head == 0 {
            ListCursor::start()
        } else {
            ListCursor::after_revision(known_head)
        };
        ListPull {
            peer,
            request_id,
            known_head,
            incarnation: None,
            cursor,
            is_snapshot: known_head == 0,
            accepts_gaps: false,
            has_gap: false,
            rows: Vec::new(),
            next_index: 0,
            early_pages: BTreeMap::new(),
            attempts: 0,
            retry_at: now.after_millis(PAGE_TIMEOUT_MS),
        }
    }

    /// Accepts changes across a gap as well; allowed if nothing newer than `known_head` is known.
    pub fn accepting_gaps(self) -> ListPull {
        ListPull { accepts_gaps: true, ..self }
    }

    /// Returns the request for the next pages.
    pub fn request(&self) -> PullRequest {
        PullRequest {
            request_id: self.request_id,
            revision: self.cursor.revision,
            key: self.cursor.key.to_string(),
            is_snapshot: self.is_snapshot,
            known_head: self.accepts_gaps.then_some(self.known_head),
        }
    }

    /// Returns the number of rows that have arrived.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of pages that have arrived before the next one.
    pub fn early_page_count(&self) -> usize {
        self.early_pages.len()
    }

    /// Handles a page that responds to the outstanding request.
    ///
    /// Pages are sent together and may be reordered by the network: a page that comes too early is
    /// buffered. If it was dropped, it would be requested again after [`PAGE_TIMEOUT_MS`], and a
    /// transfer of many pages would hardly ever complete.
    pub fn handle_page(&mut self, now: ClockTime, page: PullPage) -> PullStep {
        if page.index < self.next_index || page.index >= PAGES_PER_REQUEST {
            return PullStep::Wait;
        }
        self.early_pages.insert(page.index, page);
        while let Some(page) = self.early_pages.remove(&self.next_index) {
            match self.handle_next_page(now, page) {
                PullStep::Wait => {}
                step => return step,
            }
        }
        PullStep::Wait
    }

    /// Restarts the transfer after the peer has restarted.
    ///
    /// The new process may have the same rows under other revisions, so that some of them lie
    /// before a cursor that came from the former process.
    fn restart(&mut self, now: ClockTime) -> PullStep {
        let restarted = ListPull::new(now, self.peer, self.request_id, self.known_head);
        *self = ListPull { attempts: self.attempts, accepts_gaps: self.accepts_gaps, ..restarted };
        self.request_more()
    }

    /// Handles the next page in order.
    fn handle_next_page(&mut self, now: ClockTime, page: PullPage) -> PullStep {
        if *self.incarnation.get_or_insert(page.incarnation) != page.incarnation {
            return self.restart(now);
        }
        if page.is_snapshot && !self.is_snapshot {
            // The peer doesn't know the changes since `known_head`.
            self.is_snapshot = true;
            self.rows.clear();
        }
        self.has_gap |= page.has_gap;
        let rows = page.rows.map(PackedRows::unpack).unwrap_or_default();
        let Some(last) = rows.last().filter(|_| page.has_more) else {
            self.rows.extend(rows);
            let rows = std::mem::take(&mut self.rows);
            let PullPage { head, floor, newest_page, .. } = page;
            let bounds = ListBounds { head, floor, newest_page };
            return PullStep::Complete { rows, kind: self.kind(), bounds };
        };
        self.cursor = ListCursor { revision: last.revision, key: last.key.as_str().into() };
        self.rows.extend(rows);
        self.next_index += 1;
        self.attempts = 0;
        self.retry_at = now.after_millis(PAGE_TIMEOUT_MS);
        if self.next_index < PAGES_PER_REQUEST {
            return PullStep::Wait;
        }
        self.request_more()
    }

    fn kind(&self) -> TransferKind {
        match (self.is_snapshot, self.has_gap) {
            (true, _) => TransferKind::Snapshot,
            (false, false) => TransferKind::Changes,
            (false, true) => TransferKind::ChangesAcrossGap { known_head: self.known_head },
        }
    }

    fn request_more(&mut self) -> PullStep {
        self.request_id = self.request_id.wrapping_add(1);
        self.next_index = 0;
        self.early_pages.clear();
        PullStep::SendRequest(self.request())
    }

    /// Repeats the request after a timeout, with an exponential delay, or gives up.
    pub fn retry(&mut self, now: ClockTime) -> PullStep {
        self.attempts += 1;
        if self.attempts >= MAX_ATTEMPTS {
            return PullStep::Abandoned;
        }
        self.retry_at = now.after_millis(PAGE_TIMEOUT_MS << self.attempts);
        self.request_more()
    }
}
