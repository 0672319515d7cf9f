//! Another data centre serves what this one can't.

use std::net::SocketAddr;

use foxledge_core::{
    hash::rendezvous_weight, lists::ServeTreatment, peers::CentreContact, time::ClockTime,
};
use foxledge_wire::flow::{Packet, RefusalReason};

use crate::{
    engine::FlowEngine,
    forwards::{ForwardRoute, PendingForward},
    homes::MAX_HOPS,
};

impl FlowEngine {
    /// Sends a packet to another data centre when no target here can serve it; true when sent.
    ///
    /// A service of four targets in four data centres has one in each: when it
    /// drains or dies, its data centre would refuse everything while three idle
    /// targets stand elsewhere. What is sent on is new work only, and the ticket
    /// that comes back is of the home over there.
    pub(crate) fn send_elsewhere(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        treatment: &ServeTreatment,
        hops: u32,
    ) -> bool {
        // The contact there may have to forward it once more.
        if hops + 1 >= MAX_HOPS || self.can_serve(now, packet, treatment) {
            return false;
        }
        let Some(contact) = self.best_contact(now, packet, treatment) else { return false };
        self.counters.sent_elsewhere += 1;
        let forward = PendingForward {
            packet: packet.clone(),
            caller,
            route: ForwardRoute::OtherCentre,
            tried: vec![contact.name],
            deadline: now.after(self.options.forward_timeout),
            hops,
        };
        self.send_forward(contact.peer_address, forward);
        true
    }

    /// Refuses a packet that no contact in the other data centre acknowledged.
    pub(crate) fn give_up_centre(&mut self, now: ClockTime, forward: PendingForward) {
        if let Some(silent) = forward.tried.last() {
            self.silent.note(silent.clone(), now.after(self.options.home_backoff));
        }
        let refusal = self.untracked_refusal(&forward.packet, RefusalReason::NoTarget);
        self.refuse(now, forward.caller, &forward.packet, refusal);
    }

    /// True when a target here can be expected to take the packet's work.
    pub(crate) fn can_serve(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        treatment: &ServeTreatment,
    ) -> bool {
        let key = self.desk_key(packet, treatment);
        self.obtain_desk(now, &key);
        self.desks.find(&key).is_some_and(|desk| desk.has_responsive_target())
    }

    /// The contact for a flow, in a data centre that has published targets of the service.
    fn best_contact(
        &self,
        now: ClockTime,
        packet: &Packet,
        treatment: &ServeTreatment,
    ) -> Option<CentreContact> {
        let service = self.list.services.get(&treatment.service)?;
        let serves = |contact: &&CentreContact| {
            contact.data_centre != self.me.data_centre
                && service
                    .targets
                    .iter()
                    .any(|target| target.data_centre == contact.data_centre && !target.draining)
        };
        let key = format!("{:016x}", packet.flow);
        self.view
            .contacts
            .iter()
            .filter(serves)
            .filter(|contact| !self.silent.is_silent(&contact.name, now))
            .max_by_key(|contact| rendezvous_weight(&key, &contact.name))
            .cloned()
    }
}
