//! Contents of answers and feed items, which a caller can check.
//!
//! Every part names the service, the request and the part it belongs to, and the digest of the
//! request's payload. An answer that reached the wrong caller, was put together from two answers
//! or came from another service's backend server therefore shows itself.

use foxledge_core::hash::digest_of;

/// Bytes of one full part of an answer. Small enough that an instance can add a token and a
/// ticket without passing the longest datagram.
pub const ANSWER_PART: usize = 400;
/// Most parts of one answer.
pub const MAX_ANSWER_PARTS: u64 = 3;

const SEPARATOR: u8 = b'|';

/// `AnswerBody` is what one part of an answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerBody {
    /// Service of the backend server.
    pub service: String,
    /// Flow of the request.
    pub flow: u64,
    /// Number of the request in its flow.
    pub request: u64,
    /// Number of the part, from 0.
    pub part: u32,
    /// Parts of the whole answer.
    pub parts: u32,
    /// Digest of the request's payload.
    pub digest: u64,
}

impl AnswerBody {
    /// The payload of the part: a readable head, then bytes derived from it.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{}|{:016x}|{}|{}|{}|{:016x}|",
            self.service, self.flow, self.request, self.part, self.parts, self.digest
        )
        .into_bytes();
        let mut word = digest_of(&bytes);
        while bytes.len() < ANSWER_PART {
            bytes.extend(word.to_be_bytes());
            word = digest_of(&word.to_be_bytes());
        }
        bytes.truncate(ANSWER_PART);
        bytes
    }

    /// Reads a payload; `None` when any byte differs from what the head calls for.
    pub fn decode(bytes: &[u8]) -> Option<AnswerBody> {
        let mut words = bytes.splitn(7, |byte| *byte == SEPARATOR);
        let mut next = || std::str::from_utf8(words.next()?).ok();
        let body = AnswerBody {
            service: next()?.to_owned(),
            flow: u64::from_str_radix(next()?, 16).ok()?,
            request: next()?.parse().ok()?,
            part: next()?.parse().ok()?,
            parts: next()?.parse().ok()?,
            digest: u64::from_str_radix(next()?, 16).ok()?,
        };
        (body.encode() == bytes).then_some(body)
    }
}

/// How many parts the answer to a request has: the same on every backend server.
pub fn answer_part_count(flow: u64, request: u64) -> u32 {
    let mix = digest_of(&[flow.to_be_bytes(), request.to_be_bytes()].concat());
    1 + (mix % MAX_ANSWER_PARTS) as u32
}

/// All parts of the answer to a request.
pub fn answer_payloads(service: &str, flow: u64, request: u64, digest: u64) -> Vec<Vec<u8>> {
    let parts = answer_part_count(flow, request);
    let body =
        |part| AnswerBody { service: service.to_owned(), flow, request, part, parts, digest };
    (0..parts).map(|part| body(part).encode()).collect()
}

/// The payload of a feed's item.
pub fn feed_payload(service: &str, sequence: u64) -> Vec<u8> {
    format!("{service}|{sequence}").into_bytes()
}

/// Service and sequence that a feed item's payload names.
pub fn read_feed_payload(bytes: &[u8]) -> Option<(&str, u64)> {
    let (service, sequence) = std::str::from_utf8(bytes).ok()?.split_once('|')?;
    Some((service, sequence.parse().ok()?))
}
