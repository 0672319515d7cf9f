//! The part that maintains the membership of instances.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use foxledge_core::{
    lists::ListVersion,
    names::InstanceName,
    peers::{PeerInfo, PeerState},
};
use foxledge_members::{MemberEffect, MemberOptions, Membership, ProbeResult};
use foxledge_wire::control::{Heartbeat, HeartbeatReply, MemberListing};
use log::debug;
use stakker::{CX, after, call};
use tokio::sync::oneshot;

use crate::{
    choices::stale_lists,
    context::DaemonContext,
    control_link::ControlLink,
    engine_part::EnginePart,
    life_cycle::LifeCycle,
    list_manager::ListManager,
    side::messages::{CallError, LinkCommand},
};

/// Number of ticks in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 5;

/// Owns the [`Membership`] and applies its effects.
pub struct MemberManager {
    context: Rc<DaemonContext>,
    membership: Membership,
    tick_interval: Duration,
}

impl MemberManager {
    /// Creates the membership from the settings and the peers known before a restart.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<MemberManager> {
        let state = context.phase.peer_state();
        let local_info = PeerInfo { state, ..context.local_info.borrow().clone() };
        let options = member_options(&context);
        let now = context.clock.now();
        let mut membership = Membership::new(options, local_info, context.next_seed(), now);
        membership.set_list_version(context.list_version());
        let heartbeat_interval = Duration::from_millis(context.settings.peers.heartbeat_ms);
        let tick_interval =
            (heartbeat_interval / TICKS_PER_HEARTBEAT).max(Duration::from_millis(1));
        let manager = MemberManager { context, membership, tick_interval };
        manager.publish_view();
        call!([cx], on_tick());
        Some(manager)
    }

    /// Handles a heartbeat of a peer and replies to it.
    pub fn on_heartbeat(
        &mut self,
        _cx: CX![],
        heartbeat: Heartbeat,
        answer: oneshot::Sender<HeartbeatReply>,
    ) {
        let now = self.context.clock.now();
        let from = heartbeat.sender.as_ref().and_then(|sender| sender.control_address.parse().ok());
        if let (Some(from), Some(life)) = (from, self.context.directory.get::<LifeCycle>()) {
            call!([life], on_peer_answer(from));
        }
        let (reply, effects) = self.membership.on_heartbeat(now, heartbeat);
        let _ = answer.send(reply);
        self.apply_effects(effects);
    }

    /// Handles the outcome of a heartbeat that this instance sent.
    pub fn on_heartbeat_outcome(
        &mut self,
        _cx: CX![],
        to: SocketAddr,
        outcome: Result<HeartbeatReply, CallError>,
    ) {
        let now = self.context.clock.now();
        let life = self.context.directory.get::<LifeCycle>();
        let effects = match outcome {
            Ok(reply) => {
                let name = reply.sender.as_ref().map_or("", |sender| sender.name.as_str());
                let name = InstanceName::new(name);
                if let Some(life) = life {
                    call!([life], on_peer_answer(to));
                }
                self.membership.on_heartbeat_reply(now, &name, reply)
            }
            Err(error) => {
                debug!("members: heartbeat to {to} failed: {error}");
                if let Some(life) = life {
                    call!([life], on_peer_failure(to));
                }
                self.membership.on_heartbeat_failure(now, to)
            }
        };
        self.apply_effects(effects);
    }

    /// Handles the outcome of a relayed probe.
    pub fn on_probe_result(&mut self, _cx: CX![], name: String, result: ProbeResult) {
        let now = self.context.clock.now();
        let effects = self.membership.on_probe_result(now, &InstanceName::new(&name), result);
        self.apply_effects(effects);
    }

    /// Handles the platform's listing of instances, which is only a hint.
    pub fn on_platform_listing(&mut self, _cx: CX![], listing: MemberListing) {
        let effects = self.membership.on_platform_listing(self.context.clock.now(), &listing);
        self.apply_effects(effects);
    }

    /// Sets the state that this instance announces to its peers.
    pub fn set_state(&mut self, _cx: CX![], state: PeerState) {
        let effects = self.membership.set_state(self.context.clock.now(), state);
        self.apply_effects(effects);
    }

    /// Sets the version of the list in force.
    pub fn set_list_version(&mut self, _cx: CX![], version: ListVersion) {
        self.membership.set_list_version(version);
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(self.tick_interval, [cx], on_tick());
        let effects = self.membership.on_tick(self.context.clock.now());
        self.apply_effects(effects);
        self.context.is_reader.set(self.membership.is_reader());
    }

    fn apply_effects(&self, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::SendHeartbeat { to, heartbeat } => {
                    self.send_command(LinkCommand::SendHeartbeat { to, heartbeat })
                }
                MemberEffect::SendRelayProbe { relay, probe } => {
                    self.send_command(LinkCommand::SendRelayProbe { relay, probe });
                }
                MemberEffect::ViewChanged(_) => self.publish_view(),
                MemberEffect::PeerVersion { from, version } => {
                    if let Some(lists) = self.context.directory.get::<ListManager>() {
                        call!([lists], on_peer_version(from, version));
                    }
                }
                MemberEffect::Audit(change) => self.context.record(change),
            }
        }
    }

    fn send_command(&self, command: LinkCommand) {
        if let Some(link) = self.context.directory.get::<ControlLink>() {
            call!([link], send_command(command));
        }
    }

    fn publish_view(&self) {
        let view = self.membership.view();
        *self.context.peer_view.borrow_mut() = view.clone();
        self.context.metrics.peers.reset();
        for peer in &view.peers {
            let state = peer.state.as_str();
            self.context.metrics.peers.with_label_values(&[state]).inc();
        }
        if let Some(engine) = self.context.directory.get::<EnginePart>() {
            call!([engine], apply_peer_view(view));
        }
    }
}

fn member_options(context: &DaemonContext) -> MemberOptions {
    let peers = &context.settings.peers;
    // After a restart of this part, the peers known before serve as seeds.
    let known_view = context.peer_view.borrow();
    let mut seeds = peers.seeds.clone();
    seeds.extend(known_view.peers.iter().map(|peer| peer.control_address));
    let local_address = context.local_info.borrow().control_address;
    seeds.sort();
    seeds.dedup();
    seeds.retain(|seed| *seed != local_address);
    MemberOptions::default()
        .heartbeat_interval(Duration::from_millis(peers.heartbeat_ms))
        .suspect_after(Duration::from_millis(peers.suspect_after_ms))
        .dead_after(Duration::from_millis(peers.dead_after_ms))
        .readers_per_centre(context.settings.platform.readers_per_centre as usize)
        .seeds(seeds)
        .stale_lists(stale_lists(&context.settings))
}
