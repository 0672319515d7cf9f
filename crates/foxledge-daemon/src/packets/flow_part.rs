//! The part that receives packets of callers, routes and forwards them.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use foxledge_admission::AdmissionOptions;
use foxledge_core::{
    names::{CentreName, RegionName, ServiceName},
    time::ClockTime,
};
use foxledge_flows::{
    Backend, ColdRules, DropReason, FlowDecision, FlowKey, FlowPacket, FlowReset, FlowRouter,
    HealthClass, HealthObservation, PacketKind, RefuseReason, ResetReason, RouterCounters,
    RouterOptions,
    packet::{HEADROOM_BYTES, MAX_PACKET_BYTES, PacketFault},
    rows::ListRow,
};
use foxledge_settings::{AdmissionSettings, PacketSettings};
use rand::{Rng, SeedableRng, rngs::StdRng};
use stakker::{CX, after, call, fail, fwd_to, idle};
use stakker_mio::{
    MioPoll, MioSource, Ready,
    mio::{Interest, net::UdpSocket},
};

use crate::listener::{BATCH_LIMIT, POLL_PRIORITY};

use super::{
    clock::MIN_RECHECK_DELAY,
    context::SharedContext,
    fleet_part::FleetPart,
    flow_lines::{DecisionDetail, MalformedLine},
    reports::{ExplainReport, RouteReport},
};

/// Size of the receive buffer: one byte more than the longest packet, so that an oversized
/// datagram is detected instead of truncated.
const FRAME_BYTES: usize = HEADROOM_BYTES + MAX_PACKET_BYTES + 1;

/// Maximum time for which packets wait for a list after the start, in milliseconds. By then
/// callers have retransmitted them.
const MAX_LIST_WAIT_MS: u64 = 350;

/// Owns the socket for packets of callers and the router that decides on them.
pub struct FlowPart {
    pub(super) context: SharedContext,
    socket: MioSource<UdpSocket>,
    pub(super) router: FlowRouter,
    /// The counters as they were last added to the metrics.
    exported_counters: RouterCounters,
    /// Deadline until which packets stay in the socket while no list is known.
    list_wait_until: Option<ClockTime>,
    frame: Box<[u8; FRAME_BYTES]>,
    /// True when the fleet member has queued messages since the last send.
    has_messages: bool,
    /// True when load is reported and new flows are placed and refused by the load of all
    /// instances.
    pub(super) shares_load: bool,
    /// Openings refused for lack of capacity, by service and priority, as they were last added
    /// to the metrics.
    pub(super) exported_refusals: HashMap<(ServiceName, u32), u64>,
}

/// How a packet of a caller reached this instance.
#[derive(Clone, Copy, Debug)]
enum PacketOrigin {
    /// Received from the network, from this address.
    Network(SocketAddr),
    /// Relayed by another instance that doesn't know the token.
    Instance,
}

impl PacketOrigin {
    fn address(self) -> Option<SocketAddr> {
        match self {
            PacketOrigin::Network(address) => Some(address),
            PacketOrigin::Instance => None,
        }
    }
}

impl FlowPart {
    /// Starts the part on a duplicate of the bound socket, with the list known so far.
    pub fn init(cx: CX![], context: SharedContext) -> Option<FlowPart> {
        match FlowPart::open(cx, context) {
            Ok(part) => {
                call!([cx], end_list_wait());
                call!([cx], read_batch());
                if part.shares_load {
                    call!([cx], check_load());
                }
                Some(part)
            }
            Err(error) => {
                fail!(cx, "can't open the data socket: {}", error);
                None
            }
        }
    }

    fn open(cx: CX![], context: SharedContext) -> io::Result<FlowPart> {
        let poll = cx.anymap_get::<MioPoll>();
        let socket = UdpSocket::from_std(context.data.try_clone()?);
        let on_ready = fwd_to!([cx], socket_ready() as (Ready));
        let socket = poll.add(socket, Interest::READABLE, POLL_PRIORITY, on_ready)?;
        let data_centre = context.settings.borrow().data_centre.clone();
        let seed = StdRng::from_os_rng().random();
        let settings = context.settings.borrow();
        let options = RouterOptions::new(data_centre)
            .address(settings.peer_public)
            .regions(settings.regions.clone())
            .cold_rules(cold_rules(&settings))
            .overflow(settings.shares_load)
            .admission(settings.admission.map(admission_options))
            .seed(seed);
        let shares_load = settings.shares_load;
        drop(settings);
        let mut router = FlowRouter::new(options);
        let member = context.member.borrow();
        router.apply_rows(context.clock.now(), &member.effective_rows());
        if let Some(confirmed_at) = member.confirmed_at() {
            router.set_confirmed_at(confirmed_at);
        }
        drop(member);
        let now = context.clock.now();
        let can_serve = context.member.borrow().can_serve();
        let list_wait_until = (!can_serve).then(|| now.after_millis(MAX_LIST_WAIT_MS));
        let exported_counters = RouterCounters::default();
        let frame = Box::new([0; FRAME_BYTES]);
        Ok(FlowPart {
            context,
            socket,
            router,
            exported_counters,
            list_wait_until,
            frame,
            has_messages: false,
            shares_load,
            exported_refusals: HashMap::new(),
        })
    }

