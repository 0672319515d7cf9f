//! Forwards new work to another data centre when the local backend servers can't serve it.

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
    /// Forwards a packet to another data centre when no local backend server can serve it. Returns
    /// true if it was forwarded.
    ///
    /// A service with four backend servers in four data centres has one in each. When that one
    /// drains or dies, its data centre would otherwise refuse everything while the other three are
    /// idle. Only new work is forwarded, and the ticket in the reply is issued by a home in the
    /// other data centre.
    pub(crate) fn forward_to_other_centre(
        &mut self,
        now: ClockTime,
        caller: SocketAddr,
        packet: &Packet,
        treatment: &ServeTreatment,
        hops: u32,
    ) -> bool {
        // The contact instance may have to forward the packet once more within its data centre.
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

    /// Refuses a packet that the contact instance in the other data centre didn't acknowledge, and
    /// skips that instance for a while.
    pub(crate) fn refuse_unreachable_centre(&mut self, now: ClockTime, forward: PendingForward) {
        if let Some(contact) = forward.tried_instances.last() {
            self.unresponsive_homes.insert(contact.clone(), now.after(self.options.home_backoff));
        }
        let refusal = self.untracked_refusal(&forward.packet, RefusalReason::NoTarget);
        self.send_refusal(now, forward.caller, &forward.packet, refusal);
    }

    /// Returns true when the packet's shard has a backend server in this data centre that is in
    /// service and answers its probes.
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

    /// Returns the instance of another data centre that the flow's work is forwarded to.
    ///
    /// It is chosen by rendezvous hashing of the flow id among the contact instances of those data
    /// centres that have published backend servers of the service which aren't draining.
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
