//! A fake backend server that counts how often each request ran.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use foxledge_core::lists::TargetSpec;
use foxledge_wire::flow::{
    LoadReport, Packet, PacketKind, Refusal, RefusalReason, RunOutcome, WorkKind,
};

/// Caller, flow and request.
pub type RunKey = (u64, u64, u64);

/// The packets that a backend server sends in reaction to a packet.
#[derive(Default)]
pub struct TargetSends {
    pub packets: Vec<(SocketAddr, Packet)>,
    /// A dispatch that was started and will end later.
    pub started_dispatch: Option<u64>,
}

struct KnownDispatch {
    home_address: SocketAddr,
    packet: Packet,
    is_ended: bool,
    refusal: Option<Refusal>,
}

/// A simulated backend server.
pub struct FakeTarget {
    pub service: String,
    pub spec: TargetSpec,
    pub runs: BTreeMap<RunKey, u32>,
    pub misdirected_packets: u32,
    pub draining: bool,
    /// Whether answers contain the request's payload.
    pub echoes_payload: bool,
    busy_slots: u32,
    dispatches: HashMap<u64, KnownDispatch>,
}

impl FakeTarget {
    pub fn new(service: &str, spec: TargetSpec) -> FakeTarget {
        FakeTarget {
            service: service.to_owned(),
            spec,
            runs: BTreeMap::new(),
            misdirected_packets: 0,
            draining: false,
            echoes_payload: false,
            busy_slots: 0,
            dispatches: HashMap::new(),
        }
    }

    /// Handles a packet from an instance.
    pub fn handle_packet(&mut self, from: SocketAddr, packet: Packet) -> TargetSends {
        let is_mine =
            packet.service == self.service && packet.target_incarnation == self.spec.incarnation;
        match packet.kind() {
            PacketKind::Probe => self.reply(from, &packet, PacketKind::ProbeReply),
            _ if !is_mine => {
                self.misdirected_packets += 1;
                self.refuse(from, &packet, RefusalReason::WrongTarget)
            }
            PacketKind::Work => self.handle_work(from, packet),
            PacketKind::Check => {
                let dispatch = self.dispatches.get(&packet.dispatch);
                let is_open = dispatch.is_some_and(|dispatch| !dispatch.is_ended);
                let kind = if is_open { PacketKind::Ack } else { PacketKind::Done };
                self.reply(from, &packet, kind)
            }
            PacketKind::Poll => self.reply(from, &packet, PacketKind::FeedItem),
            _ => TargetSends::default(),
        }
    }

    /// Ends the run of a dispatch and answers it.
    pub fn end_run(&mut self, dispatch: u64) -> TargetSends {
        let Some(run) = self.dispatches.get_mut(&dispatch) else {
            return TargetSends::default();
        };
        run.is_ended = true;
        let (home_address, packet) = (run.home_address, run.packet.clone());
        self.busy_slots -= 1;
        let mut sends = self.reply(home_address, &packet, PacketKind::Answer);
        sends.packets.extend(self.reply(home_address, &packet, PacketKind::Done).packets);
        sends
    }

    fn handle_work(&mut self, from: SocketAddr, packet: Packet) -> TargetSends {
        if let Some(run) = self.dispatches.get(&packet.dispatch) {
            return match (&run.refusal, run.is_ended) {
                (Some(refusal), _) => self.refuse(from, &packet, refusal.reason()),
                (None, true) => self.reply(from, &packet, PacketKind::Answer),
                (None, false) => self.reply(from, &packet, PacketKind::Ack),
            };
        }
        let is_feed = packet.work() == WorkKind::Feed;
        let is_full = !is_feed && self.busy_slots >= self.spec.slots;
        let refusal = is_full.then(|| Refusal {
            outcome: RunOutcome::NotRun.into(),
            reason: RefusalReason::TargetShed.into(),
            retry_after_ms: 10,
        });
        let run =
            KnownDispatch { home_address: from, packet: packet.clone(), is_ended: false, refusal };
        self.dispatches.insert(packet.dispatch, run);
        if is_full {
            return self.refuse(from, &packet, RefusalReason::TargetShed);
        }
        *self.runs.entry((packet.caller, packet.flow, packet.request)).or_default() += 1;
        let mut sends = self.reply(from, &packet, PacketKind::Ack);
        if !is_feed {
            self.busy_slots += 1;
            sends.started_dispatch = Some(packet.dispatch);
        }
        sends
    }

    fn refuse(&self, to: SocketAddr, packet: &Packet, reason: RefusalReason) -> TargetSends {
        let refusal = Refusal {
            outcome: RunOutcome::NotRun.into(),
            reason: reason.into(),
            retry_after_ms: 10,
        };
        let mut sends = self.reply(to, packet, PacketKind::Refusal);
        sends.packets[0].1.refusal = Some(refusal);
        sends
    }

    fn reply(&self, to: SocketAddr, packet: &Packet, kind: PacketKind) -> TargetSends {
        let is_answer = kind == PacketKind::Answer;
        let load = LoadReport {
            busy_slots: self.busy_slots,
            draining: self.draining,
            healthy: true,
            ..LoadReport::default()
        };
        let reply = Packet {
            version: packet.version,
            kind: kind.into(),
            flow: packet.flow,
            request: packet.request,
            dispatch: packet.dispatch,
            address: packet.address.clone(),
            service: packet.service.clone(),
            return_path: packet.return_path.clone(),
            parts: u32::from(is_answer),
            payload: if self.echoes_payload && is_answer {
                packet.payload.clone()
            } else {
                Vec::new()
            },
            load: Some(load),
            ..Packet::default()
        };
        TargetSends { packets: vec![(to, reply)], started_dispatch: None }
    }
}
