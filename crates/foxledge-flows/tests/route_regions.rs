//! Routes whose requests may be served only in some regions.

mod common;

use std::collections::HashMap;

use common::*;
use foxledge_core::names::{CentreName, RegionName};
use foxledge_flows::{
    FlowDecision, FlowRouter, RefuseReason, RouterOptions,
    rows::{ListRow, RowValue},
};

fn route_row_in(regions: &[&str], revision: u64) -> ListRow {
    let mut row = route_row("r", 443, "desk", revision);
    if let Some(RowValue::Route(route)) = &mut row.value {
        route.regions = regions.iter().map(|name| (*name).to_owned()).collect();
    }
    row
}

fn router_with(route: ListRow) -> FlowRouter {
    let regions = [(LOCAL_CENTRE, "lakes"), (REMOTE_CENTRE, "plains")];
    let regions: HashMap<_, _> = regions
        .into_iter()
        .map(|(centre, region)| (CentreName::new(centre), RegionName::new(region)))
        .collect();
    let mut router =
        FlowRouter::new(RouterOptions::new(CentreName::new(LOCAL_CENTRE)).regions(regions));
    let backends = [
        listed_backend(1, "desk", LOCAL_CENTRE, 2),
        listed_backend(2, "desk", REMOTE_CENTRE, 2),
        listed_backend(3, "desk", "unlisted", 2),
    ];
    router.apply_rows(clock_at(0), &[limits_row(1, 1), route]);
    router.apply_rows(clock_at(0), &backends);
    router.set_confirmed_at(clock_at(0));
    router
}

fn place_flow(router: &mut FlowRouter, port: u16) -> Option<u64> {
    let decision =
        router.on_packet(clock_at(u64::from(port)), &opening_packet(flow_key(1, port), 0));
    decided_backend(router, &decision)
}

// Guards against serving requests outside their region: the instance that receives them is
// elsewhere and has local backend servers.
#[test]
fn serves_only_in_allowed_regions() {
    let mut router = router_with(route_row_in(&["plains"], 1));
    for port in 1..30 {
        assert_eq!(place_flow(&mut router, port), Some(2));
    }
}

#[test]
fn refuses_without_a_backend_in_allowed_regions() {
    let mut router = router_with(route_row_in(&["plains"], 1));
    let leaving = draining_row(&listed_backend(2, "desk", REMOTE_CENTRE, 2), 3);
    router.apply_rows(clock_at(50), &[leaving]);
    let decision = router.on_packet(clock_at(60), &opening_packet(flow_key(1, 1), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoRegion));
}

#[test]
fn any_region_serves_a_route_without_regions() {
    let mut router = router_with(route_row_in(&[], 1));
    assert_eq!(place_flow(&mut router, 1), Some(1));
    router.apply_rows(clock_at(50), &[route_row_in(&["nowhere"], 2)]);
    let decision = router.on_packet(clock_at(60), &opening_packet(flow_key(1, 2), 0));
    assert_eq!(decision, FlowDecision::Refuse(RefuseReason::NoRegion));
}
