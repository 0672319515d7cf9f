//! Requests for rows of the list, and responses to them, page by page.

use std::{net::SocketAddrV4, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    list::{ChangeCoverage, ListBounds, ListCursor},
    revisions::number_of,
};
use prost::Message;
use rand::Rng;

use crate::{
    dissemination::MAX_CONFIRMATIONS,
    effects::{AbandonReason, FleetEffect, FleetEvent},
    fragments::MAX_SENT_ROW_BYTES,
    list_pull::{ListPull, PullStep, TransferKind},
    member::FleetMember,
    messages::{MessageBody, PAGES_PER_REQUEST, PullPage, PullRequest},
};

/// Maximum size of the rows in one page, in bytes. The rest of the message holds up to three
/// confirmations of 70 bytes.
pub(crate) const MAX_PAGE_ROW_BYTES: usize = 1_100;
/// Maximum number of peers that are sent pages at the same time. A snapshot that is sent alone
/// completes soonest, and from then on two instances can serve it.
const MAX_SERVED_PEERS: usize = 1;
/// Bytes per second that an instance spends on pages. Requests for changes beyond this budget are
/// answered with the addresses of other instances that have them. Snapshots count too, but are
/// limited only by [`MAX_SERVED_PEERS`].
const PAGE_BYTES_PER_S: u64 = 160_000;
/// Time, in milliseconds, by which pages may exceed that budget in advance.
const MAX_PAGE_BUDGET_DEBT_MS: u64 = 200;
/// Time, in milliseconds, for which a peer counts as being served after its latest request.
const SERVED_PEER_TTL_MS: u64 = 120;
/// Minimum delay, in milliseconds, before the next request after a peer responded that it is busy.
const MIN_BUSY_DELAY_MS: u64 = 20;

/// Time, in milliseconds, to wait for an instance of the same data centre that has the list before
/// rows, of a snapshot or of changes, are requested from a remote one: some instances of each data
/// centre read the list at once.
const REMOTE_SNAPSHOT_DELAY_MS: u64 = 60;
/// Maximum jitter added to [`REMOTE_SNAPSHOT_DELAY_MS`], in milliseconds.
const REMOTE_SNAPSHOT_JITTER_MS: u64 = 100;
/// Number of instances of a data centre of which, on average, one requests changes from a remote
/// instance at once.
const INSTANCES_PER_REMOTE_PULL: u32 = 4;
/// Maximum number of other instances with the list that are named to a peer whose request can't be
/// served now.
const MAX_NAMED_HOLDERS: usize = 4;

impl FleetMember {
    /// Requests the changes that are missing here, or a snapshot: from an instance of the same data
    /// centre that has them, or else from `peer`.
    pub(crate) fn begin_pull(&mut self, now: ClockTime, peer: SocketAddrV4) {
        if self.pull.is_some() || self.store_needed_since.is_some() {
            return;
        }
        let holder = self.pick_same_centre_holder(now);
        if holder.is_none() && self.should_wait_for_same_centre(now, peer) {
            let delay_ms =
                REMOTE_SNAPSHOT_DELAY_MS + self.rng.random_range(0..REMOTE_SNAPSHOT_JITTER_MS);
            self.next_pull.get_or_insert((now.after_millis(delay_ms), peer));
            return;
        }
        self.start_pull_from(now, holder.unwrap_or(peer));
    }

    /// Starts the postponed transfer once its delay is over: after a peer was busy, or after the
    /// wait for an instance of the same data centre that has the list.
    pub(crate) fn begin_postponed_pull(&mut self, now: ClockTime) {
        let Some((_, peer)) = self.next_pull.take_if(|(at, _)| at.is_past(now)) else { return };
        if self.pull.is_none() && self.peers.may_have_newer_list(&peer, self.list.head()) {
            let holder = self.pick_same_centre_holder(now);
            self.start_pull_from(now, holder.unwrap_or(peer));
        }
    }

    /// Returns true if rows of a remote instance are expected from an instance of the same data
    /// centre a little later.
    ///
    /// Traffic between data centres costs more. Snapshots come from those instances of the same
    /// data centre that read the store; of the instances that lack changes, only one in a few
    /// requests them from a remote instance at once and disseminates them.
    fn should_wait_for_same_centre(&mut self, now: ClockTime, peer: SocketAddrV4) -> bool {
        if self.peers.is_same_centre(&peer) {
            return false;
        }
        if self.list.head() == 0 {
            return self.partial_list.was_received();
        }
        let instances = self.peers.count_same_centre(now) as u32 + 1;
        !self.rng.random_ratio(1, instances.min(INSTANCES_PER_REMOTE_PULL))
    }

    /// Returns true if the differences since `revision`, sent across a gap in the history, can be
    /// applied here.
    pub(crate) fn can_apply_gap_after(&self, revision: u64) -> bool {
        self.list.head() == revision && !self.list.is_uneven()
    }

