//! What packets of callers tell of backend servers, and what peers tell.
//!
//! Backend servers answer callers directly. An instance sees callers go on, fall silent
//! or send again, and concludes.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use crate::{
    decisions::FlowStall,
    health::{HealthObservation, HealthState, ObservationKind, UnansweredPacket},
    mechanisms::RouterMechanism,
    packet::{FlowKey, FlowPacket, PacketKind},
    router::FlowRouter,
    tracks::{DataResend, RequestAnswer, ResendMeaning, TrackEvent},
};

impl FlowRouter {
    /// Counts openings that have stayed unanswered against their backend servers.
    ///
    /// `read_at` is when the socket was seen to be empty, or earlier. After a
    /// pause of this process, the packets by which callers went on wait in the
    /// socket; an opening counted before they are read would speak against a
    /// backend server that answered long ago.
    pub fn report_overdue_openings(&mut self, read_at: ClockTime) {
        self.is_catching_up = false;
        while let Some(opening) = self.openings.next_overdue(read_at) {
            self.counters.overdue_openings += 1;
            if !self.has_mechanism(RouterMechanism::Suspicion) {
                continue;
            }
            self.observe_health(read_at, opening.backend, |health, turn_ms| {
                health.on_suspicion(read_at, opening.sent_at, turn_ms)
            });
        }
    }

    /// Takes what another instance observed of a backend server.
    pub fn apply_observation(&mut self, now: ClockTime, note: &HealthObservation) {
        if !self.has_mechanism(RouterMechanism::PeerObservations) {
            return;
        }
        let Some(index) = self.backends.by_number(note.number) else { return };
        let turns = self.trial_delays;
        let Some(backend) = self.backends.get_mut(index) else { return };
        // A peer that doesn't know of the new start yet saw the silence of the former.
        if backend.incarnation != note.incarnation {
            return;
        }
        backend.health.on_observation(now, note, turns.delay_ms(backend.number));
        if backend.health.is_dead(now) {
            self.dead_backends.add(index);
        }
    }

    /// What was observed of backend servers since the last call, for other instances.
    pub fn drain_observations(&mut self) -> Vec<HealthObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Times from requests to their answers seen since the last call.
    pub fn drain_latencies(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.latencies)
    }

    /// Takes a packet into its flow's track, under the priority of its route; tells when the
    /// caller waits in vain.
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
            // A caller that gives up acknowledges nothing by it, whatever its packet holds there.
            // Taken for an answer, each caller that left a dead backend server would revive it.
            if packet.kind == PacketKind::Finish
                && let TrackEvent::Answered(answer) = self.tracks.finish(now, packet)
            {
                self.answered(now, index, answer, priority);
            }
            self.end_track(now, &packet.key);
            return None;
        }
        let before = self.tracks.len();
        let group = self.backends.get(index)?.group;
        let news = self.tracks.record_packet(now, packet, (index, group));
        if matches!(news, TrackEvent::Asked | TrackEvent::AskedAgain(_)) {
            self.record_arrival(now, index, priority);
        }
        let backend = self.backends.get_mut(index)?;
        if self.tracks.len() > before {
            backend.open_flows += 1;
        }
        match news {
            TrackEvent::Nothing => {}
            TrackEvent::Asked => backend.running_requests += 1,
            TrackEvent::AskedAgain(asked) => backend.health.on_answer_since(asked),
            TrackEvent::Answered(answer) => {
                backend.running_requests = backend.running_requests.saturating_sub(1);
                self.answered(now, index, answer, priority);
            }
            TrackEvent::Resent(resend) => return Some(self.stalled(now, index, resend)),
        }
        None
    }

    /// Takes data that stays unanswered as evidence against its backend server.
    fn stalled(
        &mut self,
        now: ClockTime,
        index: usize,
        DataResend { sent, copies, meaning }: DataResend,
    ) -> FlowStall {
        self.counters.retransmitted_data += 1;
        let waited_ms = now.since(sent).as_millis() as u64;
        // A copy that waited while this process stood still was sent nobody knows when; the
        // first of them may not have been sent on before the last came.
        let meaning = if self.is_catching_up { ResendMeaning::Doubt } else { meaning };
        let witness = match meaning {
            ResendMeaning::NewLoss if !self.is_lossy() => UnansweredPacket::Data,
            _ => UnansweredPacket::UncertainData,
        };
        self.observe_health(now, index, |health, turn_ms| match meaning {
            ResendMeaning::Doubt => health.on_suspicion(now, sent, turn_ms),
            _ => health.on_unanswered(now, sent, witness, turn_ms),
        });
        let health = self.backends.get(index).map(|backend| backend.health).unwrap_or_default();
        let is_lost = meaning != ResendMeaning::Doubt;
        FlowStall { waited_ms, retransmissions: copies, health: health.class(now), is_lost }
    }

    /// True when packets are lost on all ways of this instance, so that silence tells little.
    pub(crate) fn is_lossy(&self) -> bool {
        self.losses.is_lossy() && self.has_mechanism(RouterMechanism::LossDoubt)
    }

    fn answered(
        &mut self,
        now: ClockTime,
        index: usize,
        RequestAnswer { latency, copies }: RequestAnswer,
        priority: Option<u32>,
    ) {
        self.latencies.push(latency);
        self.losses.record_request(copies);
        if let Some(backend) = self.backends.get_mut(index) {
            backend.latency.record_answer(now, latency);
        }
        self.record_work_time(now, index, priority, latency);
        self.record_alive(now, index);
    }

    /// Takes a sign of life that this instance saw itself.
    pub(crate) fn record_alive(&mut self, now: ClockTime, index: usize) {
        if let Some(backend) = self.backends.get_mut(index) {
            backend.answered_at = Some(now);
            if backend.data_centre != self.options.data_centre {
                self.remote_timeouts = 0;
            }
        }
        self.observe_health(now, index, |health, _| health.on_alive(now));
    }

    pub(crate) fn end_track(&mut self, now: ClockTime, key: &FlowKey) {
        if let Some((index, was_running)) = self.tracks.end(key) {
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

    /// Changes what is believed of a backend server, with this instance's turn to try it
    /// again in milliseconds, and keeps the news for others.
    pub(crate) fn observe_health(
        &mut self,
        now: ClockTime,
        index: usize,
        observe: impl FnOnce(&mut HealthState, u64) -> Option<ObservationKind>,
    ) {
        let turns = self.trial_delays;
        let Some(backend) = self.backends.get_mut(index) else { return };
        let kind = observe(&mut backend.health, turns.delay_ms(backend.number));
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
