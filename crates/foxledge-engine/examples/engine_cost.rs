//! Prints the engine's costs as JSON lines: `cargo run --release -p foxledge-engine --example
//! engine_cost`.
//!
//! Each cost is measured at three sizes or more where it depends on the size. Processor time is the
//! wall time of a single thread without other work; memory is the growth of the resident set.

#[path = "../tests/common/mod.rs"]
mod common;

use std::{fs, sync::Arc, time::Instant};

use common::{
    address, caller_address, data_address,
    lists::{target_spec, test_list},
    packets::bid_packet,
};
use foxledge_core::{
    lists::{
        FlowMatch, FlowRule, FlowTreatment, RuleList, ServeTreatment, ServiceSpec, TargetSpec,
    },
    names::{CentreName, InstanceName, RuleName, ServiceAddress, ServiceName},
    peers::{PeerInfo, PeerState, PeerView},
    time::ClockTime,
};
use foxledge_engine::{EngineEffect, EngineOptions, EnginePhase, FlowEngine};
use foxledge_wire::{
    decode_packet, encode_packet,
    flow::{LoadReport, Packet, PacketKind, WorkKind},
};

const SEED: u64 = 20_261_202;
const CENTRES: [&str; 8] = ["toledo", "erie", "duluth", "kenosha", "c5", "c6", "c7", "c8"];
const PAGE_BYTES: u64 = 4096;

fn main() {
    message_sizes();
    packet_costs();
    for flows in [1_000, 10_000, 100_000, 300_000] {
        flow_memory(flows);
    }
    for targets in [100, 1_000, 10_000, 38_000] {
        list_costs(targets);
    }
    for peers in [8, 64, 437] {
        view_costs(peers);
    }
}

/// Prints the sizes of the engine's messages in bytes, without IP and UDP headers.
fn message_sizes() {
    let list = test_list(1, &[unlimited_target(0)], &[]);
    let mut engine = single_engine(&list);
    let now = ClockTime::from_micros(5_000_000);
    let probes = engine.on_tick(now);
    let probe = first_packet(&probes);
    print_size("probe", encode_packet(&probe).len());
    let reply = answer(&probe, PacketKind::ProbeReply);
    print_size("probe reply", encode_packet(&reply).len());

    // An entry instance that forwards to a home, which acknowledges.
    let view = Arc::new(large_view(2));
    let me = peer(0);
    let names: Vec<_> =
        view.ranked_homes("auction-desk#0").iter().map(|peer| peer.name.clone()).collect();
    let entry_name = names[1].clone();
    let mut entry = FlowEngine::new(
        EngineOptions::default(),
        PeerInfo { name: entry_name, ..me.clone() },
        SEED,
    );
    entry.apply_list(now, Arc::new(list.clone()));
    entry.apply_peer_view(now, view.clone());
    let bytes = encode_packet(&ticket_request(1));
    let forwarded = entry.on_datagram(now, caller_address(1), &bytes);
    print_size("ticket request", bytes.len());
    let forward = peer_bytes(&forwarded);
    print_size("ticket request forwarded", forward.len());
    let mut home =
        FlowEngine::new(EngineOptions::default(), PeerInfo { name: names[0].clone(), ..me }, SEED);
    home.apply_list(now, Arc::new(list));
    home.apply_peer_view(now, view);
    home.set_phase(now, EnginePhase::Serving);
    let effects = home.on_peer_datagram(now, address(2001), &forward);
    print_size("acknowledgement of a forwarding", peer_bytes(&effects).len());
    let grant = first_packet(&effects);
    print_size("ticket grant", encode_packet(&grant).len());
    let bid = Packet { ticket: grant.ticket, ..bid_packet(1, 1, 1, "auction") };
    print_size("bid of 3 bytes by ticket", encode_packet(&bid).len());
    let forwarded = entry.on_datagram(now, caller_address(1), &encode_packet(&bid));
    print_size("bid forwarded", peer_bytes(&forwarded).len());
}

fn peer_bytes(effects: &[EngineEffect]) -> Vec<u8> {
    effects
        .iter()
        .find_map(|effect| match effect {
            EngineEffect::SendPeer { bytes, .. } => Some(bytes.clone()),
            _ => None,
        })
        .expect("a datagram to a peer was sent")
}

fn print_size(what: &str, bytes: usize) {
    println!("{{\"what\":\"{what}\",\"bytes\":{bytes}}}");
}

