//! A list as read from its parts, before it is checked as a whole.

use std::sync::Arc;

use foxledge_core::{
    lists::{FlowMatch, FullAction, KeySpec, MemberSpec, PaidPriority, ServiceSpec, TargetSpec},
    names::{RuleName, ServiceAddress, ServiceName},
};

use crate::locations::{FieldPath, PartLocation, RowPath};

/// `ParsedPart` is everything that could be read of one part.
///
/// It doesn't know its part's name or place in the list, so that it can be kept
/// under the digest of the part's text alone.
///
/// Invariant: what couldn't be read is left out or none, and a finding says why.
#[derive(Debug, Default)]
pub(crate) struct ParsedPart {
    pub(crate) rules: Vec<ParsedRule>,
    pub(crate) services: Vec<ParsedService>,
    pub(crate) targets: Vec<ParsedTarget>,
    pub(crate) members: Vec<ParsedMember>,
    pub(crate) keys: Vec<ParsedKey>,
    pub(crate) findings: Vec<PartFinding>,
    /// The services that the part has targets of.
    pub(crate) target_counts: Vec<TargetCount>,
}

impl ParsedPart {
    /// Gives back the memory that growing left over.
    pub(crate) fn shrink(&mut self) {
        self.rules.shrink_to_fit();
        self.services.shrink_to_fit();
        self.targets.shrink_to_fit();
        self.members.shrink_to_fit();
        self.keys.shrink_to_fit();
    }

    /// The target of one of the part's drafts.
    pub(crate) fn target<'a>(&'a self, draft: &'a ParsedTarget) -> Option<&'a TargetSpec> {
        match &draft.storage {
            TargetStorage::Inline(target) => Some(target),
            TargetStorage::InService { service, target } => {
                let spec = self.services.get(*service as usize)?.spec.as_ref()?;
                spec.targets.get(*target as usize)
            }
        }
    }

    /// Services of other parts that this part has targets of.
    pub(crate) fn services_of_other_parts(&self) -> impl Iterator<Item = &ServiceName> {
        let foreign =
            self.target_counts.iter().filter(|count| count.scope == CountScope::OtherPart);
        foreign.map(|count| &count.service)
    }
}

/// `TargetCount` is how many targets of a service a part has.
#[derive(Debug)]
pub(crate) struct TargetCount {
    pub(crate) service: ServiceName,
    pub(crate) targets: usize,
    pub(crate) scope: CountScope,
}

/// `CountScope` is whether the counted targets stand beside their service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountScope {
    /// The service stands in the same part.
    SamePart,
    /// The service stands in another part, or nowhere.
    OtherPart,
}

/// `PartFinding` is one thing that is wrong in a part.
#[derive(Clone, Debug)]
pub(crate) struct PartFinding {
    pub(crate) line: usize,
    pub(crate) key: String,
    pub(crate) text: String,
}

/// `ParsedList` is the drafts of all parts in order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ParsedList<'a> {
    pub(crate) parts: &'a [Arc<ParsedPart>],
}

impl<'a> ParsedList<'a> {
    pub(crate) fn rules(self) -> impl Iterator<Item = (usize, &'a ParsedRule)> {
        self.rows(|part| &part.rules)
    }

    pub(crate) fn services(self) -> impl Iterator<Item = (usize, &'a ParsedService)> {
        self.rows(|part| &part.services)
    }

    pub(crate) fn targets(self) -> impl Iterator<Item = (usize, &'a ParsedTarget)> {
        self.rows(|part| &part.targets)
    }

    pub(crate) fn members(self) -> impl Iterator<Item = (usize, &'a ParsedMember)> {
        self.rows(|part| &part.members)
    }

    pub(crate) fn keys(self) -> impl Iterator<Item = (usize, &'a ParsedKey)> {
        self.rows(|part| &part.keys)
    }

    /// The rows of one kind, each with the index of its part.
    fn rows<T: 'a>(
        self,
        rows: impl Fn(&'a ParsedPart) -> &'a Vec<T>,
    ) -> impl Iterator<Item = (usize, &'a T)> {
        let parts = self.parts.iter().enumerate();
        parts.flat_map(move |(number, part)| rows(part).iter().map(move |row| (number, row)))
    }
}

