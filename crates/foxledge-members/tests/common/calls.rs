//! Calls between the nodes of a fleet, and what becomes of them.

use std::{cmp::Reverse, net::SocketAddr};

use foxledge_core::names::InstanceName;
use foxledge_members::{MemberEffect, ProbeResult};
use foxledge_wire::control::{Heartbeat, HeartbeatReply};
use prost::Message;
use rand::Rng;

use super::{Fleet, TICK_US};

const LATENCY_US: u64 = 500;
const CALL_TIMEOUT_US: u64 = 500_000;

/// `FleetEvent` is something that happens in the fleet at a set time.
pub enum FleetEvent {
    Tick { node: usize },
    Request { call: u64, beat: Box<Heartbeat> },
    Response { call: u64, reply: Box<HeartbeatReply> },
    Relay { call: u64, target: SocketAddr },
    RelayEnd { call: u64, result: ProbeResult },
    Timeout { call: u64 },
}

/// `FleetCall` is a call between two nodes that hasn't ended.
pub struct FleetCall {
    caller: usize,
    to: SocketAddr,
    probed: Option<InstanceName>,
}

impl Fleet {
    pub(super) fn push(&mut self, delay: u64, event: FleetEvent) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + delay, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    pub(super) fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Tick { node } => self.tick(node),
            FleetEvent::Request { call, beat } => self.request(call, beat),
            FleetEvent::Response { call, reply } => self.response(call, reply),
            FleetEvent::Relay { call, target } => self.relay(call, target),
            FleetEvent::RelayEnd { call, result } => self.relay_end(call, result),
            FleetEvent::Timeout { call } => self.timeout(call),
        }
    }

    fn tick(&mut self, node: usize) {
        if !self.nodes[node].is_up {
            return;
        }
        let frozen_for = self.nodes[node].frozen_until.saturating_sub(self.now);
        if frozen_for > 0 {
            return self.push(frozen_for, FleetEvent::Tick { node });
        }
        self.call(node, |member, now| member.on_tick(now));
        self.push(TICK_US, FleetEvent::Tick { node });
    }

    fn request(&mut self, call: u64, beat: Box<Heartbeat>) {
        let Some(FleetCall { caller, to, .. }) = self.calls.get(&call) else { return };
        let (caller, Some(callee)) = (*caller, self.at.get(to).copied()) else { return };
        if !self.nodes[callee].is_up {
            return;
        }
        let frozen_for = self.nodes[callee].frozen_until.saturating_sub(self.now);
        if frozen_for > 0 {
            return self.push(frozen_for, FleetEvent::Request { call, beat });
        }
        let mut answer = None;
        self.call(callee, |member, now| {
            let (reply, effects) = member.on_heartbeat(now, *beat);
            answer = Some(reply);
            effects
        });
        let Some(reply) = answer else { return };
        self.count(callee, reply.encoded_len(), reply.news.len());
        if self.passes(callee, caller) {
            self.push(LATENCY_US, FleetEvent::Response { call, reply: Box::new(reply) });
        }
    }

    fn response(&mut self, call: u64, reply: Box<HeartbeatReply>) {
        let Some(done) = self.calls.remove(&call) else { return };
        let Some(callee) = self.at.get(&done.to).copied() else { return };
        let name = self.nodes[callee].info.name.clone();
        if self.nodes[done.caller].is_up {
            self.call(done.caller, |member, now| member.on_heartbeat_reply(now, &name, *reply));
        }
    }

    fn relay(&mut self, call: u64, target: SocketAddr) {
        let Some(via) = self.calls.get(&call).and_then(|call| self.at.get(&call.to)) else {
            return;
        };
        let via = *via;
        if !self.answers_now(via) {
            return;
        }
        let target = self.at.get(&target).copied();
        let reached = target.filter(|target| {
            self.answers_now(*target) && self.passes(via, *target) && self.passes(*target, via)
        });
        let (delay, result) = match reached {
            Some(_) => (LATENCY_US * 3, ProbeResult::Answered),
            None => (CALL_TIMEOUT_US / 2, ProbeResult::Unanswered),
        };
        self.push(delay, FleetEvent::RelayEnd { call, result });
    }

    fn relay_end(&mut self, call: u64, result: ProbeResult) {
        let Some(done) = self.calls.remove(&call) else { return };
        let Some(name) = done.probed else { return };
        self.call(done.caller, |member, now| member.on_probe_result(now, &name, result));
    }

    fn timeout(&mut self, call: u64) {
        let Some(done) = self.calls.remove(&call) else { return };
        if !self.nodes[done.caller].is_up {
            return;
        }
        match done.probed {
            Some(name) => self.call(done.caller, |member, now| {
                member.on_probe_result(now, &name, ProbeResult::Unanswered)
            }),
            None => self.call(done.caller, |member, now| member.on_heartbeat_failure(now, done.to)),
        }
    }

    pub(super) fn carry_out(&mut self, node: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::SendHeartbeat { to, heartbeat: beat } => {
                    self.count(node, beat.encoded_len(), beat.news.len());
                    let beat = Box::new(beat);
                    self.open(node, to, None, |call| FleetEvent::Request { call, beat });
                }
                MemberEffect::SendRelayProbe { relay: through, probe } => {
                    self.count(node, probe.encoded_len(), 0);
                    let target = probe.control_address.parse().expect("an address");
                    let name = Some(InstanceName::new(&probe.name));
                    self.open(node, through, name, |call| FleetEvent::Relay { call, target });
                }
                MemberEffect::PeerVersion { from, version } => {
                    self.nodes[node].versions.push((from, version));
                }
                MemberEffect::Audit(change) => self.nodes[node].audits.push(change),
                MemberEffect::ViewChanged(_) => {}
            }
        }
    }

    fn open(
        &mut self,
        caller: usize,
        to: SocketAddr,
        probed: Option<InstanceName>,
        event: impl FnOnce(u64) -> FleetEvent,
    ) {
        self.next_id += 1;
        let call = self.next_id;
        self.calls.insert(call, FleetCall { caller, to, probed });
        self.push(CALL_TIMEOUT_US, FleetEvent::Timeout { call });
        if self.at.get(&to).copied().is_some_and(|callee| self.passes(caller, callee)) {
            self.push(LATENCY_US, event(call));
        }
    }

    fn answers_now(&self, node: usize) -> bool {
        self.nodes[node].is_up && self.nodes[node].frozen_until <= self.now
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to)) && !self.rng.random_bool(self.loss)
    }

    fn count(&mut self, node: usize, bytes: usize, news: usize) {
        let node = &mut self.nodes[node];
        node.sent_bytes += bytes as u64;
        node.sent_messages += 1;
        node.most_news = node.most_news.max(news);
    }
}
