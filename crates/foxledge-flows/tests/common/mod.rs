//! Rows and packets for tests.
#![allow(dead_code)]

pub mod load;

use std::net::{Ipv4Addr, SocketAddrV4};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_flows::{
    FlowDecision, FlowKey, FlowPacket, FlowRouter, PacketKind, RouterOptions,
    list::ListBounds,
    rows::{
        BackendRow, EvacuationRow, ExtensionValue, LIMITS_KEY, LimitsRow, ListRow, RemovedRow,
        RouteRow, RowValue, ServiceRow, ServiceShare, backend_key, evacuation_key, route_key,
        service_key,
    },
};

pub const LOCAL_CENTRE: &str = "toledo";
pub const REMOTE_CENTRE: &str = "erie";
pub const SERVICE_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// The clock time `millis` after the start of the test, which is an hour into the clock.
pub fn clock_at(millis: u64) -> ClockTime {
    ClockTime::from_micros(3_600_000_000 + millis * 1_000)
}

pub fn route_row(name: &str, port: u16, service: &str, revision: u64) -> ListRow {
    let route = RouteRow {
        name: name.to_owned(),
        position: u32::from(port),
        ip: u32::from(SERVICE_IP),
        port: u32::from(port),
        shares: vec![ServiceShare { service: service.to_owned(), weight: 1 }],
        priority: 1,
        timeout_ms: 1_000,
        idempotent: true,
        regions: Vec::new(),
        aim_ms: 0,
    };
    ListRow { key: route_key(name), revision, value: Some(RowValue::Route(route)) }
}

pub fn limits_row(version: u64, revision: u64) -> ListRow {
    let limits = LimitsRow { version, idle_ms: 15_000 };
    ListRow { key: LIMITS_KEY.to_owned(), revision, value: Some(RowValue::Limits(limits)) }
}

/// Returns the bounds of a list that is complete up to `head`.
pub fn bounds_at(head: u64) -> ListBounds {
    ListBounds { head, ..ListBounds::default() }
}

pub fn backend_spec(number: u64, service: &str, centre: &str) -> BackendRow {
    BackendRow {
        number,
        service: service.to_owned(),
        ip: u32::from(Ipv4Addr::new(10, 128, 0, number as u8)),
        port: 8_080,
        data_centre: centre.to_owned(),
        slots: 2,
        draining: false,
        warm_in_ms: 0,
        incarnation: 0,
        created_revision: 0,
    }
}

pub fn listed_backend(number: u64, service: &str, centre: &str, revision: u64) -> ListRow {
    backend_row(backend_spec(number, service, centre), revision)
}

pub fn backend_row(spec: BackendRow, revision: u64) -> ListRow {
    ListRow {
        key: backend_key(&format!("i-{:x}", spec.number)),
        revision,
        value: Some(RowValue::Backend(spec)),
    }
}

pub fn draining_row(row: &ListRow, revision: u64) -> ListRow {
    let mut row = row.clone();
    row.revision = revision;
    if let Some(RowValue::Backend(spec)) = &mut row.value {
        spec.draining = true;
    }
    row
}

pub fn removed_row(row: &ListRow, revision: u64, age_ms: u32) -> ListRow {
    let backend = match &row.value {
        Some(RowValue::Backend(spec)) => Some(spec.clone()),
        _ => None,
    };
    let value = Some(RowValue::Removed(RemovedRow { backend, age_ms }));
    ListRow { key: row.key.clone(), revision, value }
}

pub fn flow_key(caller: u8, port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, caller), port),
        service: SocketAddrV4::new(SERVICE_IP, 443),
    }
}

pub fn opening_packet(key: FlowKey, attempt: u32) -> FlowPacket {
    flow_packet(key, PacketKind::Open { attempt }, 0)
}

pub fn flow_packet(key: FlowKey, kind: PacketKind, token: u32) -> FlowPacket {
    FlowPacket { key, kind, token, sequence: 1_000, acknowledged: 0, length: 0 }
}

pub fn data_packet(key: FlowKey, token: u32, sequence: u32, acknowledged: u32) -> FlowPacket {
    FlowPacket { key, kind: PacketKind::Continue, token, sequence, acknowledged, length: 100 }
}

pub fn empty_router() -> FlowRouter {
    FlowRouter::new(RouterOptions::new(CentreName::new(LOCAL_CENTRE)))
}

/// A router with one route to `desk` and these backend servers, confirmed at the start.
pub fn listed_router(backends: &[ListRow]) -> FlowRouter {
    let mut router = empty_router();
    let mut rows = vec![limits_row(1, 1), route_row("r", 443, "desk", 1)];
    rows.extend(backends.iter().cloned());
    router.apply_rows(clock_at(0), &rows);
    router.set_confirmed_at(clock_at(0));
    router
}

/// Returns the number of the backend server in a decision, or `None` for other decisions.
pub fn decided_backend(router: &FlowRouter, decision: &FlowDecision) -> Option<u64> {
    let index = match decision {
        FlowDecision::Open { backend, .. } | FlowDecision::Forward { backend, .. } => *backend,
        FlowDecision::Refuse(_)
        | FlowDecision::Reset { .. }
        | FlowDecision::Relay
        | FlowDecision::Drop(_) => return None,
    };
    router.backend(index).map(|backend| backend.number)
}

/// Opens a flow that its caller continues, and returns the number of its backend server.
pub fn open_flow(router: &mut FlowRouter, now: u64, key: FlowKey) -> Option<u64> {
    let decision = router.on_packet(clock_at(now), &opening_packet(key, 0));
    let number = decided_backend(router, &decision)?;
    router.on_packet(clock_at(now + 7), &flow_packet(key, PacketKind::Continue, number as u32));
    Some(number)
}

/// Row of an evacuated data centre.
pub fn evacuation_row(centre: &str, revision: u64) -> ListRow {
    let evacuation = ExtensionValue::Evacuation(EvacuationRow { data_centre: centre.to_owned() });
    let value = Some(RowValue::from_extension(&evacuation));
    ListRow { key: evacuation_key(centre), revision, value }
}

/// Row of a service whose cold backend servers get at most `flows_per_s` new flows a second.
pub fn service_row(name: &str, warm_up_ms: u32, flows_per_s: u64, revision: u64) -> ListRow {
    let limits =
        ServiceRow { name: name.to_owned(), warm_up_ms, cold_flows_per_ks: flows_per_s * 1_000 };
    let value = Some(RowValue::from_extension(&ExtensionValue::Service(limits)));
    ListRow { key: service_key(name), revision, value }
}
