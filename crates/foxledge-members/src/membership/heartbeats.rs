//! Sending of heartbeats and replies.

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

use super::{Membership, is_elected_in_view};
use crate::{MemberEffect, centres::representative_key};

/// The number of heartbeats, in halves, that each observed instance gets within the suspicion time.
///
/// One and a half: an unanswered heartbeat leaves time for two more, which are sent in the next
/// rounds, and for relayed probes.
const HALF_HEARTBEATS_PER_SUSPICION: u128 = 3;
/// The number of relays that probe an unanswering instance at once.
const RELAYS_PER_PROBE: usize = 2;
/// The maximum number of addresses contacted in one round by an instance without known peers.
const MAX_HINTS_WHEN_ISOLATED: usize = 4;

/// The time and the scope of the next round of heartbeats.
#[derive(Debug)]
pub(super) struct HeartbeatSchedule {
    next_round_at: ClockTime,
    next_hint_at: ClockTime,
    scope: RoundScope,
}

/// The instances that the next round goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundScope {
    /// A part of the observed instances: those not contacted for longest.
    Some,
    /// All observed instances, because of an urgent change.
    All,
}

impl HeartbeatSchedule {
    pub(super) fn new(now: ClockTime) -> HeartbeatSchedule {
        HeartbeatSchedule { next_round_at: now, next_hint_at: now, scope: RoundScope::Some }
    }

    /// Extends the next round to all observed instances.
    pub(super) fn request_full_round(&mut self) {
        self.scope = RoundScope::All;
    }
}

impl Membership {
    /// Sends the heartbeats of a round when it is due.
    pub(super) fn send_heartbeats(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        if !self.schedule.next_round_at.is_past(now) {
            return;
        }
        // Jitter of a tenth, so that instances that started together don't send at the same time.
        let interval = self.options.heartbeat_interval.mul_f64(self.rng.random_range(0.9..1.1));
        self.schedule.next_round_at = now.after(interval);
        let count = match std::mem::replace(&mut self.schedule.scope, RoundScope::Some) {
            RoundScope::Some => self.heartbeats_per_round(),
            RoundScope::All => self.observed.len(),
        };
        for name in self.observed.select_for_round(count) {
            self.heartbeat_observed(now, &name, effects);
        }
    }

    fn heartbeat_observed(
        &mut self,
        now: ClockTime,
        name: &InstanceName,
        effects: &mut Vec<MemberEffect>,
    ) {
        let Some((to, unanswered)) = self.observed.record_heartbeat(now, name) else { return };
        effects.push(self.make_heartbeat(now, to, Some(name)));
        if unanswered > 0 {
            effects.extend(self.probe_via_relays(name));
        }
    }

    fn heartbeats_per_round(&self) -> usize {
        let suspicion = self.options.suspect_after.as_micros().max(1) * 2;
        let heartbeats = self.observed.len() as u128 * HALF_HEARTBEATS_PER_SUSPICION;
        (heartbeats * self.options.heartbeat_interval.as_micros()).div_ceil(suspicion).max(1)
            as usize
    }

    /// Requests probes of `name` from a few randomly selected instances.
    ///
    /// The direct link may be down, possibly in one direction only. Without relayed probes, an
    /// instance that all others reach would be suspected.
    pub(super) fn probe_via_relays(&mut self, name: &InstanceName) -> Vec<MemberEffect> {
        let Some(target) = self.table.get(name) else { return Vec::new() };
        let control_address = target.info.control_address.to_string();
        let is_relay = |peer: &&PeerInfo| peer.state == PeerState::Alive && peer.name != *name;
        let relays: Vec<_> =
            self.table.living().map(|entry| &entry.info).filter(is_relay).collect();
        let selected = rand::seq::index::sample(
            &mut self.rng,
            relays.len(),
            RELAYS_PER_PROBE.min(relays.len()),
        );
        let probe_effect = |index: usize| MemberEffect::SendRelayProbe {
            relay: relays[index].control_address,
            probe: RelayProbe { name: name.to_string(), control_address: control_address.clone() },
        };
        selected.into_iter().map(probe_effect).collect()
    }

    /// Sends heartbeats to hinted addresses at a bounded rate.
    pub(super) fn probe_hints(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        if !self.schedule.next_hint_at.is_past(now) {
            return;
        }
        let is_isolated = self.table.living_count() == 0;
        let interval =
            if is_isolated { self.options.heartbeat_interval } else { self.options.retry_interval };
        self.schedule.next_hint_at = now.after(interval.mul_f64(self.rng.random_range(0.8..1.2)));
        let mut known: HashSet<SocketAddr> =
            self.table.living().map(|entry| entry.info.control_address).collect();
        known.insert(self.local_peer.control_address);
        known.extend(self.centres.reachable_addresses(now));
        let limit = if is_isolated { MAX_HINTS_WHEN_ISOLATED } else { 1 };
        for address in self.hints.poll_due(now, limit, |address| known.contains(address)) {
            let name = self.table.dead_with_address(address);
            effects.push(self.make_heartbeat(now, address, name.as_ref()));
        }
    }

