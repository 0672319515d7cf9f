//! A flow token continues a flow on any instance and nowhere else.

mod common;

use std::sync::Arc;

use common::{TestNet, lists::target_spec, packets::bid_packet};
use foxledge_core::lists::KeySpec;
use foxledge_engine::{EngineOptions, TrialSwitches};
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason, WorkKind};

fn open_feed(net: &mut TestNet, caller: u64) -> Packet {
    let feed = Packet {
        work: WorkKind::Feed.into(),
        idempotent: true,
        ..bid_packet(caller, 9, 1, "auction")
    };
    net.send(caller, 0, &feed);
    net.run_for(300);
    let ack = net.drain_answers(caller).into_iter().find(|a| a.kind() == PacketKind::Ack);
    let token = ack.expect("the feed was opened").token;
    Packet { kind: PacketKind::Poll.into(), token, parts: 0, payload: Vec::new(), ..feed }
}

fn poll_kinds(net: &mut TestNet, instance: usize, poll: &Packet) -> Vec<PacketKind> {
    net.send(poll.caller, instance, poll);
    net.run_for(100);
    net.drain_answers(poll.caller).iter().map(Packet::kind).collect()
}

#[test]
fn any_instance() {
    // Symptom: a price feed breaks when instances are replaced.
    // Sequence: every instance that knew the feed is replaced; the next heartbeat reaches a new one.
    // Cause: the flow table died with its instance.
    let mut net = TestNet::new(3, 1, EngineOptions::default());
    let poll = open_feed(&mut net, 1);
    for instance in 0..3 {
        net.kill(instance);
        net.start_instance(instance);
    }
    net.distribute_full_view();
    for instance in 0..3 {
        assert_eq!(poll_kinds(&mut net, instance, &poll), [PacketKind::FeedItem]);
    }
}

#[test]
fn reused_address() {
    // Symptom: a bidder's packet reaches another service.
    // Sequence: a feed runs on a target; the target goes, lot intake gets its address;
    //   the feed's heartbeat arrives.
    // Cause: the token names an address whose owner has changed.
    let cases = [(false, 1, RefusalReason::TargetLost), (true, 0, RefusalReason::WrongTarget)];
    for (check_target_owner, strangers, reason) in cases {
        let switches = TrialSwitches { check_target_owner, ..TrialSwitches::default() };
        let mut net = TestNet::new(1, 2, EngineOptions::default().trial(switches));
        let poll = open_feed(&mut net, 1);
        let serving_target = net.targets.iter().position(|t| !t.runs.is_empty()).unwrap();
        let mut list = net.current_list(2);
        let reassigned = target_spec(serving_target, 2);
        let auction = Arc::make_mut(list.services.get_mut("auction-desk").unwrap());
        auction.targets.retain(|target| target.address != reassigned.address);
        let intake = Arc::make_mut(list.services.get_mut("lot-intake").unwrap());
        intake.targets.push(reassigned.clone());
        net.targets[serving_target].service = "lot-intake".to_owned();
        net.targets[serving_target].spec = reassigned;
        net.apply_list(0, list);
        net.send(1, 0, &poll);
        net.run_for(100);
        let reasons: Vec<_> =
            net.drain_answers(1).iter().filter_map(|a| Some(a.refusal?.reason())).collect();
        assert_eq!(reasons, [reason]);
        assert_eq!(net.targets[serving_target].misdirected_packets, strangers);
    }
}

#[test]
fn rotated_keys() {
    // Symptom: a long feed breaks at the second rotation of keys.
    // Sequence: keys 1+2, then 2+3 are published while the feed runs.
    // Cause: its token stays sealed under key 1.
    let mut net = TestNet::new(1, 3, EngineOptions::default());
    let mut poll = open_feed(&mut net, 1);
    let key =
        |id: u8| KeySpec { id: u32::from(id), secret: vec![if id == 1 { 7 } else { id }; 32] };
    for (revision, keys) in [(2, [key(1), key(2)]), (3, [key(2), key(3)])] {
        let mut list = net.current_list(revision);
        list.keys = keys.to_vec();
        net.apply_list(0, list);
        net.send(1, 0, &poll);
        net.run_for(100);
        let answer = net.drain_answers(1).into_iter().next().unwrap();
        assert_eq!(answer.kind(), PacketKind::FeedItem, "after revision {revision}");
        poll.token = answer.token;
    }
}

#[test]
fn other_flow() {
    let mut net = TestNet::new(1, 4, EngineOptions::default());
    let poll = open_feed(&mut net, 1);
    for mismatched in [
        Packet { flow: 77, ..poll.clone() },
        Packet { caller: 2, ..poll.clone() },
        Packet { address: "intake".into(), ..poll.clone() },
    ] {
        assert_eq!(poll_kinds(&mut net, 0, &mismatched), [PacketKind::Refusal]);
    }
}

#[test]
fn draining_target() {
    // Symptom: a leaving backend server gets new work; or its feed is cut.
    // Sequence: a feed runs; its target is published as draining; new feeds open.
    // Cause: the token is taken for new work, or draining for gone.
    let mut net = TestNet::new(1, 5, EngineOptions::default());
    let poll = open_feed(&mut net, 1);
    let serving_target = net.targets.iter().position(|t| !t.runs.is_empty()).unwrap();
    net.targets[serving_target].spec.draining = true;
    let list = net.current_list(2);
    net.apply_list(0, list);
    for caller in 2..8 {
        open_feed(&mut net, caller);
    }
    assert_eq!(net.targets[serving_target].runs.len(), 1, "a draining target gets no new work");
    assert_eq!(poll_kinds(&mut net, 0, &poll), [PacketKind::FeedItem]);
}
