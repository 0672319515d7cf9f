//! The callers' side of a run: what they ask, send again and give up.

use std::{f64::consts::TAU, time::Duration};

use foxledge_flows::{FlowPacket, PacketKind};
use rand::Rng;

use crate::flows::{
    callers::{FlowRequest, MOST_TRIES, RESENDS, RequestClass, SimFlow},
    plan::{BID_RUN, FEED_RUN, FEED_SHARE, RUN_TIME, SLOTS},
    sites::BidHabit,
    world::{CALLER_WAY, FlowEvent, FlowWorld, KeptFlow, start},
};

/// Spread of run times: the logarithm's standard deviation, and the longest in means.
const RUN_SPREAD: f64 = 0.47;
const LONGEST_RUN: f64 = 6.0;
/// Share of callers that move, and from where to where.
const SHIFT: (f64, usize, usize) = (0.8, 0, 1);

impl FlowWorld {
    /// Plans the next request of a data centre's callers.
    pub(super) fn next_arrival(&mut self, centre: usize) {
        let mean_run = FEED_RUN.mul_f64(FEED_SHARE) + BID_RUN.mul_f64(1.0 - FEED_SHARE);
        let site = self.plan.site;
        let capacity = f64::from(SLOTS) * site.servers() as f64 / mean_run.as_secs_f64();
        let all: usize = site.centres.iter().map(|one| one.users).sum();
        let share = site.centres[centre].users as f64 / all as f64;
        let rate = capacity * self.plan.level * share;
        let gap = -self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
        self.push_after(Duration::from_secs_f64(gap), FlowEvent::Arrive { centre });
    }

    /// Lets a caller ask: a feed on the flow it keeps, or a bid on one of its own.
    pub(super) fn arrive(&mut self, centre: usize) {
        if self.now > start().after(RUN_TIME) {
            return;
        }
        self.next_arrival(centre);
        let (share, from, to) = SHIFT;
        let moves = self.is_shifted && centre == from && self.random.random_bool(share);
        let centre = if moves { to } else { centre };
        match (self.random.random_bool(FEED_SHARE), self.plan.site.bids) {
            (true, _) => self.ask_kept(centre, RequestClass::Feed),
            (false, BidHabit::Kept) => self.ask_kept(centre, RequestClass::Bid),
            (false, BidHabit::Fresh) => {
                let request = self.new_request(RequestClass::Bid, centre, None);
                self.open_flow(request);
            }
        }
    }

    /// Lets a caller ask on the flow that it keeps for a class.
    fn ask_kept(&mut self, centre: usize, class: RequestClass) {
        let user = self.random.random_range(0..self.users[centre].len());
        // One request at a time: where one is under way, another caller asks.
        let users = &self.users[centre];
        let is_free = |user: &usize| !users[*user].is_busy(class);
        let free = Some(user).filter(is_free).or_else(|| (0..users.len()).find(is_free));
        if let Some(user) = free {
            self.ask_kept_of(centre, user, class);
        }
    }

    fn ask_kept_of(&mut self, centre: usize, user: usize, class: RequestClass) {
        let kept = self.users[centre][user].of(class);
        kept.is_busy = true;
        let flow = kept.flow;
        let request = self.new_request(class, centre, Some(user));
        let kept = flow.filter(|flow| self.flows.contains_key(flow));
        let is_dead = |flow: &u64| self.is_held_by_dead(*flow);
        self.requests[request].began_at_dead = kept.as_ref().is_some_and(is_dead);
        match kept {
            Some(flow) => self.send_request(flow, request),
            None => self.open_flow(request),
        }
    }

    fn new_request(&mut self, class: RequestClass, centre: usize, user: Option<usize>) -> usize {
        let mean = if class == RequestClass::Feed { FEED_RUN } else { BID_RUN };
        let run = mean.mul_f64(self.spread());
        let request = self.requests.len();
        self.requests.push(FlowRequest {
            class,
            centre,
            user,
            asked_at: self.now,
            run,
            tries: 0,
            is_over: false,
            answered_at: None,
            began_at_dead: false,
        });
        self.push_after(class.timeout(), FlowEvent::Deadline { request });
        request
    }

    /// A factor of mean 1 with the spread of run times.
    fn spread(&mut self) -> f64 {
        let (first, second): (f64, f64) = (self.random.random(), self.random.random());
        let normal = (-2.0 * first.max(f64::MIN_POSITIVE).ln()).sqrt() * (TAU * second).cos();
        (normal * RUN_SPREAD - RUN_SPREAD * RUN_SPREAD / 2.0).exp().min(LONGEST_RUN)
    }

    fn open_flow(&mut self, request: usize) {
        let FlowRequest { class, centre, user, .. } = self.requests[request];
        self.requests[request].tries += 1;
        let flow = self.flow_count;
        self.flow_count += 1;
        let instances: Vec<_> =
            (0..self.instances.len()).filter(|one| self.instances[*one].centre == centre).collect();
        let instance = instances[self.random.random_range(0..instances.len())];
        let mut opened = SimFlow::new(flow, class, instance);
        opened.request = Some(request);
        self.flows.insert(flow, opened);
        if let Some(user) = user {
            self.users[centre][user].of(class).flow = Some(flow);
        }
        self.opening_due(flow, 0);
    }

