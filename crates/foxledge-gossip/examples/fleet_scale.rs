//! Cost of a large fleet in several scenarios, in virtual time: calls of the store, bytes and
//! delays.
//!
//! `fleet_scale INSTANCES BACKENDS` prints one CSV line per scenario; with a third argument only
//! the first scenario, a start while the list grows.

use std::{collections::BTreeMap, env, fmt};

#[path = "../tests/common/mod.rs"]
mod common;

use common::{StoreState, VirtualFleet};

/// Number of data centres.
const CENTRES: usize = 6;
/// Processing time of an instance for each message, in microseconds, at an eighth of a core.
const MESSAGE_COST_US: u64 = 200;
/// Time for which an item of 250 bytes occupies the store's link of 1 Gbit/s, in nanoseconds.
const STORE_ITEM_NS: u64 = 2_000;
/// Time for each further page of a full read, in microseconds.
const STORE_PAGE_US: u64 = 4_000;
/// Number of instances with wide links per data centre.
const WIDE_LINKS: usize = 6;
/// Number of backend servers that register together, and the time between two such batches, in
/// milliseconds.
const GROWTH_BATCH: u64 = 20;
const GROWTH_INTERVAL_MS: u64 = 20;
/// Number of routes; they carry no traffic.
const ROUTES: usize = 150;

/// Compares the counters of a fleet before and after a scenario.
struct ScenarioMeter {
    name: &'static str,
    start_us: u64,
    sent_bytes: Vec<u64>,
    remote_bytes: u64,
    page_counts: BTreeMap<(&'static str, &'static str), u64>,
    bytes_by_kind: BTreeMap<&'static str, u64>,
    remote_bytes_by_kind: BTreeMap<&'static str, u64>,
}

impl ScenarioMeter {
    fn new(fleet: &VirtualFleet, name: &'static str) -> ScenarioMeter {
        ScenarioMeter {
            name,
            start_us: fleet.now_us,
            sent_bytes: fleet.instances.iter().map(|instance| instance.sent_bytes).collect(),
            remote_bytes: fleet.remote_bytes,
            page_counts: fleet.store.page_counts.clone(),
            bytes_by_kind: fleet.bytes_by_kind.clone(),
            remote_bytes_by_kind: fleet.remote_bytes_by_kind.clone(),
        }
    }

    fn print(self, fleet: &VirtualFleet, elapsed_ms: Option<u64>) {
        let seconds = (fleet.now_us - self.start_us) as f64 / 1e6;
        let mut rates: Vec<_> = fleet
            .instances
            .iter()
            .zip(&self.sent_bytes)
            .map(|(instance, before)| (instance.sent_bytes - before) as f64 / seconds / 1e3)
            .collect();
        rates.sort_by(f64::total_cmp);
        println!(
            "{},{},{seconds:.1},{},{:.1},{:.1},{},{},{},{}",
            fleet.instances.len(),
            self.name,
            elapsed_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            rates[rates.len() / 2],
            rates[rates.len() - 1],
            (fleet.remote_bytes - self.remote_bytes) / 1_000,
            format_growth(&fleet.store.page_counts, &self.page_counts),
            format_growth(&fleet.bytes_by_kind, &self.bytes_by_kind),
            format_growth(&fleet.remote_bytes_by_kind, &self.remote_bytes_by_kind),
        );
    }
}

/// Formats the growth of counters.
fn format_growth<K: Ord + fmt::Debug>(now: &BTreeMap<K, u64>, before: &BTreeMap<K, u64>) -> String {
    let growth = now.iter().map(|(key, count)| (key, count - before.get(key).unwrap_or(&0)));
    let texts =
        growth.filter(|(_, count)| *count > 0).map(|(key, count)| format!("{key:?}={count}"));
    texts.collect::<Vec<_>>().join(" ").replace([',', '"'], " ")
}

/// Publishes `count` changes, one each `gap_ms`.
fn publish_changes(fleet: &mut VirtualFleet, first: u64, count: u64, gap_ms: u64) {
    for number in 0..count {
        fleet.store.register(first + number, number % 3 == 0);
        fleet.answer_watches();
        fleet.run(gap_ms);
    }
}

/// Compacts the history after a second in which watches received no changes.
fn drop_history(fleet: &mut VirtualFleet, first: u64) {
    for number in 0..10 {
        fleet.store.register(first + number, false);
        fleet.run(100);
    }
    fleet.store.remove(first);
    fleet.store.compact();
    fleet.answer_watches();
}

fn run_scenario(
    fleet: &mut VirtualFleet,
    name: &'static str,
    mut scenario: impl FnMut(&mut VirtualFleet),
    max_millis: u64,
    settle_millis: u64,
) {
    let meter = ScenarioMeter::new(fleet, name);
    scenario(fleet);
    let head = fleet.store.head;
    let elapsed_ms = fleet.run_until(max_millis, |fleet| fleet.all_have_list(head));
    fleet.run(settle_millis);
    meter.print(fleet, elapsed_ms);
}

