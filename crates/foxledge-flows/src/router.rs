//! Decisions on packets.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use foxledge_core::{
    names::{CentreName, RegionName, ServiceName},
    time::ClockTime,
};

use crate::{
    absent::AbsentTokens,
    backends::{Backend, BackendNews, BackendTable, LAPSE_MS, is_away},
    candidates::{CandidateSet, FlowBarrier, NewFlow},
    cold::{ColdRules, NeighbourView, ServiceTable},
    decisions::{
        DropReason, FlowDecision, FlowExplanation, OpenReason, RefuseReason, RouterCounts,
    },
    dying::DyingList,
    evacuations::{Evacuation, EvacuationChange, EvacuationNews, EvacuationTable},
    health::{HealthNote, SilenceWitness},
    losses::LossGauge,
    mechanisms::{MechanismSet, RouterMechanism},
    openings::OpeningTable,
    packet::{FlowKey, FlowPacket, PacketKind},
    placement::{LeastLoaded, PlacementPolicy},
    routes::RouteTable,
    rows::{ListRow, RowValue},
    tracks::TrackTable,
    turns::TrialTurns,
};

/// A copy of an opening packet that comes sooner than this after the first, in
/// milliseconds, goes to the same backend server.
///
/// Callers send copies after 200 ms. After a freeze the first packet and its
/// copies wait in the socket together and are read at once: sent to several
/// backend servers they would open the flow twice, and the caller would mix the
/// token of one with the sequence numbers of the other.
const COPY_MS: u64 = 150;
/// Idle time of flows while no list says another, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// `RouterOptions` is what a router starts with.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    pub(crate) data_centre: CentreName,
    pub(crate) regions: HashMap<CentreName, RegionName>,
    pub(crate) cold: ColdRules,
    address: SocketAddrV4,
    fresh_ms: u64,
    seed: u64,
    without: MechanismSet,
}

impl RouterOptions {
    /// Options of an instance in `data_centre`.
    pub fn new(data_centre: CentreName) -> RouterOptions {
        RouterOptions {
            data_centre,
            regions: HashMap::new(),
            cold: ColdRules::default(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            fresh_ms: 2_000,
            seed: 0,
            without: MechanismSet::default(),
        }
    }

    /// Sets where the instance takes messages, by which others know it.
    pub fn address(mut self, address: SocketAddrV4) -> RouterOptions {
        self.address = address;
        self
    }

    /// Sets the region of each data centre.
    pub fn regions(mut self, regions: HashMap<CentreName, RegionName>) -> RouterOptions {
        self.regions = regions;
        self
    }

    /// Sets by how much a cold backend server's limit may be passed.
    pub fn cold_rules(mut self, rules: ColdRules) -> RouterOptions {
        self.cold = rules;
        self
    }

    /// Sets how old the store's confirmation of the list may be, in
    /// milliseconds, for a flow to be refused; when it is older, the
    /// caller gets no answer and a copy of its packet may be served.
    pub fn fresh_ms(mut self, fresh_ms: u64) -> RouterOptions {
        self.fresh_ms = fresh_ms;
        self
    }

    /// Leaves a mechanism out, so that what it is worth can be measured.
    pub fn without(mut self, mechanism: RouterMechanism) -> RouterOptions {
        self.without.add(mechanism);
        self
    }

    /// Sets what tells this instance from others.
    pub fn seed(mut self, seed: u64) -> RouterOptions {
        self.seed = seed;
        self
    }
}

/// `FlowRouter` decides on the packets of callers.
pub struct FlowRouter {
    pub(crate) options: RouterOptions,
    pub(crate) routes: RouteTable,
    pub(crate) services: ServiceTable,
    pub(crate) evacuations: EvacuationTable,
    pub(crate) neighbours: NeighbourView,
    pub(crate) backends: BackendTable,
    pub(crate) openings: OpeningTable,
    pub(crate) tracks: TrackTable,
    pub(crate) dying: DyingList,
    pub(crate) losses: LossGauge,
    pub(crate) turns: TrialTurns,
    pub(crate) policy: Box<dyn PlacementPolicy>,
    pub(crate) notes: Vec<HealthNote>,
    pub(crate) news: Vec<BackendNews>,
    evacuation_news: Vec<EvacuationNews>,
    pub(crate) latencies: Vec<Duration>,
    pub(crate) counts: RouterCounts,
    pub(crate) confirmed_at: Option<ClockTime>,
    /// When the store first confirmed a list here.
    sure_since: Option<ClockTime>,
    /// Since when confirmations have come without a gap in which the store was away.
    pub(crate) unbroken_since: Option<ClockTime>,
    pub(crate) absent: AbsentTokens,
    /// Openings left unanswered by backend servers of other data centres since one of them was
    /// last seen alive.
    pub(crate) far_silences: u32,
    pub(crate) is_in_doubt: bool,
    pub(crate) is_catching_up: bool,
    pub(crate) idle_ms: u64,
    pub(crate) picks: u64,
}

impl FlowRouter {
    /// Makes a router that knows no list.
    pub fn new(options: RouterOptions) -> FlowRouter {
        FlowRouter {
            turns: TrialTurns::new(options.seed),
            neighbours: NeighbourView::new(options.address),
            options,
            routes: RouteTable::default(),
            services: ServiceTable::default(),
            evacuations: EvacuationTable::default(),
            backends: BackendTable::default(),
            openings: OpeningTable::default(),
            tracks: TrackTable::default(),
            dying: DyingList::default(),
            losses: LossGauge::default(),
            policy: Box::new(LeastLoaded),
            notes: Vec::new(),
            news: Vec::new(),
            evacuation_news: Vec::new(),
            latencies: Vec::new(),
            counts: RouterCounts::default(),
            confirmed_at: None,
            sure_since: None,
            unbroken_since: None,
            absent: AbsentTokens::default(),
            far_silences: 0,
            is_in_doubt: false,
            is_catching_up: false,
            idle_ms: DEFAULT_IDLE_MS,
            picks: 0,
        }
    }

