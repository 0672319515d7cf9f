//! The decisions of one caller's feed: datagrams and time in, effects out.

use std::collections::BTreeSet;

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::{Packet, PacketKind};

use super::{
    effects::{CallerEffect, FlowNote},
    identity::FlowIdentity,
    pace::SendPace,
};
use crate::backend::content::read_feed_payload;

/// Time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 1000;
/// Silence after which the feed is polled at once, in milliseconds.
const SILENCE_MS: u64 = 3000;
/// Polls into silence before the feed is reopened.
const SILENT_POLLS: u32 = 3;
/// Time without the next item after which the feed counts as broken, in milliseconds.
pub const BROKEN_MS: u64 = 10_000;
/// Least time between two polls for a missing item, in milliseconds.
const REPAIR_MS: u64 = 100;
/// Wait before a refused feed is opened again without a hint, in milliseconds.
const REOPEN_MS: u64 = 250;
/// Most items kept that came ahead of a missing one.
const MAX_AHEAD: usize = 256;
/// How long a backend server has to open the feed, in milliseconds.
const OPENING_MS: u64 = 2000;

/// `FeedFlow` is one caller's feed.
///
/// Items count in the order of their sequence, without gaps, wherever they come from.
pub struct FeedFlow {
    identity: FlowIdentity,
    request: u64,
    token: Vec<u8>,
    phase: FeedPhase,
    last: u64,
    ahead: BTreeSet<u64>,
    heard_by: ClockTime,
    silent_polls: u32,
    item_at: ClockTime,
    broken_at: ClockTime,
    repair_at: ClockTime,
    replaced: Option<ReplacedFeed>,
    effects: Vec<CallerEffect>,
}

enum FeedPhase {
    Opening(SendPace),
    Open { next_poll: ClockTime },
    AwaitsRetry(ClockTime),
}

struct ReplacedFeed {
    request: u64,
    token: Vec<u8>,
}

impl FeedFlow {
    /// Makes a feed and its first effects: it is opened at once.
    pub fn open(now: ClockTime, identity: FlowIdentity) -> (FeedFlow, Vec<CallerEffect>) {
        let mut feed = FeedFlow {
            identity,
            request: 0,
            token: Vec::new(),
            phase: FeedPhase::AwaitsRetry(now),
            last: 0,
            ahead: BTreeSet::new(),
            heard_by: now.after_millis(SILENCE_MS),
            silent_polls: 0,
            item_at: now,
            broken_at: now.after_millis(BROKEN_MS),
            repair_at: now,
            replaced: None,
            effects: Vec::new(),
        };
        feed.note(FlowNote::FeedOpened);
        feed.send_opening(now);
        let effects = feed.take_effects();
        (feed, effects)
    }

    /// Takes one packet that names this flow.
    pub fn on_packet(&mut self, now: ClockTime, packet: &Packet) -> Vec<CallerEffect> {
        if packet.kind() == PacketKind::FeedItem {
            self.on_item(now, packet);
        }
        if packet.request == self.request {
            self.on_present(now, packet);
        }
        self.take_effects()
    }

    /// Does what is due.
    pub fn on_wake(&mut self, now: ClockTime) -> Vec<CallerEffect> {
        if self.broken_at.is_past(now) {
            self.note(FlowNote::FeedBroken);
            self.broken_at = now.after_millis(BROKEN_MS);
        }
        match &mut self.phase {
            FeedPhase::Opening(pace) => {
                if pace.is_due(now) {
                    self.note(FlowNote::Resent);
                    self.send_work(now);
                }
            }
            FeedPhase::AwaitsRetry(at) => {
                if at.is_past(now) {
                    self.reopen(now);
                }
            }
            FeedPhase::Open { next_poll } => {
                if next_poll.is_past(now) || self.heard_by.is_past(now) {
                    self.beat(now);
                }
            }
        }
        self.take_effects()
    }

    /// When [`FeedFlow::on_wake`] is due next.
    pub fn next_wake(&self) -> ClockTime {
        let next = match &self.phase {
            FeedPhase::Opening(pace) => pace.next(),
            FeedPhase::AwaitsRetry(at) => *at,
            FeedPhase::Open { next_poll } => (*next_poll).min(self.heard_by),
        };
        next.min(self.broken_at)
    }

    /// Closes the feed.
    pub fn close(&mut self) -> Vec<CallerEffect> {
        self.send_cancel(self.request, self.token.clone());
        self.take_effects()
    }

    /// The last item in order.
    pub fn position(&self) -> u64 {
        self.last
    }

    /// Names the service that must answer, once it is known.
    pub fn expect_service(&mut self, service: foxledge_core::names::ServiceName) {
        self.identity.service = Some(service);
    }

