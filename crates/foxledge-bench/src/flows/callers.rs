//! Callers: their requests, their flows, and what they send when nothing comes back.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use foxledge_core::time::ClockTime;
use foxledge_flows::{FlowKey, FlowPacket, PacketKind};

/// Times after its first packet at which a caller sends the packet again.
pub(crate) const RESENDS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(600), Duration::from_millis(1_400)];
/// Flows that a caller tries for one request.
pub(crate) const MOST_TRIES: u32 = 3;
/// Port that callers want.
const SERVICE_PORT: u16 = 443;
/// Bytes of a request and of an answer.
const REQUEST_BYTES: u16 = 500;
const ANSWER_BYTES: u32 = 1_000;

/// `RequestClass` is a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// A price feed: may be repeated, on a flow that is kept.
    Feed,
    /// A bid: runs once at most, on a flow of its own.
    Bid,
}

impl RequestClass {
    pub(crate) fn timeout(self) -> Duration {
        match self {
            RequestClass::Feed => Duration::from_millis(1_000),
            RequestClass::Bid => Duration::from_millis(1_200),
        }
    }

    pub(crate) fn address(self) -> SocketAddrV4 {
        let host = match self {
            RequestClass::Feed => Ipv4Addr::new(198, 18, 0, 1),
            RequestClass::Bid => Ipv4Addr::new(198, 18, 0, 2),
        };
        SocketAddrV4::new(host, SERVICE_PORT)
    }
}

/// `FlowRequest` is one request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowRequest {
    pub(crate) class: RequestClass,
    /// The data centre by which its caller comes.
    pub(crate) centre: usize,
    /// The caller, if it keeps its flow.
    pub(crate) user: Option<usize>,
    pub(crate) asked_at: ClockTime,
    pub(crate) run: Duration,
    pub(crate) tries: u32,
    pub(crate) is_over: bool,
    pub(crate) answered_at: Option<ClockTime>,
    /// It was asked on a kept flow whose backend server was dead already.
    pub(crate) began_at_dead: bool,
}

/// `SimFlow` is a flow as its caller knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimFlow {
    pub(crate) key: FlowKey,
    /// The instance to which its packets go.
    pub(crate) instance: usize,
    /// The backend server that answered its opening packet first.
    pub(crate) server: Option<usize>,
    /// The request that is under way.
    pub(crate) request: Option<usize>,
    token: u32,
    sequence: u32,
    acknowledged: u32,
}

impl SimFlow {
    pub(crate) fn new(id: u64, class: RequestClass, instance: usize) -> SimFlow {
        // Ports are used in turn; an address stands for one caller in ten thousand flows.
        let host = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 1)) + (id / 10_000) as u32);
        let caller = SocketAddrV4::new(host, 1_024 + (id % 10_000) as u16);
        SimFlow {
            key: FlowKey { caller, service: class.address() },
            instance,
            server: None,
            request: None,
            token: 0,
            sequence: 1,
            acknowledged: 1,
        }
    }

    /// Notes which backend server took the flow.
    pub(crate) fn accepted_by(&mut self, server: usize, token: u32) {
        self.server = Some(server);
        self.token = token;
    }

    /// Notes that the request on it was answered.
    pub(crate) fn answered(&mut self) {
        self.request = None;
        self.sequence += u32::from(REQUEST_BYTES);
        self.acknowledged += ANSWER_BYTES;
    }

    pub(crate) fn opening(&self, attempt: u32) -> FlowPacket {
        let kind = PacketKind::Open { attempt };
        FlowPacket { kind, token: 0, acknowledged: attempt, length: 0, ..self.packet() }
    }

    pub(crate) fn request_packet(&self) -> FlowPacket {
        FlowPacket { kind: PacketKind::Continue, length: REQUEST_BYTES, ..self.packet() }
    }

    /// A packet that acknowledges, ends or gives up.
    pub(crate) fn empty_packet(&self, kind: PacketKind) -> FlowPacket {
        FlowPacket { kind, ..self.packet() }
    }

    fn packet(&self) -> FlowPacket {
        FlowPacket {
            key: self.key,
            kind: PacketKind::Continue,
            token: self.token,
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            length: 0,
        }
    }
}