    /// Sets the policy that places new flows.
    pub fn policy(mut self, policy: Box<dyn PlacementPolicy>) -> FlowRouter {
        self.policy = policy;
        self
    }

    /// Takes rows of the list.
    pub fn take_rows(&mut self, now: ClockTime, rows: &[ListRow]) {
        for row in rows {
            if let Some(RowValue::Limits(limits)) = &row.value {
                self.idle_ms = u64::from(limits.idle_ms).max(1_000);
            }
            self.routes.take(row);
            self.services.take(row);
            if let Some(news) = self.evacuations.take(now, row) {
                self.note_evacuation(now, news);
            }
            if let Some(news) = self.backends.take(now, row) {
                self.take_news(news);
            }
        }
        self.backends.forget(now);
    }

    /// What rows changed in what is believed of backend servers since the last call.
    pub fn take_backend_news(&mut self) -> Vec<BackendNews> {
        std::mem::take(&mut self.news)
    }

    /// What operators want of data centres that changed since the last call.
    pub fn take_evacuation_news(&mut self) -> Vec<EvacuationNews> {
        std::mem::take(&mut self.evacuation_news)
    }

    /// Every data centre that is evacuated, by name.
    pub fn evacuations(&self) -> impl Iterator<Item = (&CentreName, &Evacuation)> {
        self.evacuations.iter()
    }

    /// Takes the other instances of the own data centre that are known, those that fell silent
    /// lately included.
    pub fn set_neighbours(&mut self, now: ClockTime, others: Vec<SocketAddrV4>) {
        self.neighbours.set_others(now, others);
    }

    /// Sets the region of each data centre, as the settings changed.
    pub fn set_regions(&mut self, regions: HashMap<CentreName, RegionName>) {
        self.options.regions = regions;
    }

    /// True when a backend server takes new flows, for all that its entry and operators say.
    pub fn takes_flows(&self, now: ClockTime, backend: &Backend) -> bool {
        backend.takes_flows(now, self.confirmed_at) && !self.evacuations.holds(&backend.data_centre)
    }

    /// Notes when the store last confirmed that the list is the newest.
    pub fn set_confirmed(&mut self, at: ClockTime) {
        if let Some(former) = self.confirmed_at {
            self.backends.renew_grace(former, at);
            if is_away(former, at) {
                self.unbroken_since = None;
            }
        }
        self.confirmed_at = Some(at);
        self.unbroken_since.get_or_insert(at);
        self.sure_since.get_or_insert(at);
        self.is_in_doubt = false;
    }

    /// Notes that this process stood still: until the next confirmation, and until all
    /// that waited has been read ([`FlowRouter::check_overdue`]), nothing is refused, and
    /// openings speak against no backend server.
    ///
    /// Opening packets that waited meanwhile are old. Their callers may have
    /// opened the flow at another instance since, and would take the refusal for
    /// the end of it.
    pub fn note_pause(&mut self) {
        self.is_in_doubt = true;
        self.is_catching_up = true;
        // Signs of life came while this process stood still, and notes of them are gone.
        self.backends.forget_silence();
    }

    /// True unless this router does without a mechanism.
    pub(crate) fn has(&self, mechanism: RouterMechanism) -> bool {
        !self.options.without.holds(mechanism)
    }

