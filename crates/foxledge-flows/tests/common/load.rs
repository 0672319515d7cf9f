//! Load views for tests.

use std::{collections::BTreeMap, sync::Arc};

use foxledge_admission::AdmissionOptions;
use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{FlowRouter, RouterOptions, rows::ListRow};
use foxledge_load::{CentreView, LoadView, PriorityLoad, ServiceKey, ServiceLoad};

use super::{LOCAL_CENTRE, clock_at, limits_row, route_row};

/// Work time of every request in these views, in microseconds.
pub const WORK_US: f64 = 50_000.0;

/// Load of callers that send `per_s` requests a second by priority, with the running requests by
/// data centre.
pub fn caller_load(per_s: &[(u32, f64)], running: &[(&str, f64)]) -> ServiceLoad {
    let load = |arrivals_per_s| PriorityLoad { arrivals_per_s, work_us: WORK_US };
    ServiceLoad {
        priorities: per_s.iter().map(|(priority, rate)| (*priority, load(*rate))).collect(),
        running: running.iter().map(|(name, count)| (CentreName::new(name), *count)).collect(),
    }
}

/// A reliable view of the service `desk`, reported at `now`.
pub fn load_view(now: ClockTime, centres: &[(&str, ServiceLoad)]) -> LoadView {
    let centre = |load: &ServiceLoad| CentreView {
        reported_at: now,
        instances: 19,
        report_count: 8,
        services: BTreeMap::from([(ServiceKey::from_name("desk"), load.clone())]),
    };
    LoadView {
        created_at: now,
        is_reliable: true,
        centres: centres.iter().map(|(name, load)| (CentreName::new(name), centre(load))).collect(),
        ..LoadView::default()
    }
}

/// A router with load control, a route of priority 1 at port 443 and one of priority 2 at port 444
/// to `desk`, and these backend servers.
pub fn load_router(backends: &[ListRow]) -> FlowRouter {
    let options = RouterOptions::new(CentreName::new(LOCAL_CENTRE))
        .overflow(true)
        .admission(Some(AdmissionOptions::default()));
    fill_router(FlowRouter::new(options), backends)
}

/// Gives a router these routes and backend servers, confirmed at the start.
pub fn fill_router(mut router: FlowRouter, backends: &[ListRow]) -> FlowRouter {
    let mut rows = vec![limits_row(1, 1), route_row("r", 443, "desk", 1), second_route_row(2, 1)];
    rows.extend(backends.iter().cloned());
    router.apply_rows(clock_at(0), &rows);
    router.set_confirmed_at(clock_at(0));
    router
}

/// Row of the route at port 444, with a priority.
pub fn second_route_row(priority: u32, revision: u64) -> ListRow {
    let mut row = route_row("s", 444, "desk", revision);
    if let Some(foxledge_flows::rows::RowValue::Route(route)) = &mut row.value {
        route.priority = priority;
        route.aim_ms = 400;
    }
    row
}

/// Applies the same load every 50 ms until the damped shares have settled, and returns the last
/// time.
pub fn apply_steady_load(
    router: &mut FlowRouter,
    from: u64,
    centres: &[(&str, ServiceLoad)],
) -> u64 {
    let steps = 20;
    for step in 0..steps {
        let now = from + step * 50;
        router.set_confirmed_at(clock_at(now));
        router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), centres)));
    }
    from + (steps - 1) * 50
}
