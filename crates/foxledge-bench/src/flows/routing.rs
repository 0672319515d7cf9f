//! The instances' side of a run: routers, and what they tell each other.

use std::time::Duration;

use foxledge_flows::{FlowDecision, FlowPacket, HealthClass, HealthObservation, PacketKind};
use rand::Rng;

use crate::flows::{
    callers::SimFlow,
    plan::{RUN_TIME, TICK},
    servers::SimServer,
    world::{CALLER_WAY, FlowEvent, FlowWorld, start},
};

/// One way inside a data centre.
const NEAR_WAY: Duration = Duration::from_micros(100);
/// One way between data centres.
const FAR_WAY: Duration = Duration::from_micros(500);
/// Time until an observation has gone round.
const NOTE_TIME: Duration = Duration::from_millis(2);
/// Share of packets that are lost where some are.
const LOSS: f64 = 0.3;

impl FlowWorld {
    /// Gives a packet to its instance's router and does what that decides.
    pub(super) fn at_instance(&mut self, instance: usize, flow: u64, packet: FlowPacket) {
        if !self.instances[instance].dark_until.is_past(self.now) {
            return;
        }
        if !self.instances[instance].frozen_until.is_past(self.now) {
            let until = self.instances[instance].frozen_until;
            let event = FlowEvent::ToInstance { instance, flow, packet };
            return self.events.push(until, event);
        }
        let decision = self.instances[instance].router.on_packet(self.now, &packet);
        match decision {
            FlowDecision::Open { backend, .. } => {
                self.count_opening(instance, backend, &packet);
                self.pass_on(instance, flow, backend, &packet);
            }
            FlowDecision::Forward { backend, .. } => self.pass_on(instance, flow, backend, &packet),
            FlowDecision::Refuse(_) => self.push_after(CALLER_WAY, FlowEvent::Reset { flow }),
            FlowDecision::Reset { backend, .. } => self.end_flow(instance, flow, backend),
            FlowDecision::Relay | FlowDecision::Drop(_) => {}
        }
        self.share_notes(instance);
    }

    /// Tells a caller that its flow is ended, and counts whether its backend server lives.
    fn end_flow(&mut self, instance: usize, flow: u64, backend: usize) {
        let is_silent =
            self.server_at(instance, backend).is_some_and(|server| self.servers[server].is_dead());
        self.tally.ended += 1;
        self.tally.ended_falsely += u64::from(!is_silent);
        self.push_after(CALLER_WAY, FlowEvent::Reset { flow });
    }

    /// Ends the flows at rest that an instance's router names.
    fn end_idle_flows(&mut self, instance: usize) {
        for end in self.instances[instance].router.drain_flow_resets(self.now) {
            let is_it = |(_, flow): &(&u64, &SimFlow)| flow.key == end.key;
            let flow = self.flows.iter().find(is_it).map(|(id, _)| *id);
            if let Some(flow) = flow {
                self.end_flow(instance, flow, end.backend);
            }
        }
    }

    /// Counts a new flow, and whether a silent backend server got it unawares.
    fn count_opening(&mut self, instance: usize, backend: usize, packet: &FlowPacket) {
        if packet.kind != (PacketKind::Open { attempt: 0 }) {
            return;
        }
        let Some(server) = self.server_at(instance, backend) else { return };
        let router = &self.instances[instance].router;
        let class = router.backend(backend).map(|backend| backend.health.class(self.now));
        // Once ejected, one flow at a time tries it on purpose.
        let SimServer { silent_at, crashed_at, .. } = &self.servers[server];
        let dead = silent_at.or(*crashed_at).filter(|_| class == Some(HealthClass::Healthy));
        self.tally.add_opening(self.now, dead);
        let is_far = self.server_centres[server] != self.instances[instance].centre;
        self.tally.opened_far += u64::from(is_far);
    }

    fn pass_on(&mut self, instance: usize, flow: u64, backend: usize, packet: &FlowPacket) {
        let Some(server) = self.server_at(instance, backend) else { return };
        if self.is_lossy && self.random.random_bool(LOSS) {
            return;
        }
        let is_near = self.server_centres[server] == self.instances[instance].centre;
        let way = if is_near { NEAR_WAY } else { FAR_WAY };
        let request = self.flows.get(&flow).and_then(|opened| opened.request);
        self.push_after(way, FlowEvent::ToServer { flow, server, kind: packet.kind, request });
    }

    fn server_at(&self, instance: usize, backend: usize) -> Option<usize> {
        let backend = self.instances[instance].router.backend(backend)?;
        Some(backend.number as usize - 1)
    }

    /// Lets an instance look for unanswered openings.
    pub(super) fn tick(&mut self, instance: usize) {
        if self.now < start().after(RUN_TIME) {
            self.push_after(TICK, FlowEvent::Tick { instance });
        }
        // As in the daemon, openings are judged only after everything that came was
        // read; what waited out a pause is read at its end.
        if !self.instances[instance].frozen_until.after(TICK).is_past(self.now) {
            return;
        }
        self.instances[instance].router.set_confirmed_at(self.now);
        self.instances[instance].router.report_overdue_openings(self.now);
        self.share_notes(instance);
        self.end_idle_flows(instance);
    }

    fn share_notes(&mut self, from: usize) {
        for note in self.instances[from].router.drain_observations() {
            if !self.servers[note.number as usize - 1].is_dead() {
                self.tally.add_false_note(&note);
            }
            for instance in (0..self.instances.len()).filter(|other| *other != from) {
                let at = self.now.after(NOTE_TIME).max(self.instances[instance].frozen_until);
                self.events.push(at, FlowEvent::Note { instance, note });
            }
        }
    }

    /// Brings an observation to an instance.
    pub(super) fn note(&mut self, instance: usize, note: HealthObservation) {
        self.instances[instance].router.apply_observation(self.now, &note);
    }
}
