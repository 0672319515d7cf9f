//! The parsed parts of a list, before the list is validated as a whole.

use std::sync::Arc;

use foxledge_core::{
    lists::{FlowMatch, FullAction, KeySpec, MemberSpec, PaidPriority, ServiceSpec, TargetSpec},
    names::{RuleName, ServiceAddress, ServiceName},
};

use crate::locations::{FieldPath, PartLocation, RowPath};

/// The rows parsed from one part.
///
/// It contains neither the name of the part nor its position in the list, so that it
/// can be cached by the digest of the part's text alone.
///
/// Invariant: rows and fields that couldn't be parsed are omitted or `None`, and a
/// finding gives the reason.
#[derive(Debug, Default)]
pub(crate) struct ParsedPart {
    pub(crate) rules: Vec<ParsedRule>,
    pub(crate) services: Vec<ParsedService>,
    pub(crate) targets: Vec<ParsedTarget>,
    pub(crate) members: Vec<ParsedMember>,
    pub(crate) keys: Vec<ParsedKey>,
    pub(crate) findings: Vec<PartFinding>,
    /// The number of targets in the part by service.
    pub(crate) target_counts: Vec<TargetCount>,
}

impl ParsedPart {
    /// Releases the unused capacity of the vectors.
    pub(crate) fn shrink(&mut self) {
        self.rules.shrink_to_fit();
        self.services.shrink_to_fit();
        self.targets.shrink_to_fit();
        self.members.shrink_to_fit();
        self.keys.shrink_to_fit();
    }

    /// Returns the specification of one of the part's targets.
    pub(crate) fn target<'a>(&'a self, target: &'a ParsedTarget) -> Option<&'a TargetSpec> {
        match &target.storage {
            TargetStorage::Inline(spec) => Some(spec),
            TargetStorage::InService { service, target } => {
                let spec = self.services.get(*service as usize)?.spec.as_ref()?;
                spec.targets.get(*target as usize)
            }
        }
    }

    /// Iterates over the services that aren't in this part but have targets in it.
    pub(crate) fn services_of_other_parts(&self) -> impl Iterator<Item = &ServiceName> {
        let counts = self.target_counts.iter().filter(|count| count.scope == CountScope::OtherPart);
        counts.map(|count| &count.service)
    }
}

/// The number of targets of one service in a part.
#[derive(Debug)]
pub(crate) struct TargetCount {
    pub(crate) service: ServiceName,
    pub(crate) targets: usize,
    pub(crate) scope: CountScope,
}

/// Whether the counted targets are in the same part as their service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountScope {
    /// The service is in the same part.
    SamePart,
    /// The service is in another part or doesn't exist.
    OtherPart,
}

/// One problem in a part.
#[derive(Clone, Debug)]
pub(crate) struct PartFinding {
    pub(crate) line: usize,
    pub(crate) key: String,
    pub(crate) text: String,
}

/// The parsed parts of a list in order.
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

    /// Iterates over the rows of one kind, each with the index of its part.
    fn rows<T: 'a>(
        self,
        rows: impl Fn(&'a ParsedPart) -> &'a Vec<T>,
    ) -> impl Iterator<Item = (usize, &'a T)> {
        let parts = self.parts.iter().enumerate();
        parts.flat_map(move |(index, part)| rows(part).iter().map(move |row| (index, row)))
    }
}

/// A parsed rule.
#[derive(Debug)]
pub(crate) struct ParsedRule {
    pub(crate) location: PartLocation,
    pub(crate) name_location: PartLocation,
    pub(crate) name: Option<RuleName>,
    pub(crate) when: FlowMatch,
    pub(crate) address_locations: Vec<PartLocation>,
    pub(crate) member_locations: Vec<PartLocation>,
    pub(crate) then: Option<ParsedTreatment>,
    /// Whether the rule was parsed without findings.
    pub(crate) is_fully_read: bool,
}

/// What a rule does with the flows that it matches.
#[derive(Debug)]
pub(crate) enum ParsedTreatment {
    Deny,
    Serve(ParsedServe),
}

/// How a rule serves the flows that it matches.
#[derive(Debug)]
pub(crate) struct ParsedServe {
    pub(crate) service: ServiceName,
    pub(crate) service_location: PartLocation,
    pub(crate) priority: PaidPriority,
    pub(crate) weight: u32,
    pub(crate) member_limit: u32,
    pub(crate) when_full: FullAction,
}

/// A parsed service.
#[derive(Debug)]
pub(crate) struct ParsedService {
    pub(crate) location: PartLocation,
    pub(crate) name_location: PartLocation,
    pub(crate) name: Option<ServiceName>,
    pub(crate) addresses: Vec<(ServiceAddress, PartLocation)>,
    pub(crate) queue_limit: u32,
    pub(crate) shards: u32,
    pub(crate) shards_location: PartLocation,
    /// The service with the targets of its own part; `None` if the service has no name.
    ///
    /// Lists that contain the same part share this allocation, so that a comparison of
    /// two lists can recognise an unchanged service by its pointer.
    pub(crate) spec: Option<Arc<ServiceSpec>>,
}

impl ParsedService {
    /// Creates the specification of the service with these targets.
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

/// A parsed target and the service that it belongs to.
///
/// It is kept small, as a list has tens of thousands of targets and each check
/// iterates over all of them.
#[derive(Debug)]
pub(crate) struct ParsedTarget {
    pub(crate) row: RowPath,
    pub(crate) name_line: u32,
    pub(crate) address_line: u32,
    pub(crate) service_line: u32,
    pub(crate) service: ServiceName,
    /// The digest of the names of the service and the target.
    pub(crate) name_digest: u64,
    /// The digest of the address.
    pub(crate) address_digest: u64,
    pub(crate) storage: TargetStorage,
}

/// Where the specification of a parsed target is stored.
#[derive(Debug)]
pub(crate) enum TargetStorage {
    /// In the `spec` of a service in the same part, by the indices of the service and the target.
    InService { service: u32, target: u32 },
    /// In the target itself, because its service is in another part.
    Inline(Box<TargetSpec>),
}

impl ParsedTarget {
    pub(crate) fn name_location(&self) -> PartLocation {
        PartLocation { line: self.name_line, row: self.row, field: FieldPath::Name }
    }

    pub(crate) fn address_location(&self) -> PartLocation {
        PartLocation { line: self.address_line, row: self.row, field: FieldPath::Address }
    }

    /// Returns where the service is named: in the target or in the enclosing service.
    pub(crate) fn service_location(&self) -> PartLocation {
        let field = match self.row {
            RowPath::NestedTarget(..) => FieldPath::Row,
            _ => FieldPath::Service,
        };
        PartLocation { line: self.service_line, row: self.row, field }
    }
}

/// A parsed member.
#[derive(Debug)]
pub(crate) struct ParsedMember {
    pub(crate) location: PartLocation,
    pub(crate) member: MemberSpec,
}

/// A parsed key.
#[derive(Debug)]
pub(crate) struct ParsedKey {
    pub(crate) location: PartLocation,
    pub(crate) key: KeySpec,
}
