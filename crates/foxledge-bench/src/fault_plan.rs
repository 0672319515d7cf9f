//! When what is done to a run.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use crate::workloads::{LoadVariant, ServiceLoad};

/// `FaultStep` is one step of a variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    /// The first target becomes slow and reports to be idle.
    SlowTarget,
    /// A quarter of the targets is replaced by cold processes.
    ReplaceCold,
    /// A third of the targets drains.
    DrainThird,
    /// The drained targets are open again.
    OpenThird,
    /// Half of the targets shed everything and report to be idle.
    ShedHalf,
    /// They take work again.
    TakeHalf,
    /// The first instance is killed.
    KillInstance,
    /// Half of the instances hold another view.
    SplitViews,
    /// All hold the same view again.
    JoinViews,
}

/// The steps of a variant with their times: a third and two thirds into the run.
pub fn fault_plan(variant: LoadVariant, load: &ServiceLoad) -> Vec<(ClockTime, FaultStep)> {
    let third = ClockTime::ZERO.after(load.length / 3);
    let two_thirds = ClockTime::ZERO.after(load.length * 2 / 3);
    match variant {
        LoadVariant::Plain | LoadVariant::GreedyMember | LoadVariant::OnePriority => Vec::new(),
        LoadVariant::SlowTarget => vec![(ClockTime::ZERO, FaultStep::SlowTarget)],
        LoadVariant::ColdStart => vec![(third, FaultStep::ReplaceCold)],
        LoadVariant::ThirdDraining => {
            vec![(third, FaultStep::DrainThird), (two_thirds, FaultStep::OpenThird)]
        }
        LoadVariant::InstanceKilled => {
            // In the middle of a burst, where the workload has bursts.
            vec![(third.after(Duration::from_millis(100)), FaultStep::KillInstance)]
        }
        LoadVariant::HalfShedding => {
            vec![(third, FaultStep::ShedHalf), (two_thirds, FaultStep::TakeHalf)]
        }
        LoadVariant::SplitViews => {
            vec![(third, FaultStep::SplitViews), (two_thirds, FaultStep::JoinViews)]
        }
    }
}
