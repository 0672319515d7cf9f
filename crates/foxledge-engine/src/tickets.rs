//! Tickets: issued by a home, and work that comes by one.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{names::ServiceName, time::ClockTime};
use foxledge_seal::seals::{open_ticket, seal_ticket};
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason, Ticket};
use rand::Rng;

use crate::{
    effects::EnginePhase,
    engine::FlowEngine,
    home::RunTerms,
    ledger::RequestKey,
    packets::{DEFAULT_RETRY, not_run, reply_to, unknown},
    work::RunTracking,
};

impl FlowEngine {
    /// Answers a request for a ticket, or work that needs one.
    pub(crate) fn grant_ticket(&mut self, now: ClockTime, caller: SocketAddr, packet: &Packet) {
        let treatment = match self.decide(packet) {
            Ok(treatment) => treatment,
            Err(reason) => {
                return self.refuse(now, caller, packet, not_run(reason, DEFAULT_RETRY));
            }
        };
        if self.phase == EnginePhase::Leaving {
            let refusal = not_run(RefusalReason::Leaving, DEFAULT_RETRY);
            return self.refuse(now, caller, packet, refusal);
        }
        if !self.can_serve(now, packet, &treatment) {
            let refusal = not_run(RefusalReason::NoTarget, DEFAULT_RETRY);
            return self.refuse(now, caller, packet, refusal);
        }
        let Some(ticket) = self.make_ticket(now, packet, &treatment.service) else { return };
        let reply = Packet {
            ticket,
            time_left_ms: self.options.ticket_ttl.as_millis() as u32,
            parts: self.options.requests_per_ticket,
            ..reply_to(packet, PacketKind::TicketGrant)
        };
        self.send_data(caller, &reply);
    }

    /// Seals a ticket for the packet's caller; none when no key is published.
    pub(crate) fn make_ticket(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        service: &ServiceName,
    ) -> Option<Vec<u8>> {
        let start_deadline = now.after(self.options.ticket_ttl);
        let ticket = Ticket {
            address: packet.address.clone(),
            service: service.to_string(),
            member: packet.member.clone(),
            caller: packet.caller,
            home: self.me.name.to_string(),
            home_incarnation: self.me.incarnation,
            serial: self.rng.random(),
            start_deadline_us: start_deadline.as_micros(),
            count: self.options.requests_per_ticket,
            home_address: self.me.peer_address.to_string(),
        };
        let sealed = seal_ticket(&self.ring, &ticket).ok()?;
        self.tickets_until = self.tickets_until.max(start_deadline);
        self.counters.tickets_issued += 1;
        Some(sealed)
    }

    /// Takes a request by a ticket of this process: it runs here or nowhere.
    pub(crate) fn take_ticketed(&mut self, now: ClockTime, caller: SocketAddr, packet: Packet) {
        let key = RequestKey::of(&packet);
        if let Some(state) = self.ledger.find(&key).cloned() {
            return self.take_copy(now, caller, &packet, state);
        }
        let Ok(ticket) = open_ticket(&self.ring, &packet.ticket) else { return };
        let start_deadline = ClockTime::from_micros(ticket.start_deadline_us);
        let forget_at = start_deadline.after(self.options.ledger_retention);
        if forget_at.is_past(now) {
            // The ledger may have forgotten a run of it.
            let refusal = unknown(RefusalReason::TicketExpired, DEFAULT_RETRY);
            return self.refuse(now, caller, &packet, refusal);
        }
        if start_deadline.is_past(now) && self.options.trial.run_once {
            // Not in the ledger, so it wasn't started, and it can't be any more.
            let refusal = not_run(RefusalReason::TicketExpired, Duration::ZERO);
            return self.refuse(now, caller, &packet, refusal);
        }
        let terms = RunTerms { tracking: RunTracking::ByTicket, start_deadline, forget_at };
        if !self.ledger.use_ticket(ticket.serial, ticket.count, forget_at) {
            return self.refuse_for_good(now, caller, &packet, terms, RefusalReason::Limit);
        }
        self.open_request(now, caller, packet, terms);
    }
}
