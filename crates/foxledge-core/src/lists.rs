//! An accepted list: rules, services, members and keys under one revision.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use serde::Serialize;

use crate::{
    names::{CentreName, MemberName, RuleName, ServiceAddress, ServiceName, TargetName},
    traffic::TrafficKind,
};

/// `ListVersion` is which list: the platform's revision and a digest of the contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ListVersion {
    /// The platform's revision; 0 is before every list.
    pub revision: u64,
    /// Digest over the manifest's parts.
    pub digest: u64,
}

/// `PaidPriority` is what a member pays for: 0 is the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct PaidPriority(pub u8);

impl PaidPriority {
    /// Highest priority that a rule can give.
    pub const HIGHEST: PaidPriority = PaidPriority(7);
}

/// `FullAction` is what to do with a request when the service is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FullAction {
    /// Wait in the bounded queue.
    Queue,
    /// Refuse at once with when to come back.
    Refuse,
}

/// `FlowTreatment` is what a rule decides for the flows it matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowTreatment {
    /// Refuse the flow.
    Deny,
    /// Serve the flow.
    Serve(ServeTreatment),
}

/// `ServeTreatment` is how a matched flow is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServeTreatment {
    /// The service whose backend servers take the flow.
    pub service: ServiceName,
    /// Paid priority.
    pub priority: PaidPriority,
    /// Share among members of one priority, from 1.
    pub weight: u32,
    /// Most requests of one member in slots and queue at the home; 0 means no limit.
    pub member_limit: u32,
    /// What to do when full.
    pub when_full: FullAction,
}

/// `FlowMatch` is the when of a rule; an empty list matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowMatch {
    /// Service addresses.
    pub addresses: Vec<ServiceAddress>,
    /// Members.
    pub members: Vec<MemberName>,
    /// Data centres, of the instance that decides.
    pub data_centres: Vec<CentreName>,
    /// Kinds of traffic.
    pub kinds: Vec<TrafficKind>,
}

/// `FlowTraits` is what a rule can ask of a flow.
#[derive(Clone, Copy, Debug)]
pub struct FlowTraits<'a> {
    /// The service address that the caller wants.
    pub address: &'a str,
    /// The member that the flow belongs to.
    pub member: &'a str,
    /// Data centre of the deciding instance.
    pub data_centre: &'a str,
    /// Kind of traffic.
    pub kind: TrafficKind,
}

impl FlowMatch {
    /// True when every condition holds for the flow.
    pub fn matches(&self, flow: &FlowTraits<'_>) -> bool {
        has_or_any(&self.addresses, flow.address)
            && has_or_any(&self.members, flow.member)
            && has_or_any(&self.data_centres, flow.data_centre)
            && (self.kinds.is_empty() || self.kinds.contains(&flow.kind))
    }
}

fn has_or_any<N: AsStrName>(names: &[N], wanted: &str) -> bool {
    names.is_empty() || names.iter().any(|name| name.text() == wanted)
}

trait AsStrName {
    fn text(&self) -> &str;
}

macro_rules! as_str_name {
    ($($name:ident),*) => {
        $(impl AsStrName for $name {
            fn text(&self) -> &str {
                self.as_str()
            }
        })*
    };
}

as_str_name!(ServiceAddress, MemberName, CentreName);

/// `FlowRule` is one when-then rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FlowRule {
    /// Its name, unique in the list.
    pub name: RuleName,
    /// Which flows it matches.
    pub when: FlowMatch,
    /// What it decides.
    pub then: FlowTreatment,
}

/// `TargetSpec` is one backend server as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetSpec {
    /// Its name, unique in the service.
    pub name: TargetName,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Changes when another process takes the address over.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: CentreName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Open connections it can hold.
    pub connections: u32,
    /// Published as leaving: no new work.
    pub draining: bool,
}

/// `ServiceSpec` is one service as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Addresses that may lead to it.
    pub addresses: Vec<ServiceAddress>,
    /// Most requests that wait at one home.
    pub queue_limit: u32,
    /// Equal shards that its targets are split into, each with a home of its own; from 1.
    pub shards: u32,
    /// Its backend servers.
    pub targets: Vec<TargetSpec>,
}

/// `MemberSpec` is one member as published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberSpec {
    /// Its name.
    pub name: MemberName,
    /// Secret its callers prove membership with; empty when none is asked.
    #[serde(skip)]
    pub secret: Vec<u8>,
}

/// `KeySpec` is one key that tickets and flow tokens are sealed with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeySpec {
    /// Number carried in what the key sealed; the highest seals, all open.
    pub id: u32,
    /// The secret.
    #[serde(skip)]
    pub secret: Vec<u8>,
}

/// `RuleList` is an accepted list: all that operators publish, under one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleList {
    /// Which list this is.
    pub version: ListVersion,
    /// The rules in order; the first that matches decides.
    pub rules: Vec<FlowRule>,
    /// Services by name; lists that follow each other share those that stay the same.
    pub services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    /// Members by name; a flow of a member that isn't listed is refused.
    pub members: HashMap<MemberName, MemberSpec>,
    /// Keys, the newest last.
    pub keys: Vec<KeySpec>,
}

impl RuleList {
    /// The first rule that matches, or none.
    pub fn first_match(&self, flow: &FlowTraits<'_>) -> Option<&FlowRule> {
        self.rules.iter().find(|rule| rule.when.matches(flow))
    }

    /// The published target that has this address now, with its service.
    pub fn target_at(&self, address: SocketAddr) -> Option<(&ServiceSpec, &TargetSpec)> {
        self.services.values().find_map(|service| {
            let target = service.targets.iter().find(|target| target.address == address)?;
            Some((service.as_ref(), target))
        })
    }
}
