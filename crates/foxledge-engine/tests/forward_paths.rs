//! What an entry instance does when the way to a home fails.

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

/// Milliseconds until a ticket comes through an instance, once the home was killed.
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

#[test]
fn silent_home() {
    // Symptom: admission stops for seconds when an instance is killed.
    // Sequence: the home is killed; membership still holds it alive; callers ask for tickets.
    // Cause: entry instances go on forwarding to the dead home.
    let switches = TrialSwitches { skip_unresponsive_homes: false, ..TrialSwitches::default() };
    let gap_without_skipping = admission_gap_ms(EngineOptions::default().trial(switches));
    let gap_with_skipping = admission_gap_ms(EngineOptions::default());
    assert!(gap_without_skipping > 10_000, "without skipping the home: {gap_without_skipping} ms");
    assert!(gap_with_skipping <= 1_000, "with skipping the home: {gap_with_skipping} ms");
}

#[test]
fn cut_way() {
    // Symptom: a bid is answered "unknown" although its home lives.
    // Sequence: the link between the entry instance and the ticket's home is cut both ways.
    // Cause: the entry instance knows only one way to the home.
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

#[test]
fn one_direction() {
    // Symptom: a request is given up although its home took it.
    // Sequence: acknowledgements from the home to the entry instance are lost, packets pass.
    // Cause: silence of the acknowledgement is taken for silence of the home.
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

#[test]
fn leaving_home() {
    // Symptom: a planned stop cuts a bid, or admits new ones until the end.
    // Sequence: the home gets a bid and is told to leave; more callers ask for tickets there.
    // Cause: the home goes at once, or goes on issuing tickets.
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

/// Outcomes of a bid whose ticket's home only instance 0 or 1 can reach, of two.
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
        // The fabric hands the next copy to the other instance.
        net.send(1, home, &Packet { attempt: 1, ..bid });
        net.run_for(500);
    }
    answers.into_iter().chain(net.drain_answers(1)).map(|answer| answer.kind()).collect()
}

#[test]
fn cut_pair_resent() {
    // Symptom: under a cut between two instances, half of all bids are answered "unknown".
    // Sequence: a ticket's home and the entry instance are cut from each other; no third can relay.
    // Cause: the entry instance makes the home's silence final, though the fabric would hand the
    //   next copy to the home itself.
    assert_eq!(reply_kinds_when_cut_off(false), [PacketKind::Refusal]);
    let kinds = reply_kinds_when_cut_off(true);
    assert_eq!(kinds[0], PacketKind::Resend);
    assert!(kinds.contains(&PacketKind::Answer) && !kinds.contains(&PacketKind::Refusal));
}

#[test]
fn silent_way_relayed() {
    // Symptom: a bid ends "unknown" though its home lives and a third instance reaches it.
    // Sequence: the way from the entry instance to a ticket's home is cut; one bid finds that out,
    //   and the next one comes while the home still counts as silent there.
    // Cause: the silence on one way was taken for a home that nobody reaches.
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

#[test]
fn resends_bounded() {
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