/// Prints the processor time per packet for each path through the engine.
fn packet_costs() {
    const ROUNDS: u64 = 50_000;
    let mut engine = single_engine(&test_list(1, &[unlimited_target(0)], &[]));
    let now = ClockTime::from_micros(1_000_000);

    let grant = encode_packet(&ticket_request(1));
    let started = Instant::now();
    for _ in 0..ROUNDS {
        engine.on_datagram(now, caller_address(1), &grant);
    }
    print_time("ticket issued", started, ROUNDS);

    let ticket = first_packet(&engine.on_datagram(now, caller_address(1), &grant)).ticket;
    let started = Instant::now();
    for flow in 0..ROUNDS {
        // Each ticket admits 64 requests.
        let request =
            if flow % 64 == 0 { fresh_ticket(&mut engine, now, &grant) } else { ticket.clone() };
        serve_once(&mut engine, now, flow, request);
    }
    print_time("request admitted, dispatched, acknowledged, answered, done", started, ROUNDS);

    let feed = open_feed(&mut engine, now, 1_000_000);
    let poll = encode_packet(&Packet {
        kind: PacketKind::Poll.into(),
        token: feed.token.clone(),
        parts: 0,
        payload: Vec::new(),
        ..feed_packet(1_000_000)
    });
    let started = Instant::now();
    let mut relayed = Vec::new();
    for _ in 0..ROUNDS {
        relayed = engine.on_datagram(now, caller_address(1), &poll);
    }
    print_time("packet sent on by flow token", started, ROUNDS);

    let item = encode_packet(&Packet {
        kind: PacketKind::FeedItem.into(),
        payload: vec![0; 200],
        ..first_packet(&relayed)
    });
    let started = Instant::now();
    for _ in 0..ROUNDS {
        engine.on_datagram(now, address(4000), &item);
    }
    print_time("answer relayed to its caller", started, ROUNDS);
}

/// Prints the resident bytes per open feed at its home.
fn flow_memory(flows: u64) {
    let mut engine = single_engine(&test_list(1, &[unlimited_target(0)], &[]));
    let now = ClockTime::from_micros(1_000_000);
    let before = resident_bytes();
    let started = Instant::now();
    for flow in 0..flows {
        open_feed(&mut engine, now, flow);
    }
    let spent = started.elapsed();
    // Lets the ledger entries expire; the feeds stay open.
    engine.on_tick(now.after_millis(120_000));
    let open = engine.status(now).open_works;
    println!(
        "{{\"what\":\"open feed at its home\",\"flows\":{flows},\"open\":{open},\"bytes_per_flow\":{},\"micros_per_open\":{:.2}}}",
        resident_bytes().saturating_sub(before) / flows,
        spent.as_secs_f64() * 1e6 / flows as f64,
    );
}

/// Prints the processor time and memory for applying a list with that many backend servers.
fn list_costs(targets: usize) {
    let first = Arc::new(large_list(1, targets));
    let second = Arc::new(large_list(2, targets));
    let mut engine = single_engine(&RuleList::default());
    engine.apply_peer_view(ClockTime::ZERO, Arc::new(large_view(437)));
    let before = resident_bytes();
    engine.apply_list(ClockTime::ZERO, first);
    let grown = resident_bytes().saturating_sub(before);
    let started = Instant::now();
    engine.apply_list(ClockTime::ZERO, second);
    println!(
        "{{\"what\":\"list taken into force\",\"targets\":{targets},\"peers\":437,\"millis\":{:.2},\"engine_bytes\":{grown}}}",
        started.elapsed().as_secs_f64() * 1e3,
    );
}

/// Prints the processor time for applying a peer view, with the services of the design target.
fn view_costs(peers: usize) {
    let mut engine = single_engine(&large_list(1, 38_000));
    engine.apply_peer_view(ClockTime::ZERO, Arc::new(large_view(peers)));
    let view = Arc::new(large_view(peers - 1));
    let started = Instant::now();
    engine.apply_peer_view(ClockTime::ZERO, view);
    let desks = engine.status(ClockTime::ZERO).schedulers.len();
    println!(
        "{{\"what\":\"view taken into force\",\"peers\":{peers},\"services\":5800,\"millis\":{:.2},\"desks\":{desks}}}",
        started.elapsed().as_secs_f64() * 1e3,
    );
}