    fn pick_same_centre_holder(&mut self, now: ClockTime) -> Option<SocketAddrV4> {
        let holders = self.peers.pick_list_holders(&mut self.rng, now, self.list.head(), 1);
        let address = holders.first()?.descriptor.as_ref()?.address()?;
        self.peers.is_same_centre(&address).then_some(address)
    }

    fn start_pull_from(&mut self, now: ClockTime, peer: SocketAddrV4) {
        let request_id = self.rng.random();
        let mut pull = ListPull::new(now, peer, request_id, self.list.head());
        if !self.list.is_uneven() {
            pull = pull.accepting_gaps();
        }
        let request = pull.request();
        self.pull = Some(pull);
        self.next_pull = None;
        self.send_message(peer, MessageBody::PullRequest(request));
    }

    /// Repeats the request after a page has timed out, or abandons the transfer.
    pub(crate) fn retry_pull(&mut self, now: ClockTime) {
        let Some(mut pull) = self.pull.take() else { return };
        if !pull.retry_at.is_past(now) {
            self.pull = Some(pull);
            return;
        }
        let later_pages = pull.early_page_count();
        if let PullStep::SendRequest(request) = pull.retry(now) {
            self.send_message(pull.peer, MessageBody::PullRequest(request));
            self.pull = Some(pull);
            return;
        }
        self.log_abandoned_transfer(&pull, later_pages, AbandonReason::PageLost);
    }

    fn log_abandoned_transfer(
        &mut self,
        pull: &ListPull,
        later_pages: usize,
        reason: AbandonReason,
    ) {
        self.effects.push(FleetEffect::LogEvent(FleetEvent::TransferAbandoned {
            reason,
            peer: pull.peer.to_string(),
            rows: pull.row_count(),
            later_pages,
            known_revision: number_of(self.list.head()),
        }));
    }

    /// Responds to a request for rows with pages, or with a page that says that this instance is
    /// busy.
    pub(crate) fn handle_pull_request(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        request: &PullRequest,
    ) {
        let coverage = self.coverage_for(request);
        if self.is_over_budget(now, request, coverage) || !self.admit_pull(now, from) {
            return self.send_busy_page(now, from, request.request_id);
        }
        let cursor = match request.is_snapshot == (coverage == ChangeCoverage::Unavailable) {
            true => ListCursor { revision: request.revision, key: request.key.as_str().into() },
            false => ListCursor::start(),
        };
        self.send_pages(now, from, request.request_id, cursor, coverage);
    }

    /// Returns true if the request starts a transfer of changes that the budget doesn't allow now.
    ///
    /// A transfer in progress isn't interrupted, since its rows would be sent twice.
    fn is_over_budget(
        &self,
        now: ClockTime,
        request: &PullRequest,
        coverage: ChangeCoverage,
    ) -> bool {
        let is_first =
            request.known_head == Some(request.revision) && coverage != ChangeCoverage::Unavailable;
        is_first && self.page_budget_free_at > now.after_millis(MAX_PAGE_BUDGET_DEBT_MS)
    }

    /// Returns how the rows that the requester lacks can be sent.
    fn coverage_for(&self, request: &PullRequest) -> ChangeCoverage {
        match request.known_head {
            _ if request.is_snapshot => ChangeCoverage::Unavailable,
            Some(known_head) => self.list.coverage_since(known_head),
            None if request.revision < self.list.floor() => ChangeCoverage::Unavailable,
            None => ChangeCoverage::Complete,
        }
    }

    /// Returns true while fewer than [`MAX_SERVED_PEERS`] other instances are being served.
    ///
    /// When a fleet starts at once, hundreds of instances request a snapshot from the seeds. If all
    /// are served at the same time, none of them gets it in time; if few are served at a time, each
    /// of those serves others a moment later.
    fn admit_pull(&mut self, now: ClockTime, peer: SocketAddrV4) -> bool {
        self.served_peers.retain(|_, expires_at| !expires_at.is_past(now));
        if !self.served_peers.contains_key(&peer) && self.served_peers.len() >= MAX_SERVED_PEERS {
            return false;
        }
        self.served_peers.insert(peer, now.after_millis(SERVED_PEER_TTL_MS));
        true
    }

    /// Responds that this instance is busy, and names others that may serve the request.
    fn send_busy_page(&mut self, now: ClockTime, to: SocketAddrV4, request_id: u32) {
        let peers = self.peers.pick_list_holders(&mut self.rng, now, 0, MAX_NAMED_HOLDERS);
        let page = PullPage { request_id, is_busy: true, peers, ..PullPage::default() };
        self.send_message(to, MessageBody::PullPage(page));
    }

