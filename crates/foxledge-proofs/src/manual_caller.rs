//! A caller whose packets are sent one by one.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use foxledge_core::{
    names::{MemberName, ServiceAddress},
    traffic::TrafficKind,
};
use foxledge_fakes::{
    caller::{FlowIdentity, answers::AnswerStore, answers::read_part},
    harness::TestFleet,
    report::RequestId,
};
use foxledge_wire::{
    MIN_TICKET_PADDING_BYTES, decode_packet, encode_packet,
    flow::{Packet, PacketKind, RefusalReason, RunOutcome},
};

use crate::request_helpers::{MEMBER, SEND_PERIOD, WIDE_LIMIT};

/// The final outcome of a request, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was received.
    Answered,
    /// The request didn't run and never will.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(RefusalReason),
}

/// A caller whose packets are sent one by one.
pub struct ManualCaller {
    /// The identity of the caller and its flow.
    pub identity: FlowIdentity,
    socket: UdpSocket,
    fabric: SocketAddr,
    last_request: u64,
}

impl ManualCaller {
    /// Creates a caller of `service` behind the first fabric; `number` determines its ids.
    pub fn new(
        fleet: &TestFleet,
        service: (&str, &str),
        number: u64,
    ) -> anyhow::Result<ManualCaller> {
        let fabric = fleet.fabrics.first().context("a fabric")?.address;
        let identity = FlowIdentity {
            flow: 0xf10f_0000 + number,
            caller: 0xca11_0000 + number,
            member: MemberName::new(MEMBER),
            address: ServiceAddress::new(service.1),
            kind: TrafficKind::Bid,
            idempotent: false,
            credential: Vec::new(),
            service: None,
        };
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        Ok(ManualCaller { identity, socket, fabric, last_request: 0 })
    }

    /// Sends a packet to the fabric.
    pub fn send(&self, packet: &Packet) -> anyhow::Result<()> {
        self.send_bytes(&encode_packet(packet))
    }

    /// Sends arbitrary bytes to the fabric.
    pub fn send_bytes(&self, bytes: &[u8]) -> anyhow::Result<()> {
        self.socket.send_to(bytes, self.fabric)?;
        Ok(())
    }

