//! The state of one backend server in the router.

use std::{net::SocketAddrV4, sync::Arc};

use foxledge_core::{
    names::{CentreName, ServiceName},
    time::ClockTime,
};

use crate::{
    cold::FlowWindow,
    health::HealthState,
    latency::LatencyGauge,
    revisions::epoch_of,
    rows::{BackendRow, ListRow, RowValue},
};

/// The grace period, in milliseconds, in which a backend server still gets new flows after its
/// entry was removed without a draining announcement.
///
/// Entries of live processes expire during a store outage and are back about two seconds after its
/// return. Without the grace period, all backend servers of a service could be missing at once, and
/// every new flow would be refused. The period is shorter than the 3 s after which a backend server
/// that leaves must get no new flow.
pub(crate) const REMOVAL_GRACE_MS: u64 = 2_200;
/// The age, in milliseconds, at which the last list confirmation means that the store is
/// unreachable. An instance in contact with the store never sees an age this high.
const STORE_TIMEOUT_MS: u64 = 2_500;
/// The time, in milliseconds, for which flows that have ended still count in the placement of new
/// flows.
///
/// A crash ends all flows of a backend server at the same moment. Without this window, dead backend
/// servers would have the fewest flows and get every new flow until they are detected: callers
/// retry at once after a reset, and all tries within those 40 ms went to dead backend servers.
const ENDED_FLOWS_WINDOW_MS: u64 = 1_000;

/// One process of a backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// The key of its row.
    pub key: Arc<str>,
    /// The number that identifies it in packets.
    pub number: u64,
    /// The token that identifies it in flows.
    pub token: u32,
    /// Identifies the start of this process; 0 if unknown.
    pub incarnation: u64,
    /// Its service.
    pub service: ServiceName,
    /// The address at which it receives packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: CentreName,
    /// The index of the group of its service and data centre.
    pub(crate) group: usize,
    /// The number of requests that it processes at once, at least 1.
    pub slots: u32,
    /// True if it is about to stop and must get no new flows.
    pub is_draining: bool,
    /// The revision at which its own entry last announced draining.
    pub draining_revision: Option<u64>,
    /// When its warm-up ends.
    pub warm_at: ClockTime,
    /// The flows that this instance placed there recently while it was cold.
    pub cold_flows: FlowWindow,
    /// When its entry was found removed; `None` while it is listed.
    pub removed_at: Option<ClockTime>,
    /// The revision of its entry.
    pub revision: u64,
    /// The revision at which its entry was created.
    pub created_revision: u64,
    /// When this instance discovered this start of the process.
    pub discovered_at: ClockTime,
    /// True if an older entry has the same number, so that this one must get no new flows.
    pub is_shadowed: bool,
    /// When this instance last saw a response of its own flows from it.
    pub last_response_at: Option<ClockTime>,
    /// Its health.
    pub health: HealthState,
    /// Its response times, as observed by this instance.
    pub latency: LatencyGauge,
    /// The number of requests running there, as far as this instance observes.
    pub running_requests: u32,
    /// The number of flows open there, as far as this instance observes.
    pub open_flows: u32,
    /// The recent peak of open flows, and until when it counts.
    recent_peak: (u32, ClockTime),
    /// The value of the placement counter at the last placement there.
    pub last_placement: u64,
}

impl Backend {
    pub(crate) fn new(
        now: ClockTime,
        row: &ListRow,
        spec: &BackendRow,
        address: SocketAddrV4,
        removed_at: Option<ClockTime>,
    ) -> Backend {
        Backend {
            key: Arc::from(row.key.as_str()),
            number: spec.number,
            token: token_of(spec.number),
            incarnation: spec.incarnation,
            service: ServiceName::new(&spec.service),
            address,
            data_centre: CentreName::new(&spec.data_centre),
            group: 0,
            slots: spec.slots.max(1),
            is_draining: spec.draining,
            draining_revision: None,
            warm_at: now.after_millis(u64::from(spec.warm_in_ms)),
            cold_flows: FlowWindow::default(),
            removed_at,
            revision: row.revision,
            created_revision: spec.created_revision,
            discovered_at: now,
            is_shadowed: false,
            last_response_at: None,
            health: HealthState::started_at(now),
            latency: LatencyGauge::default(),
            running_requests: 0,
            open_flows: 0,
            recent_peak: (0, ClockTime::ZERO),
            last_placement: 0,
        }
    }