    /// Sets how many other instances there are, as far as is known here.
    pub fn set_others(&mut self, others: usize) {
        if self.has(RouterMechanism::TrialTurns) {
            self.turns.set_others(others);
        }
    }

    /// When the store last confirmed the list, as far as is known here.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// What was counted.
    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// The backend server at an index that a decision named.
    pub fn backend(&self, index: usize) -> Option<&Backend> {
        self.backends.get(index)
    }

    /// The backend server of a number.
    pub fn backend_of(&self, number: u64) -> Option<&Backend> {
        self.backends.get(self.backends.by_number(number)?)
    }

    /// Every backend server.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter()
    }

    /// Says where a flow would go now and what a token names, and changes nothing.
    pub fn explain(&mut self, now: ClockTime, key: &FlowKey, token: u32) -> FlowExplanation {
        let route = self.routes.find(&key.service).cloned();
        let service = route.as_ref().map(|route| route.service_of(key).clone());
        let set = match (&route, &service) {
            (Some(route), Some(service)) => {
                self.candidates(now, &NewFlow { key, route, service, avoided: None })
            }
            _ => CandidateSet::default(),
        };
        let candidates = set.candidates;
        let fits =
            |backend: &Backend| route.as_ref().is_some_and(|route| route.allows(&backend.service));
        FlowExplanation {
            choice: self.policy.choose(now, &candidates),
            token_holder: self.backends.by_token(token, fits),
            service,
            route,
            candidates,
        }
    }

    /// Flows that are tracked.
    pub fn tracked_flows(&self) -> usize {
        self.tracks.len()
    }

    /// Decides on a packet.
    pub fn on_packet(&mut self, now: ClockTime, packet: &FlowPacket) -> FlowDecision {
        match packet.kind {
            PacketKind::Open { copy } => self.open(now, packet, copy),
            _ => self.follow(now, packet),
        }
    }

    /// Takes what operators want of a data centre.
    ///
    /// Backend servers of one that was evacuated may be cold when it is taken back, and the
    /// entries that say so may be heard of later than its end: until then they count as cold.
    fn note_evacuation(&mut self, now: ClockTime, news: EvacuationNews) {
        if let EvacuationChange::Ended { .. } = news.change {
            let services = &self.services;
            let warm_up_of = |service: &ServiceName| {
                services.get(service).map_or(0, |limits| u64::from(limits.warm_up_ms))
            };
            self.backends.set_cold(now, &news.data_centre, news.revision, warm_up_of);
        }
        self.evacuation_news.push(news);
    }

    fn take_news(&mut self, news: BackendNews) {
        if let BackendNews::Restarted { index, .. } = news {
            self.tracks.retire(index);
            self.dying.remove(index);
        }
        self.news.push(news);
    }

    fn open(&mut self, now: ClockTime, packet: &FlowPacket, copy: u32) -> FlowDecision {
        let Some(route) = self.routes.find(&packet.key.service).cloned() else {
            return self.refuse(now, RefuseReason::NoRoute);
        };
        if copy > 0 {
            self.counts.copies += 1;
        }
        let reason = |rank, candidates| OpenReason {
            route: Arc::from(route.name.as_str()),
            route_revision: route.revision,
            copy,
            rank,
            candidates,
        };
        let former = self.openings.get(&packet.key).copied();
        if let Some(opening) = former {
            let is_same = !opening.sent.after_millis(COPY_MS).is_past(now);
            if is_same && self.has(RouterMechanism::CopyWindow) {
                if !self.count_cold(now, opening.backend) {
                    return FlowDecision::Drop(DropReason::ColdLimit);
                }
                return FlowDecision::Open { backend: opening.backend, reason: reason(None, 1) };
            }
            self.openings.remove(&packet.key);
            self.note_far_silence(opening.backend);
            self.note(now, opening.backend, |health, turn_ms| {
                health.on_silence(now, opening.sent, SilenceWitness::Opening, turn_ms)
            });
        }
        let service = route.service_of(&packet.key).clone();
        let avoided = former.map(|opening| opening.backend);
        let flow = NewFlow { key: &packet.key, route: &route, service: &service, avoided };
        let CandidateSet { candidates, barrier } = self.candidates(now, &flow);
        let Some((index, rank)) = self.policy.choose(now, &candidates) else {
            return self.refuse_unserved(now, &service, barrier);
        };
        self.count_cold(now, index);
        self.picks += 1;
        if let Some(backend) = self.backends.get_mut(index) {
            backend.picked = self.picks;
            self.evacuations.count(&backend.data_centre);
        }
        match self.is_catching_up {
            true => self.openings.add_unjudged(now, packet.key, index),
            false => self.openings.add(now, packet.key, index),
        }
        FlowDecision::Open { backend: index, reason: reason(Some(rank), candidates.len()) }
    }

