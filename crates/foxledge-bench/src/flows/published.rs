//! The list of a run.

use foxledge_flows::rows::{
    BackendRow, LIMITS_KEY, LimitsRow, ListRow, RouteRow, RowValue, ServiceShare, backend_key,
    route_key,
};

use crate::flows::{callers::RequestClass, plan::SLOTS, sites::SitePlan};

/// The service of all routes.
const SERVICE: &str = "auction-desk";

/// The list: a route for feeds, one for bids, and the backend servers.
pub(super) fn published_rows(site: &SitePlan, server_centres: &[usize]) -> Vec<ListRow> {
    let limits = RowValue::Limits(LimitsRow { version: 1, idle_ms: 15_000 });
    let mut rows = vec![ListRow { key: LIMITS_KEY.to_owned(), revision: 1, value: Some(limits) }];
    for (name, class) in [("feeds", RequestClass::Feed), ("bids", RequestClass::Bid)] {
        let route = RouteRow {
            name: name.to_owned(),
            position: 0,
            ip: u32::from(*class.address().ip()),
            port: u32::from(class.address().port()),
            shares: vec![ServiceShare { service: SERVICE.to_owned(), weight: 1 }],
            priority: u32::from(class == RequestClass::Feed) + 1,
            timeout_ms: class.timeout().as_millis() as u32,
            idempotent: class == RequestClass::Feed,
            regions: Vec::new(),
            aim_ms: 0,
        };
        let value = Some(RowValue::Route(route));
        rows.push(ListRow { key: route_key(name), revision: 1, value });
    }
    for (server, centre) in server_centres.iter().enumerate() {
        rows.push(backend_row(server, site.centres[*centre].name, 1));
    }
    rows
}

/// The row of a backend server, whose start is told by the row's revision.
pub(super) fn backend_row(server: usize, centre: &str, revision: u64) -> ListRow {
    let backend = BackendRow {
        number: server as u64 + 1,
        service: SERVICE.to_owned(),
        ip: 0x0a00_0001 + server as u32,
        port: 80,
        data_centre: centre.to_owned(),
        slots: SLOTS,
        draining: false,
        warm_in_ms: 0,
        incarnation: revision,
        created_revision: 0,
    };
    let key = backend_key(&format!("i-{server}"));
    ListRow { key, revision, value: Some(RowValue::Backend(backend)) }
}
