//! Random faults and changes: the list that a member knows is the one that the store held at that
//! revision.

mod common;

use std::collections::BTreeMap;

use common::{StoreState, VirtualFleet, settle};
use foxledge_flows::{
    FleetList, ItemChange,
    rows::{
        EvacuationRow, ExtensionValue, LIMITS_KEY, RouteRow, RowValue, ServiceRow, backend_key,
        evacuation_key, is_config_key, route_key, service_key,
    },
};
use proptest::prelude::*;

const CENTRE_SIZES: [usize; 2] = [3, 2];
const MEMBERS: usize = 5;
/// Data centres that are evacuated and brought back; the last has no instances.
const CENTRES: [&str; 3] = ["centre-0", "centre-1", "nowhere"];
/// Number of routes that come and go; every two of them share an address.
const ROUTES: u32 = 8;
/// Number of backend servers that come and go; they have the numbers from 1.
const BACKENDS: u64 = 6;
/// Numbers of backend servers that stay. With them a snapshot takes more pages than respond to one
/// request.
const PERMANENT_BACKENDS: std::ops::Range<u64> = 100..250;
/// Number of items of a page of the store: a whole reading takes four or five.
const PAGE_ITEMS: usize = 40;
/// Work for each message, in microseconds: a snapshot takes some 50 ms, and lists change meanwhile.
const MESSAGE_COST_US: u64 = 2_000;
/// Interval between checks of what the members know, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 20;
/// Time after the last fault within which all members have the newest list, in milliseconds.
const CONVERGENCE_TIMEOUT_MS: u64 = 8_000;