    /// Refuses an opening packet to a service without backend servers.
    ///
    /// Entries lapse while the store is away, and are back some two seconds after its
    /// return. An instance that started in between knows nothing of them, and a refusal is
    /// final: for as long, the caller's copies may find what is missing now.
    fn refuse_unserved(
        &self,
        now: ClockTime,
        service: &ServiceName,
        barrier: Option<FlowBarrier>,
    ) -> FlowDecision {
        if let Some(barrier) = barrier {
            return self.refuse(now, RefuseReason::of_barrier(barrier));
        }
        let is_unknown = self.backends.of_service(service).is_empty();
        let is_new = self.sure_since.is_none_or(|at| !at.after_millis(LAPSE_MS).is_past(now));
        if is_unknown && is_new {
            return FlowDecision::Drop(DropReason::MaybeStale);
        }
        self.refuse(now, RefuseReason::NoBackend)
    }

    /// Counts a new flow against the quota of a cold backend server; false when it has none
    /// left.
    fn count_cold(&mut self, now: ClockTime, index: usize) -> bool {
        let Some(backend) = self.backends.get_mut(index).filter(|one| one.is_cold(now)) else {
            return true;
        };
        let limits = self.services.get(&backend.service);
        let Some(quota) = limits.and_then(|limits| self.options.cold.quota(limits)) else {
            return true;
        };
        if !backend.cold_flows.has_room(now, quota.flows) {
            return false;
        }
        backend.cold_flows.add(now);
        true
    }

    /// Counts an opening that a backend server of another data centre left unanswered.
    fn note_far_silence(&mut self, index: usize) {
        let backend = self.backends.get(index);
        if backend.is_some_and(|backend| backend.data_centre != self.options.data_centre) {
            self.far_silences = self.far_silences.saturating_add(1);
        }
    }

    /// True when nothing was heard of the store for longer than an instance in touch knows.
    pub(crate) fn is_store_away(&self, now: ClockTime) -> bool {
        self.confirmed_at.is_some_and(|at| is_away(at, now))
    }

    /// Refuses an opening packet, if this instance can be sure.
    ///
    /// A refusal is final for the caller, so only an instance that has heard
    /// lately that its list is the newest refuses. Others stay silent: a copy of
    /// the packet may find what is missing here, or has found it already.
    pub(crate) fn refuse(&self, now: ClockTime, reason: RefuseReason) -> FlowDecision {
        let Some(confirmed) = self.confirmed_at else {
            return FlowDecision::Drop(DropReason::NoList);
        };
        let is_old = confirmed.after_millis(self.options.fresh_ms).is_past(now);
        if self.is_in_doubt || self.is_catching_up || is_old {
            return FlowDecision::Drop(DropReason::MaybeStale);
        }
        FlowDecision::Refuse(reason)
    }

    /// Sends a packet of an open flow to the backend server that its token names.
    fn follow(&mut self, now: ClockTime, packet: &FlowPacket) -> FlowDecision {
        let address = &packet.key.service;
        let route = self.routes.find(address);
        if route.is_none() && self.routes.was_removed(address) {
            self.end_track(&packet.key);
            return FlowDecision::Drop(DropReason::RouteRemoved);
        }
        let fits = |backend: &Backend| route.is_some_and(|route| route.allows(&backend.service));
        let holder = self.backends.by_token(packet.token, fits);
        let may_repeat = route.is_some_and(|route| route.idempotent);
        let Some(index) = holder else { return self.follow_absent(now, packet, may_repeat) };
        if let Some(opening) = self.openings.remove(&packet.key)
            && opening.backend == index
            && self.backends.get(index).is_some_and(|one| one.known_at <= opening.sent)
        {
            self.seen_alive(now, index);
        }
        if may_repeat
            && packet.length > 0
            && let Some(reason) = self.end_of_replaced(now, index)
        {
            self.end_track(&packet.key);
            return FlowDecision::End { backend: index, reason };
        }
        // What this packet itself tells is no evidence beside it.
        let known = self.silence_of(now, index);
        let stall = self.track(now, packet, index);
        let reason =
            stall.filter(|_| may_repeat).and_then(|one| self.end_of(now, index, one, known));
        if let Some(reason) = reason {
            self.end_track(&packet.key);
            return FlowDecision::End { backend: index, reason };
        }
        FlowDecision::Forward { backend: index, stall }
    }
}
