//! One open request: its sending, its polling and its answer.

use std::sync::Arc;

use foxledge_core::time::ClockTime;
use foxledge_wire::flow::{Packet, PacketKind};

use super::{
    answers::AnswerStore,
    identity::FlowIdentity,
    pace::SendPace,
    uploads::{PartWindow, SendTurn, WorkPayload},
};

/// Time between two looks at the parts of an upload, in milliseconds.
const PUMP_MS: u64 = 50;

/// `OpenRequest` is a request that was sent and has no final answer yet.
pub struct OpenRequest {
    /// Its number in the flow.
    pub request: u64,
    /// The ticket that it was opened with; empty for idempotent work.
    pub ticket: Vec<u8>,
    /// Parts of the answer.
    pub answer: AnswerStore,
    token: Vec<u8>,
    payload: Arc<WorkPayload>,
    window: PartWindow,
    pace: SendPace,
    pump_at: ClockTime,
    deadline: ClockTime,
}

/// `DuePacket` is a packet to send.
pub struct DuePacket {
    /// The packet.
    pub packet: Packet,
    /// Whether it was sent before.
    pub turn: SendTurn,
}

impl OpenRequest {
    /// Makes the request; [`OpenRequest::opening`] is to be sent at once.
    pub fn new(
        now: ClockTime,
        request: u64,
        ticket: Vec<u8>,
        payload: Arc<WorkPayload>,
        deadline: ClockTime,
    ) -> OpenRequest {
        OpenRequest {
            request,
            ticket,
            answer: AnswerStore::default(),
            token: Vec::new(),
            window: PartWindow::new(payload.parts.len()),
            payload,
            pace: SendPace::first(now),
            pump_at: ClockTime::MAX,
            deadline,
        }
    }

    /// The packet that opens the request.
    pub fn opening(&self, now: ClockTime, identity: &FlowIdentity) -> Packet {
        self.work_packet(now, identity, 0)
    }

    /// Takes in the token of any answer.
    pub fn learn_token(&mut self, now: ClockTime, token: &[u8]) {
        if token.is_empty() {
            return;
        }
        if self.token.is_empty() {
            self.pump_at = now;
        }
        self.token = token.to_vec();
    }

    /// Takes in an acknowledgement.
    pub fn acknowledge(&mut self, now: ClockTime, missing: &[u32]) {
        self.window.acknowledge(missing);
        self.pace = SendPace::first(now);
    }

    /// Makes the next sending due at once: another instance may reach the ticket's home.
    pub fn hurry(&mut self, now: ClockTime) {
        self.pace.hurry(now);
    }

    /// What is due.
    pub fn due(&mut self, now: ClockTime, identity: &FlowIdentity) -> Vec<DuePacket> {
        if self.token.is_empty() {
            return self.due_opening(now, identity);
        }
        if !self.window.is_done() {
            return self.due_parts(now, identity);
        }
        self.due_poll(now, identity)
    }

    /// When something is due.
    pub fn next_wake(&self) -> ClockTime {
        if self.token.is_empty() || self.window.is_done() {
            return self.pace.next();
        }
        self.pump_at
    }

    /// The packet that gives the request up.
    pub fn cancel(&self, identity: &FlowIdentity) -> Packet {
        let packet = identity.packet(PacketKind::Cancel, self.request);
        self.addressed(packet)
    }

    fn due_opening(&mut self, now: ClockTime, identity: &FlowIdentity) -> Vec<DuePacket> {
        if !self.pace.is_due(now) {
            return Vec::new();
        }
        vec![DuePacket { packet: self.work_packet(now, identity, 0), turn: SendTurn::Again }]
    }

    fn due_parts(&mut self, now: ClockTime, identity: &FlowIdentity) -> Vec<DuePacket> {
        if !self.pump_at.is_past(now) {
            return Vec::new();
        }
        self.pump_at = now.after_millis(PUMP_MS);
        let due = self.window.due(now);
        let packet =
            |(part, turn)| DuePacket { packet: self.work_packet(now, identity, part), turn };
        due.into_iter().map(packet).collect()
    }

    fn due_poll(&mut self, now: ClockTime, identity: &FlowIdentity) -> Vec<DuePacket> {
        if !self.pace.is_due(now) {
            return Vec::new();
        }
        let mut poll = identity.packet(PacketKind::Poll, self.request);
        poll.missing = self.answer.missing();
        poll.time_left_ms = self.deadline.remaining_millis(now);
        vec![DuePacket { packet: self.addressed(poll), turn: SendTurn::Again }]
    }

    fn work_packet(&self, now: ClockTime, identity: &FlowIdentity, part: u32) -> Packet {
        let mut packet = identity.packet(PacketKind::Work, self.request);
        packet.attempt = self.pace.resends();
        packet.time_left_ms = self.deadline.remaining_millis(now);
        packet.part = part;
        packet.parts = self.payload.parts.len() as u32;
        packet.payload = self.payload.parts[part as usize].clone();
        self.addressed(packet)
    }

    /// By token as soon as one is known, before that by ticket.
    fn addressed(&self, mut packet: Packet) -> Packet {
        if self.token.is_empty() {
            packet.ticket = self.ticket.clone();
        } else {
            packet.token = self.token.clone();
        }
        packet
    }
}
