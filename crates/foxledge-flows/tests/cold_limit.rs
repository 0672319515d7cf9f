//! Limits on the new flows that cold backend servers get from all instances together.
//!
//! The load: a data centre comes back with all its backend servers cold while its callers wait, or
//! after its evacuation has ended.

mod common;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use common::*;
use foxledge_core::names::CentreName;
use foxledge_flows::{
    ColdRules, DropReason, FlowDecision, FlowRouter, RefuseReason, RouterOptions,
    rows::{ListRow, RowValue},
};
use proptest::prelude::*;

/// New flows per second that a cold backend server can serve.
const FLOWS_PER_S: u64 = 10;
/// Maximum that the rules allow: the published limit, half more, and five.
const LIMIT: usize = 20;
const RULES: ColdRules = ColdRules { overrun_permille: 1_500, slack_per_ks: 5_000 };

fn address(instance: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, (instance / 250) as u8, (instance % 250) as u8), 7_000)
}

fn cold_backend_row(number: u64, centre: &str, warm_in_ms: u32, revision: u64) -> ListRow {
    let mut spec = backend_spec(number, "desk", centre);
    spec.warm_in_ms = warm_in_ms;
    backend_row(spec, revision)
}

fn instance(index: usize) -> FlowRouter {
    let options = RouterOptions::new(CentreName::new(LOCAL_CENTRE));
    let mut router = FlowRouter::new(options.address(address(index)).cold_rules(RULES));
    let rows = [
        limits_row(1, 1),
        route_row("r", 443, "desk", 1),
        service_row("desk", 9_000, FLOWS_PER_S, 1),
    ];
    router.apply_rows(clock_at(0), &rows);
    router.set_confirmed_at(clock_at(0));
    router
}

/// Creates the instances of one data centre, each with its own view of the others.
fn fleet(views: &[Vec<usize>]) -> Vec<FlowRouter> {
    let with_view = |(index, view): (usize, &Vec<usize>)| {
        let mut router = instance(index);
        router.set_neighbours(clock_at(0), view.iter().map(|other| address(*other)).collect());
        router
    };
    views.iter().enumerate().map(with_view).collect()
}

fn complete_views(count: usize) -> Vec<Vec<usize>> {
    (0..count).map(|own| (0..count).filter(|other| *other != own).collect()).collect()
}

/// Returns the times of the flows that each backend server got when `per_s` new flows a second come
/// to `routers` in turn, from `from` to `until`.
fn send_flows(
    routers: &mut [FlowRouter],
    per_s: u64,
    (from, until): (u64, u64),
) -> BTreeMap<u64, Vec<u64>> {
    let mut received: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let count = per_s * (until - from) / 1_000;
    for flow in 0..count {
        let now = from + flow * 1_000 / per_s;
        let index = (flow * 7 % routers.len() as u64) as usize;
        let key = flow_key((flow >> 16) as u8, flow as u16);
        let router = &mut routers[index];
        router.set_confirmed_at(clock_at(now));
        let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
        let Some(number) = decided_backend(router, &decision) else { continue };
        received.entry(number).or_default().push(now);
        let next_packet = flow_packet(key, foxledge_flows::PacketKind::Continue, number as u32);
        router.on_packet(clock_at(now + 7), &next_packet);
        router.report_overdue_openings(clock_at(now + 7));
    }
    received
}

/// Returns the maximum number of flows in any second, wherever it begins.
fn max_in_a_second(times: &[u64]) -> usize {
    let ends = times
        .iter()
        .map(|end| times.iter().filter(|at| **at <= *end && **at + 1_000 >= *end).count());
    ends.max().unwrap_or(0)
}

// Guards against overload of backend servers that have just started: all those of a data centre are
// cold, callers wait, and each instance sends flows without seeing what the others send.
#[test]
fn cold_limit_holds_for_every_fleet_size() {
    for count in [2, 6, 18, 73, 300] {
        let mut routers = fleet(&complete_views(count));
        let rows: Vec<_> =
            (1..=30).map(|number| cold_backend_row(number, LOCAL_CENTRE, 9_000, 5)).collect();
        let warm_remote: Vec<_> =
            (101..=110).map(|number| listed_backend(number, "desk", REMOTE_CENTRE, 5)).collect();
        for router in &mut routers {
            router.apply_rows(clock_at(2_000), &rows);
            router.apply_rows(clock_at(2_000), &warm_remote);
        }
        let received = send_flows(&mut routers, 2_000, (2_000, 5_000));
        let served: usize = received.values().map(Vec::len).sum();
        assert_eq!(served, 6_000, "{count} instances: warm ones elsewhere take the rest");
        for (number, times) in received.range(..100) {
            let maximum = max_in_a_second(times);
            assert!(maximum <= LIMIT, "{count} instances, backend server {number}: {maximum}");
        }
        // Half of the limit is used; the rest is reserved for views that differ.
        let cold_flows: usize = received.range(..100).map(|(_, times)| times.len()).sum();
        assert!(
            cold_flows >= 30 * FLOWS_PER_S as usize,
            "{count} instances: {cold_flows} in three seconds"
        );
    }
}

