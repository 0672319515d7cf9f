//! The fabric's contract between callers and instances: spraying, and each fault of its table.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, UdpSocket},
    ops::RangeInclusive,
    time::Duration,
};

use foxledge_fakes::{
    fabric::{
        faults::{FaultWays, PacketFaults, SilenceKey, SilenceSpec},
        orders::FabricOrder,
    },
    harness::{CentreFabric, make_directory, wait_until},
};
use foxledge_wire::{
    PROTOCOL_VERSION, encode_packet,
    flow::{Packet, PacketKind},
};

const WIDE_LIMIT: Duration = Duration::from_secs(20);
const PACKETS: u64 = 400;
/// Packets sent before the fabric's counts are waited for, so that no socket's buffer overflows.
const BATCH: u64 = 80;
const ALL: RangeInclusive<f64> = 1.0..=1.0;
const NONE: RangeInclusive<f64> = 0.0..=0.0;

struct FaultCase {
    name: &'static str,
    orders: Vec<FabricOrder>,
    /// Share of packets that reached any instance.
    arrived: RangeInclusive<f64>,
    /// Share of packets whose answer reached the caller.
    answered: RangeInclusive<f64>,
    /// Share of packets that two different instances got.
    doubled: RangeInclusive<f64>,
    /// Share of packets that the first instance got.
    first: RangeInclusive<f64>,
}

#[test]
fn faults_by_table() {
    let directory = make_directory().expect("directory");
    for case in cases(first_address()) {
        let mut bench = SprayBench::start(&directory);
        for order in &case.orders {
            bench.fabric.client.order(&resolved(order, &bench)).expect(case.name);
        }
        let outcome = bench.exchange(PACKETS, 0);
        let shares = [
            ("arrived", &case.arrived, outcome.arrived.len()),
            ("answered", &case.answered, outcome.answered.len()),
            ("doubled", &case.doubled, outcome.doubled()),
            ("first", &case.first, outcome.arrived_at(bench.instances[0])),
        ];
        for (what, range, count) in shares {
            let share = count as f64 / PACKETS as f64;
            assert!(range.contains(&share), "{}: {what} {share}, not {range:?}", case.name);
        }
    }
}

fn cases(first: SocketAddr) -> Vec<FaultCase> {
    let third = || 0.23..=0.43;
    let faults = |ways, faults| vec![FabricOrder::SetFaults { ways, faults }];
    let lossy = PacketFaults { loss: 0.25, ..PacketFaults::default() };
    let doubling = PacketFaults { duplicate: 0.5, ..PacketFaults::default() };
    let cut = |ways| vec![FabricOrder::Cut { instance: first, ways }];
    let silent = |ways| {
        let silence = SilenceSpec { share: 0.5, ways, key: SilenceKey::Flow };
        vec![FabricOrder::SetSilence { silence }]
    };
    let case = |name, orders, arrived, answered, doubled, first| FaultCase {
        name,
        orders,
        arrived,
        answered,
        doubled,
        first,
    };
    vec![
        case("no fault", vec![], ALL, ALL, NONE, third()),
        case(
            "loss towards instances",
            faults(FaultWays::Forward, lossy),
            0.65..=0.85,
            0.65..=0.85,
            NONE,
            0.17..=0.33,
        ),
        case(
            "loss towards callers",
            faults(FaultWays::Back, lossy),
            ALL,
            0.65..=0.85,
            NONE,
            third(),
        ),
        case(
            "copies to two instances",
            faults(FaultWays::Forward, doubling),
            ALL,
            ALL,
            0.4..=0.6,
            0.4..=0.6,
        ),
        case("one instance cut", cut(FaultWays::Both), 0.57..=0.77, 0.57..=0.77, NONE, NONE),
        case(
            "one instance hears nothing",
            cut(FaultWays::Forward),
            0.57..=0.77,
            0.57..=0.77,
            NONE,
            NONE,
        ),
        case("one instance isn't heard", cut(FaultWays::Back), ALL, 0.57..=0.77, NONE, third()),
        case(
            "a cut that has ended",
            [cut(FaultWays::Both), vec![FabricOrder::Heal { instance: first }]].concat(),
            ALL,
            ALL,
            NONE,
            third(),
        ),
        case("silent flows", silent(FaultWays::Both), 0.4..=0.6, 0.4..=0.6, NONE, 0.1..=0.27),
        case("flows silent one way", silent(FaultWays::Back), ALL, 0.4..=0.6, NONE, third()),
        case(
            "everything cleared",
            [
                faults(FaultWays::Both, lossy),
                cut(FaultWays::Both),
                silent(FaultWays::Both),
                vec![FabricOrder::Clear],
            ]
            .concat(),
            ALL,
            ALL,
            NONE,
            third(),
        ),
    ]
}

