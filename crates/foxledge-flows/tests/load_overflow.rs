//! Overflow of new flows from a full data centre to one with free slots.

mod common;

use std::sync::Arc;

use common::{load::*, *};
use foxledge_admission::AdmissionDecision;
use foxledge_core::names::{CentreName, RegionName};
use foxledge_flows::{
    FlowDecision, FlowRouter, LoadChange, PacketKind, RouterOptions, rows::ListRow,
};
use foxledge_load::ServiceLoad;

const THIRD: &str = "salem";

/// Ten backend servers of two slots in each data centre.
fn backends() -> Vec<ListRow> {
    let centre = |number: u64| [LOCAL_CENTRE, REMOTE_CENTRE, THIRD][(number / 10) as usize];
    (0..30).map(|number| listed_backend(number + 1, "desk", centre(number), 2)).collect()
}

/// Load of callers whose requests need a number of slots.
fn demand_load(slots: f64, running: &[(&str, f64)]) -> ServiceLoad {
    caller_load(&[(1, slots / 0.05)], running)
}

/// Returns the data centre of the backend server in a decision.
fn decided_centre(router: &FlowRouter, decision: &FlowDecision) -> Option<CentreName> {
    match decision {
        FlowDecision::Open { backend, .. } => {
            router.backend(*backend).map(|backend| backend.data_centre.clone())
        }
        _ => None,
    }
}

/// Opens flows that finish at once, and returns how many each data centre got.
fn place_flows(router: &mut FlowRouter, now: u64, flows: u16) -> [u32; 3] {
    let mut counts = [0; 3];
    for port in 0..flows {
        let key = flow_key((port % 200) as u8, 2_000 + port);
        let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
        let number = decided_backend(router, &decision).expect("the flow is placed");
        let centre = decided_centre(router, &decision).expect("the flow is placed");
        let index =
            [LOCAL_CENTRE, REMOTE_CENTRE, THIRD].iter().position(|name| *name == centre.as_str());
        counts[index.expect("the entry is known")] += 1;
        router.on_packet(clock_at(now), &flow_packet(key, PacketKind::Finish, number as u32));
    }
    counts
}

