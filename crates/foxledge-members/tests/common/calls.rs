//! Simulation of the calls between the nodes of a fleet.

use std::{cmp::Reverse, net::SocketAddr};

use foxledge_core::names::InstanceName;
use foxledge_members::{MemberEffect, ProbeResult};
use foxledge_wire::control::{Heartbeat, HeartbeatReply};
use prost::Message;
use rand::Rng;

use super::{Fleet, TICK_US};

const LATENCY_US: u64 = 500;
const CALL_TIMEOUT_US: u64 = 500_000;

/// A scheduled event in the fleet.
pub enum FleetEvent {
    Tick { node: usize },
    Request { call: u64, heartbeat: Box<Heartbeat> },
    Response { call: u64, reply: Box<HeartbeatReply> },
    Relay { call: u64, target: SocketAddr },
    RelayResult { call: u64, result: ProbeResult },
    Timeout { call: u64 },
}

/// A call between two nodes that has not ended.
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
            FleetEvent::Request { call, heartbeat } => self.request(call, heartbeat),
            FleetEvent::Response { call, reply } => self.response(call, reply),
            FleetEvent::Relay { call, target } => self.relay(call, target),
            FleetEvent::RelayResult { call, result } => self.relay_result(call, result),
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

    fn request(&mut self, call: u64, heartbeat: Box<Heartbeat>) {
        let Some(FleetCall { caller, to, .. }) = self.calls.get(&call) else { return };
        let (caller, Some(callee)) = (*caller, self.node_at.get(to).copied()) else { return };
        if !self.nodes[callee].is_up {
            return;
        }
        let frozen_for = self.nodes[callee].frozen_until.saturating_sub(self.now);
        if frozen_for > 0 {
            return self.push(frozen_for, FleetEvent::Request { call, heartbeat });
        }
        let mut answer = None;
        self.call(callee, |member, now| {
            let (reply, effects) = member.on_heartbeat(now, *heartbeat);
            answer = Some(reply);
            effects
        });
        let Some(reply) = answer else { return };
        self.count(callee, reply.encoded_len(), reply.news.len());
        if self.delivers(callee, caller) {
            self.push(LATENCY_US, FleetEvent::Response { call, reply: Box::new(reply) });
        }
    }

    fn response(&mut self, call: u64, reply: Box<HeartbeatReply>) {
        let Some(ended) = self.calls.remove(&call) else { return };
        let Some(callee) = self.node_at.get(&ended.to).copied() else { return };
        let name = self.nodes[callee].info.name.clone();
        if self.nodes[ended.caller].is_up {
            self.call(ended.caller, |member, now| member.on_heartbeat_reply(now, &name, *reply));
        }
    }

    fn relay(&mut self, call: u64, target: SocketAddr) {
        let Some(relay) = self.calls.get(&call).and_then(|call| self.node_at.get(&call.to)) else {
            return;
        };
        let relay = *relay;
        if !self.is_responsive(relay) {
            return;
        }
        let target = self.node_at.get(&target).copied();
        let reached = target.filter(|target| {
            self.is_responsive(*target)
                && self.delivers(relay, *target)
                && self.delivers(*target, relay)
        });
        let (delay, result) = match reached {
            Some(_) => (LATENCY_US * 3, ProbeResult::Answered),
            None => (CALL_TIMEOUT_US / 2, ProbeResult::Unanswered),
        };
        self.push(delay, FleetEvent::RelayResult { call, result });
    }

    fn relay_result(&mut self, call: u64, result: ProbeResult) {
        let Some(ended) = self.calls.remove(&call) else { return };
        let Some(name) = ended.probed else { return };
        self.call(ended.caller, |member, now| member.on_probe_result(now, &name, result));
    }

    fn timeout(&mut self, call: u64) {
        let Some(ended) = self.calls.remove(&call) else { return };
        if !self.nodes[ended.caller].is_up {
            return;
        }
        match ended.probed {
            Some(name) => self.call(ended.caller, |member, now| {
                member.on_probe_result(now, &name, ProbeResult::Unanswered)
            }),
            None => {
                self.call(ended.caller, |member, now| member.on_heartbeat_failure(now, ended.to))
            }
        }
    }

    pub(super) fn apply_effects(&mut self, node: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::SendHeartbeat { to, heartbeat } => {
                    self.count(node, heartbeat.encoded_len(), heartbeat.news.len());
                    let heartbeat = Box::new(heartbeat);
                    self.open(node, to, None, |call| FleetEvent::Request { call, heartbeat });
                }
                MemberEffect::SendRelayProbe { relay, probe } => {
                    self.count(node, probe.encoded_len(), 0);
                    let target =
                        probe.control_address.parse().expect("a probe has a valid control address");
                    let name = Some(InstanceName::new(&probe.name));
                    self.open(node, relay, name, |call| FleetEvent::Relay { call, target });
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
        if self.node_at.get(&to).copied().is_some_and(|callee| self.delivers(caller, callee)) {
            self.push(LATENCY_US, event(call));
        }
    }

    fn is_responsive(&self, node: usize) -> bool {
        self.nodes[node].is_up && self.nodes[node].frozen_until <= self.now
    }

    fn delivers(&mut self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to)) && !self.rng.random_bool(self.loss_rate)
    }

    fn count(&mut self, node: usize, bytes: usize, update_records: usize) {
        let node = &mut self.nodes[node];
        node.sent_bytes += bytes as u64;
        node.sent_messages += 1;
        node.max_update_records = node.max_update_records.max(update_records);
    }
}
