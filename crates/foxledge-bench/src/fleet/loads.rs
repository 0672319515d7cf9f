//! The users' workloads as real processes.

use anyhow::{Result, bail};
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{CallerPlan, FleetPlan, LinkMode, ServiceSize},
    publish::{MemberPlan, RulePlan},
};

/// Mean time of one bid or claim at a backend server, in milliseconds.
const WORK_MS: u32 = 20;
/// Slots of a backend server.
const SLOTS: u32 = 2;
/// Part of the capacity of the upload service that uploads take at a load of 1.
const UPLOAD_SHARE: f64 = 0.25;
/// Feeds of one member in one data centre.
const FEEDS: u32 = 30;
/// How many times its share the flooding member sends.
const FLOOD_FACTOR: f64 = 10.0;

/// `FleetLoad` is one user's data centres, services and members.
#[derive(Clone, Copy, Debug)]
pub struct FleetLoad {
    /// Its name.
    pub name: &'static str,
    centres: &'static [&'static str],
    desk: (&'static str, &'static str),
    intake: (&'static str, &'static str),
    /// Targets of the desk in each data centre.
    desk_targets: usize,
    /// Members with their paid priority, the highest first.
    members: &'static [(&'static str, u8)],
}

/// Lakeshore: four data centres; 16 targets of the auction desk and 4 of lot intake.
const LAKESHORE: FleetLoad = FleetLoad {
    name: "lakeshore",
    centres: &["toledo", "erie", "duluth", "kenosha"],
    desk: ("auction-desk", "auction.lakeshore"),
    intake: ("lot-intake", "lots.lakeshore"),
    desk_targets: 4,
    members: &[("bricks-and-co", 5), ("harbor-sets", 3), ("pier-nine", 1)],
};

/// Berovo: three data centres; 15 targets of the roster and 3 of paperwork.
const BEROVO: FleetLoad = FleetLoad {
    name: "berovo",
    centres: &["plovdiv-1", "plovdiv-2", "plovdiv-3"],
    desk: ("roster", "roster.berovo"),
    intake: ("paperwork", "papers.berovo"),
    desk_targets: 5,
    members: &[("north-orchard", 4), ("river-farm", 4), ("hill-berries", 2)],
};

/// The workload of that name.
pub fn load_by_name(name: &str) -> Result<FleetLoad> {
    match name {
        "lakeshore" => Ok(LAKESHORE),
        "berovo" => Ok(BEROVO),
        _ => bail!("no workload {name}: lakeshore or berovo"),
    }
}

/// `MemberFlood` is whether one member sends far more than its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFlood {
    /// Every member sends its share.
    None,
    /// The last member sends ten times its share.
    Last,
}

impl FleetLoad {
    /// The fleet with so many instances in each data centre.
    pub fn plan(&self, instances: usize, mode: LinkMode, settings: &str, seed: u64) -> FleetPlan {
        let size = ServiceSize { slots: SLOTS, work_ms: WORK_MS, ..ServiceSize::targets(1) };
        let desk = ServiceSize { targets: self.desk_targets, ..size };
        let mut plan = FleetPlan::new().link_mode(mode).seed(seed);
        for centre in self.centres {
            plan = plan.centre(centre, instances);
        }
        plan = plan.service(self.desk.0, self.desk.1, desk);
        plan = plan.service(self.intake.0, self.intake.1, size);
        for (member, priority) in self.members {
            let rule = RulePlan::serve(&format!("paid-{member}"), self.desk.1, self.desk.0);
            plan = plan
                .member(MemberPlan::open(member))
                .first_rule(rule.members(&[member]).priority(*priority));
        }
        if settings.is_empty() { plan } else { plan.settings(settings) }
    }

    /// Names of the data centres.
    pub fn centres(&self) -> &'static [&'static str] {
        self.centres
    }

    /// Bids a second that the desk's slots of one data centre can carry.
    pub fn capacity(&self) -> f64 {
        self.desk_targets as f64 * f64::from(SLOTS) * 1000.0 / f64::from(WORK_MS)
    }

    /// The callers of one data centre at a load relative to the capacity.
    pub fn callers(&self, centre: &str, level: f64, flood: MemberFlood) -> Vec<CallerPlan> {
        let share = self.capacity() * level / self.members.len() as f64;
        let mut plans = Vec::new();
        for (index, (member, _)) in self.members.iter().enumerate() {
            let floods = flood == MemberFlood::Last && index + 1 == self.members.len();
            let factor = if floods { FLOOD_FACTOR } else { 1.0 };
            let uploads = f64::from(SLOTS) * UPLOAD_SHARE * level / self.members.len() as f64;
            for (kind, address, rate) in [
                (TrafficKind::Feed, self.desk.1, 0.0),
                (TrafficKind::Bid, self.desk.1, share * factor),
                (TrafficKind::Upload, self.intake.1, uploads),
            ] {
                let plan = CallerPlan::new(address, member, kind)
                    .name(&format!("caller-{centre}-{member}-{kind}"))
                    .rate(rate);
                plans.push(if kind == TrafficKind::Feed { plan.feeds(FEEDS) } else { plan });
            }
        }
        plans
    }
}
