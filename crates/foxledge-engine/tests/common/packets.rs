//! Creates callers' packets and inspects the replies.

use foxledge_wire::flow::{Packet, PacketKind, RunOutcome, WorkKind};

/// Returns a bid of one part.
pub fn bid_packet(caller: u64, flow: u64, request: u64, address: &str) -> Packet {
    Packet {
        version: foxledge_wire::PROTOCOL_VERSION,
        kind: PacketKind::Work.into(),
        flow,
        address: address.to_owned(),
        member: "bricks".to_owned(),
        caller,
        request,
        work: WorkKind::Bid.into(),
        time_left_ms: 2000,
        parts: 1,
        payload: b"bid".to_vec(),
        ..Packet::default()
    }
}

/// Returns the outcomes of the refusals among the replies.
pub fn refusals(answers: &[Packet]) -> Vec<RunOutcome> {
    answers.iter().filter_map(|answer| Some(answer.refusal.as_ref()?.outcome())).collect()
}

/// Returns true when the replies contain a part of an answer.
pub fn is_answered(answers: &[Packet]) -> bool {
    answers.iter().any(|answer| answer.kind() == PacketKind::Answer)
}
