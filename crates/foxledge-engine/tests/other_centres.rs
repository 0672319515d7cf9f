//! A data centre without a target that serves sends new work elsewhere.

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

/// One instance in Toledo, two in Erie; the first auction target is Toledo's, the second Erie's.
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

#[test]
fn last_target_drains() {
    // Symptom: a data centre refuses every bid while targets stand idle elsewhere.
    // Sequence: the only target of a service in Toledo is published as draining; callers ask there.
    // Cause: a home knows the targets of its own data centre only.
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

#[test]
fn old_ticket() {
    // Symptom: a bid hangs, or runs in two data centres.
    // Sequence: a ticket is issued in Toledo; its last target drains; the bid arrives.
    // Cause: the bid is moved, though its ticket binds it to Toledo's home.
    let mut net = two_centres(2);
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    drain_toledo(&mut net);
    net.send(1, 0, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(50);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
    assert!(net.targets.iter().all(|target| target.runs.is_empty()));
}

#[test]
fn cut_off() {
    // Symptom: callers of a data centre that is cut off wait in vain.
    // Sequence: Toledo's last target drains, and Toledo is cut from Erie.
    // Cause: new work is sent to a data centre that can't be reached, for ever.
    let mut net = two_centres(3);
    drain_toledo(&mut net);
    for instance in 1..3 {
        net.cut_links.insert((address(2000), address(2000 + instance)));
    }
    let request = Packet {
        kind: PacketKind::TicketRequest.into(),
        payload: vec![0; foxledge_wire::TICKET_PADDING],
        ..bid_packet(1, 1, 0, "auction")
    };
    net.send(1, 0, &request);
    net.run_for(300);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
}

#[test]
fn nobody_serves() {
    // Symptom: packets circle between data centres.
    // Sequence: no target serves anywhere; each data centre hopes for the other.
    // Cause: forwarding between data centres isn't bounded.
    let mut net = two_centres(4);
    net.targets[1].spec.draining = true;
    drain_toledo(&mut net);
    assert_eq!(net.obtain_ticket(1, 0, "auction"), None);
    let forwarded: u64 =
        net.engines.iter().flatten().map(|engine| engine.counters().forwarded).sum();
    // Five requests, each sent on at most as often as a packet may be forwarded.
    assert!(forwarded <= 15, "{forwarded} forwards");
}
