//! Health observations from the packets of callers and from peers.
//!
//! Backend servers respond to callers directly, so an instance sees no response. It sees whether
//! callers continue, fall silent or retransmit, and derives the health of backend servers from
//! that.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use crate::{
    decisions::FlowStall,
    health::{HealthObservation, HealthState, ObservationKind, UnansweredPacket},
    mechanisms::RouterMechanism,
    packet::{FlowKey, FlowPacket, PacketKind},
    router::FlowRouter,
    tracks::{DataRetransmission, LossEvidence, ResponseTiming, TrackEvent},
};

impl FlowRouter {
    /// Counts the openings that have stayed unanswered too long against their backend servers.
    ///
    /// `read_at` is a time at which the socket was empty, or an earlier one. After a pause of this
    /// process the packets with which callers continued wait in the socket. An opening judged
    /// before they are read would count against a backend server that responded long ago.
    pub fn report_overdue_openings(&mut self, read_at: ClockTime) {
        self.is_catching_up = false;
        while let Some(opening) = self.openings.next_overdue(read_at) {
            self.counters.overdue_openings += 1;
            if !self.has_mechanism(RouterMechanism::Suspicion) {
                continue;
            }
            self.observe_health(read_at, opening.backend, |health, trial_delay_ms| {
                health.on_suspicion(read_at, opening.sent_at, trial_delay_ms)
            });
        }
    }

    /// Applies another instance's observation of a backend server.
    pub fn apply_observation(&mut self, now: ClockTime, observation: &HealthObservation) {
        if !self.has_mechanism(RouterMechanism::PeerObservations) {
            return;
        }
        let Some(index) = self.backends.by_number(observation.number) else { return };
        let delays = self.trial_delays;
        let Some(backend) = self.backends.get_mut(index) else { return };
        // A peer that doesn't know the new start yet observed the previous process.
        if backend.incarnation != observation.incarnation {
            return;
        }
        backend.health.on_observation(now, observation, delays.delay_ms(backend.number));
        if backend.health.is_dead(now) {
            self.dead_backends.add(index);
        }
    }

