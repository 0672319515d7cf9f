//! Each part of a partitioned network continues to serve, and all parts recover after the cut.

use std::{
    net::UdpSocket,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    backend::BackendOrder,
    fabric::faults::{FaultWays, SilenceKey, SilenceSpec},
    harness::{LinkBook, LinkMode, TestFleet, wait_until_ok},
};
use foxledge_proofs::{
    fleet_helpers::{
        OTHER_CENTRE, ensure_clean, open_connections, peers_in_states, plan_two_centres,
        reachable_centres, start_bids, start_feeds, stop_load, wait_alive, wait_heartbeats,
        wait_more_runs,
    },
    fleet_limit::LimitedFleet,
    request_helpers::{CENTRE, DESK, MEMBER, ManualCaller, WIDE_LIMIT, plan_fleet},
};
use foxledge_wire::{
    decode_packet, encode_packet,
    flow::{Packet, PacketKind, RefusalReason, RunOutcome},
};

/// The number of feeds of a caller process.
const FEEDS: u32 = 20;
/// The generous limit for a refusal that must arrive at once.
const REFUSAL_LIMIT: Duration = Duration::from_secs(2);

fn links(fleet: &TestFleet) -> &LinkBook {
    fleet.links.as_ref().expect("the fleet is routed")
}

/// The pairs of link ends that connect the two data centres.
const CENTRE_PAIRS: [(&str, &str); 5] = [
    ("toledo*", "erie*"),
    ("toledo*", "auction-desk-erie*"),
    ("toledo*", "lot-intake-erie*"),
    ("erie*", "auction-desk-toledo*"),
    ("erie*", "lot-intake-toledo*"),
];

/// Cuts the network between the two data centres.
fn cut_centres(fleet: &TestFleet) -> Result<()> {
    CENTRE_PAIRS.iter().try_for_each(|(left, right)| links(fleet).cut(left, right))
}

/// Heals the network between the two data centres.
fn heal_centres(fleet: &TestFleet) -> Result<()> {
    CENTRE_PAIRS.iter().try_for_each(|(left, right)| links(fleet).heal(left, right))
}

/// Waits until every instance takes `count` data centres for reachable, including its own.
fn wait_reachable_centres(fleet: &TestFleet, count: usize) -> Result<()> {
    for instance in &fleet.instances {
        wait_until_ok("reachable data centres", WIDE_LIMIT, || {
            let seen = reachable_centres(instance)?;
            ensure!(seen.len() == count, "{} sees {seen:?}", instance.name);
            Ok(())
        })?;
    }
    Ok(())
}

/// Waits until the backend servers of a data centre have started `more` further runs.
fn wait_runs_in(fleet: &mut TestFleet, centre: &str, more: u64) -> Result<()> {
    let runs = |fleet: &mut TestFleet| -> Result<u64> {
        let stats = fleet.backend_stats()?;
        let in_centre = stats.iter().filter(|stat| stat.data_centre == centre);
        Ok(in_centre.map(|stat| stat.total_runs).sum())
    };
    let goal = runs(fleet)? + more;
    wait_until_ok(&format!("runs in {centre}"), WIDE_LIMIT, || {
        let now = runs(fleet)?;
        ensure!(now >= goal, "{now} of {goal}");
        Ok(())
    })
}

/// Guards against bids and feeds that fail in both data centres while the network between them is
/// cut, because a decision needs the other one. The network is cut until every instance has
/// noticed, and healed until every instance has noticed, twice.
#[test]
fn both_centres_serve_during_two_cuts() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_two_centres(2, 2))?;
    wait_reachable_centres(&fleet, 2)?;
    let mut loads = Vec::new();
    for centre in [CENTRE, OTHER_CENTRE] {
        loads.push(start_feeds(&mut fleet, centre, FEEDS)?);
        loads.push(start_bids(&fleet, centre, 30.0)?);
    }
    for _ in 0..2 {
        cut_centres(&fleet)?;
        wait_reachable_centres(&fleet, 1)?;
        for centre in [CENTRE, OTHER_CENTRE] {
            wait_runs_in(&mut fleet, centre, 20)?;
        }
        heal_centres(&fleet)?;
        wait_reachable_centres(&fleet, 2)?;
    }
    let reports = loads.into_iter().map(stop_load).collect::<Result<Vec<_>>>()?;
    for report in &reports {
        ensure!(report.served == report.offered, "{:?}", report.refused);
        ensure!(report.reopened_feeds == 0, "{:?}", report.refused);
    }
    ensure_clean(&fleet.judge(&reports)?)
}

