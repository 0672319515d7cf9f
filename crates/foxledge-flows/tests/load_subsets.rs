//! Instances divide the backend servers among them while slots are scarce.
//!
//! The load: 19 instances in front of 30 backend servers of two slots, nine of which take five
//! times as long. Each instance sees a nineteenth of the requests; by its own count of them, a slow
//! backend server looks like the others.

mod common;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use common::{load::*, *};
use foxledge_core::names::CentreName;
use foxledge_flows::{FlowKey, FlowPacket, FlowRouter, PacketKind, RouterOptions, rows::ListRow};
use xxhash_rust::xxh3::xxh3_64;

const INSTANCES: usize = 19;
const SERVERS: u64 = 30;
const SLOTS: usize = 2;
/// Backend servers with higher numbers are slow.
const LAST_FAST_BACKEND: u64 = 21;
const USUAL_WORK_MS: u64 = 50;
const SLOW_WORK_MS: u64 = 250;
/// Time, in milliseconds, until instances know the backend servers that they use.
const WARM_UP_MS: u64 = 5_000;
/// Time, in milliseconds, from a load to the view that shows it.
const VIEW_DELAY_MS: u64 = 150;

fn address(instance: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, instance as u8), 7_000)
}

/// Creates an instance that knows the others, in front of `servers`.
fn instance(index: usize, others: usize, server_rows: &[ListRow]) -> FlowRouter {
    let options = RouterOptions::new(CentreName::new(LOCAL_CENTRE))
        .address(address(index))
        .seed(index as u64)
        .overflow(true);
    let mut router = fill_router(FlowRouter::new(options), server_rows);
    let others = (0..others).filter(|other| *other != index).map(address);
    router.set_neighbours(clock_at(0), others.collect());
    router
}

fn server_rows(count: u64) -> Vec<ListRow> {
    let spec = |number: u64| {
        let mut spec = backend_spec(number, "desk", LOCAL_CENTRE);
        spec.ip = 0x0a80_0000 + number as u32;
        spec
    };
    (1..=count).map(|number| backend_row(spec(number), 2)).collect()
}

fn apply_load(router: &mut FlowRouter, now: u64, per_s: f64, running: f64) {
    let loads = [(LOCAL_CENTRE, caller_load(&[(1, per_s)], &[(LOCAL_CENTRE, running)]))];
    router.set_confirmed_at(clock_at(now));
    router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), &loads)));
}

/// When a request ends, the number of its backend server, its instance, its flow and its start.
type RequestEnd = (u64, u64, usize, FlowKey, u64);

/// Results of a run.
struct FleetTally {
    /// Requests of each backend server, by number.
    served: Vec<u64>,
    /// Times from requests to answers, in milliseconds, sorted.
    answer_times_ms: Vec<u64>,
}

impl FleetTally {
    fn mean_served(&self, numbers: std::ops::RangeInclusive<u64>) -> f64 {
        let count = numbers.clone().count() as f64;
        numbers.map(|number| self.served[number as usize]).sum::<u64>() as f64 / count
    }
}

