//! One caller's feed: order, gaps, silence and reopening.

use foxledge_core::{
    names::{MemberName, ServiceAddress, ServiceName},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_fakes::{
    backend::content::feed_payload,
    caller::{CallerEffect, FeedFlow, FlowIdentity, FlowNote, feed::BROKEN_MS},
};
use foxledge_wire::{
    PROTOCOL_VERSION, decode_packet,
    flow::{Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

const SERVICE: &str = "auction-desk";

struct FeedBench {
    feed: FeedFlow,
    now: ClockTime,
    sent: Vec<Packet>,
    notes: Vec<FlowNote>,
}

impl FeedBench {
    /// A feed that is open and has seen item 100.
    fn open() -> FeedBench {
        let identity = FlowIdentity {
            flow: 7,
            caller: 5,
            member: MemberName::new("bricks-and-co"),
            address: ServiceAddress::new("auction.lakeshore"),
            kind: TrafficKind::Feed,
            idempotent: true,
            credential: Vec::new(),
            service: Some(ServiceName::new(SERVICE)),
        };
        let now = ClockTime::from_micros(1);
        let (feed, effects) = FeedFlow::open(now, identity);
        let mut bench = FeedBench { feed, now, sent: Vec::new(), notes: Vec::new() };
        bench.keep(effects);
        assert_eq!((bench.sent[0].kind(), bench.sent[0].sequence), (PacketKind::Work, 0));
        bench.take(packet(PacketKind::Ack, 1));
        bench.take(item(1, 100));
        bench.clear();
        bench
    }

    fn keep(&mut self, effects: Vec<CallerEffect>) {
        for effect in effects {
            match effect {
                CallerEffect::Send(bytes) => self.sent.push(decode_packet(&bytes).unwrap()),
                CallerEffect::Note(note) => self.notes.push(note),
            }
        }
    }

    fn take(&mut self, packet: Packet) {
        let effects = self.feed.on_packet(self.now, &packet);
        self.keep(effects);
    }

    fn pass(&mut self, millis: u64) {
        let end = self.now.after_millis(millis);
        while self.feed.next_wake() <= end {
            self.now = self.now.max(self.feed.next_wake());
            let effects = self.feed.on_wake(self.now);
            self.keep(effects);
        }
        self.now = end;
    }

    fn clear(&mut self) {
        self.sent.clear();
        self.notes.clear();
    }

    fn count(&self, kind: PacketKind) -> usize {
        self.sent.iter().filter(|packet| packet.kind() == kind).count()
    }
}

fn packet(kind: PacketKind, request: u64) -> Packet {
    let token = format!("token {request}").into_bytes();
    let version = PROTOCOL_VERSION;
    Packet { version, kind: kind as i32, flow: 7, request, token, ..Packet::default() }
}

fn item(request: u64, sequence: u64) -> Packet {
    let payload = feed_payload(SERVICE, sequence);
    Packet { sequence, payload, ..packet(PacketKind::FeedItem, request) }
}

#[test]
fn a_heartbeat_tells_the_last_item_every_second() {
    let mut bench = FeedBench::open();
    bench.pass(500);
    bench.take(item(1, 101));
    bench.pass(500);
    let poll = &bench.sent[0];
    assert_eq!((poll.kind(), poll.sequence), (PacketKind::Poll, 101));
    assert_eq!(poll.token, b"token 1");
}

// Symptom: a collector sees a gap in the feed.
// Sequence: one item is lost, later ones arrive; or two arrive in the wrong order.
// Cause: items taken in as they come.
#[test]
fn a_gap_is_polled_for_and_closed() {
    let mut bench = FeedBench::open();
    bench.pass(200);
    bench.take(item(1, 103));
    bench.take(item(1, 102));
    assert_eq!(bench.feed.position(), 100);
    assert_eq!((bench.count(PacketKind::Poll), bench.sent[0].sequence), (1, 100));
    bench.take(item(1, 101));
    assert_eq!(bench.feed.position(), 103);
    let items = bench.notes.iter().filter(|note| matches!(note, FlowNote::FeedItem { .. }));
    assert_eq!(items.count(), 3);
}

#[test]
fn a_gap_that_stays_open_is_a_broken_feed() {
    let mut bench = FeedBench::open();
    for sequence in 102..160 {
        bench.pass(BROKEN_MS / 50);
        bench.take(item(1, sequence));
    }
    assert_eq!(bench.feed.position(), 100);
    assert!(bench.notes.contains(&FlowNote::FeedBroken));
}

// Symptom: a feed is open and has no items for good.
// Sequence: something between the two ends loses track of it; nothing is ever answered.
// Cause: a caller that only waits, or polls the same way for ever.
#[test]
fn a_silent_feed_is_polled_and_then_reopened_without_its_token() {
    let mut bench = FeedBench::open();
    bench.pass(7000);
    let reopened = bench.sent.iter().find(|packet| packet.kind() == PacketKind::Work).unwrap();
    assert_eq!((reopened.request, reopened.sequence), (2, 100));
    assert_eq!(reopened.token, Vec::<u8>::new());
    assert!(bench.notes.contains(&FlowNote::FeedReopened));
    assert!(!bench.notes.contains(&FlowNote::FeedBroken));
    bench.clear();
    bench.take(packet(PacketKind::Ack, 2));
    let cancel = &bench.sent[0];
    assert_eq!((cancel.kind(), cancel.request), (PacketKind::Cancel, 1));
    assert_eq!(cancel.token, b"token 1");
    bench.take(item(2, 101));
    assert_eq!(bench.feed.position(), 101);
}

#[test]
fn silence_beyond_ten_seconds_is_a_broken_feed() {
    let mut bench = FeedBench::open();
    bench.pass(BROKEN_MS - 1);
    assert!(!bench.notes.contains(&FlowNote::FeedBroken));
    bench.pass(1);
    assert!(bench.notes.contains(&FlowNote::FeedBroken));
}

#[test]
fn a_feed_sent_away_reopens_at_once_and_still_takes_the_old_items() {
    let mut bench = FeedBench::open();
    bench.take(packet(PacketKind::GoAway, 1));
    assert_eq!((bench.sent[0].kind(), bench.sent[0].request), (PacketKind::Work, 2));
    bench.take(item(1, 101));
    assert_eq!(bench.feed.position(), 101);
    bench.take(packet(PacketKind::GoAway, 1));
    assert_eq!(bench.count(PacketKind::Work), 1, "once is enough");
}

#[test]
fn a_refused_feed_is_reopened_after_the_hint() {
    let mut bench = FeedBench::open();
    let refusal = Refusal {
        outcome: RunOutcome::Unknown as i32,
        reason: RefusalReason::TargetLost as i32,
        retry_after_ms: 400,
    };
    bench.take(Packet { refusal: Some(refusal), ..packet(PacketKind::Refusal, 1) });
    bench.pass(399);
    assert_eq!(bench.count(PacketKind::Work), 0);
    bench.pass(1);
    assert_eq!(bench.count(PacketKind::Work), 1);
}

#[test]
fn items_that_are_not_the_own_are_counted_and_dropped() {
    let mut bench = FeedBench::open();
    bench.take(Packet { payload: feed_payload("lot-intake", 101), ..item(1, 101) });
    bench.take(Packet { payload: feed_payload(SERVICE, 102), ..item(1, 101) });
    assert_eq!(bench.notes, [FlowNote::WrongService, FlowNote::Crossed]);
    assert_eq!(bench.feed.position(), 100);
}
