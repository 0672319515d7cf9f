//! One run of a workload over real processes.

use std::{thread, time::Duration};

use anyhow::Result;
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{LinkMode, TestCaller, TestFleet},
    report::LoadReport,
};

use super::{
    choice::FleetChoice,
    loads::MemberFlood,
    mishaps::FleetMishap,
    summary::{FleetFigure, summarize},
    usage::{highest_resident, read_fleet},
};

/// How long the idle fleet is watched before the load.
const IDLE_SPAN: Duration = Duration::from_secs(5);
/// How long after the load a caller may take to end.
const END_LIMIT: Duration = Duration::from_secs(90);

/// Runs one workload and sums it up.
pub fn run_fleet(choice: &FleetChoice) -> Result<FleetFigure> {
    let mode = match choice.mishap {
        FleetMishap::CutHalves => LinkMode::Routed,
        _ => LinkMode::Direct,
    };
    let plan = choice.load.plan(choice.instances, mode, &choice.settings, choice.seed);
    let mut fleet = TestFleet::start(plan)?;

    // What an idle daemon spends is what control costs.
    let begun = read_fleet(&fleet);
    thread::sleep(IDLE_SPAN);
    let idle = read_fleet(&fleet).since(&begun, highest_resident(&fleet));

    let loaded = read_fleet(&fleet);
    let callers = start_callers(&fleet, choice)?;
    thread::sleep(Duration::from_secs(choice.seconds) / 2);
    choice.mishap.happen(&mut fleet, choice.load.centres()[0])?;
    thread::sleep(Duration::from_secs(choice.seconds) / 2);
    let busy = read_fleet(&fleet).since(&loaded, highest_resident(&fleet));

    let limit = Duration::from_secs(choice.seconds) + END_LIMIT;
    let reports = callers
        .into_iter()
        .map(|(kind, caller)| Ok((kind, caller.finish(limit)?)))
        .collect::<Result<Vec<(TrafficKind, LoadReport)>>>()?;
    let plain: Vec<_> = reports.iter().map(|(_, report)| report.clone()).collect();
    let verdict = fleet.judge(&plain)?;
    Ok(summarize(choice, &reports, &verdict, idle, busy))
}

fn start_callers(
    fleet: &TestFleet,
    choice: &FleetChoice,
) -> Result<Vec<(TrafficKind, TestCaller)>> {
    let flood = match choice.mishap {
        FleetMishap::Flood => MemberFlood::Last,
        _ => MemberFlood::None,
    };
    let mut callers = Vec::new();
    for centre in choice.load.centres() {
        let plans = choice.load.callers(centre, choice.level, flood);
        for (plan, kind) in plans.into_iter().zip(TrafficKind::ALL.into_iter().cycle()) {
            let seed = choice.seed * 1_000 + callers.len() as u64;
            let plan = plan.seconds(choice.seconds as f64).seed(seed);
            callers.push((kind, fleet.start_caller(centre, &plan)?));
        }
    }
    Ok(callers)
}