/// `ParsedRule` is one rule.
#[derive(Debug)]
pub(crate) struct ParsedRule {
    pub(crate) location: PartLocation,
    pub(crate) name_location: PartLocation,
    pub(crate) name: Option<RuleName>,
    pub(crate) when: FlowMatch,
    pub(crate) address_locations: Vec<PartLocation>,
    pub(crate) member_locations: Vec<PartLocation>,
    pub(crate) then: Option<ParsedTreatment>,
    /// True while no finding says that what it matches was read wrong.
    pub(crate) is_fully_read: bool,
}

/// `ParsedTreatment` is what a rule decides.
#[derive(Debug)]
pub(crate) enum ParsedTreatment {
    Deny,
    Serve(ParsedServe),
}

/// `ParsedServe` is how a matched flow is served.
#[derive(Debug)]
pub(crate) struct ParsedServe {
    pub(crate) service: ServiceName,
    pub(crate) service_location: PartLocation,
    pub(crate) priority: PaidPriority,
    pub(crate) weight: u32,
    pub(crate) member_limit: u32,
    pub(crate) when_full: FullAction,
}

/// `ParsedService` is one service without its targets.
#[derive(Debug)]
pub(crate) struct ParsedService {
    pub(crate) location: PartLocation,
    pub(crate) name_location: PartLocation,
    pub(crate) name: Option<ServiceName>,
    pub(crate) addresses: Vec<(ServiceAddress, PartLocation)>,
    pub(crate) queue_limit: u32,
    pub(crate) shards: u32,
    pub(crate) shards_location: PartLocation,
    /// The service with the targets of its own part; none without a name.
    ///
    /// Lists that keep the part share it, so that whoever compares two lists
    /// knows by the address alone that nothing changed.
    pub(crate) spec: Option<Arc<ServiceSpec>>,
}

impl ParsedService {
    /// The service with these targets.
    pub(crate) fn to_spec(&self, name: &ServiceName, targets: Vec<TargetSpec>) -> ServiceSpec {
        ServiceSpec {
            name: name.clone(),
            addresses: self.addresses.iter().map(|(address, _)| address.clone()).collect(),
            queue_limit: self.queue_limit,
            shards: self.shards,
            targets,
        }
    }
}

/// `ParsedTarget` is one target and the service that it belongs to.
///
/// Small, as there are tens of thousands of them and each check walks over all.
#[derive(Debug)]
pub(crate) struct ParsedTarget {
    pub(crate) row: RowPath,
    pub(crate) name_line: u32,
    pub(crate) address_line: u32,
    pub(crate) service_line: u32,
    pub(crate) service: ServiceName,
    /// Equal for equal names of a service and its target.
    pub(crate) name_digest: u64,
    /// Equal for equal addresses.
    pub(crate) address_digest: u64,
    pub(crate) storage: TargetStorage,
}

/// `TargetPlace` is where in a part's draft a target is.
#[derive(Debug)]
pub(crate) enum TargetStorage {
    /// In the `spec` of a service of the part, by their indices.
    InService { service: u32, target: u32 },
    /// Here; the service stands in another part.
    Inline(Box<TargetSpec>),
}

impl ParsedTarget {
    pub(crate) fn name_location(&self) -> PartLocation {
        PartLocation { line: self.name_line, row: self.row, field: FieldPath::Name }
    }

    pub(crate) fn address_location(&self) -> PartLocation {
        PartLocation { line: self.address_line, row: self.row, field: FieldPath::Address }
    }

    /// Where the service is named: by the target, or by the service around it.
    pub(crate) fn service_location(&self) -> PartLocation {
        let field = match self.row {
            RowPath::NestedTarget(..) => FieldPath::Row,
            _ => FieldPath::Service,
        };
        PartLocation { line: self.service_line, row: self.row, field }
    }
}

/// `ParsedMember` is one member.
#[derive(Debug)]
pub(crate) struct ParsedMember {
    pub(crate) location: PartLocation,
    pub(crate) member: MemberSpec,
}

/// `ParsedKey` is one key.
#[derive(Debug)]
pub(crate) struct ParsedKey {
    pub(crate) location: PartLocation,
    pub(crate) key: KeySpec,
}
