//! An accepted rule list: rules, services, members and keys under one revision.

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

/// Identifies a list by the platform's revision and a digest of its contents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ListVersion {
    /// The revision assigned by the platform; 0 before the first list.
    pub revision: u64,
    /// Digest over the parts of the manifest.
    pub digest: u64,
}

/// The priority that a member pays for; 0 is the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct PaidPriority(pub u8);

impl PaidPriority {
    /// The highest priority that a rule can assign.
    pub const HIGHEST: PaidPriority = PaidPriority(7);
}

/// What happens to a request while all slots of its service are busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FullAction {
    /// The request waits in the bounded queue.
    Queue,
    /// The request is refused immediately, with a time after which the caller may retry.
    Refuse,
}

/// How a rule has matched flows treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FlowTreatment {
    /// Refuse the flow.
    Deny,
    /// Serve the flow.
    Serve(ServeTreatment),
}

/// How a matched flow is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServeTreatment {
    /// The service whose backend servers handle the flow.
    pub service: ServiceName,
    /// The paid priority.
    pub priority: PaidPriority,
    /// Relative share among members of the same priority, from 1.
    pub weight: u32,
    /// The maximum number of one member's requests in slots and in the queue at the home instance,
    /// which schedules the service's requests; 0 means no limit.
    pub member_limit: u32,
    /// What happens while the service is full.
    pub when_full: FullAction,
}

/// The conditions of a rule; an empty list matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FlowMatch {
    /// Service addresses.
    pub addresses: Vec<ServiceAddress>,
    /// Members.
    pub members: Vec<MemberName>,
    /// Data centres in which the deciding instance may be located.
    pub data_centres: Vec<CentreName>,
    /// Kinds of traffic.
    pub kinds: Vec<TrafficKind>,
}

/// The properties of a flow that a rule can match.
#[derive(Clone, Copy, Debug)]
pub struct FlowTraits<'a> {
    /// The service address that the caller requests.
    pub address: &'a str,
    /// The member that the flow belongs to.
    pub member: &'a str,
    /// The data centre of the deciding instance.
    pub data_centre: &'a str,
    /// The kind of traffic.
    pub kind: TrafficKind,
}

impl FlowMatch {
    /// Returns `true` if the flow meets all conditions.
    pub fn matches(&self, flow: &FlowTraits<'_>) -> bool {
        is_empty_or_contains(&self.addresses, flow.address)
            && is_empty_or_contains(&self.members, flow.member)
            && is_empty_or_contains(&self.data_centres, flow.data_centre)
            && (self.kinds.is_empty() || self.kinds.contains(&flow.kind))
    }
}

fn is_empty_or_contains<N: AsStrName>(names: &[N], expected: &str) -> bool {
    names.is_empty() || names.iter().any(|name| name.text() == expected)
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

/// One rule: conditions and the decision for flows that meet them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FlowRule {
    /// The name, unique in the list.
    pub name: RuleName,
    /// The flows that the rule matches.
    pub when: FlowMatch,
    /// The decision for these flows.
    pub then: FlowTreatment,
}

/// One published backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetSpec {
    /// The name, unique in the service.
    pub name: TargetName,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The incarnation of the process at the address; changes when another process takes it over.
    pub incarnation: u64,
    /// The data centre.
    pub data_centre: CentreName,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
    /// `true` if it is published as draining and receives no new work.
    pub draining: bool,
}

/// One published service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceSpec {
    /// The name.
    pub name: ServiceName,
    /// Addresses that may resolve to the service.
    pub addresses: Vec<ServiceAddress>,
    /// The maximum number of requests in the queue of one home instance.
    pub queue_limit: u32,
    /// The number of equal shards of its backend servers, each with a home instance that schedules
    /// its requests; from 1.
    pub shards: u32,
    /// The backend servers of the service.
    pub targets: Vec<TargetSpec>,
}

/// One published member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberSpec {
    /// The name.
    pub name: MemberName,
    /// The secret with which callers prove their membership; empty if no proof is required.
    #[serde(skip)]
    pub secret: Vec<u8>,
}

/// A key that seals tickets and flow tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeySpec {
    /// The key id, which sealed values contain. The key with the highest id seals new values;
    /// values sealed with any published key can be opened.
    pub id: u32,
    /// The secret.
    #[serde(skip)]
    pub secret: Vec<u8>,
}

/// An accepted list: everything that operators publish under one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RuleList {
    /// The version of the list.
    pub version: ListVersion,
    /// The rules in order; the first match decides.
    pub rules: Vec<FlowRule>,
    /// Services by name; consecutive lists share the unchanged ones.
    pub services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    /// Members by name; flows of an unlisted member are refused.
    pub members: HashMap<MemberName, MemberSpec>,
    /// Keys, the newest last.
    pub keys: Vec<KeySpec>,
}

impl RuleList {
    /// Returns the first rule that matches the flow, if any.
    pub fn first_match(&self, flow: &FlowTraits<'_>) -> Option<&FlowRule> {
        self.rules.iter().find(|rule| rule.when.matches(flow))
    }

    /// Returns the published backend server with this address and its service, if any.
    pub fn target_at(&self, address: SocketAddr) -> Option<(&ServiceSpec, &TargetSpec)> {
        self.services.values().find_map(|service| {
            let target = service.targets.iter().find(|target| target.address == address)?;
            Some((service.as_ref(), target))
        })
    }
}