#[test]
fn delays_hold_and_reordering_overtakes() {
    let mut bench = SprayBench::start(&make_directory().expect("directory"));
    let reordering = PacketFaults {
        delay_min_ms: 20,
        delay_max_ms: 20,
        reorder: 0.3,
        reorder_ms: 60,
        ..PacketFaults::default()
    };
    bench.fabric.client.set_faults(FaultWays::Forward, reordering).expect("faults");
    let began = std::time::Instant::now();
    let outcome = bench.exchange(BATCH, 0);
    assert!(began.elapsed() >= Duration::from_millis(80), "it took {:?}", began.elapsed());
    assert_eq!(outcome.answered.len() as u64, BATCH);
    let overtaken = outcome.order.windows(2).filter(|pair| pair[0] > pair[1]).count();
    assert!(overtaken > 0, "{:?}", outcome.order);
}

#[test]
fn one_seed_gives_the_same_losses() {
    let directory = make_directory().expect("directory");
    let lost = || {
        let mut bench = SprayBench::start(&directory);
        let lossy = PacketFaults { loss: 0.5, ..PacketFaults::default() };
        bench.fabric.client.set_faults(FaultWays::Forward, lossy).expect("faults");
        bench.exchange(PACKETS, 0).arrived.into_keys().collect::<Vec<u64>>()
    };
    assert_eq!(lost(), lost());
}

#[test]
fn instances_can_be_exchanged() {
    let mut bench = SprayBench::start(&make_directory().expect("directory"));
    bench.fabric.client.set_instances(vec![bench.instances[2]]).expect("instances");
    let outcome = bench.exchange(BATCH, 0);
    assert_eq!(outcome.arrived_at(bench.instances[2]) as u64, BATCH);
    bench.fabric.client.set_instances(bench.instances[..2].to_vec()).expect("instances");
    let outcome = bench.exchange(BATCH, BATCH);
    assert_eq!(outcome.arrived_at(bench.instances[2]), 0);
    assert_eq!(outcome.answered.len() as u64, BATCH);
}

// Symptom: open connections are silent for good while new ones work.
// Sequence: a caller's socket is in use; the device between the ends loses its table; the socket
// gets nothing any more, and a new socket of the same caller does.
// Cause: what is lost is the entry of one socket, not a flow or an instance.
#[test]
fn open_sockets_go_silent_and_new_ones_work() {
    let mut bench = SprayBench::start(&make_directory().expect("directory"));
    assert_eq!(bench.exchange(BATCH, 0).answered.len() as u64, BATCH);
    let silence = SilenceSpec { share: 1.0, ways: FaultWays::Both, key: SilenceKey::OpenSocket };
    bench.fabric.client.set_silence(silence).expect("silence");
    assert_eq!(bench.exchange(BATCH, 0).answered.len(), 0);
    bench.caller = bound_socket();
    assert_eq!(bench.exchange(BATCH, 0).answered.len() as u64, BATCH);
}

/// `SprayBench` is a fabric, three instances that echo, and a caller.
struct SprayBench {
    fabric: CentreFabric,
    instances: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    caller: UdpSocket,
    totals: ExchangeTotals,
}

/// `ExchangeTotals` is what was moved since the start, to set against the fabric's counts.
#[derive(Clone, Copy, Default)]
struct ExchangeTotals {
    sent: u64,
    echoed: u64,
    answered: u64,
}

