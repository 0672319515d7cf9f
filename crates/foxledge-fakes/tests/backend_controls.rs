//! What a backend server says of its load, and the orders that bend it.

use std::net::SocketAddr;

use foxledge_core::time::ClockTime;
use foxledge_fakes::backend::{
    BackendEffect, BackendOptions, BackendOrder, BackendReply, BackendState, LoadSaying,
};
use foxledge_wire::{
    PROTOCOL_VERSION, decode_packet, encode_packet,
    flow::{LoadReport, Packet, PacketKind, WorkKind},
};

struct ControlBench {
    state: BackendState,
    now: ClockTime,
}

impl ControlBench {
    /// A server whose two slots are busy for long, with one request queued.
    fn busy() -> ControlBench {
        let state = BackendState::new(BackendOptions::new("a1", "auction-desk"));
        let mut bench = ControlBench { state, now: ClockTime::from_micros(1) };
        bench.order(BackendOrder::Slow { factor: 1e6 });
        (1..=3).for_each(|dispatch| drop(bench.take(&bid(dispatch))));
        bench
    }

    fn order(&mut self, order: BackendOrder) -> BackendReply {
        self.state.on_order(self.now, order)
    }

    fn take(&mut self, packet: &Packet) -> Vec<Packet> {
        let home = SocketAddr::from(([127, 0, 0, 1], 4000));
        let effects = self.state.on_datagram(self.now, home, &encode_packet(packet));
        let read = |BackendEffect::Send { bytes, .. }| decode_packet(&bytes).unwrap();
        effects.into_iter().map(read).collect()
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now.after_millis(millis);
        self.state.on_wake(self.now);
    }

    fn probe(&mut self) -> Option<LoadReport> {
        let probe = Packet { kind: PacketKind::Probe as i32, ..bid(0) };
        let reply = self.take(&probe).pop()?;
        assert_eq!(reply.kind(), PacketKind::ProbeReply);
        reply.load
    }
}

fn bid(dispatch: u64) -> Packet {
    Packet {
        version: PROTOCOL_VERSION,
        kind: PacketKind::Work as i32,
        flow: 7,
        request: dispatch,
        work: WorkKind::Bid as i32,
        time_left_ms: 60_000,
        parts: 1,
        service: "auction-desk".to_owned(),
        target_incarnation: 1,
        dispatch,
        ..Packet::default()
    }
}

#[test]
fn reports_say_what_they_are_ordered_to() {
    let idle = LoadReport { healthy: true, ..LoadReport::default() };
    let truth = LoadReport { busy_slots: 2, connections: 3, queued: 1, ..idle };
    let table = [
        (BackendOrder::Lie { say: LoadSaying::Truth }, truth),
        (BackendOrder::Lie { say: LoadSaying::HealthyIdle }, idle),
        (BackendOrder::Lie { say: LoadSaying::Unhealthy }, LoadReport { healthy: false, ..truth }),
        (BackendOrder::Lag { ms: 100 }, idle),
        (BackendOrder::Cold { ms: 100 }, LoadReport { cold: true, ..truth }),
        (BackendOrder::Drain { go_away_ms: 1000 }, LoadReport { draining: true, ..truth }),
    ];
    for (order, expected) in table {
        let mut bench = ControlBench::busy();
        assert_eq!(bench.order(order.clone()), BackendReply::Done);
        assert_eq!(bench.probe(), Some(expected), "{order:?}");
    }
}

#[test]
fn a_lagging_report_tells_what_was() {
    let mut bench = ControlBench::busy();
    bench.order(BackendOrder::Lag { ms: 100 });
    bench.pass(99);
    assert_eq!(bench.probe().unwrap().busy_slots, 0);
    bench.pass(1);
    assert_eq!(bench.probe().unwrap().busy_slots, 2);
}

#[test]
fn a_mute_server_answers_nothing_until_it_speaks_again() {
    let mut bench = ControlBench::busy();
    bench.order(BackendOrder::Mute { on: true });
    assert_eq!(bench.probe(), None);
    assert_eq!(bench.take(&bid(4)), []);
    // The deadline of the queued request passes without a word.
    bench.now = bench.now.after_millis(60_000);
    assert_eq!(bench.state.on_wake(bench.now), []);
    bench.order(BackendOrder::Mute { on: false });
    assert!(bench.probe().is_some());
}

#[test]
fn counts_tell_busy_time_runs_and_peaks() {
    let mut bench = ControlBench::busy();
    bench.pass(1250);
    let BackendReply::Stats(stats) = bench.order(BackendOrder::Stats { runs: true }) else {
        panic!("no counts");
    };
    assert_eq!((stats.total_runs, stats.runs.len(), stats.peak_connections), (2, 2, 3));
    assert_eq!((stats.busy_slots, stats.queued), (2, 1));
    assert_eq!(stats.windows.busy.len(), 3);
    assert!((stats.windows.busy[1] - 2.0).abs() < 1e-9, "{:?}", stats.windows);
    assert!((2498..=2500).contains(&stats.busy_ms), "{}", stats.busy_ms);
    let ran = |request| BackendOrder::Ran { flow: 7, request };
    assert!(matches!(bench.order(ran(1)), BackendReply::Ran(Some(record)) if record.runs == 1));
    assert_eq!(bench.order(ran(3)), BackendReply::Ran(None));
}

#[test]
fn orders_are_read_from_lines() {
    let table = [
        (r#"{"order":"stats"}"#, BackendOrder::Stats { runs: false }),
        (r#"{"order":"drain","go_away_ms":500}"#, BackendOrder::Drain { go_away_ms: 500 }),
        (
            r#"{"order":"lie","say":"healthy-idle"}"#,
            BackendOrder::Lie { say: LoadSaying::HealthyIdle },
        ),
        (r#"{"order":"mute-old"}"#, BackendOrder::MuteOld),
        (r#"{"order":"stop-gracefully","ms":9}"#, BackendOrder::StopGracefully { ms: 9 }),
        (
            r#"{"order":"ran","flow":18446744073709551615,"request":1}"#,
            BackendOrder::Ran { flow: u64::MAX, request: 1 },
        ),
    ];
    for (line, order) in table {
        assert_eq!(serde_json::from_str::<BackendOrder>(line).unwrap(), order);
    }
    assert!(serde_json::from_str::<BackendOrder>(r#"{"order":"dance"}"#).is_err());
}
