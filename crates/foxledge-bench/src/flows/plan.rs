//! Which runs are made, and what stays the same in all of them.

use std::time::Duration;

use foxledge_flows::RouterMechanism;

use crate::flows::{
    policies::PolicyKind,
    sites::{AUCTION, SitePlan},
};

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
    /// Three backend servers crash, and reset what reaches them.
    CrashedServers,
    /// The same, and they start again under their ids after 1.5 s.
    RestartedServers,
    /// No instance has power for 1.6 s.
    Outage,
}

impl FlowVariant {
    /// All variants.
    pub const ALL: [FlowVariant; 10] = [
        FlowVariant::Plain,
        FlowVariant::SilentServers,
        FlowVariant::SlowServers,
        FlowVariant::LostPackets,
        FlowVariant::FrozenInstance,
        FlowVariant::ColdServers,
        FlowVariant::ShiftedCallers,
        FlowVariant::CrashedServers,
        FlowVariant::RestartedServers,
        FlowVariant::Outage,
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
            FlowVariant::CrashedServers => "crashed-servers",
            FlowVariant::RestartedServers => "restarted-servers",
            FlowVariant::Outage => "outage",
        }
    }

    /// The variant of that name.
    pub fn by_name(name: &str) -> Option<FlowVariant> {
        FlowVariant::ALL.into_iter().find(|variant| variant.as_str() == name)
    }
}

/// `FlowPlan` says which run to make.
#[derive(Clone, Copy, Debug)]
pub struct FlowPlan {
    /// The site.
    pub site: &'static SitePlan,
    /// What its routers do without, if anything.
    pub without: Option<RouterMechanism>,
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
                site: &AUCTION,
                without: None,
                policy,
                variant,
                level: *level,
                seed: choice.seed,
            }));
        }
    }
    plans
}
