//! Limits on received values, so that an implausible report has a bounded effect.

use std::collections::BTreeMap;

use crate::reports::{CentreAggregate, LocalLoad, ServiceKey, ServiceLoad};

/// The maximum arrivals of one instance, per second.
const MAX_ARRIVALS_PER_S: f64 = 100_000.0;
/// The maximum running requests of one instance: the number of flows that it can track.
const MAX_RUNNING: f64 = 100_000.0;
/// The maximum work time of one request, in microseconds.
const MAX_WORK_US: f64 = 60_000_000.0;
/// The maximum number of priorities of one service.
const MAX_PRIORITIES: usize = 8;
/// The maximum number of sampled client accounts in one report.
const MAX_SAMPLED_ACCOUNTS: usize = 12;
/// The maximum number of openings that one sample stands for: all openings of an instance in one
/// second.
const MAX_OPENINGS_PER_SAMPLE: u32 = 100_000;
/// The maximum number of instances of one data centre: several times the largest supported number.
const MAX_INSTANCES: u32 = 10_000;

/// Limits the values in the load of one instance.
pub(crate) fn bound_load(load: &mut LocalLoad) {
    bound_services(&mut load.services, 1.0);
    load.sampled_accounts.truncate(MAX_SAMPLED_ACCOUNTS);
    load.openings_per_sample = load.openings_per_sample.min(MAX_OPENINGS_PER_SAMPLE);
}

/// Limits the values in the aggregate of a data centre, in proportion to its instances.
pub(crate) fn bound_aggregate(aggregate: &mut CentreAggregate) {
    aggregate.instances = aggregate.instances.clamp(1, MAX_INSTANCES);
    bound_services(&mut aggregate.services, f64::from(aggregate.instances));
}

fn bound_services(services: &mut BTreeMap<ServiceKey, ServiceLoad>, instances: f64) {
    for service in services.values_mut() {
        retain_most_urgent(service);
        for load in service.priorities.values_mut() {
            load.arrivals_per_s = clamped(load.arrivals_per_s, MAX_ARRIVALS_PER_S * instances);
            load.work_us = clamped(load.work_us, MAX_WORK_US);
        }
        for running in service.running.values_mut() {
            *running = clamped(*running, MAX_RUNNING * instances);
        }
    }
    let arrivals = services.values_mut().flat_map(|service| service.priorities.values_mut());
    scale_to_limit(MAX_ARRIVALS_PER_S * instances, arrivals.map(|load| &mut load.arrivals_per_s));
    let running = services.values_mut().flat_map(|service| service.running.values_mut());
    scale_to_limit(MAX_RUNNING * instances, running);
}

/// Removes all but the [`MAX_PRIORITIES`] highest priorities.
fn retain_most_urgent(service: &mut ServiceLoad) {
    if let Some(first_over) = service.priorities.keys().nth(MAX_PRIORITIES).copied() {
        service.priorities.split_off(&first_over);
    }
}

/// Scales all values by one factor so that their sum does not exceed `limit`.
fn scale_to_limit<'v>(limit: f64, values: impl Iterator<Item = &'v mut f64>) {
    let values: Vec<&mut f64> = values.collect();
    let sum: f64 = values.iter().map(|value| **value).sum();
    if sum <= limit {
        return;
    }
    for value in values {
        *value *= limit / sum;
    }
}

/// Returns the value within 0 to `limit`; 0 if it is not a number.
fn clamped(value: f64, limit: f64) -> f64 {
    if value.is_nan() { 0.0 } else { value.clamp(0.0, limit) }
}