// Guards the stated bound: each view may miss as many other instances as there are senders.
proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn cold_limit_holds_while_views_differ(
        count in 3..40_usize,
        missing in prop::collection::vec((0..40_usize, 0..40_usize), 40),
    ) {
        let mut views = complete_views(count);
        for (own, view) in views.iter_mut().enumerate() {
            let (one, other) = missing[own];
            view.retain(|known| *known != one && *known != other);
        }
        let mut routers = fleet(&views);
        let rows: Vec<_> =
            (1..=5).map(|number| cold_backend_row(number, LOCAL_CENTRE, 9_000, 5)).collect();
        for router in &mut routers {
            router.apply_rows(clock_at(2_000), &rows);
        }
        let received = send_flows(&mut routers, 1_000, (2_000, 4_000));
        for (number, times) in &received {
            let maximum = max_in_a_second(times);
            prop_assert!(maximum <= LIMIT, "backend server {}: {}", number, maximum);
        }
    }
}

// Guards against exceeding the limit when half of the fleet dies and the new senders start in the
// same second in which the dead instances still sent.
#[test]
fn new_senders_wait_after_instances_died() {
    let mut routers = fleet(&complete_views(18));
    let rows: Vec<_> =
        (1..=8).map(|number| cold_backend_row(number, LOCAL_CENTRE, 9_000, 5)).collect();
    for router in &mut routers {
        router.apply_rows(clock_at(2_000), &rows);
    }
    let mut received = send_flows(&mut routers, 1_000, (2_000, 3_000));
    let mut remaining = routers.split_off(9);
    for router in &mut remaining {
        router.set_neighbours(clock_at(3_000), (10..18).map(address).collect());
    }
    for (number, times) in send_flows(&mut remaining, 1_000, (3_000, 5_000)) {
        received.entry(number).or_default().extend(times);
    }
    for (number, times) in &received {
        let maximum = max_in_a_second(times);
        assert!(maximum <= LIMIT, "backend server {number}: {maximum}");
    }
    assert!(received.values().flatten().any(|at| *at > 4_250), "the others take over in the end");
}

// Guards against exceeding the limit after a restart: an instance that has just started doesn't
// know what its previous process sent.
#[test]
fn started_instance_waits_before_sending() {
    let mut router = instance(0);
    router.apply_rows(clock_at(0), &[cold_backend_row(1, LOCAL_CENTRE, 9_000, 5)]);
    let refused = FlowDecision::Refuse(RefuseReason::ColdLimit);
    assert_eq!(router.on_packet(clock_at(100), &opening_packet(flow_key(1, 1), 0)), refused);
    router.set_neighbours(clock_at(200), vec![address(1)]);
    router.set_confirmed_at(clock_at(1_000));
    assert_eq!(router.on_packet(clock_at(1_100), &opening_packet(flow_key(1, 2), 0)), refused);
    let decision = router.on_packet(clock_at(1_500), &opening_packet(flow_key(1, 3), 0));
    assert_eq!(decided_backend(&router, &decision), Some(1));
}

#[test]
fn retransmissions_count_against_the_quota() {
    let mut router = instance(0);
    router.apply_rows(clock_at(0), &[cold_backend_row(1, LOCAL_CENTRE, 9_000, 5)]);
    router.set_neighbours(clock_at(0), vec![address(1)]);
    router.set_confirmed_at(clock_at(2_000));
    let mut sent = 0;
    for attempt in 0..20 {
        let decision = router
            .on_packet(clock_at(2_000 + attempt), &opening_packet(flow_key(1, 1), attempt as u32));
        sent += usize::from(decided_backend(&router, &decision).is_some());
    }
    assert_eq!(sent, LIMIT / 4);
}

