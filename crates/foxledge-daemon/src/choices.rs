//! Conversion of the settings to the options of the parts.

use std::time::Duration;

use foxledge_engine::{EngineOptions, PlacementKind, TrialSwitches};
use foxledge_members::{ListOptions, StaleLists};
use foxledge_policy::SchedulerOptions;
use foxledge_settings::{DaemonSettings, PlacementChoice};

use crate::routes::RouteTable;

/// Returns the options of the engine.
pub fn engine_options(settings: &DaemonSettings) -> EngineOptions {
    let flow = &settings.flow;
    EngineOptions::default()
        .placement(placement_kind(flow.placement))
        .policy(flow.policy.as_str().to_owned())
        .ticket_ttl(Duration::from_millis(flow.ticket_ms))
        .requests_per_ticket(flow.ticket_count)
        .forward_timeout(Duration::from_millis(flow.forward_wait_ms))
        .home_backoff(Duration::from_millis(flow.passed_over_ms))
        .scheduler(scheduler_options(settings))
        .trial(trial_switches(settings))
}

fn scheduler_options(settings: &DaemonSettings) -> SchedulerOptions {
    let desk = &settings.desk;
    SchedulerOptions::default()
        .ack_timeout(Duration::from_millis(desk.ack_ms))
        .max_retransmissions(desk.resends)
        .ejection_threshold(desk.eject_after_losses)
        .base_ejection_time(Duration::from_millis(desk.eject_ms))
        .slow_start(Duration::from_millis(desk.slow_start_ms))
        .retry_ratio(f64::from(desk.retry_budget_percent) / 100.0)
        .probe_interval(Duration::from_millis(desk.probe_ms))
}

fn placement_kind(choice: PlacementChoice) -> PlacementKind {
    match choice {
        PlacementChoice::ServiceHome => PlacementKind::ServiceHome,
        PlacementChoice::EntryLocal => PlacementKind::EntryLocal,
        PlacementChoice::TargetHome => PlacementKind::TargetHome,
    }
}

fn trial_switches(settings: &DaemonSettings) -> TrialSwitches {
    let trial = &settings.trial;
    TrialSwitches {
        run_once: trial.run_once,
        check_target_owner: trial.check_target_owner,
        skip_unresponsive_homes: trial.pass_over_homes,
        remember_refusals: trial.remember_refusals,
        refuse_stale_lists: trial.refuse_stale_lists,
    }
}

/// Returns the options of the list store.
pub fn list_options(settings: &DaemonSettings) -> ListOptions {
    ListOptions::default().stale_lists(stale_lists(settings))
}

/// Returns the policy for lists older than the one in force.
pub fn stale_lists(settings: &DaemonSettings) -> StaleLists {
    match settings.trial.refuse_stale_lists {
        true => StaleLists::Refuse,
        false => StaleLists::Accept,
    }
}

/// Returns the table of replaced addresses.
pub fn route_table(settings: &DaemonSettings) -> RouteTable {
    RouteTable::new(settings.trial.routes.clone())
}