fn print_time(what: &str, started: Instant, rounds: u64) {
    let micros = started.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    println!("{{\"what\":\"{what}\",\"micros\":{micros:.2},\"seed\":{SEED}}}");
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn single_engine(list: &RuleList) -> FlowEngine {
    let me = peer(0);
    let mut engine =
        FlowEngine::new(EngineOptions::default().max_ledger_requests(1_000_000), me.clone(), SEED);
    let view = PeerView { peers: vec![me], ..PeerView::default() };
    engine.apply_list(ClockTime::ZERO, Arc::new(list.clone()));
    engine.apply_peer_view(ClockTime::ZERO, Arc::new(view));
    engine.set_phase(ClockTime::ZERO, EnginePhase::Serving);
    engine
}

fn peer(index: usize) -> PeerInfo {
    PeerInfo {
        name: InstanceName::new(&format!("i{index}")),
        incarnation: 1,
        refutation: 0,
        state: PeerState::Alive,
        data_centre: CentreName::new(common::CENTRE),
        data_address: data_address(0),
        peer_address: address(2000),
        control_address: address(3000),
    }
}

fn large_view(peers: usize) -> PeerView {
    PeerView { peers: (0..peers).map(peer).collect(), ..PeerView::default() }
}

fn unlimited_target(index: usize) -> TargetSpec {
    TargetSpec { slots: 1_000_000, connections: 1_000_000, ..target_spec(index, 1) }
}

/// Returns a list in the proportions of the design target: about 6.5 backend servers per address,
/// in 8 data centres.
fn large_list(revision: u64, targets: usize) -> RuleList {
    let mut list = test_list(revision, &[], &[]);
    let services = (targets * 5_800).div_ceil(38_000);
    for service in 0..services {
        let name = ServiceName::new(&format!("service-{service}"));
        let service_address = ServiceAddress::new(&format!("address-{service}"));
        let specs = (service..targets).step_by(services).map(|index| TargetSpec {
            name: format!("t{index}").as_str().into(),
            address: std::net::SocketAddr::from((
                [10, (index >> 16) as u8, (index >> 8) as u8, index as u8],
                9000,
            )),
            incarnation: 1,
            data_centre: CentreName::new(CENTRES[index % 8]),
            slots: 2,
            connections: 2000,
            draining: revision == 2 && index == 0,
        });
        let spec = ServiceSpec {
            name: name.clone(),
            addresses: vec![service_address.clone()],
            queue_limit: 400,
            shards: 1,
            targets: specs.collect(),
        };
        list.services.insert(name.clone(), Arc::new(spec));
        list.rules.push(FlowRule {
            name: RuleName::new(&format!("rule-{service}")),
            when: FlowMatch { addresses: vec![service_address], ..FlowMatch::default() },
            then: FlowTreatment::Serve(ServeTreatment {
                service: name,
                priority: foxledge_core::lists::PaidPriority(1),
                weight: 1,
                member_limit: 0,
                when_full: foxledge_core::lists::FullAction::Queue,
            }),
        });
    }
    list
}

fn ticket_request(caller: u64) -> Packet {
    Packet {
        kind: PacketKind::TicketRequest.into(),
        payload: vec![0; foxledge_wire::MIN_TICKET_PADDING_BYTES],
        ..bid_packet(caller, 1, 0, "auction")
    }
}

fn fresh_ticket(engine: &mut FlowEngine, now: ClockTime, grant: &[u8]) -> Vec<u8> {
    first_packet(&engine.on_datagram(now, caller_address(1), grant)).ticket
}

fn first_packet(effects: &[EngineEffect]) -> Packet {
    effects
        .iter()
        .find_map(|effect| match effect {
            EngineEffect::SendData { bytes, .. } => decode_packet(bytes).ok(),
            _ => None,
        })
        .expect("a datagram was sent")
}

/// Processes one request and three responses of its backend server.
fn serve_once(engine: &mut FlowEngine, now: ClockTime, flow: u64, ticket: Vec<u8>) {
    let bid = Packet { ticket, ..bid_packet(1, flow, 1, "auction") };
    let effects = engine.on_datagram(now, caller_address(1), &encode_packet(&bid));
    let dispatched = first_packet(&effects);
    for kind in [PacketKind::Ack, PacketKind::Answer, PacketKind::Done] {
        engine.on_datagram(now, address(4000), &encode_packet(&answer(&dispatched, kind)));
    }
}

fn feed_packet(flow: u64) -> Packet {
    Packet { work: WorkKind::Feed.into(), idempotent: true, ..bid_packet(1, flow, 1, "auction") }
}

fn open_feed(engine: &mut FlowEngine, now: ClockTime, flow: u64) -> Packet {
    let bytes = encode_packet(&feed_packet(flow));
    let dispatched = first_packet(&engine.on_datagram(now, caller_address(1), &bytes));
    let ack = encode_packet(&answer(&dispatched, PacketKind::Ack));
    first_packet(&engine.on_datagram(now, address(4000), &ack))
}

fn answer(dispatched: &Packet, kind: PacketKind) -> Packet {
    Packet {
        version: dispatched.version,
        kind: kind.into(),
        flow: dispatched.flow,
        request: dispatched.request,
        dispatch: dispatched.dispatch,
        address: dispatched.address.clone(),
        service: dispatched.service.clone(),
        return_path: dispatched.return_path.clone(),
        parts: 1,
        load: Some(LoadReport { healthy: true, ..LoadReport::default() }),
        ..Packet::default()
    }
}
