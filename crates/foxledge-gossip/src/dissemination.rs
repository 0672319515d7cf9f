//! What a member tells others, when and whom.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    RetainedConfig,
    list::{ChangeCoverage, ListCursor},
};
use prost::Message;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    effects::{FleetEffect, FleetEvent},
    election::StoreConfirmation,
    member::{BEAT_MS, FleetMember},
    messages::{
        ConfirmationMessage, FleetMessage, HeartbeatMessage, MAX_BODY_BYTES, MAX_MESSAGE_BYTES,
        MessageBody,
    },
    packing::{PackedRows, RowPacker},
    peer_selection::SampleSize,
};

/// Heartbeats, on average, after which an instance that knows nobody nearby asks a seed for
/// some: told by far instances alone it hears of most news too late.
const ALONE_BEATS: u32 = 4;
/// Instances that one must know to be told of none with an answer: in a view of as many, news
/// reach it by several ways.
const FEW_PEERS: u32 = 24;
/// Bytes of rows in one message, so that the rest of it has room.
pub(crate) const MAX_HEARTBEAT_ROW_BYTES: usize = 900;
/// Age of the last confirmation at which peers are asked for a newer one, in
/// milliseconds: a reader's period of 1.1 s and some room.
pub(crate) const CONFIRMATION_QUERY_AGE_MS: u64 = 1_250;
/// Peers of the own data centre that news are passed on to. One epidemic misses a few, the
/// next reaches them.
pub(crate) const SAME_CENTRE_FANOUT: usize = 3;
/// Peers of each other data centre that a reader tells at first hand.
const FAR_FANOUT: usize = 2;
/// Time between the two questions, in milliseconds.
const DOUBT_AGAIN_MS: u64 = 250;
/// Instances of a large data centre that pass news on to each other one, on average.
const FAR_TELLERS: u32 = 3;
/// The same for news that came from another data centre: that one tells all others, and this
/// is needed only round a cut between two.
const FAR_RETELLERS: u32 = 1;
/// Instances of a data centre up to which one of four passes news on, as this many make
/// the same number of them.
const LARGE_CENTRE: u32 = FAR_TELLERS * (FAR_TELLERS + 1);
/// Readers told with each heartbeat.
pub(crate) const MAX_CONFIRMATIONS: usize = 3;
/// Shortest time between two heartbeats that tell of instances and of all readers, in
/// milliseconds: a little less than a reader's period, whose news are the usual ones. They
/// would be most of each message.
const WHOLE_MS: u64 = 900;

/// `UpdateOrigin` is where the newest news of the list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOrigin {
    /// From the store, by an instance of the own data centre.
    SameCentre,
    /// From another data centre.
    RemoteCentre,
}

/// `BeatScope` is how much a heartbeat tells beside rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BeatScope {
    /// The newest answer of the store.
    News,
    /// The last answers of all readers.
    Answer,
    /// Few instances, and the last answers of all readers.
    Far,
    /// Some instances, and the last answers of all readers.
    Whole,
}

/// `ToldRows` is the changed rows of a heartbeat, and from where on they hold every change.
#[derive(Default)]
struct ToldRows {
    base: Option<u64>,
    /// The same where some that came and went are unknown.
    gap_base: Option<u64>,
    rows: Option<PackedRows>,
}

impl FleetMember {
    /// Asks peers for a newer confirmation than the known one, twice.
    ///
    /// One in twenty instances misses an epidemic. Without the question, those
    /// with good ranks would take the readers for dead every few seconds, and
    /// each time call the store.
    pub(crate) fn query_confirmation(&mut self, now: ClockTime) {
        let Some(doubt) = self.next_confirmation_query_at.filter(|at| at.is_past(now)) else {
            return;
        };
        let is_first =
            self.confirmed_at.is_some_and(|at| doubt <= at.after_millis(CONFIRMATION_QUERY_AGE_MS));
        self.next_confirmation_query_at = is_first.then(|| now.after_millis(DOUBT_AGAIN_MS));
        let mut to = self.peers.pick_same_centre(&mut self.rng, now, 2);
        let far = self.peers.pick_remote(&mut self.rng, 1);
        to.extend(far.into_iter().take(1));
        let mut beat = self.beat_message(now, None, BeatScope::News);
        beat.wants_response = true;
        for address in to {
            self.send_message(address, MessageBody::Heartbeat(beat.clone()));
        }
    }

    /// Asks a seed for an answer, as no list or no peer is known; a seed asks the others.
    ///
    /// When a fleet starts at once, a seed answers a hundred instances before it gets to
    /// anything else, the list included, and asked by all others together it needs three
    /// times as long. A seed that is dead costs its askers one period of questions.
    pub(crate) fn query_seeds(&mut self, now: ClockTime) {
        let own = self.options.address;
        let mut seeds = self.options.seeds.clone();
        if !seeds.contains(&own) {
            seeds = seeds.choose(&mut self.rng).copied().into_iter().collect();
        }
        let mut beat = self.beat_message(now, None, BeatScope::Whole);
        beat.wants_response = true;
        for seed in seeds.into_iter().filter(|seed| *seed != own) {
            self.send_message(seed, MessageBody::Heartbeat(beat.clone()));
        }
    }

