//! The entry instance's handling of unreachable homes.

mod common;

use common::{
    TestNet, address,
    packets::{bid_packet, is_answered, refusals},
};
use foxledge_engine::{EngineOptions, EnginePhase, TrialSwitches};
use foxledge_wire::flow::{Packet, PacketKind};

fn peer_address(instance: usize) -> std::net::SocketAddr {
    address(2000 + instance as u16)
}

/// Returns the time in milliseconds from the home's death until another instance delivers a ticket.
fn admission_gap_ms(options: EngineOptions) -> u64 {
    let mut net = TestNet::new(3, 1, options);
    net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    net.kill(home);
    let killed = net.now;
    let entry = (home + 1) % 3;
    for _ in 0..8 {
        if net.obtain_ticket(2, entry, "auction").is_some() {
            break;
        }
    }
    net.now.since(killed).as_millis() as u64
}

/// The home is killed while membership still lists it as alive, and callers request tickets.
/// Admission would stop for seconds if entry instances kept forwarding to the dead home.
#[test]
fn skips_unresponsive_home_within_a_second() {
    let switches = TrialSwitches { skip_unresponsive_homes: false, ..TrialSwitches::default() };
    let gap_without_skipping = admission_gap_ms(EngineOptions::default().trial(switches));
    let gap_with_skipping = admission_gap_ms(EngineOptions::default());
    assert!(gap_without_skipping > 10_000, "without skipping the home: {gap_without_skipping} ms");
    assert!(gap_with_skipping <= 1_000, "with skipping the home: {gap_with_skipping} ms");
}

/// The link between the entry instance and the ticket's home is cut in both directions. Without a
/// relay the bid would end with an unknown outcome although its home is alive.
#[test]
fn relays_bid_around_cut_link() {
    let mut net = TestNet::new(3, 2, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    let entry = (home + 1) % 3;
    net.cut_links.insert((peer_address(entry), peer_address(home)));
    net.cut_links.insert((peer_address(home), peer_address(entry)));
    net.send(1, entry, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(1500);
    let answers = net.drain_answers(1);
    assert!(is_answered(&answers), "{answers:?}");
    assert!(refusals(&answers).is_empty());
}

/// Acknowledgements from the home to the entry instance are lost while packets in the other
/// direction arrive. A missing acknowledgement must not count as a missing home, or the request
/// would be given up although the home received it.
#[test]
fn delivers_answer_when_acknowledgements_are_lost() {
    let mut net = TestNet::new(3, 3, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    let entry = (home + 1) % 3;
    net.cut_links.insert((peer_address(home), peer_address(entry)));
    net.send(1, entry, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(1500);
    let answers = net.drain_answers(1);
    assert!(is_answered(&answers));
    let runs: u32 = net.targets.iter().flat_map(|target| target.runs.values()).sum();
    assert_eq!(runs, 1);
}

/// The home receives a bid and begins a planned stop; more callers request tickets from it. A home
/// that stopped at once would cut the bid; one that kept issuing tickets would admit work until the
/// end.
#[test]
fn leaving_home_finishes_bid_and_issues_no_tickets() {
    let mut net = TestNet::new(2, 4, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    net.send(1, home, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(3);
    let now = net.now;
    net.engines[home].as_mut().unwrap().set_phase(now, EnginePhase::Leaving);
    let engine = net.engines[home].as_ref().unwrap();
    assert!(engine.unfinished_count(now) > 0);
    net.distribute_view(&[0, 1], &[1 - home]);
    let issued = net.engines[home].as_ref().unwrap().counters().tickets_issued;
    assert!(net.obtain_ticket(2, home, "auction").is_some(), "the other instance issues it");
    net.run_for(6_000);
    let answers = net.drain_answers(1);
    assert!(is_answered(&answers));
    let final_answer = answers.iter().find(|a| a.kind() == PacketKind::Answer).unwrap();
    assert!(final_answer.ticket.is_empty(), "a leaving home renews no ticket");
    let engine = net.engines[home].as_ref().unwrap();
    assert_eq!(engine.counters().tickets_issued, issued);
    assert_eq!(engine.unfinished_count(net.now), 0);
}

/// Returns the kinds of the replies to a bid that is sent to an instance which is cut off from the
/// ticket's home. There are two instances; a resend goes to the home itself.
fn reply_kinds_when_cut_off(takes_resend: bool) -> Vec<PacketKind> {
    let mut net = TestNet::new(2, 6, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    let entry = 1 - home;
    net.cut_links.insert((peer_address(entry), peer_address(home)));
    net.cut_links.insert((peer_address(home), peer_address(entry)));
    let bid = Packet { ticket, takes_resend, ..bid_packet(1, 1, 1, "auction") };
    net.send(1, entry, &bid);
    net.run_for(1000);
    let answers = net.drain_answers(1);
    if answers.iter().any(|answer| answer.kind() == PacketKind::Resend) {
        // The network fabric delivers the next copy to the other instance.
        net.send(1, home, &Packet { attempt: 1, ..bid });
        net.run_for(500);
    }
    answers.into_iter().chain(net.drain_answers(1)).map(|answer| answer.kind()).collect()
}

/// The ticket's home and the entry instance are cut off from each other, and no third instance can
/// relay. If the entry instance gave a final refusal, half of all bids would end with an unknown
/// outcome, although the network fabric would deliver the next copy to the home itself.
#[test]
fn asks_for_resend_when_cut_off_from_home() {
    assert_eq!(reply_kinds_when_cut_off(false), [PacketKind::Refusal]);
    let kinds = reply_kinds_when_cut_off(true);
    assert_eq!(kinds[0], PacketKind::Resend);
    assert!(kinds.contains(&PacketKind::Answer) && !kinds.contains(&PacketKind::Refusal));
}

/// The link from the entry instance to a ticket's home is cut. One bid detects this, and the next
/// arrives while the home is still skipped. An unresponsive link must not count as an unreachable
/// home, or the second bid would end with an unknown outcome although a third instance reaches the
/// home.
#[test]
fn relays_bids_while_home_is_skipped() {
    let mut net = TestNet::new(3, 3, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    let entry = (home + 1) % 3;
    net.cut_links.insert((peer_address(entry), peer_address(home)));
    for request in [1, 2] {
        let ticket = ticket.clone();
        let bid = Packet { ticket, takes_resend: true, ..bid_packet(1, 1, request, "auction") };
        net.send(1, entry, &bid);
        net.run_for(400);
        let answers = net.drain_answers(1);
        assert!(is_answered(&answers), "request {request}: {answers:?}");
    }
}

/// When the ticket's home is dead, the caller is asked to resend four times and then refused.
#[test]
fn bounds_resend_requests() {
    let mut net = TestNet::new(2, 7, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    net.kill(home);
    let mut packet = Packet { ticket, takes_resend: true, ..bid_packet(1, 1, 1, "auction") };
    let mut kinds = Vec::new();
    for _ in 0..10 {
        net.send(1, 1 - home, &packet);
        net.run_for(600);
        let answers = net.drain_answers(1);
        kinds.extend(answers.iter().map(Packet::kind));
        if !refusals(&answers).is_empty() {
            break;
        }
        packet.attempt += 1;
    }
    assert_eq!(kinds.iter().filter(|kind| **kind == PacketKind::Resend).count(), 4);
    assert_eq!(kinds.last(), Some(&PacketKind::Refusal));
}
