//! One caller's flow of requests: tickets, answers, refusals, resends and deadlines.

use foxledge_core::{
    names::{MemberName, ServiceAddress, ServiceName},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_fakes::{
    backend::content::answer_payloads,
    caller::{CallerEffect, CallerFlow, FlowIdentity, FlowNote, uploads::WorkPayload},
    report::RequestId,
};
use foxledge_wire::{
    MIN_TICKET_PADDING_BYTES, PROTOCOL_VERSION, decode_packet,
    flow::{Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

const FLOW: u64 = 77;
const SERVICE: &str = "auction-desk";
const DEADLINE_MS: u64 = 2000;

/// Packets that a flow sent and notes that it took.
type Did = (Vec<Packet>, Vec<FlowNote>);

struct FlowBench {
    flow: CallerFlow,
    now: ClockTime,
    digest: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Repeatable {
    Yes,
    No,
}

impl FlowBench {
    fn new(repeatable: Repeatable) -> FlowBench {
        let identity = FlowIdentity {
            flow: FLOW,
            caller: 5,
            member: MemberName::new("bricks-and-co"),
            address: ServiceAddress::new("auction.lakeshore"),
            kind: TrafficKind::Bid,
            idempotent: repeatable == Repeatable::Yes,
            credential: Vec::new(),
            service: Some(ServiceName::new(SERVICE)),
        };
        FlowBench { flow: CallerFlow::new(identity), now: ClockTime::from_micros(1), digest: 0 }
    }

    fn offer(&mut self) -> Did {
        let payload = WorkPayload::new(b"12 crowns");
        self.digest = payload.digest;
        did(self.flow.offer(self.now, payload, self.now.after_millis(DEADLINE_MS)))
    }

    /// Offers work and has a ticket granted for it.
    fn open(&mut self) -> Vec<Packet> {
        self.offer();
        self.take(grant()).0
    }

    fn take(&mut self, packet: Packet) -> Did {
        did(self.flow.on_packet(self.now, &packet))
    }

    /// Lets time pass, waking the flow as often as it wants.
    fn pass(&mut self, millis: u64) -> Did {
        let end = self.now.after_millis(millis);
        let mut all = (Vec::new(), Vec::new());
        while let Some(at) = self.flow.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let (packets, notes) = did(self.flow.on_wake(self.now));
            all.0.extend(packets);
            all.1.extend(notes);
        }
        self.now = end;
        all
    }

    fn answer(&self, request: u64, service: &str, digest: u64) -> Vec<Packet> {
        let payloads = answer_payloads(service, FLOW, request, digest);
        let parts = payloads.len() as u32;
        let packet = |(part, payload)| Packet {
            part,
            parts,
            payload,
            token: b"token".to_vec(),
            ..packet(PacketKind::Answer, request)
        };
        (0u32..).zip(payloads).map(packet).collect()
    }

    fn take_all(&mut self, packets: Vec<Packet>) -> Vec<FlowNote> {
        packets.into_iter().flat_map(|packet| self.take(packet).1).collect()
    }
}

fn did(effects: Vec<CallerEffect>) -> Did {
    let mut did = (Vec::new(), Vec::new());
    for effect in effects {
        match effect {
            CallerEffect::Send(bytes) => did.0.push(decode_packet(&bytes).unwrap()),
            CallerEffect::Note(note) => did.1.push(note),
        }
    }
    did
}

fn packet(kind: PacketKind, request: u64) -> Packet {
    let version = PROTOCOL_VERSION;
    Packet { version, kind: kind as i32, flow: FLOW, request, ..Packet::default() }
}

fn grant() -> Packet {
    let ticket = b"ticket".to_vec();
    Packet { ticket, time_left_ms: 4000, parts: 2, ..packet(PacketKind::TicketGrant, 0) }
}

fn refusal(request: u64, outcome: RunOutcome, reason: RefusalReason) -> Packet {
    let refusal = Refusal { outcome: outcome as i32, reason: reason as i32, retry_after_ms: 300 };
    Packet { refusal: Some(refusal), ..packet(PacketKind::Refusal, request) }
}

fn kinds(packets: &[Packet]) -> Vec<PacketKind> {
    packets.iter().map(Packet::kind).collect()
}

fn id(request: u64) -> RequestId {
    RequestId { flow: FLOW, request }
}

#[test]
fn a_bid_gets_a_ticket_and_its_answer() {
    let mut bench = FlowBench::new(Repeatable::No);
    let (asked, notes) = bench.offer();
    assert_eq!(
        (kinds(&asked), notes),
        (vec![PacketKind::TicketRequest], vec![FlowNote::TicketAsked])
    );
    assert!(asked[0].payload.len() >= MIN_TICKET_PADDING_BYTES);
    let work = bench.take(grant()).0;
    assert_eq!((work[0].kind(), work[0].request), (PacketKind::Work, 1));
    assert_eq!((work[0].ticket.as_slice(), work[0].parts), (&b"ticket"[..], 1));
    let born = ClockTime::from_micros(1);
    bench.pass(50);
    let answer = bench.answer(1, SERVICE, bench.digest);
    assert_eq!(bench.take_all(answer).last(), Some(&FlowNote::Served { id: id(1), born }));
    assert_eq!(bench.flow.unfinished(), 0);
}

#[test]
fn a_ticket_serves_its_count_and_is_renewed_by_answers() {
    let mut bench = FlowBench::new(Repeatable::No);
    bench.open();
    assert_eq!(kinds(&bench.offer().0), [PacketKind::Work], "the second on the same ticket");
    assert_eq!(kinds(&bench.offer().0), [PacketKind::TicketRequest], "the count is used up");
    let mut answer = bench.answer(1, SERVICE, bench.digest).remove(0);
    answer.ticket = b"renewed".to_vec();
    let (sent, _) = bench.take(answer);
    assert_eq!((sent[0].kind(), sent[0].ticket.as_slice()), (PacketKind::Work, &b"renewed"[..]));
    bench.pass(1999);
    assert_eq!(kinds(&bench.offer().0), [PacketKind::Work]);
    bench.pass(1);
    assert_eq!(kinds(&bench.offer().0), [PacketKind::TicketRequest], "half its time is over");
}

// Symptom: a caller takes another's answer for its own, or a mixed one.
// Sequence: see the table.
// Cause: content that isn't checked against the caller's own request.
#[test]
fn answers_that_are_not_the_own_are_counted_and_dropped() {
    type Spoil = fn(&mut Packet);
    let table: [(&str, Spoil, FlowNote); 5] = [
        ("another flow's", |answer| answer.payload = payload_of(SERVICE, 78, 1), FlowNote::Crossed),
        (
            "another request's",
            |answer| answer.payload = payload_of(SERVICE, FLOW, 9),
            FlowNote::Crossed,
        ),
        ("damaged", |answer| answer.payload[200] ^= 1, FlowNote::Crossed),
        ("cut short", |answer| answer.payload.truncate(100), FlowNote::Crossed),
        (
            "another service's",
            |answer| answer.payload = payload_of("lot-intake", FLOW, 1),
            FlowNote::WrongService,
        ),
    ];
    for (name, spoil, note) in table {
        let mut bench = FlowBench::new(Repeatable::No);
        bench.open();
        let right = bench.answer(1, SERVICE, bench.digest);
        let mut wrong = right[0].clone();
        spoil(&mut wrong);
        assert_eq!(bench.take(wrong).1, [note], "{name}");
        let notes = bench.take_all(right);
        assert!(matches!(notes.last(), Some(FlowNote::Served { .. })), "{name}: {notes:?}");
    }
}

fn payload_of(service: &str, flow: u64, request: u64) -> Vec<u8> {
    let digest = WorkPayload::new(b"12 crowns").digest;
    let whole = answer_payloads(service, FLOW, 1, digest).len();
    // Of as many parts as the right answer, so that the content alone tells.
    let fits = |request: &u64| answer_payloads(service, flow, *request, digest).len() == whole;
    let request = (request..).find(fits).unwrap();
    answer_payloads(service, flow, request, digest).remove(0)
}

#[test]
fn the_answer_to_another_payload_is_crossed() {
    let mut bench = FlowBench::new(Repeatable::No);
    bench.open();
    let wrong = bench.answer(1, SERVICE, bench.digest ^ 1);
    assert!(bench.take_all(wrong).iter().all(|note| *note == FlowNote::Crossed));
    assert_eq!(bench.flow.unfinished(), 1);
}

#[test]
fn refused_not_run_is_asked_again_under_a_new_number() {
    let mut bench = FlowBench::new(Repeatable::No);
    bench.open();
    let reason = RefusalReason::QueueFull;
    let (sent, notes) = bench.take(refusal(1, RunOutcome::NotRun, reason));
    let refused = FlowNote::Refused { id: Some(id(1)), outcome: RunOutcome::NotRun, reason };
    assert_eq!((sent, notes), (vec![], vec![refused]));
    assert_eq!(bench.pass(299).0, []);
    let (sent, notes) = bench.pass(1);
    assert_eq!((sent[0].kind(), sent[0].request), (PacketKind::Work, 2));
    assert_eq!(notes, [FlowNote::AskedAgain]);
}

#[test]
fn unknown_work_is_asked_again_only_when_idempotent() {
    let unknown = || refusal(1, RunOutcome::Unknown, RefusalReason::HomeLost);
    let mut bench = FlowBench::new(Repeatable::No);
    bench.open();
    assert_eq!(bench.take(unknown()).1.last(), Some(&FlowNote::EndedUnknown));
    assert_eq!(bench.pass(DEADLINE_MS).0, []);
    let mut bench = FlowBench::new(Repeatable::Yes);
    bench.offer();
    bench.take(unknown());
    let (sent, _) = bench.pass(300);
    assert_eq!((sent[0].kind(), sent[0].request), (PacketKind::Work, 2));
}

#[test]
fn work_refused_for_good_or_too_late_is_given_up() {
    let mut bench = FlowBench::new(Repeatable::No);
    bench.offer();
    let denied = bench.take(refusal(0, RunOutcome::NotRun, RefusalReason::Denied));
    assert_eq!(denied.1.last(), Some(&FlowNote::GaveUp));
    bench.open();
    bench.pass(DEADLINE_MS - 200);
    let late = bench.take(refusal(1, RunOutcome::NotRun, RefusalReason::QueueFull));
    assert_eq!(late.1.last(), Some(&FlowNote::GaveUp));
}

// Symptom: "not run" of a request that ran goes unseen since the caller had left.
// Sequence: the caller gives up at its deadline; the refusal comes after that.
// Cause: late refusals dropped without a record.
#[test]
fn silence_is_resent_into_until_the_deadline_and_late_refusals_are_kept() {
    let mut bench = FlowBench::new(Repeatable::No);
    bench.open();
    let (sent, notes) = bench.pass(DEADLINE_MS);
    let (cancel, resends) = sent.split_last().unwrap();
    assert_eq!(kinds(resends), [PacketKind::Work; 5], "after 200, 600, 1000, 1400 and 1800 ms");
    assert_eq!(cancel.kind(), PacketKind::Cancel);
    assert!(resends.iter().all(|work| work.ticket == b"ticket" && work.request == 1));
    assert_eq!(notes.last(), Some(&FlowNote::TimedOut { id: Some(id(1)) }));
    let late = bench.take(refusal(1, RunOutcome::NotRun, RefusalReason::DeadlinePassed));
    let outcome = RunOutcome::NotRun;
    assert_eq!(late.1, [FlowNote::LateRefusal { id: id(1), outcome }]);
    let answer = bench.answer(1, SERVICE, bench.digest);
    assert!(bench.take_all(answer).iter().all(|note| *note == FlowNote::Late));
}

#[test]
fn lost_answer_parts_are_polled_by_token() {
    let mut bench = FlowBench::new(Repeatable::Yes);
    let mut parts = Vec::new();
    while parts.len() < 3 {
        let work = bench.offer().0.remove(0);
        parts = bench.answer(work.request, SERVICE, bench.digest);
    }
    let middle = parts.remove(1);
    bench.take_all(parts);
    let sent = bench.pass(200).0;
    let poll = sent.iter().find(|packet| packet.kind() == PacketKind::Poll).unwrap();
    assert_eq!((poll.missing.as_slice(), poll.token.as_slice()), (&[1][..], &b"token"[..]));
    assert!(matches!(bench.take(middle).1[..], [FlowNote::Served { .. }]));
}