    /// Records the end of a flow.
    pub(crate) fn record_flow_end(&mut self, now: ClockTime) {
        self.recent_peak = (self.recent_flows(now), now.after_millis(ENDED_FLOWS_WINDOW_MS));
        self.open_flows = self.open_flows.saturating_sub(1);
    }

    /// Returns the number of open flows, or the recent peak while that counts.
    pub fn recent_flows(&self, now: ClockTime) -> u32 {
        let (peak, until) = self.recent_peak;
        if until.is_past(now) { self.open_flows } else { self.open_flows.max(peak) }
    }

    /// Returns true during the warm-up after its start.
    pub fn is_cold(&self, now: ClockTime) -> bool {
        !self.warm_at.is_past(now)
    }

    /// Applies the draining flag of a newer row of the same start.
    ///
    /// A restored store may hold the entry from before the process began to drain, which the
    /// process doesn't undo.
    pub(crate) fn apply_draining(&mut self, row: &ListRow, spec: &BackendRow) {
        let is_own_entry = matches!(row.value, Some(RowValue::Backend(_)));
        if is_own_entry && spec.draining {
            self.draining_revision = Some(row.revision);
        }
        let was_draining = self
            .draining_revision
            .is_some_and(|revision| epoch_of(revision) < epoch_of(row.revision));
        self.is_draining = spec.draining || was_draining;
    }

    /// Returns true if the entry of `other` can belong to the same process.
    pub(crate) fn is_same_process(&self, other: &Backend) -> bool {
        self.incarnation == other.incarnation
            && self.address == other.address
            && self.service == other.service
    }

    /// Returns true if new flows may be placed there.
    ///
    /// A backend server whose entry was removed without notice gets new flows for
    /// [`REMOVAL_GRACE_MS`]. The period doesn't run out while the store is unreachable
    /// (`confirmed_at` is the last list confirmation): the entry can't come back before the store
    /// does, and the full period starts then (`BackendTable::restart_grace`).
    pub fn accepts_new_flows(&self, now: ClockTime, confirmed_at: Option<ClockTime>) -> bool {
        if self.is_draining || self.is_shadowed {
            return false;
        }
        let Some(removed_at) = self.removed_at else { return true };
        let grace_end = removed_at.after_millis(REMOVAL_GRACE_MS);
        let is_grace_extended = confirmed_at.is_some_and(|confirmed_at| {
            is_store_unreachable(confirmed_at, now) && !grace_end.is_past(confirmed_at)
        });
        is_grace_extended || !grace_end.is_past(now)
    }
}

/// A change of a backend server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendEvent {
    /// The process started again under the same id; earlier observations no longer count.
    Restarted {
        /// Its index.
        index: usize,
        /// The incarnation before; 0 if it was unknown.
        former: u64,
    },
    /// The entry names the same start, or none any more, with another address or service: another
    /// process wrote it.
    EntryConflict {
        /// Its index.
        index: usize,
        /// The address in the entry.
        address: SocketAddrV4,
    },
}

/// Returns true if, at `now`, the last list confirmation is so old that the store counts as
/// unreachable.
pub(crate) fn is_store_unreachable(confirmed_at: ClockTime, now: ClockTime) -> bool {
    confirmed_at.after_millis(STORE_TIMEOUT_MS).is_past(now)
}

/// Returns the token of a backend server's number. It is never 0, which stands for no backend
/// server.
///
/// A number that fits into 32 bits is its own token and can't collide. Longer numbers are folded;
/// flows with colliding tokens are told apart by their service.
pub fn token_of(number: u64) -> u32 {
    let folded = (number ^ (number >> 32)) as u32;
    folded.max(1)
}
