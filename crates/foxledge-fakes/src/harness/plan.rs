//! What a fleet under test consists of.

use std::collections::BTreeMap;

use toml::Table;

use crate::publish::{KeyPlan, ListPlan, MemberPlan, RulePlan, ServicePlan};

/// `LinkMode` is how instances reach each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Straight.
    #[default]
    Direct,
    /// Through a link of the first data centre's fabric for each ordered pair, see [`crate::fabric`].
    Routed,
}

/// `ServiceSize` is how many backend servers a service has in each data centre, and how fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSize {
    /// Backend servers in each data centre.
    pub targets: usize,
    /// Slots of each.
    pub slots: u32,
    /// Connections of each.
    pub connections: u32,
    /// Mean time of one request, in milliseconds.
    pub work_ms: u32,
}

impl ServiceSize {
    /// Makes a size of so many targets in each data centre, with today's slots and connections.
    pub fn targets(targets: usize) -> ServiceSize {
        ServiceSize { targets, slots: 2, connections: 2_000, work_ms: 20 }
    }
}

/// `FleetPlan` is what to start; a plain plan has one member, one key and no service.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub(super) centres: Vec<(String, usize)>,
    pub(super) sizes: BTreeMap<String, ServiceSize>,
    pub(super) list: ListPlan,
    pub(super) link_mode: LinkMode,
    pub(super) spare_instances: usize,
    pub(super) settings: Table,
    pub(super) reads_per_second: u32,
    pub(super) seed: u64,
}

impl FleetPlan {
    /// Makes a plan without data centres and services.
    pub fn new() -> FleetPlan {
        FleetPlan {
            centres: Vec::new(),
            sizes: BTreeMap::new(),
            list: ListPlan { keys: vec![KeyPlan::numbered(1)], ..ListPlan::default() },
            link_mode: LinkMode::Direct,
            spare_instances: 3,
            settings: Table::new(),
            reads_per_second: 2_000,
            seed: 1,
        }
    }

    /// Makes Lakeshore's plan: Toledo and Erie with `instances` each, the auction desk and lot
    /// intake with their targets spread over both, three members.
    pub fn lakeshore(instances: usize) -> FleetPlan {
        FleetPlan::new()
            .centre("toledo", instances)
            .centre("erie", instances)
            .service("auction-desk", "auction.lakeshore", ServiceSize::targets(7))
            .service("lot-intake", "lots.lakeshore", ServiceSize::targets(2))
            .member(MemberPlan::open("bricks-and-co"))
            .member(MemberPlan::open("harbor-sets"))
            .member(MemberPlan::open("pier-nine"))
    }

    /// Adds a data centre.
    pub fn centre(mut self, name: &str, instances: usize) -> FleetPlan {
        self.centres.push((name.to_owned(), instances));
        self
    }

    /// Adds a service, and a rule that serves everything for its address by it.
    pub fn service(mut self, name: &str, address: &str, size: ServiceSize) -> FleetPlan {
        self.sizes.insert(name.to_owned(), size);
        self.list.services.push(ServicePlan::new(name, address));
        self.list.rules.push(RulePlan::serve(&format!("all-{name}"), address, name));
        self
    }

    /// Adds a member.
    pub fn member(mut self, member: MemberPlan) -> FleetPlan {
        self.list.members.push(member);
        self
    }

    /// Puts a rule before all others.
    pub fn first_rule(mut self, rule: RulePlan) -> FleetPlan {
        self.list.rules.insert(0, rule);
        self
    }

    /// Sets the published keys.
    pub fn keys(mut self, keys: Vec<KeyPlan>) -> FleetPlan {
        self.list.keys = keys;
        self
    }

    /// Changes the list before it is published for the first time; targets are added at the start.
    pub fn edit_list(mut self, edit: impl FnOnce(&mut ListPlan)) -> FleetPlan {
        edit(&mut self.list);
        self
    }

    /// Sets how instances reach each other.
    pub fn link_mode(mut self, mode: LinkMode) -> FleetPlan {
        self.link_mode = mode;
        self
    }

    /// Sets how many instances can be added to each data centre of a routed fleet.
    pub fn spare_instances(mut self, count: usize) -> FleetPlan {
        self.spare_instances = count;
        self
    }

    /// Lays TOML tables such as `[flow]` over the settings of every instance.
    ///
    /// # Panics
    ///
    /// Panics when `text` is no TOML.
    pub fn settings(mut self, text: &str) -> FleetPlan {
        self.settings = text.parse().expect("settings of a plan are TOML");
        self
    }

    /// Sets the platform's ration.
    pub fn reads_per_second(mut self, reads: u32) -> FleetPlan {
        self.reads_per_second = reads;
        self
    }

    /// Sets the seed of fabrics and backend servers.
    pub fn seed(mut self, seed: u64) -> FleetPlan {
        self.seed = seed;
        self
    }
}

impl Default for FleetPlan {
    fn default() -> FleetPlan {
        FleetPlan::new()
    }
}
