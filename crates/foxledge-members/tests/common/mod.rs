//! A fleet of memberships in virtual time, with message loss, partitions, kills and freezes.
#![allow(dead_code)]

mod calls;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use foxledge_core::{
    audit::AuditChange,
    lists::ListVersion,
    names::{CentreName, InstanceName},
    peers::{PeerInfo, PeerState, PeerView},
    time::ClockTime,
};
use foxledge_members::{MemberEffect, MemberOptions, Membership};
use rand::{Rng, SeedableRng, rngs::StdRng};

use calls::{FleetCall, FleetEvent};

const TICK_US: u64 = 50_000;

/// One simulated process.
pub struct FleetNode {
    pub member: Membership,
    pub info: PeerInfo,
    pub is_up: bool,
    pub frozen_until: u64,
    pub audits: Vec<AuditChange>,
    pub versions: Vec<(SocketAddr, ListVersion)>,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub max_update_records: usize,
    pub processor_time: Duration,
}

/// The simulated processes and the network between them.
pub struct Fleet {
    pub now: u64,
    pub nodes: Vec<FleetNode>,
    pub loss_rate: f64,
    cuts: HashSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, FleetEvent>,
    calls: HashMap<u64, FleetCall>,
    node_at: HashMap<SocketAddr, usize>,
    centres: HashMap<InstanceName, CentreName>,
    next_id: u64,
    rng: StdRng,
}

/// Returns the address of a node's socket of the given kind.
pub fn address(kind: u8, index: usize) -> SocketAddr {
    SocketAddr::from(([10, kind, (index / 250) as u8, (index % 250) as u8], 4000))
}

/// Returns a node's control address.
pub fn control(index: usize) -> SocketAddr {
    address(3, index)
}

impl Fleet {
    /// Creates a fleet without nodes.
    pub fn new(seed: u64) -> Fleet {
        Fleet {
            now: 1_000_000,
            nodes: Vec::new(),
            loss_rate: 0.0,
            cuts: HashSet::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            calls: HashMap::new(),
            node_at: HashMap::new(),
            centres: HashMap::new(),
            next_id: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts `count` instances of one data centre, seeded with the first two.
    pub fn with_members(seed: u64, count: usize) -> Fleet {
        let mut fleet = Fleet::new(seed);
        for index in 0..count {
            fleet.start(&format!("i{index:03}"), 1, "toledo", vec![control(0), control(1)]);
        }
        fleet
    }

    /// Starts an instance at its own address, in the state alive.
    pub fn start(
        &mut self,
        name: &str,
        incarnation: u64,
        centre: &str,
        seeds: Vec<SocketAddr>,
    ) -> usize {
        self.start_with(name, incarnation, centre, MemberOptions::default().seeds(seeds))
    }

    /// Starts an instance with the given options.
    pub fn start_with(
        &mut self,
        name: &str,
        incarnation: u64,
        centre: &str,
        options: MemberOptions,
    ) -> usize {
        let index = self.nodes.len();
        let info = PeerInfo {
            name: InstanceName::new(name),
            incarnation,
            refutation: 0,
            state: PeerState::Joining,
            data_centre: CentreName::new(centre),
            data_address: address(1, index),
            peer_address: address(2, index),
            control_address: control(index),
        };
        let seed = self.rng.random();
        let mut member =
            Membership::new(options, info.clone(), seed, ClockTime::from_micros(self.now));
        member.set_state(ClockTime::from_micros(self.now), PeerState::Alive);
        self.nodes.push(FleetNode {
            member,
            info,
            is_up: true,
            frozen_until: 0,
            audits: Vec::new(),
            versions: Vec::new(),
            sent_bytes: 0,
            sent_messages: 0,
            max_update_records: 0,
            processor_time: Duration::ZERO,
        });
        self.node_at.insert(control(index), index);
        self.centres.insert(InstanceName::new(name), CentreName::new(centre));
        let phase = self.rng.random_range(0..TICK_US);
        self.push(phase, FleetEvent::Tick { node: index });
        index
    }

    /// Kills a node without notice to the others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Freezes a node for a while. Calls to it are delayed until it resumes.
    pub fn freeze(&mut self, node: usize, span: Duration) {
        self.nodes[node].frozen_until = self.now + span.as_micros() as u64;
    }

    /// Cuts the links from one group to another, in this direction only.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        self.cuts.extend(from.iter().flat_map(|a| to.iter().map(|b| (*a, *b))));
    }

    /// Cuts the links between two groups in both directions.
    pub fn split(&mut self, one: &[usize], other: &[usize]) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Restores all links and ends the message loss.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss_rate = 0.0;
    }

    /// Returns a node's view.
    pub fn view(&self, node: usize) -> Arc<PeerView> {
        self.nodes[node].member.view()
    }

    /// Calls a node's membership and applies the resulting effects.
    pub fn call(
        &mut self,
        node: usize,
        action: impl FnOnce(&mut Membership, ClockTime) -> Vec<MemberEffect>,
    ) {
        let now = ClockTime::from_micros(self.now);
        let start = Instant::now();
        let effects = action(&mut self.nodes[node].member, now);
        self.nodes[node].processor_time += start.elapsed();
        self.apply_effects(node, effects);
    }

    /// Runs for a time span.
    pub fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    /// Runs until the condition is true, which is checked every 50 ms. Returns whether it became
    /// true within `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now + limit.as_micros() as u64;
        let mut next_check = self.now;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            if at >= next_check {
                self.now = self.now.max(next_check);
                if condition(self) {
                    return true;
                }
                next_check += TICK_US;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
        condition(self)
    }

    /// Returns true if every running node's view contains exactly the running nodes of its data
    /// centre, all of them alive.
    pub fn agrees(&self) -> bool {
        let mut expected: Vec<_> =
            self.running().map(|(_, node)| (&node.info.name, node.info.incarnation)).collect();
        expected.sort();
        self.running().all(|(index, node)| {
            let centre = &node.info.data_centre;
            let is_same_centre = |name: &InstanceName| self.centre_of(name) == Some(centre);
            let centre_nodes = expected.iter().filter(|(name, _)| is_same_centre(name)).copied();
            let view = self.view(index);
            let is_alive = view.peers.iter().all(|peer| peer.state == PeerState::Alive);
            is_alive
                && view.peers.iter().map(|peer| (&peer.name, peer.incarnation)).eq(centre_nodes)
        })
    }

    fn centre_of(&self, name: &InstanceName) -> Option<&CentreName> {
        self.centres.get(name)
    }

    /// Returns the running nodes with their indexes.
    pub fn running(&self) -> impl Iterator<Item = (usize, &FleetNode)> + Clone {
        self.nodes.iter().enumerate().filter(|(_, node)| node.is_up)
    }

    /// Returns the state of `peer` in the view of `observer`.
    pub fn peer_state(&self, observer: usize, peer: usize) -> Option<PeerState> {
        self.view(observer).find(&self.nodes[peer].info.name).map(|peer| peer.state)
    }
}
