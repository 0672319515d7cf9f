//! Open flows as far as this instance has seen them.
//!
//! Nothing depends on a track: a flow without one goes on by its token. Tracks
//! tell how many requests each backend server works on and how long it takes.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use foxledge_core::time::ClockTime;

use crate::{
    groups::GroupCounts,
    packet::{FlowKey, FlowPacket},
};

/// How long data of an open flow must stay unanswered, in milliseconds, to speak for
/// the death of its backend server.
///
/// Callers send data again after 200 ms and after 400 ms more. A backend server that
/// lives acknowledges the first copy, so the second shows that nothing gets there.
/// Its caller, which may ask again, has some 400 ms of its second left for that.
pub const DATA_LOSS_MS: u64 = 500;
/// How often it must have been sent again besides. Time alone says little: when the
/// network holds everything up for half a second, the first copies come that late.
const LOST_COPIES: u32 = 2;
/// Silence of a flow after which nothing of an answer is on its way any more, in
/// milliseconds: callers acknowledge every second packet of one, and send again what stays
/// unacknowledged for 200 ms.
const AT_REST_MS: u64 = 250;
/// Time that a caller must have waited, in milliseconds, for its flow to be ended because its
/// backend server is dead: one that lives shows it by most answers within this time.
const WAITED_MS: u64 = 150;
/// What the end of a flow takes of its sequence numbers.
const FLOW_END: u32 = 1;
/// Most flows tracked, at about 70 bytes each.
const MOST_TRACKS: usize = 100_000;
/// Time between two looks for forgotten tracks, in milliseconds.
const SWEEP_MS: u64 = 5_000;
/// A copy of data sooner than this after the one before wasn't sent because that one
/// stayed unanswered: callers send again after 200 ms at the earliest. The network made
/// it, or both waited in the socket together while this process stood still.
const RESEND_MS: u64 = 150;

#[derive(Clone, Copy, Debug)]
struct FlowTrack {
    backend: usize,
    /// Group in which the request that runs is counted; none while it isn't.
    counted_in: Option<usize>,
    last_at: ClockTime,
    /// When the request that runs was sent on; none while none does.
    asked_at: Option<ClockTime>,
    /// End of the data sent on so far.
    sent_to: u32,
    /// When the last of it was sent on first.
    sent_at: ClockTime,
    /// When it was last sent on again, or first.
    copied_at: ClockTime,
    /// How often it was sent again.
    copies: u32,
    /// What the caller had received when it asked.
    acknowledged: u32,
    /// What it has received by its newest packet.
    received: u32,
    /// Its data has stayed unanswered for so long that it witnesses for a death.
    is_witness: bool,
    /// It may be one of a process that is gone, whose successor has its id: what happens on
    /// it tells nothing.
    is_retired: bool,
}

/// `TrackEvent` is what a packet of an open flow tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackEvent {
    /// Nothing new.
    Nothing,
    /// A request began.
    Asked,
    /// The answer to a request has begun to arrive.
    Answered(RequestAnswer),
    /// A request began, and the one before, asked at this time, had been answered.
    AskedAgain(ClockTime),
    /// Data was sent again.
    Resent(DataResend),
}

/// `RequestAnswer` is how a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestAnswer {
    /// How long after it was asked.
    pub latency: Duration,
    /// How often its data had been sent again.
    pub copies: u32,
}

/// `DataResend` is a caller's data that stays unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataResend {
    /// When the newest of it was sent on first.
    pub sent: ClockTime,
    /// How often it was sent again, each time after a wait for an answer.
    pub copies: u32,
    /// What this tells of the backend server.
    pub meaning: ResendMeaning,
}

/// `ResendMeaning` is what data that is sent again tells of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendMeaning {
    /// A packet may have been lost.
    Doubt,
    /// Nothing gets there; this flow shows it for the first time.
    NewLoss,
    /// Nothing gets there, as this flow has shown before.
    SameLoss,
}

/// `FlowState` is what an open flow does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FlowState {
    /// Nothing is under way on it.
    Idle,
    /// Its caller has waited for an answer for [`WAITED_MS`] and more.
    Waiting,
}

/// `OpenFlow` is an open flow of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenFlow {
    /// The flow.
    pub key: FlowKey,
    /// What it does.
    pub state: FlowState,
    /// What its caller has received.
    pub received: u32,
    /// When its last packet came, or when the data that waits was sent on first.
    pub since: ClockTime,
}

/// `TrackTable` is the flows that were seen lately.
#[derive(Debug, Default)]
pub struct TrackTable {
    tracks: HashMap<FlowKey, FlowTrack>,
    is_counting: bool,
    running_requests: GroupCounts,
    /// When requests began that may still be counted, the oldest first.
    begun: VecDeque<(ClockTime, FlowKey)>,
    sweep_at: ClockTime,
}

