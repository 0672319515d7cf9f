//! The local load that an instance reports.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::{load::*, *};
use foxledge_core::names::CentreName;
use foxledge_flows::{
    FlowKey, FlowPacket, FlowRouter, PacketKind,
    rows::{ListRow, RowValue},
};
use foxledge_load::{ServiceKey, ServiceLoad};

fn backends() -> Vec<ListRow> {
    vec![listed_backend(1, "desk", LOCAL_CENTRE, 2), listed_backend(2, "desk", LOCAL_CENTRE, 2)]
}

fn desk_load(router: &mut FlowRouter, now: u64) -> ServiceLoad {
    let load = router.collect_local_load(clock_at(now));
    load.services.get(&ServiceKey::from_name("desk")).cloned().unwrap_or_default()
}

/// Returns the requests that run or wait in the local data centre.
fn running_requests(router: &mut FlowRouter, now: u64) -> f64 {
    desk_load(router, now).running.get(&CentreName::new(LOCAL_CENTRE)).copied().unwrap_or(0.0)
}

/// Returns the arrivals per second by priority.
fn arrivals_by_priority(router: &mut FlowRouter, now: u64) -> BTreeMap<u32, f64> {
    let priorities = desk_load(router, now).priorities;
    priorities.into_iter().map(|(priority, load)| (priority, load.arrivals_per_s)).collect()
}

/// Packet with which a caller acknowledges an answer.
fn acknowledgement(key: FlowKey, token: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket { acknowledged, ..flow_packet(key, PacketKind::Continue, token) }
}

/// Sends one request on a new flow, which is answered after `work_ms`.
fn send_request(router: &mut FlowRouter, now: u64, port: u16, work_ms: u64) {
    let key = flow_key(1, port);
    let number = open_flow(router, now, key).expect("the flow is placed") as u32;
    router.on_packet(clock_at(now + 8), &data_packet(key, number, 1, 1));
    let finish = FlowPacket { acknowledged: 900, ..flow_packet(key, PacketKind::Finish, number) };
    router.on_packet(clock_at(now + 8 + work_ms), &finish);
}

// Guards against counting a flow twice when its opening is answered, and against not counting its
// request.
#[test]
fn each_request_counts_once() {
    let mut router = load_router(&backends());
    assert_eq!(running_requests(&mut router, 0), 0.0);
    let key = flow_key(1, 1);
    let decision = router.on_packet(clock_at(0), &opening_packet(key, 0));
    let token = decided_backend(&router, &decision).expect("the flow is placed") as u32;
    assert_eq!(running_requests(&mut router, 1), 1.0);
    router.on_packet(clock_at(7), &data_packet(key, token, 1, 1));
    assert_eq!(running_requests(&mut router, 8), 1.0);
    router.on_packet(clock_at(60), &acknowledgement(key, token, 900));
    assert_eq!(running_requests(&mut router, 61), 0.0);
    router.on_packet(clock_at(62), &flow_packet(key, PacketKind::Finish, token));
    assert_eq!(running_requests(&mut router, 63), 0.0);
}

// Guards against counting retransmitted openings and data as more requests.
#[test]
fn retransmissions_count_once() {
    let mut router = load_router(&backends());
    let key = flow_key(1, 1);
    router.on_packet(clock_at(0), &opening_packet(key, 0));
    let decision = router.on_packet(clock_at(100), &opening_packet(key, 1));
    let token = decided_backend(&router, &decision).expect("the flow is placed") as u32;
    router.on_packet(clock_at(107), &data_packet(key, token, 1, 1));
    router.on_packet(clock_at(307), &data_packet(key, token, 1, 1));
    router.on_packet(clock_at(707), &data_packet(key, token, 1, 1));
    assert_eq!(running_requests(&mut router, 708), 1.0);
    let [(1, rate)] = arrivals_by_priority(&mut router, 107).into_iter().collect::<Vec<_>>()[..]
    else {
        panic!("expected one priority");
    };
    assert!((rate - 4.0).abs() < 0.5, "{rate}");
}

