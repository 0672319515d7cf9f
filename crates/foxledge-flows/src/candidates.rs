//! What a new flow can be placed on, as this instance sees it.

use foxledge_core::{names::ServiceName, time::ClockTime};

use crate::{
    backends::Backend, health::HealthClass, latency::usual_us, mechanisms::RouterMechanism,
    packet::FlowKey, placement::PlacementCandidate, router::FlowRouter, routes::flow_hash,
};

impl FlowRouter {
    /// Backend servers of a service that take new flows; `avoided` is the one that left this
    /// flow's opening packet unanswered.
    pub(crate) fn candidates(
        &self,
        now: ClockTime,
        service: &ServiceName,
        key: &FlowKey,
        avoided: Option<usize>,
    ) -> Vec<PlacementCandidate> {
        let indexes = self.backends.of_service(service);
        // Each flow starts its look elsewhere, so that instances that know
        // nothing yet don't all begin with the same backend server.
        let shift = flow_hash(key);
        let known = indexes.iter().filter_map(|index| self.backends.get(*index));
        let usual = usual_us(known.filter_map(|backend| backend.latency.mean_us()));
        let candidate = |index: usize| {
            let backend = self.backends.get(index)?;
            if !backend.takes_flows(now, self.confirmed_at) {
                return None;
            }
            let tie = match backend.picked {
                0 => shift.wrapping_mul(backend.number | 1) >> 40,
                picked => (1 << 24) + picked,
            };
            Some(PlacementCandidate {
                index,
                class: self.class_of(now, backend),
                waiting: self.openings.waiting_at(index),
                is_stuck: avoided == Some(index),
                is_near: backend.data_centre == self.options.data_centre
                    || !self.has(RouterMechanism::Distance),
                running: backend.running,
                slots: backend.slots,
                slowness: match self.has(RouterMechanism::Slowness) {
                    true => (backend.latency.slowness(now, usual) * 100.0) as u32,
                    false => 100,
                },
                is_cold: !backend.warm_at.is_past(now) && self.has(RouterMechanism::Cold),
                flows: backend.flows,
                picked: tie,
            })
        };
        indexes.iter().copied().filter_map(candidate).collect()
    }

    /// What counts of a backend server's health here.
    fn class_of(&self, now: ClockTime, backend: &Backend) -> HealthClass {
        let class = backend.health.class(now);
        let mechanism = match class {
            HealthClass::Healthy => return class,
            HealthClass::Probation => RouterMechanism::Probation,
            HealthClass::Suspect => RouterMechanism::Suspicion,
            HealthClass::Ejected => RouterMechanism::Ejection,
        };
        if self.has(mechanism) { class } else { HealthClass::Healthy }
    }
}
