//! Helpers for tests of feeds, rule lists and planned stops.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{
        FleetPlan, ServiceSize, TestCaller, TestFleet, TestInstance, actions::sum_metric, http,
        wait_until, wait_until_ok,
    },
    publish::MemberPlan,
    report::{LoadReport, RequestId, Verdict},
};
use foxledge_wire::control::{AuditRequest, StatusRequest, admin_client::AdminClient};
use serde_json::Value;

use crate::request_helpers::{CENTRE, DESK, INTAKE, MEMBER, WIDE_LIMIT};

/// The second data centre of fleets that have two.
pub const OTHER_CENTRE: &str = "erie";
/// The duration of loads that tests stop earlier, in seconds.
const LOAD_DURATION_S: f64 = 120.0;
/// The time between two checks of the instances' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of audit entries that are read.
const AUDIT_LIMIT: u32 = 1000;

/// Returns the plan of a fleet of two data centres with both services, whose links can be cut.
pub fn plan_two_centres(instances: usize, targets: usize) -> FleetPlan {
    FleetPlan::new()
        .centre(CENTRE, instances)
        .centre(OTHER_CENTRE, instances)
        .service(DESK.0, DESK.1, ServiceSize::targets(targets))
        .service(INTAKE.0, INTAKE.1, ServiceSize::targets(1))
        .member(MemberPlan::open(MEMBER))
        .member(MemberPlan::open("harbor-sets"))
        .link_mode(foxledge_fakes::harness::LinkMode::Routed)
}

/// Starts feeds that last until they are stopped, and waits until all of them are open.
pub fn start_feeds(fleet: &mut TestFleet, centre: &str, feeds: u32) -> anyhow::Result<TestCaller> {
    let before = open_connections(fleet, DESK.0)?;
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Feed)?;
    let plan =
        plan.name(&format!("feeds-{centre}")).rate(0.0).feeds(feeds).seconds(LOAD_DURATION_S);
    let plan = plan.seed(centre_seed(centre));
    let caller = fleet.start_caller(centre, &plan)?;
    wait_until_ok("feeds are open", WIDE_LIMIT, || {
        let open = open_connections(fleet, DESK.0)? - before;
        ensure!(open >= feeds, "{open} of {feeds}");
        Ok(())
    })?;
    Ok(caller)
}

/// Starts bids that arrive until they are stopped.
pub fn start_bids(fleet: &TestFleet, centre: &str, rate: f64) -> anyhow::Result<TestCaller> {
    let plan = fleet.plan_caller(DESK.0, MEMBER, TrafficKind::Bid)?;
    let plan = plan.name(&format!("bids-{centre}")).rate(rate).seconds(LOAD_DURATION_S);
    let plan = plan.seed(centre_seed(centre));
    fleet.start_caller(centre, &plan)
}

/// Starts uploads that arrive until they are stopped.
pub fn start_uploads(fleet: &TestFleet, centre: &str, rate: f64) -> anyhow::Result<TestCaller> {
    let plan = fleet.plan_caller(INTAKE.0, MEMBER, TrafficKind::Upload)?;
    let plan = plan.name(&format!("uploads-{centre}")).rate(rate).seconds(LOAD_DURATION_S);
    let plan = plan.seed(centre_seed(centre));
    fleet.start_caller(centre, &plan)
}

/// Returns a seed for each data centre, so that loads in both have different flow ids.
fn centre_seed(centre: &str) -> u64 {
    if centre == CENTRE { 1 } else { 2 }
}

/// Stops a load and reads its report.
pub fn stop_load(caller: TestCaller) -> anyhow::Result<LoadReport> {
    caller.stop(WIDE_LIMIT)
}

/// Returns the number of open connections at the backend servers of a service.
pub fn open_connections(fleet: &mut TestFleet, service: &str) -> anyhow::Result<u32> {
    let stats = fleet.backend_stats()?;
    Ok(stats.iter().filter(|stat| stat.service == service).map(|stat| stat.connections).sum())
}

/// Returns the number of runs that all backend servers have started.
pub fn total_runs(fleet: &mut TestFleet) -> anyhow::Result<u64> {
    Ok(fleet.backend_stats()?.iter().map(|stat| stat.total_runs).sum())
}

