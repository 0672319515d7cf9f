//! Promise 2: a packet never reaches another service, not even after an address is reused.

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

const ACK_TIMEOUT_SETTINGS: &str = "[desk]\nack_ms = 1000\n";

/// Kills the newest backend server named `old`, starts one of `service` at its address and
/// publishes both changes. Returns the revision and the index of the new backend server.
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

/// Makes bids until the backend server named `target` answers one. Returns a caller with the same
/// identity, and the token of the answer.
fn bid_served_by(fleet: &LimitedFleet, target: &str) -> (ManualCaller, Vec<u8>) {
    let address = fleet.backends.iter().find(|known| known.name == target).unwrap().address;
    for number in 0..200 {
        let mut caller = ManualCaller::new(fleet, DESK, number).unwrap();
        let bid = caller.next_request(&caller.obtain_ticket().unwrap());
        let answer = caller.send_until(&bid, |reply| reply.kind() == PacketKind::Answer).unwrap();
        if has_target_address(fleet, &answer, &address.to_string()) {
            // A new socket doesn't receive remaining parts of this answer.
            let mut new_caller = ManualCaller::new(fleet, DESK, number).unwrap();
            new_caller.identity = caller.identity;
            return (new_caller, answer.token);
        }
    }
    panic!("no bid went to {target}");
}

fn has_target_address(fleet: &LimitedFleet, answer: &Packet, address: &str) -> bool {
    let ring = foxledge_proofs::request_helpers::published_keys(fleet);
    let token = foxledge_seal::seals::open_token(&ring, &answer.token).unwrap();
    token.target_address == address
}

/// Polls by an old token through each instance. Returns the number of packets for another backend
/// server that the new owner of the address received.
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
        let outcome = caller.resend_until_final(&caller.poll(1, token)).unwrap();
        assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::WrongTarget));
    }
    fleet.backends[owner].stats().unwrap().wrong_target - before
}

/// Whether instances check that the address in a token still belongs to the same backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerCheck {
    /// Enabled, as in production.
    On,
    /// Disabled, to show that the fault occurs without the check.
    Off,
}

/// Moves an address to another service and back. Returns the number of packets that reached the
/// wrong process after each move.
fn reuse_twice(check: OwnerCheck) -> [u64; 2] {
    let is_on = check == OwnerCheck::On;
    let settings = format!("{ACK_TIMEOUT_SETTINGS}[trial]\ncheck_target_owner = {is_on}\n");
    let mut fleet = start_fleet(plan_fleet(2, 2).settings(&settings)).unwrap();
    let (caller, token) = bid_served_by(&fleet, "auction-desk-toledo-1");
    let (revision, owner) = reuse_address(&mut fleet, "auction-desk-toledo-1", INTAKE, "second");
    wait_revision(&fleet, &[0, 1], revision).unwrap();
    let first = poll_old_token(&mut fleet, &caller, &token, owner);
    // The service is the same again, but not the process that the token names.
    let (revision, owner) = reuse_address(&mut fleet, "second", DESK, "third");
    wait_revision(&fleet, &[0, 1], revision).unwrap();
    [first, poll_old_token(&mut fleet, &caller, &token, owner)]
}

#[test]
fn token_of_a_reused_address_is_refused() {
    // Guards against packets that reach a backend server of another service. The backend server
    // that a flow token names dies; its address goes to a process of another service, and later to
    // a new process of the first one. The caller then polls by the token, which leads to the
    // address only.
    let unprotected = reuse_twice(OwnerCheck::Off);
    assert!(
        unprotected[0] >= 2 && unprotected[1] >= 2,
        "without the mechanism it shows: {unprotected:?}"
    );
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

/// Asserts that no backend server ran a request for the other service.
fn assert_no_wrong_service(fleet: &mut LimitedFleet, desk: &LoadReport, intake: &LoadReport) {
    let (desk_ids, intake_ids) = (ids_of(desk), ids_of(intake));
    for stats in fleet.backend_stats().unwrap() {
        let strangers = if stats.service == DESK.0 { &intake_ids } else { &desk_ids };
        let foreign_runs: Vec<_> =
            stats.runs.iter().filter(|run| strangers.contains(&run.id)).collect();
        assert!(foreign_runs.is_empty(), "{} ran {foreign_runs:?}", stats.name);
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
fn wrong_service_refuses_work_by_a_stale_list() {
    // Guards against bids that are answered by a backend server of another service. One instance is
    // cut off from peers and platform, and an address moves from one service to the other. The
    // instance can't know of it, so that the new owner must refuse the work by the service and
    // process that each packet names.
    let plan = plan_fleet(2, 3).link_mode(LinkMode::Routed).settings(ACK_TIMEOUT_SETTINGS);
    let mut fleet = start_fleet(plan).unwrap();
    let (caller, token) = bid_served_by(&fleet, "auction-desk-toledo-1");
    let names = [fleet.instances[0].name.clone(), fleet.instances[1].name.clone()];
    fleet.links.as_ref().unwrap().cut(&names[0], &names[1]).unwrap();
    let old = fleet.platform.client.report().unwrap().revision;
    fleet.platform.client.hold(&names[0], Some(old)).unwrap();
    let (revision, owner) = reuse_address(&mut fleet, "auction-desk-toledo-1", INTAKE, "second");
    wait_revision(&fleet, &[1], revision).unwrap();

    let desk = load(&fleet, DESK.0, "bids", 60.0);
    let intake = load(&fleet, INTAKE.0, "lots", 30.0);
    for _ in 0..10 {
        // One of the retransmissions reaches the stale instance.
        let outcome = caller.resend_until_final(&caller.poll(1, &token)).unwrap();
        assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::WrongTarget));
    }
    let desk = desk.finish(WIDE_LIMIT).unwrap();
    let intake = intake.finish(WIDE_LIMIT).unwrap();
    let metric = fleet.instances[0].metric("foxledge_list_revision", "").unwrap();
    assert!(metric < revision as f64, "the cut-off instance kept the old list");
    let refused = fleet.backends[owner].stats().unwrap().wrong_target;
    assert!(refused > 0, "the cut-off instance did try the old address");
    assert_no_wrong_service(&mut fleet, &desk, &intake);
}

#[test]
fn address_reuse_under_load_reaches_no_wrong_service() {
    // Guards against answers or runs of another service under load. An instance freezes; a backend
    // server dies and its address goes to the other service; another instance is killed; the frozen
    // one resumes with its old list and the packets in its socket buffers.
    let mut fleet = start_fleet(plan_fleet(4, 3).settings(ACK_TIMEOUT_SETTINGS)).unwrap();
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
    assert_no_wrong_service(&mut fleet, &desk, &intake);
}
