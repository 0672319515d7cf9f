//! Simulates engines, fake backend servers and a faulty network in virtual time.

#![allow(dead_code)]

pub mod lists;
pub mod packets;
pub mod targets;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::RuleList,
    names::{CentreName, InstanceName},
    peers::{PeerInfo, PeerState, PeerView},
    time::ClockTime,
};
use foxledge_engine::{EngineEffect, EngineOptions, EnginePhase, FlowEngine};
use foxledge_wire::{
    MIN_TICKET_PADDING_BYTES, decode_packet, encode_packet,
    flow::{Packet, PacketKind},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use lists::{target_spec, test_list};
use packets::bid_packet;
use targets::FakeTarget;

/// The data centre of all instances and backend servers.
pub const CENTRE: &str = "toledo";
const TICK_INTERVAL_MS: u64 = 10;

/// The faults that the network applies to datagrams.
#[derive(Clone, Copy, Default)]
pub struct NetFaults {
    pub loss: f64,
    pub duplicate: f64,
    pub delay_ms: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Delivery {
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
    RunEnd { target: usize, dispatch: u64 },
}

/// The engines, the backend servers and the datagrams in transit between them.
pub struct TestNet {
    pub now: ClockTime,
    pub engines: Vec<Option<FlowEngine>>,
    frozen: BTreeSet<usize>,
    pub targets: Vec<FakeTarget>,
    pub faults: NetFaults,
    pub cut_links: BTreeSet<(SocketAddr, SocketAddr)>,
    pub caller_inboxes: BTreeMap<SocketAddr, Vec<Packet>>,
    /// The changes that the instances recorded in their audit trails, in order.
    pub audit_changes: Vec<AuditChange>,
    queue: BTreeSet<(ClockTime, u64, Delivery)>,
    last_sequence: u64,
    next_tick_at: ClockTime,
    pub rng: StdRng,
    pub options: EngineOptions,
    last_incarnation: u64,
}

/// Returns the address of a port in the test network.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the address at which callers and backend servers reach an instance.
pub fn data_address(instance: usize) -> SocketAddr {
    address(1000 + instance as u16)
}

/// Returns the address of a backend server.
pub fn target_address(target: usize) -> SocketAddr {
    address(4000 + target as u16)
}

/// Returns the address of a caller.
pub fn caller_address(caller: u64) -> SocketAddr {
    address(5000 + caller as u16)
}

impl TestNet {
    /// Creates engines with a common view, two auction backend servers and one for lot intake.
    pub fn new(instances: usize, seed: u64, options: EngineOptions) -> TestNet {
        let mut net = TestNet {
            now: ClockTime::from_micros(1_000_000),
            engines: Vec::new(),
            frozen: BTreeSet::new(),
            targets: Vec::new(),
            faults: NetFaults::default(),
            cut_links: BTreeSet::new(),
            caller_inboxes: BTreeMap::new(),
            audit_changes: Vec::new(),
            queue: BTreeSet::new(),
            last_sequence: 0,
            next_tick_at: ClockTime::from_micros(1_000_000),
            rng: StdRng::seed_from_u64(seed),
            options,
            last_incarnation: 100,
        };
        for index in 0..3 {
            let service = if index < 2 { "auction-desk" } else { "lot-intake" };
            net.targets.push(FakeTarget::new(service, target_spec(index, 1)));
        }
        for instance in 0..instances {
            net.engines.push(None);
            net.start_instance(instance);
        }
        net.distribute_full_view();
        net
    }

    /// Starts a new process of the instance with the list of revision 1.
    pub fn start_instance(&mut self, instance: usize) {
        self.last_incarnation += 1;
        let me = PeerInfo {
            name: InstanceName::new(&format!("i{instance}")),
            incarnation: self.last_incarnation,
            refutation: 0,
            state: PeerState::Alive,
            data_centre: CentreName::new(CENTRE),
            data_address: data_address(instance),
            peer_address: address(2000 + instance as u16),
            control_address: address(3000 + instance as u16),
        };
        let seed = self.rng.random();
        let mut engine = FlowEngine::new(self.options.clone(), me, seed);
        engine.apply_list(self.now, Arc::new(self.current_list(1)));
        engine.set_phase(self.now, EnginePhase::Serving);
        self.engines[instance] = Some(engine);
        self.frozen.remove(&instance);
    }

    /// Returns a list of the current backend servers.
    pub fn current_list(&self, revision: u64) -> RuleList {
        let specs: Vec<_> = self.targets.iter().map(|target| target.spec.clone()).collect();
        test_list(revision, &specs[..2], &specs[2..])
    }

    /// Ends an instance without a planned stop.
    pub fn kill(&mut self, instance: usize) {
        self.engines[instance] = None;
    }

    /// Suspends an instance. Datagrams wait in its socket.
    pub fn freeze(&mut self, instance: usize) {
        self.frozen.insert(instance);
    }

    /// Resumes a frozen instance.
    pub fn unfreeze(&mut self, instance: usize) {
        self.frozen.remove(&instance);
    }

    /// Gives all running instances a view of all running instances.
    pub fn distribute_full_view(&mut self) {
        let all: Vec<usize> = (0..self.engines.len()).collect();
        self.distribute_view(&all, &all);
    }

    /// Gives `viewers` a view that contains `members`.
    pub fn distribute_view(&mut self, viewers: &[usize], members: &[usize]) {
        let peers: Vec<_> = members
            .iter()
            .filter_map(|&index| self.engines[index].as_ref().map(|engine| engine.me().clone()))
            .collect();
        let view = Arc::new(PeerView { peers, ..PeerView::default() });
        for &viewer in viewers {
            let Some(engine) = self.engines[viewer].as_mut() else { continue };
            let effects = engine.apply_peer_view(self.now, view.clone());
            self.apply_effects(viewer, effects);
        }
    }

    /// Applies a list at one instance.
    pub fn apply_list(&mut self, instance: usize, list: RuleList) {
        let Some(engine) = self.engines[instance].as_mut() else { return };
        let effects = engine.apply_list(self.now, Arc::new(list));
        self.apply_effects(instance, effects);
    }

    /// Sends a caller's packet to one instance over the faulty network.
    pub fn send(&mut self, caller: u64, instance: usize, packet: &Packet) {
        let to = data_address(instance);
        self.transmit(caller_address(caller), to, encode_packet(packet));
    }

    /// Advances the virtual time by `millis` milliseconds.
    pub fn run_for(&mut self, millis: u64) {
        let end = self.now.after_millis(millis);
        while self.step(end) {}
        self.now = end;
    }

    /// Removes and returns the packets that reached a caller.
    pub fn drain_answers(&mut self, caller: u64) -> Vec<Packet> {
        self.caller_inboxes.remove(&caller_address(caller)).unwrap_or_default()
    }

    /// Requests a ticket through an instance, at most five times.
    pub fn obtain_ticket(
        &mut self,
        caller: u64,
        instance: usize,
        service_address: &str,
    ) -> Option<Vec<u8>> {
        let packet = Packet { idempotent: false, ..bid_packet(caller, 1, 0, service_address) };
        let kind = PacketKind::TicketRequest.into();
        let packet = Packet { kind, payload: vec![0; MIN_TICKET_PADDING_BYTES], ..packet };
        for _ in 0..5 {
            self.send(caller, instance, &packet);
            self.run_for(400);
            let answers = self.drain_answers(caller);
            let grant = answers.iter().find(|answer| answer.kind() == PacketKind::TicketGrant);
            if let Some(grant) = grant {
                return Some(grant.ticket.clone());
            }
        }
        None
    }

    /// Returns the instance that has issued a ticket.
    pub fn issuing_instance(&self) -> usize {
        (0..self.engines.len())
            .find(|&i| self.engines[i].as_ref().is_some_and(|e| e.counters().tickets_issued > 0))
            .expect("a ticket was issued")
    }

    /// Returns the recorded audit changes of one kind, in order.
    pub fn audit_changes_of(&self, kind: AuditKind) -> Vec<AuditChange> {
        self.audit_changes.iter().filter(|change| change.kind == kind).cloned().collect()
    }

    fn step(&mut self, end: ClockTime) -> bool {
        let next = self.queue.first().map_or(ClockTime::MAX, |(delivered_at, ..)| *delivered_at);
        if next.min(self.next_tick_at) > end {
            return false;
        }
        if self.next_tick_at <= next {
            self.now = self.next_tick_at;
            self.next_tick_at = self.next_tick_at.after_millis(TICK_INTERVAL_MS);
            self.tick();
            return true;
        }
        let Some((delivered_at, _, delivery)) = self.queue.pop_first() else { return false };
        self.now = self.now.max(delivered_at);
        self.deliver(delivery);
        true
    }

    fn tick(&mut self) {
        for instance in 0..self.engines.len() {
            if self.frozen.contains(&instance) {
                continue;
            }
            let Some(engine) = self.engines[instance].as_mut() else { continue };
            let effects = engine.on_tick(self.now);
            self.apply_effects(instance, effects);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::RunEnd { target, dispatch } => {
                let sends = self.targets[target].end_run(dispatch);
                self.send_from_target(target, sends);
            }
            Delivery::Datagram { from, to, bytes } => match to.port() {
                1000..=2999 => self.deliver_to_instance(from, to, bytes),
                4000..=4999 => self.deliver_to_target(from, to, &bytes),
                _ => {
                    let packet = decode_packet(&bytes).expect("instances send valid packets");
                    self.caller_inboxes.entry(to).or_default().push(packet);
                }
            },
        }
    }

    fn deliver_to_instance(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let instance = usize::from(to.port() % 1000);
        if self.frozen.contains(&instance) {
            // The datagram stays in the socket until the process resumes.
            let delivered_at = self.now.after_millis(5);
            return self.enqueue(delivered_at, Delivery::Datagram { from, to, bytes });
        }
        let Some(engine) = self.engines[instance].as_mut() else { return };
        let effects = match to.port() {
            1000..=1999 => engine.on_datagram(self.now, from, &bytes),
            _ => engine.on_peer_datagram(self.now, from, &bytes),
        };
        self.apply_effects(instance, effects);
    }

    fn deliver_to_target(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let target = usize::from(to.port() - 4000);
        let packet = decode_packet(bytes).expect("instances send valid packets");
        let sends = self.targets[target].handle_packet(from, packet);
        self.send_from_target(target, sends);
    }

    fn send_from_target(&mut self, target: usize, sends: targets::TargetSends) {
        let from = target_address(target);
        for (to, packet) in sends.packets {
            self.transmit(from, to, encode_packet(&packet));
        }
        if let Some(dispatch) = sends.started_dispatch {
            let work = self.rng.random_range(5..60);
            self.enqueue(self.now.after_millis(work), Delivery::RunEnd { target, dispatch });
        }
    }

    fn apply_effects(&mut self, instance: usize, effects: Vec<EngineEffect>) {
        for effect in effects {
            match effect {
                EngineEffect::SendData { to, bytes } => {
                    self.transmit(data_address(instance), to, bytes);
                }
                EngineEffect::SendPeer { to, bytes } => {
                    self.transmit(address(2000 + instance as u16), to, bytes);
                }
                EngineEffect::Audit(change) => self.audit_changes.push(change),
                EngineEffect::RecordWait { .. } => {}
            }
        }
    }

    fn transmit(&mut self, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let delay = 1 + self.rng.random_range(0..=self.faults.delay_ms);
            let delivered_at = self.now.after_millis(delay);
            self.enqueue(delivered_at, Delivery::Datagram { from, to, bytes: bytes.clone() });
        }
    }

    fn enqueue(&mut self, delivered_at: ClockTime, delivery: Delivery) {
        self.last_sequence += 1;
        self.queue.insert((delivered_at, self.last_sequence, delivery));
    }
}
