//! Non-idempotent work runs at most once, and work refused as "not run" never runs.

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

/// Returns the instance that issued the only ticket so far.
fn issuing_home(net: &TestNet) -> usize {
    (0..net.engines.len())
        .find(|&i| net.engines[i].as_ref().is_some_and(|e| e.counters().tickets_issued > 0))
        .expect("a ticket was issued")
}

fn options_without_run_once() -> EngineOptions {
    EngineOptions::default().trial(TrialSwitches { run_once: false, ..TrialSwitches::default() })
}

#[test]
fn serves_bid_and_renews_ticket() {
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

/// Sends copies of a bid to two instances that each consider themselves the home. Returns how often
/// it ran.
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

/// The membership views are split and the network fabric delivers the opening packet to both sides.
/// Without tickets each side is the home in its own view and admits its copy, so the bid runs
/// twice.
#[test]
fn runs_bid_once_under_split_views() {
    assert_eq!(
        run_with_split_views(options_without_run_once()),
        2,
        "without tickets the bid runs twice"
    );
    assert_eq!(run_with_split_views(EngineOptions::default()), 1);
}

/// The home dispatches a bid and is killed before the answer; the caller resends. The next home has
/// no record of the first run, so it must neither refuse the bid as "not run" nor run it again.
#[test]
fn reports_unknown_outcome_when_home_is_killed() {
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

/// The home dispatches a bid, is killed and restarted; the caller resends. The new process has the
/// same name and address but not the ledger, and must not run the bid again.
#[test]
fn runs_bid_once_when_home_restarts() {
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

/// The home is frozen for 10 s with a bid in its socket, then resumes. If it acted on state from
/// before the freeze, the bid would run long after its caller got an unknown outcome, or a second
/// time.
#[test]
fn frozen_home_starts_nothing_after_start_deadline() {
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

/// The keys rotate: one instance has the new list, the ticket's home does not, and the network
/// fabric delivers a copy to each. The instance that can't open the ticket must not refuse the bid
/// as "not run" while it runs through the home.
#[test]
fn never_reports_not_run_for_ticket_under_withdrawn_key() {
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

/// The rules deny a client account and its bid is refused; then a new list allows it and a late
/// copy arrives. If the copy were decided again, a bid that was refused as "not run" would run.
#[test]
fn keeps_refusal_of_bid_for_late_copies() {
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
fn refuses_requests_beyond_ticket_count() {
    let mut net = TestNet::new(1, 7, EngineOptions::default().requests_per_ticket(2));
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    for request in 1..=3 {
        net.send(1, 0, &Packet { ticket: ticket.clone(), ..bid_packet(1, 1, request, "auction") });
    }
    net.run_for(1000);
    assert_eq!(run_count(&net, 1), 2);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
}

/// A ticket is replayed for another caller and for another service address. Without a comparison
/// with the packet, a caller could bid under another caller's admission.
#[test]
fn refuses_ticket_of_another_caller_or_address() {
    let mut net = TestNet::new(1, 8, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    net.send(2, 0, &Packet { ticket: ticket.clone(), ..bid_packet(2, 1, 1, "auction") });
    net.send(1, 0, &Packet { ticket, ..bid_packet(1, 1, 1, "intake") });
    net.run_for(500);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::NotRun]);
    assert_eq!(refusals(&net.drain_answers(2)), [RunOutcome::NotRun]);
    assert_eq!(run_count(&net, 1) + run_count(&net, 2), 0);
}
