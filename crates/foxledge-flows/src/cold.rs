//! Limits on new flows to cold backend servers.
//!
//! A service may limit the new flows that a cold backend server gets in any second, over the whole
//! fleet. No instance sees what the others send, and instances write no shared state, so the limit
//! is divided in advance: [`SENDER_COUNT`] instances of the backend server's data centre, chosen by
//! rendezvous hashing among the known ones, may each send a share of it; all others send none. Half
//! of the limit is reserved for differences between the views of instances.
//!
//! The bound: an instance counts itself as a sender when it knows fewer than [`SENDER_COUNT`]
//! instances that rank before it. If each view of a data centre misses at most `m` of its
//! instances, at most `SENDER_COUNT + m` of them send, so the limit holds as long as `m` is at most
//! [`SENDER_COUNT`]. To keep views from missing instances, unresponsive instances stay in them for
//! a minute. No instance sends in the first second after its start, nor in the second after another
//! one left its view, and an instance that knows no other sends none.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddrV4,
};

use foxledge_core::{names::ServiceName, time::ClockTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rows::{ExtensionValue, ListRow, RowValue, ServiceRow, service_key};

/// Instances that send to a cold backend server, as long as all views agree.
const SENDER_COUNT: usize = 2;
/// Divisor of the limit for these instances together. The rest is for instances whose view makes
/// them senders as well.
const LIMIT_DIVISOR: u64 = 2;
/// Window in which flows count, in milliseconds: any second, plus a quarter because packets are
/// sent somewhat later than the time of their batch.
const WINDOW_MS: u64 = 1_250;

/// By how much the limits of cold backend servers may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRules {
    /// Allowed flows in thousandths of the published limit.
    pub overrun_permille: u32,
    /// Additional flows per 1,000 seconds.
    pub slack_per_ks: u32,
}

impl Default for ColdRules {
    /// Allows the published limit and no more.
    fn default() -> ColdRules {
        ColdRules { overrun_permille: 1_000, slack_per_ks: 0 }
    }
}

/// New flows that instances may send to one cold backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdQuota {
    /// Instances that send, as long as all views agree.
    pub senders: usize,
    /// New flows that each of them may send in any second.
    pub flows: usize,
}

impl ColdRules {
    /// Returns the quota for the cold backend servers of a service, or `None` without a limit.
    pub fn quota(&self, service: &ServiceRow) -> Option<ColdQuota> {
        if service.cold_flows_per_ks == 0 {
            return None;
        }
        let published_per_ks = service.cold_flows_per_ks * u64::from(self.overrun_permille) / 1_000;
        let limit = (published_per_ks + u64::from(self.slack_per_ks)) / 1_000;
        let flows = (limit / (SENDER_COUNT as u64 * LIMIT_DIVISOR)) as usize;
        Some(match (flows, limit >= LIMIT_DIVISOR) {
            (0, true) => ColdQuota { senders: 1, flows: 1 },
            (0, false) => ColdQuota { senders: 0, flows: 0 },
            _ => ColdQuota { senders: SENDER_COUNT, flows },
        })
    }
}

/// Limits of all services.
#[derive(Clone, Debug, Default)]
pub struct ServiceTable {
    services: HashMap<ServiceName, ServiceRow>,
}

impl ServiceTable {
    /// Applies a row. Rows of other kinds change nothing.
    pub fn apply_row(&mut self, row: &ListRow) {
        match &row.value {
            Some(RowValue::Extension(extension)) => {
                if let Some(ExtensionValue::Service(service)) = extension.decode_value() {
                    self.services.insert(ServiceName::new(&service.name), service);
                }
            }
            Some(RowValue::Removed(_)) => {
                if let Some(name) = row.key.strip_prefix(&service_key("")) {
                    self.services.remove(name);
                }
            }
            _ => {}
        }
    }

    /// Returns the limits of a service.
    pub fn get(&self, service: &str) -> Option<&ServiceRow> {
        self.services.get(service)
    }
}

/// The known instances of the local data centre, which decide who sends to cold backend servers.
#[derive(Clone, Debug)]
pub struct CentrePeers {
    own_address: SocketAddrV4,
    peers: Vec<SocketAddrV4>,
    /// Incremented whenever the peers change.
    version: u64,
    /// Time before which this instance sends nothing to cold backend servers.
    sends_from: ClockTime,
}

impl CentrePeers {
    /// Creates the view of an instance at `own_address` that has just started and knows no peers.
    pub fn new(own_address: SocketAddrV4) -> CentrePeers {
        CentrePeers { own_address, peers: Vec::new(), version: 0, sends_from: ClockTime::MAX }
    }

    /// Sets the other known instances, including those that became unresponsive recently.
    pub fn set_peers(&mut self, now: ClockTime, peers: Vec<SocketAddrV4>) {
        let is_first = self.sends_from == ClockTime::MAX;
        if is_first || self.peers.iter().any(|known| !peers.contains(known)) {
            // An instance that left the view may just have sent its share.
            self.sends_from = now.after_millis(WINDOW_MS);
        }
        if self.peers != peers {
            self.version += 1;
        }
        self.peers = peers;
    }

    /// Returns the address of this instance.
    pub(crate) fn own_address(&self) -> &SocketAddrV4 {
        &self.own_address
    }

    /// Returns the addresses of the other instances.
    pub(crate) fn peers(&self) -> &[SocketAddrV4] {
        &self.peers
    }

    /// Returns a version that is incremented whenever the peers change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns true when this instance is among the `senders` that may send to a backend server.
    pub fn is_sender(&self, now: ClockTime, number: u64, senders: usize) -> bool {
        if self.peers.is_empty() || !self.sends_from.is_past(now) {
            return false;
        }
        let own_rank = instance_rank(&self.own_address, number);
        let preceding =
            self.peers.iter().filter(|other| instance_rank(other, number) < own_rank).count();
        preceding < senders
    }
}

/// Sort key of an instance for one backend server.
pub(crate) type InstanceRank = (u64, SocketAddrV4);

/// Returns the sort key of an instance for one backend server, which all instances compute alike.
pub(crate) fn instance_rank(instance: &SocketAddrV4, number: u64) -> InstanceRank {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&instance.ip().octets());
    bytes[4..].copy_from_slice(&instance.port().to_be_bytes());
    (xxh3_64_with_seed(&bytes, number), *instance)
}

/// Times of the new flows recently sent to one backend server.
#[derive(Clone, Debug, Default)]
pub struct FlowWindow {
    send_times: VecDeque<ClockTime>,
}

impl FlowWindow {
    /// Returns true when one more flow now keeps the window within `flows`.
    pub fn has_capacity(&self, now: ClockTime, flows: usize) -> bool {
        let is_recent = |at: &&ClockTime| !at.after_millis(WINDOW_MS).is_past(now);
        self.send_times.iter().rev().take_while(is_recent).count() < flows
    }

    /// Records a flow that is sent now.
    pub fn record_flow(&mut self, now: ClockTime) {
        while self.send_times.front().is_some_and(|at| at.after_millis(WINDOW_MS).is_past(now)) {
            self.send_times.pop_front();
        }
        self.send_times.push_back(now);
    }
}
