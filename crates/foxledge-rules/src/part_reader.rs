//! Parses the tables of one part.

use std::{
    borrow::Borrow,
    collections::{HashMap, HashSet},
    hash::Hash,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    sync::Arc,
};

use foxledge_core::{
    findings::Finding,
    hash::{digest_of, rendezvous_weight},
    lists::{FlowMatch, FullAction, KeySpec, MemberSpec, PaidPriority, TargetSpec},
    names::{CentreName, MemberName, RuleName, ServiceAddress, ServiceName, TargetName},
    traffic::TrafficKind,
};
use foxledge_document::{KeyLocation, LocatedText, SourceFindings, TableReader, read_document};

use crate::{
    locations::{FieldPath, PartLocation, RowPath},
    parsed::{
        CountScope, ParsedKey, ParsedMember, ParsedPart, ParsedRule, ParsedServe, ParsedService,
        ParsedTarget, ParsedTreatment, PartFinding, TargetCount, TargetStorage,
    },
    secrets::parse_secret,
};

const U32_MAX: u64 = u32::MAX as u64;
const MAX_WEIGHT: u64 = 1_000_000;
const MAX_QUEUE_LIMIT: u64 = 1_000_000;
const MAX_SHARDS: u64 = 1000;
const MAX_SLOTS: u64 = 100_000;
const MAX_CONNECTIONS: u64 = 10_000_000;

/// Parses one part and collects its findings.
pub(crate) fn read_part(text: &str) -> ParsedPart {
    let findings = SourceFindings::new("", text);
    let part = read_document(&findings, text, |root| {
        let mut reader = PartReader {
            findings: &findings,
            part: ParsedPart::default(),
            services: NamePool::new(),
            centres: NamePool::new(),
        };
        reader.read_root(root);
        reader.part
    });
    let mut part = part.unwrap_or_default();
    part.findings = part_findings(findings);
    build_specs(&mut part);
    part.shrink();
    part
}

/// Moves the targets of the part into the specifications of their services, and counts
/// the targets by service.
fn build_specs(part: &mut ParsedPart) {
    let mut positions: HashMap<&ServiceName, u32> = HashMap::new();
    for (position, service) in (0..).zip(&part.services) {
        // A second service of the same name gets no targets, which doesn't matter, as the
        // check of the whole list reports the duplicate name.
        if let Some(name) = &service.name {
            positions.entry(name).or_insert(position);
        }
    }
    let mut targets: Vec<Vec<TargetSpec>> = Vec::new();
    targets.resize_with(part.services.len(), Vec::new);
    let mut other_counts: HashMap<&ServiceName, usize> = HashMap::new();
    for target in &mut part.targets {
        let Some(service) = positions.get(&target.service).copied() else {
            *other_counts.entry(&target.service).or_default() += 1;
            continue;
        };
        let service_targets = &mut targets[service as usize];
        let storage = TargetStorage::InService { service, target: service_targets.len() as u32 };
        if let TargetStorage::Inline(spec) = std::mem::replace(&mut target.storage, storage) {
            service_targets.push(*spec);
        }
    }
    let other_counts = other_counts.into_iter().map(|(service, targets)| TargetCount {
        service: service.clone(),
        targets,
        scope: CountScope::OtherPart,
    });
    let mut counts: Vec<_> = other_counts.collect();
    for (service, mut targets) in part.services.iter_mut().zip(targets) {
        let Some(name) = service.name.clone() else { continue };
        targets.shrink_to_fit();
        if !targets.is_empty() {
            let (service, targets) = (name.clone(), targets.len());
            counts.push(TargetCount { service, targets, scope: CountScope::SamePart });
        }
        service.spec = Some(Arc::new(service.to_spec(&name, targets)));
    }
    part.target_counts = counts;
}

fn part_findings(findings: SourceFindings) -> Vec<PartFinding> {
    let findings = findings.into_findings();
    let findings = findings.iter().cloned();
    findings.map(|Finding { line, key, text, .. }| PartFinding { line, key, text }).collect()
}

struct PartReader<'a> {
    findings: &'a SourceFindings,
    part: ParsedPart,
    services: NamePool<ServiceName>,
    centres: NamePool<CentreName>,
}

