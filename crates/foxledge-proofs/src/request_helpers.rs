//! Helpers for tests of single requests and their answers.

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

/// The time between two transmissions of a packet that gets no response.
pub const SEND_PERIOD: Duration = Duration::from_millis(200);
/// The data centre of fleets that have only one.
pub const CENTRE: &str = "toledo";
/// The name and address of the service for bids.
pub const DESK: (&str, &str) = ("auction-desk", "auction.lakeshore");
/// The name and address of another service, for uploads.
pub const INTAKE: (&str, &str) = ("lot-intake", "lots.lakeshore");
/// The member to which callers belong.
pub const MEMBER: &str = "bricks-and-co";
/// The generous limit for anything that takes seconds at most.
pub const WIDE_LIMIT: Duration = Duration::from_secs(40);

/// Returns the plan of a fleet of one data centre with both services: `targets` backend servers
/// for bids and one for uploads.
pub fn plan_fleet(instances: usize, targets: usize) -> FleetPlan {
    FleetPlan::new()
        .centre(CENTRE, instances)
        .service(DESK.0, DESK.1, ServiceSize::targets(targets))
        .service(INTAKE.0, INTAKE.1, ServiceSize::targets(1))
        .member(MemberPlan::open(MEMBER))
        .member(MemberPlan::open("harbor-sets"))
}

/// Settings with tickets that are valid for a whole test, fast failure detection, and a longer
/// acknowledgement timeout for backend servers on a busy machine.
pub const FAST_DETECTION_SETTINGS: &str = "[flow]\nticket_ms = 20000\n[stop]\nlimit_ms = 30000\n\
                         [peers]\nheartbeat_ms = 150\nsuspect_after_ms = 600\ndead_after_ms = 1200\n\
                         [desk]\nack_ms = 1500\n";
/// The factor of service times with which a run outlasts its home.
pub const LONG_RUN_FACTOR: f64 = 500.0;

/// Whether non-idempotent work runs only through the home that issued its ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOnce {
    /// Enabled, as in production.
    On,
    /// Disabled, to show that the fault occurs without it.
    Off,
}

impl RunOnce {
    /// Returns the settings in `more` with this one appended.
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

/// Starts a fleet and waits until all instances see each other alive.
///
/// Until then two instances may both be the home of a service, and a test that kills the home could
/// kill the wrong one.
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

/// Makes the first fabric send packets to these instances only, whether they are listed or not.
pub fn set_fabric_instances(fleet: &TestFleet, indexes: &[usize]) -> anyhow::Result<()> {
    let addresses = indexes.iter().map(|index| fleet.instances[*index].listen.data);
    fleet.fabrics[0].client.set_instances(addresses.collect())
}

/// Returns the published keys of a fleet.
pub fn published_keys(fleet: &TestFleet) -> KeyRing {
    let keys =
        fleet.list.keys.iter().map(|key| KeySpec { id: key.id, secret: decode_hex(&key.secret) });
    KeyRing::from_keys(&keys.collect::<Vec<_>>())
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digit = |start| u8::from_str_radix(&hex[start..start + 2], 16).expect("keys are hex");
    (0..hex.len()).step_by(2).map(digit).collect()
}

/// Opens a ticket with the published keys and returns its contents.
pub fn read_ticket(fleet: &TestFleet, ticket: &[u8]) -> anyhow::Result<Ticket> {
    open_ticket(&published_keys(fleet), ticket).context("a ticket under a published key")
}

/// Returns the index of the instance that issued a ticket.
pub fn ticket_home(fleet: &TestFleet, ticket: &[u8]) -> anyhow::Result<usize> {
    let home = read_ticket(fleet, ticket)?.home;
    let mut instances = fleet.instances.iter();
    instances.position(|instance| instance.name == home).context("the ticket's home")
}

/// Returns the indexes of the running instances other than `index`.
pub fn other_running(fleet: &mut TestFleet, index: usize) -> Vec<usize> {
    let mut instances = fleet.instances.iter_mut().enumerate();
    let running = instances.by_ref().filter_map(|(other, instance)| {
        (other != index && instance.process.is_running()).then_some(other)
    });
    running.collect()
}

/// A caller's first bid, with its ticket.
pub struct PreparedBid {
    /// The caller.
    pub caller: ManualCaller,
    /// The opening packet, which hasn't been sent.
    pub bid: Packet,
    /// Index of the instance that issued the ticket.
    pub home: usize,
}

/// Obtains a ticket and creates a bid with it; `number` determines the caller's ids.
pub fn prepare_bid(fleet: &TestFleet, number: u64) -> anyhow::Result<PreparedBid> {
    let mut caller = ManualCaller::new(fleet, DESK, number)?;
    let ticket = caller.obtain_ticket()?;
    let home = ticket_home(fleet, &ticket)?;
    let bid = caller.next_request(&ticket);
    Ok(PreparedBid { caller, bid, home })
}

/// Sends a running bid again after its home is lost, and returns the number of its runs.
///
/// If `run_once` is off, the bid must run a second time; otherwise the caller must be told that the
/// outcome is unknown. Marker bids then go through `instances`.
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
            let outcome = caller.resend_until_final(bid)?;
            let expected = RequestOutcome::Unknown(RefusalReason::HomeLost);
            ensure!(outcome == expected, "told {outcome:?} of a bid whose home is lost");
        }
    }
    scale_service_time(fleet, 1.0)?;
    complete_marker(fleet, instances, 1)?;
    count_runs(fleet, caller.request_id(bid.request))
}

