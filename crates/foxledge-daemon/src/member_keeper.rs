//! The part that knows which instances live.

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
    list_keeper::ListKeeper,
    side::messages::{CallError, LinkCommand},
};

/// Ticks in one heartbeat's time.
const TICKS_PER_BEAT: u32 = 5;

/// `MemberKeeper` is the part that holds the [`Membership`].
pub struct MemberKeeper {
    context: Rc<DaemonContext>,
    membership: Membership,
    tick: Duration,
}

impl MemberKeeper {
    /// Makes the membership from the settings and from what an earlier keeper knew.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<MemberKeeper> {
        let state = context.phase.peer_state();
        let me = PeerInfo { state, ..context.me.borrow().clone() };
        let options = member_options(&context);
        let now = context.clock.now();
        let mut membership = Membership::new(options, me, context.next_seed(), now);
        membership.set_list_version(context.list_version());
        let heartbeat = Duration::from_millis(context.settings.peers.heartbeat_ms);
        let tick = (heartbeat / TICKS_PER_BEAT).max(Duration::from_millis(1));
        let keeper = MemberKeeper { context, membership, tick };
        keeper.share_view();
        call!([cx], on_tick());
        Some(keeper)
    }

    /// Answers a heartbeat.
    pub fn beat_arrived(
        &mut self,
        _cx: CX![],
        beat: Heartbeat,
        answer: oneshot::Sender<HeartbeatReply>,
    ) {
        let now = self.context.clock.now();
        let from = beat.sender.as_ref().and_then(|sender| sender.control_address.parse().ok());
        if let (Some(from), Some(life)) = (from, self.context.directory.get::<LifeCycle>()) {
            call!([life], peer_answered(from));
        }
        let (reply, effects) = self.membership.on_heartbeat(now, beat);
        let _ = answer.send(reply);
        self.carry_out(effects);
    }

    /// Takes the end of a heartbeat of ours.
    pub fn beat_ended(
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
                    call!([life], peer_answered(to));
                }
                self.membership.on_heartbeat_reply(now, &name, reply)
            }
            Err(error) => {
                debug!("members: no heartbeat with {to}: {error}");
                if let Some(life) = life {
                    call!([life], peer_failed(to));
                }
                self.membership.on_heartbeat_failure(now, to)
            }
        };
        self.carry_out(effects);
    }

    /// Takes the end of a relayed probe.
    pub fn probe_ended(&mut self, _cx: CX![], name: String, result: ProbeResult) {
        let now = self.context.clock.now();
        let effects = self.membership.on_probe_result(now, &InstanceName::new(&name), result);
        self.carry_out(effects);
    }

    /// Takes the platform's list of instances, a hint.
    pub fn listing_read(&mut self, _cx: CX![], listing: MemberListing) {
        let effects = self.membership.on_platform_listing(self.context.clock.now(), &listing);
        self.carry_out(effects);
    }

    /// Sets the state in which peers see this instance.
    pub fn set_state(&mut self, _cx: CX![], state: PeerState) {
        let effects = self.membership.set_state(self.context.clock.now(), state);
        self.carry_out(effects);
    }

    /// Sets the version of the list in force.
    pub fn set_version(&mut self, _cx: CX![], version: ListVersion) {
        self.membership.set_list_version(version);
    }

    fn on_tick(&mut self, cx: CX![]) {
        after!(self.tick, [cx], on_tick());
        let effects = self.membership.on_tick(self.context.clock.now());
        self.carry_out(effects);
        self.context.is_reader.set(self.membership.is_reader());
    }

    fn carry_out(&self, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::SendHeartbeat { to, heartbeat: beat } => {
                    self.send(LinkCommand::Beat { to, beat })
                }
                MemberEffect::SendRelayProbe { relay: through, probe } => {
                    self.send(LinkCommand::ProbeFor { through, probe });
                }
                MemberEffect::ViewChanged(_) => self.share_view(),
                MemberEffect::PeerVersion { from, version } => {
                    if let Some(lists) = self.context.directory.get::<ListKeeper>() {
                        call!([lists], peer_version(from, version));
                    }
                }
                MemberEffect::Audit(change) => self.context.record(change),
            }
        }
    }

    fn send(&self, command: LinkCommand) {
        if let Some(link) = self.context.directory.get::<ControlLink>() {
            call!([link], command(command));
        }
    }

    fn share_view(&self) {
        let view = self.membership.view();
        *self.context.view.borrow_mut() = view.clone();
        self.context.metrics.peers.reset();
        for peer in &view.peers {
            let state = peer.state.as_str();
            self.context.metrics.peers.with_label_values(&[state]).inc();
        }
        if let Some(engine) = self.context.directory.get::<EnginePart>() {
            call!([engine], take_view(view));
        }
    }
}

fn member_options(context: &DaemonContext) -> MemberOptions {
    let peers = &context.settings.peers;
    // A keeper that starts anew tries whom the earlier one knew.
    let known = context.view.borrow();
    let mut seeds = peers.seeds.clone();
    seeds.extend(known.peers.iter().map(|peer| peer.control_address));
    let own = context.me.borrow().control_address;
    seeds.sort();
    seeds.dedup();
    seeds.retain(|seed| *seed != own);
    MemberOptions::default()
        .heartbeat_interval(Duration::from_millis(peers.heartbeat_ms))
        .suspect_after(Duration::from_millis(peers.suspect_after_ms))
        .dead_after(Duration::from_millis(peers.dead_after_ms))
        .readers_per_centre(context.settings.platform.readers_per_centre as usize)
        .seeds(seeds)
        .stale_lists(stale_lists(&context.settings))
}
