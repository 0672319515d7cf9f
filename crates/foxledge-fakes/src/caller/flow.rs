//! The decisions of one caller's flow of requests: datagrams and time in, effects out.

use std::{collections::BTreeMap, sync::Arc};

use foxledge_core::time::ClockTime;
use foxledge_wire::{
    MIN_TICKET_PADDING_BYTES,
    flow::{Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

use super::{
    answers::{AnswerFault, read_part},
    effects::{CallerEffect, FlowNote},
    identity::FlowIdentity,
    requests::OpenRequest,
    tickets::TicketHolder,
    uploads::{SendTurn, WorkPayload},
};
use crate::report::RequestId;

/// Wait before refused work is asked for again when the refusal gives no hint, in milliseconds.
const RETRY_MS: u64 = 100;

/// `CallerFlow` is one caller's flow of requests.
pub struct CallerFlow {
    identity: FlowIdentity,
    tickets: TicketHolder,
    pieces: BTreeMap<u64, WorkPiece>,
    next_piece: u64,
    next_request: u64,
    effects: Vec<CallerEffect>,
}

struct WorkPiece {
    born: ClockTime,
    deadline: ClockTime,
    payload: Arc<WorkPayload>,
    refusals: u32,
    phase: PiecePhase,
}

enum PiecePhase {
    AwaitsTicket,
    Open(Box<OpenRequest>),
    AwaitsRetry(ClockTime),
}

impl CallerFlow {
    /// Makes a flow without requests.
    pub fn new(identity: FlowIdentity) -> CallerFlow {
        CallerFlow {
            identity,
            tickets: TicketHolder::default(),
            pieces: BTreeMap::new(),
            next_piece: 0,
            next_request: 1,
            effects: Vec::new(),
        }
    }

    /// Work arrives, to be done before `deadline`.
    pub fn offer(
        &mut self,
        now: ClockTime,
        payload: WorkPayload,
        deadline: ClockTime,
    ) -> Vec<CallerEffect> {
        let number = self.next_piece;
        self.next_piece += 1;
        let piece = WorkPiece {
            born: now,
            deadline,
            payload: Arc::new(payload),
            refusals: 0,
            phase: PiecePhase::AwaitsTicket,
        };
        self.pieces.insert(number, piece);
        self.open(now, number);
        self.take_effects()
    }

    /// Takes one packet that names this flow.
    pub fn on_packet(&mut self, now: ClockTime, packet: &Packet) -> Vec<CallerEffect> {
        match packet.kind() {
            PacketKind::TicketGrant => self.on_grant(now, packet),
            PacketKind::Resend => self.on_resend(now, packet),
            PacketKind::Ack => self.on_ack(now, packet),
            PacketKind::Answer => self.on_answer(now, packet),
            PacketKind::Refusal => self.on_refusal(now, packet),
            _ => (),
        }
        self.take_effects()
    }

    /// Does what is due.
    pub fn on_wake(&mut self, now: ClockTime) -> Vec<CallerEffect> {
        for number in self.pieces.keys().copied().collect::<Vec<_>>() {
            self.wake_piece(now, number);
        }
        if self.tickets.is_due(now) {
            self.note(FlowNote::Resent);
            self.send_ticket_request(now);
        }
        self.take_effects()
    }

    /// When [`CallerFlow::on_wake`] is due next.
    pub fn next_wake(&self) -> Option<ClockTime> {
        let pieces = self.pieces.values().map(|piece| match &piece.phase {
            PiecePhase::AwaitsTicket => piece.deadline,
            PiecePhase::AwaitsRetry(at) => piece.deadline.min(*at),
            PiecePhase::Open(request) => piece.deadline.min(request.next_wake()),
        });
        pieces.chain(self.tickets.next_wake()).min()
    }

    /// Pieces of work that have not ended.
    pub fn unfinished(&self) -> usize {
        self.pieces.len()
    }

    /// Names the service that must answer, once it is known.
    pub fn expect_service(&mut self, service: foxledge_core::names::ServiceName) {
        self.identity.service = Some(service);
    }

    fn wake_piece(&mut self, now: ClockTime, number: u64) {
        let Some(piece) = self.pieces.get_mut(&number) else { return };
        if piece.deadline.is_past(now) {
            return self.end_at_deadline(number);
        }
        match &mut piece.phase {
            PiecePhase::AwaitsTicket => (),
            PiecePhase::AwaitsRetry(at) if !at.is_past(now) => (),
            PiecePhase::AwaitsRetry(_) => {
                self.note(FlowNote::AskedAgain);
                self.open(now, number);
            }
            PiecePhase::Open(request) => {
                for due in request.due(now, &self.identity) {
                    if due.turn == SendTurn::Again {
                        self.effects.push(CallerEffect::Note(FlowNote::Resent));
                    }
                    self.effects.push(CallerEffect::send(&due.packet));
                }
            }
        }
    }

    /// Sends the piece under a new request number, or asks for the ticket that it needs.
    fn open(&mut self, now: ClockTime, number: u64) {
        let Some(piece) = self.pieces.get_mut(&number) else { return };
        let ticket = match self.identity.idempotent {
            true => Some(Vec::new()),
            false => self.tickets.take(now),
        };
        let Some(ticket) = ticket else {
            piece.phase = PiecePhase::AwaitsTicket;
            return self.ask_ticket(now);
        };
        let payload = piece.payload.clone();
        let request = OpenRequest::new(now, self.next_request, ticket, payload, piece.deadline);
        self.next_request += 1;
        self.effects.push(CallerEffect::send(&request.opening(now, &self.identity)));
        piece.phase = PiecePhase::Open(Box::new(request));
    }

    fn ask_ticket(&mut self, now: ClockTime) {
        if !self.tickets.start_asking(now) {
            return;
        }
        self.note(FlowNote::TicketAsked);
        self.send_ticket_request(now);
    }

    /// Asks in the name of the first piece that waits; without one the asking ends.
    fn send_ticket_request(&mut self, now: ClockTime) {
        let waits = |piece: &&WorkPiece| matches!(piece.phase, PiecePhase::AwaitsTicket);
        let Some(piece) = self.pieces.values().find(waits) else {
            return self.tickets.stop_asking();
        };
        let mut packet = self.identity.packet(PacketKind::TicketRequest, 0);
        packet.time_left_ms = piece.deadline.remaining_millis(now);
        packet.payload = vec![0; MIN_TICKET_PADDING_BYTES];
        self.effects.push(CallerEffect::send(&packet));
    }

    fn on_grant(&mut self, now: ClockTime, packet: &Packet) {
        self.note(FlowNote::TicketGot);
        self.tickets.grant(now, &packet.ticket, packet.time_left_ms, packet.parts);
        self.open_waiting(now);
    }

    fn open_waiting(&mut self, now: ClockTime) {
        for number in self.waiting() {
            self.open(now, number);
        }
    }

    fn waiting(&self) -> Vec<u64> {
        let waits = |piece: &WorkPiece| matches!(piece.phase, PiecePhase::AwaitsTicket);
        let waiting = self.pieces.iter().filter(|(_, piece)| waits(piece));
        waiting.map(|(number, _)| *number).collect()
    }

    fn on_ack(&mut self, now: ClockTime, packet: &Packet) {
        let Some((_, request)) = self.find(packet.request) else { return };
        request.learn_token(now, &packet.token);
        request.acknowledge(now, &packet.missing);
        self.send_due(now, packet.request);
    }

    fn on_resend(&mut self, now: ClockTime, packet: &Packet) {
        let Some((_, request)) = self.find(packet.request) else { return };
        request.hurry(now);
        self.send_due(now, packet.request);
    }

    /// Sends what the request has due, such as the next parts of an upload.
    fn send_due(&mut self, now: ClockTime, request: u64) {
        if let Some((number, _)) = self.find(request) {
            self.wake_piece(now, number);
        }
    }

    fn on_answer(&mut self, now: ClockTime, packet: &Packet) {
        let body = match read_part(packet, self.identity.service.as_ref()) {
            Ok(body) if body.flow == self.identity.flow => body,
            Ok(_) | Err(AnswerFault::Crossed) => return self.note(FlowNote::Crossed),
            Err(AnswerFault::WrongService) => return self.note(FlowNote::WrongService),
        };
        if !packet.ticket.is_empty() {
            self.note(FlowNote::TicketGot);
            self.tickets.renew(now, &packet.ticket, packet.time_left_ms);
            self.open_waiting(now);
        }
        let Some(number) = self.find(packet.request).map(|(number, _)| number) else {
            return self.note(FlowNote::Late);
        };
        if body.digest != self.pieces[&number].payload.digest {
            return self.note(FlowNote::Crossed);
        }
        let Some((_, request)) = self.find(packet.request) else { return };
        request.learn_token(now, &packet.token);
        // An answer says that every part of the request has arrived.
        request.acknowledge(now, &[]);
        if request.answer.store(&body).is_err() {
            return self.note(FlowNote::Crossed);
        }
        if request.answer.is_whole() {
            self.end_served(packet.request, number);
        }
    }

    fn on_refusal(&mut self, now: ClockTime, packet: &Packet) {
        let refusal = packet.refusal.unwrap_or_default();
        if packet.request == 0 {
            return self.on_ticket_refusal(now, refusal);
        }
        let id = self.id(packet.request);
        let Some((number, request)) = self.find(packet.request) else {
            return self.note(FlowNote::LateRefusal { id, outcome: refusal.outcome() });
        };
        let ticket = request.ticket.clone();
        if spoils_ticket(refusal.reason()) {
            self.tickets.discard(&ticket);
        }
        self.note_refusal(Some(id), refusal);
        let may_repeat = refusal.outcome() == RunOutcome::NotRun || self.identity.idempotent;
        if may_repeat {
            return self.retry_or_give_up(now, number, refusal);
        }
        self.pieces.remove(&number);
        self.note(FlowNote::EndedUnknown);
    }

    /// Work that waits for the ticket was never sent.
    fn on_ticket_refusal(&mut self, now: ClockTime, refusal: Refusal) {
        self.tickets.stop_asking();
        self.note_refusal(None, refusal);
        for number in self.waiting() {
            self.retry_or_give_up(now, number, refusal);
        }
    }

    fn retry_or_give_up(&mut self, now: ClockTime, number: u64, refusal: Refusal) {
        let Some(piece) = self.pieces.get_mut(&number) else { return };
        let backed_off = RETRY_MS << piece.refusals.min(4);
        piece.refusals += 1;
        let at = now.after_millis(backed_off.max(u64::from(refusal.retry_after_ms)));
        if is_for_good(refusal.reason()) || piece.deadline <= at {
            self.pieces.remove(&number);
            return self.note(FlowNote::GaveUp);
        }
        piece.phase = PiecePhase::AwaitsRetry(at);
    }

    fn end_served(&mut self, request: u64, number: u64) {
        let Some(piece) = self.pieces.remove(&number) else { return };
        self.note(FlowNote::Served { id: self.id(request), born: piece.born });
    }

    fn end_at_deadline(&mut self, number: u64) {
        let Some(piece) = self.pieces.remove(&number) else { return };
        match piece.phase {
            PiecePhase::Open(request) => {
                let cancel = request.cancel(&self.identity);
                self.effects.push(CallerEffect::send(&cancel));
                self.note(FlowNote::TimedOut { id: Some(self.id(request.request)) });
            }
            _ if piece.refusals > 0 => self.note(FlowNote::GaveUp),
            _ => self.note(FlowNote::TimedOut { id: None }),
        }
    }

    fn find(&mut self, request: u64) -> Option<(u64, &mut OpenRequest)> {
        self.pieces.iter_mut().find_map(|(number, piece)| match &mut piece.phase {
            PiecePhase::Open(open) if open.request == request => Some((*number, open.as_mut())),
            _ => None,
        })
    }

    fn note_refusal(&mut self, id: Option<RequestId>, refusal: Refusal) {
        let (outcome, reason) = (refusal.outcome(), refusal.reason());
        self.note(FlowNote::Refused { id, outcome, reason });
    }

    fn id(&self, request: u64) -> RequestId {
        RequestId { flow: self.identity.flow, request }
    }

    fn note(&mut self, note: FlowNote) {
        self.effects.push(CallerEffect::Note(note));
    }

    fn take_effects(&mut self) -> Vec<CallerEffect> {
        std::mem::take(&mut self.effects)
    }
}

/// True when the ticket is of no more use.
fn spoils_ticket(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::TicketExpired
            | RefusalReason::BadTicket
            | RefusalReason::HomeLost
            | RefusalReason::Leaving
            | RefusalReason::NotReady
            | RefusalReason::NoTarget
    )
}

/// True when asking again can't help.
fn is_for_good(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::UnknownAddress
            | RefusalReason::NoRule
            | RefusalReason::Denied
            | RefusalReason::BadCredential
    )
}