    /// Waits for a matching packet and drops all others. Returns none if no matching packet arrives
    /// within `limit`.
    pub fn receive(&self, limit: Duration, is_match: impl Fn(&Packet) -> bool) -> Option<Packet> {
        let deadline = Instant::now() + limit;
        let mut buffer = [0; 2048];
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            self.socket.set_read_timeout(Some(remaining)).ok()?;
            let Ok((size, _)) = self.socket.recv_from(&mut buffer) else { continue };
            match decode_packet(&buffer[..size]) {
                Ok(packet) if is_match(&packet) => return Some(packet),
                _ => continue,
            }
        }
    }

    /// Sends a packet repeatedly until a matching reply arrives, and returns the reply.
    pub fn send_until(
        &self,
        packet: &Packet,
        is_match: impl Fn(&Packet) -> bool,
    ) -> anyhow::Result<Packet> {
        let deadline = Instant::now() + WIDE_LIMIT;
        let mut packet = packet.clone();
        loop {
            self.send(&packet)?;
            if let Some(reply) = self.receive(SEND_PERIOD, &is_match) {
                return Ok(reply);
            }
            ensure!(Instant::now() < deadline, "no fitting answer within {WIDE_LIMIT:?}");
            packet.attempt += 1;
        }
    }

    /// Creates a request for a ticket.
    pub fn ticket_request(&self) -> Packet {
        let mut packet = self.identity.packet(PacketKind::TicketRequest, 0);
        packet.payload = vec![0; MIN_TICKET_PADDING_BYTES];
        packet
    }

    /// Requests a ticket until one is granted.
    pub fn obtain_ticket(&self) -> anyhow::Result<Vec<u8>> {
        let is_grant = |packet: &Packet| packet.kind() == PacketKind::TicketGrant;
        Ok(self.send_until(&self.ticket_request(), is_grant)?.ticket)
    }

    /// Creates the opening packet of the next request, which has one part.
    pub fn next_request(&mut self, ticket: &[u8]) -> Packet {
        self.last_request += 1;
        let mut packet = self.identity.packet(PacketKind::Work, self.last_request);
        packet.time_left_ms = 20_000;
        packet.parts = 1;
        packet.payload = format!("bid {}", self.last_request).into_bytes();
        packet.ticket = ticket.to_vec();
        packet
    }

    /// Creates a poll by `token` for the answer to a request.
    pub fn poll(&self, request: u64, token: &[u8]) -> Packet {
        let mut packet = self.identity.packet(PacketKind::Poll, request);
        packet.token = token.to_vec();
        packet.time_left_ms = 20_000;
        packet
    }

    /// Sends the same packet repeatedly until its request has a final outcome.
    pub fn resend_until_final(&self, packet: &Packet) -> anyhow::Result<RequestOutcome> {
        let request = packet.request;
        let is_final = |reply: &Packet| {
            let ends = matches!(reply.kind(), PacketKind::Answer | PacketKind::Refusal);
            reply.request == request && ends
        };
        Ok(outcome_of(&self.send_until(packet, is_final)?))
    }

    /// Waits for the answer to a request or its refusal without sending anything. Returns none if
    /// neither arrives within `limit`.
    pub fn receive_final(&self, request: u64, limit: Duration) -> Option<RequestOutcome> {
        let reply = self.receive(limit, |reply| {
            let ends = matches!(reply.kind(), PacketKind::Answer | PacketKind::Refusal);
            reply.request == request && ends
        })?;
        Some(outcome_of(&reply))
    }

    /// Sends a request and polls, by token as soon as one is known, until the whole answer or a
    /// refusal arrives.
    ///
    /// # Errors
    ///
    /// When a part of the answer is of another service than `service` or of another request, or
    /// when there is no final outcome within [`WIDE_LIMIT`].
    pub fn complete_request(
        &self,
        opening: &Packet,
        service: &str,
    ) -> anyhow::Result<RequestOutcome> {
        let deadline = Instant::now() + WIDE_LIMIT;
        let mut packet = opening.clone();
        let mut answer = AnswerStore::default();
        loop {
            ensure!(Instant::now() < deadline, "no final answer within {WIDE_LIMIT:?}");
            self.send(&packet)?;
            packet.attempt += 1;
            while let Some(reply) =
                self.receive(SEND_PERIOD, |reply| reply.request == opening.request)
            {
                if !reply.token.is_empty() {
                    packet = self.poll(opening.request, &reply.token);
                }
                match reply.kind() {
                    PacketKind::Refusal => return Ok(outcome_of(&reply)),
                    PacketKind::Answer => {
                        let body = read_part(&reply, None);
                        let body = body.map_err(|fault| anyhow::anyhow!("answer {fault:?}"))?;
                        ensure!(body.service == service, "an answer of {}", body.service);
                        ensure!(body.flow == self.identity.flow, "an answer of another flow");
                        let stored = answer.store(&body);
                        ensure!(stored.is_ok(), "parts of two answers");
                        if answer.is_whole() {
                            return Ok(RequestOutcome::Answered);
                        }
                        packet.missing = answer.missing();
                    }
                    _ => {}
                }
            }
        }
    }

    /// Returns the id of a request.
    pub fn request_id(&self, request: u64) -> RequestId {
        RequestId { flow: self.identity.flow, request }
    }
}

fn outcome_of(reply: &Packet) -> RequestOutcome {
    if reply.kind() == PacketKind::Answer {
        return RequestOutcome::Answered;
    }
    let refusal = reply.refusal.unwrap_or_default();
    match refusal.outcome() {
        RunOutcome::NotRun => RequestOutcome::NotRun(refusal.reason()),
        _ => RequestOutcome::Unknown(refusal.reason()),
    }
}
