//! Sending beats and answering them.

use std::{collections::HashSet, net::SocketAddr};

use foxledge_core::{
    names::InstanceName,
    peers::{PeerInfo, PeerState},
    time::ClockTime,
};
use foxledge_wire::{
    control::{CentreSummary, Heartbeat, HeartbeatReply, PeerRecord, RelayProbe},
    convert,
};
use rand::Rng;

use super::{Membership, elected_in};
use crate::{MemberEffect, centres::talker_key};

/// Beats that each observed instance gets within the suspicion time, in halves.
///
/// One and a half: a beat without an answer leaves time for two more, which
/// are sent in the next rounds, and for relayed probes.
const HALF_BEATS_PER_SUSPICION: u128 = 3;
/// Relays that are asked at once about an instance that doesn't answer.
const RELAYS_PER_PROBE: usize = 2;
/// Most addresses tried in one round by an instance that knows nobody.
const HINTS_WHEN_ALONE: usize = 4;

/// `BeatRound` is when the next beats go out, and to how many.
#[derive(Debug)]
pub(super) struct BeatRound {
    next: ClockTime,
    next_hint: ClockTime,
    reach: RoundReach,
}

/// `RoundReach` is to whom the next round goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundReach {
    /// Some of the observed instances, those that wait the longest.
    Some,
    /// All of them, as something that matters has changed.
    All,
}

impl BeatRound {
    pub(super) fn new(now: ClockTime) -> BeatRound {
        BeatRound { next: now, next_hint: now, reach: RoundReach::Some }
    }

    /// Lets the next round go to every observed instance.
    pub(super) fn widen(&mut self) {
        self.reach = RoundReach::All;
    }
}

impl Membership {
    /// Sends the beats of a round, when it is time.
    pub(super) fn send_round(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        if !self.round.next.is_past(now) {
            return;
        }
        // A tenth of jitter keeps instances that started together from beating together.
        let wait = self.options.heartbeat_interval.mul_f64(self.rng.random_range(0.9..1.1));
        self.round.next = now.after(wait);
        let count = match std::mem::replace(&mut self.round.reach, RoundReach::Some) {
            RoundReach::Some => self.beats_per_round(),
            RoundReach::All => self.watch.len(),
        };
        for name in self.watch.due(count) {
            self.beat_watched(now, &name, effects);
        }
    }

    fn beat_watched(
        &mut self,
        now: ClockTime,
        name: &InstanceName,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some((to, unanswered)) = self.watch.beat(now, name) else { return };
        effects.push(self.beat_to(now, to, Some(name)));
        if unanswered > 0 {
            effects.extend(self.probe_through(name));
        }
    }

    fn beats_per_round(&self) -> usize {
        let suspicion = self.options.suspect_after.as_micros().max(1) * 2;
        let beats = self.watch.len() as u128 * HALF_BEATS_PER_SUSPICION;
        (beats * self.options.heartbeat_interval.as_micros()).div_ceil(suspicion).max(1) as usize
    }

    /// Asks a few other instances, drawn, whether `name` answers them.
    ///
    /// The link between here and there may be cut, in one direction even. Without
    /// the way round, an instance that everybody else reaches would be suspected.
    pub(super) fn probe_through(&mut self, name: &InstanceName) -> Vec<MemberEffect> {
        let Some(target) = self.table.get(name) else { return Vec::new() };
        let control_address = target.info.control_address.to_string();
        let is_relay = |peer: &&PeerInfo| peer.state == PeerState::Alive && peer.name != *name;
        let relays: Vec<_> =
            self.table.living().map(|entry| &entry.info).filter(is_relay).collect();
        let drawn = rand::seq::index::sample(
            &mut self.rng,
            relays.len(),
            RELAYS_PER_PROBE.min(relays.len()),
        );
        let probe_through = |index: usize| MemberEffect::SendRelayProbe {
            relay: relays[index].control_address,
            probe: RelayProbe { name: name.to_string(), control_address: control_address.clone() },
        };
        drawn.into_iter().map(probe_through).collect()
    }

    /// Tries addresses that may lead to somebody, at a bounded rate.
    pub(super) fn try_hints(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        if !self.round.next_hint.is_past(now) {
            return;
        }
        let is_alone = self.table.living_len() == 0;
        let wait =
            if is_alone { self.options.heartbeat_interval } else { self.options.retry_every };
        self.round.next_hint = now.after(wait.mul_f64(self.rng.random_range(0.8..1.2)));
        let mut known: HashSet<SocketAddr> =
            self.table.living().map(|entry| entry.info.control_address).collect();
        known.insert(self.me.control_address);
        known.extend(self.centres.fresh_addresses(now));
        let limit = if is_alone { HINTS_WHEN_ALONE } else { 1 };
        for address in self.hints.take_due(now, limit, |address| known.contains(address)) {
            let name = self.table.dead_at(address);
            effects.push(self.beat_to(now, address, name.as_ref()));
        }
    }