#[derive(Clone, Debug)]
enum Step {
    Publish { routes: u8, first: u32 },
    Register { backend: u64, draining: bool, start: u64 },
    CorruptEntry { backend: u64 },
    Evacuate { centre: usize },
    EndEvacuation { centre: usize },
    Remove { backend: u64 },
    CompactHistory,
    Restore { revisions: u64 },
    ServeStaleReadings { revisions: u64 },
    TearReading { revisions: u64 },
    AgeLaterPages { revisions: u64 },
    Kill { member: usize },
    Start { member: usize },
    Pause { member: usize, duration_ms: u64 },
    CutLink { from: usize, to: usize },
    FailStore { member: usize, is_unresponsive: bool },
    LosePackets { percent: u32 },
    EndFaults,
    Run { duration_ms: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    let backend = 1..=BACKENDS;
    prop_oneof![
        6 => (any::<u8>(), 0..ROUTES)
            .prop_map(|(routes, first)| Step::Publish { routes, first }),
        4 => (backend.clone(), any::<bool>(), 1..4_u64)
            .prop_map(|(backend, draining, start)| Step::Register { backend, draining, start }),
        2 => backend.clone().prop_map(|backend| Step::CorruptEntry { backend }),
        4 => backend.prop_map(|backend| Step::Remove { backend }),
        3 => (0..CENTRES.len()).prop_map(|centre| Step::Evacuate { centre }),
        3 => (0..CENTRES.len()).prop_map(|centre| Step::EndEvacuation { centre }),
        2 => Just(Step::CompactHistory),
        2 => (0..12_u64).prop_map(|revisions| Step::Restore { revisions }),
        1 => (0..6_u64).prop_map(|revisions| Step::ServeStaleReadings { revisions }),
        2 => (1..8_u64).prop_map(|revisions| Step::TearReading { revisions }),
        2 => (0..8_u64).prop_map(|revisions| Step::AgeLaterPages { revisions }),
        3 => member.clone().prop_map(|member| Step::Kill { member }),
        3 => member.clone().prop_map(|member| Step::Start { member }),
        2 => (member.clone(), 100..6_000_u64)
            .prop_map(|(member, duration_ms)| Step::Pause { member, duration_ms }),
        3 => (member.clone(), member.clone()).prop_map(|(from, to)| Step::CutLink { from, to }),
        2 => (member, any::<bool>())
            .prop_map(|(member, is_unresponsive)| Step::FailStore { member, is_unresponsive }),
        1 => (0..60_u32).prop_map(|percent| Step::LosePackets { percent }),
        1 => Just(Step::EndFaults),
        8 => (1..900_u64).prop_map(|duration_ms| Step::Run { duration_ms }),
        8 => (1..40_u64).prop_map(|duration_ms| Step::Run { duration_ms }),
        1 => (3_000..9_000_u64).prop_map(|duration_ms| Step::Run { duration_ms }),
    ]
}

struct FaultRun {
    fleet: VirtualFleet,
    version: u64,
    /// Revision that each process of a member knew at the last check.
    checked_heads: [u64; MEMBERS],
    /// Number of changes of its list up to then.
    changes: [u64; MEMBERS],
    /// Version that each process of a member had in force.
    versions: [u64; MEMBERS],
}

impl FaultRun {
    fn new() -> FaultRun {
        let mut fleet = VirtualFleet::new(&CENTRE_SIZES, 1);
        for number in PERMANENT_BACKENDS {
            fleet.store.register(number, false);
        }
        let mut fleet = settle(fleet);
        fleet.message_cost_us = MESSAGE_COST_US;
        fleet.store.max_page_items = PAGE_ITEMS;
        FaultRun {
            fleet,
            version: 1,
            checked_heads: [0; MEMBERS],
            changes: [0; MEMBERS],
            versions: [0; MEMBERS],
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish { routes, first } => self.publish(routes, first),
            Step::Register { backend, draining, start } => {
                self.fleet.store.register_incarnation(backend, draining, start);
                self.fleet.answer_watches();
            }
            Step::CorruptEntry { backend } => {
                self.fleet.store.corrupt_entry(backend);
                self.fleet.answer_watches();
            }
            Step::Remove { backend } => {
                self.fleet.store.remove(backend);
                self.fleet.answer_watches();
            }
            Step::Evacuate { centre } => {
                self.fleet.store.evacuate(CENTRES[centre]);
                self.fleet.answer_watches();
            }
            Step::EndEvacuation { centre } => {
                self.fleet.store.end_evacuation(CENTRES[centre]);
                self.fleet.answer_watches();
            }
            Step::CompactHistory => self.fleet.store.compact(),
            Step::Restore { revisions } => {
                self.fleet.store.restore(revisions);
                self.fleet.answer_watches();
            }
            Step::ServeStaleReadings { revisions } => self.fleet.store.stale_revisions = revisions,
            Step::TearReading { revisions } => {
                self.fleet.store.torn_revisions = revisions;
            }
            Step::AgeLaterPages { revisions } => {
                self.fleet.store.aged_revisions = revisions;
            }
            Step::Kill { member } => self.kill(member),
            Step::Start { member } => {
                self.kill(member);
                self.fleet.start(member);
            }
            Step::Pause { member, duration_ms } => {
                self.fleet.instances[member].paused_until_us =
                    self.fleet.now_us + duration_ms * 1_000;
            }
            Step::CutLink { from, to } => {
                self.fleet.cut_links.insert((from, to));
            }
            Step::FailStore { member, is_unresponsive } => {
                let state =
                    if is_unresponsive { StoreState::Unresponsive } else { StoreState::Refusing };
                self.fleet.store_state.insert(member, state);
            }
            Step::LosePackets { percent } => self.fleet.loss_rate = f64::from(percent) / 100.0,
            Step::EndFaults => self.end_faults(),
            Step::Run { duration_ms } => self.run(duration_ms),
        }
        self.check();
    }

    fn publish(&mut self, routes: u8, first: u32) {
        self.version += 1;
        let listed = (0..ROUTES).map(|index| (index + first) % ROUTES);
        let routes = listed.filter(|index| routes & (1 << index) != 0).map(|index| RouteRow {
            name: format!("route-{index}"),
            port: index / 2,
            ..RouteRow::default()
        });
        let services = (0..2).filter(|index| first & (1 << index) != 0).map(|index| ServiceRow {
            name: format!("service-{index}"),
            warm_up_ms: 2_000,
            cold_flows_per_ks: self.version,
        });
        self.fleet.store.publish_config(self.version, routes.collect(), services.collect());
        self.fleet.answer_watches();
    }

