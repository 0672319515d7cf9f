//! Which instances of the data centre live.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use foxledge_core::{
    hash::rendezvous_weight,
    lists::ListVersion,
    names::InstanceName,
    peers::{PeerInfo, PeerState, PeerView},
    time::ClockTime,
};
use foxledge_wire::{
    control::{Heartbeat, HeartbeatReply, MemberListing},
    convert,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::{MemberEffect, MemberOptions, ProbeResult};

/// `Membership` is one instance's knowledge of who lives.
pub struct Membership {
    options: MemberOptions,
    me: PeerInfo,
    version: ListVersion,
    peers: BTreeMap<InstanceName, (PeerInfo, ClockTime)>,
    view: Arc<PeerView>,
    next_beat: ClockTime,
    _rng: StdRng,
}

impl Membership {
    /// Makes the membership of one instance, which knows only itself and its seeds.
    pub fn new(options: MemberOptions, me: PeerInfo, seed: u64, now: ClockTime) -> Membership {
        let mut membership = Membership {
            options,
            me,
            version: ListVersion::default(),
            peers: BTreeMap::new(),
            view: Arc::new(PeerView::default()),
            next_beat: now,
            _rng: StdRng::seed_from_u64(seed),
        };
        membership.renew_view();
        membership
    }

    /// Does what is due; call it several times a heartbeat.
    pub fn on_tick(&mut self, now: ClockTime) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        if self.next_beat.is_past(now) {
            self.next_beat = now.after(self.options.heartbeat);
            let mut addresses: Vec<SocketAddr> =
                self.peers.values().map(|(peer, _)| peer.control_address).collect();
            addresses.extend(&self.options.seeds);
            addresses.sort();
            addresses.dedup();
            addresses.retain(|address| *address != self.me.control_address);
            for to in addresses {
                effects.push(MemberEffect::Beat { to, beat: self.beat() });
            }
        }
        for (peer, heard_until) in self.peers.values_mut() {
            if heard_until.is_past(now) {
                peer.state = PeerState::Dead;
            }
        }
        effects.extend(self.renew_view());
        effects
    }

    /// Takes another instance's beat.
    pub fn on_heartbeat(
        &mut self,
        now: ClockTime,
        beat: Heartbeat,
    ) -> (HeartbeatReply, Vec<MemberEffect>) {
        let mut effects = Vec::new();
        let sender = beat.sender.as_ref().and_then(|sender| convert::peer_info(sender).ok());
        if let Some(sender) = sender {
            effects = self.take_sender(now, sender, beat.version.unwrap_or_default());
        }
        let own = self.beat();
        let reply = HeartbeatReply {
            sender: own.sender,
            version: own.version,
            news: own.news,
            centres: own.centres,
            table_digest: own.table_digest,
        };
        (reply, effects)
    }

    /// Takes the answer to a beat; `from` is the name that the caller knows, or the reply's sender.
    pub fn on_reply(
        &mut self,
        now: ClockTime,
        _from: &InstanceName,
        reply: HeartbeatReply,
    ) -> Vec<MemberEffect> {
        let sender = reply.sender.as_ref().and_then(|sender| convert::peer_info(sender).ok());
        let Some(sender) = sender else { return Vec::new() };
        let mut effects = self.take_sender(now, sender, reply.version.unwrap_or_default());
        for record in &reply.news {
            let Ok(info) = convert::peer_info(record) else { continue };
            if info.name != self.me.name && info.state != PeerState::Dead {
                let until = now.after(self.options.dead_after);
                self.peers.entry(info.name.clone()).or_insert((info, until));
            }
        }
        effects.extend(self.renew_view());
        effects
    }

    /// Takes the failure of a beat to a control address.
    pub fn on_failure(&mut self, _now: ClockTime, _from: SocketAddr) -> Vec<MemberEffect> {
        Vec::new()
    }

    /// Takes the end of a relayed probe.
    pub fn on_probe_result(
        &mut self,
        _now: ClockTime,
        _name: &InstanceName,
        _result: ProbeResult,
    ) -> Vec<MemberEffect> {
        Vec::new()
    }

    /// Takes the platform's list of instances: a hint whom to try, and no more.
    pub fn on_platform_list(
        &mut self,
        _now: ClockTime,
        listing: &MemberListing,
    ) -> Vec<MemberEffect> {
        for record in &listing.members {
            if let Ok(info) = convert::peer_info(record)
                && !self.options.seeds.contains(&info.control_address)
            {
                self.options.seeds.push(info.control_address);
            }
        }
        Vec::new()
    }

    /// Sets the own state; it spreads with the next beats.
    pub fn set_state(&mut self, _now: ClockTime, state: PeerState) -> Vec<MemberEffect> {
        self.me.state = state;
        self.renew_view().into_iter().collect()
    }

    /// Sets the version of the list in force here.
    pub fn set_version(&mut self, version: ListVersion) {
        self.version = version;
    }

    /// The present view.
    pub fn view(&self) -> Arc<PeerView> {
        self.view.clone()
    }

    /// True when this instance reads the platform on behalf of its data centre.
    pub fn is_reader(&self) -> bool {
        let mut ranked: Vec<_> = self
            .view
            .peers
            .iter()
            .filter(|peer| peer.state.holds_homes())
            .map(|peer| (rendezvous_weight("platform-reader", &peer.name), &peer.name))
            .collect();
        ranked.sort_by(|a, b| b.cmp(a));
        ranked.truncate(self.options.readers_per_centre);
        ranked.is_empty() || ranked.iter().any(|(_, name)| **name == self.me.name)
    }

    fn beat(&self) -> Heartbeat {
        Heartbeat {
            sender: Some(convert::peer_record(&self.me)),
            version: Some(convert::wire_version(self.version)),
            news: self.peers.values().map(|(peer, _)| convert::peer_record(peer)).collect(),
            ..Heartbeat::default()
        }
    }

    fn take_sender(
        &mut self,
        now: ClockTime,
        sender: PeerInfo,
        version: foxledge_wire::control::ListVersion,
    ) -> Vec<MemberEffect> {
        let mut effects = Vec::new();
        let version = convert::list_version(&version);
        if version.revision > self.version.revision {
            effects.push(MemberEffect::PeerVersion { from: sender.control_address, version });
        }
        if sender.name != self.me.name && sender.data_centre == self.me.data_centre {
            let until = now.after(self.options.dead_after);
            self.peers.insert(sender.name.clone(), (sender, until));
        }
        effects.extend(self.renew_view());
        effects
    }

    fn renew_view(&mut self) -> Option<MemberEffect> {
        let mut peers: Vec<_> = self
            .peers
            .values()
            .map(|(peer, _)| peer.clone())
            .filter(|peer| peer.state != PeerState::Dead)
            .collect();
        peers.push(self.me.clone());
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        let view = PeerView { peers, reachable_centres: vec![self.me.data_centre.clone()] };
        if view == *self.view {
            return None;
        }
        self.view = Arc::new(view);
        Some(MemberEffect::ViewChanged(self.view.clone()))
    }
}
