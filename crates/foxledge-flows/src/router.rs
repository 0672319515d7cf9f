//! Decisions on packets.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};

use crate::{
    backends::{Backend, BackendNews, BackendTable},
    decisions::{
        DropReason, EndReason, FlowDecision, FlowExplanation, FlowStall, OpenReason, RefuseReason,
        RouterCounts,
    },
    health::{HealthNote, NoteKind},
    latency::usual_us,
    openings::OpeningTable,
    packet::{FlowKey, FlowPacket, PacketKind},
    placement::{LeastLoaded, PlacementCandidate, PlacementPolicy},
    routes::{RouteTable, flow_hash},
    rows::{ListRow, RowValue},
    tracks::{DataResend, TrackNews, TrackTable},
};

/// A copy of an opening packet that comes sooner than this after the first, in
/// milliseconds, goes to the same backend server.
///
/// Callers send copies after 200 ms. After a freeze the first packet and its
/// copies wait in the socket together and are read at once: sent to several
/// backend servers they would open the flow twice, and the caller would mix the
/// token of one with the sequence numbers of the other.
const COPY_MS: u64 = 150;
/// How long an unanswered opening of the same caller counts as failed, in
/// milliseconds.
///
/// A backend server that resets a flow makes its caller try again at once. An
/// answer arrives within 7 ms, so a second flow of the caller that comes later
/// than this avoids the backend server of the first.
const STUCK_MS: u64 = 12;
/// How long it counts, in milliseconds: after the caller's copy at 200 ms the
/// backend server's own state tells more.
const STUCK_KEPT_MS: u64 = 250;
/// How long data of an open flow must stay unanswered, in milliseconds, to speak for
/// the death of its backend server.
///
/// Callers send data again after 200 ms and after 400 ms more. A backend server that
/// lives acknowledges the first copy, so the second shows that nothing gets there.
/// Its caller, which may ask again, has some 400 ms of its second left for that.
const LOST_MS: u64 = 500;
/// How often it must have been sent again besides. Time alone says little: when the
/// network holds everything up for half a second, the first copies come that late.
const LOST_COPIES: u32 = 2;
/// Idle time of flows while no list says another, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// `RouterOptions` is what a router starts with.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    data_centre: CentreName,
    fresh_ms: u64,
}

impl RouterOptions {
    /// Options of an instance in `data_centre`.
    pub fn new(data_centre: CentreName) -> RouterOptions {
        RouterOptions { data_centre, fresh_ms: 2_000 }
    }

    /// Sets how old the store's confirmation of the list may be, in
    /// milliseconds, for a flow to be refused; when it is older, the
    /// caller gets no answer and a copy of its packet may be served.
    pub fn fresh_ms(mut self, fresh_ms: u64) -> RouterOptions {
        self.fresh_ms = fresh_ms;
        self
    }
}

/// `FlowRouter` decides on the packets of callers.
pub struct FlowRouter {
    options: RouterOptions,
    routes: RouteTable,
    backends: BackendTable,
    openings: OpeningTable,
    tracks: TrackTable,
    policy: Box<dyn PlacementPolicy>,
    notes: Vec<HealthNote>,
    news: Vec<BackendNews>,
    latencies: Vec<Duration>,
    counts: RouterCounts,
    confirmed_at: Option<ClockTime>,
    is_in_doubt: bool,
    is_catching_up: bool,
    idle_ms: u64,
    picks: u64,
}

impl FlowRouter {
    /// Makes a router that knows no list.
    pub fn new(options: RouterOptions) -> FlowRouter {
        FlowRouter {
            options,
            routes: RouteTable::default(),
            backends: BackendTable::default(),
            openings: OpeningTable::default(),
            tracks: TrackTable::default(),
            policy: Box::new(LeastLoaded),
            notes: Vec::new(),
            news: Vec::new(),
            latencies: Vec::new(),
            counts: RouterCounts::default(),
            confirmed_at: None,
            is_in_doubt: false,
            is_catching_up: false,
            idle_ms: DEFAULT_IDLE_MS,
            picks: 0,
        }
    }

    /// Sets the policy that places new flows.
    pub fn policy(mut self, policy: Box<dyn PlacementPolicy>) -> FlowRouter {
        self.policy = policy;
        self
    }

    /// Takes rows of the list.
    pub fn take_rows(&mut self, now: ClockTime, rows: &[ListRow]) {
        for row in rows {
            if let Some(RowValue::Limits(limits)) = &row.value {
                self.idle_ms = u64::from(limits.idle_ms).max(1_000);
            }
            self.routes.take(row);
            if let Some(news) = self.backends.take(now, row) {
                self.take_news(news);
            }
        }
        self.backends.forget(now);
    }

