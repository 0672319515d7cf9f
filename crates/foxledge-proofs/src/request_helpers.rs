//! Helpers for proofs about single requests and their answers.

use std::time::Duration;

use anyhow::{Context, ensure};
use foxledge_core::lists::KeySpec;
use foxledge_fakes::{
    backend::BackendOrder,
    harness::{FleetPlan, ServiceSize, TestFleet, TestProcess, wait_until, wait_until_ok},
    publish::MemberPlan,
    report::RequestId,
};
use foxledge_seal::{KeyRing, seals::open_ticket};
use foxledge_wire::flow::{Packet, RefusalReason, Ticket};

use crate::fleet_limit::LimitedFleet;
pub use crate::manual_caller::{ManualCaller, RequestOutcome};

/// Time between two sendings of a packet that finds no answer.
pub const SEND_PERIOD: Duration = Duration::from_millis(200);
/// The data centre of fleets that have one.
pub const CENTRE: &str = "toledo";
/// The service that bids go to, and its address.
pub const DESK: (&str, &str) = ("auction-desk", "auction.lakeshore");
/// Another service, and its address.
pub const INTAKE: (&str, &str) = ("lot-intake", "lots.lakeshore");
/// The member that callers belong to.
pub const MEMBER: &str = "bricks-and-co";
/// Wide limit for anything that takes seconds at most.
pub const WIDE_LIMIT: Duration = Duration::from_secs(40);

/// A fleet of one data centre with both services, `targets` backend servers each.
pub fn plan_fleet(instances: usize, targets: usize) -> FleetPlan {
    FleetPlan::new()
        .centre(CENTRE, instances)
        .service(DESK.0, DESK.1, ServiceSize::targets(targets))
        .service(INTAKE.0, INTAKE.1, ServiceSize::targets(1))
        .member(MemberPlan::open(MEMBER))
        .member(MemberPlan::open("harbor-sets"))
}

/// Settings of tickets that outlast a test, membership that finds out quickly, and patience with
/// backend servers on a busy machine.
pub const FAST_DETECTION_SETTINGS: &str = "[flow]\nticket_ms = 20000\n[stop]\nlimit_ms = 30000\n\
                         [peers]\nheartbeat_ms = 150\nsuspect_after_ms = 600\ndead_after_ms = 1200\n\
                         [desk]\nack_ms = 1500\n";
/// Factor of service times so long that a run is still going when its home dies.
pub const LONG_RUN_FACTOR: f64 = 500.0;

/// `RunOnce` is whether non-idempotent work runs through its ticket's home only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOnce {
    /// As it is served.
    On,
    /// Only to show that the fault is there.
    Off,
}

impl RunOnce {
    /// Settings with the switch after `more`.
    pub fn settings(self, more: &str) -> String {
        format!("{more}[trial]\nrun_once = {}\n", self == RunOnce::On)
    }
}

/// Multiplies the service time of every running backend server.
pub fn scale_service_time(fleet: &mut TestFleet, factor: f64) -> anyhow::Result<()> {
    let running = fleet.backends.iter_mut().filter_map(|backend| {
        let is_running = backend.process.is_running();
        is_running.then_some(&*backend)
    });
    running
        .into_iter()
        .try_for_each(|backend| backend.order(&BackendOrder::Slow { factor }).map(drop))
}

/// Starts a fleet whose instances all hold each other for alive.
///
/// Before that two instances may both be the home of a service, and a test that kills "the" home
/// kills the wrong one.
pub fn start_fleet(plan: FleetPlan) -> anyhow::Result<LimitedFleet> {
    let fleet = LimitedFleet::start(plan)?;
    let count = fleet.instances.len() as f64;
    for instance in &fleet.instances {
        wait_until(&format!("{} sees all alive", instance.name), WIDE_LIMIT, || {
            let alive = instance.metric("foxledge_peers", "state=\"alive\"");
            alive.is_ok_and(|alive| alive == count)
        })?;
    }
    Ok(fleet)
}

/// Lets the first fabric spray over these instances only, listed or not.
pub fn set_fabric_instances(fleet: &TestFleet, indexes: &[usize]) -> anyhow::Result<()> {
    let addresses = indexes.iter().map(|index| fleet.instances[*index].listen.data);
    fleet.fabrics[0].client.set_instances(addresses.collect())
}

/// The published keys of a fleet.
pub fn published_keys(fleet: &TestFleet) -> KeyRing {
    let keys =
        fleet.list.keys.iter().map(|key| KeySpec { id: key.id, secret: decode_hex(&key.secret) });
    KeyRing::from_keys(&keys.collect::<Vec<_>>())
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digit = |start| u8::from_str_radix(&hex[start..start + 2], 16).expect("keys are hex");
    (0..hex.len()).step_by(2).map(digit).collect()
}

/// What a ticket says.
pub fn read_ticket(fleet: &TestFleet, ticket: &[u8]) -> anyhow::Result<Ticket> {
    open_ticket(&published_keys(fleet), ticket).context("a ticket under a published key")
}

/// Index of the instance that issued a ticket.
pub fn ticket_home(fleet: &TestFleet, ticket: &[u8]) -> anyhow::Result<usize> {
    let home = read_ticket(fleet, ticket)?.home;
    let mut instances = fleet.instances.iter();
    instances.position(|instance| instance.name == home).context("the ticket's home")
}

/// Indexes of the running instances but `index`.
pub fn other_running(fleet: &mut TestFleet, index: usize) -> Vec<usize> {
    let mut instances = fleet.instances.iter_mut().enumerate();
    let running = instances.by_ref().filter_map(|(other, instance)| {
        (other != index && instance.process.is_running()).then_some(other)
    });
    running.collect()
}

