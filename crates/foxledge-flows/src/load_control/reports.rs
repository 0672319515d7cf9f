//! What load control tells of itself.

use std::collections::BTreeMap;

use foxledge_admission::AdmissionDecision;
use foxledge_core::names::{CentreName, ServiceName};
use serde::Serialize;

/// `CentreLoad` is the load of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CentreLoad {
    /// The data centre.
    pub data_centre: CentreName,
    /// Usable slots there, slow backend servers in proportion; 0 while it is evacuated.
    pub slots: f64,
    /// Requests that run or wait there, whoever sends them.
    pub running: f64,
    /// Slots that the requests of its own callers need, wherever they are served.
    pub demand: f64,
    /// Share of this instance's new flows that overflow sends there, from 0 to 1.
    #[serde(rename = "share")]
    pub overflow_share: f64,
    /// True when the view has a load of it.
    #[serde(rename = "is_heard")]
    pub has_report: bool,
}

impl CentreLoad {
    /// Requests a slot; 0 without slots.
    pub fn load_ratio(&self) -> f64 {
        if self.slots > 0.0 { self.running / self.slots } else { 0.0 }
    }
}

/// `LoadReport` is the load of one service and what is done about it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// The service.
    pub service: ServiceName,
    /// Requests a slot over the data centres that may serve it and were heard of.
    #[serde(rename = "load")]
    pub load_ratio: f64,
    /// Slots that the requests of all callers need.
    pub demand: f64,
    /// Usable slots of the data centres that may serve it and were heard of.
    pub slots: f64,
    /// Its data centres, the own one included.
    pub centres: Vec<CentreLoad>,
    /// True while it is short of slots, as it is logged.
    pub is_short: bool,
    /// Share of each priority's new flows that is admitted; empty without shortage.
    #[serde(rename = "admitted")]
    pub admitted_shares: BTreeMap<u32, f64>,
    /// New flows of each priority that were refused for shortage or account share since the
    /// start.
    #[serde(rename = "refused")]
    pub refused_flows: BTreeMap<u32, u64>,
    /// Instances whose load the view of the own data centre rests on.
    #[serde(rename = "parts")]
    pub reporting_instances: u32,
    /// Age of the view in milliseconds, that of its newest part; none without a view.
    #[serde(rename = "age_ms")]
    pub view_age_ms: Option<u64>,
}

/// `LoadChange` is what began or ended for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadChange {
    /// It is short of slots.
    ShortageBegun,
    /// It has been short of slots.
    ShortageEnded,
    /// New flows go to other data centres.
    OverflowBegun,
    /// New flows stay near again.
    OverflowEnded,
}

impl LoadChange {
    /// The change's word in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LoadChange::ShortageBegun => "shortage_begun",
            LoadChange::ShortageEnded => "shortage_ended",
            LoadChange::OverflowBegun => "overflow_begun",
            LoadChange::OverflowEnded => "overflow_ended",
        }
    }
}

/// `LoadEvent` is a change with the load that it rests on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadEvent {
    /// What changed.
    pub change: LoadChange,
    /// The load then.
    pub report: LoadReport,
}

/// `AdmissionBasis` is why new flows are admitted or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionBasis {
    /// Admission doesn't act for the service: settings or list don't call for it.
    Off,
    /// No load of other instances is known.
    NoView,
    /// Too few instances were heard of.
    UnsureView,
    /// The newest part of another instance is too old.
    OldView,
    /// This instance doubts its list, or stood still.
    ListDoubt,
    /// The service isn't short of slots, or not for long enough.
    Room,
    /// The service is short of slots.
    Shortage,
}

/// `LoadExplanation` is what load control would do with a new flow, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadExplanation {
    /// The load of its service.
    pub report: LoadReport,
    /// Priority of its route.
    pub priority: u32,
    /// The other data centre that overflow names for it; none when it stays near.
    pub overflow_to: Option<CentreName>,
    /// What becomes of its first opening packet.
    pub verdict: AdmissionDecision,
    /// Why.
    pub basis: AdmissionBasis,
}