#[test]
fn warm_backend_is_not_limited() {
    let mut routers = fleet(&complete_views(6));
    for router in &mut routers {
        router.apply_rows(clock_at(2_000), &[cold_backend_row(1, LOCAL_CENTRE, 1_000, 5)]);
        // The entry now says that it is warm, sooner than before.
        router.apply_rows(clock_at(2_100), &[cold_backend_row(1, LOCAL_CENTRE, 0, 6)]);
    }
    let received = send_flows(&mut routers, 500, (2_200, 3_200));
    assert_eq!(received[&1].len(), 500);
}

// Guards against flooding a data centre whose evacuation has ended while its backend servers are
// cold: the end of the evacuation may be received before the entries that say how cold they are.
#[test]
fn backends_count_as_cold_after_an_evacuation() {
    let mut routers = fleet(&complete_views(6));
    let rows = [
        cold_backend_row(1, LOCAL_CENTRE, 0, 5),
        listed_backend(2, "desk", REMOTE_CENTRE, 5),
        evacuation_row(LOCAL_CENTRE, 6),
    ];
    for router in &mut routers {
        router.apply_rows(clock_at(2_000), &rows);
        router.apply_rows(clock_at(5_000), &[removed_row(&evacuation_row(LOCAL_CENTRE, 6), 9, 0)]);
    }
    let received = send_flows(&mut routers, 500, (5_000, 8_000));
    assert!(max_in_a_second(&received[&1]) <= LIMIT);
    // Its entry says that it is warm.
    for router in &mut routers {
        router.apply_rows(clock_at(8_000), &[cold_backend_row(1, LOCAL_CENTRE, 0, 10)]);
    }
    let received = send_flows(&mut routers, 100, (8_000, 9_000));
    assert!(received[&1].len() > 90, "{}", received[&1].len());
}

/// Cuts instances off: the store confirms nothing after `from`, and backend servers of the other
/// data centre leave openings unanswered.
fn isolate(routers: &mut [FlowRouter], from: u64) {
    for (index, router) in routers.iter_mut().enumerate() {
        router.set_confirmed_at(clock_at(from));
        for attempt in 0..4 {
            let key = flow_key(200, index as u16);
            let now = clock_at(from + 200 * u64::from(attempt));
            router.on_packet(now, &opening_packet(key, attempt));
        }
    }
}

/// Returns the times of the openings that each backend server got when `per_s` new flows a second
/// come to isolated `routers` in turn. Only local backend servers respond.
fn send_isolated_flows(
    routers: &mut [FlowRouter],
    per_s: u64,
    (from, until): (u64, u64),
) -> BTreeMap<u64, Vec<u64>> {
    let mut received: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for flow in 0..per_s * (until - from) / 1_000 {
        let now = from + flow * 1_000 / per_s;
        let index = (flow * 7 % routers.len() as u64) as usize;
        let key = flow_key((flow >> 16) as u8, flow as u16);
        let router = &mut routers[index];
        for (attempt, wait) in [(0, 0), (1, 100)] {
            let decision = router.on_packet(clock_at(now + wait), &opening_packet(key, attempt));
            let Some(number) = decided_backend(router, &decision) else { continue };
            received.entry(number).or_default().push(now + wait);
            if number < 100 && attempt == 1 {
                let packet = flow_packet(key, foxledge_flows::PacketKind::Continue, number as u32);
                router.on_packet(clock_at(now + wait + 7), &packet);
            }
        }
    }
    received.values_mut().for_each(|times| times.sort_unstable());
    received
}

// Guards against flooding cold backend servers of an evacuated data centre that is cut off: it
// serves its callers despite the evacuation, but no faster than its backend servers bear.
#[test]
fn cold_limit_holds_in_isolated_evacuated_centre() {
    for count in [2, 6, 18, 73] {
        let mut routers = fleet(&complete_views(count));
        let cold_rows = (1..=2).map(|number| cold_backend_row(number, LOCAL_CENTRE, 9_000, 5));
        let remote_rows =
            (101..=106).map(|number| listed_backend(number, "desk", REMOTE_CENTRE, 5));
        let rows: Vec<_> =
            cold_rows.chain(remote_rows).chain([evacuation_row(LOCAL_CENTRE, 6)]).collect();
        for router in &mut routers {
            router.apply_rows(clock_at(2_000), &rows);
        }
        isolate(&mut routers, 2_000);
        let received = send_isolated_flows(&mut routers, 1_000, (4_600, 8_000));
        for number in 1..=2 {
            let times = received.get(&number).map(Vec::as_slice).unwrap_or_default();
            let maximum = max_in_a_second(times);
            assert!(maximum <= LIMIT, "{count} instances, backend server {number}: {maximum}");
            assert!(times.len() >= 6, "{count} instances, backend server {number} serves callers");
        }
    }
}