/// `PreparedBid` is a caller's first bid, by ticket.
pub struct PreparedBid {
    /// The caller.
    pub caller: ManualCaller,
    /// The opening packet, not sent yet.
    pub bid: Packet,
    /// Index of the instance that issued the ticket.
    pub home: usize,
}

/// Gets a ticket and makes the bid that is to be sent by it; `number` sets the caller's ids.
pub fn prepare_bid(fleet: &TestFleet, number: u64) -> anyhow::Result<PreparedBid> {
    let mut caller = ManualCaller::new(fleet, DESK, number)?;
    let ticket = caller.obtain_ticket()?;
    let home = ticket_home(fleet, &ticket)?;
    let bid = caller.next_request(&ticket);
    Ok(PreparedBid { caller, bid, home })
}

/// Sends copies of a bid that runs and whose home is lost; returns the runs.
///
/// Without the mechanism a copy must run a second time. With it the caller must hear that nobody
/// knows. The markers go through these instances.
pub fn count_after_retransmission(
    run_once: RunOnce,
    fleet: &mut TestFleet,
    caller: &ManualCaller,
    bid: &Packet,
    instances: &[usize],
) -> anyhow::Result<u32> {
    match run_once {
        RunOnce::Off => resend_until_runs(fleet, caller, bid, 2)?,
        RunOnce::On => {
            let word = caller.resend_until_final(bid)?;
            let expected = RequestOutcome::Unknown(RefusalReason::HomeLost);
            ensure!(word == expected, "told {word:?} of a bid whose home is lost");
        }
    }
    scale_service_time(fleet, 1.0)?;
    complete_marker(fleet, instances, 1)?;
    count_runs(fleet, caller.request_id(bid.request))
}

/// How often a request was started, on all backend servers.
pub fn count_runs(fleet: &mut TestFleet, id: RequestId) -> anyhow::Result<u32> {
    let stats = fleet.backend_stats()?;
    let records = stats.iter().flat_map(|stat| &stat.runs).filter(|record| record.id == id);
    Ok(records.map(|record| record.runs).sum())
}

/// Waits until a request was started so often.
pub fn wait_runs(fleet: &mut TestFleet, id: RequestId, runs: u32) -> anyhow::Result<()> {
    wait_until(&format!("{runs} runs"), WIDE_LIMIT, || {
        count_runs(fleet, id).is_ok_and(|count| count >= runs)
    })
}

/// Sends a packet again and again until its request was started so often.
pub fn resend_until_runs(
    fleet: &mut TestFleet,
    caller: &ManualCaller,
    packet: &Packet,
    runs: u32,
) -> anyhow::Result<()> {
    let mut words = Vec::new();
    wait_until_ok("copies that run", WIDE_LIMIT, || {
        caller.send(packet)?;
        words.extend(caller.receive_final(packet.request, SEND_PERIOD));
        words.dedup();
        let count = count_runs(fleet, caller.request_id(packet.request))?;
        ensure!(
            count >= runs,
            "{count} runs of {runs}, told {words:?}, {}",
            describe_loads(fleet)?
        );
        Ok(())
    })
}

/// What every backend server has at hand, for messages.
fn describe_loads(fleet: &mut TestFleet) -> anyhow::Result<String> {
    let stats = fleet.backend_stats()?;
    let loads = stats.iter().map(|stat| {
        let (busy, queued, copies) = (stat.busy_slots, stat.queued, stat.copies);
        let refused = &stat.refused;
        format!("{}: busy {busy}, queued {queued}, copies {copies}, refused {refused:?}", stat.name)
    });
    Ok(loads.collect::<Vec<_>>().join("; "))
}

/// Kills an instance and starts it anew under the same name, addresses and settings.
pub fn restart_instance(fleet: &mut TestFleet, index: usize) -> anyhow::Result<()> {
    let directory = fleet.directory().to_owned();
    let instance = &mut fleet.instances[index];
    instance.process.kill()?;
    let arguments = ["--config".to_owned(), instance.settings_path.display().to_string()];
    instance.process = TestProcess::start(&instance.name, "foxledged", &arguments, &directory)?;
    instance.wait_ready(WIDE_LIMIT)
}

/// Waits until an instance holds so many instances for living, itself included.
pub fn wait_alive_count(fleet: &TestFleet, index: usize, count: u32) -> anyhow::Result<()> {
    let instance = &fleet.instances[index];
    wait_until(&format!("{} sees {count} living", instance.name), WIDE_LIMIT, || {
        instance.metric("foxledge_peers", "").is_ok_and(|living| living == f64::from(count))
    })
}

/// Waits until these instances have a list of at least this revision in force.
pub fn wait_revision(fleet: &TestFleet, indexes: &[usize], revision: u64) -> anyhow::Result<()> {
    for index in indexes {
        let instance = &fleet.instances[*index];
        wait_until(&format!("{} at revision {revision}", instance.name), WIDE_LIMIT, || {
            let metric = instance.metric("foxledge_list_revision", "");
            metric.is_ok_and(|metric| metric >= revision as f64)
        })?;
    }
    Ok(())
}

/// Makes sure that what was sent before has been worked off: a bid that is sent later, through
/// each of these instances in turn, is answered.
pub fn complete_marker(fleet: &TestFleet, indexes: &[usize], number: u64) -> anyhow::Result<()> {
    for index in indexes {
        set_fabric_instances(fleet, &[*index])?;
        let mut caller = ManualCaller::new(fleet, DESK, 0x8000 + number * 16 + *index as u64)?;
        let ticket = caller.obtain_ticket()?;
        let bid = caller.next_request(&ticket);
        let word = caller.complete_request(&bid, DESK.0)?;
        ensure!(word == RequestOutcome::Answered, "the marker was told {word:?}");
    }
    Ok(())
}
