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

const COUNTS: [usize; 2] = [3, 2];
const MEMBERS: usize = 5;
/// Data centres that are evacuated and brought back; the last has no instances.
const CENTRES: [&str; 3] = ["centre-0", "centre-1", "nowhere"];
/// Number of routes that come and go; every two of them share an address.
const ROUTES: u32 = 8;
/// Number of backend servers that come and go; they have the numbers from 1.
const BACKENDS: u64 = 6;
/// Numbers of backend servers that stay. With them a snapshot takes more pages than respond to one
/// request.
const LASTING: std::ops::Range<u64> = 100..250;
/// Work for each message, in microseconds: a snapshot takes some 50 ms, and lists change meanwhile.
const MESSAGE_US: u64 = 2_000;
/// Interval between checks of what the members know, in milliseconds.
const LOOK_MS: u64 = 20;
/// Time after the last fault within which all members have the newest list, in milliseconds.
const HEALED_MS: u64 = 8_000;

#[derive(Clone, Debug)]
enum Step {
    Publish { routes: u8, first: u32 },
    Register { backend: u64, draining: bool, start: u64 },
    Spoil { backend: u64 },
    Evacuate { centre: usize },
    TakeBack { centre: usize },
    Remove { backend: u64 },
    DropHistory,
    Restore { revisions: u64 },
    AgeReadings { revisions: u64 },
    TearReading { revisions: u64 },
    Kill { member: usize },
    Start { member: usize },
    Pause { member: usize, millis: u64 },
    Cut { from: usize, to: usize },
    StoreFails { member: usize, is_silent: bool },
    Lose { percent: u32 },
    Heal,
    Run { millis: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    let backend = 1..=BACKENDS;
    prop_oneof![
        6 => (any::<u8>(), 0..ROUTES)
            .prop_map(|(routes, first)| Step::Publish { routes, first }),
        4 => (backend.clone(), any::<bool>(), 1..4_u64)
            .prop_map(|(backend, draining, start)| Step::Register { backend, draining, start }),
        2 => backend.clone().prop_map(|backend| Step::Spoil { backend }),
        4 => backend.prop_map(|backend| Step::Remove { backend }),
        3 => (0..CENTRES.len()).prop_map(|centre| Step::Evacuate { centre }),
        3 => (0..CENTRES.len()).prop_map(|centre| Step::TakeBack { centre }),
        2 => Just(Step::DropHistory),
        2 => (0..12_u64).prop_map(|revisions| Step::Restore { revisions }),
        1 => (0..6_u64).prop_map(|revisions| Step::AgeReadings { revisions }),
        2 => (1..8_u64).prop_map(|revisions| Step::TearReading { revisions }),
        3 => member.clone().prop_map(|member| Step::Kill { member }),
        3 => member.clone().prop_map(|member| Step::Start { member }),
        2 => (member.clone(), 100..6_000_u64)
            .prop_map(|(member, millis)| Step::Pause { member, millis }),
        3 => (member.clone(), member.clone()).prop_map(|(from, to)| Step::Cut { from, to }),
        2 => (member, any::<bool>())
            .prop_map(|(member, is_silent)| Step::StoreFails { member, is_silent }),
        1 => (0..60_u32).prop_map(|percent| Step::Lose { percent }),
        1 => Just(Step::Heal),
        8 => (1..900_u64).prop_map(|millis| Step::Run { millis }),
        8 => (1..40_u64).prop_map(|millis| Step::Run { millis }),
        1 => (3_000..9_000_u64).prop_map(|millis| Step::Run { millis }),
    ]
}

struct Run {
    fleet: VirtualFleet,
    version: u64,
    /// Revision that each process of a member knew at the last check.
    heads: [u64; MEMBERS],
    /// Number of changes of its list up to then.
    changes: [u64; MEMBERS],
    /// Version that each process of a member had in force.
    versions: [u64; MEMBERS],
}

impl Run {
    fn new() -> Run {
        let mut fleet = VirtualFleet::new(&COUNTS, 1);
        for number in LASTING {
            fleet.store.register(number, false);
        }
        let mut fleet = settle(fleet);
        fleet.message_cost_us = MESSAGE_US;
        Run {
            fleet,
            version: 1,
            heads: [0; MEMBERS],
            changes: [0; MEMBERS],
            versions: [0; MEMBERS],
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Publish { routes, first } => self.publish(routes, first),
            Step::Register { backend, draining, start } => {
                self.fleet.store.register_incarnation(backend, draining, start);
                self.fleet.answer_watches();
            }
            Step::Spoil { backend } => {
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
            Step::TakeBack { centre } => {
                self.fleet.store.end_evacuation(CENTRES[centre]);
                self.fleet.answer_watches();
            }
            Step::DropHistory => self.fleet.store.compact(),
            Step::Restore { revisions } => {
                self.fleet.store.restore(revisions);
                self.fleet.answer_watches();
            }
            Step::AgeReadings { revisions } => self.fleet.store.stale_revisions = revisions,
            Step::TearReading { revisions } => self.fleet.store.torn_revisions = revisions,
            Step::Kill { member } => self.kill(member),
            Step::Start { member } => {
                self.kill(member);
                self.fleet.start(member);
            }
            Step::Pause { member, millis } => {
                self.fleet.instances[member].paused_until_us = self.fleet.now_us + millis * 1_000;
            }
            Step::Cut { from, to } => {
                self.fleet.cut_links.insert((from, to));
            }
            Step::StoreFails { member, is_silent } => {
                let state = if is_silent { StoreState::Unresponsive } else { StoreState::Refusing };
                self.fleet.store_state.insert(member, state);
            }
            Step::Lose { percent } => self.fleet.loss_rate = f64::from(percent) / 100.0,
            Step::Heal => self.heal(),
            Step::Run { millis } => self.run(millis),
        }
        self.look();
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
        (self.heads[member], self.versions[member]) = (0, 0);
    }

    fn heal(&mut self) {
        self.fleet.cut_links.clear();
        self.fleet.store_state.clear();
        self.fleet.loss_rate = 0.0;
    }

    fn run(&mut self, millis: u64) {
        let mut left = millis;
        while left > 0 {
            let part = left.min(LOOK_MS);
            self.fleet.run(part);
            self.look();
            left -= part;
        }
    }

    /// Compares what members newly know with what the store held at that revision.
    fn look(&mut self) {
        for (index, seat) in self.fleet.instances.iter().enumerate() {
            let Some(member) = &seat.member else { continue };
            let (head, version) = (member.list().head(), member.effective_version());
            let former = std::mem::replace(&mut self.versions[index], version);
            assert!(version >= former, "member {index}: version {version} after {former}");
            assert!(head >= self.heads[index], "member {index} went back to {head}");
            let is_known = (self.heads[index], self.changes[index]) == (head, seat.row_changes);
            (self.heads[index], self.changes[index]) = (head, seat.row_changes);
            // A list with rows past its head only guarantees the changes that come after it.
            if head == 0 || is_known || member.list().has_rows_past_head() {
                continue;
            }
            let items = self.fleet.store.history.get(&head).expect("was a revision");
            let held = differences(&published(items), &known(member.list()));
            assert!(held.is_empty(), "member {index} at revision {head}: {held:#?}");
            for key in items.iter().filter_map(spoiled_key) {
                let grace = grace_of(member.list(), &key);
                assert!(!grace, "member {index} at revision {head}: {key} may get new flows");
            }
        }
    }

    /// Ends all faults, and checks that all members come to know the newest list.
    fn finish(&mut self) {
        self.heal();
        for member in 0..MEMBERS {
            self.fleet.instances[member].paused_until_us = 0;
            if self.fleet.instances[member].member.is_none() {
                self.fleet.start(member);
            }
        }
        self.run(HEALED_MS);
        assert!(
            self.fleet.all_have_list(self.fleet.store.revision()),
            "some don't know the newest list"
        );
        self.publish(0b1010_1010, 1);
        self.run(HEALED_MS);
        let newest = self.fleet.store.history.values().next_back().expect("was published");
        let newest = of_config(&published(newest));
        for (index, member) in self.fleet.members().enumerate() {
            let rows = member.effective_rows();
            let rows = rows.iter().filter_map(|row| Some((row.key.clone(), row.value.clone()?)));
            let rows: BTreeMap<_, _> =
                rows.filter(|(_, value)| !matches!(value, RowValue::Removed(_))).collect();
            let held = differences(&newest, &of_config(&rows));
            assert!(held.is_empty(), "member {index} has another list in force: {held:#?}");
        }
    }
}

/// Returns what the store holds, by the keys of a list's rows.
fn published(items: &[ItemChange]) -> BTreeMap<String, RowValue> {
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
fn of_config(rows: &BTreeMap<String, RowValue>) -> BTreeMap<String, RowValue> {
    let rows = rows.iter().filter(|(key, _)| is_config_key(key));
    rows.map(|(key, value)| (key.clone(), value.clone())).collect()
}

/// Returns the key of a backend server's entry that another writer has corrupted.
fn spoiled_key(item: &ItemChange) -> Option<String> {
    match item {
        ItemChange::BackendInvalid { id, .. } => Some(backend_key(id)),
        _ => None,
    }
}

/// Returns true if a list allows new flows to a backend server.
fn grace_of(list: &FleetList, key: &str) -> bool {
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
fn known(list: &FleetList) -> BTreeMap<String, RowValue> {
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
    fn known_is_published(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut run = Run::new();
        for step in steps {
            run.take(step);
        }
        run.finish();
    }
}

// The source of a snapshot restarts during the transfer. Rows that lie before the cursor in the new
// process would count as removed.
#[test]
fn giver_starts_during_copy() {
    let steps = [
        Step::Evacuate { centre: 1 },
        Step::Publish { routes: 0, first: 0 },
        Step::DropHistory,
        Step::Run { millis: 361 },
        Step::Publish { routes: 191, first: 1 },
        Step::Start { member: 4 },
        Step::Start { member: 0 },
        Step::Run { millis: 7_357 },
        Step::Start { member: 0 },
        Step::TakeBack { centre: 0 },
        Step::Lose { percent: 26 },
        Step::Run { millis: 741 },
        Step::Start { member: 2 },
        Step::Publish { routes: 4, first: 0 },
        Step::Run { millis: 403 },
        Step::Publish { routes: 4, first: 0 },
        Step::Start { member: 1 },
        Step::Restore { revisions: 0 },
        Step::Run { millis: 1 },
        Step::Publish { routes: 180, first: 0 },
        Step::Run { millis: 415 },
        Step::Kill { member: 1 },
    ];
    let mut run = Run::new();
    for step in steps {
        run.take(step);
    }
    run.finish();
}
