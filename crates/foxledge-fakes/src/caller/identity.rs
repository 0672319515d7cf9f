//! Who a flow is, as its datagrams say.

use foxledge_core::{
    names::{MemberName, ServiceAddress, ServiceName},
    traffic::TrafficKind,
};
use foxledge_wire::{
    PROTOCOL_VERSION,
    flow::{Packet, PacketKind, WorkKind},
};

/// `FlowIdentity` is what all datagrams of a flow have in common.
#[derive(Clone, Debug)]
pub struct FlowIdentity {
    /// The flow.
    pub flow: u64,
    /// The caller.
    pub caller: u64,
    /// The caller's member.
    pub member: MemberName,
    /// The service address.
    pub address: ServiceAddress,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// Whether work may run twice.
    pub idempotent: bool,
    /// Proof of membership; may be empty.
    pub credential: Vec<u8>,
    /// Service that must answer; `None` takes any.
    pub service: Option<ServiceName>,
}

impl FlowIdentity {
    /// A packet of the flow.
    pub fn packet(&self, kind: PacketKind, request: u64) -> Packet {
        Packet {
            version: PROTOCOL_VERSION,
            kind: kind as i32,
            flow: self.flow,
            address: self.address.to_string(),
            member: self.member.to_string(),
            caller: self.caller,
            request,
            work: work_kind(self.kind) as i32,
            idempotent: self.idempotent,
            credential: self.credential.clone(),
            takes_resend: true,
            ..Packet::default()
        }
    }
}

/// The wire's word for a kind of traffic.
pub fn work_kind(kind: TrafficKind) -> WorkKind {
    match kind {
        TrafficKind::Feed => WorkKind::Feed,
        TrafficKind::Bid => WorkKind::Bid,
        TrafficKind::Upload => WorkKind::Upload,
    }
}