/// Runs `per_s` requests a second for some seconds, each at a random instance. Instances get load
/// views when `has_views`.
fn run_fleet(per_s: u64, seconds: u64, has_views: bool) -> FleetTally {
    let rows = server_rows(SERVERS);
    let mut routers: Vec<_> = (0..INSTANCES).map(|one| instance(one, INSTANCES, &rows)).collect();
    let mut queues: HashMap<u64, VecDeque<(usize, FlowKey, u64)>> = HashMap::new();
    let mut ends: BinaryHeap<Reverse<RequestEnd>> = BinaryHeap::new();
    let mut running = VecDeque::from([0_u64]);
    let mut tally =
        FleetTally { served: vec![0; SERVERS as usize + 1], answer_times_ms: Vec::new() };
    let mut request_count = 0_u64;
    for now in 0..seconds * 1_000 {
        while let Some(Reverse((end, number, instance, key, started_at))) = ends.peek().copied() {
            if end > now {
                break;
            }
            ends.pop();
            let finish = FlowPacket {
                acknowledged: 900,
                ..flow_packet(key, PacketKind::Finish, number as u32)
            };
            routers[instance].on_packet(clock_at(now), &finish);
            if started_at >= WARM_UP_MS {
                tally.answer_times_ms.push(now - started_at);
            }
            let queue = queues.entry(number).or_default();
            queue.pop_front();
            // The next request in the queue begins.
            if let Some((instance, key, started_at)) = queue.get(SLOTS - 1).copied() {
                ends.push(Reverse((now + work_ms(number), number, instance, key, started_at)));
            }
        }
        while request_count * 1_000 < now * per_s {
            request_count += 1;
            let draw = xxh3_64(&request_count.to_be_bytes());
            let instance = draw as usize % INSTANCES;
            let caller = Ipv4Addr::new(100, 64, (draw >> 8) as u8, (draw >> 16) as u8);
            let mut key = flow_key(1, 1);
            key.caller = SocketAddrV4::new(caller, 1_024 + (request_count % 60_000) as u16);
            let number = open_flow(&mut routers[instance], now, key).expect("the flow is placed");
            routers[instance].on_packet(clock_at(now), &data_packet(key, number as u32, 1, 1));
            tally.served[number as usize] += u64::from(now >= WARM_UP_MS);
            let queue = queues.entry(number).or_default();
            queue.push_back((instance, key, now));
            if queue.len() <= SLOTS {
                ends.push(Reverse((now + work_ms(number), number, instance, key, now)));
            }
        }
        if now % 50 == 0 {
            running.push_back(queues.values().map(|queue| queue.len() as u64).sum());
            if running.len() as u64 > VIEW_DELAY_MS / 50 {
                running.pop_front();
            }
            for router in &mut routers {
                router.report_overdue_openings(clock_at(now));
                if has_views {
                    apply_load(router, now, per_s as f64, running[0] as f64);
                }
            }
        }
    }
    tally.answer_times_ms.sort_unstable();
    tally
}

fn work_ms(number: u64) -> u64 {
    if number > LAST_FAST_BACKEND { SLOW_WORK_MS } else { USUAL_WORK_MS }
}

/// Runs the fleet at eight tenths of what the slots can serve, with load views and without.
fn slow_fleets() -> [FleetTally; 2] {
    [true, false].map(|has_views| run_fleet(730, 20, has_views))
}

// Guards against a slow backend server that gets as many requests as any other, or none for seconds
// and then some from each instance at once.
#[test]
fn slow_gets_fifth() {
    let [with_views, _] = slow_fleets();
    let share = with_views.mean_served(22..=30) / with_views.mean_served(1..=21);
    println!("share {share:.3}");
    assert!((0.15..0.28).contains(&share), "{share:.3}");
}

// Guards against requests that wait at slow backend servers as long as without load views.
#[test]
fn load_views_shorten_waits_at_slow_backends() {
    let p99_ms = |tally: &FleetTally| tally.answer_times_ms[tally.answer_times_ms.len() * 99 / 100];
    let [with_views, without_views] = slow_fleets().map(|tally| p99_ms(&tally));
    println!("with views: p99 {with_views} ms, without: p99 {without_views} ms");
    assert!(with_views < 600 && with_views < without_views / 2, "{with_views} ms");
}

// Guards against a backend server that no instance prefers, and against one that all prefer.
#[test]
fn two_instances_prefer_each_backend() {
    let rows = server_rows(SERVERS);
    let mut counts_by_backend: HashMap<usize, usize> = HashMap::new();
    for index in 0..INSTANCES {
        let mut router = instance(index, INSTANCES, &rows);
        apply_load(&mut router, 50, 700.0, 40.0);
        let explanation = router.explain(clock_at(50), &flow_key(1, 1), 0);
        // An instance with an empty subset examines all backend servers.
        let preferred = explanation.candidates.iter().filter(|one| !one.is_outside_subset);
        preferred.for_each(|one| *counts_by_backend.entry(one.index).or_default() += 1);
    }
    assert_eq!(counts_by_backend.len() as u64, SERVERS);
    assert!(counts_by_backend.values().all(|count| *count == 2), "{counts_by_backend:?}");
}

// Guards against instances that use only their subsets though nothing waits anywhere.
#[test]
fn all_backends_are_used_without_scarcity() {
    let mut router = instance(0, INSTANCES, &server_rows(SERVERS));
    apply_load(&mut router, 50, 500.0, 29.0);
    assert_eq!(router.explain(clock_at(50), &flow_key(1, 1), 0).candidates.len() as u64, SERVERS);
    apply_load(&mut router, 100, 500.0, 31.0);
    assert!((router.explain(clock_at(100), &flow_key(1, 1), 0).candidates.len() as u64) < SERVERS);
    // Nor does an expired view limit the candidates.
    assert_eq!(
        router.explain(clock_at(2_200), &flow_key(1, 1), 0).candidates.len() as u64,
        SERVERS
    );
}

