//! New flows are refused only while a service is short of slots.

mod common;

use std::sync::Arc;

use common::{load::*, *};
use foxledge_flows::{
    AdmissionBasis, FlowDecision, FlowKey, FlowRouter, LoadChange, PacketKind, RefuseReason,
    rows::ListRow,
};
use foxledge_load::{LoadView, ServiceLoad};

/// Ten local backend servers of two slots, and ten remote ones.
fn backends() -> Vec<ListRow> {
    let centre = |number| if number <= 10 { LOCAL_CENTRE } else { REMOTE_CENTRE };
    (1..=20).map(|number| listed_backend(number, "desk", centre(number), 2)).collect()
}

/// Four times the demand that 40 slots can serve, an eighth of it urgent.
fn burst() -> [(&'static str, ServiceLoad); 2] {
    let per_s = [(1, 200.0), (2, 1_400.0)];
    [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 40.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(REMOTE_CENTRE, 40.0)])),
    ]
}

/// Key of a flow to `service_port`. The route at port 443 has priority 1, the one at 444 priority
/// 2.
fn flow_key_to(caller: u8, port: u16, service_port: u16) -> FlowKey {
    let mut key = flow_key(caller, port);
    key.service.set_port(service_port);
    key
}

/// Opens a flow for each of 200 callers, and returns how many are refused for shortage. The caller
/// port depends on `now`, so that each call opens new flows.
fn count_refusals(router: &mut FlowRouter, now: u64, service_port: u16, attempt: u32) -> usize {
    count_refusals_from(router, now, service_port, attempt, 5_000 + now as u16)
}

fn count_refusals_from(
    router: &mut FlowRouter,
    now: u64,
    service_port: u16,
    attempt: u32,
    port: u16,
) -> usize {
    let keys = (0..200).map(|caller| flow_key_to(caller, port, service_port));
    let decisions = keys.map(|key| router.on_packet(clock_at(now), &opening_packet(key, attempt)));
    let is_refused =
        |decision: &FlowDecision| matches!(decision, FlowDecision::Refuse(RefuseReason::Shortage));
    decisions.filter(is_refused).count()
}

/// Returns the refusals of a router that received the burst, after a change to its last view.
fn refusals_after_change(change: impl FnOnce(&mut LoadView)) -> usize {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    let mut last = load_view(clock_at(now + 50), &burst());
    change(&mut last);
    router.apply_load_view(clock_at(now + 50), Arc::new(last));
    count_refusals(&mut router, now + 50, 444, 0)
}

// Guards against urgent requests that fail while others are served.
#[test]
fn urgent_flows_are_admitted_first() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert_eq!(count_refusals(&mut router, now, 443, 0), 0);
    // 160 slots are needed, and urgent requests take half of the available ones.
    assert!(count_refusals(&mut router, now, 444, 0) > 100);
}

// Guards against refusals while a slot is free.
#[test]
fn refuses_nothing_while_slots_suffice() {
    // One slot in eight is free.
    let per_s = [(1, 400.0), (2, 1_200.0)];
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 20.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(REMOTE_CENTRE, 15.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &loads);
    assert_eq!(count_refusals(&mut router, now, 444, 0), 0);

    // All slots are taken, but the demand is less than they can serve.
    let per_s = [(1, 100.0), (2, 150.0)];
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 21.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(REMOTE_CENTRE, 21.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &loads);
    assert_eq!(count_refusals(&mut router, now, 444, 0), 0);
}

// Guards against refusals based on a view that may be wrong.
#[test]
fn unsure_or_old_view_refuses_nothing() {
    assert!(refusals_after_change(|_| ()) > 100);
    assert_eq!(refusals_after_change(|view| view.is_reliable = false), 0);
    let own = foxledge_core::names::CentreName::new(LOCAL_CENTRE);
    let old = |view: &mut LoadView| {
        let centre = view.centres.get_mut(&own).expect("the entry is known");
        centre.reported_at = centre.reported_at.before_millis(401);
    };
    assert_eq!(refusals_after_change(old), 0);
}

// Guards against refusals while a data centre that may have free slots hasn't reported its load.
#[test]
fn partial_view_delays_refusals() {
    let mut router = load_router(&backends());
    let partial = |now: u64| {
        let mut partial = load_view(clock_at(now), &burst()[..1]);
        partial.unreported_centres.push(foxledge_core::names::CentreName::new(REMOTE_CENTRE));
        Arc::new(partial)
    };
    for step in 0..10 {
        router.set_confirmed_at(clock_at(step * 50));
        router.apply_load_view(clock_at(step * 50), partial(step * 50));
    }
    assert_eq!(count_refusals(&mut router, 450, 444, 0), 0);
    // After a longer isolation, the data centre decides by its own load.
    for step in 10..14 {
        router.apply_load_view(clock_at(step * 50), partial(step * 50));
    }
    assert!(count_refusals(&mut router, 650, 444, 0) > 100);
}

