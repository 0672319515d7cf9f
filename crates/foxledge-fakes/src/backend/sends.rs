//! The datagrams that a backend server sends.

use foxledge_core::time::ClockTime;
use foxledge_wire::{
    PROTOCOL_VERSION, encode_packet,
    flow::{Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

use super::{
    dispatches::{DispatchState, ReturnRoute},
    state::{BackendEffect, BackendState},
};

/// A refusal without a hint when to come back.
pub(super) fn refusal_of(outcome: RunOutcome, reason: RefusalReason) -> Refusal {
    Refusal { outcome: outcome as i32, reason: reason as i32, retry_after_ms: 0 }
}

impl BackendState {
    pub(super) fn is_mute_for(&self, opened_at: ClockTime) -> bool {
        self.mute_before.is_some_and(|before| opened_at <= before)
    }

    /// Sends what echoes `packet` along `route`, with `fill` setting what else it carries.
    pub(super) fn send(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        route: &ReturnRoute,
        kind: PacketKind,
        fill: impl FnOnce(&mut Packet),
    ) {
        let mut reply = Packet {
            version: PROTOCOL_VERSION,
            kind: kind as i32,
            flow: packet.flow,
            address: packet.address.clone(),
            member: packet.member.clone(),
            caller: packet.caller,
            request: packet.request,
            work: packet.work,
            idempotent: packet.idempotent,
            service: packet.service.clone(),
            target_incarnation: packet.target_incarnation,
            dispatch: packet.dispatch,
            return_path: route.return_path.clone(),
            load: Some(self.gauge_report(now)),
            ..Packet::default()
        };
        fill(&mut reply);
        self.outbox.push(BackendEffect::Send { to: route.to, bytes: encode_packet(&reply) });
    }

    /// Sends along the route that the dispatch's last datagram came by.
    pub(super) fn send_for(
        &mut self,
        now: ClockTime,
        dispatch: u64,
        kind: PacketKind,
        fill: impl FnOnce(&mut Packet),
    ) {
        let Some(entry) = self.entries.get(&dispatch) else { return };
        if self.is_mute_for(entry.opened_at) {
            return;
        }
        let (opening, route) = (entry.opening.clone(), entry.route.clone());
        self.send(now, &opening, &route, kind, fill);
    }

    pub(super) fn send_ack(&mut self, now: ClockTime, dispatch: u64) {
        let Some(entry) = self.entries.get(&dispatch) else { return };
        let (parts, missing) = (entry.opening.parts, entry.missing());
        self.send_for(now, dispatch, PacketKind::Ack, |ack| {
            ack.parts = parts;
            ack.missing = missing;
        });
    }

    /// Sends the wanted parts of a kept answer; all of them when none is named.
    pub(super) fn send_answer(&mut self, now: ClockTime, dispatch: u64, wanted: &[u32]) {
        let Some(entry) = self.entries.get(&dispatch) else { return };
        let DispatchState::Answered(payloads) = &entry.state else { return };
        let payloads = payloads.clone();
        let parts = payloads.len() as u32;
        for (part, payload) in (0u32..).zip(payloads) {
            if !wanted.is_empty() && !wanted.contains(&part) {
                continue;
            }
            self.send_for(now, dispatch, PacketKind::Answer, |answer| {
                answer.part = part;
                answer.parts = parts;
                answer.payload = payload;
            });
        }
    }

    pub(super) fn send_refusal(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        route: &ReturnRoute,
        refusal: Refusal,
    ) {
        self.send(now, packet, route, PacketKind::Refusal, |reply| reply.refusal = Some(refusal));
    }

    /// Tells the opener that the dispatch has ended.
    ///
    /// The answer may go to the caller through another instance. Without this the home would
    /// count the slot as busy until its own deadline; one would notice idle targets and a queue.
    pub(super) fn send_done(&mut self, now: ClockTime, dispatch: u64) {
        let Some(entry) = self.entries.get(&dispatch) else { return };
        if self.is_mute_for(entry.opened_at) {
            return;
        }
        let (opening, opener) = (entry.opening.clone(), entry.opener.clone());
        self.send(now, &opening, &opener, PacketKind::Done, |_| ());
    }

    /// The load that datagrams report, with the effects of this one included.
    fn gauge_report(&mut self, now: ClockTime) -> foxledge_wire::flow::LoadReport {
        let load = self.true_load(now);
        self.gauge.set(now, load);
        self.gauge.report(now)
    }
}
