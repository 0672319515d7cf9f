//! New flows are refused while a service is short of slots, and never else.

mod common;

use std::sync::Arc;

use common::{load::*, *};
use foxledge_flows::{
    AdmissionBasis, FlowDecision, FlowKey, FlowRouter, LoadChange, PacketKind, RefuseReason,
    rows::ListRow,
};
use foxledge_load::{LoadView, ServiceLoad};

/// Ten near backend servers of two slots, and ten far ones.
fn backends() -> Vec<ListRow> {
    let centre = |number| if number <= 10 { LOCAL_CENTRE } else { REMOTE_CENTRE };
    (1..=20).map(|number| listed_backend(number, "desk", centre(number), 2)).collect()
}

/// Four times what 40 slots can serve, an eighth of it urgent.
fn burst() -> [(&'static str, ServiceLoad); 2] {
    let per_s = [(1, 200.0), (2, 1_400.0)];
    [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 40.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(REMOTE_CENTRE, 40.0)])),
    ]
}

/// The route at port 443 is of priority 1, that at 444 of priority 2.
fn key_at(caller: u8, port: u16, service_port: u16) -> FlowKey {
    let mut key = flow_key(caller, port);
    key.service.set_port(service_port);
    key
}

/// Opens a flow of each of 200 callers, each from a port of its own; counts those that are refused
/// for shortage.
fn refusals(router: &mut FlowRouter, now: u64, service_port: u16, copy: u32) -> usize {
    refusals_from(router, now, service_port, copy, 5_000 + now as u16)
}

fn refusals_from(
    router: &mut FlowRouter,
    now: u64,
    service_port: u16,
    copy: u32,
    port: u16,
) -> usize {
    let keys = (0..200).map(|caller| key_at(caller, port, service_port));
    let decisions = keys.map(|key| router.on_packet(clock_at(now), &opening_packet(key, copy)));
    let is_refused =
        |decision: &FlowDecision| matches!(decision, FlowDecision::Refuse(RefuseReason::Shortage));
    decisions.filter(is_refused).count()
}

/// The decisions of a router that was given the burst, with a change in its last view.
fn refused_by(change: impl FnOnce(&mut LoadView)) -> usize {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    let mut last = load_view(clock_at(now + 50), &burst());
    change(&mut last);
    router.apply_load_view(clock_at(now + 50), Arc::new(last));
    refusals(&mut router, now + 50, 444, 0)
}

// Urgent requests fail while others are served.
#[test]
fn urgent_first() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert_eq!(refusals(&mut router, now, 443, 0), 0);
    // 160 slots are needed, and urgent requests take half of the room.
    assert!(refusals(&mut router, now, 444, 0) > 100);
}

// Requests are refused though a slot is free for them.
#[test]
fn free_slots_used() {
    // One slot in eight is free.
    let per_s = [(1, 400.0), (2, 1_200.0)];
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 20.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(REMOTE_CENTRE, 15.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &loads);
    assert_eq!(refusals(&mut router, now, 444, 0), 0);

    // All are taken, but less is asked for than they can serve.
    let per_s = [(1, 100.0), (2, 150.0)];
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 21.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(REMOTE_CENTRE, 21.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &loads);
    assert_eq!(refusals(&mut router, now, 444, 0), 0);
}

// Callers are refused by a view that may be wrong.
#[test]
fn weak_views_refuse_nothing() {
    assert!(refused_by(|_| ()) > 100);
    assert_eq!(refused_by(|view| view.is_reliable = false), 0);
    let own = foxledge_core::names::CentreName::new(LOCAL_CENTRE);
    let old = |view: &mut LoadView| {
        let centre = view.centres.get_mut(&own).expect("is known");
        centre.reported_at = centre.reported_at.before_millis(401);
    };
    assert_eq!(refused_by(old), 0);
}

// Callers are refused while a data centre that may have room hasn't told its load.
#[test]
fn partial_view_waits() {
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
    assert_eq!(refusals(&mut router, 450, 444, 0), 0);
    // Cut off for longer, the data centre decides by itself.
    for step in 10..14 {
        router.apply_load_view(clock_at(step * 50), partial(step * 50));
    }
    assert!(refusals(&mut router, 650, 444, 0) > 100);
}

// A view that nobody renews keeps refusing.
#[test]
fn lapsed_view() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert!(refusals(&mut router, now + 399, 444, 0) > 100);
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert_eq!(refusals(&mut router, now + 400, 444, 0), 0);
}

// A copy is refused whose flow is open elsewhere: its caller takes that for the end of it.
#[test]
fn copies_served() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert_eq!(refusals(&mut router, now, 444, 1), 0);
}

// The network doubles an opening packet, and the flow that the first opened is refused by the
// second.
#[test]
fn doubled_openings_served() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    let calm = caller_load(&[(1, 1.0), (2, 1.0)], &[(LOCAL_CENTRE, 1.0)]);
    let now = apply_steady_load(&mut router, now + 50, &[(LOCAL_CENTRE, calm)]);
    assert_eq!(refusals_from(&mut router, now, 444, 0, 900), 0);
    router.apply_load_view(clock_at(now + 20), Arc::new(load_view(clock_at(now + 20), &burst())));
    assert_eq!(refusals_from(&mut router, now + 20, 444, 0, 900), 0);
    assert!(refusals_from(&mut router, now + 20, 444, 0, 901) > 100);
}

