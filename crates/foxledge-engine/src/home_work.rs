//! What a home has opened.

use std::net::SocketAddr;

use foxledge_core::{
    names::{MemberName, ServiceAddress},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_wire::flow::Packet;

use crate::{ledger::RequestKey, placement::ShardKey};

/// `RunTracking` is what the home can say of a request that it refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunTracking {
    /// Runs through this process only, by ticket: "not run" can be said.
    ByTicket,
    /// Idempotent: a copy may run through another home.
    Untracked,
}

/// `HomeWork` is one request or feed that was opened at this home.
#[derive(Debug)]
pub struct HomeWork {
    /// Which request.
    pub key: RequestKey,
    /// The service address that its caller wants.
    pub address: ServiceAddress,
    /// The member it is counted for.
    pub member: MemberName,
    /// Its desk.
    pub shard: ShardKey,
    /// The opening packet; an open feed keeps none.
    pub packet: Option<Box<Packet>>,
    /// Where its caller was last seen.
    pub caller: SocketAddr,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// What can be said when it is refused.
    pub tracking: RunTracking,
    /// When the caller gives up.
    pub deadline: ClockTime,
    /// When it arrived here.
    pub arrived_at: ClockTime,
    /// Until when the ledger has to know it.
    pub expires_at: ClockTime,
    /// Its present dispatch; 0 while it waits.
    pub dispatch: u64,
}

impl HomeWork {
    /// True for a long-lived connection.
    pub fn is_feed(&self) -> bool {
        self.kind == TrafficKind::Feed
    }
}
