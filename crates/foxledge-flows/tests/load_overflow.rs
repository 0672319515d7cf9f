//! New flows leave a data centre that is full for one with room.

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

/// Callers whose requests need so many slots.
fn demand(slots: f64, running: &[(&str, f64)]) -> ServiceLoad {
    caller_load(&[(1, slots / 0.05)], running)
}

/// The data centre of the backend server that a decision leads to.
fn centre_of(router: &FlowRouter, decision: &FlowDecision) -> Option<CentreName> {
    match decision {
        FlowDecision::Open { backend, .. } => {
            router.backend(*backend).map(|backend| backend.data_centre.clone())
        }
        _ => None,
    }
}

/// Opens flows, each of which ends at once; counts those by data centre.
fn spread(router: &mut FlowRouter, now: u64, flows: u16) -> [u32; 3] {
    let mut counts = [0; 3];
    for port in 0..flows {
        let key = flow_key((port % 200) as u8, 2_000 + port);
        let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
        let number = decided_backend(router, &decision).expect("is placed");
        let centre = centre_of(router, &decision).expect("is placed");
        let place =
            [LOCAL_CENTRE, REMOTE_CENTRE, THIRD].iter().position(|name| *name == centre.as_str());
        counts[place.expect("is known")] += 1;
        router.on_packet(clock_at(now), &flow_packet(key, PacketKind::Finish, number as u32));
    }
    counts
}

