//! Log lines of the part that routes packets.

use foxledge_core::time::ClockTime;
use foxledge_flows::{
    BackendEvent, EvacuationEvent, FlowPacket, FlowStall, HealthObservation, OpenReason, flow_hash,
};

use super::{
    flow_lines::{EvacuationLine, FlowDetail, FlowLine, HealthLine, NewsLine},
    flow_part::FlowPart,
};

impl FlowPart {
    pub(super) fn log_opening(
        &self,
        now: ClockTime,
        packet: &FlowPacket,
        index: usize,
        reason: &OpenReason,
    ) {
        let Some(backend) = self.router.backend(index) else { return };
        self.log_decision(now, "flow_opened", packet, || FlowDetail::Opened {
            backend: &backend.key,
            address: backend.address,
            data_centre: &backend.data_centre,
            reason,
        });
    }

    pub(super) fn log_stall(
        &self,
        now: ClockTime,
        packet: &FlowPacket,
        index: usize,
        stall: FlowStall,
    ) {
        let Some(backend) = self.router.backend(index) else { return };
        let detail = || FlowDetail::Stalled { backend: &backend.key, stall };
        self.log_decision(now, "flow_stalled", packet, detail);
    }

    /// Logs a decision; its line is only made when it is kept.
    pub(super) fn log_decision<'a>(
        &self,
        now: ClockTime,
        event: &'static str,
        packet: &FlowPacket,
        detail: impl FnOnce() -> FlowDetail<'a>,
    ) {
        self.context.log.borrow_mut().decision(now, event, flow_hash(&packet.key), || FlowLine {
            event,
            flow: packet.key.to_string(),
            sequence: packet.sequence,
            detail: detail(),
            list_revision: self.context.member.borrow().list().head(),
            list_age_ms: self.context.confirmed_age_ms(),
        });
    }

    pub(super) fn log_news(&self, news: &BackendEvent) {
        let (BackendEvent::Restarted { index, .. } | BackendEvent::EntryConflict { index, .. }) =
            news;
        let Some(backend) = self.router.backend(*index) else { return };
        let line = NewsLine::new(news, backend);
        let kind = line.kind();
        self.context.metrics.backend_news.with_label_values(&[kind]).inc();
        self.context.note(kind, &line);
    }

    pub(super) fn log_evacuation(&self, news: &EvacuationEvent) {
        let now = self.context.clock.now();
        let own = self.router.backends().filter(|one| one.data_centre == news.data_centre);
        let line = EvacuationLine::new(news, own.count(), self.context.confirmed_age_ms());
        let kind = line.kind();
        self.context.metrics.evacuation_news.with_label_values(&[kind]).inc();
        self.context.metrics.evacuated.set(self.router.evacuations().count() as i64);
        self.context.note(kind, &line);
        self.context.log.borrow_mut().flush(now);
    }

    pub(super) fn log_note(&self, note: &HealthObservation, observer: &'static str) {
        let now = self.context.clock.now();
        let Some(backend) = self.router.backend_by_number(note.number) else { return };
        self.context.metrics.health_notes.with_label_values(&[note.kind.as_str(), observer]).inc();
        let line = HealthLine::new(now, note, backend, observer);
        self.context.log.borrow_mut().note(now, "backend_observed", &line);
    }
}
