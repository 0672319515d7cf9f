//! Updates of a router's knowledge of the list, the store and the fleet.

use std::{collections::HashMap, net::SocketAddrV4};

use foxledge_core::{
    names::{CentreName, RegionName, ServiceName},
    time::ClockTime,
};

use crate::{
    backends::{Backend, BackendEvent, REMOVAL_GRACE_MS, is_store_unreachable},
    cold::ColdRules,
    evacuations::{Evacuation, EvacuationChange, EvacuationEvent},
    mechanisms::RouterMechanism,
    router::FlowRouter,
    rows::{ListRow, RowValue},
};

impl FlowRouter {
    /// Applies rows of the list.
    pub fn apply_rows(&mut self, now: ClockTime, rows: &[ListRow]) {
        for row in rows {
            if let Some(RowValue::Limits(limits)) = &row.value {
                self.idle_timeout_ms = u64::from(limits.idle_ms).max(1_000);
            }
            self.routes.apply_row(row);
            self.services.apply_row(row);
            if let Some(event) = self.evacuations.apply_row(now, row) {
                self.apply_evacuation(now, event);
            }
            if let Some(event) = self.backends.apply_row(now, row) {
                self.record_backend_event(event);
            }
        }
        self.backends.remove_expired(now);
        self.load.invalidate_slots();
    }

    /// Applies rows of a list of a newer epoch: the store was restored from an older backup, and
    /// what it lost will be written again.
    pub fn apply_restored_rows(&mut self, now: ClockTime, rows: &[ListRow]) {
        self.record_confirmation_gap(self.confirmed_at.unwrap_or(now), now);
        let effective_at = now.after_millis(REMOVAL_GRACE_MS);
        let is_effective = |row: &&ListRow| !self.evacuations.defer_row(effective_at, row);
        let effective: Vec<_> = rows.iter().filter(is_effective).cloned().collect();
        self.apply_rows(now, &effective);
    }

    /// Returns the changes of backend servers' entries since the last call.
    pub fn drain_backend_events(&mut self) -> Vec<BackendEvent> {
        std::mem::take(&mut self.backend_events)
    }

    /// Returns the evacuations that began or ended since the last call.
    pub fn drain_evacuation_events(&mut self) -> Vec<EvacuationEvent> {
        std::mem::take(&mut self.evacuation_events)
    }

    /// Returns an iterator over the evacuated data centres, ordered by name.
    pub fn evacuations(&self) -> impl Iterator<Item = (&CentreName, &Evacuation)> {
        self.evacuations.iter()
    }

    /// Sets the known other instances of the local data centre, including those that recently
    /// became unresponsive.
    pub fn set_neighbours(&mut self, now: ClockTime, peers: Vec<SocketAddrV4>) {
        self.centre_peers.set_peers(now, peers);
    }

    /// Sets the region of each data centre after a change of the settings.
    pub fn set_regions(&mut self, regions: HashMap<CentreName, RegionName>) {
        self.options.regions = regions;
        self.load.invalidate_slots();
    }

    /// Sets by how much the limits of cold backend servers may be exceeded after a change of the
    /// settings.
    pub fn set_cold_rules(&mut self, rules: ColdRules) {
        self.options.cold = rules;
    }

    /// Returns true if a backend server may get new flows according to its entry and the operators.
    pub fn accepts_new_flows(&self, now: ClockTime, backend: &Backend) -> bool {
        backend.accepts_new_flows(now, self.confirmed_at)
            && !self.evacuations.contains(&backend.data_centre)
    }

    /// Records when the store last confirmed that the list is the newest.
    pub fn set_confirmed_at(&mut self, confirmed_at: ClockTime) {
        if let Some(former_confirmed_at) = self
            .confirmed_at
            .filter(|former_confirmed_at| is_store_unreachable(*former_confirmed_at, confirmed_at))
        {
            self.record_confirmation_gap(former_confirmed_at, confirmed_at);
        }
        self.confirmed_at = Some(confirmed_at);
        for event in self.evacuations.apply_deferred(confirmed_at) {
            self.apply_evacuation(confirmed_at, event);
        }
        self.confirmed_since.get_or_insert(confirmed_at);
        self.first_confirmed_at.get_or_insert(confirmed_at);
        self.is_awaiting_confirmation = false;
    }

    /// Records that entries may have been lost between two moments and will be written again.
    fn record_confirmation_gap(&mut self, former_confirmed_at: ClockTime, confirmed_at: ClockTime) {
        self.backends.restart_grace(former_confirmed_at, confirmed_at);
        self.confirmed_since = None;
    }

    /// Records that this process was paused. Until the next list confirmation, and until all
    /// packets that arrived meanwhile have been read ([`FlowRouter::report_overdue_openings`]),
    /// nothing is refused, and openings don't count against backend servers.
    ///
    /// Opening packets that waited meanwhile are old. Their callers may have opened the flow at
    /// another instance since, and would take the refusal for the end of that flow.
    pub fn record_pause(&mut self) {
        self.is_awaiting_confirmation = true;
        self.is_catching_up = true;
        // Responses came during the pause, and peers' observations of them are lost.
        self.backends.clear_unanswered();
    }

    /// Sets the number of other instances known here.
    pub fn set_peer_count(&mut self, peers: usize) {
        if self.has_mechanism(RouterMechanism::TrialDelays) {
            self.trial_delays.set_peer_count(peers);
        }
    }

    /// Applies the start or end of an evacuation.
    ///
    /// Backend servers of a data centre may be cold when its evacuation ends, and the entries that
    /// say so may arrive after the end: until then they count as cold.
    fn apply_evacuation(&mut self, now: ClockTime, event: EvacuationEvent) {
        if let EvacuationChange::Ended { .. } = event.change {
            let services = &self.services;
            let warm_up_of = |service: &ServiceName| {
                services.get(service).map_or(0, |limits| u64::from(limits.warm_up_ms))
            };
            self.backends.mark_cold(now, &event.data_centre, event.revision, warm_up_of);
        }
        self.evacuation_events.push(event);
        self.load.invalidate_slots();
    }

    fn record_backend_event(&mut self, event: BackendEvent) {
        if let BackendEvent::Restarted { index, .. } = event {
            self.tracks.retire_backend(index);
            self.dead_backends.remove(index);
        }
        self.backend_events.push(event);
    }

    /// Returns true if the last list confirmation is older than an instance in contact with the
    /// store ever sees.
    pub(crate) fn is_store_unreachable(&self, now: ClockTime) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| is_store_unreachable(confirmed_at, now))
    }
}