    /// Takes in an item, of the present request or of one that it replaced.
    fn on_item(&mut self, now: ClockTime, packet: &Packet) {
        let Some((service, sequence)) = read_feed_payload(&packet.payload) else {
            return self.note(FlowNote::Crossed);
        };
        if sequence != packet.sequence {
            return self.note(FlowNote::Crossed);
        }
        if self.identity.service.as_ref().is_some_and(|own| own.as_str() != service) {
            return self.note(FlowNote::WrongService);
        }
        if self.last == 0 || sequence == self.last + 1 {
            return self.advance(now, sequence);
        }
        if sequence > self.last && self.ahead.len() < MAX_AHEAD {
            self.ahead.insert(sequence);
        }
        if sequence > self.last {
            self.repair(now);
        }
    }

    fn advance(&mut self, now: ClockTime, sequence: u64) {
        let silence_ms = now.since(self.item_at).as_millis() as u64;
        self.note(FlowNote::FeedItem { silence_ms });
        self.last = sequence;
        while self.ahead.remove(&(self.last + 1)) {
            self.last += 1;
            self.note(FlowNote::FeedItem { silence_ms: 0 });
        }
        self.item_at = now;
        self.broken_at = now.after_millis(BROKEN_MS);
    }

    /// An item is missing: the heartbeat says which, and the server sends from there.
    fn repair(&mut self, now: ClockTime) {
        if !self.repair_at.is_past(now) || self.token.is_empty() {
            return;
        }
        self.repair_at = now.after_millis(REPAIR_MS);
        self.note(FlowNote::Resent);
        self.send_poll();
    }

    fn on_present(&mut self, now: ClockTime, packet: &Packet) {
        self.heard_by = now.after_millis(SILENCE_MS);
        self.silent_polls = 0;
        if !packet.token.is_empty() {
            self.token = packet.token.clone();
        }
        match packet.kind() {
            PacketKind::Ack | PacketKind::FeedItem => self.on_opened(now),
            PacketKind::GoAway => self.reopen(now),
            PacketKind::Refusal => self.on_refusal(now, packet),
            _ => (),
        }
    }

    fn on_opened(&mut self, now: ClockTime) {
        if matches!(self.phase, FeedPhase::Open { .. }) {
            return;
        }
        self.phase = FeedPhase::Open { next_poll: now.after_millis(HEARTBEAT_MS) };
        if let Some(replaced) = self.replaced.take() {
            self.send_cancel(replaced.request, replaced.token);
        }
    }

    fn on_refusal(&mut self, now: ClockTime, packet: &Packet) {
        let refusal = packet.refusal.unwrap_or_default();
        let (outcome, reason) = (refusal.outcome(), refusal.reason());
        self.note(FlowNote::Refused { id: None, outcome, reason });
        let wait_ms = u64::from(refusal.retry_after_ms).max(REOPEN_MS);
        self.phase = FeedPhase::AwaitsRetry(now.after_millis(wait_ms));
        self.token.clear();
    }

    /// The heartbeat. What has lost track of the feed on the way stays silent, and only a new
    /// request finds another way; one would notice a feed that is open and has no items.
    fn beat(&mut self, now: ClockTime) {
        if self.heard_by.is_past(now) {
            self.silent_polls += 1;
            self.heard_by = now.after_millis(HEARTBEAT_MS);
        }
        if self.silent_polls > SILENT_POLLS {
            return self.reopen(now);
        }
        self.phase = FeedPhase::Open { next_poll: now.after_millis(HEARTBEAT_MS) };
        self.send_poll();
    }

    fn reopen(&mut self, now: ClockTime) {
        self.note(FlowNote::FeedReopened);
        if !self.token.is_empty() {
            let token = std::mem::take(&mut self.token);
            self.replaced = Some(ReplacedFeed { request: self.request, token });
        }
        self.send_opening(now);
    }

    fn send_opening(&mut self, now: ClockTime) {
        self.request += 1;
        self.silent_polls = 0;
        self.heard_by = now.after_millis(SILENCE_MS);
        self.phase = FeedPhase::Opening(SendPace::first(now));
        self.send_work(now);
    }

    fn send_work(&mut self, now: ClockTime) {
        let mut work = self.identity.packet(PacketKind::Work, self.request);
        work.idempotent = true;
        work.parts = 1;
        work.sequence = self.last;
        work.time_left_ms = now.after_millis(OPENING_MS).remaining_millis(now);
        if let FeedPhase::Opening(pace) = &self.phase {
            work.attempt = pace.resends();
        }
        self.effects.push(CallerEffect::send(&work));
    }

    fn send_poll(&mut self) {
        let mut poll = self.identity.packet(PacketKind::Poll, self.request);
        poll.sequence = self.last;
        poll.token = self.token.clone();
        self.effects.push(CallerEffect::send(&poll));
    }

    fn send_cancel(&mut self, request: u64, token: Vec<u8>) {
        if token.is_empty() {
            return;
        }
        let mut cancel = self.identity.packet(PacketKind::Cancel, request);
        cancel.token = token;
        self.effects.push(CallerEffect::send(&cancel));
    }

    fn note(&mut self, note: FlowNote) {
        self.effects.push(CallerEffect::Note(note));
    }

    fn take_effects(&mut self) -> Vec<CallerEffect> {
        std::mem::take(&mut self.effects)
    }
}