// Guards against retransmissions from all instances at once to a backend server that has become
// cold since the first packet.
#[test]
fn retransmissions_to_cooled_backend_keep_limit() {
    let mut routers = fleet(&complete_views(73));
    let mut sent = Vec::new();
    for (index, router) in routers.iter_mut().enumerate() {
        router.apply_rows(clock_at(2_000), &[cold_backend_row(1, LOCAL_CENTRE, 0, 5)]);
        router.set_confirmed_at(clock_at(2_000));
        let key = flow_key(1, index as u16);
        let decision = router.on_packet(clock_at(2_000), &opening_packet(key, 0));
        assert_eq!(decided_backend(router, &decision), Some(1));
        router.apply_rows(clock_at(2_050), &[cold_backend_row(1, LOCAL_CENTRE, 9_000, 6)]);
        let decision = router.on_packet(clock_at(2_100), &opening_packet(key, 1));
        match decided_backend(router, &decision) {
            Some(_) => sent.push(2_100),
            None => assert_eq!(decision, FlowDecision::Drop(DropReason::ColdLimit)),
        }
    }
    assert!((1..=LIMIT).contains(&sent.len()), "{}", sent.len());
}

// Guards against backend servers that count as warm again after an evacuation because a row that
// says nothing new about their warm-up arrives: the known one once more, or its removal.
#[test]
fn only_newer_entries_end_the_warm_up() {
    let known_row = cold_backend_row(1, LOCAL_CENTRE, 0, 5);
    for row in [known_row.clone(), removed_row(&known_row, 10, 0)] {
        let mut routers = fleet(&complete_views(6));
        for router in &mut routers {
            router
                .apply_rows(clock_at(2_000), &[known_row.clone(), evacuation_row(LOCAL_CENTRE, 6)]);
            let end = removed_row(&evacuation_row(LOCAL_CENTRE, 6), 9, 0);
            router.apply_rows(clock_at(5_000), &[end]);
            router.apply_rows(clock_at(5_100), std::slice::from_ref(&row));
        }
        let received = send_flows(&mut routers, 500, (5_100, 7_000));
        assert!(max_in_a_second(&received[&1]) <= LIMIT, "{}", max_in_a_second(&received[&1]));
    }
}

// Guards against limits that stay as they were until a restart when the settings change.
#[test]
fn changed_rules_apply_to_next_flows() {
    let mut routers = fleet(&complete_views(2));
    for router in &mut routers {
        router.apply_rows(clock_at(2_000), &[cold_backend_row(1, LOCAL_CENTRE, 9_000, 5)]);
    }
    assert!(send_flows(&mut routers, 500, (2_000, 4_000)).contains_key(&1));
    for router in &mut routers {
        router.set_cold_rules(ColdRules { overrun_permille: 0, slack_per_ks: 1_500 });
    }
    assert_eq!(send_flows(&mut routers, 500, (5_500, 8_000)), BTreeMap::new());
}

#[test]
fn quotas_of_extreme_limits() {
    let quota = |flows_per_ks: u64, rules: ColdRules| {
        let row = service_row("desk", 1, 0, 1);
        let Some(RowValue::Extension(row)) = row.value else {
            panic!("expected a row of a service")
        };
        let Some(foxledge_flows::rows::ExtensionValue::Service(mut limits)) = row.decode_value()
        else {
            panic!("expected a row of a service")
        };
        limits.cold_flows_per_ks = flows_per_ks;
        rules.quota(&limits).map(|quota| quota.senders * quota.flows)
    };
    let strict = ColdRules::default();
    assert_eq!(quota(0, RULES), None);
    assert_eq!(quota(10_000, RULES), Some(10));
    // Less than one a second for each of two senders: nobody sends.
    assert_eq!(quota(1_000, strict), Some(0));
    assert_eq!(quota(2_000, strict), Some(1));
    assert_eq!(quota(1, RULES), Some(2));
    // Fractions of the limit and of the allowance add up to whole flows.
    let fractions = |overrun_permille, slack_per_ks| ColdRules { overrun_permille, slack_per_ks };
    assert_eq!(quota(5_000, fractions(1_500, 2_500)), Some(4));
    assert_eq!(quota(5_000, fractions(500, 5_500)), Some(4));
    assert_eq!(quota(5_000, fractions(0, 3_999)), Some(1));
}