    /// What rows changed in what is believed of backend servers since the last call.
    pub fn take_backend_news(&mut self) -> Vec<BackendNews> {
        std::mem::take(&mut self.news)
    }

    /// Notes when the store last confirmed that the list is the newest.
    pub fn set_confirmed(&mut self, at: ClockTime) {
        if let Some(former) = self.confirmed_at {
            self.backends.renew_grace(former, at);
        }
        self.confirmed_at = Some(at);
        self.is_in_doubt = false;
    }

    /// Notes that this process stood still: until the next confirmation, and until all
    /// that waited has been read ([`FlowRouter::check_overdue`]), nothing is refused, and
    /// openings speak against no backend server.
    ///
    /// Opening packets that waited meanwhile are old. Their callers may have
    /// opened the flow at another instance since, and would take the refusal for
    /// the end of it.
    pub fn note_pause(&mut self) {
        self.is_in_doubt = true;
        self.is_catching_up = true;
    }

    /// When the store last confirmed the list, as far as is known here.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// Takes what another instance observed of a backend server.
    pub fn take_note(&mut self, now: ClockTime, note: &HealthNote) {
        let Some(index) = self.backends.by_number(note.number) else { return };
        let Some(backend) = self.backends.get_mut(index) else { return };
        // A peer that doesn't know of the new start yet saw the silence of the former.
        if backend.incarnation == note.incarnation {
            backend.health.on_note(now, note);
        }
    }

    /// What was observed of backend servers since the last call, for other instances.
    pub fn take_notes(&mut self) -> Vec<HealthNote> {
        std::mem::take(&mut self.notes)
    }

