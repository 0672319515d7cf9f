//! A data centre without an available backend server forwards new work to another one.

mod common;

use std::sync::Arc;

use common::{
    CENTRE, TestNet, address,
    packets::{bid_packet, is_answered, refusals},
};
use foxledge_core::{
    names::{CentreName, InstanceName},
    peers::{CentreContact, PeerInfo, PeerState, PeerView},
};
use foxledge_engine::{EngineOptions, EnginePhase, FlowEngine};
use foxledge_wire::flow::{Packet, PacketKind, RunOutcome};

const OTHER_CENTRE: &str = "erie";

fn peer(index: usize, centre: &str) -> PeerInfo {
    PeerInfo {
        name: InstanceName::new(&format!("i{index}")),
        incarnation: 50 + index as u64,
        refutation: 0,
        state: PeerState::Alive,
        data_centre: CentreName::new(centre),
        data_address: common::data_address(index),
        peer_address: address(2000 + index as u16),
        control_address: address(3000 + index as u16),
    }
}

/// One instance in Toledo, two in Erie. The first auction backend server is in Toledo, the second
/// in Erie.
fn two_centres(seed: u64) -> TestNet {
    let mut net = TestNet::new(0, seed, EngineOptions::default());
    net.targets[1].spec.data_centre = CentreName::new(OTHER_CENTRE);
    let peers = [peer(0, CENTRE), peer(1, OTHER_CENTRE), peer(2, OTHER_CENTRE)];
    let list = Arc::new(net.current_list(1));
    for me in &peers {
        let mut engine = FlowEngine::new(EngineOptions::default(), me.clone(), seed);
        engine.apply_list(net.now, list.clone());
        let own = peers.iter().filter(|peer| peer.data_centre == me.data_centre).cloned();
        let others = peers.iter().filter(|peer| peer.data_centre != me.data_centre);
        let contacts = others.map(|peer| CentreContact {
            name: peer.name.clone(),
            data_centre: peer.data_centre.clone(),
            peer_address: peer.peer_address,
        });
        let view = PeerView {
            peers: own.collect(),
            reachable_centres: vec![CentreName::new(OTHER_CENTRE), CentreName::new(CENTRE)],
            contacts: contacts.collect(),
        };
        engine.apply_peer_view(net.now, Arc::new(view));
        engine.set_phase(net.now, EnginePhase::Serving);
        net.engines.push(Some(engine));
    }
    net
}

fn drain_toledo(net: &mut TestNet) {
    net.targets[0].spec.draining = true;
    let list = net.current_list(2);
    for instance in 0..3 {
        net.apply_list(instance, list.clone());
    }
}

/// The only backend server of a service in Toledo is published as draining, and callers send
/// requests there. Toledo would refuse every bid although backend servers in Erie are idle if its
/// home considered local backend servers only.
#[test]
fn forwards_new_work_when_last_local_target_drains() {
    let mut net = two_centres(1);
    drain_toledo(&mut net);
    for caller in 1..6 {
        let ticket = net.obtain_ticket(caller, 0, "auction").expect("Erie issues a ticket");
        net.send(caller, 0, &Packet { ticket, ..bid_packet(caller, caller, 1, "auction") });
        net.run_for(500);
        assert!(is_answered(&net.drain_answers(caller)));
    }
    assert_eq!(net.targets[1].runs.len(), 5);
    assert!(net.targets[0].runs.is_empty());
}

/// A ticket is issued in Toledo, its last backend server drains, and the bid arrives. The ticket
/// binds the bid to the home in Toledo: moved to Erie, it could run twice.
#[test]
fn refuses_bid_bound_to_drained_centre() {
    let mut net = two_centres(2);
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    drain_toledo(&mut net);
    net.send(1, 0, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(50);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
    assert!(net.targets.iter().all(|target| target.runs.is_empty()));
}

/// The last backend server in Toledo drains and Toledo is cut off from Erie. Callers would wait in
/// vain if new work were forwarded to an unreachable data centre again and again.
#[test]
fn refuses_when_other_centre_is_unreachable() {
    let mut net = two_centres(3);
    drain_toledo(&mut net);
    for instance in 1..3 {
        net.cut_links.insert((address(2000), address(2000 + instance)));
    }
    let request = Packet {
        kind: PacketKind::TicketRequest.into(),
        payload: vec![0; foxledge_wire::MIN_TICKET_PADDING_BYTES],
        ..bid_packet(1, 1, 0, "auction")
    };
    net.send(1, 0, &request);
    net.run_for(300);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
}

/// No backend server is available in any data centre. Without a limit on forwards, packets would
/// circle between the data centres.
#[test]
fn bounds_forwards_when_no_centre_can_serve() {
    let mut net = two_centres(4);
    net.targets[1].spec.draining = true;
    drain_toledo(&mut net);
    assert_eq!(net.obtain_ticket(1, 0, "auction"), None);
    let forwarded: u64 =
        net.engines.iter().flatten().map(|engine| engine.counters().forwarded).sum();
    // Each of the five requests is forwarded at most three times.
    assert!(forwarded <= 15, "{forwarded} forwards");
}
