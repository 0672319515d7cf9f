//! Carries out scheduler decisions and sends work to backend servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use foxledge_core::{audit::AuditChange, lists::TargetSpec, names::ServiceName, time::ClockTime};
use foxledge_policy::{RefuseReason, RunState, SchedulerEffect, WorkRefusal};
use foxledge_seal::seals::{seal_path, seal_token};
use foxledge_wire::flow::{FlowToken, Packet, PacketKind, Refusal, ReturnPath, RunOutcome};
use log::debug;

use crate::{
    effects::EngineEffect,
    engine::FlowEngine,
    home::{reply_context, requested_time},
    home_work::RunTracking,
    journal::{FlowEvent, TargetAddress},
    ledger::{RequestKey, RequestState},
    packets::wire_refusal,
    placement::ShardKey,
    schedulers::target_subject,
};

impl FlowEngine {
    /// Applies the effects of a shard's scheduler.
    pub(crate) fn apply_scheduler_effects(
        &mut self,
        now: ClockTime,
        key: &ShardKey,
        effects: Vec<SchedulerEffect>,
    ) {
        for effect in effects {
            match effect {
                SchedulerEffect::Dispatch { work, dispatch, target } => {
                    self.dispatch_work(now, work, dispatch, &target);
                }
                SchedulerEffect::Resend { work, dispatch, target } => {
                    self.resend_work(now, work, dispatch, &target);
                }
                SchedulerEffect::Check { work, dispatch, target } => {
                    self.send_check(work, dispatch, &target);
                }
                SchedulerEffect::Refuse { work, refusal } => self.refuse_work(now, work, &refusal),
                SchedulerEffect::Cancel { dispatch, target } => self.send_cancel(dispatch, &target),
                SchedulerEffect::Discard { work } => {
                    self.remove_work(work);
                }
                SchedulerEffect::Probe { target } => self.send_probe(key, &target),
                SchedulerEffect::Audit(change) => {
                    // The scheduler's subject is the backend server's name alone, which a backend
                    // server of another service may share.
                    let subject = target_subject(&key.service, &change.subject);
                    self.effects.push(EngineEffect::Audit(AuditChange { subject, ..change }));
                }
            }
        }
    }