    /// Applies changed rows of the list, and reads waiting packets once a list is known.
    pub fn apply_rows(&mut self, cx: CX![], rows: Vec<ListRow>) {
        self.router.apply_rows(self.context.clock.now(), &rows);
        self.log_list_events();
        if self.list_wait_until.is_some() && self.context.member.borrow().can_serve() {
            self.list_wait_until = None;
            self.read_batch(cx);
        }
    }

    /// Applies rows of the list of a store that was restored from an older copy.
    pub fn apply_restored_rows(&mut self, _cx: CX![], rows: Vec<ListRow>) {
        self.router.apply_restored_rows(self.context.clock.now(), &rows);
        self.log_list_events();
    }

    fn log_list_events(&mut self) {
        for event in self.router.drain_backend_events() {
            self.log_backend_event(&event);
        }
        for event in self.router.drain_evacuation_events() {
            self.log_evacuation(&event);
        }
    }

    /// Records when the store confirmed the list, and updates the view of the fleet.
    pub fn record_confirmation(&mut self, _cx: CX![], confirmed_at: ClockTime) {
        let now = self.context.clock.now();
        self.router.set_confirmed_at(confirmed_at);
        self.log_list_events();
        let mut member = self.context.member.borrow_mut();
        self.router.set_peer_count(member.peer_count());
        self.router.set_neighbours(now, member.recent_neighbours(now));
    }

    /// Sets the region of each data centre after a reload of the settings.
    pub fn set_regions(&mut self, _cx: CX![], regions: HashMap<CentreName, RegionName>) {
        self.router.set_regions(regions);
    }

    /// Changes by how much the limits of cold backend servers may be exceeded.
    pub fn set_cold_rules(&mut self, _cx: CX![], rules: ColdRules) {
        self.router.set_cold_rules(rules);
    }

    /// Records that the process was paused, and reads packets that arrived meanwhile.
    pub fn record_pause(&mut self, cx: CX![]) {
        self.router.record_pause();
        self.read_batch(cx);
    }

    /// Applies an observation of a backend server by another instance.
    pub fn apply_observation(&mut self, _cx: CX![], observation: HealthObservation) {
        let now = self.context.clock.now();
        self.router.apply_observation(now, &observation);
        self.log_observation(&observation, "peer");
        self.reset_idle_flows(now);
    }

    /// Handles a packet of a caller that another instance relayed.
    pub fn handle_relayed_packet(&mut self, _cx: CX![], bytes: Vec<u8>) {
        let now = self.context.clock.now();
        let buffer = &mut self.frame[HEADROOM_BYTES..];
        let Some(buffer) = buffer.get_mut(..bytes.len()) else {
            let fault = PacketFault::Long.as_str();
            return self.context.metrics.malformed.with_label_values(&[fault]).inc();
        };
        buffer.copy_from_slice(&bytes);
        self.handle_datagram(now, bytes.len(), PacketOrigin::Instance);
        self.share_observations();
    }

    /// Passes a report of the router's state to `answer`.
    pub fn report_routes(&mut self, _cx: CX![], answer: Box<dyn FnOnce(RouteReport)>) {
        answer(RouteReport::new(&self.router, self.context.clock.now()));
    }

    /// Passes an explanation of the decision on a flow to `answer`.
    pub fn explain(
        &mut self,
        _cx: CX![],
        key: FlowKey,
        token: u32,
        answer: Box<dyn FnOnce(ExplainReport)>,
    ) {
        let now = self.context.clock.now();
        answer(ExplainReport::new(&mut self.router, now, &key, token));
    }

    /// Updates the gauges of flows and load, then calls `answer`.
    pub fn set_gauges(&mut self, _cx: CX![], answer: Box<dyn FnOnce()>) {
        let now = self.context.clock.now();
        let is_ejected = |backend: &&Backend| backend.health.class(now) == HealthClass::Ejected;
        let metrics = &self.context.metrics;
        metrics.flows.set(self.router.tracked_flow_count() as i64);
        metrics.ejected.set(self.router.backends().filter(is_ejected).count() as i64);
        self.set_load_gauges(now);
        answer();
    }

    fn socket_ready(&mut self, cx: CX![], _ready: Ready) {
        self.read_batch(cx);
    }