// Guards against refusals based on a view that is no longer updated.
#[test]
fn expired_view_refuses_nothing() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert!(count_refusals(&mut router, now + 399, 444, 0) > 100);
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert_eq!(count_refusals(&mut router, now + 400, 444, 0), 0);
}

// Guards against refusing a retransmission whose flow is open elsewhere: its caller would take that
// for the end of the flow.
#[test]
fn retransmissions_are_not_refused() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert_eq!(count_refusals(&mut router, now, 444, 1), 0);
}

// Guards against refusing the second copy of an opening packet that the network duplicated, which
// would end the flow that the first one opened.
#[test]
fn duplicated_openings_are_not_refused() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    let calm = caller_load(&[(1, 1.0), (2, 1.0)], &[(LOCAL_CENTRE, 1.0)]);
    let now = apply_steady_load(&mut router, now + 50, &[(LOCAL_CENTRE, calm)]);
    assert_eq!(count_refusals_from(&mut router, now, 444, 0, 900), 0);
    router.apply_load_view(clock_at(now + 20), Arc::new(load_view(clock_at(now + 20), &burst())));
    assert_eq!(count_refusals_from(&mut router, now + 20, 444, 0, 900), 0);
    assert!(count_refusals_from(&mut router, now + 20, 444, 0, 901) > 100);
}

// The same, once the caller has continued and the opening is no longer kept.
#[test]
fn duplicated_openings_of_tracked_flows_are_not_refused() {
    let mut router = load_router(&backends());
    let keys: Vec<_> = (0..200).map(|caller| flow_key_to(caller, 900, 444)).collect();
    for key in &keys {
        let token = open_flow(&mut router, 0, *key).expect("the flow is placed") as u32;
        router.on_packet(clock_at(8), &data_packet(*key, token, 1, 1));
    }
    let now = apply_steady_load(&mut router, 10, &burst());
    assert_eq!(count_refusals_from(&mut router, now, 444, 0, 900), 0);
    assert!(count_refusals_from(&mut router, now, 444, 0, 901) > 100);
}

// Guards against refusals by an instance that stood still and knows only the state before.
#[test]
fn paused_instance_refuses_nothing_until_confirmed() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    router.record_pause();
    assert_eq!(count_refusals(&mut router, now, 444, 0), 0);
    let report =
        router.explain(clock_at(now), &flow_key_to(1, 1, 444), 0).load.expect("load control is on");
    assert_eq!(report.basis, AdmissionBasis::ListDoubt);
    // Refusals resume after the next confirmation, once all waiting packets have been read.
    router.report_overdue_openings(clock_at(now + 10));
    router.set_confirmed_at(clock_at(now + 10));
    assert!(count_refusals(&mut router, now + 10, 444, 0) > 100);
}

// Guards against refusals by an unconfirmed list, whose slots may be out of date.
#[test]
fn unconfirmed_list_refuses_nothing() {
    let mut router = load_router(&backends());
    apply_steady_load(&mut router, 0, &burst());
    for step in 20..80 {
        router.apply_load_view(
            clock_at(step * 50),
            Arc::new(load_view(clock_at(step * 50), &burst())),
        );
    }
    assert_eq!(count_refusals(&mut router, 3_950, 444, 0), 0);
}

// Guards against resetting an open flow because slots are scarce.
#[test]
fn shortage_resets_no_open_flow() {
    let mut router = load_router(&backends());
    let keys: Vec<_> = (0..50).map(|caller| flow_key_to(caller, 7_000, 444)).collect();
    let numbers: Vec<_> = keys
        .iter()
        .map(|key| open_flow(&mut router, 0, *key).expect("the flow is placed"))
        .collect();
    let now = apply_steady_load(&mut router, 50, &burst());
    for (key, number) in keys.iter().zip(numbers) {
        for packet in [
            data_packet(*key, number as u32, 1, 1),
            flow_packet(*key, PacketKind::Continue, number as u32),
            flow_packet(*key, PacketKind::Finish, number as u32),
        ] {
            let decision = router.on_packet(clock_at(now), &packet);
            assert!(matches!(decision, FlowDecision::Forward { .. }), "{decision:?}");
        }
    }
    assert_eq!(router.drain_flow_resets(clock_at(now)), []);
}

// Guards against a changed priority that counts only after a restart.
#[test]
fn changed_priorities_apply_at_once() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert!(count_refusals(&mut router, now, 444, 0) > 100);
    router.apply_rows(
        clock_at(now),
        &[second_route_row(1, 7), {
            let mut row = route_row("r", 443, "desk", 7);
            if let Some(foxledge_flows::rows::RowValue::Route(route)) = &mut row.value {
                route.priority = 2;
            }
            row
        }],
    );
    assert_eq!(count_refusals(&mut router, now, 444, 0), 0);
    assert!(count_refusals(&mut router, now, 443, 0) > 100);
}

