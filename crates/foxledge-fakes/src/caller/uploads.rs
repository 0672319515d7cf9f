//! Sending the parts of a request, and repairing those that got lost.

use foxledge_core::{hash::digest_of, time::ClockTime};

/// Bytes of one part of an upload. Small enough that an instance can add what a backend server
/// needs without passing the longest datagram.
pub const UPLOAD_PART: usize = 600;
/// Parts on their way at once.
const WINDOW: usize = 32;
/// Wait for an acknowledgement before a part is sent again, in milliseconds.
const RESEND_MS: u64 = 250;
/// Most missing parts that one `ACK` names.
const MAX_MISSING: usize = 64;

/// `WorkPayload` is the payload of one piece of work in parts.
#[derive(Clone, Debug)]
pub struct WorkPayload {
    /// The parts.
    pub parts: Vec<Vec<u8>>,
    /// Digest of the whole.
    pub digest: u64,
}

impl WorkPayload {
    /// Cuts `bytes` into parts.
    pub fn new(bytes: &[u8]) -> WorkPayload {
        let parts = bytes.chunks(UPLOAD_PART).map(<[u8]>::to_vec).collect();
        WorkPayload { parts, digest: digest_of(bytes) }
    }
}

/// `PartWindow` says which parts of a request are to be sent.
pub struct PartWindow {
    parts: Vec<PartState>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum PartState {
    Unsent,
    Sent(ClockTime),
    Received,
}

impl PartWindow {
    /// Makes a window over `parts` unsent parts.
    pub fn new(parts: usize) -> PartWindow {
        PartWindow { parts: vec![PartState::Unsent; parts] }
    }

    /// True when the backend server has every part.
    pub fn is_done(&self) -> bool {
        self.parts.iter().all(|part| *part == PartState::Received)
    }

    /// Takes in an acknowledgement. Copies and late ones tell only what has been received, so
    /// they can't undo a later one.
    pub fn acknowledge(&mut self, missing: &[u32]) {
        let all_named = missing.len() < MAX_MISSING;
        let last = missing.iter().max().copied().unwrap_or(0);
        for (number, part) in (0u32..).zip(&mut self.parts) {
            let told = all_named || number <= last;
            if told && !missing.contains(&number) {
                *part = PartState::Received;
            }
        }
    }

    /// Numbers of the parts to send now, each with what kind of sending it is; they count as sent.
    pub fn due(&mut self, now: ClockTime) -> Vec<(u32, SendTurn)> {
        let mut due = Vec::new();
        let numbered = (0u32..).zip(&mut self.parts);
        let open = numbered.filter(|(_, part)| **part != PartState::Received);
        for (number, part) in open.take(WINDOW) {
            let turn = match *part {
                PartState::Sent(at) if !at.after_millis(RESEND_MS).is_past(now) => continue,
                PartState::Unsent => SendTurn::First,
                _ => SendTurn::Again,
            };
            *part = PartState::Sent(now);
            due.push((number, turn));
        }
        due
    }
}

/// `SendTurn` is whether something was sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendTurn {
    /// It wasn't.
    First,
    /// It was, and found no answer.
    Again,
}
