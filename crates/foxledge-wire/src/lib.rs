//! Messages and services that foxledge's processes speak.
//!
//! The code under `generated` is made from `proto/` and committed; the test
//! `generated_code` compares the two.

/// Datagrams between callers, instances and backend servers.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod flow {
    include!("generated/foxledge.flow.v1.rs");
}

/// Control between foxledge's processes, and the platform's interface.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod control {
    include!("generated/foxledge.control.v1.rs");
}

pub mod convert;
pub mod datagram;
pub mod errors;

pub use datagram::{
    MAX_DATAGRAM_BYTES, MAX_PAYLOAD_BYTES, MIN_TICKET_PADDING_BYTES, PROTOCOL_VERSION,
    decode_packet, encode_packet,
};
pub use errors::{Error, Result};