// A burst in one data centre waits for its slots while those of the others are idle.
#[test]
fn excess_leaves() {
    let mut router = load_router(&backends());
    // 60 slots are needed of 60, 40 of them by near callers: half of these flows must leave.
    let centres = [
        (LOCAL_CENTRE, demand(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand(10.0, &[(REMOTE_CENTRE, 10.0)])),
        (THIRD, demand(10.0, &[(THIRD, 10.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [near, far, third] = spread(&mut router, now, 2_000);
    assert!((900..=1_100).contains(&near), "{near} near, {far} and {third} far");
    assert!((400..=600).contains(&far) && (400..=600).contains(&third), "{far} and {third}");
}

// Flows cross between data centres though the own one has slots for them.
#[test]
fn room_stays_near() {
    let mut router = load_router(&backends());
    let centres = [
        (LOCAL_CENTRE, demand(15.0, &[(LOCAL_CENTRE, 15.0)])),
        (REMOTE_CENTRE, demand(2.0, &[(REMOTE_CENTRE, 2.0)])),
        (THIRD, demand(2.0, &[(THIRD, 2.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    assert_eq!(spread(&mut router, now, 500), [500, 0, 0]);
    assert_eq!(router.drain_load_events(), []);
}

// Flows go to a data centre that hasn't told its load, which may be full or cut off.
#[test]
fn unheard_gets_none() {
    let mut router = load_router(&backends());
    let centres = [
        (LOCAL_CENTRE, demand(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand(10.0, &[(REMOTE_CENTRE, 10.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [_, far, third] = spread(&mut router, now, 1_000);
    assert!(far > 200 && third == 0, "{far} and {third}");
}

// An evacuated data centre gets flows because its slots look idle.
#[test]
fn evacuated_gets_none() {
    let mut router = load_router(&backends());
    router.apply_rows(clock_at(0), &[evacuation_row(REMOTE_CENTRE, 9)]);
    let centres = [
        (LOCAL_CENTRE, demand(30.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand(1.0, &[(REMOTE_CENTRE, 0.0)])),
        (THIRD, demand(5.0, &[(THIRD, 6.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [_, far, third] = spread(&mut router, now, 1_000);
    assert!(far == 0 && third > 200, "{far} and {third}");
    // It has slots again with the next view after its end.
    router.apply_rows(clock_at(now), &[removed_row(&evacuation_row(REMOTE_CENTRE, 9), 10, 0)]);
    let later = apply_steady_load(&mut router, now + 50, &centres);
    assert!(spread(&mut router, later, 1_000)[1] > 200);
}

// Callers of an evacuated data centre are all sent to one other, or to the evacuated one.
#[test]
fn own_evacuated() {
    let mut router = load_router(&backends());
    router.apply_rows(clock_at(0), &[evacuation_row(LOCAL_CENTRE, 9)]);
    let centres = [
        (LOCAL_CENTRE, demand(10.0, &[(REMOTE_CENTRE, 5.0), (THIRD, 5.0)])),
        (REMOTE_CENTRE, demand(15.0, &[(REMOTE_CENTRE, 15.0)])),
        (THIRD, demand(5.0, &[(THIRD, 5.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    let [near, far, third] = spread(&mut router, now, 1_000);
    assert!(near == 0 && third > 5 * far, "{near}, {far} and {third}");
}

// Flows whose route allows the own region only leave it.
#[test]
fn regions_kept() {
    let regions = [(LOCAL_CENTRE, "lakes"), (REMOTE_CENTRE, "plains"), (THIRD, "plains")];
    let regions =
        regions.map(|(centre, region)| (CentreName::new(centre), RegionName::new(region)));
    let options =
        RouterOptions::new(CentreName::new(LOCAL_CENTRE)).overflow(true).regions(regions.into());
    let mut router = fill_router(FlowRouter::new(options), &backends());
    let mut row = route_row("r", 443, "desk", 5);
    if let Some(foxledge_flows::rows::RowValue::Route(route)) = &mut row.value {
        route.regions = vec!["lakes".to_owned()];
    }
    router.apply_rows(clock_at(0), &[row]);
    let centres = [
        (LOCAL_CENTRE, demand(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand(2.0, &[])),
        (THIRD, demand(2.0, &[])),
    ];
    let now = apply_steady_load(&mut router, 0, &centres);
    assert_eq!(spread(&mut router, now, 300), [300, 0, 0]);
}

// Flows keep leaving by a view that nobody renews, or leave by one that isn't sure.
#[test]
fn lapsed_view() {
    let centres = [
        (LOCAL_CENTRE, demand(40.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand(2.0, &[(REMOTE_CENTRE, 2.0)])),
        (THIRD, demand(2.0, &[(THIRD, 2.0)])),
    ];
    let mut router = load_router(&backends());
    let now = apply_steady_load(&mut router, 0, &centres);
    assert!(spread(&mut router, now, 500)[0] < 400);
    router.set_confirmed_at(clock_at(now + 2_001));
    assert_eq!(spread(&mut router, now + 2_001, 500), [500, 0, 0]);

    let mut router = load_router(&backends());
    for step in 0..20 {
        let mut unsure = load_view(clock_at(step * 50), &centres);
        unsure.is_reliable = false;
        router.apply_load_view(clock_at(step * 50), Arc::new(unsure));
    }
    assert_eq!(spread(&mut router, 950, 500), [500, 0, 0]);
}

// Operators can't see when and why flows leave a data centre.
#[test]
fn overflow_told() {
    let mut router = load_router(&backends());
    let burst = [
        (LOCAL_CENTRE, demand(30.0, &[(LOCAL_CENTRE, 30.0)])),
        (REMOTE_CENTRE, demand(5.0, &[(REMOTE_CENTRE, 5.0)])),
        (THIRD, demand(5.0, &[(THIRD, 5.0)])),
    ];
    let now = apply_steady_load(&mut router, 0, &burst);
    let [begun] = router.drain_load_events().try_into().expect("one change");
    assert_eq!(begun.change, LoadChange::OverflowBegun);
    assert_eq!((begun.report.reporting_instances, begun.report.view_age_ms), (8, Some(0)));
    assert_eq!((begun.report.slots, begun.report.demand.round()), (60.0, 40.0));
    let share_of = |centres: &[foxledge_flows::CentreLoad], name: &str| {
        centres.iter().find(|one| one.data_centre.as_str() == name).map(|one| one.overflow_share)
    };
    // 14 of 30 leave for two data centres with equal room: the level is 0.8.
    let [report] = router.load_reports(clock_at(now)).try_into().expect("one service");
    let share = share_of(&report.centres, REMOTE_CENTRE).expect("is known");
    assert!((share - 7.0 / 30.0).abs() < 0.01, "{share}");

    let explanation = (0..200)
        .map(|port| router.explain(clock_at(now), &flow_key(1, 3_000 + port), 0))
        .find(|one| one.load.as_ref().is_some_and(|load| load.overflow_to.is_some()))
        .expect("some leave");
    let load = explanation.load.expect("is on");
    assert_eq!((load.priority, load.verdict), (1, AdmissionDecision::Admitted));
    let chosen = explanation.choice.and_then(|(index, _)| router.backend(index));
    assert_eq!(chosen.map(|one| one.data_centre.clone()), load.overflow_to);

    let calm = [
        (LOCAL_CENTRE, demand(5.0, &[(LOCAL_CENTRE, 5.0)])),
        (REMOTE_CENTRE, demand(5.0, &[(REMOTE_CENTRE, 5.0)])),
    ];
    apply_steady_load(&mut router, now + 50, &calm);
    let [ended] = router.drain_load_events().try_into().expect("one change");
    assert_eq!(ended.change, LoadChange::OverflowEnded);
}