impl TrackTable {
    /// Makes an empty table that counts the requests that run by group.
    pub fn with_request_counts() -> TrackTable {
        TrackTable { is_counting: true, ..TrackTable::default() }
    }

    /// Takes a packet of a flow at `backend`, which is of `group`.
    pub fn record_packet(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        (backend, group): (usize, usize),
    ) -> TrackEvent {
        let Some(track) = self.tracks.get_mut(&packet.key) else {
            return self.begin(now, packet, (backend, group));
        };
        track.last_at = now;
        if track.is_retired {
            return TrackEvent::Nothing;
        }
        track.backend = backend;
        if is_after(packet.acknowledged, track.received) {
            track.received = packet.acknowledged;
        }
        let is_answered = track.asked_at.is_some() && track.is_answer(packet.acknowledged);
        if packet.length == 0 {
            if !is_answered {
                return TrackEvent::Nothing;
            }
            track.uncount(&mut self.running_requests);
            return track.answer(now);
        }
        let end = packet.sequence.wrapping_add(u32::from(packet.length));
        if !is_after(end, track.sent_to) {
            return track.resend(now);
        }
        (track.sent_to, track.sent_at) = (end, now);
        (track.copied_at, track.copies, track.is_witness) = (now, 0, false);
        if track.asked_at.is_some() && !is_answered {
            return TrackEvent::Nothing;
        }
        let last_asked = track.asked_at.replace(now);
        track.uncount(&mut self.running_requests);
        if self.is_counting {
            track.counted_in = Some(group);
            self.running_requests.add(group);
            self.begun.push_back((now, packet.key));
        }
        track.acknowledged = packet.acknowledged;
        // The last answer was seen only now, with the next request: one begins as one ends.
        last_asked.map_or(TrackEvent::Asked, TrackEvent::AskedAgain)
    }

    /// Takes the last packet of a flow: callers that have had their answer often
    /// acknowledge it with the packet that ends the flow.
    pub fn finish(&self, now: ClockTime, packet: &FlowPacket) -> TrackEvent {
        let Some(track) = self.tracks.get(&packet.key) else { return TrackEvent::Nothing };
        match track.asked_at {
            Some(asked) if track.is_answer(packet.acknowledged) => {
                TrackEvent::Answered(track.answer_to(now, asked))
            }
            _ => TrackEvent::Nothing,
        }
    }

    /// Ends a track; true when a request was running.
    pub fn end(&mut self, key: &FlowKey) -> Option<(usize, bool)> {
        let mut track = self.tracks.remove(key)?;
        track.uncount(&mut self.running_requests);
        (!track.is_retired).then_some((track.backend, track.asked_at.is_some()))
    }

    /// Makes the tracks of a backend server tell nothing more, as it starts again under its
    /// id. The new process resets the flows that it doesn't know; their requests, counted
    /// as running, would keep new flows away from it.
    pub fn retire(&mut self, backend: usize) {
        let own = self.tracks.values_mut().filter(|track| track.backend == backend);
        for track in own {
            track.uncount(&mut self.running_requests);
            (track.is_retired, track.asked_at) = (true, None);
        }
    }

    /// Forgets flows that were silent for longer than flows may be, and returns them.
    pub fn sweep(&mut self, now: ClockTime, idle_ms: u64) -> Vec<(usize, bool)> {
        if !self.sweep_at.is_past(now) {
            return Vec::new();
        }
        self.sweep_at = now.after_millis(SWEEP_MS);
        self.expire_requests(now, idle_ms);
        let mut ended = Vec::new();
        let running = &mut self.running_requests;
        self.tracks.retain(|_, track| {
            let is_old = track.last_at.after_millis(idle_ms).is_past(now);
            if is_old {
                track.uncount(running);
            }
            if is_old && !track.is_retired {
                ended.push((track.backend, track.asked_at.is_some()));
            }
            !is_old
        });
        ended
    }

