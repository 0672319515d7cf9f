//! Responses of backend servers that are lost or late.

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

/// A bid runs, and both its answer and the notification of its end are lost on the way to the home.
/// Without a check the slot would stay occupied and an idle backend server would get less and less
/// work.
#[test]
fn frees_slot_when_end_notification_is_lost() {
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

/// The first backend server sheds a bid and the home dispatches it to the second; then a duplicate
/// of the first refusal arrives. Relayed as the refusal of a packet sent by flow token, it would
/// end a running bid with an unknown outcome.
#[test]
fn ignores_duplicate_refusal_after_redispatch() {
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

/// A feed is open for longer than the interval of its checks. If the time since the last response
/// counted as a pause of this process, every feed would break some minutes after it was opened.
#[test]
fn keeps_feed_open_longer_than_check_interval() {
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

/// A feed is opened and stays open; a bid runs and ends. If open work were counted wrongly, an idle
/// daemon would tick as often as a busy one, or a busy one too rarely.
#[test]
fn is_idle_while_only_open_feeds_remain() {
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