    fn dispatch_work(&mut self, now: ClockTime, id: u64, dispatch: u64, target: &Arc<TargetSpec>) {
        let Some(work) = self.works.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut work.dispatch, dispatch);
        let (key, expires_at, caller, kind) = (work.key, work.expires_at, work.caller, work.kind);
        let wait = now.since(work.arrived_at);
        let Some(packet) = work.packet.as_deref().cloned() else {
            return self.abort_feed(now, id);
        };
        self.work_by_dispatch.remove(&previous);
        self.work_by_dispatch.insert(dispatch, id);
        let state = RequestState::Dispatched { dispatch, target: target.clone() };
        self.ledger.record(key, state, expires_at);
        self.counters.dispatched += 1;
        let address = TargetAddress::from(target.as_ref());
        let text = format!("dispatched {dispatch:016x} to {address}");
        debug!("engine: flow {:016x} request {} {text}", key.flow, key.request);
        self.journal.record(key.flow, FlowEvent::new(now, key.request, text).with_target(address));
        self.effects.push(EngineEffect::RecordWait { kind, wait });
        self.send_to_target(now, caller, &packet, dispatch, target);
    }

    fn resend_work(&mut self, now: ClockTime, id: u64, dispatch: u64, target: &Arc<TargetSpec>) {
        let Some(work) = self.works.get(&id) else { return };
        let caller = work.caller;
        let Some(packet) = work.packet.as_deref().cloned() else { return };
        self.send_to_target(now, caller, &packet, dispatch, target);
    }

    /// Refuses an open feed whose backend server was lost.
    ///
    /// The home keeps no opening packet of an open feed, and only the caller knows the last item
    /// that it received, so the caller has to reopen the feed from there.
    fn abort_feed(&mut self, now: ClockTime, id: u64) {
        let Some(shard) = self.works.get(&id).map(|work| work.shard.clone()) else { return };
        let refusal = WorkRefusal {
            run_state: RunState::Unknown,
            reason: RefuseReason::TargetLost,
            retry_after: Duration::ZERO,
        };
        self.refuse_work(now, id, &refusal);
        let Some(scheduler) = self.schedulers.find(&shard) else { return };
        let effects = scheduler.cancel(now, id);
        self.apply_scheduler_effects(now, &shard, effects);
    }

    /// Queries a backend server about a dispatch that it has acknowledged.
    ///
    /// The notification of the dispatch's end may have been lost. Without the query, its slot or
    /// connection would stay occupied for good and the backend server would get less and less work.
    fn send_check(&mut self, id: u64, dispatch: u64, target: &Arc<TargetSpec>) {
        let Some(work) = self.works.get(&id) else { return };
        let (service, flow) = (work.shard.service.clone(), work.key.flow);
        self.counters.checks_sent += 1;
        let check = control_packet(PacketKind::Check, &service, dispatch, target);
        self.send_data(target.address, &Packet { flow, ..check });
    }

    /// Sends a request's packet to its backend server, with a sealed return path that contains the
    /// caller's address and the flow token for the response.
    pub(crate) fn send_to_target(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        dispatch: u64,
        target: &Arc<TargetSpec>,
    ) {
        let Some(service) = self.service_of(packet, target) else { return };
        let token = FlowToken {
            address: packet.address.clone(),
            service: service.to_string(),
            member: packet.member.clone(),
            caller: packet.caller,
            flow: packet.flow,
            request: packet.request,
            target: target.name.to_string(),
            target_address: target.address.to_string(),
            target_incarnation: target.incarnation,
            data_centre: target.data_centre.to_string(),
            dispatch,
        };
        let Ok(token) = seal_token(&self.key_ring, &token) else { return };
        let path = ReturnPath { caller_address: caller.to_string(), token, by_token: false };
        let Ok(return_path) = seal_path(&self.key_ring, &path) else { return };
        let deadline = self
            .work_by_dispatch
            .get(&dispatch)
            .and_then(|id| self.works.get(id))
            .map_or_else(|| now.after(requested_time(packet)), |work| work.deadline);
        let packet = Packet {
            service: service.to_string(),
            target_incarnation: target.incarnation,
            dispatch,
            return_path,
            time_left_ms: deadline.remaining_millis(now),
            ticket: Vec::new(),
            token: Vec::new(),
            credential: Vec::new(),
            ..packet.clone()
        };
        self.send_data(target.address, &packet);
    }

    /// Returns the service for which the backend server runs the request: that of its scheduler
    /// while the request is open, otherwise the published one.
    fn service_of(&self, packet: &Packet, target: &TargetSpec) -> Option<ServiceName> {
        if let Some(RequestState::Dispatched { dispatch, .. }) =
            self.ledger.find(&RequestKey::from_packet(packet))
            && let Some(work) =
                self.work_by_dispatch.get(dispatch).and_then(|id| self.works.get(id))
        {
            return Some(work.shard.service.clone());
        }
        let (key, published) = self.target_owners.get(&target.address)?;
        let is_same = published.incarnation == target.incarnation;
        is_same.then(|| key.service.clone())
    }

    /// Removes a work and sends its final refusal.
    pub(crate) fn refuse_work(&mut self, now: ClockTime, id: u64, refusal: &WorkRefusal) {
        let Some(work) = self.remove_work(id) else { return };
        let refusal = match (work.tracking, refusal.run_state) {
            (RunTracking::Untracked, RunState::NotRun) => {
                Refusal { outcome: RunOutcome::Unknown.into(), ..wire_refusal(refusal) }
            }
            _ => wire_refusal(refusal),
        };
        if work.tracking == RunTracking::ByTicket && refusal.outcome() != RunOutcome::NotRun {
            self.audit_unknown_outcome(now, work.key, &refusal);
        }
        self.record_refusal(work.key, refusal, work.expires_at.max(now));
        self.send_refusal(now, work.caller, &reply_context(&work), refusal);
    }

    fn send_cancel(&mut self, dispatch: u64, target: &Arc<TargetSpec>) {
        let Some((key, _)) = self.target_owners.get(&target.address) else { return };
        let cancel = control_packet(PacketKind::Cancel, &key.service, dispatch, target);
        self.send_data(target.address, &cancel);
    }

    fn send_probe(&mut self, key: &ShardKey, target: &Arc<TargetSpec>) {
        if !self.probed_shards.contains(key) {
            return;
        }
        self.counters.probes_sent += 1;
        let probe = control_packet(PacketKind::Probe, &key.service, 0, target);
        self.send_data(target.address, &probe);
    }
}

/// Creates a packet that the home itself sends to a backend server, such as a probe.
fn control_packet(
    kind: PacketKind,
    service: &ServiceName,
    dispatch: u64,
    target: &TargetSpec,
) -> Packet {
    Packet {
        version: foxledge_wire::PROTOCOL_VERSION,
        kind: kind.into(),
        service: service.to_string(),
        target_incarnation: target.incarnation,
        dispatch,
        ..Packet::default()
    }
}
