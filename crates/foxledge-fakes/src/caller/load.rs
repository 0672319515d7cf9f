//! All callers of one process: datagrams and time in, datagrams out, a report at the end.

use std::collections::{BTreeSet, HashMap};

use foxledge_core::{hash::digest_of, names::ServiceName, time::ClockTime, traffic::TrafficKind};
use foxledge_wire::{
    decode_packet,
    flow::{Packet, PacketKind},
};
use rand::{Rng, RngCore, SeedableRng, rngs::StdRng};

use super::{
    arrivals::ArrivalClock, effects::CallerEffect, feed::FeedFlow, flow::CallerFlow,
    identity::FlowIdentity, options::LoadOptions, tally::LoadTally, uploads::WorkPayload,
};
use crate::{
    backend::content::{AnswerBody, read_feed_payload},
    report::LoadReport,
};

const BID_BYTES: usize = 64;
const KIB: usize = 1024;
/// Time over which feeds are opened, in milliseconds.
const FEED_SPREAD_MS: u64 = 1000;

/// `LoadState` is the callers of one process without their socket and clock.
pub struct LoadState {
    options: LoadOptions,
    generator: StdRng,
    arrivals: ArrivalClock,
    tally: LoadTally,
    slots: Vec<CallerSlot>,
    flows: HashMap<u64, AnyFlow>,
    wakes: BTreeSet<(ClockTime, u64)>,
    feed_openings: Vec<ClockTime>,
    service: Option<ServiceName>,
    ends_at: ClockTime,
}

struct CallerSlot {
    caller: u64,
    flow: u64,
    requests: u64,
}

enum AnyFlow {
    Work(CallerFlow),
    Feed(FeedFlow),
}

impl AnyFlow {
    fn next_wake(&self) -> Option<ClockTime> {
        match self {
            AnyFlow::Work(flow) => flow.next_wake(),
            AnyFlow::Feed(feed) => Some(feed.next_wake()),
        }
    }
}

impl LoadState {
    /// Makes the callers; `unix_ms` is the wall-clock time of `now`.
    pub fn new(now: ClockTime, unix_ms: u64, options: LoadOptions) -> LoadState {
        let key =
            format!("{} {} {} {}", options.seed, options.member, options.address, options.kind);
        let mut generator = StdRng::seed_from_u64(digest_of(key.as_bytes()));
        let feeds = u64::from(options.feeds);
        let opening = |number| now.after_millis(FEED_SPREAD_MS * number / feeds);
        let mut state = LoadState {
            arrivals: ArrivalClock::new(now, &options, &mut generator),
            tally: LoadTally::new(now, unix_ms, &options),
            slots: Vec::new(),
            flows: HashMap::new(),
            wakes: BTreeSet::new(),
            feed_openings: (0..feeds).rev().map(opening).collect(),
            service: options.service.clone(),
            ends_at: now.after_millis((options.seconds * 1000.0) as u64),
            generator,
            options,
        };
        for _ in 0..state.options.callers {
            let caller = state.generator.next_u64();
            let flow = state.add_flow(caller);
            state.slots.push(CallerSlot { caller, flow, requests: 0 });
        }
        state
    }

    /// Takes one datagram; returns those to send.
    pub fn on_datagram(&mut self, now: ClockTime, bytes: &[u8]) -> Vec<Vec<u8>> {
        let Ok(packet) = decode_packet(bytes) else {
            self.tally.count_stray();
            return Vec::new();
        };
        self.learn_service(&packet);
        let flow = packet.flow;
        self.with_flow(now, flow, |any| match any {
            AnyFlow::Work(flow) => flow.on_packet(now, &packet),
            AnyFlow::Feed(feed) => feed.on_packet(now, &packet),
        })
    }

    /// Does what is due; returns the datagrams to send.
    pub fn on_wake(&mut self, now: ClockTime) -> Vec<Vec<u8>> {
        let mut datagrams = Vec::new();
        while self.arrivals.next().is_some_and(|at| at.is_past(now)) {
            self.arrivals.draw(&mut self.generator);
            datagrams.extend(self.offer(now));
        }
        while self.feed_openings.last().is_some_and(|at| at.is_past(now)) {
            self.feed_openings.pop();
            datagrams.extend(self.open_feed(now));
        }
        while let Some(&(at, flow)) = self.wakes.first() {
            if !at.is_past(now) {
                break;
            }
            self.wakes.pop_first();
            datagrams.extend(self.with_flow(now, flow, |any| match any {
                AnyFlow::Work(flow) => flow.on_wake(now),
                AnyFlow::Feed(feed) => feed.on_wake(now),
            }));
        }
        datagrams
    }

    /// When [`LoadState::on_wake`] is due next.
    pub fn next_wake(&self) -> ClockTime {
        let flow = self.wakes.first().map(|(at, _)| *at);
        let opening = self.feed_openings.last().copied();
        let next = [flow, opening, self.arrivals.next()].into_iter().flatten().min();
        next.unwrap_or(self.ends_at)
    }

    /// True when no more work arrives and all of it has ended. A flow with open work wants to be
    /// woken, so the others needn't be looked at.
    pub fn is_finished(&self, now: ClockTime) -> bool {
        let is_open = |flow: &u64| match self.flows.get(flow) {
            Some(AnyFlow::Work(flow)) => flow.unfinished() > 0,
            _ => false,
        };
        self.ends_at.is_past(now) && !self.wakes.iter().any(|(_, flow)| is_open(flow))
    }

