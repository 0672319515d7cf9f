//! A backend server as the router knows it.

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

/// How long a backend server whose entry vanished may still get new flows, in
/// milliseconds, if nothing said before that it was leaving.
///
/// When the store was away, entries of live processes lapse and are back about
/// two seconds after its return. Without this span all of a service's backend
/// servers could be missing at once, and every new flow would be refused. It
/// stays below the 3 s within which a leaving one must get no new flow.
pub(crate) const REMOVAL_GRACE_MS: u64 = 2_200;
/// Age of the store's last confirmation at which it counts as away, in
/// milliseconds: more than any instance in touch sees.
const STORE_AWAY_MS: u64 = 2_500;
/// How long flows that have ended still count for the choice of a backend server, in
/// milliseconds.
///
/// A crash ends all flows there in one moment, so that dead backend servers had the fewest of all
/// and got every new flow until they were found out. Callers that are reset ask again at once:
/// within those 40 ms all of their tries went to one dead backend server or the other.
const FORMER_FLOWS_MS: u64 = 1_000;

/// `Backend` is one process of a backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its key in the list.
    pub key: Arc<str>,
    /// The number by which packets name it.
    pub number: u64,
    /// The token by which flows name it.
    pub token: u32,
    /// Names the start of this process; 0 when nothing is told.
    pub incarnation: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Index of the backend servers of its service and data centre.
    pub(crate) group: usize,
    /// Requests that it runs at once, 1 at least.
    pub slots: u32,
    /// It is leaving: no new flows.
    pub is_draining: bool,
    /// Revision at which its own entry last said that it leaves.
    pub draining_revision: Option<u64>,
    /// When it will be warm.
    pub warm_at: ClockTime,
    /// New flows that this instance sent there lately while it was cold.
    pub cold_flows: FlowWindow,
    /// When its entry was seen to be gone; none while it is listed.
    pub removed_at: Option<ClockTime>,
    /// Its entry's revision.
    pub revision: u64,
    /// Revision at which its entry was created.
    pub created_revision: u64,
    /// When this start of it became known here.
    pub discovered_at: ClockTime,
    /// Another entry has the same number, and had it before: no new flows.
    pub is_shadowed: bool,
    /// When this instance itself last saw it answer.
    pub answered_at: Option<ClockTime>,
    /// What packets tell of its health.
    pub health: HealthState,
    /// How long it takes for an answer, as far as this instance sees.
    pub latency: LatencyGauge,
    /// Requests that run there, as far as this instance sees.
    pub running_requests: u32,
    /// Flows open there, as far as this instance sees.
    pub open_flows: u32,
    /// The most that were open lately, and until when they count.
    former_flows: (u32, ClockTime),
    /// Counter of the last placement there.
    pub last_placement: u64,
}

impl Backend {
    pub(crate) fn new(
        now: ClockTime,
        row: &ListRow,
        spec: &BackendRow,
        address: SocketAddrV4,
        gone_at: Option<ClockTime>,
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
            removed_at: gone_at,
            revision: row.revision,
            created_revision: spec.created_revision,
            discovered_at: now,
            is_shadowed: false,
            answered_at: None,
            health: HealthState::started_at(now),
            latency: LatencyGauge::default(),
            running_requests: 0,
            open_flows: 0,
            former_flows: (0, ClockTime::ZERO),
            last_placement: 0,
        }
    }

    /// Counts the end of a flow.
    pub(crate) fn record_flow_end(&mut self, now: ClockTime) {
        self.former_flows = (self.recent_flows(now), now.after_millis(FORMER_FLOWS_MS));
        self.open_flows = self.open_flows.saturating_sub(1);
    }

    /// Flows that are open there, or were until a moment ago.
    pub fn recent_flows(&self, now: ClockTime) -> u32 {
        let (former, until) = self.former_flows;
        if until.is_past(now) { self.open_flows } else { self.open_flows.max(former) }
    }

    /// True while it is slow after its start.
    pub fn is_cold(&self, now: ClockTime) -> bool {
        !self.warm_at.is_past(now)
    }

    /// Takes what a newer row of the same start says of its leave.
    ///
    /// A restored store may hold the entry from before the leave, which the process doesn't
    /// take back.
    pub(crate) fn apply_draining(&mut self, row: &ListRow, spec: &BackendRow) {
        let is_own_entry = matches!(row.value, Some(RowValue::Backend(_)));
        if is_own_entry && spec.draining {
            self.draining_revision = Some(row.revision);
        }
        let has_left =
            self.draining_revision.is_some_and(|at| epoch_of(at) < epoch_of(row.revision));
        self.is_draining = spec.draining || has_left;
    }

    /// True when an entry as this one's can be of the same process.
    pub(crate) fn is_same_process(&self, other: &Backend) -> bool {
        self.incarnation == other.incarnation
            && self.address == other.address
            && self.service == other.service
    }

    /// True when new flows may go there.
    ///
    /// One whose entry vanished without a word gets them for [`REMOVAL_GRACE_MS`]. While
    /// nothing is heard of the store (`confirmed` is when it last was), the span
    /// doesn't run out: the entry can't come back before the store does, and has
    /// the whole span from then on (`BackendTable::renew_grace`).
    pub fn accepts_new_flows(&self, now: ClockTime, confirmed: Option<ClockTime>) -> bool {
        if self.is_draining || self.is_shadowed {
            return false;
        }
        let Some(gone) = self.removed_at else { return true };
        let until = gone.after_millis(REMOVAL_GRACE_MS);
        let is_store_away =
            confirmed.is_some_and(|at| is_store_unreachable(at, now) && !until.is_past(at));
        is_store_away || !until.is_past(now)
    }
}

/// `BackendEvent` is a change of what is believed of a backend server's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendEvent {
    /// It started again under its id: nothing that was seen before counts.
    Restarted {
        /// Its index.
        index: usize,
        /// Names the start before; 0 when nothing was told of it.
        former: u64,
    },
    /// Its entry tells of the same start, or of none any more, with another address or
    /// service: somebody else wrote it.
    EntryConflict {
        /// Its index.
        index: usize,
        /// The address that the entry names.
        address: SocketAddrV4,
    },
}

/// True when the store counts as away at `now`, heard of last at `confirmed`.
pub(crate) fn is_store_unreachable(confirmed: ClockTime, now: ClockTime) -> bool {
    confirmed.after_millis(STORE_AWAY_MS).is_past(now)
}

/// The token of a backend server's number; never 0, which names none.
///
/// Numbers of 32 bits are their own tokens, so those can't collide. Longer ones
/// are folded; flows tell colliding ones apart by their service.
pub fn token_of(number: u64) -> u32 {
    let folded = (number ^ (number >> 32)) as u32;
    folded.max(1)
}
