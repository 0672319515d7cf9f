//! Inputs and decisions of admission policies.

use std::{collections::BTreeMap, net::Ipv4Addr};

use foxledge_core::time::ClockTime;
use foxledge_load::PriorityLoad;
use serde::Serialize;

/// The load and capacity of a service over all data centres that may serve it, at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSnapshot {
    /// Usable slots; slow backend servers count in proportion.
    pub slots: f64,
    /// Requests that run or wait.
    pub running: f64,
    /// Load by priority; 0 is the highest.
    pub priorities: BTreeMap<u32, PriorityLoad>,
    /// The shortest latency target of the service's routes, in milliseconds; 0 if none is set.
    pub latency_target_ms: u64,
    /// When the underlying load was reported.
    pub reported_at: ClockTime,
    /// `true` if enough instances reported to rely on the load.
    pub is_reliable: bool,
    /// `true` if a live data centre with slots for the service has not reported its load yet.
    pub has_unreported_centre: bool,
    /// Client account samples received since the previous update: the hash, and the openings that
    /// each stands for.
    pub account_samples: Vec<(u32, u32)>,
    /// Arrivals per second in the local data centre, from which the samples were taken. If it is
    /// unknown, this is 0, and the rate is computed from the received samples alone.
    pub sampled_arrivals_per_s: f64,
    /// The reading of the clock shared by all instances, which positions the readmission window, in
    /// milliseconds.
    pub fleet_clock_ms: u32,
}

/// A new flow that requests admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowOpening {
    /// The paid priority of its route; 0 is the highest.
    pub priority: u32,
    /// The address of the caller.
    pub caller: Ipv4Addr,
}

/// The admission decision for a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionDecision {
    /// The flow may be placed.
    Admitted,
    /// The service lacks capacity for its priority.
    Shortage,
    /// Its client account exceeds its share.
    AccountShare,
}

/// Decides which new flows of one service are admitted.
pub trait AdmissionPolicy {
    /// Updates the plan for refusals to the current load of the service.
    fn update(&mut self, now: ClockTime, snapshot: &ServiceSnapshot);

    /// Decides whether a new flow is admitted.
    fn admit(&self, now: ClockTime, opening: &FlowOpening) -> AdmissionDecision;

    /// Returns the admitted share of each priority's new flows, from 0 to 1; empty without a
    /// shortage.
    fn admitted_shares(&self) -> &BTreeMap<u32, f64>;

    /// Returns the start of the current shortage, or `None` if there is none. A policy may report a
    /// shortage for a short time after its end.
    fn shortage_since(&self) -> Option<ClockTime>;
}