// Guards against a burst that waits in one data centre while slots of the others are idle.
#[test]
fn excess_flows_leave_a_full_data_centre() {
    let mut router = load_router(&backends());
    // All 60 slots are needed, 40 of them by local callers: half of the local flows must leave.
    let centres = [
        (LOCAL_CENTRE, demand_load(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand_load(10.0, &[(REMOTE_CENTRE, 10.0)])),
        (THIRD, demand_load(10.0, &[(THIRD, 10.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [local, remote, third] = place_flows(&mut router, now, 2_000);
    assert!((900..=1_100).contains(&local), "{local} local, {remote} and {third} remote");
    assert!((400..=600).contains(&remote) && (400..=600).contains(&third), "{remote} and {third}");
}

// Guards against flows that leave a data centre which has slots for them.
#[test]
fn flows_stay_local_while_slots_are_free() {
    let mut router = load_router(&backends());
    let centres = [
        (LOCAL_CENTRE, demand_load(15.0, &[(LOCAL_CENTRE, 15.0)])),
        (REMOTE_CENTRE, demand_load(2.0, &[(REMOTE_CENTRE, 2.0)])),
        (THIRD, demand_load(2.0, &[(THIRD, 2.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    assert_eq!(place_flows(&mut router, now, 500), [500, 0, 0]);
    assert_eq!(router.drain_load_events(), []);
}

// Guards against flows to a data centre without a load report, which may be full or unreachable.
#[test]
fn data_centre_without_a_report_gets_no_overflow() {
    let mut router = load_router(&backends());
    let centres = [
        (LOCAL_CENTRE, demand_load(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand_load(10.0, &[(REMOTE_CENTRE, 10.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [_, remote, third] = place_flows(&mut router, now, 1_000);
    assert!(remote > 200 && third == 0, "{remote} and {third}");
}

// Guards against flows to an evacuated data centre because its slots look idle.
#[test]
fn evacuated_data_centre_gets_no_overflow() {
    let mut router = load_router(&backends());
    router.apply_rows(clock_at(0), &[evacuation_row(REMOTE_CENTRE, 9)]);
    let centres = [
        (LOCAL_CENTRE, demand_load(30.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand_load(1.0, &[(REMOTE_CENTRE, 0.0)])),
        (THIRD, demand_load(5.0, &[(THIRD, 6.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [_, remote, third] = place_flows(&mut router, now, 1_000);
    assert!(remote == 0 && third > 200, "{remote} and {third}");
    // It has slots again in the first view after the evacuation ends.
    router.apply_rows(clock_at(now), &[removed_row(&evacuation_row(REMOTE_CENTRE, 9), 10, 0)]);
    let later = apply_steady_load(&mut router, now + 50, &centres);
    assert!(place_flows(&mut router, later, 1_000)[1] > 200);
}

// Guards against sending all callers of an evacuated data centre to a single other one, or to the
// evacuated one.
#[test]
fn flows_of_an_evacuated_data_centre_follow_free_slots() {
    let mut router = load_router(&backends());
    router.apply_rows(clock_at(0), &[evacuation_row(LOCAL_CENTRE, 9)]);
    let centres = [
        (LOCAL_CENTRE, demand_load(10.0, &[(REMOTE_CENTRE, 5.0), (THIRD, 5.0)])),
        (REMOTE_CENTRE, demand_load(15.0, &[(REMOTE_CENTRE, 15.0)])),
        (THIRD, demand_load(5.0, &[(THIRD, 5.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [local, remote, third] = place_flows(&mut router, now, 1_000);
    assert!(local == 0 && third > 5 * remote, "{local}, {remote} and {third}");
}

// Guards against overflow of a route that allows only the local region.
#[test]
fn overflow_respects_route_regions() {
    let regions = [(LOCAL_CENTRE, "lakes"), (REMOTE_CENTRE, "plains"), (THIRD, "plains")];
    let regions =
        regions.map(|(centre, region)| (CentreName::new(centre), RegionName::new(region)));
    let options =
        RouterOptions::new(CentreName::new(LOCAL_CENTRE)).overflow(true).regions(regions.into());
    let mut router = fill_router(FlowRouter::new(options), &backends());
    let mut route = route_row("r", 443, "desk", 5);
    if let Some(foxledge_flows::rows::RowValue::Route(route)) = &mut route.value {
        route.regions = vec!["lakes".to_owned()];
    }
    router.apply_rows(clock_at(0), &[route]);
    let centres = [
        (LOCAL_CENTRE, demand_load(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand_load(2.0, &[])),
        (THIRD, demand_load(2.0, &[])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    assert_eq!(place_flows(&mut router, now, 300), [300, 0, 0]);
}

// Guards against steering by a view that is no longer updated or that isn't reliable.
#[test]
fn expired_or_unsure_view_stops_overflow() {
    let centres = [
        (LOCAL_CENTRE, demand_load(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand_load(2.0, &[(REMOTE_CENTRE, 2.0)])),
        (THIRD, demand_load(2.0, &[(THIRD, 2.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &centres);
    assert!(place_flows(&mut router, now, 500)[0] < 400);
    router.set_confirmed_at(clock_at(now + 2_001));
    assert_eq!(place_flows(&mut router, now + 2_001, 500), [500, 0, 0]);

    let mut router = load_router(&backends());
    for step in 0..20 {
        let mut unsure = load_view(clock_at(step * 50), &centres);
        unsure.is_reliable = false;
        router.apply_load_view(clock_at(step * 50), Arc::new(unsure));
    }
    assert_eq!(place_flows(&mut router, 950, 500), [500, 0, 0]);
}

// Guards against overflow without events: operators must see when and why flows leave.
#[test]
fn overflow_is_reported_and_explained() {
    let mut router = load_router(&backends());
    let burst = [
        (LOCAL_CENTRE, demand_load(30.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand_load(5.0, &[(REMOTE_CENTRE, 5.0)])),
        (THIRD, demand_load(5.0, &[(THIRD, 5.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &burst);
    let [begun] = router.drain_load_events().try_into().expect("there is one change");
    assert_eq!(begun.change, LoadChange::OverflowBegun);
    assert_eq!((begun.report.reporting_instances, begun.report.view_age_ms), (8, Some(0)));
    assert_eq!((begun.report.slots, begun.report.demand.round()), (60.0, 40.0));
    let share_of = |centres: &[foxledge_flows::CentreLoad], name: &str| {
        centres.iter().find(|one| one.data_centre.as_str() == name).map(|one| one.overflow_share)
    };
    // 14 of 30 leave for two data centres with equally many free slots: the level is 0.8.
    let [report] = router.load_reports(clock_at(now)).try_into().expect("there is one service");
    let share = share_of(&report.centres, REMOTE_CENTRE).expect("the entry is known");
    assert!((share - 7.0 / 30.0).abs() < 0.01, "{share}");

    let explanation = (0..200)
        .map(|port| router.explain(clock_at(now), &flow_key(1, 3_000 + port), 0))
        .find(|one| one.load.as_ref().is_some_and(|load| load.overflow_to.is_some()))
        .expect("some flows leave");
    let load = explanation.load.expect("load control is on");
    assert_eq!((load.priority, load.decision), (1, AdmissionDecision::Admitted));
    let chosen = explanation.choice.and_then(|(index, _)| router.backend(index));
    assert_eq!(chosen.map(|one| one.data_centre.clone()), load.overflow_to);

    let calm = [
        (LOCAL_CENTRE, demand_load(5.0, &[(LOCAL_CENTRE, 5.0)])),
        (REMOTE_CENTRE, demand_load(5.0, &[(REMOTE_CENTRE, 5.0)])),
    ];
    apply_steady_load(&mut router, now + 50, &calm);
    let [ended] = router.drain_load_events().try_into().expect("there is one change");
    assert_eq!(ended.change, LoadChange::OverflowEnded);
}
