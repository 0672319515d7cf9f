//! Tracking of open flows, as far as this instance has seen them.
//!
//! Forwarding doesn't depend on tracks: a flow without one continues by its token. Tracks tell how
//! many requests each backend server processes and how long these take.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use foxledge_core::time::ClockTime;

use crate::{
    groups::GroupCounts,
    packet::{FlowKey, FlowPacket},
};

/// The time, in milliseconds, for which data of an open flow must stay unanswered to count as
/// evidence that its backend server is dead.
///
/// Callers retransmit data after 200 ms and after another 400 ms. A live backend server
/// acknowledges the first transmission, so the second retransmission shows that no packet arrives
/// there. A caller with an idempotent request then has about 400 ms of its deadline of one second
/// left to repeat it.
pub const DATA_LOSS_MS: u64 = 500;
/// The number of retransmissions that is required besides. Time alone proves little: when the
/// network delays all packets by half a second, the first retransmissions arrive that late.
const MIN_LOSS_RETRANSMISSIONS: u32 = 2;
/// The time without packets, in milliseconds, after which no part of a response is in transit any
/// more. Callers acknowledge every second packet of a response, and what stays unacknowledged for
/// 200 ms is retransmitted.
const IDLE_AFTER_MS: u64 = 250;
/// The time, in milliseconds, that a caller must have waited before its flow is reset because its
/// backend server is dead. A live one shows most responses within this time.
const MIN_WAIT_MS: u64 = 150;
/// The sequence numbers that the end of a flow consumes.
const FIN_SEQUENCE_LENGTH: u32 = 1;
/// The maximum number of tracked flows, at about 70 bytes each.
const MAX_TRACKS: usize = 100_000;
/// The time, in milliseconds, between two sweeps for expired tracks.
const SWEEP_INTERVAL_MS: u64 = 5_000;
/// The minimum interval, in milliseconds, of retransmissions that mean an unanswered packet:
/// callers retransmit after 200 ms at the earliest. An earlier copy was made by the network, or
/// both copies waited in the socket while this process was paused.
const MIN_RETRANSMISSION_INTERVAL_MS: u64 = 150;

#[derive(Clone, Copy, Debug)]
struct FlowTrack {
    backend: usize,
    /// The group in which the running request is counted; `None` if it isn't counted.
    counted_in: Option<usize>,
    last_packet_at: ClockTime,
    /// When the running request was forwarded; `None` if none is running.
    requested_at: Option<ClockTime>,
    /// The end of the data forwarded so far, as a sequence number.
    sent_end: u32,
    /// When the last part of that data was first forwarded.
    sent_at: ClockTime,
    /// When that part was last forwarded.
    last_sent_at: ClockTime,
    /// The number of its retransmissions.
    retransmissions: u32,
    /// What the caller had acknowledged when it sent the request.
    request_acknowledged: u32,
    /// What the caller has acknowledged by its newest packet.
    latest_acknowledged: u32,
    /// True once the unanswered data has counted as evidence of a dead backend server.
    is_loss_counted: bool,
    /// True if the flow may belong to a previous process with the same id, so that its packets
    /// prove nothing.
    is_retired: bool,
}

/// What a packet of an open flow shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrackEvent {
    /// No change.
    NoChange,
    /// A request started.
    RequestStarted,
    /// The response to a request has begun to arrive.
    RequestAnswered(ResponseTiming),
    /// A request started, and the previous one, sent at this time, had been answered.
    NextRequestStarted(ClockTime),
    /// Data was retransmitted.
    DataRetransmitted(DataRetransmission),
}

/// The time and effort that a response took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTiming {
    /// The time between the request and the response.
    pub latency: Duration,
    /// The number of retransmissions of the request's data.
    pub retransmissions: u32,
}

/// A retransmission of a caller's unanswered data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataRetransmission {
    /// When the newest part of the data was first forwarded.
    pub sent_at: ClockTime,
    /// The number of retransmissions, each after a wait for a response.
    pub retransmissions: u32,
    /// What the retransmission proves of the backend server.
    pub evidence: LossEvidence,
}

/// What a retransmission proves of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossEvidence {
    /// A packet may have been lost.
    Suspected,
    /// No packet arrives there, as this flow shows for the first time.
    Confirmed,
    /// No packet arrives there, as this flow has shown before.
    Repeated,
}

/// The state of an open flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FlowState {
    /// Neither a request nor a response is in progress.
    Idle,
    /// The caller has waited for a response for [`MIN_WAIT_MS`] or longer.
    Waiting,
}

/// An open flow of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenFlow {
    /// The flow.
    pub key: FlowKey,
    /// Its state.
    pub state: FlowState,
    /// What its caller has acknowledged.
    pub acknowledged: u32,
    /// When its last packet arrived, or when the unanswered data was first forwarded.
    pub since: ClockTime,
}

/// The flows that were seen recently.
#[derive(Debug, Default)]
pub struct TrackTable {
    tracks: HashMap<FlowKey, FlowTrack>,
    is_counting_requests: bool,
    running_requests: GroupCounts,
    /// When requests started that may still be counted, oldest first.
    started_requests: VecDeque<(ClockTime, FlowKey)>,
    next_sweep_at: ClockTime,
}

