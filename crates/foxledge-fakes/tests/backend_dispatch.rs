//! Dispatches of bids at a backend server: what runs, how often, and what is answered.

use std::net::SocketAddr;

use foxledge_core::time::ClockTime;
use foxledge_fakes::{
    backend::{BackendEffect, BackendOptions, BackendOrder, BackendState, content::AnswerBody},
    report::RequestId,
};
use foxledge_wire::{
    PROTOCOL_VERSION, decode_packet, encode_packet,
    flow::{Packet, PacketKind, RefusalReason, RunOutcome, WorkKind},
};

const FLOW: u64 = 7;
/// Longer than any service time that is drawn here.
const LONG_MS: u64 = 5000;

struct DispatchBench {
    state: BackendState,
    now: ClockTime,
}

impl DispatchBench {
    fn new(slots: u32) -> DispatchBench {
        let options = BackendOptions::new("a1", "auction-desk").slots(slots).incarnation(3);
        DispatchBench { state: BackendState::new(options), now: ClockTime::from_micros(1) }
    }

    fn take(&mut self, from: SocketAddr, packet: &Packet) -> Vec<(SocketAddr, Packet)> {
        sent(self.state.on_datagram(self.now, from, &encode_packet(packet)))
    }

    fn kinds(&mut self, packet: &Packet) -> Vec<PacketKind> {
        self.take(home(), packet).iter().map(|(_, packet)| packet.kind()).collect()
    }

    fn pass(&mut self, millis: u64) -> Vec<(SocketAddr, Packet)> {
        self.now = self.now.after_millis(millis);
        sent(self.state.on_wake(self.now))
    }

    fn order(&mut self, order: BackendOrder) {
        self.state.on_order(self.now, order);
    }

    fn runs(&mut self, request: u64) -> u32 {
        let stats = self.state.stats(self.now, true);
        let id = RequestId { flow: FLOW, request };
        stats.runs.iter().find(|run| run.id == id).map_or(0, |run| run.runs)
    }
}

fn sent(effects: Vec<BackendEffect>) -> Vec<(SocketAddr, Packet)> {
    let read = |BackendEffect::Send { to, bytes }| (to, decode_packet(&bytes).unwrap());
    effects.into_iter().map(read).collect()
}

fn home() -> SocketAddr {
    "127.0.0.1:4000".parse().unwrap()
}

fn other_instance() -> SocketAddr {
    "127.0.0.1:4001".parse().unwrap()
}

fn bid(request: u64, dispatch: u64) -> Packet {
    Packet {
        version: PROTOCOL_VERSION,
        kind: PacketKind::Work as i32,
        flow: FLOW,
        address: "auction.lakeshore".to_owned(),
        request,
        work: WorkKind::Bid as i32,
        time_left_ms: 1000,
        parts: 1,
        payload: b"12 crowns".to_vec(),
        return_path: b"way back".to_vec(),
        service: "auction-desk".to_owned(),
        target_incarnation: 3,
        dispatch,
        ..Packet::default()
    }
}

fn of_kind(packet: Packet, kind: PacketKind) -> Packet {
    Packet { kind: kind as i32, payload: Vec::new(), parts: 0, ..packet }
}

fn refusal_in(packets: &[(SocketAddr, Packet)]) -> (RunOutcome, RefusalReason) {
    let refusal = packets.iter().find_map(|(_, packet)| packet.refusal).expect("a refusal");
    (refusal.outcome(), refusal.reason())
}

#[test]
fn a_bid_is_acknowledged_run_answered_and_reported_done() {
    let mut bench = DispatchBench::new(2);
    assert_eq!(bench.kinds(&bid(1, 11)), [PacketKind::Ack]);
    let packets = bench.pass(LONG_MS);
    let (done, answers) = packets.split_last().unwrap();
    assert_eq!(done.1.kind(), PacketKind::Done);
    assert_eq!(done.1.load.unwrap().busy_slots, 0);
    for (part, (to, answer)) in (0u32..).zip(answers) {
        let body = AnswerBody::decode(&answer.payload).unwrap();
        assert_eq!((*to, answer.kind(), answer.part), (home(), PacketKind::Answer, part));
        assert_eq!((body.service.as_str(), body.flow, body.request), ("auction-desk", FLOW, 1));
        assert_eq!((answer.dispatch, answer.return_path.as_slice()), (11, &b"way back"[..]));
    }
    assert_eq!(bench.runs(1), 1);
}