    /// Sends the heartbeat that is due, and forgets who has been silent.
    pub(crate) fn send_periodic_heartbeat(&mut self, now: ClockTime) {
        self.evidence.remove_expired(now);
        for loss in self.peers.remove_lost(now) {
            self.remove_lost_peer_load(&loss);
            self.effects.push(FleetEffect::LogEvent(FleetEvent::from_loss(loss)));
        }
        if self.peers.len() == 0 || self.is_alone(now) && self.rng.random_ratio(1, ALONE_BEATS) {
            self.query_seeds(now);
        }
        self.disseminate(now, self.list.head(), None);
    }

    /// True when no other instance of the own data centre is known: there may be none, or
    /// those that this one asked at its start knew none.
    fn is_alone(&self, now: ClockTime) -> bool {
        self.peers.count_same_centre(now) == 0
    }

    /// Passes news on to some peers nearby, and now and then to one far away.
    pub(crate) fn disseminate(&mut self, now: ClockTime, base: u64, but: Option<SocketAddrV4>) {
        let mut near = self.peers.pick_same_centre(&mut self.rng, now, SAME_CENTRE_FANOUT + 1);
        near.retain(|address| Some(*address) != but);
        near.truncate(SAME_CENTRE_FANOUT);
        let far = self.pick_remote_sometimes(now, self.update_origin);
        self.send_heartbeats(now, base, near, far);
        self.ask_quiet(now, base);
    }

    /// Asks an instance nearby that was silent for long, and one of a data centre that was,
    /// and tells them the same.
    fn ask_quiet(&mut self, now: ClockTime, base: u64) {
        let near = self.peers.pick_quiet(&mut self.rng, now);
        let far = match self.next_centre_query_at.is_past(now) {
            true => self.peers.pick_unheard(&mut self.rng, now),
            false => None,
        };
        if far.is_some() {
            self.next_centre_query_at = now.after_millis(BEAT_MS);
        }
        let to: Vec<_> = near.into_iter().chain(far).collect();
        if to.is_empty() {
            return;
        }
        let mut beat = self.beat_message(now, Some(base), BeatScope::News);
        beat.wants_response = true;
        for address in to {
            self.send_message(address, MessageBody::Heartbeat(beat.clone()));
        }
    }

    /// An instance of each other data centre with some probability: one of a small data
    /// centre's instances on average, and [`FAR_TELLERS`] of a large one's, tell it, or
    /// [`FAR_RETELLERS`] what they have heard from another one themselves.
    pub(crate) fn pick_remote_sometimes(
        &mut self,
        now: ClockTime,
        from: UpdateOrigin,
    ) -> Vec<SocketAddrV4> {
        let all = self.peers.count_same_centre(now) as u32 + 1;
        let (tellers, of) = match (all, from) {
            (0..=LARGE_CENTRE, _) => (1, all.min(FAR_TELLERS + 1)),
            (_, UpdateOrigin::SameCentre) => (FAR_TELLERS, all),
            (_, UpdateOrigin::RemoteCentre) => (FAR_RETELLERS, all),
        };
        if !self.rng.random_ratio(tellers, of) {
            return Vec::new();
        }
        self.peers.pick_remote(&mut self.rng, 1)
    }

    /// Tells news of the store to peers nearby and in every data centre.
    pub(crate) fn disseminate_widely(&mut self, now: ClockTime, base: u64) {
        let near = self.peers.pick_same_centre(&mut self.rng, now, SAME_CENTRE_FANOUT);
        let far = self.peers.pick_remote(&mut self.rng, FAR_FANOUT);
        self.send_heartbeats(now, base, near, far);
    }

    /// Sends a heartbeat with the rows after `base` to some instances of the own data centre
    /// and of others.
    pub(crate) fn send_heartbeats(
        &mut self,
        now: ClockTime,
        base: u64,
        near: Vec<SocketAddrV4>,
        far: Vec<SocketAddrV4>,
    ) {
        self.announced_confirmation_at = self.confirmed_at.unwrap_or(ClockTime::ZERO);
        let is_whole = self.next_full_heartbeat_at.is_past(now);
        if is_whole {
            self.next_heartbeat_at = now.after_millis(BEAT_MS);
            self.next_full_heartbeat_at = now.after_millis(WHOLE_MS);
        }
        let (near_scope, far_scope) = match is_whole {
            true => (BeatScope::Whole, BeatScope::Far),
            false => (BeatScope::News, BeatScope::News),
        };
        self.send_beat(now, base, near_scope, near);
        self.send_beat(now, base, far_scope, far);
    }