/// Waits until `more` further runs have started.
pub fn wait_more_runs(fleet: &mut TestFleet, more: u64) -> anyhow::Result<()> {
    let goal = total_runs(fleet)? + more;
    wait_until_ok("more requests run", WIDE_LIMIT, || {
        let runs = total_runs(fleet)?;
        ensure!(runs >= goal, "{runs} of {goal}");
        Ok(())
    })
}

/// Fails if the verdict contains a violation of a promise.
pub fn ensure_clean(verdict: &Verdict) -> anyhow::Result<()> {
    let some = |ids: &[RequestId]| format!("{}, such as {:?}", ids.len(), ids.first());
    ensure!(
        verdict.is_clean(),
        "doubled {}; false not run {}; lost {}; broken {}, wrong service {}, crossed {}, \
         unrecorded {}",
        some(&verdict.doubled),
        some(&verdict.false_not_run),
        some(&verdict.lost),
        verdict.broken,
        verdict.wrong_service,
        verdict.crossed,
        verdict.unrecorded_runs
    );
    Ok(())
}

/// Returns the revision of the list in force at an instance, or 0 if there is none.
pub fn current_revision(admin: SocketAddr) -> anyhow::Result<u64> {
    let text = http::get(admin, "/metrics")?.body;
    Ok(sum_metric(&text, "foxledge_list_revision", "") as u64)
}

/// Waits until a revision is in force at every listed instance, and returns the time until then.
pub fn wait_revision(
    fleet: &TestFleet,
    revision: u64,
    limit: Duration,
) -> anyhow::Result<Duration> {
    let started = Instant::now();
    for instance in fleet.instances.iter().filter(|instance| instance.listed.is_some()) {
        wait_instance_revision(instance, revision, limit)?;
    }
    Ok(started.elapsed())
}

/// Waits until a revision is in force at one instance.
pub fn wait_instance_revision(
    instance: &TestInstance,
    revision: u64,
    limit: Duration,
) -> anyhow::Result<()> {
    wait_until_ok(&format!("revision {revision} at {}", instance.name), limit, || {
        let current = current_revision(instance.listen.admin)?;
        ensure!(current == revision, "revision {current}");
        Ok(())
    })
}

/// Waits until an instance has counted an event.
pub fn wait_event(instance: &TestInstance, event: &str) -> anyhow::Result<()> {
    let label = format!("event=\"{event}\"");
    wait_until(&format!("{event} at {}", instance.name), WIDE_LIMIT, || {
        instance.metric("foxledge_engine_events_total", &label).is_ok_and(|count| count > 0.0)
    })
}

/// Returns the sum of an event's counts over all listed instances.
pub fn sum_event(fleet: &mut TestFleet, event: &str) -> f64 {
    let label = format!("event=\"{event}\"");
    let running = fleet.instances.iter_mut().filter(|instance| instance.listed.is_some());
    running
        .filter_map(|instance| instance.metric("foxledge_engine_events_total", &label).ok())
        .sum()
}

/// Waits until `feeds` feeds have polled about twice each from now on.
pub fn wait_heartbeats(fleet: &mut TestFleet, feeds: u32) -> anyhow::Result<()> {
    let goal = sum_event(fleet, "by_token") + 2.0 * f64::from(feeds);
    wait_until_ok("heartbeats of the feeds", WIDE_LIMIT, || {
        let polls = sum_event(fleet, "by_token");
        ensure!(polls >= goal, "{polls} of {goal}");
        Ok(())
    })
}

/// Reads the revisions in force repeatedly, and records each step back to an older revision.
pub struct RevisionMonitor {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<String>>,
}

impl RevisionMonitor {
    /// Starts to monitor all instances that exist now.
    pub fn start(fleet: &TestFleet) -> RevisionMonitor {
        let watched: Vec<_> = fleet
            .instances
            .iter()
            .map(|instance| (instance.name.clone(), instance.listen.admin))
            .collect();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let thread_stop = is_stopped.clone();
        let thread = thread::spawn(move || monitor_revisions(&watched, &thread_stop));
        RevisionMonitor { is_stopped, thread }
    }