    /// Returns true while packets are left in the socket because no list is known.
    ///
    /// A restarted instance receives packets at once and the list some tens of
    /// milliseconds later. Callers retransmit packets dropped in between after
    /// 200 ms, which is too late for most requests.
    fn is_waiting_for_list(&self, now: ClockTime) -> bool {
        self.list_wait_until.is_some_and(|until| !until.is_past(now))
    }

    /// Reads the waiting packets once the deadline has passed, or checks again later.
    ///
    /// The main loop's clock may be behind this one, so the timer may fire before the
    /// deadline. Without another check, the packets would stay in the socket until a new
    /// one arrives, as only new ones wake the loop, and their callers would get no response.
    fn end_list_wait(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        match self.list_wait_until.filter(|until| !until.is_past(now)) {
            Some(until) => {
                after!(until.remaining(now).max(MIN_RECHECK_DELAY), [cx], end_list_wait());
            }
            None => self.read_batch(cx),
        }
    }

    /// Reads a bounded batch and lets the main loop run before the next.
    ///
    /// Without the bound, a flood would block the main loop, and messages of other
    /// instances would be delayed beyond the time allowed for the spread of a new list.
    fn read_batch(&mut self, cx: CX![]) {
        let now = self.context.clock.now();
        if self.is_waiting_for_list(now) {
            return;
        }
        if self.context.detect_pause().is_some() {
            self.router.record_pause();
        }
        let mut count = 0;
        while count < BATCH_LIMIT {
            match self.socket.recv_from(&mut self.frame[HEADROOM_BYTES..]) {
                Ok((size, from)) => self.handle_datagram(now, size, PacketOrigin::Network(from)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                // An ICMP error caused by an earlier send; the socket remains usable.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => return fail!(cx, "can't read from the data socket: {}", error),
            }
            count += 1;
        }
        if count == BATCH_LIMIT {
            idle!([cx], read_batch());
        } else {
            self.router.report_overdue_openings(now);
        }
        if count > 0 {
            self.context.last_packet_at.set(now);
            self.share_observations();
        }
        self.reset_idle_flows(now);
        self.exchange_load(now);
    }

    /// Resets idle flows whose backend server is dead, before their callers send on them.
    fn reset_idle_flows(&mut self, now: ClockTime) {
        for FlowReset { key, received, backend, reason } in self.router.drain_flow_resets(now) {
            let packet = FlowPacket {
                key,
                kind: PacketKind::Continue,
                token: 0,
                sequence: 0,
                acknowledged: received,
                length: 0,
            };
            self.reset_flow(now, &packet, backend, reason);
        }
    }

    fn handle_datagram(&mut self, now: ClockTime, size: usize, origin: PacketOrigin) {
        let parsed = self
            .context
            .adapters
            .codec
            .parse_packet(&self.frame[HEADROOM_BYTES..HEADROOM_BYTES + size]);
        let packet = match parsed {
            Ok(packet) => packet,
            Err(fault) => {
                self.context.metrics.malformed.with_label_values(&[fault.as_str()]).inc();
                let event = "packet_malformed";
                let line = MalformedLine { event, from: origin.address(), fault: fault.as_str() };
                return self.context.log_event(event, &line);
            }
        };
        match self.router.on_packet(now, &packet) {
            FlowDecision::Forward { backend, stall } => {
                if let Some(stall) = stall {
                    self.log_stall(now, &packet, backend, stall);
                }
                self.forward_packet(size, backend);
            }
            FlowDecision::Open { backend, reason } => {
                self.log_opening(now, &packet, backend, &reason);
                self.open_flow(size, backend);
            }
            FlowDecision::Refuse(reason) => self.refuse_flow(now, &packet, reason),
            FlowDecision::Reset { backend, reason } => {
                self.reset_flow(now, &packet, backend, reason)
            }
            FlowDecision::Relay => self.relay_packet(now, size, &packet, origin),
            FlowDecision::Drop(reason) => self.drop_packet(now, &packet, reason),
        }
    }

    /// Relays a packet to an instance that knows the whole list, unless it was relayed here.
    fn relay_packet(
        &mut self,
        now: ClockTime,
        size: usize,
        packet: &FlowPacket,
        origin: PacketOrigin,
    ) {
        let bytes = &self.frame[HEADROOM_BYTES..HEADROOM_BYTES + size];
        let is_first = matches!(origin, PacketOrigin::Network(_));
        if !is_first || !self.context.member.borrow_mut().relay_packet(now, bytes) {
            return self.drop_packet(now, packet, DropReason::UnknownToken);
        }
        self.context.metrics.packets.with_label_values(&["relay"]).inc();
        let token = packet.token;
        self.log_decision(now, "packet_relayed", packet, || DecisionDetail::Relayed { token });
        self.has_messages = true;
    }

    fn forward_packet(&mut self, size: usize, index: usize) {
        self.context.metrics.packets.with_label_values(&["forward"]).inc();
        self.send_frame(size, index);
    }

    fn open_flow(&mut self, size: usize, index: usize) {
        self.context.metrics.packets.with_label_values(&["open"]).inc();
        let Some(token) = self.router.backend(index).map(|backend| backend.token) else { return };
        self.context.adapters.codec.set_token(&mut self.frame[..], token);
        self.send_frame(size, index);
    }

    fn send_frame(&mut self, size: usize, index: usize) {
        let Some(backend) = self.router.backend(index) else { return };
        self.context.adapters.codec.set_backend(&mut self.frame[..], backend.number);
        let to = SocketAddr::V4(backend.address);
        if self.socket.send_to(&self.frame[..HEADROOM_BYTES + size], to).is_err() {
            // The caller retransmits; a log line for each would add load to an overloaded
            // instance.
            self.context.metrics.send_errors.with_label_values(&["data"]).inc();
        }
    }

    fn refuse_flow(&mut self, now: ClockTime, packet: &FlowPacket, reason: RefuseReason) {
        self.context.metrics.packets.with_label_values(&["refuse"]).inc();
        self.context.metrics.refusals.with_label_values(&[reason.as_str()]).inc();
        self.log_decision(now, "flow_refused", packet, || DecisionDetail::Refused { reason });
        self.send_reset(packet);
    }

    fn reset_flow(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        index: usize,
        reason: ResetReason,
    ) {
        let Some(backend) = self.router.backend(index) else { return };
        self.context.metrics.packets.with_label_values(&["end"]).inc();
        let detail = || DecisionDetail::Ended { backend: &backend.key, reason };
        self.log_decision(now, "flow_ended", packet, detail);
        self.send_reset(packet);
    }

    fn send_reset(&mut self, packet: &FlowPacket) {
        let reset = self.context.adapters.codec.reset_packet(packet);
        // Callers listen on the port number of the data socket.
        let port = self.context.settings.borrow().data.port();
        let to = SocketAddr::V4(SocketAddrV4::new(*packet.key.caller.ip(), port));
        if self.socket.send_to(&reset, to).is_err() {
            self.context.metrics.send_errors.with_label_values(&["data"]).inc();
        }
    }

    fn drop_packet(&mut self, now: ClockTime, packet: &FlowPacket, reason: DropReason) {
        self.context.metrics.packets.with_label_values(&["drop"]).inc();
        self.context.metrics.drops.with_label_values(&[reason.as_str()]).inc();
        let token = packet.token;
        self.log_decision(now, "packet_dropped", packet, || DecisionDetail::Dropped {
            token,
            reason,
        });
    }

    /// Has the fleet part send the queued messages of the fleet member.
    pub(super) fn send_messages(&self) {
        if let Some(fleet) = self.context.directory.get::<FleetPart>() {
            call!([fleet], send_messages());
        }
    }

    /// Publishes what the router derived from packets: metrics, token queries and observations.
    fn share_observations(&mut self) {
        for latency in self.router.drain_latencies() {
            self.context.metrics.latency.observe(latency.as_secs_f64());
        }
        let counters = self.router.counters();
        let metrics = &self.context.metrics;
        metrics.retransmitted_openings.inc_by(
            counters.retransmitted_openings - self.exported_counters.retransmitted_openings,
        );
        metrics
            .overdue_openings
            .inc_by(counters.overdue_openings - self.exported_counters.overdue_openings);
        metrics
            .retransmitted_data
            .inc_by(counters.retransmitted_data - self.exported_counters.retransmitted_data);
        self.exported_counters = counters;
        if std::mem::take(&mut self.has_messages) {
            self.send_messages();
        }
        let tokens = self.router.drain_token_queries();
        if let Some(fleet) = self.context.directory.get::<FleetPart>()
            && !tokens.is_empty()
        {
            call!([fleet], query_tokens(tokens));
        }
        let observations = self.router.drain_observations();
        if observations.is_empty() {
            return;
        }
        for observation in &observations {
            self.log_observation(observation, "self");
        }
        if let Some(fleet) = self.context.directory.get::<FleetPart>() {
            call!([fleet], share_observations(observations));
        }
    }
}

/// Returns by how much the settings allow the limits of cold backend servers to be exceeded.
pub(super) fn cold_rules(settings: &PacketSettings) -> ColdRules {
    ColdRules {
        overrun_permille: settings.cold_overrun_permille,
        slack_per_ks: settings.cold_slack_per_ks,
    }
}

fn admission_options(admission: AdmissionSettings) -> AdmissionOptions {
    AdmissionOptions::default()
        .floor_percent(f64::from(admission.floor_percent))
        .account_share(f64::from(admission.account_percent) / 100.0)
}

impl Drop for FlowPart {
    fn drop(&mut self) {
        self.context.log.borrow_mut().write_pending();
    }
}
