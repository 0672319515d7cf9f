//! What a backend server knows of each dispatch.

use std::net::SocketAddr;

use foxledge_core::{hash::digest_of, time::ClockTime};
use foxledge_wire::flow::{Packet, Refusal, RunOutcome, WorkKind};

use crate::report::RequestId;

/// Most missing parts that one `ACK` names.
pub const MAX_MISSING: usize = 64;

/// `ReturnRoute` is where answers go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReturnRoute {
    /// Address that the datagram came from.
    pub to: SocketAddr,
    /// Echoed, opaque to the server.
    pub return_path: Vec<u8>,
}

impl ReturnRoute {
    /// The route back along which `packet` came.
    pub fn of(from: SocketAddr, packet: &Packet) -> ReturnRoute {
        ReturnRoute { to: from, return_path: packet.return_path.clone() }
    }
}

/// `DispatchState` is how far a dispatch is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchState {
    /// Parts are missing.
    Receiving,
    /// Whole, waits for a slot.
    Queued,
    /// Holds a slot.
    Running,
    /// An open feed.
    Feed(FeedState),
    /// Ended with an answer, kept for resends.
    Answered(Vec<Vec<u8>>),
    /// Ended by a refusal, kept for resends.
    Refused(Refusal),
}

/// `FeedState` is the position of an open feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedState {
    /// Last item sent.
    pub sent: u64,
    /// When the caller's silence closes the feed.
    pub idle_at: ClockTime,
}

/// `DispatchEntry` is one dispatch.
#[derive(Clone, Debug)]
pub struct DispatchEntry {
    /// Its id.
    pub dispatch: u64,
    /// The packet that opened it, without payload.
    pub opening: Packet,
    /// Where its first datagram came from; learns that it has ended.
    pub opener: ReturnRoute,
    /// Where its last datagram came from; gets the answers.
    pub route: ReturnRoute,
    /// When it was opened.
    pub opened_at: ClockTime,
    /// When it must have been started.
    pub deadline: ClockTime,
    /// How far it is.
    pub state: DispatchState,
    /// True when it was taken in: it counts as a connection until it ends, and its opener is
    /// told of the end.
    pub accepted: bool,
    parts: Vec<Option<Vec<u8>>>,
}

impl DispatchEntry {
    /// Makes the entry for an opening packet, with no part received.
    pub fn new(now: ClockTime, from: SocketAddr, packet: &Packet) -> DispatchEntry {
        let route = ReturnRoute::of(from, packet);
        DispatchEntry {
            dispatch: packet.dispatch,
            opening: Packet { payload: Vec::new(), return_path: Vec::new(), ..packet.clone() },
            opener: route.clone(),
            route,
            opened_at: now,
            deadline: now.after_millis(u64::from(packet.time_left_ms)),
            state: DispatchState::Receiving,
            accepted: false,
            parts: vec![None; packet.parts as usize],
        }
    }

    /// The request that it dispatches.
    pub fn id(&self) -> RequestId {
        RequestId { flow: self.opening.flow, request: self.opening.request }
    }

    /// What kind of work it is.
    pub fn work(&self) -> WorkKind {
        self.opening.work()
    }

    /// Keeps one part; a copy changes nothing.
    pub fn store(&mut self, packet: &Packet) {
        if let Some(part @ None) = self.parts.get_mut(packet.part as usize) {
            *part = Some(packet.payload.clone());
        }
    }

    /// True when every part is here.
    pub fn is_whole(&self) -> bool {
        self.parts.iter().all(Option::is_some)
    }

    /// Numbers of the first missing parts.
    pub fn missing(&self) -> Vec<u32> {
        let numbered = self.parts.iter().enumerate();
        let missing = numbered.filter(|(_, part)| part.is_none()).map(|(number, _)| number as u32);
        missing.take(MAX_MISSING).collect()
    }

    /// Digest of the whole payload.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.parts.iter().flatten().flatten().copied().collect();
        digest_of(&bytes)
    }

    /// Frees the payload of work that has ended.
    pub fn drop_parts(&mut self) {
        self.parts = Vec::new();
    }

    /// What can be said of its run once it has ended.
    pub fn outcome(&self) -> RunOutcome {
        match &self.state {
            DispatchState::Refused(refusal) => refusal.outcome(),
            _ => RunOutcome::Unknown,
        }
    }
}
