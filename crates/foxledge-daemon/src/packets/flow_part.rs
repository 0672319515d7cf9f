//! The part that reads packets of callers, decides and sends them on.

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
use foxledge_settings::AdmissionSettings;
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

/// One byte more than a packet may have, so that a longer one shows as oversized.
const FRAME_BYTES: usize = HEADROOM_BYTES + MAX_PACKET_BYTES + 1;

/// Longest time that packets wait for a list after the start, in milliseconds:
/// later ones of the same callers have come by then.
const MAX_LIST_WAIT_MS: u64 = 350;

/// `FlowPart` owns the socket for callers' packets.
pub struct FlowPart {
    pub(super) context: SharedContext,
    socket: MioSource<UdpSocket>,
    pub(super) router: FlowRouter,
    exported_counters: RouterCounters,
    /// While no list is known, packets wait in the socket until then.
    list_wait_until: Option<ClockTime>,
    frame: Box<[u8; FRAME_BYTES]>,
    /// The member has messages to send.
    has_messages: bool,
    /// Load is reported, and new flows are placed and refused by the load of all.
    pub(super) shares_load: bool,
    /// Openings refused for want of room that the metrics hold, by service and priority.
    pub(super) exported_refusals: HashMap<(ServiceName, u32), u64>,
}

/// `PacketOrigin` is how a caller's packet came here.
#[derive(Clone, Copy, Debug)]
enum PacketOrigin {
    /// By the network, from this address.
    Network(SocketAddr),
    /// From another instance, which couldn't place it.
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
    /// Opens a duplicate of the bound socket, with the list as it is known.
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
                fail!(cx, "can't open the socket: {}", error);
                None
            }
        }
    }

    fn open(cx: CX![], context: SharedContext) -> io::Result<FlowPart> {
        let poll = cx.anymap_get::<MioPoll>();
        let socket = UdpSocket::from_std(context.data.try_clone()?);
        let ready = fwd_to!([cx], socket_ready() as (Ready));
        let socket = poll.add(socket, Interest::READABLE, POLL_PRIORITY, ready)?;
        let data_centre = context.settings.borrow().data_centre.clone();
        let seed = StdRng::from_os_rng().random();
        let settings = context.settings.borrow();
        let options = RouterOptions::new(data_centre)
            .address(settings.peer_public)
            .regions(settings.regions.clone())
            .cold_rules(ColdRules {
                overrun_percent: settings.cold_overrun_percent,
                slack: settings.cold_slack,
            })
            .overflow(settings.shares_load)
            .admission(settings.admission.map(admission_options))
            .seed(seed);
        let shares_load = settings.shares_load;
        drop(settings);
        let mut router = FlowRouter::new(options);
        let member = context.member.borrow();
        router.apply_rows(context.clock.now(), &member.effective_rows());
        if let Some(at) = member.confirmed_at() {
            router.set_confirmed_at(at);
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

    /// Takes rows of the list that changed.
    pub fn apply_rows(&mut self, cx: CX![], rows: Vec<ListRow>) {
        self.router.apply_rows(self.context.clock.now(), &rows);
        self.log_list_events();
        if self.list_wait_until.is_some() && self.context.member.borrow().can_serve() {
            self.list_wait_until = None;
            self.read_batch(cx);
        }
    }

    /// Takes rows of a list of a store that came back from an older copy.
    pub fn apply_restored_rows(&mut self, _cx: CX![], rows: Vec<ListRow>) {
        self.router.apply_restored_rows(self.context.clock.now(), &rows);
        self.log_list_events();
    }

    fn log_list_events(&mut self) {
        for news in self.router.drain_backend_events() {
            self.log_backend_event(&news);
        }
        for news in self.router.drain_evacuation_events() {
            self.log_evacuation(&news);
        }
    }

    /// Takes the time of a confirmation of the list.
    pub fn record_confirmation(&mut self, _cx: CX![], at: ClockTime) {
        let now = self.context.clock.now();
        self.router.set_confirmed_at(at);
        self.log_list_events();
        let mut member = self.context.member.borrow_mut();
        self.router.set_peer_count(member.peer_count());
        self.router.set_neighbours(now, member.recent_neighbours(now));
    }

    /// Takes the region of each data centre, as the settings changed.
    pub fn set_regions(&mut self, _cx: CX![], regions: HashMap<CentreName, RegionName>) {
        self.router.set_regions(regions);
    }

    /// Takes note that the process stood still, and reads what has waited meanwhile.
    pub fn record_pause(&mut self, cx: CX![]) {
        self.router.record_pause();
        self.read_batch(cx);
    }

    /// Takes what another instance observed of a backend server.
    pub fn apply_observation(&mut self, _cx: CX![], note: HealthObservation) {
        let now = self.context.clock.now();
        self.router.apply_observation(now, &note);
        self.log_observation(&note, "peer");
        self.reset_idle_flows(now);
    }

    /// Takes a caller's packet that another instance couldn't place.
    pub fn handle_relayed_packet(&mut self, _cx: CX![], bytes: Vec<u8>) {
        let now = self.context.clock.now();
        let room = &mut self.frame[HEADROOM_BYTES..];
        let Some(room) = room.get_mut(..bytes.len()) else {
            let fault = PacketFault::Long.as_str();
            return self.context.metrics.malformed.with_label_values(&[fault]).inc();
        };
        room.copy_from_slice(&bytes);
        self.handle_datagram(now, bytes.len(), PacketOrigin::Instance);
        self.share_observations();
    }

    /// Answers with what the router knows.
    pub fn report_routes(&mut self, _cx: CX![], answer: Box<dyn FnOnce(RouteReport)>) {
        answer(RouteReport::new(&self.router, self.context.clock.now()));
    }

    /// Answers where a flow would go now.
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

    /// Brings the gauges of flows up to date, then answers.
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

    /// True while packets are left in the socket for want of a list.
    ///
    /// An instance that is started anew gets packets at once and the list some
    /// tens of milliseconds later. Packets dropped in between come again after
    /// 200 ms, which is late for most requests.
    fn is_waiting_for_list(&self, now: ClockTime) -> bool {
        self.list_wait_until.is_some_and(|until| !until.is_past(now))
    }

    /// Reads what has waited for a list once the wait is over.
    ///
    /// The main loop's clock may be behind this one. A timer that fires before the end of
    /// the wait leaves packets in the socket until another comes, as only new ones wake the
    /// loop; their callers would get no answer.
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
    /// Without the bound, a flood would keep the main loop in here, and messages
    /// of instances would wait for longer than a new list may take.
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
                // An ICMP error of an earlier send; the socket itself is fine.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => return fail!(cx, "can't read the socket: {}", error),
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

    /// Ends flows at rest whose backend server is dead, before their callers ask on them.
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
        let read = self
            .context
            .adapters
            .codec
            .parse_packet(&self.frame[HEADROOM_BYTES..HEADROOM_BYTES + size]);
        let packet = match read {
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

    /// Hands a packet to an instance that knows the whole list, unless it came that way.
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
            // The caller sends again; a log line for each would add to a trouble.
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
        let refusal = self.context.adapters.codec.reset_packet(packet);
        // Callers listen at the port at which packets arrive here.
        let port = self.context.settings.borrow().data.port();
        let to = SocketAddr::V4(SocketAddrV4::new(*packet.key.caller.ip(), port));
        if self.socket.send_to(&refusal, to).is_err() {
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

    /// Lets the fleet part send what the member has to send.
    pub(super) fn send_messages(&self) {
        if let Some(fleet) = self.context.directory.get::<FleetPart>() {
            call!([fleet], send_messages());
        }
    }

    /// Tells other instances what packets told of backend servers, and counts.
    fn share_observations(&mut self) {
        for latency in self.router.drain_latencies() {
            self.context.metrics.latency.observe(latency.as_secs_f64());
        }
        let counts = self.router.counters();
        let metrics = &self.context.metrics;
        metrics
            .retransmitted_openings
            .inc_by(counts.retransmitted_openings - self.exported_counters.retransmitted_openings);
        metrics
            .overdue_openings
            .inc_by(counts.overdue_openings - self.exported_counters.overdue_openings);
        metrics
            .retransmitted_data
            .inc_by(counts.retransmitted_data - self.exported_counters.retransmitted_data);
        self.exported_counters = counts;
        if std::mem::take(&mut self.has_messages) {
            self.send_messages();
        }
        let tokens = self.router.drain_token_queries();
        if let Some(fleet) = self.context.directory.get::<FleetPart>()
            && !tokens.is_empty()
        {
            call!([fleet], query_tokens(tokens));
        }
        let notes = self.router.drain_observations();
        if notes.is_empty() {
            return;
        }
        for note in &notes {
            self.log_observation(note, "self");
        }
        if let Some(fleet) = self.context.directory.get::<FleetPart>() {
            call!([fleet], share_observations(notes));
        }
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
