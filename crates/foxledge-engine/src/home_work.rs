//! The requests and feeds that are open at a home.

use std::net::SocketAddr;

use foxledge_core::{
    names::{MemberName, ServiceAddress},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_wire::flow::Packet;

use crate::{ledger::RequestKey, placement::ShardKey};

/// Whether the home can guarantee that a refused request doesn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunTracking {
    /// The request has a ticket and runs through this process only, so "not run" can be guaranteed.
    ByTicket,
    /// The request is idempotent and a copy of it may run through another home.
    Untracked,
}

/// A request or feed that is open at this home.
#[derive(Debug)]
pub struct HomeWork {
    /// The key of the request.
    pub key: RequestKey,
    /// The service address that the caller requested.
    pub address: ServiceAddress,
    /// The client account to which the work is charged.
    pub member: MemberName,
    /// The shard whose scheduler has the work.
    pub shard: ShardKey,
    /// The opening packet; none for an open feed.
    pub packet: Option<Box<Packet>>,
    /// The address of the caller's most recent packet.
    pub caller: SocketAddr,
    /// The kind of traffic.
    pub kind: TrafficKind,
    /// Whether "not run" is guaranteed when the work is refused.
    pub tracking: RunTracking,
    /// The time at which the caller stops waiting.
    pub deadline: ClockTime,
    /// The time at which the request arrived at this home.
    pub arrived_at: ClockTime,
    /// The time until which the ledger has to keep the request.
    pub expires_at: ClockTime,
    /// The id of the current dispatch; 0 while the work is queued.
    pub dispatch: u64,
}

impl HomeWork {
    /// Returns true for a feed, which is a long-lived connection.
    pub fn is_feed(&self) -> bool {
        self.kind == TrafficKind::Feed
    }
}
