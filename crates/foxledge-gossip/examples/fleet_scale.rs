//! What a large fleet costs by moment: calls of the store, bytes, times, in virtual time.
//!
//! `fleet_scale INSTANCES BACKENDS` prints one CSV line a moment.

use std::{collections::BTreeMap, env, fmt};

#[path = "../tests/common/mod.rs"]
mod common;

use common::VirtualFleet;

/// Data centres.
const CENTRES: usize = 6;
/// Work of an instance for each message, in microseconds, at an eighth of a core.
const MESSAGE_US: u64 = 200;
/// Time that the store's link of 1 Gbit/s takes for an item of 250 bytes, in nanoseconds.
const ITEM_NS: u64 = 2_000;
/// Time of each further page of a whole reading, in microseconds.
const PAGE_US: u64 = 4_000;
/// Routes without traffic.
const ROUTES: usize = 150;

/// `MomentMeter` compares a fleet before and after a moment.
struct MomentMeter {
    name: &'static str,
    start_us: u64,
    sent: Vec<u64>,
    far: u64,
    pages: BTreeMap<(&'static str, &'static str), u64>,
    kinds: BTreeMap<&'static str, u64>,
}

impl MomentMeter {
    fn new(fleet: &VirtualFleet, name: &'static str) -> MomentMeter {
        MomentMeter {
            name,
            start_us: fleet.now_us,
            sent: fleet.seats.iter().map(|seat| seat.sent_bytes).collect(),
            far: fleet.far_bytes,
            pages: fleet.store.pages.clone(),
            kinds: fleet.kinds.clone(),
        }
    }

    fn print(self, fleet: &VirtualFleet, took: Option<u64>) {
        let seconds = (fleet.now_us - self.start_us) as f64 / 1e6;
        let mut rates: Vec<_> = fleet
            .seats
            .iter()
            .zip(&self.sent)
            .map(|(seat, before)| (seat.sent_bytes - before) as f64 / seconds / 1e3)
            .collect();
        rates.sort_by(f64::total_cmp);
        println!(
            "{},{},{seconds:.1},{},{:.1},{:.1},{},{},{}",
            fleet.seats.len(),
            self.name,
            took.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            rates[rates.len() / 2],
            rates[rates.len() - 1],
            (fleet.far_bytes - self.far) / 1_000,
            grown(&fleet.store.pages, &self.pages),
            grown(&fleet.kinds, &self.kinds),
        );
    }
}

/// What counts have grown by, as text.
fn grown<K: Ord + fmt::Debug>(now: &BTreeMap<K, u64>, before: &BTreeMap<K, u64>) -> String {
    let growth = now.iter().map(|(word, count)| (word, count - before.get(word).unwrap_or(&0)));
    let texts =
        growth.filter(|(_, count)| *count > 0).map(|(word, count)| format!("{word:?}={count}"));
    texts.collect::<Vec<_>>().join(" ").replace([',', '"'], " ")
}

/// Publishes changes for some seconds, one each `gap_ms`.
fn change(fleet: &mut VirtualFleet, first: u64, count: u64, gap_ms: u64) {
    for number in 0..count {
        fleet.store.register(first + number, number % 3 == 0);
        fleet.store_changed();
        fleet.run(gap_ms);
    }
}

/// Drops the history after a second in which watches heard nothing of changes.
fn drop_history(fleet: &mut VirtualFleet, first: u64) {
    for number in 0..10 {
        fleet.store.register(first + number, false);
        fleet.run(100);
    }
    fleet.store.remove(first);
    fleet.store.compact();
    fleet.store_changed();
}

fn play(
    fleet: &mut VirtualFleet,
    name: &'static str,
    mut moment: impl FnMut(&mut VirtualFleet),
    most: u64,
    rest: u64,
) {
    let meter = MomentMeter::new(fleet, name);
    moment(fleet);
    let head = fleet.store.head;
    let took = fleet.run_until(most, |fleet| fleet.all_know(head));
    fleet.run(rest);
    meter.print(fleet, took);
}

fn main() {
    let size = |place: usize, usual: u64| {
        env::args().nth(place).and_then(|word| word.parse().ok()).unwrap_or(usual)
    };
    let (instances, backends) = (size(1, 584) as usize, size(2, 6_000));
    let mut fleet = VirtualFleet::new(&[instances / CENTRES; CENTRES], 1);
    (fleet.message_us, fleet.item_ns, fleet.store.is_brief) = (MESSAGE_US, ITEM_NS, true);
    fleet.page_us = PAGE_US;
    for seat in &mut fleet.seats {
        seat.link_mbps = 20;
    }
    for index in 0..CENTRES * 6 {
        let place = (index % CENTRES) * (instances / CENTRES) + index / CENTRES;
        fleet.seats[place].link_mbps = 200;
    }
    for number in 1..=backends {
        fleet.store.register(number, false);
    }
    fleet.store.publish(1, ROUTES);
    println!(
        "instances,moment,seconds,all know after ms,middle KB/s,busiest KB/s,far KB,calls,bytes by kind"
    );
    play(&mut fleet, "all start", VirtualFleet::start_all, 20_000, 2_000);
    play(&mut fleet, "quiet", |_| (), 0, 10_000);
    play(&mut fleet, "100 changes", |fleet| change(fleet, 1, 100, 50), 5_000, 2_000);
    play(&mut fleet, "history dropped", |fleet| drop_history(fleet, 100_000), 10_000, 3_000);
    play(
        &mut fleet,
        "dropped amid changes",
        |fleet| {
            for round in 0..3 {
                change(fleet, 200 + round * 40, 40, 50);
                drop_history(fleet, 200_000 + round * 100);
            }
        },
        10_000,
        3_000,
    );
    play(
        &mut fleet,
        "one in eighteen starts",
        |fleet| {
            for index in (0..fleet.seats.len()).step_by(18) {
                fleet.kill(index);
            }
            fleet.run(2_000);
            for index in (0..fleet.seats.len()).step_by(18) {
                fleet.start(index);
            }
            change(fleet, 1_000, 20, 50);
        },
        10_000,
        3_000,
    );
    play(
        &mut fleet,
        "store away 4.5 s",
        |fleet| {
            let all = 0..fleet.seats.len();
            fleet.store_state = all.map(|index| (index, common::StoreState::Refusing)).collect();
            fleet.store_changed();
            fleet.run(4_500);
            fleet.store_state.clear();
            fleet.store.publish(2, ROUTES);
            fleet.store_changed();
        },
        10_000,
        3_000,
    );
    play(
        &mut fleet,
        "a third turned away 9 s",
        |fleet| {
            let some = (0..fleet.seats.len()).step_by(3);
            fleet.store_state = some.map(|index| (index, common::StoreState::Refusing)).collect();
            let readers: Vec<_> = (0..fleet.seats.len())
                .filter(|index| {
                    fleet.seats[*index].member.as_ref().is_some_and(|one| one.is_reading())
                })
                .collect();
            fleet
                .store_state
                .extend(readers.into_iter().map(|index| (index, common::StoreState::Refusing)));
            fleet.store_changed();
            change(fleet, 2_000, 90, 100);
            fleet.store_state.clear();
        },
        10_000,
        3_000,
    );
}
