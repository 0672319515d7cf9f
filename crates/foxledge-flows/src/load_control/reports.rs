//! Reports, events and explanations of load control.

use std::collections::BTreeMap;

use foxledge_admission::AdmissionDecision;
use foxledge_core::names::{CentreName, ServiceName};
use serde::Serialize;

/// Load of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CentreLoad {
    /// The data centre.
    pub data_centre: CentreName,
    /// Usable slots, those of slow backend servers in proportion; 0 while it is evacuated.
    pub slots: f64,
    /// Requests of the service that run or wait in the data centre, from callers of all data
    /// centres.
    pub running: f64,
    /// Slots that the requests of the data centre's callers need, wherever they are served.
    pub demand: f64,
    /// Share of this instance's new flows that overflow sends to the data centre, from 0 to 1.
    #[serde(rename = "share")]
    pub overflow_share: f64,
    /// True when the view contains a load report from the data centre.
    #[serde(rename = "is_heard")]
    pub has_report: bool,
}

impl CentreLoad {
    /// Returns the requests per slot, or 0 without slots.
    pub fn load_ratio(&self) -> f64 {
        if self.slots > 0.0 { self.running / self.slots } else { 0.0 }
    }
}

/// Load of one service, with its overflow and refusals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// The service.
    pub service: ServiceName,
    /// Requests per slot over the data centres that may serve it and whose load is known.
    #[serde(rename = "load")]
    pub load_ratio: f64,
    /// Slots that the requests of all callers need.
    pub demand: f64,
    /// Usable slots of the data centres that may serve it and whose load is known.
    pub slots: f64,
    /// Load by data centre, including the local one.
    pub centres: Vec<CentreLoad>,
    /// True while the service is short of slots; changes are logged.
    pub is_short: bool,
    /// Share of each priority's new flows that is admitted; empty without a shortage.
    #[serde(rename = "admitted")]
    pub admitted_shares: BTreeMap<u32, f64>,
    /// New flows of each priority refused since the start because of a shortage or of an account's
    /// share.
    #[serde(rename = "refused")]
    pub refused_flows: BTreeMap<u32, u64>,
    /// Instances whose reports the view of the local data centre contains.
    #[serde(rename = "parts")]
    pub reporting_instances: u32,
    /// Age of the newest report in the view, in milliseconds; `None` without a view.
    #[serde(rename = "age_ms")]
    pub view_age_ms: Option<u64>,
}

/// The start or end of a shortage or an overflow of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadChange {
    /// The service became short of slots.
    ShortageBegun,
    /// The service is no longer short of slots.
    ShortageEnded,
    /// New flows go to other data centres.
    OverflowBegun,
    /// New flows stay in the local data centre again.
    OverflowEnded,
}

impl LoadChange {
    /// Returns the change's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LoadChange::ShortageBegun => "shortage_begun",
            LoadChange::ShortageEnded => "shortage_ended",
            LoadChange::OverflowBegun => "overflow_begun",
            LoadChange::OverflowEnded => "overflow_ended",
        }
    }
}

/// A change, with the load that caused it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadEvent {
    /// What changed.
    pub change: LoadChange,
    /// The load at that time.
    pub report: LoadReport,
}

/// Why new flows are admitted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionBasis {
    /// Settings and routes don't enable admission for the service.
    Off,
    /// The load of other instances is unknown.
    NoView,
    /// Too few instances have reported their load.
    UnsureView,
    /// The newest report of another instance is too old.
    OldView,
    /// The list of this instance isn't confirmed, or the process was paused.
    ListDoubt,
    /// The service isn't short of slots, or hasn't been for long enough.
    Room,
    /// The service is short of slots.
    Shortage,
}

/// Whether load control would admit a new flow and where it would send it, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadExplanation {
    /// Load of the flow's service.
    pub report: LoadReport,
    /// Priority of the flow's route.
    pub priority: u32,
    /// The other data centre that overflow selects; `None` when the flow stays in its own.
    pub overflow_to: Option<CentreName>,
    /// Whether the flow's first opening packet would be admitted.
    #[serde(rename = "verdict")]
    pub decision: AdmissionDecision,
    /// The reason for the decision.
    pub basis: AdmissionBasis,
}
