//! Why a flow is treated as it is.

use foxledge_core::{lists::FlowTreatment, traffic::TrafficKind};
use serde::Serialize;

use crate::journal::FlowEvent;

/// `ExplainQuery` is the flow that an operator asks about.
#[derive(Clone, Debug)]
pub struct ExplainQuery {
    /// Service address.
    pub address: String,
    /// Member.
    pub member: String,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// Flow id; 0 when no particular flow is meant.
    pub flow: u64,
}

/// `FlowExplanation` is the decision for a flow and its reasons.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FlowExplanation {
    /// Revision of the list that decides.
    pub revision: u64,
    /// Name of the first rule that matches.
    pub rule: Option<String>,
    /// What it decides.
    pub treatment: Option<FlowTreatment>,
    /// Shard of the service.
    pub shard: Option<u32>,
    /// Instances that can be home, the best first.
    pub homes: Vec<String>,
    /// Backend servers of the shard in this data centre.
    pub targets: Vec<String>,
    /// The one that a new request would be sent to now, if this is the home.
    pub target: Option<String>,
    /// The steps of the decision, as short sentences.
    pub reasons: Vec<String>,
    /// What this instance decided for the flow lately.
    pub flow_events: Vec<FlowEvent>,
}
