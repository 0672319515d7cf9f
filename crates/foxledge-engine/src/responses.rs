//! Handles responses of backend servers for callers and schedulers.

use std::net::SocketAddr;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};
use foxledge_policy::TargetSignal;
use foxledge_seal::seals::open_path;
use foxledge_wire::{
    MAX_DATAGRAM_BYTES,
    flow::{Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};
use prost::Message;

use crate::{
    effects::EnginePhase,
    engine::FlowEngine,
    home::reply_context,
    home_work::RunTracking,
    ledger::RequestState,
    packets::{scheduler_reason, target_load},
    placement::ShardKey,
};

impl FlowEngine {
    /// Passes the load report of a probe reply to the scheduler of the backend server.
    pub(crate) fn on_probe_reply(&mut self, now: ClockTime, from: SocketAddr, packet: &Packet) {
        let Some((key, target)) = self.target_owners.get(&from).cloned() else { return };
        let Some(load) = &packet.load else { return };
        let Some(scheduler) = self.schedulers.find(&key) else { return };
        let effects = scheduler.on_load_report(now, &target.name, target_load(load));
        self.apply_scheduler_effects(now, &key, effects);
    }

    /// Handles an answer, a feed item or a notification of a backend server.
    pub(crate) fn on_target_packet(&mut self, now: ClockTime, from: SocketAddr, packet: Packet) {
        if let Some(&id) = self.work_by_dispatch.get(&packet.dispatch)
            && let Some(shard) = self.works.get(&id).map(|work| work.shard.clone())
        {
            return self.handle_dispatch_response(now, from, id, &shard, packet);
        }
        match packet.kind() {
            PacketKind::Done => {}
            PacketKind::Refusal => self.relay_unmatched_refusal(packet),
            _ => self.relay_response(packet),
        }
    }

    /// Handles a refusal that matches no current dispatch of this home.
    ///
    /// A refusal of a packet that was sent by flow token is relayed to the caller, but never as
    /// "not run": the home that dispatched the work may still dispatch it to another backend
    /// server, which this instance can't know. A refusal of a home's dispatch is late: the home has
    /// since dispatched the work to another backend server or has answered. If it were relayed, the
    /// caller would stop waiting for the real answer.
    fn relay_unmatched_refusal(&mut self, packet: Packet) {
        match open_path(&self.key_ring, &packet.return_path) {
            Ok(path) if path.by_token => self.relay_response(with_unknown_outcome(packet)),
            Ok(_) => self.counters.superseded += 1,
            Err(_) => self.counters.path_unsealed += 1,
        }
    }

    /// Handles a response to a current dispatch of this home.
    fn handle_dispatch_response(
        &mut self,
        now: ClockTime,
        from: SocketAddr,
        id: u64,
        shard: &ShardKey,
        packet: Packet,
    ) {
        let Some(work) = self.works.get_mut(&id) else { return };
        if let Some(RequestState::Dispatched { target, .. }) = self.ledger.find(&work.key)
            && target.address != from
        {
            self.counters.path_unsealed += 1;
            return;
        }
        let (dispatch, load) = (packet.dispatch, packet.load.as_ref().map(target_load));
        let signal = target_signal(&packet, work.kind);
        match signal {
            TargetSignal::Accepted => {
                if work.is_feed() {
                    let opening = work.packet.take();
                    self.opening_feeds -= usize::from(opening.is_some());
                }
                self.relay_response(packet);
            }
            TargetSignal::Ended => {
                self.counters.ended += 1;
                let renewal = self.renew_ticket(now, id);
                self.relay_with_ticket(packet, renewal);
            }
            TargetSignal::NotRun(_) | TargetSignal::Unknown => {}
        }
        let Some(scheduler) = self.schedulers.find(shard) else { return };
        let effects = scheduler.on_signal(now, dispatch, signal, load);
        self.apply_scheduler_effects(now, shard, effects);
        if signal == TargetSignal::Ended {
            self.remove_work(id);
        }
    }

    /// Issues the next ticket, to be sent with the final answer of a request that had a ticket.
    fn renew_ticket(&mut self, now: ClockTime, id: u64) -> Option<Vec<u8>> {
        let work = self.works.get(&id)?;
        if self.phase == EnginePhase::Leaving || work.tracking != RunTracking::ByTicket {
            return None;
        }
        let service = work.shard.service.clone();
        let context = reply_context(work);
        self.issue_ticket(now, &context, &service)
    }

    fn relay_with_ticket(&mut self, packet: Packet, ticket: Option<Vec<u8>>) {
        if packet.kind() == PacketKind::Done {
            return;
        }
        let ticket = ticket.unwrap_or_default();
        self.relay_response(Packet { ticket, ..packet });
    }

    /// Relays a response to the caller in its return path.
    ///
    /// The return path has to be sealed. Otherwise anyone could make this instance send datagrams
    /// to an address of their choice.
    fn relay_response(&mut self, packet: Packet) {
        if packet.return_path.is_empty() && packet.kind() == PacketKind::Ack {
            // This acknowledges a check by this home, so there is no caller to relay it to.
            return;
        }
        let Ok(path) = open_path(&self.key_ring, &packet.return_path) else {
            self.counters.path_unsealed += 1;
            return;
        };
        let Ok(caller) = path.caller_address.parse::<SocketAddr>() else { return };
        self.counters.answers_relayed += 1;
        let mut packet = Packet {
            token: path.token,
            return_path: Vec::new(),
            load: None,
            dispatch: 0,
            target_incarnation: 0,
            ..packet
        };
        if packet.encoded_len() > MAX_DATAGRAM_BYTES {
            // The answer matters more than the next ticket, which the caller can request
            // separately.
            packet.ticket.clear();
        }
        self.send_data(caller, &packet);
    }
}

fn target_signal(packet: &Packet, kind: TrafficKind) -> TargetSignal {
    match packet.kind() {
        PacketKind::Done => TargetSignal::Ended,
        PacketKind::Answer if kind != TrafficKind::Feed => TargetSignal::Ended,
        PacketKind::Refusal => refusal_signal(packet.refusal.as_ref()),
        _ => TargetSignal::Accepted,
    }
}

fn refusal_signal(refusal: Option<&Refusal>) -> TargetSignal {
    let Some(refusal) = refusal else { return TargetSignal::Unknown };
    match refusal.outcome() {
        RunOutcome::NotRun => TargetSignal::NotRun(scheduler_reason(refusal.reason())),
        _ => TargetSignal::Unknown,
    }
}

fn with_unknown_outcome(packet: Packet) -> Packet {
    let mut refusal = packet.refusal.unwrap_or_default();
    refusal.outcome = RunOutcome::Unknown.into();
    if refusal.reason() == RefusalReason::Unspecified {
        refusal.reason = RefusalReason::TargetLost.into();
    }
    Packet { refusal: Some(refusal), ..packet }
}
