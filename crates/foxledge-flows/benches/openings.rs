//! Time of an opening packet by the number of backend servers, with load control and without.
//!
//! `cargo bench -p foxledge-flows --bench openings`

#[path = "../tests/common/mod.rs"]
mod common;

use std::{collections::VecDeque, hint::black_box, net::SocketAddrV4, sync::Arc};

use common::{load::*, *};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use foxledge_admission::AdmissionOptions;
use foxledge_core::names::CentreName;
use foxledge_flows::{FlowKey, FlowRouter, PacketKind, RouterOptions, rows::ListRow};

/// Other instances of the data centre.
const PEER_COUNT: u8 = 18;

#[derive(Clone, Copy)]
struct LoadMode {
    name: &'static str,
    is_on: bool,
    /// Requests per slot in the view.
    load: f64,
}

const MODES: [LoadMode; 4] = [
    LoadMode { name: "off", is_on: false, load: 0.0 },
    LoadMode { name: "calm", is_on: true, load: 0.3 },
    LoadMode { name: "pressed", is_on: true, load: 0.9 },
    LoadMode { name: "short", is_on: true, load: 2.5 },
];

fn rows(servers: u64) -> Vec<ListRow> {
    let row = |number: u64| {
        let mut spec = backend_spec(
            number,
            "desk",
            if number.is_multiple_of(4) { REMOTE_CENTRE } else { LOCAL_CENTRE },
        );
        spec.ip = 0x0a80_0000 + number as u32;
        backend_row(spec, 2)
    };
    (1..=servers).map(row).collect()
}

fn router(mode: LoadMode, servers: u64) -> FlowRouter {
    let mut options = RouterOptions::new(CentreName::new(LOCAL_CENTRE))
        .address(SocketAddrV4::new([10, 9, 0, 99].into(), 7_000));
    if mode.is_on {
        options = options.overflow(true).admission(Some(AdmissionOptions::default()));
    }
    let mut router = fill_router(FlowRouter::new(options), &rows(servers));
    let address = |one| SocketAddrV4::new([10, 9, 0, one].into(), 7_000);
    router.set_neighbours(clock_at(0), (0..PEER_COUNT).map(address).collect());
    router
}

fn apply_load(router: &mut FlowRouter, mode: LoadMode, servers: u64, now: u64) {
    let slots = servers as f64 * 2.0;
    let per_s = [(1, slots * mode.load * 0.25 / 0.05), (2, slots * mode.load * 0.75 / 0.05)];
    let (local, remote) = (slots * 0.75 * mode.load, slots * 0.25 * mode.load);
    let loads = [
        (LOCAL_CENTRE, caller_load(&per_s, &[(LOCAL_CENTRE, local), (REMOTE_CENTRE, remote)])),
        (REMOTE_CENTRE, caller_load(&[], &[])),
    ];
    router.set_confirmed_at(clock_at(now));
    router.apply_load_view(clock_at(now), Arc::new(load_view(clock_at(now), &loads)));
}

/// Flows that are open at the same time.
const OPEN_FLOWS: usize = 20;

/// Opens a flow every millisecond and finishes an earlier one, together with the router's periodic
/// work.
struct OpeningRun {
    router: FlowRouter,
    mode: LoadMode,
    servers: u64,
    count: u64,
    flows: VecDeque<(FlowKey, u32)>,
}

impl OpeningRun {
    fn step(&mut self) {
        let now = 1_000 + self.count;
        if self.count.is_multiple_of(10) {
            self.router.report_overdue_openings(clock_at(now));
        }
        if self.count.is_multiple_of(50) {
            black_box(self.router.collect_local_load(clock_at(now)));
            apply_load(&mut self.router, self.mode, self.servers, now);
        }
        self.count += 1;
        let caller = SocketAddrV4::new(
            [100, 64, (self.count >> 8) as u8, self.count as u8].into(),
            1_024 + (self.count >> 16) as u16,
        );
        let service = SocketAddrV4::new(SERVICE_IP, 443 + (self.count % 2) as u16);
        let key = FlowKey { caller, service };
        let decision = self.router.on_packet(clock_at(now), &opening_packet(key, 0));
        let number = decided_backend(&self.router, &decision);
        self.flows.extend(number.map(|number| (key, number as u32)));
        if self.flows.len() > OPEN_FLOWS
            && let Some((key, token)) = self.flows.pop_front()
        {
            black_box(
                self.router.on_packet(clock_at(now), &flow_packet(key, PacketKind::Finish, token)),
            );
        }
    }
}

fn openings(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("opening");
    for servers in [30, 120, 4_800] {
        for mode in MODES {
            let mut run = OpeningRun {
                router: router(mode, servers),
                mode,
                servers,
                count: 0,
                flows: VecDeque::new(),
            };
            group.bench_function(BenchmarkId::new(mode.name, servers), |bencher| {
                bencher.iter(|| run.step());
            });
        }
    }
    group.finish();
}

fn views(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("view");
    for servers in [30, 4_800, 38_000] {
        let mode = MODES[2];
        let mut router = router(mode, servers);
        let mut now = 1_000;
        group.bench_function(BenchmarkId::new("step", servers), |bencher| {
            bencher.iter(|| {
                now += 50;
                black_box(router.collect_local_load(clock_at(now)));
                apply_load(&mut router, mode, servers, now);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, openings, views);
criterion_main!(benches);