// Symptom: a request runs twice though it was dispatched once.
// Sequence: the network copies the datagram; the copy arrives while the first is queued, while
// it runs, and after it has ended.
// Cause: a copy taken for a dispatch of its own.
#[test]
fn copies_of_one_dispatch_start_one_run() {
    let mut bench = DispatchBench::new(2);
    bench.kinds(&bid(1, 11));
    assert_eq!(bench.kinds(&bid(1, 11)), [PacketKind::Ack]);
    bench.pass(LONG_MS);
    assert!(bench.kinds(&bid(1, 11)).iter().all(|kind| *kind == PacketKind::Answer));
    assert_eq!(bench.runs(1), 1);
}

// Symptom: a doubled run goes unnoticed.
// Sequence: an instance dispatches one request twice under two dispatch ids.
// Cause: a stand-in that suppresses by request instead of by dispatch hides the fault.
#[test]
fn two_dispatches_of_one_request_count_as_two_runs() {
    let mut bench = DispatchBench::new(2);
    bench.kinds(&bid(1, 11));
    bench.kinds(&bid(1, 12));
    assert_eq!(bench.runs(1), 2);
}

/// Work that is refused at once: what is done before, and with what it is refused.
#[test]
fn refused_work_never_runs() {
    type Prepare = fn(&mut DispatchBench, &mut Packet);
    let table: [(&str, Prepare, RefusalReason); 6] = [
        ("other service", |_, work| work.service = "lot-intake".into(), RefusalReason::WrongTarget),
        ("old incarnation", |_, work| work.target_incarnation = 2, RefusalReason::WrongTarget),
        ("no time left", |_, work| work.time_left_ms = 0, RefusalReason::DeadlinePassed),
        (
            "shedding",
            |bench, _| bench.order(BackendOrder::Shed { on: true }),
            RefusalReason::TargetShed,
        ),
        (
            "slots and queue full",
            |bench, _| (1..=3).for_each(|request| drop(bench.kinds(&bid(request, request)))),
            RefusalReason::TargetShed,
        ),
        (
            "planned stop",
            |bench, _| {
                bench.order(BackendOrder::Drain { go_away_ms: 0 });
            },
            RefusalReason::TargetShed,
        ),
    ];
    for (name, prepare, reason) in table {
        let mut bench = DispatchBench::new(1);
        let mut work = bid(99, 99);
        prepare(&mut bench, &mut work);
        let refused = bench.take(home(), &work);
        assert_eq!(refusal_in(&refused), (RunOutcome::NotRun, reason), "{name}");
        // A copy that comes when there is room again must not run either.
        bench.order(BackendOrder::Shed { on: false });
        bench.order(BackendOrder::Undrain);
        bench.pass(LONG_MS);
        bench.take(home(), &work);
        bench.pass(LONG_MS);
        assert_eq!(bench.runs(99), 0, "{name}");
    }
}

// Symptom: work refused as "deadline passed" has run, or runs long after its caller left.
// Sequence: both the slot and the queue are held by others until the time left has run out.
// Cause: the deadline looked at on arrival only.
#[test]
fn queued_work_is_refused_at_its_deadline() {
    let mut bench = DispatchBench::new(1);
    bench.order(BackendOrder::Slow { factor: 1e6 });
    bench.kinds(&bid(1, 11));
    bench.kinds(&bid(2, 12));
    let packets = bench.pass(1000);
    assert_eq!(refusal_in(&packets), (RunOutcome::NotRun, RefusalReason::DeadlinePassed));
    assert_eq!(packets.last().unwrap().1.kind(), PacketKind::Done);
    assert_eq!((bench.runs(1), bench.runs(2)), (1, 0));
}

// Symptom: work starts after its deadline.
// Sequence: the process pauses; when it wakes, a run has ended and the next one's deadline passed.
// Cause: the ended run handled first, and the freed slot given on without a look at the deadline.
#[test]
fn a_server_that_wakes_late_starts_nothing_past_its_deadline() {
    let mut bench = DispatchBench::new(1);
    bench.kinds(&bid(1, 11));
    bench.kinds(&bid(2, 12));
    let packets = bench.pass(LONG_MS);
    assert_eq!(refusal_in(&packets), (RunOutcome::NotRun, RefusalReason::DeadlinePassed));
    bench.pass(LONG_MS);
    assert_eq!((bench.runs(1), bench.runs(2)), (1, 0));
}