    /// Sends an opening packet or its next copy, or gives the flow up.
    pub(super) fn opening_due(&mut self, flow: u64, copy: u32) {
        let Some(opened) = self.flows.get(&flow).copied() else { return };
        if opened.server.is_some() {
            return;
        }
        let wait = RESENDS.get(copy as usize);
        let (Some(wait), false) = (wait, self.is_over(opened.request)) else {
            return self.lose_flow(flow);
        };
        let since_last = match copy {
            0 => *wait,
            _ => *wait - RESENDS[copy as usize - 1],
        };
        self.send(flow, opened.opening(copy));
        self.push_after(since_last, FlowEvent::OpeningDue { flow, copy: copy + 1 });
    }

    /// Takes a backend server's word that it has the flow; the first counts.
    pub(super) fn accepted(&mut self, flow: u64, server: usize) {
        let Some(opened) = self.flows.get_mut(&flow) else { return };
        if opened.server.is_some() {
            return;
        }
        opened.accepted_by(server, server as u32 + 1);
        if let Some(request) = opened.request {
            self.send_request(flow, request);
        }
    }

    fn send_request(&mut self, flow: u64, request: usize) {
        let Some(opened) = self.flows.get_mut(&flow) else { return };
        opened.request = Some(request);
        let packet = opened.request_packet();
        self.send(flow, packet);
        for wait in RESENDS {
            self.push_after(wait, FlowEvent::RequestDue { flow, request });
        }
    }

    /// Sends a request again that is unanswered, or gives its flow up.
    pub(super) fn request_due(&mut self, flow: u64, request: usize) {
        let Some(opened) = self.flows.get(&flow).copied() else { return };
        if opened.request != Some(request) {
            return;
        }
        if self.is_over(Some(request)) {
            return self.lose_flow(flow);
        }
        self.send(flow, opened.request_packet());
    }

    /// Takes the answer to a request; a caller that keeps its flow acknowledges it there.
    pub(super) fn answered(&mut self, flow: u64, request: usize) {
        if !self.end_wait(flow, request) {
            return;
        }
        let FlowRequest { class, centre, user, is_over, .. } = self.requests[request];
        if !is_over {
            self.requests[request].answered_at = Some(self.now);
        }
        let Some(user) = user else { return self.finish(flow) };
        self.users[centre][user].of(class).is_busy = false;
        // Callers acknowledge every second packet; the answer to a bid is one.
        if class == RequestClass::Feed {
            self.send_empty(flow, PacketKind::Continue);
        }
    }

    /// Takes a backend server's word that it has no room; the request has not run.
    pub(super) fn turned_away(&mut self, flow: u64, request: usize) {
        if !self.end_wait(flow, request) {
            return;
        }
        self.finish(flow);
        self.tally.turned_away += 1;
        self.try_again(request);
    }

    /// Ends the wait for a request's answer; false when nobody waits for it any more.
    fn end_wait(&mut self, flow: u64, request: usize) -> bool {
        let Some(opened) = self.flows.get_mut(&flow) else { return false };
        if opened.request != Some(request) {
            return false;
        }
        opened.answered();
        true
    }

    /// Ends a flow on its caller's side.
    fn finish(&mut self, flow: u64) {
        self.send_empty(flow, PacketKind::Finish);
        self.flows.remove(&flow);
    }

    fn send_empty(&mut self, flow: u64, kind: PacketKind) {
        let Some(opened) = self.flows.get(&flow).copied() else { return };
        self.send(flow, opened.empty_packet(kind));
    }

    /// Takes an instance's reset: what may be repeated is asked on another flow.
    pub(super) fn reset(&mut self, flow: u64) {
        let Some(opened) = self.flows.remove(&flow) else { return };
        let Some(request) = opened.request else { return };
        let may_repeat =
            opened.server.is_none() || self.requests[request].class == RequestClass::Feed;
        match may_repeat {
            true => self.try_again(request),
            false => self.give_up(request),
        }
    }

    fn try_again(&mut self, request: usize) {
        let FlowRequest { tries, is_over, .. } = self.requests[request];
        if tries >= MOST_TRIES || is_over {
            return self.give_up(request);
        }
        self.open_flow(request);
    }

    fn give_up(&mut self, request: usize) {
        let FlowRequest { class, centre, user, .. } = self.requests[request];
        self.requests[request].is_over = true;
        if let Some(user) = user {
            *self.users[centre][user].of(class) = KeptFlow::default();
        }
    }

    /// Ends a flow from which nothing came in time.
    fn lose_flow(&mut self, flow: u64) {
        let Some(lost) = self.flows.remove(&flow) else { return };
        if lost.server.is_some() {
            self.send_on(flow, lost.instance, lost.empty_packet(PacketKind::Abort));
        }
        if let Some(request) = lost.request {
            match lost.server.is_none() {
                true => self.try_again(request),
                false => self.give_up(request),
            }
        }
    }

    fn is_held_by_dead(&self, flow: u64) -> bool {
        let server = self.flows.get(&flow).and_then(|flow| flow.server);
        server.is_some_and(|server| self.servers[server].is_dead())
    }

    fn is_over(&self, request: Option<usize>) -> bool {
        request.is_some_and(|request| self.requests[request].is_over)
    }

    fn send(&mut self, flow: u64, packet: FlowPacket) {
        let Some(instance) = self.flows.get(&flow).map(|opened| opened.instance) else { return };
        self.send_on(flow, instance, packet);
    }

    fn send_on(&mut self, flow: u64, instance: usize, packet: FlowPacket) {
        let at = self.now.after(CALLER_WAY).max(self.instances[instance].frozen_until);
        self.events.push(at, FlowEvent::ToInstance { instance, flow, packet });
    }
}