// Guards against flows to draining backend servers of the subset, and against flows that wait there
// while other backend servers are idle.
#[test]
fn uses_backends_beyond_a_busy_subset() {
    let rows = server_rows(SERVERS);
    let mut router = instance(0, INSTANCES, &rows);
    apply_load(&mut router, 50, 700.0, 40.0);
    let subset = router.explain(clock_at(50), &flow_key(1, 1), 0).candidates.len();
    assert!((1..10).contains(&subset), "{subset}");
    let mut counts: HashMap<u64, u32> = HashMap::new();
    for port in 0..60 {
        let key = flow_key(1, 1_000 + port);
        let number = open_flow(&mut router, 50, key).expect("the flow is placed");
        router.on_packet(clock_at(58), &data_packet(key, number as u32, 1, 1));
        *counts.entry(number).or_default() += 1;
    }
    // At most one more request per slot than elsewhere.
    assert_eq!(counts.len() as u64, SERVERS);
    assert!(counts.values().all(|count| *count <= 4), "{counts:?}");

    let mut router = instance(0, INSTANCES, &rows);
    apply_load(&mut router, 50, 700.0, 40.0);
    let candidates = router.explain(clock_at(50), &flow_key(1, 1), 0).candidates;
    let numbers: Vec<_> =
        candidates.iter().filter_map(|one| Some(router.backend(one.index)?.number)).collect();
    let draining_rows = rows.iter().zip(1..).filter(|(_, number)| numbers.contains(number));
    let draining_rows: Vec<_> = draining_rows.map(|(row, _)| draining_row(row, 9)).collect();
    router.apply_rows(clock_at(60), &draining_rows);
    let number = open_flow(&mut router, 70, flow_key(1, 1)).expect("the flow is placed");
    assert!(!numbers.contains(&number));
}

// Guards against a subset that still counts instances and backend servers that are gone.
#[test]
fn subset_follows_list_and_instance_changes() {
    let rows = server_rows(SERVERS);
    let mut router = instance(0, 9, &rows[..20]);
    apply_load(&mut router, 50, 700.0, 40.0);
    // Ten more instances and ten more backend servers join, then four instances leave.
    router.apply_rows(clock_at(60), &rows[20..]);
    router.set_neighbours(clock_at(60), (1..INSTANCES).map(address).collect());
    apply_load(&mut router, 100, 700.0, 40.0);
    router.set_neighbours(clock_at(110), (5..INSTANCES).map(address).collect());
    apply_load(&mut router, 150, 700.0, 40.0);
    let mut new_router = instance(0, INSTANCES, &rows);
    new_router.set_neighbours(clock_at(110), (5..INSTANCES).map(address).collect());
    apply_load(&mut new_router, 150, 700.0, 40.0);
    let preferred_of = |router: &mut FlowRouter| {
        let candidates = router.explain(clock_at(150), &flow_key(1, 1), 0).candidates;
        let preferred = candidates.iter().filter(|one| !one.is_outside_subset);
        let mut numbers: Vec<_> =
            preferred.filter_map(|one| Some(router.backend(one.index)?.number)).collect();
        numbers.sort_unstable();
        numbers
    };
    assert_eq!(preferred_of(&mut router), preferred_of(&mut new_router));
}

// Guards against comparing each opening of a burst with all of a long list.
#[test]
fn examines_few_backends_of_a_long_list() {
    let rows = server_rows(4_800);
    for instances in [1, 6, INSTANCES] {
        let mut router = instance(0, instances, &rows);
        for (running, maximum) in [(6_000.0, 64), (12_000.0, 64), (40_000.0, 64)] {
            apply_load(&mut router, 50, 100_000.0, running);
            let mut examined = 0;
            for port in 0..2_000 {
                let key = flow_key(1, 1_000 + port);
                examined = examined.max(router.explain(clock_at(50), &key, 0).candidates.len());
                let number = open_flow(&mut router, 50, key).expect("the flow is placed");
                router.on_packet(clock_at(51), &data_packet(key, number as u32, 1, 1));
            }
            assert!(examined <= 2 * maximum, "{examined} of 4,800 at {running}");
        }
    }
}
