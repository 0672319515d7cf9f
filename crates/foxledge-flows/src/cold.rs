//! How many new flows a backend server gets while it is cold.
//!
//! A service may limit the new flows that a cold backend server gets in any one second, over the
//! whole fleet. No instance sees what the others send there, and nothing of the system writes
//! shared state, so the limit is divided beforehand: [`SENDERS`] instances of the backend
//! server's own data centre, chosen by rendezvous among those that are known, may each send a
//! share of it; all others send none. Half of the limit is kept back for views that differ.
//!
//! The bound: an instance counts itself among the chosen when it knows fewer than [`SENDERS`]
//! that rank before it. Where each view of a data centre misses at most `m` of its instances, at
//! most `SENDERS + m` do, so that the limit holds as long as `m` is at most [`SENDERS`]. To keep
//! views from falling short, instances that fell silent stay in them for a minute, nobody sends
//! in the first second after its start, nor in the second after one left the view, and an
//! instance that knows no other at all sends none.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddrV4,
};

use foxledge_core::{names::ServiceName, time::ClockTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rows::{ExtensionValue, ListRow, RowValue, ServiceRow, service_key};

/// Instances that send to a cold backend server, as long as all know the same others.
const SENDERS: usize = 2;
/// Part of the limit that those have together: the rest is for others who take themselves for
/// chosen.
const SPARE: u64 = 2;
/// The span in which flows count, in milliseconds: any second, wherever it begins, and a quarter
/// more, as packets are sent on some time after that at which their batch counts.
const SPAN_MS: u64 = 1_250;

/// `ColdRules` is by how much a cold backend server's limit may be passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRules {
    /// Hundredths of the published limit.
    pub overrun_percent: u32,
    /// Flows a second beside it.
    pub slack: u32,
}

impl Default for ColdRules {
    /// The published limit and no more.
    fn default() -> ColdRules {
        ColdRules { overrun_percent: 100, slack: 0 }
    }
}

/// `ColdQuota` is what one instance may send to one cold backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdQuota {
    /// Instances that send, as long as all know the same others.
    pub senders: usize,
    /// New flows that each sends in any second.
    pub flows: usize,
}

impl ColdRules {
    /// What each instance may send where a service bears so much; none without a limit.
    pub fn quota(&self, service: &ServiceRow) -> Option<ColdQuota> {
        if service.cold_flows_per_ks == 0 {
            return None;
        }
        let published = service.cold_flows_per_ks * u64::from(self.overrun_percent) / 100_000;
        let limit = published + u64::from(self.slack);
        let flows = (limit / (SENDERS as u64 * SPARE)) as usize;
        Some(match (flows, limit >= SPARE) {
            (0, true) => ColdQuota { senders: 1, flows: 1 },
            (0, false) => ColdQuota { senders: 0, flows: 0 },
            _ => ColdQuota { senders: SENDERS, flows },
        })
    }
}

/// `ServiceTable` is the limits of services.
#[derive(Clone, Debug, Default)]
pub struct ServiceTable {
    services: HashMap<ServiceName, ServiceRow>,
}

impl ServiceTable {
    /// Takes a row; rows of other kinds change nothing.
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

    /// The limits of a service.
    pub fn get(&self, service: &str) -> Option<&ServiceRow> {
        self.services.get(service)
    }
}

/// `CentrePeers` is the instances of the own data centre, for the choice of who sends.
#[derive(Clone, Debug)]
pub struct CentrePeers {
    own: SocketAddrV4,
    others: Vec<SocketAddrV4>,
    /// Rises with every change of the others.
    version: u64,
    /// Before then this instance sends nothing to cold backend servers.
    settled_at: ClockTime,
}

impl CentrePeers {
    /// The view of an instance at `own` that has just started and knows nobody.
    pub fn new(own: SocketAddrV4) -> CentrePeers {
        CentrePeers { own, others: Vec::new(), version: 0, settled_at: ClockTime::MAX }
    }

    /// Takes the other instances that are known, those that fell silent lately included.
    pub fn set_peers(&mut self, now: ClockTime, others: Vec<SocketAddrV4>) {
        let is_first = self.settled_at == ClockTime::MAX;
        if is_first || self.others.iter().any(|known| !others.contains(known)) {
            // One that isn't known any more may have sent its share just now.
            self.settled_at = now.after_millis(SPAN_MS);
        }
        if self.others != others {
            self.version += 1;
        }
        self.others = others;
    }

    /// The instance itself.
    pub(crate) fn own(&self) -> &SocketAddrV4 {
        &self.own
    }

    /// The others.
    pub(crate) fn others(&self) -> &[SocketAddrV4] {
        &self.others
    }

    /// Rises with every change of the others.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// True when this instance is among the `senders` that send to a backend server.
    pub fn is_sender(&self, now: ClockTime, number: u64, senders: usize) -> bool {
        if self.others.is_empty() || !self.settled_at.is_past(now) {
            return false;
        }
        let own = instance_rank(&self.own, number);
        let before = self.others.iter().filter(|other| instance_rank(other, number) < own).count();
        before < senders
    }
}

/// `InstanceRank` is an instance's place in the order of one backend server.
pub(crate) type InstanceRank = (u64, SocketAddrV4);

/// Orders instances for one backend server, the same everywhere.
pub(crate) fn instance_rank(instance: &SocketAddrV4, number: u64) -> InstanceRank {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&instance.ip().octets());
    bytes[4..].copy_from_slice(&instance.port().to_be_bytes());
    (xxh3_64_with_seed(&bytes, number), *instance)
}

/// `FlowWindow` is the new flows that were sent to one backend server lately.
#[derive(Clone, Debug, Default)]
pub struct FlowWindow {
    sent: VecDeque<ClockTime>,
}

impl FlowWindow {
    /// True when one more in any second that ends now stays within `flows`.
    pub fn has_capacity(&self, now: ClockTime, flows: usize) -> bool {
        let is_recent = |at: &&ClockTime| !at.after_millis(SPAN_MS).is_past(now);
        self.sent.iter().rev().take_while(is_recent).count() < flows
    }

    /// Counts one that is sent now.
    pub fn record_flow(&mut self, now: ClockTime) {
        while self.sent.front().is_some_and(|at| at.after_millis(SPAN_MS).is_past(now)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
