//! The border to whoever asks for admission.

use std::{collections::BTreeMap, net::Ipv4Addr};

use foxledge_core::time::ClockTime;
use foxledge_load::PriorityLoad;
use serde::Serialize;

/// `ServiceSnapshot` is the load of a service over all data centres that may serve it, and its room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSnapshot {
    /// Usable slots, slow backend servers in proportion.
    pub slots: f64,
    /// Requests that run or wait.
    pub running: f64,
    /// Load by priority, 0 is the highest.
    pub priorities: BTreeMap<u32, PriorityLoad>,
    /// The shortest aim of the routes to it, in milliseconds; 0 when none is told.
    pub latency_target_ms: u64,
    /// When the load that this rests on was told.
    pub reported_at: ClockTime,
    /// True when the view is sure.
    pub is_reliable: bool,
    /// True when a data centre that lives has told no load yet.
    pub has_unreported_centre: bool,
    /// Samples of client accounts told since the last call: hash and the openings that each
    /// stands for.
    pub account_samples: Vec<(u32, u32)>,
    /// Arrivals a second of the callers that the samples are of, as of the own data centre; 0
    /// when unknown, the samples are then taken for all of their openings.
    pub sampled_arrivals_per_s: f64,
    /// Shared clock of the order of return, in milliseconds.
    pub fleet_clock_ms: u32,
}

/// `FlowOpening` is a new flow that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowOpening {
    /// Paid priority of its route, 0 is the highest.
    pub priority: u32,
    /// Address of the caller.
    pub caller: Ipv4Addr,
}

/// `AdmissionDecision` is what becomes of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionDecision {
    /// It may be placed.
    Admitted,
    /// There is no room for its priority now.
    Shortage,
    /// Its client account has had its share.
    AccountShare,
}

/// `AdmissionPolicy` decides which new flows of one service are admitted.
pub trait AdmissionPolicy {
    /// Takes the service's load as it is now.
    fn update(&mut self, now: ClockTime, room: &ServiceSnapshot);

    /// What becomes of a new flow.
    fn admit(&self, now: ClockTime, opening: &FlowOpening) -> AdmissionDecision;

    /// Share of each priority's new flows that is admitted, from 0 to 1; empty without shortage.
    fn admitted_shares(&self) -> &BTreeMap<u32, f64>;

    /// Since when the service is short; none while it isn't.
    fn shortage_since(&self) -> Option<ClockTime>;
}
