//! Limits of received values to what is possible.

use std::collections::BTreeMap;

use crate::own::{CentreAggregate, LocalLoad, ServiceKey, ServiceLoad};

/// Arrivals of one instance, a second.
const MOST_ARRIVALS_PER_S: f64 = 100_000.0;
/// Running requests of one instance: the flows that it can track.
const MOST_RUNNING: f64 = 100_000.0;
/// Work time of a request, in microseconds.
const MOST_WORK_US: f64 = 60_000_000.0;
/// Priorities of one service.
const MOST_PRIORITIES: usize = 8;
/// Account hashes of one part.
const MOST_ACCOUNTS: usize = 12;
/// Openings that one account hash stands for: those of a second.
const MOST_ONE_IN: u32 = 100_000;
/// Instances of one data centre, several times the largest design size.
const MOST_INSTANCES: u32 = 10_000;

pub(crate) fn bound_load(load: &mut LocalLoad) {
    bound_services(&mut load.services, 1.0);
    load.sampled_accounts.truncate(MOST_ACCOUNTS);
    load.openings_per_sample = load.openings_per_sample.min(MOST_ONE_IN);
}

pub(crate) fn bound_sum(sum: &mut CentreAggregate) {
    sum.instances = sum.instances.clamp(1, MOST_INSTANCES);
    bound_services(&mut sum.services, f64::from(sum.instances));
}

fn bound_services(services: &mut BTreeMap<ServiceKey, ServiceLoad>, instances: f64) {
    for service in services.values_mut() {
        keep_most_urgent(service);
        for load in service.priorities.values_mut() {
            load.arrivals_per_s = bounded(load.arrivals_per_s, MOST_ARRIVALS_PER_S * instances);
            load.work_us = bounded(load.work_us, MOST_WORK_US);
        }
        for running in service.running.values_mut() {
            *running = bounded(*running, MOST_RUNNING * instances);
        }
    }
    let arrivals = services.values_mut().flat_map(|service| service.priorities.values_mut());
    scale_to(MOST_ARRIVALS_PER_S * instances, arrivals.map(|load| &mut load.arrivals_per_s));
    let running = services.values_mut().flat_map(|service| service.running.values_mut());
    scale_to(MOST_RUNNING * instances, running);
}

fn keep_most_urgent(service: &mut ServiceLoad) {
    if let Some(first_over) = service.priorities.keys().nth(MOST_PRIORITIES).copied() {
        service.priorities.split_off(&first_over);
    }
}

/// Scales the values down so that their sum is `most` at most.
fn scale_to<'v>(most: f64, values: impl Iterator<Item = &'v mut f64>) {
    let values: Vec<&mut f64> = values.collect();
    let sum: f64 = values.iter().map(|value| **value).sum();
    if sum <= most {
        return;
    }
    for value in values {
        *value *= most / sum;
    }
}

fn bounded(value: f64, most: f64) -> f64 {
    if value.is_nan() { 0.0 } else { value.clamp(0.0, most) }
}
