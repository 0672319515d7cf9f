//! Decisions on packets of callers.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use crate::{
    backend_table::BackendTable,
    backends::{Backend, BackendEvent},
    candidates::{FlowPlacement, NewFlow},
    cold::{CentrePeers, ServiceTable},
    dead_backends::DeadBackends,
    decisions::{DropReason, FlowDecision, FlowExplanation, RouterCounters},
    evacuations::{EvacuationEvent, EvacuationTable},
    health::HealthObservation,
    load_control::LoadControl,
    loss_gauge::LossGauge,
    mechanisms::RouterMechanism,
    options::RouterOptions,
    packet::{FlowKey, FlowPacket, PacketKind},
    pending_openings::OpeningTable,
    placement::{LeastLoaded, PlacementPolicy},
    routes::RouteTable,
    tracks::TrackTable,
    trial_delays::TrialDelays,
    unknown_tokens::UnknownTokens,
};

/// Idle timeout of flows, in milliseconds, until a list sets a different one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Decides for each packet of a caller whether it is forwarded, refused, reset or dropped.
pub struct FlowRouter {
    pub(crate) options: RouterOptions,
    pub(crate) routes: RouteTable,
    pub(crate) services: ServiceTable,
    pub(crate) evacuations: EvacuationTable,
    /// The other instances of the local data centre.
    pub(crate) centre_peers: CentrePeers,
    pub(crate) backends: BackendTable,
    pub(crate) openings: OpeningTable,
    pub(crate) tracks: TrackTable,
    pub(crate) dead_backends: DeadBackends,
    pub(crate) losses: LossGauge,
    pub(crate) trial_delays: TrialDelays,
    pub(crate) policy: Box<dyn PlacementPolicy>,
    pub(crate) observations: Vec<HealthObservation>,
    pub(crate) backend_events: Vec<BackendEvent>,
    pub(crate) evacuation_events: Vec<EvacuationEvent>,
    /// Response times since they were last drained.
    pub(crate) latencies: Vec<Duration>,
    pub(crate) counters: RouterCounters,
    /// When the store last confirmed that the list is the newest.
    pub(crate) confirmed_at: Option<ClockTime>,
    /// When the store first confirmed a list to this instance.
    pub(crate) first_confirmed_at: Option<ClockTime>,
    /// Start of the current run of confirmations without a store outage between them.
    pub(crate) confirmed_since: Option<ClockTime>,
    pub(crate) unknown_tokens: UnknownTokens,
    /// Number of consecutive openings without a response from backend servers of other data
    /// centres. Any response from one of them resets it to 0.
    pub(crate) remote_timeouts: u32,
    /// True from a pause of this process until the store confirms the list again.
    pub(crate) is_awaiting_confirmation: bool,
    /// True from a pause of this process until the packets that arrived meanwhile have been read.
    pub(crate) is_catching_up: bool,
    pub(crate) idle_timeout_ms: u64,
    /// Number of new flows placed since the start.
    pub(crate) placement_count: u64,
    pub(crate) load: LoadControl,
    /// Time, in milliseconds, after which an unanswered request no longer counts as running.
    pub(crate) request_expiry_ms: u64,
}

impl FlowRouter {
    /// Creates a router without a list.
    pub fn new(options: RouterOptions) -> FlowRouter {
        let (centre, admission) = (options.data_centre.clone(), options.admission.clone());
        let load = LoadControl::new(centre, options.overflow, admission);
        let tracks = match load.is_on() {
            true => TrackTable::with_request_counts(),
            false => TrackTable::default(),
        };
        FlowRouter {
            trial_delays: TrialDelays::new(options.seed),
            centre_peers: CentrePeers::new(options.address),
            options,
            routes: RouteTable::default(),
            services: ServiceTable::default(),
            evacuations: EvacuationTable::default(),
            backends: BackendTable::default(),
            openings: OpeningTable::default(),
            tracks,
            dead_backends: DeadBackends::default(),
            losses: LossGauge::default(),
            policy: Box::new(LeastLoaded),
            observations: Vec::new(),
            backend_events: Vec::new(),
            evacuation_events: Vec::new(),
            latencies: Vec::new(),
            counters: RouterCounters::default(),
            confirmed_at: None,
            first_confirmed_at: None,
            confirmed_since: None,
            unknown_tokens: UnknownTokens::default(),
            remote_timeouts: 0,
            is_awaiting_confirmation: false,
            is_catching_up: false,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            placement_count: 0,
            load,
            request_expiry_ms: DEFAULT_IDLE_TIMEOUT_MS,
        }
    }