    fn send_beat(&mut self, now: ClockTime, base: u64, scope: BeatScope, to: Vec<SocketAddrV4>) {
        if to.is_empty() {
            return;
        }
        let beat = self.beat_message(now, Some(base), scope);
        for address in to {
            self.send_message(address, MessageBody::Heartbeat(beat.clone()));
        }
    }

    /// Answers an instance that asks, or that is behind at what it told; one that knows few
    /// instances is told some.
    pub(crate) fn respond_to_heartbeat(
        &mut self,
        now: ClockTime,
        to: SocketAddrV4,
        asked: &HeartbeatMessage,
    ) {
        let mut beat = self.beat_message(now, Some(asked.head), BeatScope::Answer);
        if beat.rows.is_none() && asked.peer_count < FEW_PEERS {
            let centre = asked.sender.as_ref().map_or("", |card| card.data_centre.as_str());
            beat.peers = self.peers.sample_entries(&mut self.rng, now, centre, SampleSize::WIDE);
        }
        self.send_message(to, MessageBody::Heartbeat(beat));
    }

    /// A heartbeat; with `base`, with the rows that changed after it.
    fn beat_message(
        &mut self,
        now: ClockTime,
        base: Option<u64>,
        scope: BeatScope,
    ) -> HeartbeatMessage {
        let (sample, most_claims) = match scope {
            BeatScope::News => (SampleSize::NONE, 1),
            BeatScope::Answer => (SampleSize::NONE, MAX_CONFIRMATIONS),
            BeatScope::Far => (SampleSize::FAR, MAX_CONFIRMATIONS),
            BeatScope::Whole => (SampleSize::USUAL, MAX_CONFIRMATIONS),
        };
        let told = self.rows_since(now, base);
        let mut beat = HeartbeatMessage {
            sender: Some(self.descriptor.clone()),
            head: self.list.head(),
            base: told.base,
            gap_base: told.gap_base,
            rows: told.rows,
            peers: self.peers.sample_entries(&mut self.rng, now, &self.options.data_centre, sample),
            confirmations: self.confirmation_messages(now, most_claims),
            wants_response: false,
            peer_count: self.peers.len() as u32,
            is_from_remote_centre: self.update_origin == UpdateOrigin::RemoteCentre,
            held_version: self.retained_config.as_ref().map_or(0, RetainedConfig::version),
        };
        // Rows go first: who lacks them asks for them, who lacks instances hears of others.
        while beat.encoded_len() > MAX_BODY_BYTES && beat.peers.pop().is_some() {}
        beat
    }

    /// The rows that changed after `base`, if one message holds them.
    fn rows_since(&self, now: ClockTime, base: Option<u64>) -> ToldRows {
        let Some(base) = base.filter(|base| *base > 0) else { return ToldRows::default() };
        let reach = self.list.coverage_since(base);
        if reach == ChangeCoverage::Unavailable {
            return ToldRows::default();
        }
        if base >= self.list.head() {
            return ToldRows { base: Some(self.list.head()), ..ToldRows::default() };
        }
        match (
            self.packed_page(now, &ListCursor::after_revision(base), MAX_HEARTBEAT_ROW_BYTES),
            reach,
        ) {
            ((_, Some(_)), _) => ToldRows::default(),
            ((rows, None), ChangeCoverage::AcrossGap) => {
                ToldRows { base: None, gap_base: Some(base), rows: Some(rows) }
            }
            ((rows, None), _) => ToldRows { base: Some(base), gap_base: None, rows: Some(rows) },
        }
    }

    /// Rows after a cursor as they travel, and where the next page begins, if there is one.
    pub(crate) fn packed_page(
        &self,
        now: ClockTime,
        cursor: &ListCursor,
        budget: usize,
    ) -> (PackedRows, Option<ListCursor>) {
        let mut packer = RowPacker::default();
        let page = self.list.page_with_size(now, cursor, budget, |row| packer.push(row));
        (packer.finish(page.rows.len()), page.next)
    }

    /// Some readers' last answers, the newest first.
    pub(crate) fn confirmation_messages(
        &self,
        now: ClockTime,
        most: usize,
    ) -> Vec<ConfirmationMessage> {
        let claims = self.election.claims().iter().take(most);
        let message = |claim: &StoreConfirmation| ConfirmationMessage {
            reader: Some(claim.reader.clone()),
            serial: claim.serial,
            age_ms: age_ms(now, claim.confirmed_at),
            head: claim.head,
        };
        claims.map(message).collect()
    }

    /// Sends a message.
    pub(crate) fn send_message(&mut self, to: SocketAddrV4, body: MessageBody) {
        let bytes = FleetMessage { body: Some(body) }.to_datagram();
        debug_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
        self.effects.push(FleetEffect::SendDatagram { to, bytes });
    }
}

/// Age in milliseconds, rounded up: told from hop to hop it mustn't shrink by rounding.
pub(crate) fn age_ms(now: ClockTime, at: ClockTime) -> u32 {
    u32::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