    /// Returns this instance's observations since the last call, to be sent to other instances.
    pub fn drain_observations(&mut self) -> Vec<HealthObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Returns the response times observed since the last call.
    pub fn drain_latencies(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.latencies)
    }

    /// Records a packet in its flow's track, with the priority of its route. Returns a stall if the
    /// caller retransmitted unanswered data.
    pub(crate) fn track_packet(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        index: usize,
        priority: Option<u32>,
    ) -> Option<FlowStall> {
        for (index, was_running) in self.tracks.sweep(now, self.idle_timeout_ms) {
            self.record_flow_end(now, index, was_running);
        }
        if matches!(packet.kind, PacketKind::Finish | PacketKind::Abort) {
            // A caller that gives up acknowledges nothing with its abort, whatever the packet's
            // field holds. Treated as a response, each caller that leaves a dead backend server
            // would revive it.
            if packet.kind == PacketKind::Finish
                && let TrackEvent::RequestAnswered(timing) = self.tracks.final_event(now, packet)
            {
                self.record_response(now, index, timing, priority);
            }
            self.end_track(now, &packet.key);
            return None;
        }
        let former_count = self.tracks.len();
        let group = self.backends.get(index)?.group;
        let event = self.tracks.record_packet(now, packet, (index, group));
        if matches!(event, TrackEvent::RequestStarted | TrackEvent::NextRequestStarted(_)) {
            self.record_arrival(now, index, priority);
        }
        let backend = self.backends.get_mut(index)?;
        if self.tracks.len() > former_count {
            backend.open_flows += 1;
        }
        match event {
            TrackEvent::NoChange => {}
            TrackEvent::RequestStarted => backend.running_requests += 1,
            TrackEvent::NextRequestStarted(requested_at) => {
                backend.health.on_response_since(requested_at)
            }
            TrackEvent::RequestAnswered(timing) => {
                backend.running_requests = backend.running_requests.saturating_sub(1);
                self.record_response(now, index, timing, priority);
            }
            TrackEvent::DataRetransmitted(retransmission) => {
                return Some(self.record_stall(now, index, retransmission));
            }
        }
        None
    }

    /// Counts retransmitted data as evidence against its backend server.
    fn record_stall(
        &mut self,
        now: ClockTime,
        index: usize,
        DataRetransmission { sent_at, retransmissions, evidence }: DataRetransmission,
    ) -> FlowStall {
        self.counters.retransmitted_data += 1;
        let waited_ms = now.since(sent_at).as_millis() as u64;
        // It is unknown when retransmissions that are read after a pause were sent; the backend
        // server may not have received the first transmission before the last one arrived.
        let evidence = if self.is_catching_up { LossEvidence::Suspected } else { evidence };
        let packet = match evidence {
            LossEvidence::Confirmed if !self.is_lossy() => UnansweredPacket::Data,
            _ => UnansweredPacket::UncertainData,
        };
        self.observe_health(now, index, |health, trial_delay_ms| match evidence {
            LossEvidence::Suspected => health.on_suspicion(now, sent_at, trial_delay_ms),
            _ => health.on_unanswered(now, sent_at, packet, trial_delay_ms),
        });
        let health = self.backends.get(index).map(|backend| backend.health).unwrap_or_default();
        let is_lost = evidence != LossEvidence::Suspected;
        FlowStall { waited_ms, retransmissions, health: health.class(now), is_lost }
    }

    /// Returns true if packets are lost on all paths of this instance, so that missing responses
    /// prove little.
    pub(crate) fn is_lossy(&self) -> bool {
        self.losses.is_lossy() && self.has_mechanism(RouterMechanism::LossDoubt)
    }

    fn record_response(
        &mut self,
        now: ClockTime,
        index: usize,
        ResponseTiming { latency, retransmissions }: ResponseTiming,
        priority: Option<u32>,
    ) {
        self.latencies.push(latency);
        self.losses.record_request(retransmissions);
        if let Some(backend) = self.backends.get_mut(index) {
            backend.latency.record_response(now, latency);
        }
        self.record_work_time(now, index, priority, latency);
        self.record_alive(now, index);
    }

    /// Records a response that this instance observed itself.
    pub(crate) fn record_alive(&mut self, now: ClockTime, index: usize) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.last_response_at = Some(now);
            if backend.data_centre != self.options.data_centre {
                self.remote_timeouts = 0;
            }
        }
        self.observe_health(now, index, |health, _| health.on_alive(now));
    }

    pub(crate) fn end_track(&mut self, now: ClockTime, key: &FlowKey) {
        if let Some((index, was_running)) = self.tracks.remove(key) {
            self.record_flow_end(now, index, was_running);
        }
    }

    pub(crate) fn record_flow_end(&mut self, now: ClockTime, index: usize, was_running: bool) {
        let Some(backend) = self.backends.get_mut(index) else { return };
        backend.record_flow_end(now);
        if was_running {
            backend.running_requests = backend.running_requests.saturating_sub(1);
        }
    }

    /// Updates the health of a backend server by `observe`, which gets this instance's trial delay
    /// in milliseconds, and queues the resulting observation for other instances.
    pub(crate) fn observe_health(
        &mut self,
        now: ClockTime,
        index: usize,
        observe: impl FnOnce(&mut HealthState, u64) -> Option<ObservationKind>,
    ) {
        let delays = self.trial_delays;
        let Some(backend) = self.backends.get_mut(index) else { return };
        let kind = observe(&mut backend.health, delays.delay_ms(backend.number));
        if backend.health.is_dead(now) {
            self.dead_backends.add(index);
        }
        let (number, incarnation) = (backend.number, backend.incarnation);
        self.observations.extend(kind.map(|kind| HealthObservation {
            number,
            incarnation,
            kind,
            observed_at: now,
        }));
    }
}
