//! Feeds at a backend server: positions, resends, closing and planned stops.

use std::net::SocketAddr;

use foxledge_core::time::ClockTime;
use foxledge_fakes::backend::{BackendEffect, BackendOptions, BackendOrder, BackendState};
use foxledge_wire::{
    PROTOCOL_VERSION, decode_packet, encode_packet,
    flow::{Packet, PacketKind, RefusalReason, RunOutcome, WorkKind},
};

const FEED_MS: u64 = 100;
/// Wall-clock time at the clock's start, so that position 10,000 is the newest there.
const ORIGIN_US: u64 = 10_000 * FEED_MS * 1000;

struct FeedBench {
    state: BackendState,
    now: ClockTime,
}

impl FeedBench {
    fn new() -> FeedBench {
        let options = BackendOptions::new("a1", "auction-desk").feed_ms(FEED_MS);
        let state = BackendState::new(options.origin_us(ORIGIN_US));
        FeedBench { state, now: ClockTime::from_micros(1) }
    }

    fn take(&mut self, packet: &Packet) -> Vec<Packet> {
        sent(self.state.on_datagram(self.now, address(4000), &encode_packet(packet)))
            .into_iter()
            .map(|(_, packet)| packet)
            .collect()
    }

    /// Lets time pass, waking the server as often as it wants.
    fn pass(&mut self, millis: u64) -> Vec<Packet> {
        let end = self.now.after_millis(millis);
        let mut packets = Vec::new();
        while let Some(at) = self.state.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            packets
                .extend(sent(self.state.on_wake(self.now)).into_iter().map(|(_, packet)| packet));
        }
        self.now = end;
        packets
    }
}

fn sent(effects: Vec<BackendEffect>) -> Vec<(SocketAddr, Packet)> {
    let read = |BackendEffect::Send { to, bytes }| (to, decode_packet(&bytes).unwrap());
    effects.into_iter().map(read).collect()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn feed(kind: PacketKind, dispatch: u64, sequence: u64) -> Packet {
    Packet {
        version: PROTOCOL_VERSION,
        kind: kind as i32,
        flow: 7,
        request: 1,
        work: WorkKind::Feed as i32,
        idempotent: true,
        parts: 1,
        service: "auction-desk".to_owned(),
        target_incarnation: 1,
        dispatch,
        sequence,
        ..Packet::default()
    }
}

fn sequences(packets: &[Packet]) -> Vec<u64> {
    let items = packets.iter().filter(|packet| packet.kind() == PacketKind::FeedItem);
    items.map(|packet| packet.sequence).collect()
}

fn count(packets: &[Packet], kind: PacketKind) -> usize {
    packets.iter().filter(|packet| packet.kind() == kind).count()
}

#[test]
fn a_new_feed_starts_at_the_newest_item_and_goes_on() {
    let mut bench = FeedBench::new();
    let opened = bench.take(&feed(PacketKind::Work, 11, 0));
    assert_eq!(opened[0].kind(), PacketKind::Ack);
    assert_eq!(sequences(&opened), [10_000]);
    assert_eq!(sequences(&bench.pass(3 * FEED_MS)), [10_001, 10_002, 10_003]);
}

// Symptom: a collector misses items when the feed moves to another target.
// Sequence: the feed is reopened elsewhere with its last position.
// Cause: positions that each target counts by itself.
#[test]
fn a_reopened_feed_continues_at_another_target() {
    let mut bench = FeedBench::new();
    let mut items = sequences(&bench.take(&feed(PacketKind::Work, 11, 9_900)));
    items.extend(sequences(&bench.pass(10 * FEED_MS)));
    assert_eq!(items, (9_901..=10_010).collect::<Vec<_>>());
}

#[test]
fn a_heartbeat_has_later_items_sent_again_to_where_it_came_from() {
    let mut bench = FeedBench::new();
    bench.take(&feed(PacketKind::Work, 11, 0));
    bench.pass(3 * FEED_MS);
    let poll = encode_packet(&feed(PacketKind::Poll, 11, 10_001));
    let again = sent(bench.state.on_datagram(bench.now, address(4001), &poll));
    assert!(again.iter().all(|(to, _)| *to == address(4001)));
    let packets: Vec<_> = again.into_iter().map(|(_, packet)| packet).collect();
    assert_eq!(sequences(&packets), [10_002, 10_003]);
    bench.now = bench.now.after_millis(FEED_MS);
    let pushed = sent(bench.state.on_wake(bench.now));
    assert_eq!(pushed[0].0, address(4001));
}

#[test]
fn a_feed_whose_caller_is_silent_for_fifteen_seconds_is_closed() {
    let mut bench = FeedBench::new();
    bench.take(&feed(PacketKind::Work, 11, 0));
    bench.pass(10_000);
    bench.take(&feed(PacketKind::Poll, 11, 10_100));
    assert_eq!(count(&bench.pass(14_999), PacketKind::Done), 0);
    let closing = bench.pass(1);
    assert_eq!(count(&closing, PacketKind::Done), 1);
    assert_eq!(count(&closing, PacketKind::Refusal), 0);
    assert_eq!(sequences(&bench.pass(1000)), Vec::<u64>::new());
    let refused = bench.take(&feed(PacketKind::Poll, 11, 10_250));
    assert_eq!(refused[0].refusal.unwrap().outcome(), RunOutcome::Unknown);
    assert_eq!(bench.state.stats(bench.now, false).connections, 0);
}

// Symptom: a planned stop of a backend server breaks the feeds on it.
// Sequence: the server drains, sends its feeds away, they reopen elsewhere, it exits.
// Cause: feeds cut without a word, or new ones taken in after that.
#[test]
fn a_planned_stop_sends_feeds_away_and_ends_when_they_have_gone() {
    let mut bench = FeedBench::new();
    bench.take(&feed(PacketKind::Work, 11, 0));
    bench.state.on_order(bench.now, BackendOrder::StopGracefully { ms: 60_000 });
    let draining = bench.pass(1900);
    assert!(draining.iter().all(|packet| packet.load.unwrap().draining));
    assert_eq!(count(&draining, PacketKind::GoAway), 0);
    assert!(count(&bench.pass(1200), PacketKind::GoAway) >= 2, "asked again until it has gone");
    let refused = bench.take(&feed(PacketKind::Work, 12, 0));
    assert_eq!(refused[0].refusal.unwrap().reason(), RefusalReason::TargetShed);
    assert!(!bench.state.is_finished(bench.now));
    let closed = bench.take(&feed(PacketKind::Cancel, 11, 0));
    assert_eq!(count(&closed, PacketKind::Done), 1);
    bench.pass(1500);
    assert!(bench.state.is_finished(bench.now));
    let stats = bench.state.stats(bench.now, false);
    assert_eq!((stats.work_after_drain, stats.last_work_after_drain_ms), (1, 3100));
}

#[test]
fn mute_old_silences_open_feeds_and_no_new_ones() {
    let mut bench = FeedBench::new();
    bench.take(&feed(PacketKind::Work, 11, 0));
    bench.state.on_order(bench.now, BackendOrder::MuteOld);
    assert_eq!(bench.pass(5 * FEED_MS), []);
    assert_eq!(bench.take(&feed(PacketKind::Poll, 11, 10_000)), []);
    bench.take(&feed(PacketKind::Work, 12, 0));
    assert_eq!(sequences(&bench.pass(2 * FEED_MS)).len(), 2);
}