// Guards against unanswered openings that count forever and make the service look full.
#[test]
fn unanswered_openings_stop_counting() {
    let mut router = load_router(&backends());
    for port in 0..50 {
        router.on_packet(clock_at(0), &opening_packet(flow_key(1, 1_000 + port), 0));
    }
    assert_eq!(running_requests(&mut router, 1), 50.0);
    router.report_overdue_openings(clock_at(41));
    assert_eq!(running_requests(&mut router, 42), 0.0);
}

// Guards against requests that count until their flow expires because the packet that ended them
// was lost.
#[test]
fn requests_without_an_end_expire() {
    let mut router = load_router(&backends());
    router.apply_load_view(
        clock_at(0),
        Arc::new(load_view(clock_at(0), &[(LOCAL_CENTRE, caller_load(&[], &[]))])),
    );
    for port in 0..10 {
        let key = flow_key(1, 1_000 + port);
        let token = open_flow(&mut router, 0, key).expect("the flow is placed") as u32;
        router.on_packet(clock_at(8), &data_packet(key, token, 1, 1));
    }
    // The routes allow 1 s for a request.
    assert_eq!(running_requests(&mut router, 1_000), 10.0);
    assert_eq!(running_requests(&mut router, 1_008), 0.0);
    // An answer that arrives later doesn't make the count negative.
    let token = router.backends().next().expect("the entry is known").token;
    router.on_packet(clock_at(1_100), &acknowledgement(flow_key(1, 1_000), token, 900));
    let key = flow_key(1, 2_000);
    router.on_packet(clock_at(1_110), &opening_packet(key, 0));
    assert_eq!(running_requests(&mut router, 1_111), 1.0);
}

// Guards against requests that count until their deadline because their answers pass at other
// instances, as network routers move flows when a fleet restarts: a service with free slots would
// look short of them for seconds.
#[test]
fn requests_answered_elsewhere_expire() {
    let mut router = load_router(&backends());
    let routes = [route_row("r", 443, "desk", 2), second_route_row(2, 2)].map(|mut row| {
        if let Some(RowValue::Route(route)) = &mut row.value {
            (route.timeout_ms, route.aim_ms) = (10_000, 400);
        }
        row
    });
    router.apply_rows(clock_at(0), &routes);
    router.apply_load_view(
        clock_at(0),
        Arc::new(load_view(clock_at(0), &[(LOCAL_CENTRE, caller_load(&[], &[]))])),
    );
    let key = flow_key(1, 1);
    let token = open_flow(&mut router, 0, key).expect("the flow is placed") as u32;
    router.on_packet(clock_at(8), &data_packet(key, token, 1, 1));
    assert_eq!(running_requests(&mut router, 800), 1.0);
    assert_eq!(running_requests(&mut router, 1_100), 0.0);
}

// Guards against requests of a previous process that still count after a new process has taken over
// its id.
#[test]
fn requests_end_with_a_backend_restart() {
    let mut first = backend_spec(1, "desk", LOCAL_CENTRE);
    first.incarnation = 5;
    let mut second = first.clone();
    second.incarnation = 6;
    let mut router = load_router(&[backend_row(first, 2)]);
    for port in 0..3 {
        let key = flow_key(1, 1_000 + port);
        open_flow(&mut router, 0, key);
        router.on_packet(clock_at(8), &data_packet(key, 1, 1, 1));
    }
    assert_eq!(running_requests(&mut router, 9), 3.0);
    router.apply_rows(clock_at(10), &[backend_row(second, 3)]);
    assert_eq!(running_requests(&mut router, 11), 0.0);
    let key = flow_key(1, 2_000);
    open_flow(&mut router, 20, key);
    router.on_packet(clock_at(28), &data_packet(key, 1, 1, 1));
    assert_eq!(running_requests(&mut router, 29), 1.0);
    router.on_packet(clock_at(50), &flow_packet(key, PacketKind::Abort, 1));
    assert_eq!(running_requests(&mut router, 51), 0.0);
}