impl TrackTable {
    /// Creates an empty table that counts running requests by group.
    pub fn with_request_counts() -> TrackTable {
        TrackTable { is_counting_requests: true, ..TrackTable::default() }
    }

    /// Records a packet of a flow to `backend`, which belongs to `group`.
    pub fn record_packet(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        (backend, group): (usize, usize),
    ) -> TrackEvent {
        let Some(track) = self.tracks.get_mut(&packet.key) else {
            return self.start_track(now, packet, (backend, group));
        };
        track.last_packet_at = now;
        if track.is_retired {
            return TrackEvent::NoChange;
        }
        track.backend = backend;
        if is_after(packet.acknowledged, track.latest_acknowledged) {
            track.latest_acknowledged = packet.acknowledged;
        }
        let is_answered = track.requested_at.is_some() && track.is_response(packet.acknowledged);
        if packet.length == 0 {
            if !is_answered {
                return TrackEvent::NoChange;
            }
            track.stop_counting(&mut self.running_requests);
            return track.finish_request(now);
        }
        let end = packet.sequence.wrapping_add(u32::from(packet.length));
        if !is_after(end, track.sent_end) {
            return track.record_retransmission(now);
        }
        (track.sent_end, track.sent_at) = (end, now);
        (track.last_sent_at, track.retransmissions, track.is_loss_counted) = (now, 0, false);
        if track.requested_at.is_some() && !is_answered {
            return TrackEvent::NoChange;
        }
        let former_requested_at = track.requested_at.replace(now);
        track.stop_counting(&mut self.running_requests);
        if self.is_counting_requests {
            track.counted_in = Some(group);
            self.running_requests.add(group);
            self.started_requests.push_back((now, packet.key));
        }
        track.request_acknowledged = packet.acknowledged;
        // The previous response is noticed only now, with the next request: one ends as the other
        // starts.
        former_requested_at.map_or(TrackEvent::RequestStarted, TrackEvent::NextRequestStarted)
    }

    /// Returns what the last packet of a flow shows: callers often acknowledge a response with the
    /// packet that ends the flow.
    pub fn final_event(&self, now: ClockTime, packet: &FlowPacket) -> TrackEvent {
        let Some(track) = self.tracks.get(&packet.key) else { return TrackEvent::NoChange };
        match track.requested_at {
            Some(requested_at) if track.is_response(packet.acknowledged) => {
                TrackEvent::RequestAnswered(track.response_timing(now, requested_at))
            }
            _ => TrackEvent::NoChange,
        }
    }

    /// Removes a track. Returns its backend server, and true if a request was running.
    pub fn remove(&mut self, key: &FlowKey) -> Option<(usize, bool)> {
        let mut track = self.tracks.remove(key)?;
        track.stop_counting(&mut self.running_requests);
        (!track.is_retired).then_some((track.backend, track.requested_at.is_some()))
    }

    /// Makes the tracks of a backend server prove nothing more, as it started again under its id.
    /// The new process resets flows that it doesn't know. Their requests, if still counted as
    /// running, would keep new flows away from it.
    pub fn retire_backend(&mut self, backend: usize) {
        let tracks = self.tracks.values_mut().filter(|track| track.backend == backend);
        for track in tracks {
            track.stop_counting(&mut self.running_requests);
            (track.is_retired, track.requested_at) = (true, None);
        }
    }

    /// Removes the tracks of flows without packets for longer than `idle_timeout_ms`. Returns the
    /// backend server of each, and true if a request was running.
    pub fn sweep(&mut self, now: ClockTime, idle_timeout_ms: u64) -> Vec<(usize, bool)> {
        if !self.next_sweep_at.is_past(now) {
            return Vec::new();
        }
        self.next_sweep_at = now.after_millis(SWEEP_INTERVAL_MS);
        self.expire_requests(now, idle_timeout_ms);
        let mut ended = Vec::new();
        let running = &mut self.running_requests;
        self.tracks.retain(|_, track| {
            let is_expired = track.last_packet_at.after_millis(idle_timeout_ms).is_past(now);
            if is_expired {
                track.stop_counting(running);
            }
            if is_expired && !track.is_retired {
                ended.push((track.backend, track.requested_at.is_some()));
            }
            !is_expired
        });
        ended
    }

