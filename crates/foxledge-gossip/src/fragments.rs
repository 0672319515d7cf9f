//! Messages that exceed one datagram: splitting and reassembly.
//!
//! Names of services and routes have any length. Nearly all messages fit one datagram. One that
//! doesn't is sent in fragments, and lost as a whole if one of them is lost, which is handled like
//! the loss of any message. Only what fits the socket of a busy receiver is sent this way: an
//! instance that lacks a longer row reads it from the store.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
};

use foxledge_core::time::ClockTime;
use prost::Message;

use crate::messages::{FleetMessage, MAX_MESSAGE_BYTES, MessageFragment};

/// Maximum number of content bytes in a fragment: the other fields and the digest take up to 40.
const MAX_FRAGMENT_BYTES: usize = MAX_MESSAGE_BYTES - 40;
/// Maximum number of fragments of a message: the pages that respond to one request then fit the
/// usual receive buffer of a socket.
const MAX_FRAGMENTS: u32 = 10;
/// Maximum size of an encoded message that is sent in fragments, in bytes.
pub const MAX_SPLIT_BYTES: usize = MAX_FRAGMENTS as usize * MAX_FRAGMENT_BYTES;
/// Maximum size of the rows of one message, in bytes: its other fields fit a datagram.
pub(crate) const MAX_SENT_ROW_BYTES: usize = MAX_SPLIT_BYTES - MAX_MESSAGE_BYTES;
/// Maximum number of bytes of incomplete messages that are kept: several hundred of the longest.
pub const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Time, in milliseconds, for which an incomplete message is kept. Its fragments are sent together,
/// so that missing ones are lost rather than late.
pub const INCOMPLETE_TTL_MS: u64 = 500;

/// Splits a message into fragments that fit a datagram each.
pub fn split_message(message: &FleetMessage, message_id: u32) -> Vec<MessageFragment> {
    let encoded = message.encode_to_vec();
    let chunks = encoded.chunks(MAX_FRAGMENT_BYTES);
    let count = chunks.len() as u32;
    let fragment = |(bytes, index): (&[u8], u32)| MessageFragment {
        message_id,
        index,
        count,
        bytes: bytes.to_vec(),
    };
    chunks.zip(0..).map(fragment).collect()
}

/// `LostMessage` is a message of which some fragments didn't arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostMessage {
    /// Sender of the message.
    pub from: SocketAddrV4,
    /// Number of fragments that arrived.
    pub received: usize,
    /// Number of fragments of the message.
    pub count: u32,
}

/// `FragmentBuffer` holds the messages of which some fragments have arrived.
#[derive(Debug, Default)]
pub struct FragmentBuffer {
    messages: HashMap<(SocketAddrV4, u32), IncompleteMessage>,
    size: usize,
}

/// `IncompleteMessage` is a message of which some fragments are missing.
#[derive(Debug)]
struct IncompleteMessage {
    count: u32,
    fragments: BTreeMap<u32, Vec<u8>>,
    expires_at: ClockTime,
}

impl FragmentBuffer {
    /// Returns the number of bytes of incomplete messages.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Adds a fragment; returns the message if it was the last missing one.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidFragment`] for a fragment that no instance sends.
    pub fn insert(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        fragment: MessageFragment,
    ) -> Result<Option<FleetMessage>, InvalidFragment> {
        let MessageFragment { message_id, index, count, bytes } = fragment;
        if !(2..=MAX_FRAGMENTS).contains(&count) || index >= count || bytes.is_empty() {
            return Err(InvalidFragment);
        }
        if self.size + bytes.len() > MAX_BUFFERED_BYTES {
            return Ok(None);
        }
        let key = (from, message_id);
        let message = self.messages.entry(key).or_insert_with(|| IncompleteMessage {
            count,
            fragments: BTreeMap::new(),
            expires_at: now.after_millis(INCOMPLETE_TTL_MS),
        });
        if message.count != count {
            return Err(InvalidFragment);
        }
        self.size += bytes.len();
        if let Some(former) = message.fragments.insert(index, bytes) {
            self.size -= former.len();
        }
        if (message.fragments.len() as u32) < count {
            return Ok(None);
        }
        let encoded = self.remove(&key).map(IncompleteMessage::join).unwrap_or_default();
        FleetMessage::decode(&*encoded).map(Some).map_err(|_| InvalidFragment)
    }

    fn remove(&mut self, key: &(SocketAddrV4, u32)) -> Option<IncompleteMessage> {
        let message = self.messages.remove(key)?;
        self.size -= message.size();
        Some(message)
    }

    /// Removes and returns the messages whose missing fragments are lost.
    pub fn remove_expired(&mut self, now: ClockTime) -> Vec<LostMessage> {
        let mut lost = Vec::new();
        self.messages.retain(|(from, _), message| {
            let is_expired = message.expires_at.is_past(now);
            if is_expired {
                self.size -= message.size();
                let (received, count) = (message.fragments.len(), message.count);
                lost.push(LostMessage { from: *from, received, count });
            }
            !is_expired
        });
        lost
    }
}

impl IncompleteMessage {
    fn size(&self) -> usize {
        self.fragments.values().map(Vec::len).sum()
    }

    fn join(self) -> Vec<u8> {
        self.fragments.into_values().flatten().collect()
    }
}

/// `InvalidFragment` reports a fragment that no instance sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFragment;