// Guards against counting only the first request of a flow that is kept open.
#[test]
fn each_request_of_a_kept_flow_counts() {
    let mut router = load_router(&backends());
    let key = flow_key(1, 1);
    let token = open_flow(&mut router, 0, key).expect("the flow is placed") as u32;
    for request in 0..40_u32 {
        let now = 10 + u64::from(request) * 20;
        router.on_packet(
            clock_at(now),
            &data_packet(key, token, 1 + request * 100, 1 + request * 50),
        );
        assert_eq!(running_requests(&mut router, now + 1), 1.0);
        // Every other answer is acknowledged only by the next request.
        if request % 2 == 0 {
            router.on_packet(clock_at(now + 10), &acknowledgement(key, token, 51 + request * 50));
            assert_eq!(running_requests(&mut router, now + 11), 0.0);
        }
    }
    let rate = arrivals_by_priority(&mut router, 800)[&1];
    assert!((40.0..55.0).contains(&rate), "{rate}");
}

// Guards against counting requests under a former priority of their route.
#[test]
fn arrivals_count_by_current_route_priority() {
    let mut router = load_router(&backends());
    let mut other = flow_key(1, 2);
    other.service.set_port(444);
    for key in [flow_key(1, 1), other] {
        let token = open_flow(&mut router, 0, key).expect("the flow is placed") as u32;
        router.on_packet(clock_at(8), &data_packet(key, token, 1, 1));
    }
    assert_eq!(arrivals_by_priority(&mut router, 8).into_keys().collect::<Vec<_>>(), [1, 2]);
    router.apply_rows(clock_at(10), &[second_route_row(3, 7)]);
    let token = open_flow(&mut router, 10, FlowKey { caller: flow_key(1, 3).caller, ..other });
    let token = token.expect("the flow is placed") as u32;
    router.on_packet(
        clock_at(18),
        &data_packet(FlowKey { caller: flow_key(1, 3).caller, ..other }, token, 1, 1),
    );
    assert_eq!(arrivals_by_priority(&mut router, 18).into_keys().collect::<Vec<_>>(), [1, 2, 3]);
}

// Guards against refused openings that don't count as demand, so that a shortage ends by its own
// refusals.
#[test]
fn refused_openings_count_as_arrivals() {
    let mut router = load_router(&backends());
    let per_s = [(1, 20.0), (2, 2_000.0)];
    let now = apply_steady_load(
        &mut router,
        0,
        &[(LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 10.0)]))],
    );
    let mut refused = 0;
    for port in 0..200 {
        let mut key = flow_key(port as u8, 1_000 + port);
        key.service.set_port(444);
        let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
        refused += u32::from(decided_backend(&router, &decision).is_none());
    }
    let rate = arrivals_by_priority(&mut router, now)[&2];
    assert!(refused > 100 && (rate - f64::from(refused) * 4.0).abs() < 1.0, "{refused}, {rate}");
}

// Guards against counting the time in a queue as work, so that the demand grows with the queue.
#[test]
fn work_time_is_not_learned_in_bursts() {
    let mut router = load_router(&backends());
    let work_ms = |router: &mut FlowRouter, now| {
        let load = desk_load(router, now);
        load.priorities[&1].work_us / 1_000.0
    };
    let calm = [(LOCAL_CENTRE, caller_load(&[(1, 10.0)], &[(LOCAL_CENTRE, 1.0)]))];
    let mut now = 0;
    for port in 0..20 {
        send_request(&mut router, now, 1_000 + port, 50);
        now += 100;
        router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), &calm)));
    }
    assert_eq!(work_ms(&mut router, now), 50.0);
    // The view shows the burst 200 ms after its start.
    let full = [(LOCAL_CENTRE, caller_load(&[(1, 80.0)], &[(LOCAL_CENTRE, 8.0)]))];
    for port in 0..20 {
        send_request(&mut router, now, 2_000 + port, 150);
        now += 100;
        let load = if port < 2 { &calm } else { &full };
        router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), load)));
    }
    assert_eq!(work_ms(&mut router, now), 50.0);
}