    fn kill(&mut self, member: usize) {
        self.fleet.kill(member);
        (self.checked_heads[member], self.versions[member]) = (0, 0);
    }

    fn end_faults(&mut self) {
        self.fleet.cut_links.clear();
        self.fleet.store_state.clear();
        self.fleet.loss_rate = 0.0;
    }

    fn run(&mut self, duration_ms: u64) {
        let mut remaining_ms = duration_ms;
        while remaining_ms > 0 {
            let interval_ms = remaining_ms.min(CHECK_INTERVAL_MS);
            self.fleet.run(interval_ms);
            self.check();
            remaining_ms -= interval_ms;
        }
    }

    /// Compares what members newly know with what the store held at that revision.
    fn check(&mut self) {
        for (index, instance) in self.fleet.instances.iter().enumerate() {
            let Some(member) = &instance.member else { continue };
            let (head, version) = (member.list().head(), member.effective_version());
            let former_version = std::mem::replace(&mut self.versions[index], version);
            assert!(
                version >= former_version,
                "member {index}: version {version} after {former_version}"
            );
            assert!(
                head >= self.checked_heads[index],
                "member {index} went back to revision {head}"
            );
            let is_unchanged =
                (self.checked_heads[index], self.changes[index]) == (head, instance.row_changes);
            (self.checked_heads[index], self.changes[index]) = (head, instance.row_changes);
            // A list with rows past its head only guarantees the changes that come after it.
            if head == 0 || is_unchanged || member.list().is_uneven() {
                continue;
            }
            let items = self.fleet.store.history.get(&head).expect("the store had this revision");
            let differing = differences(&published_rows(items), &present_rows(member.list()));
            assert!(differing.is_empty(), "member {index} at revision {head}: {differing:#?}");
            for key in items.iter().filter_map(corrupted_key) {
                let is_allowed = allows_new_flows(member.list(), &key);
                assert!(!is_allowed, "member {index} at revision {head}: {key} may get new flows");
            }
        }
    }