    /// Sends heartbeats to the other data centres for which this instance is elected.
    pub(super) fn send_centre_heartbeats(
        &mut self,
        now: ClockTime,
        effects: &mut Vec<MemberEffect>,
    ) {
        let view = self.view.clone();
        let count = self.options.representatives_per_centre;
        let local_peer = &self.local_peer;
        let due_addresses = self.centres.take_due_addresses(now, |centre| {
            is_elected_in_view(&view, local_peer, &representative_key(centre), count)
        });
        for to in due_addresses {
            let heartbeat = Heartbeat {
                sender: Some(convert::peer_record(&self.local_peer)),
                version: Some(convert::wire_version(self.list_version)),
                centres: vec![self.local_summary()],
                ..Heartbeat::default()
            };
            effects.push(MemberEffect::SendHeartbeat { to, heartbeat });
        }
    }

    /// Makes a heartbeat to an instance of the local data centre, or to an address whose instance
    /// is unknown.
    pub(super) fn make_heartbeat(
        &mut self,
        now: ClockTime,
        to: SocketAddr,
        name: Option<&InstanceName>,
    ) -> MemberEffect {
        // A suspected or dead instance is sent its own record first, so that it can refute.
        let accusation = name.and_then(|name| self.accusation_against(name));
        let mut news: Vec<_> = accusation.into_iter().collect();
        news.extend(self.select_update_records(self.options.update_limit - news.len()));
        let page = self.next_own_page(now, to);
        let join = page.is_some();
        news.extend(page.into_iter().flatten());
        let heartbeat = Heartbeat {
            sender: Some(convert::peer_record(&self.local_peer)),
            version: Some(convert::wire_version(self.list_version)),
            news,
            centres: self.centres.take_relayed_summaries(now),
            join,
            table_digest: self.table.digest_with(&self.local_peer),
        };
        MemberEffect::SendHeartbeat { to, heartbeat }
    }

    /// Makes the reply to a heartbeat of the local data centre.
    pub(super) fn make_reply(
        &mut self,
        now: ClockTime,
        heartbeat: &Heartbeat,
        corrections: Vec<PeerInfo>,
    ) -> HeartbeatReply {
        let mut news: Vec<_> = corrections.iter().map(convert::peer_record).collect();
        news.truncate(self.options.update_limit);
        news.extend(self.select_update_records(self.options.update_limit - news.len()));
        if heartbeat.join {
            news.extend(self.missing_records(heartbeat));
        }
        HeartbeatReply {
            news,
            centres: self.centres.take_relayed_summaries(now),
            table_digest: self.table.digest_with(&self.local_peer),
            ..self.minimal_reply()
        }
    }

    /// Makes a reply with the sender and its list version only.
    pub(super) fn minimal_reply(&self) -> HeartbeatReply {
        HeartbeatReply {
            sender: Some(convert::peer_record(&self.local_peer)),
            version: Some(convert::wire_version(self.list_version)),
            ..HeartbeatReply::default()
        }
    }

    /// Makes the reply to a heartbeat of another data centre: the local summary, and the summary of
    /// a third data centre, which is discovered this way.
    pub(super) fn centre_reply(&mut self, now: ClockTime, requester: &str) -> HeartbeatReply {
        let mut centres = vec![self.local_summary()];
        centres.extend(self.centres.next_third_centre(now, requester));
        HeartbeatReply { centres, ..self.minimal_reply() }
    }

    /// Sends one last heartbeat with the local state to every observed instance.
    pub(super) fn announce_departure(&mut self, now: ClockTime, effects: &mut Vec<MemberEffect>) {
        self.schedule.next_round_at = now;
        self.schedule.request_full_round();
        self.send_heartbeats(now, effects);
    }

    fn local_summary(&mut self) -> CentreSummary {
        let view = self.view.clone();
        let alive: Vec<_> = view.peers.iter().filter(|peer| peer.state.can_be_home()).collect();
        let count = self.options.contacts_per_centre.saturating_sub(1);
        let contacts: Vec<_> = view.ranked_homes("contact").into_iter().take(count).collect();
        self.centres.make_local_summary(&self.local_peer, alive.len(), self.list_version, &contacts)
    }

    /// Returns the record of an instance if it is suspected or dead.
    fn accusation_against(&self, name: &InstanceName) -> Option<PeerRecord> {
        let info = &self.table.get(name)?.info;
        let is_accused = matches!(info.state, PeerState::Suspect | PeerState::Dead);
        is_accused.then(|| convert::peer_record(info))
    }

    fn select_update_records(&mut self, limit: usize) -> Vec<PeerRecord> {
        let names = self.updates.select_batch(limit, &mut self.rng);
        let record_of = |name| self.table.get(name).map(|entry| convert::peer_record(&entry.info));
        names.iter().filter_map(|name| record_of(name)).collect()
    }
}
