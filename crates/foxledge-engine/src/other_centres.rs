//! Another data centre serves what this one can't.

use std::net::SocketAddr;

use foxledge_core::{
    hash::rendezvous_weight, lists::ServeTreatment, peers::CentreContact, time::ClockTime,
};
use foxledge_wire::flow::{Packet, RefusalReason};

use crate::{
    engine::FlowEngine,
    forwarding::MAX_HOPS,
    forwards::{ForwardRoute, PendingForward},
};

impl FlowEngine {
    /// Sends a packet to another data centre when no target here can serve it; true when sent.
    ///
    /// A service of four targets in four data centres has one in each: when it
    /// drains or dies, its data centre would refuse everything while three idle
    /// targets stand elsewhere. What is sent on is new work only, and the ticket
    /// that comes back is of the home over there.
    pub(crate) fn forward_to_other_centre(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        treatment: &ServeTreatment,
        hops: u32,
    ) -> bool {
        // The contact there may have to forward it once more.
        if hops + 1 >= MAX_HOPS || self.has_local_target(now, packet, treatment) {
            return false;
        }
        let Some(contact) = self.best_contact(now, packet, treatment) else { return false };
        self.counters.sent_elsewhere += 1;
        let forward = PendingForward {
            packet: packet.clone(),
            caller,
            route: ForwardRoute::OtherCentre,
            tried_instances: vec![contact.name],
            ack_deadline: now.after(self.options.forward_timeout),
            hops,
        };
        self.send_forward(contact.peer_address, forward);
        true
    }

    /// Refuses a packet that no contact in the other data centre acknowledged.
    pub(crate) fn refuse_unreachable_centre(&mut self, now: ClockTime, forward: PendingForward) {
        if let Some(contact) = forward.tried_instances.last() {
            self.unresponsive_homes.insert(contact.clone(), now.after(self.options.home_backoff));
        }
        let refusal = self.untracked_refusal(&forward.packet, RefusalReason::NoTarget);
        self.send_refusal(now, forward.caller, &forward.packet, refusal);
    }

    /// True when a target here can be expected to take the packet's work.
    pub(crate) fn has_local_target(
        &mut self,
        now: ClockTime,
        packet: &Packet,
        treatment: &ServeTreatment,
    ) -> bool {
        let key = self.shard_key(packet, treatment);
        self.ensure_scheduler(now, &key);
        self.schedulers.find(&key).is_some_and(|scheduler| scheduler.has_responsive_target())
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
            .filter(|contact| !self.unresponsive_homes.contains(&contact.name, now))
            .max_by_key(|contact| rendezvous_weight(&key, &contact.name))
            .cloned()
    }
}