// Guards against counting slots of an evacuated data centre as usable, which would make all
// requests wait.
#[test]
fn slots_of_an_evacuated_data_centre_are_unusable() {
    // 35 slots are needed: two data centres have them, one doesn't.
    let per_s = [(1, 100.0), (2, 250.0)];
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 40.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 10.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &loads);
    assert_eq!(count_refusals(&mut router, now, 444, 0), 0);
    router.apply_rows(clock_at(now), &[evacuation_row(REMOTE_CENTRE, 9)]);
    let now = apply_steady_load(&mut router, now + 50, &loads);
    let refused = count_refusals(&mut router, now, 444, 0);
    assert!(refused > 50, "{refused} of 200");
}

// Guards against counting slots of draining backend servers as usable.
#[test]
fn slots_of_draining_backends_are_unusable() {
    let mut router = load_router(&backends());
    apply_steady_load(&mut router, 0, &burst());
    assert_eq!(router.load_reports(clock_at(950))[0].slots, 40.0);
    let remote: Vec<_> =
        (11..=20).map(|number| listed_backend(number, "desk", REMOTE_CENTRE, 2)).collect();
    let rows: Vec<_> = remote.iter().map(|row| draining_row(row, 9)).collect();
    router.apply_rows(clock_at(960), &rows);
    router.apply_load_view(clock_at(960), Arc::new(load_view(clock_at(960), &burst())));
    assert_eq!(router.load_reports(clock_at(960))[0].slots, 20.0);
}

// Guards against a client account that sends ten times as many requests as others and takes their
// slots.
#[test]
fn heavy_account_is_limited_to_its_share() {
    let mut router = load_router(&backends());
    let account = |caller: u8| {
        foxledge_admission::AccountKey::from_address(*flow_key(caller, 1).caller.ip()).0
    };
    let mut now = 0;
    // A third of the openings belong to account 250, the others to twenty accounts.
    for step in 0..40 {
        now = step * 50;
        let mut last = load_view(clock_at(now), &burst());
        let others = (0..20).map(|caller| (account(caller), 5));
        last.account_samples = others.chain([(account(250), 5); 10]).collect();
        router.set_confirmed_at(clock_at(now));
        router.apply_load_view(clock_at(now), Arc::new(last));
    }
    let mut refused = |callers: std::ops::Range<u8>, service_port| {
        let ports = (1_000..1_040_u16).flat_map(|port| callers.clone().map(move |one| (one, port)));
        let decisions = ports.map(|(caller, port)| {
            now += 1;
            let key = flow_key_to(caller, port, service_port);
            router.set_confirmed_at(clock_at(now));
            let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
            matches!(decision, FlowDecision::Refuse(RefuseReason::AccountShare))
        });
        decisions.filter(|is_refused| *is_refused).count()
    };
    assert!(refused(250..251, 443) > 20);
    assert_eq!(refused(0..5, 443), 0);
}

// Guards against refusals without events: operators must see when and why flows are refused.
#[test]
fn shortage_is_reported_and_explained() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    let changes: Vec<_> = router.drain_load_events().iter().map(|news| news.change).collect();
    assert_eq!(changes, [LoadChange::ShortageBegun]);
    let refused = count_refusals(&mut router, now, 444, 0) as u64;
    let [report] = router.load_reports(clock_at(now)).try_into().expect("there is one service");
    assert!(
        report.is_short && report.admitted_shares[&1] == 1.0 && report.admitted_shares[&2] < 0.5
    );
    assert_eq!((report.load_ratio, report.slots), (2.0, 40.0));
    assert_eq!(
        (report.refused_flows.get(&1), report.refused_flows.get(&2)),
        (None, Some(&refused))
    );

    let keys = (0..50).map(|caller| flow_key_to(caller, 9, 444));
    let explained = keys
        .map(|key| (key, router.explain(clock_at(now), &key, 0).load.expect("load control is on")));
    for (key, load) in explained.collect::<Vec<_>>() {
        assert_eq!((load.basis, load.priority), (AdmissionBasis::Shortage, 2));
        let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
        let is_refused = matches!(decision, FlowDecision::Refuse(_));
        assert_eq!(is_refused, load.decision != foxledge_admission::AdmissionDecision::Admitted);
    }

    let calm = caller_load(&[(1, 10.0), (2, 10.0)], &[(LOCAL_CENTRE, 1.0)]);
    apply_steady_load(
        &mut router,
        now + 50,
        &[(LOCAL_CENTRE, calm.clone()), (REMOTE_CENTRE, calm)],
    );
    let changes: Vec<_> = router.drain_load_events().iter().map(|news| news.change).collect();
    assert_eq!(changes, [LoadChange::ShortageEnded]);
}
