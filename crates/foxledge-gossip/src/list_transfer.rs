//! Rows asked of others and given to them, page by page.

use std::{net::SocketAddrV4, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_flows::list::{ChangeCoverage, ListCursor};
use prost::Message;
use rand::Rng;

use crate::{
    dissemination::MAX_CONFIRMATIONS,
    list_pull::{ListPull, PullStep, PulledKind},
    member::FleetMember,
    messages::{MessageBody, PAGES_PER_REQUEST, PullPage, PullRequest},
};

/// Bytes of rows in one page: beside them are three readers at most, of 70 bytes.
pub(crate) const MAX_PAGE_ROW_BYTES: usize = 1_100;
/// Instances that are served with rows at a time. A copy that goes out alone is whole
/// soonest, and from then on two can hand it on.
const MOST_SERVED: usize = 1;
/// Bytes a second that an instance spends on pages; who asks for changes beyond is named others
/// that have them. Whole copies count as well, but are bounded by the number of instances served
/// alone.
const CHANGES_BYTES_PER_S: u64 = 160_000;
/// How far pages may run ahead of that, in milliseconds.
const PAGES_AHEAD_MS: u64 = 200;
/// How long an instance counts as being served after its last question, in milliseconds.
const SERVED_MS: u64 = 120;
/// Shortest wait before another question after one was turned away, in milliseconds.
const BUSY_MS: u64 = 20;

/// Wait for an instance nearby that has the list before a whole copy is asked for far away,
/// in milliseconds: some of each data centre read it at once.
const FAR_COPY_MS: u64 = 60;
/// Spread of that wait in milliseconds.
const FAR_COPY_SPREAD_MS: u64 = 100;
/// Instances of a data centre of which one asks a far one for changes at once.
const FAR_ASKERS: u32 = 4;
/// Instances that have the list, told to one that can't be served now.
const HOLDERS: usize = 4;

impl FleetMember {
    /// Asks an instance for what is newer than known here: one nearby that has it, or
    /// else `from`.
    pub(crate) fn begin_pull(&mut self, now: ClockTime, from: SocketAddrV4) {
        if self.pull.is_some() {
            return;
        }
        let near = self.near_holder(now);
        if near.is_none() && self.waits_for_near(now, from) {
            let wait = FAR_COPY_MS + self.rng.random_range(0..FAR_COPY_SPREAD_MS);
            self.next_pull.get_or_insert((now.after_millis(wait), from));
            return;
        }
        self.pull_from(now, near.unwrap_or(from));
    }

    /// Asks again after an instance was busy, the same or another, or after the wait for one
    /// nearby that has the list.
    pub(crate) fn begin_waiting_pull(&mut self, now: ClockTime) {
        let Some((_, from)) = self.next_pull.take_if(|(at, _)| at.is_past(now)) else { return };
        if self.pull.is_none() && self.peers.may_have_newer_list(&from, self.list.head()) {
            let near = self.near_holder(now);
            self.pull_from(now, near.unwrap_or(from));
        }
    }

    /// True when rows that a far instance has can come from somebody nearby a little later.
    ///
    /// What is asked of other data centres costs more. A whole copy comes from those nearby
    /// that read the store; of changes, one of some instances asks for them at once and hands
    /// them on.
    fn waits_for_near(&mut self, now: ClockTime, from: SocketAddrV4) -> bool {
        if self.peers.is_same_centre(&from) {
            return false;
        }
        if self.list.head() == 0 {
            return self.preview.was_received();
        }
        let together = self.peers.count_same_centre(now) as u32 + 1;
        !self.rng.random_ratio(1, together.min(FAR_ASKERS))
    }

    /// True when what differs since `revision`, told over a gap, can be taken.
    pub(crate) fn can_apply_gap_after(&self, revision: u64) -> bool {
        self.list.head() == revision && !self.list.has_rows_past_head()
    }

    fn near_holder(&mut self, now: ClockTime) -> Option<SocketAddrV4> {
        let holders = self.peers.pick_list_holders(&mut self.rng, now, self.list.head(), 1);
        let address = holders.first()?.descriptor.as_ref()?.address()?;
        self.peers.is_same_centre(&address).then_some(address)
    }

    fn pull_from(&mut self, now: ClockTime, from: SocketAddrV4) {
        let ticket = self.rng.random();
        let mut pull = ListPull::new(now, from, ticket, self.list.head());
        if !self.list.has_rows_past_head() {
            pull = pull.over_gaps();
        }
        let question = pull.question();
        self.pull = Some(pull);
        self.next_pull = None;
        self.send_message(from, MessageBody::PullRequest(question));
    }

    /// Asks again when a page hasn't come in time, or gives the peer up.
    pub(crate) fn retry_pull(&mut self, now: ClockTime) {
        let Some(mut pull) = self.pull.take() else { return };
        if !pull.retry_at.is_past(now) {
            self.pull = Some(pull);
            return;
        }
        if let PullStep::Ask(question) = pull.retry(now) {
            self.send_message(pull.from, MessageBody::PullRequest(question));
            self.pull = Some(pull);
        }
    }

    /// Answers a question for rows with pages, or turns it away.
    pub(crate) fn handle_pull_request(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        pull: &PullRequest,
    ) {
        let reach = self.reach_for(pull);
        if self.is_over_budget(now, pull, reach) || !self.admit_pull(now, from) {
            return self.send_busy(now, from, pull.request_id);
        }
        let cursor = match pull.is_snapshot == (reach == ChangeCoverage::Unavailable) {
            true => ListCursor { revision: pull.revision, key: pull.key.as_str().into() },
            false => ListCursor::start(),
        };
        self.send_pages(now, from, pull.request_id, cursor, reach);
    }

    /// True when changes are asked for that the budget doesn't allow now.
    ///
    /// A transfer that goes on isn't broken off: its rows would be sent twice.
    fn is_over_budget(&self, now: ClockTime, pull: &PullRequest, reach: ChangeCoverage) -> bool {
        let begins = pull.known == Some(pull.revision) && reach != ChangeCoverage::Unavailable;
        begins && self.page_budget_free_at > now.after_millis(PAGES_AHEAD_MS)
    }

    /// How the asker can be told what it lacks.
    fn reach_for(&self, pull: &PullRequest) -> ChangeCoverage {
        match pull.known {
            _ if pull.is_snapshot => ChangeCoverage::Unavailable,
            Some(known) => self.list.coverage_since(known),
            None if pull.revision < self.list.floor() => ChangeCoverage::Unavailable,
            None => ChangeCoverage::Complete,
        }
    }

    /// True while few others are being served.
    ///
    /// When a fleet starts at once, hundreds ask the seeds for a whole copy. Served
    /// all together, none gets it in time; served a few at a time, each of those
    /// serves others a moment later.
    fn admit_pull(&mut self, now: ClockTime, from: SocketAddrV4) -> bool {
        self.served.retain(|_, until| !until.is_past(now));
        if !self.served.contains_key(&from) && self.served.len() >= MOST_SERVED {
            return false;
        }
        self.served.insert(from, now.after_millis(SERVED_MS));
        true
    }

    /// Turns a question away, and names others that may answer it.
    fn send_busy(&mut self, now: ClockTime, to: SocketAddrV4, ticket: u32) {
        let peers = self.peers.pick_list_holders(&mut self.rng, now, 0, HOLDERS);
        let page = PullPage { request_id: ticket, is_busy: true, peers, ..PullPage::default() };
        self.send_message(to, MessageBody::PullPage(page));
    }

    /// Sends as many pages as one question is answered with.
    fn send_pages(
        &mut self,
        now: ClockTime,
        to: SocketAddrV4,
        ticket: u32,
        mut cursor: ListCursor,
        reach: ChangeCoverage,
    ) {
        for index in 0..PAGES_PER_REQUEST {
            let (rows, next) = self.packed_page(now, &cursor, MAX_PAGE_ROW_BYTES);
            let message = PullPage {
                request_id: ticket,
                index,
                has_more: next.is_some(),
                rows: Some(rows),
                is_snapshot: reach == ChangeCoverage::Unavailable,
                has_gap: reach == ChangeCoverage::AcrossGap,
                head: self.list.head(),
                floor: self.list.floor(),
                confirmations: if index == 0 {
                    self.confirmation_messages(now, MAX_CONFIRMATIONS)
                } else {
                    Vec::new()
                },
                is_busy: false,
                peers: Vec::new(),
                incarnation: self.descriptor.incarnation,
            };
            let cost = message.encoded_len() as u64 * 1_000_000 / CHANGES_BYTES_PER_S;
            self.page_budget_free_at =
                self.page_budget_free_at.max(now).after(Duration::from_micros(cost));
            self.send_message(to, MessageBody::PullPage(message));
            let Some(next) = next else {
                self.served.remove(&to);
                return;
            };
            cursor = next;
        }
    }

    /// Takes a page of the transfer that goes on; the last puts all of it in force.
    pub(crate) fn handle_pull_page(&mut self, now: ClockTime, page: PullPage) {
        let Some(mut pull) = self.pull.take_if(|pull| pull.ticket == page.request_id) else {
            return;
        };
        let from = pull.from;
        if page.is_busy {
            self.merge_peers(now, &page.peers);
            let wait = self.rng.random_range(BUSY_MS..BUSY_MS * 3);
            self.next_seed_query_at = self.next_seed_query_at.max(now.after_millis(wait));
            self.next_pull = Some((now.after_millis(wait), from));
            return;
        }
        self.merge_confirmations(now, &page.confirmations);
        match pull.take(now, page) {
            PullStep::Ask(question) => {
                self.send_message(from, MessageBody::PullRequest(question));
                self.pull = Some(pull);
            }
            PullStep::Done { rows, kind, head, floor } => {
                let known = self.list.head();
                if known == 0 && head < self.preview.head() {
                    return;
                }
                self.retain_config_across_restore(head);
                let taken = match kind {
                    PulledKind::Copy => self.list.apply_snapshot(now, rows, head, floor),
                    PulledKind::Changes => self.list.apply_changes(now, rows, head),
                    PulledKind::OverGap { known } if self.can_apply_gap_after(known) => {
                        self.list.apply_changes_across_gap(now, rows, head)
                    }
                    // News that came meanwhile may lie within the gap.
                    PulledKind::OverGap { .. } => return self.begin_pull(now, from),
                };
                self.publish_changed_rows(now, taken, known, from.to_string());
                self.update_confirmation();
                if known == 0 {
                    // Others that start at the same time can ask here now.
                    self.disseminate(now, self.list.head(), None);
                }
            }
            PullStep::Wait => {
                self.record_transfer_progress(now);
                self.pull = Some(pull);
            }
            PullStep::Lost => {}
        }
    }
}