    /// Ends the load before its time: no more work arrives.
    pub fn end_load(&mut self, now: ClockTime) {
        self.ends_at = self.ends_at.min(now);
        self.arrivals.end();
        self.feed_openings.clear();
    }

    /// Closes the feeds; returns the datagrams to send and the report.
    pub fn finish(mut self, now: ClockTime) -> (Vec<Vec<u8>>, LoadReport) {
        let mut datagrams = Vec::new();
        let mut flows: Vec<_> = std::mem::take(&mut self.flows).into_iter().collect();
        flows.sort_unstable_by_key(|(flow, _)| *flow);
        for (_, any) in flows {
            if let AnyFlow::Feed(mut feed) = any {
                let effects = feed.close();
                datagrams.extend(self.carry_out(now, effects));
            }
        }
        (datagrams, self.tally.finish())
    }

    fn offer(&mut self, now: ClockTime) -> Vec<Vec<u8>> {
        self.tally.count_offered();
        let index = self.generator.random_range(0..self.slots.len());
        self.renew_flow(index);
        let payload = self.draw_payload();
        let deadline = now.after_millis(self.options.deadline_ms);
        let flow = self.slots[index].flow;
        self.slots[index].requests += 1;
        self.with_flow(now, flow, |any| match any {
            AnyFlow::Work(flow) => flow.offer(now, payload, deadline),
            AnyFlow::Feed(_) => Vec::new(),
        })
    }

    /// Gives the caller a new flow when the present one had its share of requests.
    ///
    /// The old flow stays: a late "not run" about it is held to its word like any other.
    fn renew_flow(&mut self, index: usize) {
        let limit = self.options.flow_requests;
        let slot = &self.slots[index];
        if limit == 0 || slot.requests < limit {
            return;
        }
        let caller = slot.caller;
        let flow = self.add_flow(caller);
        self.slots[index] = CallerSlot { caller, flow, requests: 0 };
    }

    fn open_feed(&mut self, now: ClockTime) -> Vec<Vec<u8>> {
        let caller = self.generator.next_u64();
        let identity = self.draw_identity(caller, TrafficKind::Feed);
        let flow = identity.flow;
        let (feed, effects) = FeedFlow::open(now, identity);
        self.flows.insert(flow, AnyFlow::Feed(feed));
        self.with_flow(now, flow, |_| effects)
    }

    fn add_flow(&mut self, caller: u64) -> u64 {
        let identity = self.draw_identity(caller, self.options.kind);
        let flow = identity.flow;
        self.flows.insert(flow, AnyFlow::Work(CallerFlow::new(identity)));
        flow
    }

    fn draw_identity(&mut self, caller: u64, kind: TrafficKind) -> FlowIdentity {
        let member = self.options.member.clone();
        let secret = self.options.secret.as_deref();
        let prove = |secret| foxledge_seal::credential(secret, &member, caller);
        FlowIdentity {
            flow: self.generator.next_u64(),
            caller,
            credential: secret.map(prove).unwrap_or_default(),
            address: self.options.address.clone(),
            kind,
            idempotent: self.options.idempotent || kind == TrafficKind::Feed,
            service: self.service.clone(),
            member,
        }
    }

    fn draw_payload(&mut self) -> WorkPayload {
        let size = match self.options.kind {
            TrafficKind::Upload => self.options.upload_kb.max(1) as usize * KIB,
            _ => BID_BYTES,
        };
        let mut bytes = vec![0; size];
        self.generator.fill_bytes(&mut bytes);
        WorkPayload::new(&bytes)
    }

    /// Without a service to expect, the first answer's is the one that all must have.
    fn learn_service(&mut self, packet: &Packet) {
        if self.service.is_some() {
            return;
        }
        let Some(service) = named_service(packet) else { return };
        self.service = Some(service.clone());
        for any in self.flows.values_mut() {
            match any {
                AnyFlow::Work(flow) => flow.expect_service(service.clone()),
                AnyFlow::Feed(feed) => feed.expect_service(service.clone()),
            }
        }
    }

    /// Lets a flow decide, carries its effects out and notes when it wants to be woken.
    fn with_flow(
        &mut self,
        now: ClockTime,
        flow: u64,
        decide: impl FnOnce(&mut AnyFlow) -> Vec<CallerEffect>,
    ) -> Vec<Vec<u8>> {
        let Some(any) = self.flows.get_mut(&flow) else {
            self.tally.count_stray();
            return Vec::new();
        };
        if let Some(at) = any.next_wake() {
            self.wakes.remove(&(at, flow));
        }
        let effects = decide(any);
        if let Some(at) = any.next_wake() {
            self.wakes.insert((at, flow));
        }
        self.carry_out(now, effects)
    }

    fn carry_out(&mut self, now: ClockTime, effects: Vec<CallerEffect>) -> Vec<Vec<u8>> {
        let mut datagrams = Vec::new();
        for effect in effects {
            match effect {
                CallerEffect::Send(bytes) => datagrams.push(bytes),
                CallerEffect::Note(note) => self.tally.count(now, note),
            }
        }
        datagrams
    }
}

/// The service that the content of an answer or feed item names.
fn named_service(packet: &Packet) -> Option<ServiceName> {
    match packet.kind() {
        PacketKind::Answer => {
            AnswerBody::decode(&packet.payload).map(|body| ServiceName::new(&body.service))
        }
        PacketKind::FeedItem => {
            read_feed_payload(&packet.payload).map(|(service, _)| ServiceName::new(service))
        }
        _ => None,
    }
}
