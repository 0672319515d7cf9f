//! A flow token continues its flow on any instance, and no other flow.

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

/// Every instance that knew a feed is replaced, and the next poll reaches a new one. The feed would
/// break if its routing state were kept in a table of one instance.
#[test]
fn any_instance_continues_a_flow() {
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

/// A backend server with a feed is removed and lot intake gets its address; then a poll of the feed
/// arrives. Without the check of the address, the poll would reach another service.
#[test]
fn refuses_token_after_address_is_reassigned() {
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

/// Keys 1 and 2, then 2 and 3 are published while a feed is open. The feed would break at the
/// second rotation if its token stayed sealed under key 1.
#[test]
fn keeps_feed_across_two_key_rotations() {
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

/// A token is valid only for the flow, the caller and the address it was sealed for.
#[test]
fn refuses_token_of_another_flow() {
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

/// A backend server with a feed is published as draining, and new feeds are opened. It would get
/// new work if the token counted as a new request, and the feed would break if draining counted as
/// removed.
#[test]
fn draining_target_keeps_feed_and_gets_no_new_work() {
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