#[test]
fn a_poll_through_another_instance_is_answered_there() {
    let mut bench = DispatchBench::new(2);
    bench.kinds(&bid(1, 11));
    let poll = Packet { return_path: b"new way".to_vec(), ..of_kind(bid(1, 11), PacketKind::Poll) };
    let acks = bench.take(other_instance(), &poll);
    assert_eq!((acks[0].0, acks[0].1.kind()), (other_instance(), PacketKind::Ack));
    let packets = bench.pass(LONG_MS);
    let (done, answers) = packets.split_last().unwrap();
    assert!(
        answers
            .iter()
            .all(|(to, answer)| { *to == other_instance() && answer.return_path == b"new way" })
    );
    assert_eq!((done.0, done.1.return_path.as_slice()), (home(), &b"way back"[..]));
}

#[test]
fn a_poll_resends_the_missing_parts_for_thirty_seconds() {
    let mut bench = DispatchBench::new(2);
    // The number of parts follows from the request; take one that has several.
    let request = (1..)
        .find(|request| foxledge_fakes::backend::content::answer_part_count(FLOW, *request) == 3);
    let work = bid(request.unwrap(), 11);
    bench.kinds(&work);
    bench.pass(LONG_MS);
    let poll = Packet { missing: vec![0, 2], ..of_kind(work, PacketKind::Poll) };
    let parts: Vec<_> = bench.take(home(), &poll).iter().map(|(_, answer)| answer.part).collect();
    assert_eq!(parts, [0, 2]);
    bench.pass(30_000);
    let refusal = refusal_in(&bench.take(home(), &poll));
    assert_eq!(refusal, (RunOutcome::Unknown, RefusalReason::TargetLost));
}

// Symptom: a request refused as "not run, cancelled" has run.
// Sequence: the cancel overtakes the work, is confirmed, and the work arrives after it.
// Cause: a cancel of an unknown dispatch that leaves no trace.
#[test]
fn a_cancel_that_overtakes_its_work_prevents_the_run() {
    let mut bench = DispatchBench::new(2);
    let cancelled = bench.take(home(), &of_kind(bid(1, 11), PacketKind::Cancel));
    assert_eq!(refusal_in(&cancelled), (RunOutcome::NotRun, RefusalReason::Cancelled));
    bench.take(home(), &bid(1, 11));
    bench.pass(LONG_MS);
    assert_eq!(bench.runs(1), 0);
}

#[test]
fn a_cancel_says_not_run_only_of_work_that_waits() {
    let mut bench = DispatchBench::new(1);
    bench.kinds(&bid(1, 11));
    bench.kinds(&bid(2, 12));
    let waiting = bench.take(home(), &of_kind(bid(2, 12), PacketKind::Cancel));
    assert_eq!(refusal_in(&waiting), (RunOutcome::NotRun, RefusalReason::Cancelled));
    let running = bench.take(home(), &of_kind(bid(1, 11), PacketKind::Cancel));
    assert_eq!(refusal_in(&running), (RunOutcome::Unknown, RefusalReason::Cancelled));
    assert_eq!((bench.runs(1), bench.runs(2)), (1, 0));
    assert_eq!(bench.kinds(&bid(3, 13)), [PacketKind::Ack], "the slot is free again");
}

// Symptom: a poll for work that ran at the address's earlier process says "not run".
// Sequence: the work runs, the process is replaced, the caller polls by its token.
// Cause: "wrong target" taken as "not run" for more than the opening of work.
#[test]
fn a_poll_for_another_incarnation_is_refused_as_unknown() {
    let mut bench = DispatchBench::new(2);
    let poll = Packet { target_incarnation: 2, ..of_kind(bid(1, 11), PacketKind::Poll) };
    let refused = bench.take(home(), &poll);
    assert_eq!(refusal_in(&refused), (RunOutcome::Unknown, RefusalReason::WrongTarget));
}

// Symptom: a request that ran, or was refused as "not run", runs when its answer is long gone.
// Sequence: the network holds a copy back for longer than answers are kept.
// Cause: the dispatch forgotten together with its answer.
#[test]
fn a_copy_that_outlasts_the_answer_starts_nothing() {
    let mut bench = DispatchBench::new(2);
    bench.kinds(&bid(1, 11));
    bench.take(home(), &of_kind(bid(2, 12), PacketKind::Cancel));
    bench.pass(LONG_MS);
    bench.pass(60_000);
    let ran = bench.take(home(), &bid(1, 11));
    assert_eq!(refusal_in(&ran), (RunOutcome::Unknown, RefusalReason::TargetLost));
    let cancelled = bench.take(home(), &bid(2, 12));
    assert_eq!(refusal_in(&cancelled), (RunOutcome::NotRun, RefusalReason::TargetLost));
    bench.pass(LONG_MS);
    assert_eq!((bench.runs(1), bench.runs(2)), (1, 0));
}
