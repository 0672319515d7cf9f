//! Issues tickets and handles requests that have one.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::{names::ServiceName, time::ClockTime};
use foxledge_seal::seals::{open_ticket, seal_ticket};
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason, Ticket};
use rand::Rng;

use crate::{
    effects::EnginePhase,
    engine::FlowEngine,
    home::RunTerms,
    home_work::RunTracking,
    ledger::RequestKey,
    packets::{DEFAULT_RETRY_DELAY, not_run_refusal, reply_to, unknown_refusal},
};

impl FlowEngine {
    /// Sends a ticket in reply to a ticket request or to work that needs a ticket.
    pub(crate) fn grant_ticket(&mut self, now: ClockTime, caller: SocketAddr, packet: &Packet) {
        let treatment = match self.decide_treatment(packet) {
            Ok(treatment) => treatment,
            Err(reason) => {
                return self.send_refusal(
                    now,
                    caller,
                    packet,
                    not_run_refusal(reason, DEFAULT_RETRY_DELAY),
                );
            }
        };
        if self.phase == EnginePhase::Leaving {
            let refusal = not_run_refusal(RefusalReason::Leaving, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, caller, packet, refusal);
        }
        if !self.has_local_target(now, packet, &treatment) {
            let refusal = not_run_refusal(RefusalReason::NoTarget, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, caller, packet, refusal);
        }
        let Some(ticket) = self.issue_ticket(now, packet, &treatment.service) else { return };
        let reply = Packet {
            ticket,
            time_left_ms: self.options.ticket_ttl.as_millis() as u32,
            parts: self.options.requests_per_ticket,
            ..reply_to(packet, PacketKind::TicketGrant)
        };
        self.send_data(caller, &reply);
    }

    /// Creates and seals a ticket for the packet's caller. Returns none when no key is published.
    pub(crate) fn issue_ticket(
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
        let sealed = seal_ticket(&self.key_ring, &ticket).ok()?;
        self.latest_start_deadline = self.latest_start_deadline.max(start_deadline);
        self.counters.tickets_issued += 1;
        Some(sealed)
    }

    /// Handles a request whose ticket this process issued; it can run through this process only.
    pub(crate) fn handle_ticketed_request(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: Packet,
    ) {
        let key = RequestKey::from_packet(&packet);
        if let Some(state) = self.ledger.find(&key).cloned() {
            return self.handle_duplicate(now, caller, &packet, state);
        }
        let Ok(ticket) = open_ticket(&self.key_ring, &packet.ticket) else { return };
        let start_deadline = ClockTime::from_micros(ticket.start_deadline_us);
        let expires_at = start_deadline.after(self.options.ledger_retention);
        if expires_at.is_past(now) {
            // The ledger may already have removed the record of a run.
            let refusal = unknown_refusal(RefusalReason::TicketExpired, DEFAULT_RETRY_DELAY);
            return self.send_refusal(now, caller, &packet, refusal);
        }
        if start_deadline.is_past(now) && self.options.trial.run_once {
            // The request isn't in the ledger, so it hasn't been started, and it can't be started
            // after the deadline.
            let refusal = not_run_refusal(RefusalReason::TicketExpired, Duration::ZERO);
            return self.send_refusal(now, caller, &packet, refusal);
        }
        let terms = RunTerms { tracking: RunTracking::ByTicket, start_deadline, expires_at };
        if !self.ledger.count_ticket_use(ticket.serial, ticket.count, expires_at) {
            return self.refuse_permanently(now, caller, &packet, terms, RefusalReason::Limit);
        }
        self.open_request(now, caller, packet, terms);
    }
}