/// A caller that polls for a request through another data centre than the one that admitted it.
struct RoamingCaller<'a> {
    fleet: &'a TestFleet,
    poll: Packet,
    socket: UdpSocket,
}

impl RoamingCaller<'_> {
    /// Polls once, and returns the response and its delay if one arrives within the limit.
    fn poll(&self) -> Result<Option<(Packet, Duration)>> {
        let fabric = self.fleet.fabric(OTHER_CENTRE)?.address;
        let started = Instant::now();
        self.socket.send_to(&encode_packet(&self.poll), fabric)?;
        self.socket.set_read_timeout(Some(REFUSAL_LIMIT))?;
        let mut buffer = [0; 2048];
        let Ok((size, _)) = self.socket.recv_from(&mut buffer) else { return Ok(None) };
        Ok(Some((decode_packet(&buffer[..size])?, started.elapsed())))
    }

    /// Polls until a response of the given kind arrives.
    fn wait_kind(&self, kind: PacketKind) -> Result<(Packet, Duration)> {
        wait_until_ok(&format!("{kind:?} by way of erie"), WIDE_LIMIT, || {
            let reply = self.poll()?;
            let (packet, took) = reply.ok_or_else(|| anyhow::anyhow!("silence"))?;
            ensure!(packet.kind() == kind, "{:?} {:?}", packet.kind(), packet.refusal);
            Ok((packet, took))
        })
    }
}

/// Guards against a caller that waits for its timeout because its request runs in a data centre
/// that is cut off. A bid runs in Toledo, and its caller's packets reach Erie from then on. Between
/// the cut and its detection packets are dropped without a response; afterwards the caller must get
/// a refusal.
#[test]
fn caller_is_told_of_an_unreachable_centre() -> Result<()> {
    let fleet = LimitedFleet::start(plan_two_centres(1, 1))?;
    wait_reachable_centres(&fleet, 2)?;
    for backend in &fleet.backends {
        backend.order(&BackendOrder::Slow { factor: 10_000.0 })?;
    }
    let mut caller = ManualCaller::new(&fleet, DESK, 1)?;
    let ticket = caller.obtain_ticket()?;
    let mut bid = caller.next_request(&ticket);
    bid.time_left_ms = 120_000;
    let token = caller.send_until(&bid, |reply| reply.kind() == PacketKind::Ack)?.token;
    let poll = caller.poll(bid.request, &token);
    let roaming = RoamingCaller { fleet: &fleet, poll, socket: UdpSocket::bind("127.0.0.1:0")? };
    roaming.wait_kind(PacketKind::Ack)?;

    cut_centres(&fleet)?;
    // The instances haven't detected the cut yet.
    ensure!(roaming.poll()?.is_none(), "the cut has no effect");
    wait_reachable_centres(&fleet, 1)?;
    let (reply, took) = roaming.wait_kind(PacketKind::Refusal)?;
    let refusal = reply.refusal.unwrap_or_default();
    ensure!(refusal.outcome() == RunOutcome::Unknown, "{refusal:?}");
    ensure!(refusal.reason() == RefusalReason::CentreUnreachable, "{refusal:?}");
    println!("told after {took:?}");
    ensure!(took < REFUSAL_LIMIT, "told after {took:?}");

    heal_centres(&fleet)?;
    roaming.wait_kind(PacketKind::Ack).map(drop)
}