    /// Returns the flows of a backend server that are idle or wait for a response. A wait ends with
    /// the request timeout, which `timeout_of` returns in milliseconds.
    pub fn backend_flows<'a>(
        &'a self,
        now: ClockTime,
        backend: usize,
        timeout_of: impl Fn(&FlowKey) -> u64 + 'a,
    ) -> impl Iterator<Item = OpenFlow> + 'a {
        let tracks = self.tracks.iter().filter(move |(_, track)| track.backend == backend);
        tracks.filter_map(move |(key, track)| {
            let (state, since) = track.state(now, timeout_of(key))?;
            Some(OpenFlow { key: *key, state, acknowledged: track.latest_acknowledged, since })
        })
    }

    /// Stops counting requests that started more than `limit_ms` ago: their callers have given up,
    /// and the packet that showed it was lost or went to another instance.
    pub fn expire_requests(&mut self, now: ClockTime, limit_ms: u64) {
        while let Some((started_at, key)) = self.started_requests.front().copied() {
            if !started_at.after_millis(limit_ms).is_past(now) {
                return;
            }
            self.started_requests.pop_front();
            if let Some(track) = self.tracks.get_mut(&key)
                && track.requested_at == Some(started_at)
            {
                track.stop_counting(&mut self.running_requests);
            }
        }
    }

    /// Returns the running requests by group of their backend server.
    pub fn running_requests(&self) -> &GroupCounts {
        &self.running_requests
    }

    /// Returns true if a flow is tracked.
    pub fn contains(&self, key: &FlowKey) -> bool {
        self.tracks.contains_key(key)
    }

    /// Returns the number of tracked flows.
    pub fn len(&self) -> usize {
        self.tracks.len()
    }

    fn start_track(
        &mut self,
        now: ClockTime,
        packet: &FlowPacket,
        (backend, group): (usize, usize),
    ) -> TrackEvent {
        // A flow begins with data; a packet without data may be the end of one.
        if packet.length == 0 || self.tracks.len() >= MAX_TRACKS {
            return TrackEvent::NoChange;
        }
        let track = FlowTrack {
            backend,
            counted_in: self.is_counting_requests.then_some(group),
            last_packet_at: now,
            requested_at: Some(now),
            sent_end: packet.sequence.wrapping_add(u32::from(packet.length)),
            sent_at: now,
            last_sent_at: now,
            retransmissions: 0,
            request_acknowledged: packet.acknowledged,
            latest_acknowledged: packet.acknowledged,
            is_loss_counted: false,
            is_retired: false,
        };
        self.tracks.insert(packet.key, track);
        if self.is_counting_requests {
            self.running_requests.add(group);
            self.started_requests.push_back((now, packet.key));
        }
        TrackEvent::RequestStarted
    }
}

impl FlowTrack {
    /// Returns the state of the flow and since when it lasts, or `None` if it isn't known yet.
    fn state(&self, now: ClockTime, timeout_ms: u64) -> Option<(FlowState, ClockTime)> {
        if self.is_retired {
            return None;
        }
        let is_waiting =
            self.requested_at.is_some() && !self.sent_at.after_millis(timeout_ms).is_past(now);
        if is_waiting {
            let has_waited = self.sent_at.after_millis(MIN_WAIT_MS).is_past(now);
            return has_waited.then_some((FlowState::Waiting, self.sent_at));
        }
        let is_idle = self.last_packet_at.after_millis(IDLE_AFTER_MS).is_past(now);
        is_idle.then_some((FlowState::Idle, self.last_packet_at))
    }

    /// Stops counting the running request.
    fn stop_counting(&mut self, running: &mut GroupCounts) {
        if let Some(group) = self.counted_in.take() {
            running.remove(group);
        }
    }

    /// Records data that was forwarded before.
    fn record_retransmission(&mut self, now: ClockTime) -> TrackEvent {
        let is_early = !self.last_sent_at.after_millis(MIN_RETRANSMISSION_INTERVAL_MS).is_past(now);
        if is_early || self.requested_at.is_none() {
            return TrackEvent::NoChange;
        }
        self.last_sent_at = now;
        self.retransmissions += 1;
        let waited_ms = now.since(self.sent_at).as_millis() as u64;
        let evidence = match (
            waited_ms >= DATA_LOSS_MS && self.retransmissions >= MIN_LOSS_RETRANSMISSIONS,
            self.is_loss_counted,
        ) {
            (false, _) => LossEvidence::Suspected,
            (true, false) => LossEvidence::Confirmed,
            (true, true) => LossEvidence::Repeated,
        };
        self.is_loss_counted |= evidence == LossEvidence::Confirmed;
        TrackEvent::DataRetransmitted(DataRetransmission {
            sent_at: self.sent_at,
            retransmissions: self.retransmissions,
            evidence,
        })
    }

    /// Returns true if the acknowledged sequence number covers data of a response.
    ///
    /// The end of a flow counts like one byte. A backend server that stops ends its flows, and
    /// their callers acknowledge that. Treated as responses, these ends would make a stopped
    /// process look alive, and new flows would go to a start of it that is unreachable.
    fn is_response(&self, acknowledged: u32) -> bool {
        is_after(acknowledged, self.request_acknowledged.wrapping_add(FIN_SEQUENCE_LENGTH))
    }

    fn finish_request(&mut self, now: ClockTime) -> TrackEvent {
        match self.requested_at.take() {
            Some(requested_at) => {
                TrackEvent::RequestAnswered(self.response_timing(now, requested_at))
            }
            None => TrackEvent::NoChange,
        }
    }

    fn response_timing(&self, now: ClockTime, requested_at: ClockTime) -> ResponseTiming {
        ResponseTiming { latency: now.since(requested_at), retransmissions: self.retransmissions }
    }
}

/// Returns true if sequence number `a` comes after `b` in wrapping arithmetic.
fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}
