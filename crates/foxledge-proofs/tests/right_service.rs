//! Promise 2: a packet never reaches another service, also after an address was reused.

use std::{collections::HashSet, time::Duration};

use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{BackendPlan, LinkMode, ServiceSize},
    report::{LoadReport, RequestId},
};
use foxledge_proofs::{
    fleet_limit::LimitedFleet,
    request_helpers::{
        CENTRE, DESK, INTAKE, MEMBER, ManualCaller, RequestOutcome, WIDE_LIMIT, complete_marker,
        plan_fleet, set_fabric_instances, start_fleet, wait_revision,
    },
};
use foxledge_wire::flow::{Packet, PacketKind, RefusalReason};

const PATIENT: &str = "[desk]\nack_ms = 1000\n";

/// Kills the newest backend server of that name and starts one of `service` at its address, then
/// publishes both; returns the revision and the new one's index.
fn reuse_address(
    fleet: &mut LimitedFleet,
    old: &str,
    service: (&str, &str),
    name: &str,
) -> (u64, usize) {
    let backend = fleet.backend(old).unwrap();
    backend.kill().unwrap();
    let (address, incarnation) = (backend.address, backend.incarnation + 1);
    let plan = BackendPlan {
        name,
        service: service.0,
        data_centre: CENTRE,
        address,
        incarnation,
        size: ServiceSize::targets(1),
        seed: incarnation,
    };
    let index = fleet.start_backend(&plan).unwrap();
    let target = fleet.backends[index].target();
    for known in &mut fleet.list.services {
        known.targets.retain(|target| target.name != old);
    }
    fleet.list.service_mut(service.0).unwrap().targets.push(target);
    (fleet.publish().unwrap(), index)
}

/// A bid that is answered by the backend server of that name, and the token of the answer.
fn bid_at(fleet: &LimitedFleet, target: &str) -> (ManualCaller, Vec<u8>) {
    let address = fleet.backends.iter().find(|known| known.name == target).unwrap().address;
    for number in 0..200 {
        let mut caller = ManualCaller::new(fleet, DESK, number).unwrap();
        let bid = caller.next_request(&caller.obtain_ticket().unwrap());
        let answer = caller.send_until(&bid, |reply| reply.kind() == PacketKind::Answer).unwrap();
        if token_names(fleet, &answer, &address.to_string()) {
            // From a new socket, which nothing of this answer reaches any more.
            let mut fresh = ManualCaller::new(fleet, DESK, number).unwrap();
            fresh.identity = caller.identity;
            return (fresh, answer.token);
        }
    }
    panic!("no bid went to {target}");
}

fn token_names(fleet: &LimitedFleet, answer: &Packet, address: &str) -> bool {
    let ring = foxledge_proofs::request_helpers::published_keys(fleet);
    let token = foxledge_seal::seals::open_token(&ring, &answer.token).unwrap();
    token.target_address == address
}

/// Polls by an old token through each instance; returns how many packets the new owner of the
/// address got that named another.
fn poll_old_token(
    fleet: &mut LimitedFleet,
    caller: &ManualCaller,
    token: &[u8],
    owner: usize,
) -> u64 {
    complete_marker(fleet, &[0, 1], 1).unwrap();
    let before = fleet.backends[owner].stats().unwrap().wrong_target;
    for index in [0, 1] {
        set_fabric_instances(fleet, &[index]).unwrap();
        let word = caller.resend_until_final(&caller.poll(1, token)).unwrap();
        assert_eq!(word, RequestOutcome::Unknown(RefusalReason::WrongTarget));
    }
    fleet.backends[owner].stats().unwrap().wrong_target - before
}

/// `OwnerCheck` is whether an instance asks who owns the address that a token names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerCheck {
    /// As it is served.
    On,
    /// Only to show that the fault is there.
    Off,
}

/// The address goes to another service and back; returns what reached the wrong process each time.
fn reuse_twice(check: OwnerCheck) -> [u64; 2] {
    let is_on = check == OwnerCheck::On;
    let settings = format!("{PATIENT}[trial]\ncheck_target_owner = {is_on}\n");
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(&settings)).unwrap();
    let (caller, token) = bid_at(&fleet, "auction-desk-toledo-1");
    let (revision, owner) = reuse_address(&mut fleet, "auction-desk-toledo-1", INTAKE, "second");
    wait_revision(&fleet, &[0, 1], revision).unwrap();
    let first = poll_old_token(&mut fleet, &caller, &token, owner);
    // The same service again, but not the process that the token names.
    let (revision, owner) = reuse_address(&mut fleet, "second", DESK, "third");
    wait_revision(&fleet, &[0, 1], revision).unwrap();
    [first, poll_old_token(&mut fleet, &caller, &token, owner)]
}

#[test]
fn address_reused_twice() {
    // Symptom: a bidder's packet arrives at lot intake's backend server.
    // Sequence: the backend server that a flow token names dies; its address goes to a process of
    //   another service, and later to a new process of the first one; the caller polls by the token.
    // Cause: the token leads to an address, and nobody asks who owns that now.
    let without = reuse_twice(OwnerCheck::Off);
    assert!(without[0] >= 2 && without[1] >= 2, "without the mechanism it shows: {without:?}");
    assert_eq!(reuse_twice(OwnerCheck::On), [0, 0]);
}