impl PartReader<'_> {
    fn read_root(&mut self, root: &TableReader<'_>) {
        for table in root.tables("rule") {
            let rule = self.read_rule(&table);
            self.part.rules.push(rule);
        }
        for table in root.tables("service") {
            self.read_service(&table);
        }
        for table in root.tables("target") {
            self.read_target(&table);
        }
        for table in root.tables("member") {
            let member = self.read_member(&table);
            self.part.members.extend(member);
        }
        for table in root.tables("key") {
            let key = self.read_key(&table);
            self.part.keys.extend(key);
        }
    }

    fn read_rule(&mut self, table: &TableReader<'_>) -> ParsedRule {
        let findings_before = self.findings.len();
        let row = RowPath::Rule(last_index(table.location()));
        let name = table.require("name", table.name("name"));
        let when = table.table("when");
        let addresses = when.names("address");
        let members = when.names("member");
        let centres = when.names("data_centre");
        let flow_match = FlowMatch {
            addresses: addresses.iter().map(|name| ServiceAddress::new(name.text)).collect(),
            members: members.iter().map(|name| MemberName::new(name.text)).collect(),
            data_centres: centres.iter().map(|name| self.centres.intern(name.text)).collect(),
            kinds: self.read_kinds(&when),
        };
        when.finish();
        let then = self.read_then(table, row);
        table.finish();
        ParsedRule {
            location: row_location(table, row),
            name_location: PartLocation::new(&table.location_of("name"), row, FieldPath::Name),
            name: name.map(RuleName::new),
            when: flow_match,
            address_locations: item_locations(&addresses, row, FieldPath::WhenAddress),
            member_locations: item_locations(&members, row, FieldPath::WhenMember),
            then,
            is_fully_read: self.findings.len() == findings_before,
        }
    }

    fn read_kinds(&self, when: &TableReader<'_>) -> Vec<TrafficKind> {
        let mut kinds = Vec::new();
        for kind_name in when.texts("kind") {
            match TrafficKind::from_str(kind_name.text) {
                Err(error) => self.findings.add(&kind_name.location, error.to_string()),
                Ok(kind) if kinds.contains(&kind) => {
                    self.findings.add(&kind_name.location, format!("\"{kind}\" stands twice"));
                }
                Ok(kind) => kinds.push(kind),
            }
        }
        kinds
    }

    fn read_then(&mut self, table: &TableReader<'_>, row: RowPath) -> Option<ParsedTreatment> {
        let then = table.require("then", table.optional_table("then"))?;
        if then.boolean("deny") == Some(true) {
            self.check_deny(&then);
            return Some(ParsedTreatment::Deny);
        }
        let service = then.require("service", then.name("service"));
        let priority = then.number_or("priority", 0..=PaidPriority::HIGHEST.0.into(), 0);
        let weight = then.number_or("weight", 1..=MAX_WEIGHT, 1);
        let member_limit = then.number_or("member_limit", 0..=U32_MAX, 0);
        let when_full = self.read_when_full(&then);
        then.finish();
        Some(ParsedTreatment::Serve(ParsedServe {
            service: self.services.intern(service?),
            service_location: PartLocation::new(
                &then.location_of("service"),
                row,
                FieldPath::ThenService,
            ),
            priority: PaidPriority(priority as u8),
            weight: weight as u32,
            member_limit: member_limit as u32,
            when_full,
        }))
    }

    /// Reports the keys that have no effect beside `deny`, as their author expects one.
    fn check_deny(&self, then: &TableReader<'_>) {
        for key in ["service", "priority", "weight", "member_limit", "when_full"] {
            if then.has_key(key) {
                then.add_finding(key, "has no effect beside deny");
            }
        }
        then.finish();
    }

    fn read_when_full(&self, then: &TableReader<'_>) -> FullAction {
        match then.text("when_full") {
            None | Some("queue") => FullAction::Queue,
            Some("refuse") => FullAction::Refuse,
            Some(_) => {
                then.add_finding("when_full", "must be \"queue\" or \"refuse\"");
                FullAction::Queue
            }
        }
    }

    fn read_service(&mut self, table: &TableReader<'_>) {
        let index = last_index(table.location());
        let row = RowPath::Service(index);
        let name = table.require("name", table.name("name"));
        let name = name.map(|name| self.services.intern(name));
        let addresses = table.names("addresses");
        table.require_non_empty("addresses");
        let queue_limit = table.number_or("queue_limit", 0..=MAX_QUEUE_LIMIT, 400) as u32;
        let shards = table.number_or("shards", 1..=MAX_SHARDS, 1) as u32;
        for inner in table.tables("target") {
            let row = RowPath::NestedTarget(index, last_index(inner.location()));
            let target = self.read_target_fields(&inner, row, name.clone(), inner.location().line);
            self.part.targets.extend(target);
        }
        table.finish();
        let locations = item_locations(&addresses, row, FieldPath::Addresses);
        let addresses = addresses.iter().map(|name| ServiceAddress::new(name.text));
        let service = ParsedService {
            location: row_location(table, row),
            name_location: PartLocation::new(&table.location_of("name"), row, FieldPath::Name),
            name,
            addresses: addresses.zip(locations).collect(),
            queue_limit,
            shards,
            shards_location: PartLocation::new(
                &table.location_of("shards"),
                row,
                FieldPath::Shards,
            ),
            spec: None,
        };
        self.part.services.push(service);
    }

    fn read_target(&mut self, table: &TableReader<'_>) {
        let row = RowPath::Target(last_index(table.location()));
        let service = table.require("service", table.name("service"));
        let service = service.map(|name| self.services.intern(name));
        let target =
            self.read_target_fields(table, row, service, table.location_of("service").line);
        self.part.targets.extend(target);
    }

    fn read_target_fields(
        &mut self,
        table: &TableReader<'_>,
        row: RowPath,
        service: Option<ServiceName>,
        service_line: usize,
    ) -> Option<ParsedTarget> {
        let name = table.require("name", table.name("name"));
        let address = table.require("address", table.address("address"));
        let incarnation = table.require("incarnation", table.number("incarnation", 1..=u64::MAX));
        let data_centre = table.require("data_centre", table.name("data_centre"));
        let slots = table.number_or("slots", 1..=MAX_SLOTS, 2) as u32;
        let connections = table.number_or("connections", 1..=MAX_CONNECTIONS, 2000) as u32;
        let draining = table.boolean("draining").unwrap_or(false);
        table.finish();
        if address.is_some_and(|address| address.ip().is_unspecified()) {
            table.add_finding("address", "must name one IP number");
        }
        let target = TargetSpec {
            name: TargetName::new(name?),
            address: address?,
            incarnation: incarnation?,
            data_centre: self.centres.intern(data_centre?),
            slots,
            connections,
            draining,
        };
        let service = service?;
        Some(ParsedTarget {
            row,
            name_line: table.location_of("name").line as u32,
            address_line: table.location_of("address").line as u32,
            service_line: service_line as u32,
            name_digest: rendezvous_weight(&service, &target.name),
            address_digest: address_digest(target.address),
            service,
            storage: TargetStorage::Inline(Box::new(target)),
        })
    }

    fn read_member(&self, table: &TableReader<'_>) -> Option<ParsedMember> {
        let row = RowPath::Member(last_index(table.location()));
        let name = table.require("name", table.name("name"));
        let secret = match table.text("secret") {
            Some(text) => self.read_secret(table, text).unwrap_or_default(),
            None => Vec::new(),
        };
        table.finish();
        let member = MemberSpec { name: MemberName::new(name?), secret };
        let location = PartLocation::new(&table.location_of("name"), row, FieldPath::Name);
        Some(ParsedMember { location, member })
    }

    fn read_key(&self, table: &TableReader<'_>) -> Option<ParsedKey> {
        let row = RowPath::Key(last_index(table.location()));
        let id = table.require("id", table.number("id", 1..=U32_MAX));
        let secret = table.require("secret", table.text("secret"));
        let secret = secret.and_then(|text| self.read_secret(table, text));
        table.finish();
        let key = KeySpec { id: id? as u32, secret: secret? };
        let location = PartLocation::new(&table.location_of("id"), row, FieldPath::Id);
        Some(ParsedKey { location, key })
    }

    fn read_secret(&self, table: &TableReader<'_>, text: &str) -> Option<Vec<u8>> {
        match parse_secret(text) {
            Ok(secret) => Some(secret),
            Err(error) => {
                table.add_finding("secret", error);
                None
            }
        }
    }
}