/// Lets the store refuse the selected instances and all current readers.
fn refuse_calls(fleet: &mut VirtualFleet, is_selected: impl Fn(usize) -> bool) {
    let is_reader = |instance: &common::VirtualInstance| {
        instance.member.as_ref().is_some_and(|member| member.is_reading_store())
    };
    let instances = fleet.instances.iter().enumerate();
    let selected = instances.filter(|(index, instance)| is_selected(*index) || is_reader(instance));
    fleet.store_state = selected.map(|(index, _)| (index, StoreState::Refusing)).collect();
    fleet.answer_watches();
}

/// Returns a fleet that hasn't been started, with wide links for six instances per data centre.
fn new_fleet(instances: usize) -> VirtualFleet {
    let in_centre = (instances / CENTRES).max(WIDE_LINKS);
    let mut fleet = VirtualFleet::new(&[in_centre; CENTRES], 1);
    (fleet.message_cost_us, fleet.store_item_ns, fleet.store_page_us) =
        (MESSAGE_COST_US, STORE_ITEM_NS, STORE_PAGE_US);
    fleet.store.is_history_disabled = true;
    for (index, instance) in fleet.instances.iter_mut().enumerate() {
        instance.link_mbps = if index % in_centre < WIDE_LINKS { 200 } else { 20 };
    }
    fleet.store.publish(1, ROUTES);
    fleet
}

/// Simulates a fleet that starts before its backend servers do.
fn run_growth(instances: usize, backends: u64) {
    let mut fleet = new_fleet(instances);
    let grow = |fleet: &mut VirtualFleet| {
        fleet.start_all();
        fleet.run(300);
        for number in 1..=backends {
            fleet.store.register(number, false);
            if number % GROWTH_BATCH == 0 {
                fleet.answer_watches();
                fleet.run(GROWTH_INTERVAL_MS);
            }
        }
        fleet.answer_watches();
    };
    run_scenario(&mut fleet, "starts while the list grows", grow, 20_000, 2_000);
}

/// Simulates a fleet that starts on a published list, and several faults.
fn run_scenarios(instances: usize, backends: u64) {
    let mut fleet = new_fleet(instances);
    for number in 1..=backends {
        fleet.store.register(number, false);
    }
    let fleet = &mut fleet;
    run_scenario(fleet, "all start", VirtualFleet::start_all, 20_000, 2_000);
    run_scenario(fleet, "quiet", |_| (), 0, 10_000);
    run_scenario(fleet, "100 changes", |fleet| publish_changes(fleet, 1, 100, 50), 5_000, 2_000);
    run_scenario(fleet, "history dropped", |fleet| drop_history(fleet, 100_000), 10_000, 3_000);
    let amid_changes = |fleet: &mut VirtualFleet| {
        for round in 0..3 {
            publish_changes(fleet, 200 + round * 40, 40, 50);
            drop_history(fleet, 200_000 + round * 100);
        }
    };
    run_scenario(fleet, "dropped amid changes", amid_changes, 10_000, 3_000);
    let restart = |fleet: &mut VirtualFleet| {
        let selected = (0..fleet.instances.len()).step_by(18);
        selected.clone().for_each(|index| fleet.kill(index));
        fleet.run(2_000);
        selected.for_each(|index| fleet.start(index));
        publish_changes(fleet, 1_000, 20, 50);
    };
    run_scenario(fleet, "one in eighteen starts", restart, 10_000, 3_000);
    let outage = |fleet: &mut VirtualFleet| {
        refuse_calls(fleet, |_| true);
        fleet.run(4_500);
        fleet.store_state.clear();
        fleet.store.publish(2, ROUTES);
        fleet.answer_watches();
    };
    run_scenario(fleet, "store away 4.5 s", outage, 10_000, 3_000);
    let partial_outage = |fleet: &mut VirtualFleet| {
        refuse_calls(fleet, |index| index % 3 == 0);
        publish_changes(fleet, 2_000, 90, 100);
        fleet.store_state.clear();
    };
    run_scenario(fleet, "a third turned away 9 s", partial_outage, 10_000, 3_000);
    let lose_power = |fleet: &mut VirtualFleet| {
        let selected = (0..fleet.instances.len()).filter(|index| index % 20 < 11);
        selected.clone().for_each(|index| fleet.kill(index));
        fleet.run(2_000);
        selected.for_each(|index| fleet.start(index));
    };
    run_scenario(fleet, "55% lose power", lose_power, 20_000, 3_000);
}

fn main() {
    let size = |index: usize, default: u64| {
        env::args().nth(index).and_then(|word| word.parse().ok()).unwrap_or(default)
    };
    let (instances, backends) = (size(1, 584) as usize, size(2, 6_000));
    println!(
        "instances,moment,seconds,all know after ms,middle KB/s,busiest KB/s,far KB,calls,\
         bytes by kind,far bytes by kind"
    );
    run_growth(instances, backends);
    if env::args().nth(3).is_none() {
        run_scenarios(instances, backends);
    }
}
