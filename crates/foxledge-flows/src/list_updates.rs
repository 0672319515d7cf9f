//! What a router learns of the list, the store and the fleet.

use std::{collections::HashMap, net::SocketAddrV4};

use foxledge_core::{
    names::{CentreName, RegionName, ServiceName},
    time::ClockTime,
};

use crate::{
    backends::{Backend, BackendEvent, REMOVAL_GRACE_MS, is_store_unreachable},
    evacuations::{Evacuation, EvacuationChange, EvacuationEvent},
    mechanisms::RouterMechanism,
    router::FlowRouter,
    rows::{ListRow, RowValue},
};

impl FlowRouter {
    /// Takes rows of the list.
    pub fn apply_rows(&mut self, now: ClockTime, rows: &[ListRow]) {
        for row in rows {
            if let Some(RowValue::Limits(limits)) = &row.value {
                self.idle_timeout_ms = u64::from(limits.idle_ms).max(1_000);
            }
            self.routes.apply_row(row);
            self.services.apply_row(row);
            if let Some(news) = self.evacuations.apply_row(now, row) {
                self.note_evacuation(now, news);
            }
            if let Some(news) = self.backends.apply_row(now, row) {
                self.take_news(news);
            }
        }
        self.backends.remove_expired(now);
        self.load.invalidate_slots();
    }

    /// Takes rows of a list of a newer epoch: the store came back from an older copy, and what
    /// it lost is written again.
    pub fn apply_restored_rows(&mut self, now: ClockTime, rows: &[ListRow]) {
        self.note_gap(self.confirmed_at.unwrap_or(now), now);
        let until = now.after_millis(REMOVAL_GRACE_MS);
        let is_other = |row: &&ListRow| !self.evacuations.defer_row(until, row);
        let others: Vec<_> = rows.iter().filter(is_other).cloned().collect();
        self.apply_rows(now, &others);
    }

    /// What rows changed in what is believed of backend servers since the last call.
    pub fn drain_backend_events(&mut self) -> Vec<BackendEvent> {
        std::mem::take(&mut self.backend_events)
    }

    /// What operators want of data centres that changed since the last call.
    pub fn drain_evacuation_events(&mut self) -> Vec<EvacuationEvent> {
        std::mem::take(&mut self.evacuation_events)
    }

    /// Every data centre that is evacuated, by name.
    pub fn evacuations(&self) -> impl Iterator<Item = (&CentreName, &Evacuation)> {
        self.evacuations.iter()
    }

    /// Takes the other instances of the own data centre that are known, those that fell silent
    /// lately included.
    pub fn set_neighbours(&mut self, now: ClockTime, others: Vec<SocketAddrV4>) {
        self.centre_peers.set_peers(now, others);
    }

    /// Sets the region of each data centre, as the settings changed.
    pub fn set_regions(&mut self, regions: HashMap<CentreName, RegionName>) {
        self.options.regions = regions;
        self.load.invalidate_slots();
    }

    /// True when a backend server takes new flows, for all that its entry and operators say.
    pub fn accepts_new_flows(&self, now: ClockTime, backend: &Backend) -> bool {
        backend.accepts_new_flows(now, self.confirmed_at)
            && !self.evacuations.contains(&backend.data_centre)
    }

    /// Notes when the store last confirmed that the list is the newest.
    pub fn set_confirmed_at(&mut self, at: ClockTime) {
        if let Some(former) = self.confirmed_at.filter(|former| is_store_unreachable(*former, at)) {
            self.note_gap(former, at);
        }
        self.confirmed_at = Some(at);
        for news in self.evacuations.apply_deferred(at) {
            self.note_evacuation(at, news);
        }
        self.confirmed_since.get_or_insert(at);
        self.first_confirmed_at.get_or_insert(at);
        self.is_awaiting_confirmation = false;
    }

    /// Notes that entries may have been lost between two moments, and are written again.
    fn note_gap(&mut self, from: ClockTime, until: ClockTime) {
        self.backends.restart_grace(from, until);
        self.confirmed_since = None;
    }

    /// Notes that this process stood still: until the next confirmation, and until all
    /// that waited has been read ([`FlowRouter::check_overdue`]), nothing is refused, and
    /// openings speak against no backend server.
    ///
    /// Opening packets that waited meanwhile are old. Their callers may have
    /// opened the flow at another instance since, and would take the refusal for
    /// the end of it.
    pub fn record_pause(&mut self) {
        self.is_awaiting_confirmation = true;
        self.is_catching_up = true;
        // Signs of life came while this process stood still, and notes of them are gone.
        self.backends.clear_unanswered();
    }

    /// Sets how many other instances there are, as far as is known here.
    pub fn set_peer_count(&mut self, others: usize) {
        if self.has_mechanism(RouterMechanism::TrialDelays) {
            self.trial_delays.set_peer_count(others);
        }
    }

    /// Takes what operators want of a data centre.
    ///
    /// Backend servers of one that was evacuated may be cold when it is taken back, and the
    /// entries that say so may be heard of later than its end: until then they count as cold.
    fn note_evacuation(&mut self, now: ClockTime, news: EvacuationEvent) {
        if let EvacuationChange::Ended { .. } = news.change {
            let services = &self.services;
            let warm_up_of = |service: &ServiceName| {
                services.get(service).map_or(0, |limits| u64::from(limits.warm_up_ms))
            };
            self.backends.mark_cold(now, &news.data_centre, news.revision, warm_up_of);
        }
        self.evacuation_events.push(news);
        self.load.invalidate_slots();
    }

    fn take_news(&mut self, news: BackendEvent) {
        if let BackendEvent::Restarted { index, .. } = news {
            self.tracks.retire(index);
            self.dead_backends.remove(index);
        }
        self.backend_events.push(news);
    }

    /// True when nothing was heard of the store for longer than an instance in touch knows.
    pub(crate) fn is_store_unreachable(&self, now: ClockTime) -> bool {
        self.confirmed_at.is_some_and(|at| is_store_unreachable(at, now))
    }
}