    /// Ends all faults, and checks that all members come to know the newest list.
    fn finish(&mut self) {
        self.end_faults();
        for member in 0..MEMBERS {
            self.fleet.instances[member].paused_until_us = 0;
            if self.fleet.instances[member].member.is_none() {
                self.fleet.start(member);
            }
        }
        self.run(CONVERGENCE_TIMEOUT_MS);
        assert!(
            self.fleet.all_have_list(self.fleet.store.revision()),
            "not all members have the newest list"
        );
        self.publish(0b1010_1010, 1);
        self.run(CONVERGENCE_TIMEOUT_MS);
        let newest =
            self.fleet.store.history.values().next_back().expect("the store has a revision");
        let newest = config_rows(&published_rows(newest));
        for (index, member) in self.fleet.members().enumerate() {
            let rows = member.effective_rows();
            let rows = rows.iter().filter_map(|row| Some((row.key.clone(), row.value.clone()?)));
            let rows: BTreeMap<_, _> =
                rows.filter(|(_, value)| !matches!(value, RowValue::Removed(_))).collect();
            let differing = differences(&newest, &config_rows(&rows));
            assert!(
                differing.is_empty(),
                "member {index} has another list in force: {differing:#?}"
            );
        }
    }
}

/// Returns what the store holds, by the keys of a list's rows.
fn published_rows(items: &[ItemChange]) -> BTreeMap<String, RowValue> {
    let mut rows = BTreeMap::new();
    for item in items {
        match item {
            ItemChange::Config { config, .. } => {
                let mut counts: BTreeMap<u32, u32> = BTreeMap::new();
                for route in &config.routes {
                    let count = counts.entry(route.port).or_default();
                    let route = RouteRow { position: *count, ..route.clone() };
                    *count += 1;
                    rows.insert(route_key(&route.name), RowValue::Route(route));
                }
                for service in &config.services {
                    let value = ExtensionValue::Service(service.clone());
                    rows.insert(service_key(&service.name), RowValue::from_extension(&value));
                }
                rows.insert(LIMITS_KEY.to_owned(), RowValue::Limits(config.limits.clone()));
            }
            ItemChange::Backend { id, backend, .. } => {
                rows.insert(backend_key(id), RowValue::Backend(backend.clone()));
            }
            ItemChange::EvacuationBegun { data_centre, .. } => {
                let data_centre = data_centre.clone();
                let key = evacuation_key(&data_centre);
                let value = ExtensionValue::Evacuation(EvacuationRow { data_centre });
                rows.insert(key, RowValue::from_extension(&value));
            }
            ItemChange::EvacuationEnded { .. }
            | ItemChange::BackendRemoved { .. }
            | ItemChange::BackendInvalid { .. }
            | ItemChange::Malformed { .. } => {}
        }
    }
    rows
}

/// Returns the rows of the operators' list alone.
fn config_rows(rows: &BTreeMap<String, RowValue>) -> BTreeMap<String, RowValue> {
    let rows = rows.iter().filter(|(key, _)| is_config_key(key));
    rows.map(|(key, value)| (key.clone(), value.clone())).collect()
}

/// Returns the key of a backend server's entry that another writer has corrupted.
fn corrupted_key(item: &ItemChange) -> Option<String> {
    match item {
        ItemChange::BackendInvalid { id, .. } => Some(backend_key(id)),
        _ => None,
    }
}

/// Returns true if a list allows new flows to a backend server.
fn allows_new_flows(list: &FleetList, key: &str) -> bool {
    let row = list.rows().find(|row| row.key == key).and_then(|row| row.value.as_ref());
    match row {
        Some(RowValue::Removed(removed)) => {
            removed.backend.as_ref().is_some_and(|backend| !backend.draining)
        }
        Some(RowValue::Backend(_)) => true,
        _ => false,
    }
}

/// Returns the rows of a list, without removed ones.
fn present_rows(list: &FleetList) -> BTreeMap<String, RowValue> {
    let rows = list.rows().filter_map(|row| Some((row.key.clone(), row.value.clone()?)));
    rows.filter(|(_, value)| !matches!(value, RowValue::Removed(_))).collect()
}

fn differences(
    published: &BTreeMap<String, RowValue>,
    known: &BTreeMap<String, RowValue>,
) -> Vec<String> {
    let keys = published.keys().chain(known.keys().filter(|key| !published.contains_key(*key)));
    keys.filter(|key| published.get(*key) != known.get(*key))
        .map(|key| format!("{key}: {:?} published, {:?} known", published.get(key), known.get(key)))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    // A list is put together from responses of the store, heartbeats and snapshots. Whatever
    // changes, restarts, network partitions, losses, and failures, compactions or restores of the
    // store come in between, a member must hold exactly what the store held at the revision it
    // reports.
    #[test]
    fn known_list_matches_published_revision(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut run = FaultRun::new();
        for step in steps {
            run.apply(step);
        }
        run.finish();
    }
}

// The source of a snapshot restarts during the transfer. Rows that lie before the cursor in the new
// process would count as removed.
#[test]
fn snapshot_survives_restart_of_its_source() {
    let steps = [
        Step::Evacuate { centre: 1 },
        Step::Publish { routes: 0, first: 0 },
        Step::CompactHistory,
        Step::Run { duration_ms: 361 },
        Step::Publish { routes: 191, first: 1 },
        Step::Start { member: 4 },
        Step::Start { member: 0 },
        Step::Run { duration_ms: 7_357 },
        Step::Start { member: 0 },
        Step::EndEvacuation { centre: 0 },
        Step::LosePackets { percent: 26 },
        Step::Run { duration_ms: 741 },
        Step::Start { member: 2 },
        Step::Publish { routes: 4, first: 0 },
        Step::Run { duration_ms: 403 },
        Step::Publish { routes: 4, first: 0 },
        Step::Start { member: 1 },
        Step::Restore { revisions: 0 },
        Step::Run { duration_ms: 1 },
        Step::Publish { routes: 180, first: 0 },
        Step::Run { duration_ms: 415 },
        Step::Kill { member: 1 },
    ];
    let mut run = FaultRun::new();
    for step in steps {
        run.apply(step);
    }
    run.finish();
}