    /// Sets the policy that places new flows.
    pub fn policy(mut self, policy: Box<dyn PlacementPolicy>) -> FlowRouter {
        self.policy = policy;
        self
    }

    /// Returns true unless the options disable a mechanism.
    pub(crate) fn has_mechanism(&self, mechanism: RouterMechanism) -> bool {
        !self.options.disabled.contains(mechanism)
    }

    /// Returns when the store last confirmed the list to this instance.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// Returns the counters of packets and decisions since the start.
    pub fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// Returns the backend server with this index, as contained in a [`FlowDecision`].
    pub fn backend(&self, index: usize) -> Option<&Backend> {
        self.backends.get(index)
    }

    /// Returns the backend server that this number identifies in packets.
    pub fn backend_by_number(&self, number: u64) -> Option<&Backend> {
        self.backends.get(self.backends.by_number(number)?)
    }

    /// Returns all backend servers.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter()
    }

    /// Returns where a flow would be placed now, and which backend server its token identifies.
    ///
    /// Records no packet and no flow; only the placement policy may change its state.
    pub fn explain(&mut self, now: ClockTime, key: &FlowKey, token: u32) -> FlowExplanation {
        let route = self.routes.find(&key.service).cloned();
        let service = route.as_ref().map(|route| route.service_for(key).clone());
        let (placement, load) = match (&route, &service) {
            (Some(route), Some(service)) => (
                self.place_flow(now, &NewFlow { key, route, service, unresponsive_backend: None }),
                self.explain_load(now, key, route, service).filter(|_| self.load.is_on()),
            ),
            _ => (FlowPlacement::default(), None),
        };
        let is_allowed = |backend: &Backend| {
            route.as_ref().is_some_and(|route| route.allows_service(&backend.service))
        };
        FlowExplanation {
            choice: placement.choice,
            token_backend: self.backends.by_token(token, is_allowed),
            load,
            service,
            route,
            candidates: placement.candidates,
        }
    }

    /// Returns the number of tracked flows.
    pub fn tracked_flow_count(&self) -> usize {
        self.tracks.len()
    }

    /// Returns what to do with a packet of a caller, and updates the state of its flow and of the
    /// backend server.
    pub fn on_packet(&mut self, now: ClockTime, packet: &FlowPacket) -> FlowDecision {
        match packet.kind {
            PacketKind::Open { attempt } => self.handle_opening(now, packet, attempt),
            _ => self.forward(now, packet),
        }
    }

    /// Forwards a packet of an open flow to the backend server that its token identifies.
    fn forward(&mut self, now: ClockTime, packet: &FlowPacket) -> FlowDecision {
        let address = &packet.key.service;
        let route = self.routes.find(address);
        if route.is_none() && self.routes.was_removed(address) {
            self.end_track(now, &packet.key);
            return FlowDecision::Drop(DropReason::RouteRemoved);
        }
        let is_allowed =
            |backend: &Backend| route.is_some_and(|route| route.allows_service(&backend.service));
        let token_backend = self.backends.by_token(packet.token, is_allowed);
        let is_repeatable = route.is_some_and(|route| route.idempotent);
        let priority = route.map(|route| route.priority);
        let Some(index) = token_backend else {
            return self.handle_unknown_token(now, packet, is_repeatable);
        };
        if let Some(opening) = self.openings.remove(&packet.key)
            && opening.backend == index
            && self.backends.get(index).is_some_and(|one| one.discovered_at <= opening.sent_at)
        {
            self.record_alive(now, index);
        }
        if is_repeatable
            && packet.length > 0
            && let Some(reason) = self.replaced_reset_reason(now, index)
        {
            self.end_track(now, &packet.key);
            return FlowDecision::Reset { backend: index, reason };
        }
        // Read before the packet is tracked: the packet itself must not count as evidence against
        // its backend server.
        let unanswered = self.unanswered_state(now, index);
        let stall = self.track_packet(now, packet, index, priority);
        let reason = stall
            .filter(|_| is_repeatable)
            .and_then(|one| self.stalled_reset_reason(now, index, one, unanswered));
        if let Some(reason) = reason {
            self.end_track(now, &packet.key);
            return FlowDecision::Reset { backend: index, reason };
        }
        FlowDecision::Forward { backend: index, stall }
    }
}