/// Guards against a request that runs twice, or one that ran but is told "not run", because both
/// halves of a fleet admit it. Under load, two of four instances are cut off from the other two
/// while the fabric sends packets to all; the cut heals.
#[test]
fn two_partitions_run_no_request_twice() -> Result<()> {
    let plan = plan_fleet(4, 2).link_mode(LinkMode::Routed);
    let mut fleet = LimitedFleet::start(plan)?;
    let all = ["toledo-1", "toledo-2", "toledo-3", "toledo-4"];
    for index in 0..4 {
        wait_alive(&fleet, index, &all)?;
    }
    let bids = start_bids(&fleet, CENTRE, 40.0)?;
    wait_more_runs(&mut fleet, 20)?;
    for left in &all[..2] {
        for right in &all[2..] {
            links(&fleet).cut(left, right)?;
        }
    }
    for index in 0..4 {
        let half = if index < 2 { &all[..2] } else { &all[2..] };
        wait_alive(&fleet, index, half)?;
    }
    wait_more_runs(&mut fleet, 40)?;
    for left in &all[..2] {
        for right in &all[2..] {
            links(&fleet).heal(left, right)?;
        }
    }
    for index in 0..4 {
        wait_alive(&fleet, index, &all)?;
    }
    wait_more_runs(&mut fleet, 40)?;
    let report = stop_load(bids)?;
    println!(
        "{} offered, {} served, {} unknown, {} timed out, {:?}",
        report.offered, report.served, report.unknown, report.timed_out, report.refused
    );
    ensure_clean(&fleet.judge(&[report])?)?;

    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?;
    let plan = plan.name("bids-after").seed(2).rate(40.0).seconds(2.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    ensure!(report.served == report.offered, "after the heal: {:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against an instance that counts as dead, with bids that end unknown, although only one
/// other can't be reached from it. The messages from one instance to another are lost; the opposite
/// direction and all other links work.
#[test]
fn one_failed_link_does_not_mark_an_instance_dead() -> Result<()> {
    let plan = plan_fleet(3, 2).link_mode(LinkMode::Routed);
    let mut fleet = LimitedFleet::start(plan)?;
    let all = ["toledo-1", "toledo-2", "toledo-3"];
    for index in 0..3 {
        wait_alive(&fleet, index, &all)?;
    }
    links(&fleet).client().cut_links("toledo-1", "toledo-2")?;
    // Twice the time after which an unresponsive instance counts as dead.
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?.rate(30.0).seconds(6.0);
    let report = fleet.run_caller(CENTRE, &plan, WIDE_LIMIT)?;
    println!("{} offered, {} served, {:?}", report.offered, report.served, report.refused);
    ensure!(report.unknown + report.timed_out == 0, "{:?}", report.refused);
    ensure!(report.served * 100 >= report.offered * 99, "{:?}", report.refused);
    ensure_clean(&fleet.judge(&[report])?)?;
    for index in 0..3 {
        let dead = peers_in_states(&fleet.instances[index], &["alive", "suspect"])?;
        ensure!(dead == all, "{} sees {dead:?}", all[index]);
    }
    links(&fleet).client().heal_links("toledo-1", "toledo-2")?;
    for index in 0..3 {
        wait_alive(&fleet, index, &all)?;
    }
    Ok(())
}

/// Guards against feeds that stay open but never get items again. A backend server stops responding
/// to its open feeds, as if one end had lost track of the connections, while new feeds work.
#[test]
fn feeds_on_a_silent_connection_are_reopened() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let open_before = fleet.backends[0].stats()?.connections;
    ensure!(open_before > 0, "no feed is on the backend server");
    fleet.backends[0].order(&BackendOrder::MuteOld)?;
    wait_until_ok("silent feeds are open elsewhere", WIDE_LIMIT, || {
        let open = open_connections(&mut fleet, DESK.0)?;
        // The backend server still counts the silent connections until it drops them.
        let new = open - fleet.backends[0].stats()?.connections.min(open_before);
        ensure!(new >= FEEDS, "{new} of {FEEDS}");
        Ok(())
    })?;
    let report = stop_load(feeds)?;
    println!(
        "{open_before} silenced, {} reopened, longest silence {} ms",
        report.reopened_feeds, report.longest_silence_ms
    );
    ensure!(report.reopened_feeds >= u64::from(open_before), "{} reopened", report.reopened_feeds);
    ensure_clean(&fleet.judge(&[report])?)
}

/// Guards against feeds that miss items or end after a silence of some seconds. The fabric drops
/// all packets of about half the flows until their callers have polled without an answer; the lost
/// items must be requested again.
#[test]
fn feeds_recover_items_lost_during_a_silence() -> Result<()> {
    let mut fleet = LimitedFleet::start(plan_fleet(2, 2))?;
    let feeds = start_feeds(&mut fleet, CENTRE, FEEDS)?;
    let fabric = fleet.fabric(CENTRE)?.client.clone();
    let share = 0.5;
    let silence = SilenceSpec { share, ways: FaultWays::Both, key: SilenceKey::Flow };
    fabric.set_silence(silence)?;
    wait_until_ok("polls into the silence", WIDE_LIMIT, || {
        let silenced = fabric.report()?.packets.forward.silenced;
        ensure!(silenced >= u64::from(FEEDS), "{silenced}");
        Ok(())
    })?;
    fabric.clear()?;
    wait_heartbeats(&mut fleet, FEEDS)?;
    let report = stop_load(feeds)?;
    println!(
        "{} reopened, longest silence {} ms",
        report.reopened_feeds, report.longest_silence_ms
    );
    ensure!(report.longest_silence_ms > 1000, "nothing was silent");
    ensure_clean(&fleet.judge(&[report])?)
}
