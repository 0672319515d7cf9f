//! A bounded journal of recent routing decisions by flow.

use std::{
    collections::{HashMap, VecDeque},
    fmt::{self, Display, Formatter},
    net::SocketAddr,
};

use foxledge_core::{lists::TargetSpec, names::TargetName, time::ClockTime};
use serde::{Serialize, Serializer};

/// The maximum number of decisions kept for one flow.
const MAX_EVENTS_PER_FLOW: usize = 12;

/// A decision about a request of a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FlowEvent {
    /// The time of the decision, in microseconds of this process's monotonic clock.
    pub at_us: u64,
    /// The number of the request.
    pub request: u64,
    /// The decision, as a short sentence.
    pub text: String,
    /// The backend server to which the request was sent, if it was.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetAddress>,
}

impl FlowEvent {
    /// Creates an event without a backend server.
    pub fn new(now: ClockTime, request: u64, text: impl Into<String>) -> FlowEvent {
        FlowEvent { at_us: now.as_micros(), request, text: text.into(), target: None }
    }

    /// Sets the backend server to which the request was sent.
    pub fn with_target(self, target: TargetAddress) -> FlowEvent {
        FlowEvent { target: Some(target), ..self }
    }
}

/// The name and address of a backend server, written `name@address`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAddress {
    /// The published name.
    pub name: TargetName,
    /// The address for datagrams.
    pub address: SocketAddr,
}

impl From<&TargetSpec> for TargetAddress {
    fn from(spec: &TargetSpec) -> TargetAddress {
        TargetAddress { name: spec.name.clone(), address: spec.address }
    }
}

impl Display for TargetAddress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.address)
    }
}

impl Serialize for TargetAddress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The recent decisions for a bounded number of flows.
#[derive(Debug)]
pub struct FlowJournal {
    flows: HashMap<u64, VecDeque<FlowEvent>>,
    order: VecDeque<u64>,
    limit: usize,
}

impl FlowJournal {
    /// Creates an empty journal for at most `limit` flows, and at least one.
    pub fn new(limit: usize) -> FlowJournal {
        FlowJournal { flows: HashMap::new(), order: VecDeque::new(), limit: limit.max(1) }
    }

    /// Records a decision. The first decision of a new flow evicts the oldest flow when the journal
    /// is full.
    pub fn record(&mut self, flow: u64, event: FlowEvent) {
        if !self.flows.contains_key(&flow) {
            self.evict_oldest();
            self.order.push_back(flow);
        }
        let events = self.flows.entry(flow).or_default();
        if events.len() == MAX_EVENTS_PER_FLOW {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the decisions for a flow, the oldest first.
    pub fn events_of(&self, flow: u64) -> Vec<FlowEvent> {
        self.flows.get(&flow).map(|events| events.iter().cloned().collect()).unwrap_or_default()
    }

    fn evict_oldest(&mut self) {
        if self.order.len() < self.limit {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.flows.remove(&oldest);
        }
    }
}