    /// Stops the monitor and returns the observed steps back.
    pub fn finish(self) -> anyhow::Result<Vec<String>> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| anyhow::anyhow!("the revision monitor panicked"))
    }
}

fn monitor_revisions(watched: &[(String, SocketAddr)], is_stopped: &AtomicBool) -> Vec<String> {
    let mut newest = vec![0; watched.len()];
    let mut steps_back = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        for (index, (name, admin)) in watched.iter().enumerate() {
            // An instance that has ended or is frozen doesn't respond.
            let Ok(revision) = current_revision(*admin) else { continue };
            if revision < newest[index] {
                steps_back.push(format!("{name}: {} to {revision}", newest[index]));
            }
            newest[index] = revision;
        }
        thread::sleep(POLL_INTERVAL);
    }
    steps_back
}

/// Reads the audit trail of an instance.
pub fn read_audit(instance: &TestInstance) -> anyhow::Result<Vec<Value>> {
    let address = instance.listen.control;
    let text = call_admin(async move {
        let mut client = AdminClient::connect(format!("http://{address}")).await?;
        let request = AuditRequest { after: 0, limit: AUDIT_LIMIT };
        anyhow::Ok(client.audit(request).await?.into_inner().json)
    })?;
    serde_json::from_str(&text).context("audit trail")
}

/// Reads the entries of one kind in the audit trail of an instance.
pub fn audit_entries(instance: &TestInstance, kind: &str) -> anyhow::Result<Vec<Value>> {
    let entries = read_audit(instance)?;
    Ok(entries.into_iter().filter(|entry| entry["kind"] == kind).collect())
}

/// Waits until an entry of the given kind contains `text` in its cause, new value or subject, and
/// returns the entry.
pub fn wait_audit(instance: &TestInstance, kind: &str, text: &str) -> anyhow::Result<Value> {
    let description = format!("{kind} with \"{text}\" in the audit trail of {}", instance.name);
    wait_until_ok(&description, WIDE_LIMIT, || {
        let entries = audit_entries(instance, kind)?;
        let contains_text = |entry: &&Value| {
            ["cause", "new", "subject"]
                .iter()
                .any(|key| entry[*key].as_str().is_some_and(|value| value.contains(text)))
        };
        let entry = entries.iter().find(contains_text).cloned();
        entry.with_context(|| format!("{entries:?}"))
    })
}

/// Reads the status report of an instance.
pub fn read_status(instance: &TestInstance) -> anyhow::Result<Value> {
    let address = instance.listen.control;
    let text = call_admin(async move {
        let mut client = AdminClient::connect(format!("http://{address}")).await?;
        anyhow::Ok(client.status(StatusRequest {}).await?.into_inner().json)
    })?;
    serde_json::from_str(&text).context("status")
}

/// Returns the names of the peers that are in one of `states` in an instance's view.
pub fn peers_in_states(instance: &TestInstance, states: &[&str]) -> anyhow::Result<Vec<String>> {
    let status = read_status(instance)?;
    let peers = status["view"]["peers"].as_array().cloned().unwrap_or_default();
    let is_wanted =
        |peer: &&Value| peer["state"].as_str().is_some_and(|state| states.contains(&state));
    let names = peers.iter().filter(is_wanted).filter_map(|peer| peer["name"].as_str());
    Ok(names.map(str::to_owned).collect())
}

/// Waits until an instance sees exactly these peers alive, including itself.
pub fn wait_alive(fleet: &TestFleet, index: usize, expected: &[&str]) -> anyhow::Result<()> {
    let instance = &fleet.instances[index];
    wait_until_ok(&format!("peers of {}", instance.name), WIDE_LIMIT, || {
        let seen = peers_in_states(instance, &["alive"])?;
        ensure!(seen == expected, "{seen:?}");
        Ok(())
    })
}

/// Returns the data centres that an instance takes for reachable.
pub fn reachable_centres(instance: &TestInstance) -> anyhow::Result<Vec<String>> {
    let status = read_status(instance)?;
    let centres = status["view"]["reachable_centres"].as_array().cloned().unwrap_or_default();
    Ok(centres.iter().filter_map(|centre| centre.as_str().map(str::to_owned)).collect())
}

fn call_admin<T>(request: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async { tokio::time::timeout(Duration::from_secs(5), request).await? })
}
