//! Non-idempotent work runs at most once, and "not run" is true.

mod common;

use common::{
    TestNet,
    packets::{bid_packet, is_answered, refusals},
};
use foxledge_core::lists::KeySpec;
use foxledge_engine::{EngineOptions, TrialSwitches};
use foxledge_wire::flow::{Packet, PacketKind, RunOutcome};

fn run_count(net: &TestNet, caller: u64) -> u32 {
    net.targets.iter().flat_map(|t| &t.runs).filter(|(key, _)| key.0 == caller).map(|r| r.1).sum()
}

/// The instance that issued the only ticket so far.
fn issuing_home(net: &TestNet) -> usize {
    (0..net.engines.len())
        .find(|&i| net.engines[i].as_ref().is_some_and(|e| e.counters().tickets_issued > 0))
        .expect("a ticket was issued")
}

fn options_without_run_once() -> EngineOptions {
    EngineOptions::default().trial(TrialSwitches { run_once: false, ..TrialSwitches::default() })
}

#[test]
fn bid_served() {
    let mut net = TestNet::new(3, 1, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    net.send(1, 2, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(500);
    let answers = net.drain_answers(1);
    assert!(is_answered(&answers));
    let renewed = answers.iter().any(|a| a.kind() == PacketKind::Answer && !a.ticket.is_empty());
    assert!(renewed, "the answer carries the next ticket");
    assert_eq!(run_count(&net, 1), 1);
}

/// Opening packet at two instances that each take themselves for the home.
fn run_with_split_views(options: EngineOptions) -> u32 {
    let mut net = TestNet::new(2, 1, options);
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    net.distribute_view(&[0], &[0]);
    net.distribute_view(&[1], &[1]);
    let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
    net.send(1, 0, &bid);
    net.send(1, 1, &bid);
    net.run_for(1000);
    run_count(&net, 1)
}

#[test]
fn two_views() {
    // Symptom: a bid runs twice.
    // Sequence: views of membership split; the fabric hands the opening packet to both sides.
    // Cause: each side is the home in its own view and admits the copy it got.
    assert_eq!(
        run_with_split_views(options_without_run_once()),
        2,
        "without tickets the bid runs twice"
    );
    assert_eq!(run_with_split_views(EngineOptions::default()), 1);
}

#[test]
fn home_killed() {
    // Symptom: a bid that may have run is called "not run", or runs again at the next home.
    // Sequence: the home dispatches, is killed before the answer; the caller resends.
    // Cause: the next home knows nothing of the first run.
    let mut net = TestNet::new(3, 2, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = issuing_home(&net);
    let other = (home + 1) % 3;
    let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
    net.send(1, home, &bid);
    net.run_for(3);
    net.kill(home);
    net.send(1, other, &Packet { attempt: 1, ..bid });
    net.run_for(1000);
    let answers = net.drain_answers(1);
    assert_eq!(refusals(&answers), [RunOutcome::Unknown]);
    assert_eq!(run_count(&net, 1), 1);
}

#[test]
fn home_restarted() {
    // Symptom: a bid runs twice after its home was restarted.
    // Sequence: the home dispatches, is killed and started anew; the caller resends.
    // Cause: the new process has the same name and address, but not the memory.
    let mut net = TestNet::new(3, 3, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = issuing_home(&net);
    let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
    net.send(1, home, &bid);
    net.run_for(3);
    net.kill(home);
    net.start_instance(home);
    net.send(1, home, &Packet { attempt: 1, ..bid });
    net.run_for(1000);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::Unknown]);
    assert_eq!(run_count(&net, 1), 1);
}

#[test]
fn frozen_home() {
    // Symptom: a bid runs long after its caller was told nobody knows, or twice.
    // Sequence: the home freezes for 10 s with the bid in its socket, then wakes up.
    // Cause: it goes on believing what was true when it froze.
    let mut net = TestNet::new(3, 4, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = issuing_home(&net);
    net.freeze(home);
    net.send(1, (home + 1) % 3, &Packet { ticket, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(1000);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::Unknown]);
    net.run_for(9_000);
    net.unfreeze(home);
    net.run_for(1000);
    assert_eq!(run_count(&net, 1), 0, "the ticket's start deadline has passed");
}

#[test]
fn withdrawn_key() {
    // Symptom: a bid is called "not run" by one instance and runs through another.
    // Sequence: keys rotate; one instance has the new list, the ticket's home has not;
    //   the fabric hands a copy to each.
    // Cause: the instance with the new list can't open the ticket any more.
    let mut net = TestNet::new(2, 5, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = issuing_home(&net);
    let other = 1 - home;
    let mut list = net.current_list(2);
    list.keys = vec![KeySpec { id: 2, secret: vec![9; 32] }];
    net.apply_list(other, list);
    let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
    net.send(1, home, &bid);
    net.send(1, other, &bid);
    net.run_for(1000);
    assert_eq!(run_count(&net, 1), 1);
    assert!(!refusals(&net.drain_answers(1)).contains(&RunOutcome::NotRun));
}

#[test]
fn refusal_stands() {
    // Symptom: a bid that was called "not run" runs a moment later.
    // Sequence: rules deny the member; the bid is refused; a new list allows it; a late copy arrives.
    // Cause: the copy is decided anew.
    for (remember_refusals, expected) in [(false, 1), (true, 0)] {
        let switches = TrialSwitches { remember_refusals, ..TrialSwitches::default() };
        let mut net = TestNet::new(1, 6, EngineOptions::default().trial(switches));
        let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
        let mut denying = net.current_list(2);
        denying.rules.clear();
        net.apply_list(0, denying);
        let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
        net.send(1, 0, &bid);
        net.run_for(20);
        assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
        let allowing = net.current_list(3);
        net.apply_list(0, allowing);
        net.send(1, 0, &bid);
        net.run_for(500);
        assert_eq!(run_count(&net, 1), expected, "remember_refusals = {remember_refusals}");
    }
}

#[test]
fn used_up() {
    let mut net = TestNet::new(1, 7, EngineOptions::default().requests_per_ticket(2));
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    for request in 1..=3 {
        net.send(1, 0, &Packet { ticket: ticket.clone(), ..bid_packet(1, 1, request, "auction") });
    }
    net.run_for(1000);
    assert_eq!(run_count(&net, 1), 2);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
}

#[test]
fn other_ticket() {
    // Symptom: a caller bids under another's admission.
    // Sequence: a ticket is replayed for another caller and for another service address.
    // Cause: the ticket's contents aren't compared with the packet.
    let mut net = TestNet::new(1, 8, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    net.send(2, 0, &Packet { ticket: ticket.clone(), ..bid_packet(2, 1, 1, "auction") });
    net.send(1, 0, &Packet { ticket, ..bid_packet(1, 1, 1, "intake") });
    net.run_for(500);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
    assert_eq!(refusals(&net.drain_answers(2)), [RunOutcome::NotRun]);
    assert_eq!(run_count(&net, 1) + run_count(&net, 2), 0);
}