// Guards against counting a slow backend server's answers as more work, though its slots already
// count for less.
#[test]
fn slow_answers_are_scaled_to_usual_work() {
    let mut router = load_router(
        &(1..=4).map(|n| listed_backend(n, "desk", LOCAL_CENTRE, 2)).collect::<Vec<_>>(),
    );
    let calm = [(LOCAL_CENTRE, caller_load(&[(1, 10.0)], &[(LOCAL_CENTRE, 1.0)]))];
    let mut now = 0;
    for round in 0..200_u16 {
        let key = flow_key(1, 1_000 + round);
        let number = open_flow(&mut router, now, key).expect("the flow is placed");
        router.on_packet(clock_at(now + 8), &data_packet(key, number as u32, 1, 1));
        let work_ms = if number == 3 { 250 } else { 50 };
        let finish =
            FlowPacket { acknowledged: 900, ..flow_packet(key, PacketKind::Finish, number as u32) };
        router.on_packet(clock_at(now + 8 + work_ms), &finish);
        now += 20;
        router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), &calm)));
    }
    let work_us = desk_load(&mut router, now).priorities[&1].work_us;
    assert!((48_000.0..60_000.0).contains(&work_us), "{work_us}");
    let slots = router.load_reports(clock_at(now))[0].slots;
    assert!((6.0..7.5).contains(&slots), "{slots}");
}

// Guards against reporting the start of a burst up to 250 ms late, and against a report after every
// packet.
#[test]
fn report_is_due_after_a_load_jump() {
    let mut router = load_router(&backends());
    assert!(router.is_load_report_due(clock_at(0)));
    router.collect_local_load(clock_at(0));
    assert!(!router.is_load_report_due(clock_at(249)) && router.is_load_report_due(clock_at(250)));
    router.collect_local_load(clock_at(250));
    for port in 0..4 {
        router.on_packet(clock_at(260), &opening_packet(flow_key(1, 1_000 + port), 0));
    }
    assert!(!router.is_load_report_due(clock_at(299)) && router.is_load_report_due(clock_at(300)));
    // The instance is busy for the next two seconds.
    router.collect_local_load(clock_at(300));
    assert!(!router.is_load_report_due(clock_at(349)) && router.is_load_report_due(clock_at(350)));
}

// Guards against detecting a shortage by a load that is reported only every 250 ms.
#[test]
fn report_interval_shortens_under_load() {
    let mut router = load_router(&backends());
    router.collect_local_load(clock_at(0));
    let high_load = caller_load(&[(1, 50.0)], &[(LOCAL_CENTRE, 3.0)]);
    router.apply_load_view(
        clock_at(10),
        Arc::new(load_view(clock_at(10), &[(LOCAL_CENTRE, high_load)])),
    );
    assert_eq!(router.load_ratio(), 0.75);
    assert!(router.is_load_report_due(clock_at(50)));
}

// Guards against samples that miss the flooding account or exceed the room of a message.
#[test]
fn heavy_account_is_sampled() {
    let mut router = load_router(&backends());
    let per_s = [(1, 20.0), (2, 2_000.0)];
    let now = apply_steady_load(
        &mut router,
        0,
        &[(LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 10.0)]))],
    );
    router.collect_local_load(clock_at(now));
    for port in 0..600 {
        let mut key = flow_key(if port % 2 == 0 { 77 } else { port as u8 }, 1_000 + port);
        key.service.set_port(444);
        router.on_packet(clock_at(now), &opening_packet(key, 0));
    }
    let load = router.collect_local_load(clock_at(now + 50));
    assert_eq!((load.sampled_accounts.len(), load.openings_per_sample), (6, 100));
    let heavy = foxledge_admission::AccountKey::from_address(*flow_key(77, 1).caller.ip()).0;
    assert!(load.sampled_accounts.iter().filter(|account| **account == heavy).count() >= 1);
    // Reports are sent every other time, so each opening is in one of them.
    assert_eq!(
        router.collect_local_load(clock_at(now + 100)).sampled_accounts,
        load.sampled_accounts
    );
    assert_eq!(router.collect_local_load(clock_at(now + 150)).openings_per_sample, 0);
}
