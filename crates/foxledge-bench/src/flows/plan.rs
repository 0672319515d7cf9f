//! Which runs are made, and what stays the same in all of them.

use std::time::Duration;

use crate::flows::policies::PolicyKind;

/// The site's data centres.
pub const CENTRES: [CentrePlan; 4] = [
    CentrePlan { name: "toledo", instances: 2, servers: 4, users: 72 },
    CentrePlan { name: "erie", instances: 2, servers: 4, users: 78 },
    CentrePlan { name: "duluth", instances: 2, servers: 3, users: 72 },
    CentrePlan { name: "kenosha", instances: 1, servers: 3, users: 72 },
];
/// Backend servers of the site.
pub const SERVERS: usize = 14;
/// Requests that a backend server runs at once.
pub const SLOTS: u32 = 2;
/// Requests that wait at a backend server; more are turned away as "not run".
pub const QUEUE: usize = 8;
/// Mean run of a price feed.
pub const FEED_RUN: Duration = Duration::from_millis(15);
/// Mean run of a bid.
pub const BID_RUN: Duration = Duration::from_millis(20);
/// Share of feeds: seven of nine requests, the rest are bids.
pub const FEED_SHARE: f64 = 7.0 / 9.0;
/// Load of the site itself, relative to what its slots can carry.
pub const SITE_LEVEL: f64 = 0.22;
/// When a variant's trouble begins.
pub const TROUBLE_AT: Duration = Duration::from_secs(5);
/// When the troubles that end do so.
pub const TROUBLE_END: Duration = Duration::from_secs(9);
/// Period at which an instance looks for unanswered openings.
pub(super) const TICK: Duration = Duration::from_millis(10);
/// When callers stop.
pub const RUN_TIME: Duration = Duration::from_secs(12);

/// `CentrePlan` is one data centre.
#[derive(Clone, Copy, Debug)]
pub struct CentrePlan {
    /// Its name.
    pub name: &'static str,
    /// Instances there.
    pub instances: usize,
    /// Backend servers there.
    pub servers: usize,
    /// Callers there that keep a flow open, at the site's own load.
    pub users: usize,
}

/// `FlowVariant` is what goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowVariant {
    /// Nothing.
    Plain,
    /// Three backend servers fall silent for good.
    SilentServers,
    /// Four backend servers take five times as long.
    SlowServers,
    /// Three in ten packets from instances to backend servers are lost for a while.
    LostPackets,
    /// One instance stands still for two seconds.
    FrozenInstance,
    /// Four backend servers start anew and are cold.
    ColdServers,
    /// Four in five callers of one data centre come to another.
    ShiftedCallers,
}

impl FlowVariant {
    /// All variants.
    pub const ALL: [FlowVariant; 7] = [
        FlowVariant::Plain,
        FlowVariant::SilentServers,
        FlowVariant::SlowServers,
        FlowVariant::LostPackets,
        FlowVariant::FrozenInstance,
        FlowVariant::ColdServers,
        FlowVariant::ShiftedCallers,
    ];

    /// Its name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            FlowVariant::Plain => "plain",
            FlowVariant::SilentServers => "silent-servers",
            FlowVariant::SlowServers => "slow-servers",
            FlowVariant::LostPackets => "lost-packets",
            FlowVariant::FrozenInstance => "frozen-instance",
            FlowVariant::ColdServers => "cold-servers",
            FlowVariant::ShiftedCallers => "shifted-callers",
        }
    }
}

/// `FlowPlan` says which run to make.
#[derive(Clone, Copy, Debug)]
pub struct FlowPlan {
    /// Where new flows go.
    pub policy: PolicyKind,
    /// What goes wrong.
    pub variant: FlowVariant,
    /// Load relative to what the slots can carry.
    pub level: f64,
    /// The seed.
    pub seed: u64,
}

/// `FlowChoice` says which runs to make; empty lists mean all.
#[derive(Clone, Debug, Default)]
pub struct FlowChoice {
    /// Names of policies.
    pub policies: Vec<String>,
    /// Names of variants.
    pub variants: Vec<String>,
    /// Load levels.
    pub levels: Vec<f64>,
    /// The seed.
    pub seed: u64,
}

/// The runs of a choice.
pub fn flow_plans(choice: &FlowChoice) -> Vec<FlowPlan> {
    let is_chosen =
        |names: &[String], name: &str| names.is_empty() || names.iter().any(|one| one == name);
    let levels = if choice.levels.is_empty() { &[SITE_LEVEL, 0.9][..] } else { &choice.levels };
    let variants =
        FlowVariant::ALL.into_iter().filter(|one| is_chosen(&choice.variants, one.as_str()));
    let mut plans = Vec::new();
    for variant in variants {
        for level in levels {
            let policies =
                PolicyKind::ALL.into_iter().filter(|one| is_chosen(&choice.policies, one.as_str()));
            plans.extend(policies.map(|policy| FlowPlan {
                policy,
                variant,
                level: *level,
                seed: choice.seed,
            }));
        }
    }
    plans
}
