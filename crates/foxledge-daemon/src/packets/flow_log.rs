//! Log lines and metrics of the flow part for decisions, backend servers and evacuations.

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    BackendEvent, EvacuationEvent, FlowPacket, FlowStall, HealthObservation, OpenReason, flow_hash,
};

use super::{
    flow_lines::{BackendLine, DecisionDetail, EvacuationLine, FlowLine, HealthLine},
    flow_part::FlowPart,
};

impl FlowPart {
    /// Logs that the flow of `packet` was opened to the backend server at `index`, with the reason.
    pub(super) fn log_opening(
        &self,
        now: ClockTime,
        packet: &FlowPacket,
        index: usize,
        reason: &OpenReason,
    ) {
        let Some(backend) = self.router.backend(index) else { return };
        self.log_decision(now, "flow_opened", packet, || DecisionDetail::Opened {
            backend: &backend.key,
            address: backend.address,
            data_centre: &backend.data_centre,
            reason,
        });
    }

    /// Logs a retransmission of data on an open flow to the backend server at `index`.
    pub(super) fn log_stall(
        &self,
        now: ClockTime,
        packet: &FlowPacket,
        index: usize,
        stall: FlowStall,
    ) {
        let Some(backend) = self.router.backend(index) else { return };
        let detail = || DecisionDetail::Stalled { backend: &backend.key, stall };
        self.log_decision(now, "flow_stalled", packet, detail);
    }

    /// Logs a decision on a flow; `detail` is called only when the line isn't suppressed.
    pub(super) fn log_decision<'a>(
        &self,
        now: ClockTime,
        event: &'static str,
        packet: &FlowPacket,
        detail: impl FnOnce() -> DecisionDetail<'a>,
    ) {
        self.context.log.borrow_mut().log_decision(now, event, flow_hash(&packet.key), || {
            FlowLine {
                event,
                flow: packet.key.to_string(),
                sequence: packet.sequence,
                detail: detail(),
                list_revision: self.context.member.borrow().list().head(),
                list_age_ms: self.context.confirmed_age_ms(),
            }
        });
    }

    /// Logs and counts a restart of a backend server or a conflict between list entries.
    pub(super) fn log_backend_event(&self, event: &BackendEvent) {
        let (BackendEvent::Restarted { index, .. } | BackendEvent::EntryConflict { index, .. }) =
            event;
        let Some(backend) = self.router.backend(*index) else { return };
        let line = BackendLine::new(event, backend);
        let kind = line.event_name();
        self.context.metrics.backend_events.with_label_values(&[kind]).inc();
        self.context.log_event(kind, &line);
    }

    /// Logs and counts a change of the evacuation of a data centre.
    pub(super) fn log_evacuation(&self, event: &EvacuationEvent) {
        let now = self.context.clock.now();
        let centre_backends =
            self.router.backends().filter(|one| one.data_centre == event.data_centre);
        let line =
            EvacuationLine::new(event, centre_backends.count(), self.context.confirmed_age_ms());
        let kind = line.event_name();
        self.context.metrics.evacuation_events.with_label_values(&[kind]).inc();
        self.context.metrics.evacuated.set(self.router.evacuations().count() as i64);
        self.context.log_event(kind, &line);
        self.context.log.borrow_mut().flush(now);
    }

    /// Logs and counts an observation of a backend server; `observer` is the label of its origin.
    pub(super) fn log_observation(&self, observation: &HealthObservation, observer: &'static str) {
        let now = self.context.clock.now();
        let Some(backend) = self.router.backend_by_number(observation.number) else { return };
        self.context
            .metrics
            .health_observations
            .with_label_values(&[observation.kind.as_str(), observer])
            .inc();
        let line = HealthLine::new(now, observation, backend, observer);
        self.context.log.borrow_mut().log_event(now, "backend_observed", &line);
    }
}