fn load(
    fleet: &LimitedFleet,
    service: &str,
    name: &str,
    rate: f64,
) -> foxledge_fakes::harness::TestCaller {
    let plan = fleet.plan_caller(service, MEMBER, TrafficKind::Bid).unwrap();
    let plan = plan.name(name).rate(rate).seconds(6.0).argument(&format!("--service={service}"));
    fleet.start_caller(CENTRE, &plan.argument("--deadline-ms=3000")).unwrap()
}

fn ids_of(report: &LoadReport) -> HashSet<RequestId> {
    let lists =
        [&report.served_ids, &report.not_run_ids, &report.unknown_ids, &report.timed_out_ids];
    lists.into_iter().flatten().copied().collect()
}

/// Asserts that no backend server ran a request that was meant for the other service.
fn assert_no_strangers(fleet: &mut LimitedFleet, desk: &LoadReport, intake: &LoadReport) {
    let (desk_ids, intake_ids) = (ids_of(desk), ids_of(intake));
    for stats in fleet.backend_stats().unwrap() {
        let strangers = if stats.service == DESK.0 { &intake_ids } else { &desk_ids };
        let met: Vec<_> = stats.runs.iter().filter(|run| strangers.contains(&run.id)).collect();
        assert!(met.is_empty(), "{} ran {met:?}", stats.name);
    }
    let verdict = fleet.judge(&[desk.clone(), intake.clone()]).unwrap();
    assert!(verdict.is_clean(), "{verdict:?}");
    for report in [desk, intake] {
        println!(
            "{}: offered {}, served {}, not run {}, unknown {}, timed out {}",
            report.address,
            report.offered,
            report.served,
            report.refused_not_run,
            report.unknown,
            report.timed_out
        );
        assert!(report.served > report.offered / 2, "most is served");
    }
}

#[test]
fn stale_instance() {
    // Symptom: an instance with an old list hands bids to lot intake's backend server, which
    //   answers them.
    // Sequence: one instance is cut off from peers and platform; a backend server of the desk
    //   dies and its address goes to lot intake; both instances go on taking bids and lots.
    // Cause: the cut-off instance can't know; only naming service and process in each packet
    //   lets the new owner refuse it.
    let plan = plan_fleet(2, 3).link_mode(LinkMode::Routed).settings(PATIENT);
    let mut fleet = start_fleet(plan).unwrap();
    let (caller, token) = bid_at(&fleet, "auction-desk-toledo-1");
    let names = [fleet.instances[0].name.clone(), fleet.instances[1].name.clone()];
    fleet.links.as_ref().unwrap().cut(&names[0], &names[1]).unwrap();
    let old = fleet.platform.client.report().unwrap().revision;
    fleet.platform.client.hold(&names[0], Some(old)).unwrap();
    let (revision, owner) = reuse_address(&mut fleet, "auction-desk-toledo-1", INTAKE, "second");
    wait_revision(&fleet, &[1], revision).unwrap();

    let desk = load(&fleet, DESK.0, "bids", 60.0);
    let intake = load(&fleet, INTAKE.0, "lots", 30.0);
    for _ in 0..10 {
        // A resend reaches the stale instance sooner or later.
        let word = caller.resend_until_final(&caller.poll(1, &token)).unwrap();
        assert_eq!(word, RequestOutcome::Unknown(RefusalReason::WrongTarget));
    }
    let desk = desk.finish(WIDE_LIMIT).unwrap();
    let intake = intake.finish(WIDE_LIMIT).unwrap();
    let metric = fleet.instances[0].metric("foxledge_list_revision", "").unwrap();
    assert!(metric < revision as f64, "the cut-off instance kept the old list");
    let refused = fleet.backends[owner].stats().unwrap().wrong_target;
    assert!(refused > 0, "the cut-off instance did try the old address");
    assert_no_strangers(&mut fleet, &desk, &intake);
}

#[test]
fn reuse_under_load() {
    // Symptom: an answer of another service, or a run at a stranger's.
    // Sequence: under load of both services, an instance freezes; a backend server of the desk
    //   dies and its address goes to lot intake; another instance is killed; the frozen one wakes
    //   up with its old list and what waits in its sockets.
    // Cause: what was decided under the old list is carried out after the address changed hands.
    let mut fleet = start_fleet(plan_fleet(4, 3).settings(PATIENT)).unwrap();
    let desk = load(&fleet, DESK.0, "bids", 60.0);
    let intake = load(&fleet, INTAKE.0, "lots", 20.0);
    std::thread::sleep(Duration::from_secs(1));
    fleet.instances[0].process.freeze().unwrap();
    let (revision, _) = reuse_address(&mut fleet, "auction-desk-toledo-1", INTAKE, "second");
    wait_revision(&fleet, &[1, 2, 3], revision).unwrap();
    fleet.kill_instance(1).unwrap();
    std::thread::sleep(Duration::from_millis(500));
    fleet.instances[0].process.wake().unwrap();
    wait_revision(&fleet, &[0], revision).unwrap();
    let desk = desk.finish(WIDE_LIMIT).unwrap();
    let intake = intake.finish(WIDE_LIMIT).unwrap();
    assert_no_strangers(&mut fleet, &desk, &intake);
}