/// Interns names, so that equal names in a part share their text.
struct NamePool<N> {
    names: HashSet<N>,
}

impl<N: Clone + Eq + Hash + Borrow<str> + for<'t> From<&'t str>> NamePool<N> {
    fn new() -> NamePool<N> {
        NamePool { names: HashSet::new() }
    }

    fn intern(&mut self, text: &str) -> N {
        if let Some(name) = self.names.get(text) {
            return name.clone();
        }
        let name = N::from(text);
        self.names.insert(name.clone());
        name
    }
}

fn row_location(table: &TableReader<'_>, row: RowPath) -> PartLocation {
    PartLocation::new(table.location(), row, FieldPath::Row)
}

fn item_locations(
    names: &[LocatedText<'_>],
    row: RowPath,
    field: impl Fn(u32) -> FieldPath,
) -> Vec<PartLocation> {
    let locations = names
        .iter()
        .map(|name| PartLocation::new(&name.location, row, field(last_index(&name.location))));
    locations.collect()
}

/// Returns the index of the array item at a location.
fn last_index(location: &KeyLocation) -> u32 {
    location.path.last_index().unwrap_or_default() as u32
}

/// Returns a digest that is equal for equal addresses.
fn address_digest(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => digest_of(&ip.octets()),
    };
    ip.rotate_left(u16::BITS) ^ u64::from(address.port())
}