/// `ExchangeOutcome` is what became of the packets of one exchange.
#[derive(Default)]
struct ExchangeOutcome {
    /// By flow, the instances that got it.
    arrived: BTreeMap<u64, BTreeSet<SocketAddr>>,
    answered: BTreeSet<u64>,
    order: Vec<u64>,
}

impl ExchangeOutcome {
    fn doubled(&self) -> usize {
        self.arrived.values().filter(|instances| instances.len() == 2).count()
    }

    fn arrived_at(&self, instance: SocketAddr) -> usize {
        self.arrived.values().filter(|instances| instances.contains(&instance)).count()
    }
}

impl SprayBench {
    fn start(directory: &std::path::Path) -> SprayBench {
        let fabric = CentreFabric::start("toledo", 7, &[], directory).expect("fabric");
        let sockets: Vec<_> = (0..3).map(|_| bound_socket()).collect();
        let instances: Vec<_> = sockets.iter().map(address_of).collect();
        fabric.client.set_instances(instances.clone()).expect("instances");
        let totals = ExchangeTotals::default();
        SprayBench { fabric, instances, sockets, caller: bound_socket(), totals }
    }

    /// Sends packets of `count` flows from `first_flow` on; every instance echoes what it gets.
    fn exchange(&mut self, count: u64, first_flow: u64) -> ExchangeOutcome {
        let mut outcome = ExchangeOutcome::default();
        for flow in first_flow..first_flow + count {
            self.caller.send_to(&packet_of(flow), self.fabric.address).expect("sent");
            self.totals.sent += 1;
            let is_last = flow + 1 == first_flow + count;
            if is_last || (flow + 1) % BATCH == 0 {
                self.settle(&mut outcome);
            }
        }
        outcome
    }

    /// Moves packets until nothing is left between any two ends.
    fn settle(&mut self, outcome: &mut ExchangeOutcome) {
        wait_until("the exchange settles", WIDE_LIMIT, || {
            self.echo_all(outcome);
            self.take_answers(outcome);
            let packets = self.fabric.client.report().expect("report").packets;
            packets.forward.arrived == self.totals.sent
                && packets.forward.sent == self.totals.echoed
                && packets.back.arrived == self.totals.echoed
                && packets.back.sent == self.totals.answered
        })
        .expect("settled");
    }

    fn echo_all(&mut self, outcome: &mut ExchangeOutcome) {
        for (socket, instance) in self.sockets.iter().zip(&self.instances) {
            while let Some((bytes, from)) = receive(socket) {
                let flow = flow_of(&bytes);
                outcome.arrived.entry(flow).or_default().insert(*instance);
                outcome.order.push(flow);
                socket.send_to(&bytes, from).expect("echo");
                self.totals.echoed += 1;
            }
        }
    }

    fn take_answers(&mut self, outcome: &mut ExchangeOutcome) {
        while let Some((bytes, from)) = receive(&self.caller) {
            assert_eq!(from, self.fabric.address, "answers come from the fabric");
            outcome.answered.insert(flow_of(&bytes));
            self.totals.answered += 1;
        }
    }
}

/// Stands for the first instance in the table, whose address isn't known yet.
fn first_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn resolved(order: &FabricOrder, bench: &SprayBench) -> FabricOrder {
    let instance = bench.instances[0];
    match order {
        FabricOrder::Cut { ways, .. } => FabricOrder::Cut { instance, ways: *ways },
        FabricOrder::Heal { .. } => FabricOrder::Heal { instance },
        order => order.clone(),
    }
}

fn bound_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("socket");
    socket.set_nonblocking(true).expect("nonblocking");
    socket
}

fn address_of(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("address")
}

fn receive(socket: &UdpSocket) -> Option<(Vec<u8>, SocketAddr)> {
    let mut buffer = [0; 2048];
    let (length, from) = socket.recv_from(&mut buffer).ok()?;
    Some((buffer[..length].to_vec(), from))
}

fn packet_of(flow: u64) -> Vec<u8> {
    let kind = PacketKind::Poll.into();
    encode_packet(&Packet { version: PROTOCOL_VERSION, kind, flow, ..Packet::default() })
}

fn flow_of(bytes: &[u8]) -> u64 {
    foxledge_wire::decode_packet(bytes).expect("packet").flow
}