    /// Flows of a backend server that are at rest or wait for an answer; a caller's time for
    /// one, told by `time_of` in milliseconds, ends the wait.
    pub fn held_flows<'a>(
        &'a self,
        now: ClockTime,
        backend: usize,
        time_of: impl Fn(&FlowKey) -> u64 + 'a,
    ) -> impl Iterator<Item = OpenFlow> + 'a {
        let own = self.tracks.iter().filter(move |(_, track)| track.backend == backend);
        own.filter_map(move |(key, track)| {
            let (state, since) = track.state(now, time_of(key))?;
            Some(OpenFlow { key: *key, state, received: track.received, since })
        })
    }

    /// Stops counting requests that began longer than `limit_ms` ago: their callers have given
    /// up, and the packet that told it was lost or went to another instance.
    pub fn expire_requests(&mut self, now: ClockTime, limit_ms: u64) {
        while let Some((begun, key)) = self.begun.front().copied() {
            if !begun.after_millis(limit_ms).is_past(now) {
                return;
            }
            self.begun.pop_front();
            if let Some(track) = self.tracks.get_mut(&key)
                && track.asked_at == Some(begun)
            {
                track.uncount(&mut self.running_requests);
            }
        }
    }

    /// Requests that run, by group of their backend server.
    pub fn running_requests(&self) -> &GroupCounts {
        &self.running_requests
    }

    /// True when a flow is tracked.
    pub fn contains(&self, key: &FlowKey) -> bool {
        self.tracks.contains_key(key)
    }

    /// Number of flows tracked.
    pub fn len(&self) -> usize {
        self.tracks.len()
    }

    fn begin(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        (backend, group): (usize, usize),
    ) -> TrackEvent {
        // A flow begins with data; what comes without may be the end of one.
        if packet.length == 0 || self.tracks.len() >= MOST_TRACKS {
            return TrackEvent::Nothing;
        }
        let track = FlowTrack {
            backend,
            counted_in: self.is_counting.then_some(group),
            last_at: now,
            asked_at: Some(now),
            sent_to: packet.sequence.wrapping_add(u32::from(packet.length)),
            sent_at: now,
            copied_at: now,
            copies: 0,
            acknowledged: packet.acknowledged,
            received: packet.acknowledged,
            is_witness: false,
            is_retired: false,
        };
        self.tracks.insert(packet.key, track);
        if self.is_counting {
            self.running_requests.add(group);
            self.begun.push_back((now, packet.key));
        }
        TrackEvent::Asked
    }
}

impl FlowTrack {
    /// What the flow does, and since when; none when that can't be told yet.
    fn state(&self, now: ClockTime, time_ms: u64) -> Option<(FlowState, ClockTime)> {
        if self.is_retired {
            return None;
        }
        let is_asking = self.asked_at.is_some() && !self.sent_at.after_millis(time_ms).is_past(now);
        if is_asking {
            let has_waited = self.sent_at.after_millis(WAITED_MS).is_past(now);
            return has_waited.then_some((FlowState::Waiting, self.sent_at));
        }
        let is_at_rest = self.last_at.after_millis(AT_REST_MS).is_past(now);
        is_at_rest.then_some((FlowState::Idle, self.last_at))
    }

    /// Stops counting the request that runs.
    fn uncount(&mut self, running: &mut GroupCounts) {
        if let Some(group) = self.counted_in.take() {
            running.remove(group);
        }
    }

    /// Takes data that was sent on before.
    fn resend(&mut self, now: ClockTime) -> TrackEvent {
        let is_soon = !self.copied_at.after_millis(RESEND_MS).is_past(now);
        if is_soon || self.asked_at.is_none() {
            return TrackEvent::Nothing;
        }
        self.copied_at = now;
        self.copies += 1;
        let waited_ms = now.since(self.sent_at).as_millis() as u64;
        let meaning =
            match (waited_ms >= DATA_LOSS_MS && self.copies >= LOST_COPIES, self.is_witness) {
                (false, _) => ResendMeaning::Doubt,
                (true, false) => ResendMeaning::NewLoss,
                (true, true) => ResendMeaning::SameLoss,
            };
        self.is_witness |= meaning == ResendMeaning::NewLoss;
        TrackEvent::Resent(DataResend { sent: self.sent_at, copies: self.copies, meaning })
    }

    /// True when what the caller acknowledges holds data of an answer.
    ///
    /// The end of a flow counts like one byte. A backend server that stops ends its flows, and
    /// their callers acknowledge that: taken for answers, these ends would make a process that
    /// is gone look alive, and new flows would go to a start of it that nobody reaches.
    fn is_answer(&self, acknowledged: u32) -> bool {
        is_after(acknowledged, self.acknowledged.wrapping_add(FLOW_END))
    }

    fn answer(&mut self, now: ClockTime) -> TrackEvent {
        match self.asked_at.take() {
            Some(asked) => TrackEvent::Answered(self.answer_to(now, asked)),
            None => TrackEvent::Nothing,
        }
    }

    fn answer_to(&self, now: ClockTime, asked: ClockTime) -> RequestAnswer {
        RequestAnswer { latency: now.since(asked), copies: self.copies }
    }
}

/// True when sequence number `a` comes after `b`, in the arithmetic of a counter that wraps.
fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
