//! Datagrams about requests and feeds.

use std::net::SocketAddr;

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason, RunOutcome, WorkKind};

use super::{
    dispatches::{DispatchEntry, DispatchState, ReturnRoute},
    sends::refusal_of,
    state::{BackendState, WakeCause},
};

impl BackendState {
    pub(super) fn on_probe(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        let route = ReturnRoute::of(from, packet);
        if !packet.service.is_empty() && !self.is_named_by(packet) {
            self.counts.wrong_target += 1;
            let refusal = refusal_of(RunOutcome::NotRun, RefusalReason::WrongTarget);
            return self.send_refusal(now, packet, &route, refusal);
        }
        self.send(now, packet, &route, PacketKind::ProbeReply, |_| ());
    }

    pub(super) fn on_request(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        if !self.is_named_by(packet) {
            return self.refuse_wrong_target(now, from, packet);
        }
        if packet.dispatch == 0 {
            self.counts.malformed += 1;
            return;
        }
        let known = self.entries.get(&packet.dispatch).map(|entry| entry.opened_at);
        match (known, packet.kind()) {
            (Some(opened_at), _) if self.is_mute_for(opened_at) => (),
            (_, PacketKind::Check) => self.on_check(now, from, packet),
            (Some(_), PacketKind::Cancel) => self.on_cancel(now, from, packet),
            (Some(_), _) => self.on_known(now, from, packet),
            (None, _) => self.on_new(now, from, packet),
        }
    }

    fn on_new(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        if let Some(outcome) = self.memory.find(packet.dispatch) {
            let refusal = refusal_of(outcome, RefusalReason::TargetLost);
            return self.send_refusal(now, packet, &ReturnRoute::of(from, packet), refusal);
        }
        match packet.kind() {
            PacketKind::Work => self.on_opening(now, from, packet),
            PacketKind::Cancel => self.cancel_ahead(now, from, packet),
            _ => {
                let refusal = refusal_of(RunOutcome::Unknown, RefusalReason::TargetLost);
                self.send_refusal(now, packet, &ReturnRoute::of(from, packet), refusal);
            }
        }
    }

    fn is_named_by(&self, packet: &Packet) -> bool {
        packet.service == self.options.service.as_str()
            && packet.target_incarnation == self.options.incarnation
    }

    /// A `POLL` or `CANCEL` for another incarnation is about work that may have run there, so
    /// only `WORK` is answered by "not run".
    fn refuse_wrong_target(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        self.counts.wrong_target += 1;
        let outcome = match packet.kind() {
            PacketKind::Work => RunOutcome::NotRun,
            _ => RunOutcome::Unknown,
        };
        let refusal = refusal_of(outcome, RefusalReason::WrongTarget);
        self.send_refusal(now, packet, &ReturnRoute::of(from, packet), refusal);
    }

    fn on_opening(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        self.note_drain_arrival(now);
        let mut entry = DispatchEntry::new(now, from, packet);
        entry.store(packet);
        self.entries.insert(packet.dispatch, entry);
        if let Some(reason) = self.reason_to_refuse(now, packet) {
            return self.refuse(now, packet.dispatch, reason);
        }
        self.accept(packet.dispatch);
        if packet.work() == WorkKind::Feed {
            return self.open_feed(now, packet);
        }
        let deadline = now.after_millis(u64::from(packet.time_left_ms));
        self.wakes.insert((deadline, WakeCause::StartDeadline(packet.dispatch)));
        self.send_ack(now, packet.dispatch);
        self.queue_if_whole(now, packet.dispatch);
    }

    fn accept(&mut self, dispatch: u64) {
        if let Some(entry) = self.entries.get_mut(&dispatch) {
            entry.accepted = true;
            self.connections += 1;
        }
    }

    fn reason_to_refuse(&self, now: ClockTime, packet: &Packet) -> Option<RefusalReason> {
        let leaving = self.plan.go_away_at.is_some_and(|at| at.is_past(now));
        if self.shedding || leaving || self.connections >= self.options.connections {
            return Some(RefusalReason::TargetShed);
        }
        if packet.work() == WorkKind::Feed {
            return None;
        }
        if packet.time_left_ms == 0 {
            return Some(RefusalReason::DeadlinePassed);
        }
        self.is_full().then_some(RefusalReason::TargetShed)
    }

    /// A copy, a resend, a further part or a poll: nothing starts anew.
    fn on_known(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        let Some(entry) = self.entries.get_mut(&packet.dispatch) else { return };
        entry.route = ReturnRoute::of(from, packet);
        if packet.kind() == PacketKind::Work {
            self.counts.copies += 1;
        }
        match entry.state.clone() {
            DispatchState::Receiving => {
                if packet.kind() == PacketKind::Work {
                    entry.store(packet);
                }
                self.send_ack(now, packet.dispatch);
                self.queue_if_whole(now, packet.dispatch);
            }
            DispatchState::Queued | DispatchState::Running => self.send_ack(now, packet.dispatch),
            DispatchState::Feed(_) => self.on_feed_packet(now, packet),
            DispatchState::Answered(_) => {
                self.send_answer(now, packet.dispatch, &packet.missing);
            }
            DispatchState::Refused(refusal) => {
                self.send_refusal(now, packet, &ReturnRoute::of(from, packet), refusal);
            }
        }
    }

    /// Says what became of a dispatch; nothing starts, and no answer changes its way.
    fn on_check(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        let state = self.entries.get(&packet.dispatch).map(|entry| &entry.state);
        let kind = match state {
            Some(DispatchState::Answered(_) | DispatchState::Refused(_)) | None => PacketKind::Done,
            Some(_) => PacketKind::Ack,
        };
        self.send(now, packet, &ReturnRoute::of(from, packet), kind, |_| ());
    }

    /// A cancel may overtake the work. Without the entry the work would run after its sender had
    /// been told that it is cancelled; one would see a run of a request refused as not run.
    fn cancel_ahead(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        self.entries.insert(packet.dispatch, DispatchEntry::new(now, from, packet));
        let refusal = refusal_of(RunOutcome::NotRun, RefusalReason::Cancelled);
        self.end_refused(now, packet.dispatch, refusal);
    }

    fn on_cancel(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        let Some(entry) = self.entries.get_mut(&packet.dispatch) else { return };
        entry.route = ReturnRoute::of(from, packet);
        let state = entry.state.clone();
        let outcome = match state {
            DispatchState::Receiving | DispatchState::Queued => RunOutcome::NotRun,
            DispatchState::Running | DispatchState::Feed(_) => RunOutcome::Unknown,
            _ => return self.on_known(now, from, packet),
        };
        self.queue.retain(|queued| *queued != packet.dispatch);
        if state == DispatchState::Running {
            self.running -= 1;
        }
        self.end_refused(now, packet.dispatch, refusal_of(outcome, RefusalReason::Cancelled));
        self.start_queued(now);
    }
}
