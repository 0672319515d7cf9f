//! The users' workloads in one data centre, and what is done to them.

use std::time::Duration;

use foxledge_core::traffic::TrafficKind;
use serde::Serialize;

/// `ServiceLoad` is one service with its callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// The user.
    pub workload: &'static str,
    /// The service.
    pub service: &'static str,
    /// Backend servers.
    pub targets: usize,
    /// Slots of each.
    pub slots: u32,
    /// What its requests are.
    pub kind: TrafficKind,
    /// Mean run time of a request, exponentially distributed.
    pub mean_run: Duration,
    /// How long callers wait.
    pub patience: Duration,
    /// How arrivals change over time.
    pub shape: ArrivalShape,
    /// Members that send equal shares.
    pub members: usize,
    /// How long it is run.
    pub length: Duration,
}

/// `ArrivalShape` is how the rate of arrivals changes; the mean stays.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum ArrivalShape {
    /// A Poisson process.
    Poisson,
    /// For a part of each period the rate is a multiple of the mean.
    Bursts {
        /// Period.
        period: Duration,
        /// Length of the burst in it.
        burst: Duration,
        /// Multiple of the mean rate.
        factor: f64,
    },
}

/// `LoadVariant` is what is done to a workload besides its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadVariant {
    /// Nothing.
    Plain,
    /// The first member sends ten times its share.
    GreedyMember,
    /// The first target is five times slower and reports to be idle.
    SlowTarget,
    /// A quarter of the targets is replaced by cold processes.
    ColdStart,
    /// A third of the targets drains for a while.
    ThirdDraining,
    /// An instance that holds homes is killed.
    InstanceKilled,
    /// All members have the same paid priority, which shows the place alone.
    OnePriority,
    /// Half of the targets shed all that comes for a while, and call themselves idle.
    HalfShedding,
    /// Half of the instances take another one for the home for a while.
    SplitViews,
}

impl LoadVariant {
    /// Every variant.
    pub const ALL: [LoadVariant; 9] = [
        LoadVariant::Plain,
        LoadVariant::GreedyMember,
        LoadVariant::SlowTarget,
        LoadVariant::ColdStart,
        LoadVariant::ThirdDraining,
        LoadVariant::InstanceKilled,
        LoadVariant::SplitViews,
        LoadVariant::OnePriority,
        LoadVariant::HalfShedding,
    ];

    /// The word used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            LoadVariant::Plain => "plain",
            LoadVariant::GreedyMember => "greedy-member",
            LoadVariant::SlowTarget => "slow-target",
            LoadVariant::ColdStart => "cold-start",
            LoadVariant::ThirdDraining => "third-draining",
            LoadVariant::InstanceKilled => "instance-killed",
            LoadVariant::SplitViews => "split-views",
            LoadVariant::OnePriority => "one-priority",
            LoadVariant::HalfShedding => "half-shedding",
        }
    }
}

/// Loads relative to what the slots can carry.
pub const LOADS: [f64; 4] = [0.5, 0.9, 1.2, 2.0];

/// Paid priorities of the members in turn.
pub const MEMBER_PRIORITIES: [u8; 8] = [2, 5, 5, 2, 2, 0, 0, 0];

/// Closing bids come in bursts of a quarter of a second.
const CLOSING_BURSTS: ArrivalShape = ArrivalShape::Bursts {
    period: Duration::from_secs(5),
    burst: Duration::from_millis(250),
    factor: 2.0,
};

/// Farms upload their contracts in bundles.
const EVENING_BUNDLES: ArrivalShape = ArrivalShape::Bursts {
    period: Duration::from_secs(60),
    burst: Duration::from_secs(5),
    factor: 1.5,
};

/// The services of both users.
pub fn service_loads() -> Vec<ServiceLoad> {
    let desk = ServiceLoad {
        workload: "lakeshore",
        service: "auction-desk",
        targets: 14,
        slots: 2,
        kind: TrafficKind::Bid,
        mean_run: Duration::from_millis(20),
        patience: Duration::from_secs(2),
        shape: CLOSING_BURSTS,
        members: 8,
        length: Duration::from_secs(60),
    };
    let uploads = ServiceLoad {
        service: "lot-intake",
        targets: 4,
        kind: TrafficKind::Upload,
        mean_run: Duration::from_millis(600),
        patience: Duration::from_secs(30),
        shape: ArrivalShape::Poisson,
        length: Duration::from_secs(600),
        ..desk
    };
    // The dawn rush lasts longer than a run, so the level is that of the rush.
    let shape = ArrivalShape::Poisson;
    let roster = ServiceLoad { workload: "berovo", service: "roster", shape, ..desk };
    let paperwork = ServiceLoad {
        workload: "berovo",
        service: "paperwork",
        mean_run: Duration::from_millis(400),
        shape: EVENING_BUNDLES,
        ..uploads
    };
    vec![desk, uploads, roster, paperwork]
}

impl ServiceLoad {
    /// Requests per second that the slots can carry.
    pub fn capacity(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots) / self.mean_run.as_secs_f64()
    }
}