    /// Times from requests to their answers seen since the last call.
    pub fn take_latencies(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.latencies)
    }

    /// What was counted.
    pub fn counts(&self) -> RouterCounts {
        self.counts
    }

    /// The backend server at an index that a decision named.
    pub fn backend(&self, index: usize) -> Option<&Backend> {
        self.backends.get(index)
    }

    /// The backend server of a number.
    pub fn backend_of(&self, number: u64) -> Option<&Backend> {
        self.backends.get(self.backends.by_number(number)?)
    }

    /// Every backend server.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.iter()
    }

    /// Says where a flow would go now and what a token names, and changes nothing.
    pub fn explain(&mut self, now: ClockTime, key: &FlowKey, token: u32) -> FlowExplanation {
        let route = self.routes.find(&key.service).cloned();
        let service = route.as_ref().map(|route| route.service_of(key).clone());
        let candidates = match &service {
            Some(service) => self.candidates(now, service, key, None),
            None => Vec::new(),
        };
        let fits =
            |backend: &Backend| route.as_ref().is_some_and(|route| route.allows(&backend.service));
        FlowExplanation {
            choice: self.policy.choose(now, &candidates),
            token_holder: self.backends.by_token(token, fits),
            service,
            route,
            candidates,
        }
    }

    /// Flows that are tracked.
    pub fn tracked_flows(&self) -> usize {
        self.tracks.len()
    }

    /// Decides on a packet.
    pub fn on_packet(&mut self, now: ClockTime, packet: &FlowPacket) -> FlowDecision {
        match packet.kind {
            PacketKind::Open { copy } => self.open(now, packet, copy),
            _ => self.follow(now, packet),
        }
    }

    /// Counts openings that have stayed unanswered against their backend servers.
    ///
    /// `read_at` is when the socket was seen to be empty, or earlier. After a
    /// pause of this process, the packets by which callers went on wait in the
    /// socket; an opening counted before they are read would speak against a
    /// backend server that answered long ago.
    pub fn check_overdue(&mut self, read_at: ClockTime) {
        self.is_catching_up = false;
        while let Some(opening) = self.openings.next_overdue(read_at) {
            self.counts.overdue += 1;
            self.note(read_at, opening.backend, |backend| {
                backend.health.on_suspicion(read_at, opening.sent)
            });
        }
    }

    fn take_news(&mut self, news: BackendNews) {
        if let BackendNews::Restarted { index, .. } = news {
            self.tracks.retire(index);
        }
        self.news.push(news);
    }

    fn open(&mut self, now: ClockTime, packet: &FlowPacket, copy: u32) -> FlowDecision {
        let Some(route) = self.routes.find(&packet.key.service).cloned() else {
            return self.refuse(now, RefuseReason::NoRoute);
        };
        if copy > 0 {
            self.counts.copies += 1;
        }
        let reason = |rank, candidates| OpenReason {
            route: Arc::from(route.name.as_str()),
            route_revision: route.revision,
            copy,
            rank,
            candidates,
        };
        let former = self.openings.get(&packet.key).copied();
        if let Some(opening) = former {
            if !opening.sent.after_millis(COPY_MS).is_past(now) {
                return FlowDecision::Open { backend: opening.backend, reason: reason(None, 1) };
            }
            self.openings.remove(&packet.key);
            self.note(now, opening.backend, |backend| backend.health.on_silence(now, opening.sent));
        }
        let service = route.service_of(&packet.key).clone();
        let avoided = former.map(|opening| opening.backend);
        let candidates = self.candidates(now, &service, &packet.key, avoided);
        let Some((index, rank)) = self.policy.choose(now, &candidates) else {
            return self.refuse(now, RefuseReason::NoBackend);
        };
        self.picks += 1;
        if let Some(backend) = self.backends.get_mut(index) {
            backend.picked = self.picks;
        }
        match self.is_catching_up {
            true => self.openings.add_unjudged(now, packet.key, index),
            false => self.openings.add(now, packet.key, index),
        }
        FlowDecision::Open { backend: index, reason: reason(Some(rank), candidates.len()) }
    }

    /// Refuses an opening packet, if this instance can be sure.
    ///
    /// A refusal is final for the caller, so only an instance that has heard
    /// lately that its list is the newest refuses. Others stay silent: a copy of
    /// the packet may find what is missing here, or has found it already.
    fn refuse(&self, now: ClockTime, reason: RefuseReason) -> FlowDecision {
        let Some(confirmed) = self.confirmed_at else {
            return FlowDecision::Drop(DropReason::NoList);
        };
        let is_old = confirmed.after_millis(self.options.fresh_ms).is_past(now);
        if self.is_in_doubt || self.is_catching_up || is_old {
            return FlowDecision::Drop(DropReason::MaybeStale);
        }
        FlowDecision::Refuse(reason)
    }

    fn candidates(
        &self,
        now: ClockTime,
        service: &ServiceName,
        key: &FlowKey,
        avoided: Option<usize>,
    ) -> Vec<PlacementCandidate> {
        let caller: Ipv4Addr = *key.caller.ip();
        let before = |ms| ClockTime::from_micros(now.as_micros().saturating_sub(ms * 1_000));
        let stuck = before(STUCK_KEPT_MS)..before(STUCK_MS);
        let indexes = self.backends.of_service(service);
        // Each flow starts its look elsewhere, so that instances that know
        // nothing yet don't all begin with the same backend server.
        let shift = flow_hash(key);
        let known = indexes.iter().filter_map(|index| self.backends.get(*index));
        let usual = usual_us(known.filter_map(|backend| backend.latency.mean_us()));
        let candidate = |index: usize| {
            let backend = self.backends.get(index)?;
            if !backend.takes_flows(now, self.confirmed_at) {
                return None;
            }
            let tie = match backend.picked {
                0 => shift.wrapping_mul(backend.number | 1) >> 40,
                picked => (1 << 24) + picked,
            };
            Some(PlacementCandidate {
                index,
                class: backend.health.class(now),
                waiting: self.openings.waiting_at(index),
                is_stuck: avoided == Some(index) || self.openings.is_stuck(&caller, index, &stuck),
                is_near: backend.data_centre == self.options.data_centre,
                running: backend.running,
                slots: backend.slots,
                slowness: (backend.latency.slowness(now, usual) * 100.0) as u32,
                is_cold: !backend.warm_at.is_past(now),
                flows: backend.flows,
                picked: tie,
            })
        };
        indexes.iter().copied().filter_map(candidate).collect()
    }

    /// Sends a packet of an open flow to the backend server that its token names.
    fn follow(&mut self, now: ClockTime, packet: &FlowPacket) -> FlowDecision {
        let address = &packet.key.service;
        let route = self.routes.find(address);
        if route.is_none() && self.routes.was_removed(address) {
            self.end_track(&packet.key);
            return FlowDecision::Drop(DropReason::RouteRemoved);
        }
        let fits = |backend: &Backend| route.is_some_and(|route| route.allows(&backend.service));
        let Some(index) = self.backends.by_token(packet.token, fits) else {
            return FlowDecision::Drop(DropReason::UnknownToken);
        };
        let may_repeat = route.is_some_and(|route| route.idempotent);
        if let Some(opening) = self.openings.remove(&packet.key)
            && opening.backend == index
            && self.backends.get(index).is_some_and(|one| one.known_at <= opening.sent)
        {
            self.note(now, index, |backend| backend.health.on_alive(now));
        }
        // What this packet itself tells is no evidence beside it.
        let silent_at = self.backends.get(index).and_then(|one| one.health.silent_at());
        let stall = self.track(now, packet, index);
        // What is read after a pause was sent nobody knows when.
        let may_end = may_repeat && !self.is_catching_up;
        let lost = stall.filter(|_| may_end).and_then(|stall| loss(now, stall, silent_at));
        if let Some(reason) = lost {
            self.end_track(&packet.key);
            return FlowDecision::End { backend: index, reason };
        }
        FlowDecision::Forward { backend: index, stall }
    }

    /// Takes a packet into its flow's track; tells when the caller waits in vain.
    fn track(&mut self, now: ClockTime, packet: &FlowPacket, index: usize) -> Option<FlowStall> {
        for (index, was_running) in self.tracks.sweep(now, self.idle_ms) {
            self.settle(index, was_running);
        }
        if matches!(packet.kind, PacketKind::Finish | PacketKind::Abort) {
            if let TrackNews::Answered(latency) = self.tracks.finish(now, packet) {
                self.answered(now, index, latency);
            }
            self.end_track(&packet.key);
            return None;
        }
        let before = self.tracks.len();
        let news = self.tracks.take(now, packet, index);
        let backend = self.backends.get_mut(index)?;
        if self.tracks.len() > before {
            backend.flows += 1;
        }
        match news {
            TrackNews::Nothing => {}
            TrackNews::Asked => backend.running += 1,
            TrackNews::AskedAgain(asked) => backend.health.on_life_since(asked),
            TrackNews::Answered(latency) => {
                backend.running = backend.running.saturating_sub(1);
                self.answered(now, index, latency);
            }
            TrackNews::Resent(resend) => return self.stalled(now, index, resend),
        }
        None
    }

    /// Takes data that stays unanswered as evidence against its backend server.
    fn stalled(
        &mut self,
        now: ClockTime,
        index: usize,
        DataResend { sent, copies }: DataResend,
    ) -> Option<FlowStall> {
        self.counts.resent += 1;
        let waited_ms = now.since(sent).as_millis() as u64;
        self.note(now, index, |backend| match is_lost(waited_ms, copies) {
            true => backend.health.on_silence(now, sent),
            false => backend.health.on_suspicion(now, sent),
        });
        let class = self.backends.get(index)?.health.class(now);
        Some(FlowStall { waited_ms, copies, class })
    }

    fn answered(&mut self, now: ClockTime, index: usize, latency: Duration) {
        self.latencies.push(latency);
        if let Some(backend) = self.backends.get_mut(index) {
            backend.latency.take(now, latency);
        }
        self.note(now, index, |backend| backend.health.on_alive(now));
    }

    fn end_track(&mut self, key: &FlowKey) {
        if let Some((index, was_running)) = self.tracks.end(key) {
            self.settle(index, was_running);
        }
    }

    fn settle(&mut self, index: usize, was_running: bool) {
        let Some(backend) = self.backends.get_mut(index) else { return };
        backend.flows = backend.flows.saturating_sub(1);
        if was_running {
            backend.running = backend.running.saturating_sub(1);
        }
    }

    /// Changes what is believed of a backend server and keeps the news for others.
    fn note(
        &mut self,
        now: ClockTime,
        index: usize,
        observe: impl FnOnce(&mut Backend) -> Option<NoteKind>,
    ) {
        let Some(backend) = self.backends.get_mut(index) else { return };
        let Some(kind) = observe(backend) else { return };
        let (number, incarnation) = (backend.number, backend.incarnation);
        self.notes.push(HealthNote { number, incarnation, kind, at: now });
    }
}

/// True when data that has waited so long, and was sent again so often, speaks for the
/// death of its backend server.
fn is_lost(waited_ms: u64, copies: u32) -> bool {
    waited_ms >= LOST_MS && copies >= LOST_COPIES
}

/// Why a flow that stalls is lost, if that is sure; `silent_at` is when something else
/// was found unanswered by its backend server.
///
/// Without this, requests on flows to a dead backend server fail at their deadline,
/// though others could answer them. A false alarm breaks a flow that lives. It takes the
/// loss of an opening packet and its caller's copy, or of three copies of a flow's data,
/// of every sign of life since, and of this flow's data: of three copies, or of two if
/// the silence had lasted for [`LOST_MS`] before. A flow that is alone with its backend
/// server ends by the fourth copy, as the third speaks for the silence.
fn loss(now: ClockTime, stall: FlowStall, silent_at: Option<ClockTime>) -> Option<EndReason> {
    let silent_ms = now.since(silent_at?).as_millis() as u64;
    let is_old_silence = silent_ms >= stall.waited_ms + LOST_MS;
    if !is_lost(stall.waited_ms, stall.copies) && !is_old_silence {
        return None;
    }
    Some(EndReason::BackendSilent { waited_ms: stall.waited_ms, silent_ms })
}