/// Returns the number of runs of a request on all backend servers.
pub fn count_runs(fleet: &mut TestFleet, id: RequestId) -> anyhow::Result<u32> {
    let stats = fleet.backend_stats()?;
    let records = stats.iter().flat_map(|stat| &stat.runs).filter(|record| record.id == id);
    Ok(records.map(|record| record.runs).sum())
}

/// Waits until a request has the given number of runs.
pub fn wait_runs(fleet: &mut TestFleet, id: RequestId, runs: u32) -> anyhow::Result<()> {
    wait_until(&format!("{runs} runs"), WIDE_LIMIT, || {
        count_runs(fleet, id).is_ok_and(|count| count >= runs)
    })
}

/// Sends a packet repeatedly until its request has the given number of runs.
pub fn resend_until_runs(
    fleet: &mut TestFleet,
    caller: &ManualCaller,
    packet: &Packet,
    runs: u32,
) -> anyhow::Result<()> {
    let mut outcomes = Vec::new();
    wait_until_ok("copies that run", WIDE_LIMIT, || {
        caller.send(packet)?;
        outcomes.extend(caller.receive_final(packet.request, SEND_PERIOD));
        outcomes.dedup();
        let count = count_runs(fleet, caller.request_id(packet.request))?;
        ensure!(
            count >= runs,
            "{count} runs of {runs}, told {outcomes:?}, {}",
            describe_loads(fleet)?
        );
        Ok(())
    })
}

/// Describes the load of every backend server for error messages.
fn describe_loads(fleet: &mut TestFleet) -> anyhow::Result<String> {
    let stats = fleet.backend_stats()?;
    let loads = stats.iter().map(|stat| {
        let (busy, queued, copies) = (stat.busy_slots, stat.queued, stat.copies);
        let refused = &stat.refused;
        format!("{}: busy {busy}, queued {queued}, copies {copies}, refused {refused:?}", stat.name)
    });
    Ok(loads.collect::<Vec<_>>().join("; "))
}

/// Kills an instance and restarts it with the same name, addresses and settings.
pub fn restart_instance(fleet: &mut TestFleet, index: usize) -> anyhow::Result<()> {
    let directory = fleet.directory().to_owned();
    let instance = &mut fleet.instances[index];
    instance.process.kill()?;
    let arguments = ["--config".to_owned(), instance.settings_path.display().to_string()];
    instance.process = TestProcess::start(&instance.name, "foxledged", &arguments, &directory)?;
    instance.wait_ready(WIDE_LIMIT)
}

/// Waits until an instance's view of the fleet contains `count` instances, including itself. Dead
/// instances aren't part of the view.
pub fn wait_peer_count(fleet: &TestFleet, index: usize, count: u32) -> anyhow::Result<()> {
    let instance = &fleet.instances[index];
    wait_until(&format!("{} sees {count} instances", instance.name), WIDE_LIMIT, || {
        instance.metric("foxledge_peers", "").is_ok_and(|peer_count| peer_count == f64::from(count))
    })
}

/// Waits until a list of at least the given revision is in force at these instances.
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

/// Sends a bid through each of these instances in turn and waits for its answer, so that earlier
/// packets have been processed.
pub fn complete_marker(fleet: &TestFleet, indexes: &[usize], number: u64) -> anyhow::Result<()> {
    for index in indexes {
        set_fabric_instances(fleet, &[*index])?;
        let mut caller = ManualCaller::new(fleet, DESK, 0x8000 + number * 16 + *index as u64)?;
        let ticket = caller.obtain_ticket()?;
        let bid = caller.next_request(&ticket);
        let outcome = caller.complete_request(&bid, DESK.0)?;
        ensure!(outcome == RequestOutcome::Answered, "the marker was told {outcome:?}");
    }
    Ok(())
}