    /// Sends up to [`PAGES_PER_REQUEST`] pages in response to one request.
    fn send_pages(
        &mut self,
        now: ClockTime,
        to: SocketAddrV4,
        request_id: u32,
        mut cursor: ListCursor,
        coverage: ChangeCoverage,
    ) {
        let ListBounds { head, floor, newest_page } = self.list.bounds();
        for index in 0..PAGES_PER_REQUEST {
            let (rows, next) = self.pack_page(now, &cursor, MAX_PAGE_ROW_BYTES);
            if rows.encoded_len() > MAX_SENT_ROW_BYTES {
                return self.send_too_long_page(to, request_id, index);
            }
            let message = PullPage {
                request_id,
                index,
                has_more: next.is_some(),
                rows: Some(rows),
                is_snapshot: coverage == ChangeCoverage::Unavailable,
                has_gap: coverage == ChangeCoverage::AcrossGap,
                head,
                floor,
                newest_page,
                confirmations: if index == 0 {
                    self.confirmation_messages(now, MAX_CONFIRMATIONS)
                } else {
                    Vec::new()
                },
                is_busy: false,
                is_too_long: false,
                peers: Vec::new(),
                incarnation: self.descriptor.incarnation,
            };
            let cost = message.encoded_len() as u64 * 1_000_000 / PAGE_BYTES_PER_S;
            self.page_budget_free_at =
                self.page_budget_free_at.max(now).after(Duration::from_micros(cost));
            self.send_message(to, MessageBody::PullPage(message));
            let Some(next) = next else {
                self.served_peers.remove(&to);
                return;
            };
            cursor = next;
        }
    }

    /// Responds that the next row exceeds the longest message.
    fn send_too_long_page(&mut self, to: SocketAddrV4, request_id: u32, index: u32) {
        self.served_peers.remove(&to);
        let incarnation = self.descriptor.incarnation;
        let page = PullPage {
            request_id,
            index,
            incarnation,
            has_more: true,
            is_too_long: true,
            // Builds that don't know `is_too_long` request the rows again later.
            is_busy: true,
            ..PullPage::default()
        };
        self.send_message(to, MessageBody::PullPage(page));
    }

    /// Handles a page of the current transfer. The last page applies all rows of it.
    pub(crate) fn handle_pull_page(&mut self, now: ClockTime, page: PullPage) {
        let Some(mut pull) = self.pull.take_if(|pull| pull.request_id == page.request_id) else {
            return;
        };
        let peer = pull.peer;
        if page.is_too_long {
            // All peers have the same row. While the store fails, it is called no sooner than usual.
            if self.election.failures() == 0 {
                self.store_needed_since.get_or_insert(now);
            }
            let later_pages = pull.early_page_count();
            return self.log_abandoned_transfer(&pull, later_pages, AbandonReason::RowTooLong);
        }
        if page.is_busy {
            self.merge_peers(now, &page.peers);
            let delay_ms = self.rng.random_range(MIN_BUSY_DELAY_MS..MIN_BUSY_DELAY_MS * 3);
            self.next_seed_query_at = self.next_seed_query_at.max(now.after_millis(delay_ms));
            self.next_pull = Some((now.after_millis(delay_ms), peer));
            return;
        }
        self.merge_confirmations(now, &page.confirmations);
        let former_count = pull.row_count();
        let step = pull.handle_page(now, page);
        // Later pages may arrive again and again while the next one is lost.
        if pull.row_count() > former_count {
            self.record_transfer_progress(now);
        }
        match step {
            PullStep::SendRequest(request) => {
                self.send_message(peer, MessageBody::PullRequest(request));
                self.pull = Some(pull);
            }
            PullStep::Complete { rows, kind, bounds } => {
                let (former_head, head) = (self.list.head(), bounds.head);
                if former_head == 0 && head < self.partial_list.head() {
                    return;
                }
                self.retain_config_across_restore(head);
                let changed_rows = match kind {
                    TransferKind::Snapshot => self.list.apply_snapshot(now, rows, bounds),
                    TransferKind::Changes => self.list.apply_changes(now, rows, head),
                    TransferKind::ChangesAcrossGap { known_head }
                        if self.can_apply_gap_after(known_head) =>
                    {
                        self.list.apply_changes_across_gap(now, rows, bounds)
                    }
                    // Updates applied in the meantime may lie within the gap.
                    TransferKind::ChangesAcrossGap { .. } => return self.begin_pull(now, peer),
                };
                self.publish_changed_rows(now, changed_rows, former_head, peer.to_string());
                self.update_confirmation();
                if former_head == 0 {
                    // Other instances that start at the same time can request the list here now.
                    self.disseminate(now, self.list.head(), None);
                }
            }
            PullStep::Wait => self.pull = Some(pull),
            PullStep::Abandoned => {}
        }
    }
}