    /// Talks to other data centres, if this instance is drawn for it.
    pub(super) fn talk_across(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        let view = self.view.clone();
        let count = self.options.talkers_per_centre;
        let me = &self.me;
        let due =
            self.centres.take_due(now, |centre| elected_in(&view, me, &talker_key(centre), count));
        for to in due {
            let beat = Heartbeat {
                sender: Some(convert::peer_record(&self.me)),
                version: Some(convert::wire_version(self.version)),
                centres: vec![self.own_summary()],
                ..Heartbeat::default()
            };
            effects.push(MemberEffect::SendHeartbeat { to, heartbeat: beat });
        }
    }

    /// Makes the beat to an instance of the own data centre, or to an address of unknown owner.
    pub(super) fn beat_to(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
        name: Option<&InstanceName>,
    ) -> MemberEffect {
        // Whoever is held as suspect or dead is told so first, to refute.
        let accused = name.and_then(|name| self.accusation_of(name));
        let mut news: Vec<_> = accused.into_iter().collect();
        news.extend(self.take_news_records(self.options.news_limit - news.len()));
        let page = self.take_own_page(now, to);
        let join = page.is_some();
        news.extend(page.into_iter().flatten());
        let beat = Heartbeat {
            sender: Some(convert::peer_record(&self.me)),
            version: Some(convert::wire_version(self.version)),
            news,
            centres: self.centres.take_relays(now),
            join,
            table_digest: self.table.digest_with(&self.me),
        };
        MemberEffect::SendHeartbeat { to, heartbeat: beat }
    }

    /// Answers a beat of the own data centre.
    pub(super) fn reply_to(
        &mut self,
        now: ClockTime,
        beat: &Heartbeat,
        corrections: Vec<PeerInfo>,
    ) -> HeartbeatReply {
        let mut news: Vec<_> = corrections.iter().map(convert::peer_record).collect();
        news.truncate(self.options.news_limit);
        news.extend(self.take_news_records(self.options.news_limit - news.len()));
        if beat.join {
            news.extend(self.page_for(beat));
        }
        HeartbeatReply {
            news,
            centres: self.centres.take_relays(now),
            table_digest: self.table.digest_with(&self.me),
            ..self.bare_reply()
        }
    }

    /// A reply that says only who answers, and which list it holds.
    pub(super) fn bare_reply(&self) -> HeartbeatReply {
        HeartbeatReply {
            sender: Some(convert::peer_record(&self.me)),
            version: Some(convert::wire_version(self.version)),
            ..HeartbeatReply::default()
        }
    }

    /// Answers a beat of another data centre: a summary, and one of a third to be found by.
    pub(super) fn foreign_reply(&mut self, now: ClockTime, asking: &str) -> HeartbeatReply {
        let mut centres = vec![self.own_summary()];
        centres.extend(self.centres.next_pointer(now, asking));
        HeartbeatReply { centres, ..self.bare_reply() }
    }

    /// Tells every observed instance once that this one has gone.
    pub(super) fn say_farewell(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        self.round.next = now;
        self.round.widen();
        self.send_round(now, effects);
    }

    fn own_summary(&mut self) -> CentreSummary {
        let view = self.view.clone();
        let alive: Vec<_> = view.peers.iter().filter(|peer| peer.state.can_be_home()).collect();
        let count = self.options.contacts_per_centre.saturating_sub(1);
        let contacts: Vec<_> = view.ranked_homes("contact").into_iter().take(count).collect();
        self.centres.write_own(&self.me, alive.len(), self.version, &contacts)
    }

    /// What the fleet holds against an instance.
    fn accusation_of(&self, name: &InstanceName) -> Option<PeerRecord> {
        let info = &self.table.get(name)?.info;
        let is_accused = matches!(info.state, PeerState::Suspect | PeerState::Dead);
        is_accused.then(|| convert::peer_record(info))
    }

    fn take_news_records(&mut self, limit: usize) -> Vec<PeerRecord> {
        let names = self.news.take(limit, &mut self.rng);
        let record_of = |name| self.table.get(name).map(|entry| convert::peer_record(&entry.info));
        names.iter().filter_map(|name| record_of(name)).collect()
    }
}
