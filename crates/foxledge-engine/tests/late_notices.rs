//! Notices of backend servers that are lost or come late.

mod common;

use common::{
    TestNet, address,
    packets::{bid_packet, is_answered, refusals},
    target_address,
};
use foxledge_engine::EngineOptions;
use foxledge_wire::{
    decode_packet, encode_packet,
    flow::{Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

#[test]
fn lost_end() {
    // Symptom: a target gets ever less work, though it is idle.
    // Sequence: a bid runs; both its answer and the notice of its end are lost on the way to the home.
    // Cause: the home counts the slot as taken for good.
    let mut net = TestNet::new(1, 1, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    net.send(1, 0, &Packet { ticket, time_left_ms: 60_000, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(4);
    for target in 0..2 {
        net.cut_links.insert((target_address(target), address(1000)));
    }
    net.run_for(500);
    assert_eq!(net.engines[0].as_ref().unwrap().status(net.now).open_works, 1);
    net.cut_links.clear();
    net.run_for(5_000);
    assert_eq!(net.engines[0].as_ref().unwrap().status(net.now).open_works, 0);
    let runs: u32 = net.targets.iter().flat_map(|target| target.runs.values()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn late_refusal() {
    // Symptom: a bid that is running well is answered "unknown".
    // Sequence: the first target sheds it, the home places it at the second; a copy of the first
    //   target's refusal arrives late.
    // Cause: the copy is taken for an answer to a packet sent past the home, and relayed as final.
    let mut net = TestNet::new(1, 2, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let now = net.now;
    let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
    let engine = net.engines[0].as_mut().unwrap();
    let effects = engine.on_datagram(now, address(5001), &encode_packet(&bid));
    let (first, first_dispatch) = sent_work(&effects).expect("the bid is dispatched at once");
    let shed = Refusal {
        outcome: RunOutcome::NotRun.into(),
        reason: RefusalReason::TargetShed.into(),
        retry_after_ms: 0,
    };
    let refusal = encode_packet(&Packet {
        kind: PacketKind::Refusal.into(),
        refusal: Some(shed),
        ..first_dispatch
    });
    let effects = engine.on_datagram(now, first, &refusal);
    let (second, second_dispatch) =
        sent_work(&effects).expect("the bid is dispatched to the other target");
    assert_ne!(first, second);
    let effects = engine.on_datagram(now, first, &refusal);
    assert!(effects.is_empty(), "the duplicate refusal has no effect: {effects:?}");
    let answer = Packet { kind: PacketKind::Answer.into(), parts: 1, ..second_dispatch };
    let effects = engine.on_datagram(now, second, &encode_packet(&answer));
    let sent: Vec<_> = effects.iter().filter_map(sent_packet).map(|(_, packet)| packet).collect();
    assert!(is_answered(&sent) && refusals(&sent).is_empty());
}

fn sent_packet(effect: &foxledge_engine::EngineEffect) -> Option<(std::net::SocketAddr, Packet)> {
    match effect {
        foxledge_engine::EngineEffect::SendData { to, bytes } => {
            Some((*to, decode_packet(bytes).unwrap()))
        }
        _ => None,
    }
}

fn sent_work(effects: &[foxledge_engine::EngineEffect]) -> Option<(std::net::SocketAddr, Packet)> {
    effects.iter().filter_map(sent_packet).find(|(_, packet)| packet.kind() == PacketKind::Work)
}

#[test]
fn hours_of_feed() {
    // Symptom: every feed breaks some minutes after it was opened, though nothing failed.
    // Sequence: a feed is open for longer than the home waits before it asks its target about it.
    // Cause: the time since the target's last sign is taken for a pause of this process.
    let mut net = TestNet::new(1, 3, EngineOptions::default());
    let feed = Packet {
        work: foxledge_wire::flow::WorkKind::Feed.into(),
        idempotent: true,
        ..bid_packet(1, 9, 1, "auction")
    };
    net.send(1, 0, &feed);
    net.run_for(2_000_000);
    let engine = net.engines[0].as_ref().unwrap();
    assert_eq!(engine.status(net.now).open_works, 1);
    assert!(engine.counters().checks_sent > 0, "the target was queried about the feed");
    assert!(refusals(&net.drain_answers(1)).is_empty());
}

#[test]
fn quiet_again() {
    // Symptom: an idle daemon ticks as often as a busy one, or a busy one too seldom.
    // Sequence: a feed opens and stays; a bid runs and ends.
    // Cause: what waits is counted wrong.
    let mut net = TestNet::new(1, 4, EngineOptions::default());
    let is_idle = |net: &TestNet| net.engines[0].as_ref().unwrap().is_idle();
    assert!(is_idle(&net));
    let feed = Packet {
        work: foxledge_wire::flow::WorkKind::Feed.into(),
        idempotent: true,
        ..bid_packet(1, 9, 1, "auction")
    };
    net.send(1, 0, &feed);
    net.run_for(1);
    assert!(!is_idle(&net), "the feed's target hasn't acknowledged yet");
    net.run_for(100);
    assert!(is_idle(&net), "an open feed needs no check every 10 ms");
    let ticket = net.obtain_ticket(2, 0, "auction").unwrap();
    net.send(2, 0, &Packet { ticket, ..bid_packet(2, 1, 1, "auction") });
    net.run_for(2);
    assert!(!is_idle(&net));
    net.run_for(1_000);
    assert!(is_idle(&net));
}