// The same, once the caller has gone on and the opening is no longer remembered.
#[test]
fn late_doubles_served() {
    let mut router = load_router(&backends());
    let keys: Vec<_> = (0..200).map(|caller| key_at(caller, 900, 444)).collect();
    for key in &keys {
        let token = open_flow(&mut router, 0, *key).expect("is placed") as u32;
        router.on_packet(clock_at(8), &data_packet(*key, token, 1, 1));
    }
    let now = apply_steady_load(&mut router, 10, &burst());
    assert_eq!(refusals_from(&mut router, now, 444, 0, 900), 0);
    assert!(refusals_from(&mut router, now, 444, 0, 901) > 100);
}

// Instances that stood still refuse by what was true before.
#[test]
fn paused_refuses_nothing() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    router.record_pause();
    assert_eq!(refusals(&mut router, now, 444, 0), 0);
    let report = router.explain(clock_at(now), &key_at(1, 1, 444), 0).load.expect("is on");
    assert_eq!(report.basis, AdmissionBasis::ListDoubt);
    // The next confirmation, and all that waited was read.
    router.report_overdue_openings(clock_at(now + 10));
    router.set_confirmed_at(clock_at(now + 10));
    assert!(refusals(&mut router, now + 10, 444, 0) > 100);
}

// The list may be old, and with it the slots.
#[test]
fn unconfirmed_refuses_nothing() {
    let mut router = load_router(&backends());
    apply_steady_load(&mut router, 0, &burst());
    for step in 20..80 {
        router.apply_load_view(
            clock_at(step * 50),
            Arc::new(load_view(clock_at(step * 50), &burst())),
        );
    }
    assert_eq!(refusals(&mut router, 3_950, 444, 0), 0);
}

// An open flow is ended because slots are scarce.
#[test]
fn open_flows_kept() {
    let mut router = load_router(&backends());
    let keys: Vec<_> = (0..50).map(|caller| key_at(caller, 7_000, 444)).collect();
    let numbers: Vec<_> =
        keys.iter().map(|key| open_flow(&mut router, 0, *key).expect("is placed")).collect();
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

// A priority that the list changes counts only after a restart.
#[test]
fn priority_changed() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    assert!(refusals(&mut router, now, 444, 0) > 100);
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
    assert_eq!(refusals(&mut router, now, 444, 0), 0);
    assert!(refusals(&mut router, now, 443, 0) > 100);
}

// Slots of an evacuated data centre count as room, and all wait.
#[test]
fn evacuated_slots() {
    // 35 slots are needed: two data centres have them, one doesn't.
    let per_s = [(1, 100.0), (2, 250.0)];
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 40.0)])),
        (REMOTE_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, 10.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &loads);
    assert_eq!(refusals(&mut router, now, 444, 0), 0);
    router.apply_rows(clock_at(now), &[evacuation_row(REMOTE_CENTRE, 9)]);
    let now = apply_steady_load(&mut router, now + 50, &loads);
    let refused = refusals(&mut router, now, 444, 0);
    assert!(refused > 50, "{refused} of 200");
}

// Slots of dead and of slow backend servers count as room.
#[test]
fn lost_slots() {
    let mut router = load_router(&backends());
    apply_steady_load(&mut router, 0, &burst());
    assert_eq!(router.load_reports(clock_at(950))[0].slots, 40.0);
    let gone: Vec<_> =
        (11..=20).map(|number| listed_backend(number, "desk", REMOTE_CENTRE, 2)).collect();
    let rows: Vec<_> = gone.iter().map(|row| draining_row(row, 9)).collect();
    router.apply_rows(clock_at(960), &rows);
    router.apply_load_view(clock_at(960), Arc::new(load_view(clock_at(960), &burst())));
    assert_eq!(router.load_reports(clock_at(960))[0].slots, 20.0);
}

// One client account that asks ten times as often as others takes their slots.
#[test]
fn account_share_kept() {
    let mut router = load_router(&backends());
    let account =
        |caller: u8| foxledge_admission::AccountKey::of(*flow_key(caller, 1).caller.ip()).0;
    let mut now = 0;
    // A third of the openings are of the account 250, the others of twenty.
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
            let key = key_at(caller, port, service_port);
            router.set_confirmed_at(clock_at(now));
            let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
            matches!(decision, FlowDecision::Refuse(RefuseReason::AccountShare))
        });
        decisions.filter(|is_refused| *is_refused).count()
    };
    assert!(refused(250..251, 443) > 20);
    assert_eq!(refused(0..5, 443), 0);
}

// Operators can't see when and why flows are refused.
#[test]
fn shortage_told() {
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &burst());
    let changes: Vec<_> = router.drain_load_events().iter().map(|news| news.change).collect();
    assert_eq!(changes, [LoadChange::ShortageBegun]);
    let refused = refusals(&mut router, now, 444, 0) as u64;
    let [report] = router.load_reports(clock_at(now)).try_into().expect("one service");
    assert!(
        report.is_short && report.admitted_shares[&1] == 1.0 && report.admitted_shares[&2] < 0.5
    );
    assert_eq!((report.load_ratio, report.slots), (2.0, 40.0));
    assert_eq!(
        (report.refused_flows.get(&1), report.refused_flows.get(&2)),
        (None, Some(&refused))
    );

    let keys = (0..50).map(|caller| key_at(caller, 9, 444));
    let explained =
        keys.map(|key| (key, router.explain(clock_at(now), &key, 0).load.expect("is on")));
    for (key, load) in explained.collect::<Vec<_>>() {
        assert_eq!((load.basis, load.priority), (AdmissionBasis::Shortage, 2));
        let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
        let is_refused = matches!(decision, FlowDecision::Refuse(_));
        assert_eq!(is_refused, load.verdict != foxledge_admission::AdmissionDecision::Admitted);
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
