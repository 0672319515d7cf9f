//! Messages and services of the protocols between foxledge's processes.
//!
//! The code under `generated` is generated from `proto/` and committed. The test `generated_code`
//! checks that both agree.

/// The datagrams between callers, instances and backend servers.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod flow {
    include!("generated/foxledge.flow.v1.rs");
}

/// The control protocol between foxledge's processes, and the interface of the platform.
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
