//! Uploads of many parts at a backend server.

use std::net::SocketAddr;

use foxledge_core::{hash::digest_of, time::ClockTime};
use foxledge_fakes::backend::{BackendEffect, BackendOptions, BackendState, content::AnswerBody};
use foxledge_wire::{
    PROTOCOL_VERSION, decode_packet, encode_packet,
    flow::{Packet, PacketKind, RefusalReason, RunOutcome, WorkKind},
};

const PARTS: u32 = 100;

struct UploadBench {
    state: BackendState,
    now: ClockTime,
}

impl UploadBench {
    fn new() -> UploadBench {
        let state = BackendState::new(BackendOptions::new("i1", "lot-intake"));
        UploadBench { state, now: ClockTime::from_micros(1) }
    }

    fn take(&mut self, packet: &Packet) -> Vec<Packet> {
        let home = SocketAddr::from(([127, 0, 0, 1], 4000));
        sent(self.state.on_datagram(self.now, home, &encode_packet(packet)))
    }

    fn pass(&mut self, millis: u64) -> Vec<Packet> {
        self.now = self.now.after_millis(millis);
        sent(self.state.on_wake(self.now))
    }
}

fn sent(effects: Vec<BackendEffect>) -> Vec<Packet> {
    let read = |BackendEffect::Send { bytes, .. }| decode_packet(&bytes).unwrap();
    effects.into_iter().map(read).collect()
}

fn part(part: u32) -> Packet {
    Packet {
        version: PROTOCOL_VERSION,
        kind: PacketKind::Work as i32,
        flow: 7,
        request: 1,
        work: WorkKind::Upload as i32,
        time_left_ms: 5000,
        part,
        parts: PARTS,
        payload: format!("part {part}").into_bytes(),
        service: "lot-intake".to_owned(),
        target_incarnation: 1,
        dispatch: 11,
        ..Packet::default()
    }
}

// Symptom: an upload arrives damaged, or never ends.
// Sequence: its parts are reordered and copied on their way.
// Cause: parts put together in the order of their arrival, or copies counted as parts.
#[test]
fn parts_out_of_order_and_copied_make_one_whole_run() {
    let mut bench = UploadBench::new();
    // 37 and 100 have no common divisor, so every part comes once, then every third again.
    let order = (0..PARTS).map(|step| step * 37 % PARTS).collect::<Vec<_>>();
    for number in order.iter().take(99).chain(order.iter().step_by(3).take(33)) {
        let acks = bench.take(&part(*number));
        assert_eq!(acks[0].kind(), PacketKind::Ack);
    }
    let acks = bench.take(&part(order[0]));
    assert_eq!(acks[0].missing, [order[99]]);
    assert_eq!(bench.state.stats(bench.now, false).total_runs, 0);
    assert_eq!(bench.take(&part(order[99]))[0].missing, Vec::<u32>::new());
    let answer = bench.pass(60_000);
    let whole: Vec<u8> = (0..PARTS).flat_map(|number| part(number).payload).collect();
    let body = AnswerBody::decode(&answer[0].payload).unwrap();
    assert_eq!(body.digest, digest_of(&whole));
    assert_eq!(bench.state.stats(bench.now, false).total_runs, 1);
}

#[test]
fn an_acknowledgement_names_the_first_missing_parts() {
    let mut bench = UploadBench::new();
    let ack = bench.take(&part(0)).remove(0);
    assert_eq!((ack.parts, ack.missing), (PARTS, (1..=64).collect()));
}

#[test]
fn an_upload_that_stays_partial_is_refused_as_not_run_at_its_deadline() {
    let mut bench = UploadBench::new();
    (1..PARTS).for_each(|number| drop(bench.take(&part(number))));
    let packets = bench.pass(5000);
    let refusal = packets[0].refusal.unwrap();
    let expected = (RunOutcome::NotRun, RefusalReason::DeadlinePassed);
    assert_eq!((refusal.outcome(), refusal.reason()), expected);
    assert_eq!(packets[1].kind(), PacketKind::Done);
    bench.take(&part(0));
    bench.pass(60_000);
    assert_eq!(bench.state.stats(bench.now, false).total_runs, 0);
}
