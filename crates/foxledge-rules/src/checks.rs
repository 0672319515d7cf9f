//! Validates the parsed parts of a list as a whole.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet, hash_map::Entry},
    fmt,
    hash::Hash,
};

use foxledge_core::{
    hash::digest_of,
    names::{ServiceAddress, ServiceName, TargetName},
};

use crate::{
    assembler::{MAX_RULE_ADDRESSES, MAX_RULES},
    list_findings::ListFindings,
    locations::{ListLocation, PartLocation},
    parsed::{ParsedList, ParsedRule, ParsedService, ParsedTreatment},
    shadows::check_shadows,
};

/// Adds the findings that concern several rows or parts, and returns the rules with
/// the addresses that they match.
///
/// A rule without an address condition matches the addresses of its service.
pub(crate) fn check_list<'a>(
    findings: &ListFindings<'_>,
    list: ParsedList<'a>,
) -> Vec<BoundRule<'a>> {
    if let Some((part, rule)) = list.rules().nth(MAX_RULES) {
        findings.add(part, &rule.location, format!("exceeds the limit of {MAX_RULES} rules"));
        return Vec::new();
    }
    check_members_and_keys(findings, list);
    check_targets(findings, list);
    let index = ServiceIndex::build(findings, list);
    check_rule_names(findings, list);
    let rules = bind_rules(findings, &index, list);
    check_shadows(findings, &rules);
    rules
}

fn check_rule_names(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let members: HashSet<_> = list.members().map(|(_, member)| &member.member.name).collect();
    let names = list.rules().filter_map(|(_, rule)| rule.name.as_deref());
    if !are_unique(names.map(name_digest)) {
        report_duplicate_rules(findings, list);
    }
    for (part, rule) in list.rules() {
        for (member, location) in rule.when.members.iter().zip(&rule.member_locations) {
            if !members.contains(member) {
                findings.add(part, location, format!("no member \"{member}\""));
            }
        }
    }
}

fn report_duplicate_rules(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let mut names = NameRegistry::new();
    for (part, rule) in list.rules() {
        if let Some(name) = &rule.name {
            names.register(findings, name, part, rule.name_location);
        }
    }
}

/// A rule with the addresses that it matches in this list.
#[derive(Debug)]
pub(crate) struct BoundRule<'a> {
    pub(crate) part: usize,
    pub(crate) parsed: &'a ParsedRule,
    /// The addresses that the rule names, or else all addresses of its service.
    pub(crate) addresses: Cow<'a, [ServiceAddress]>,
    /// Whether the rule was parsed without findings, and its service and addresses are known, so
    /// that it can be compared with others.
    pub(crate) is_comparable: bool,
}

impl BoundRule<'_> {
    /// Returns the location of the rule.
    pub(crate) fn location(&self) -> ListLocation {
        ListLocation { part: self.part, location: self.parsed.location }
    }
}

/// Binds each rule to addresses of its own service.
///
/// A rule that matched an address of another service would send that service's
/// packets to the wrong backend servers, and callers would receive wrong answers.
/// In a list without findings, a rule with a service matches only addresses of that
/// service. Returns the rules that were bound before the limit on addresses was
/// exceeded.
fn bind_rules<'a>(
    findings: &ListFindings<'_>,
    index: &ServiceIndex<'a>,
    list: ParsedList<'a>,
) -> Vec<BoundRule<'a>> {
    let mut addresses = 0;
    let mut rules = Vec::new();
    for (part, rule) in list.rules() {
        let bound = bind_rule(findings, index, part, rule);
        // A rule without addresses implies all addresses of its service, so a small
        // list can imply very many addresses.
        addresses += bound.addresses.len();
        if addresses > MAX_RULE_ADDRESSES {
            let text = "raises the number of addresses of all rules above";
            findings.add(part, &rule.location, format!("{text} {MAX_RULE_ADDRESSES}"));
            break;
        }
        rules.push(bound);
    }
    rules
}

fn bind_rule<'a>(
    findings: &ListFindings<'_>,
    index: &ServiceIndex<'a>,
    part: usize,
    rule: &'a ParsedRule,
) -> BoundRule<'a> {
    let addresses = Cow::Borrowed(&rule.when.addresses[..]);
    let mut bound = BoundRule { part, parsed: rule, addresses, is_comparable: rule.is_fully_read };
    let located_addresses = rule.when.addresses.iter().zip(&rule.address_locations);
    let serve = match &rule.then {
        Some(ParsedTreatment::Serve(serve)) => serve,
        Some(ParsedTreatment::Deny) => {
            for (address, location) in located_addresses {
                if !index.owners.contains_key(address) {
                    findings.add(
                        part,
                        location,
                        format!("no service has the address \"{address}\""),
                    );
                }
            }
            return bound;
        }
        None => return bound,
    };
    let Some(service) = index.services.get(&serve.service) else {
        findings.add(part, &serve.service_location, format!("no service \"{}\"", serve.service));
        bound.is_comparable = false;
        return bound;
    };
    for (address, location) in located_addresses {
        if index.owners.get(address) != Some(&&serve.service) {
            let text = format!("\"{address}\" is not an address of service \"{}\"", serve.service);
            findings.add(part, location, text);
        }
    }
    if rule.when.addresses.is_empty() {
        bound.addresses = service.addresses.iter().map(|(address, _)| address.clone()).collect();
        // A service without a valid address has a finding of its own.
        bound.is_comparable &= !bound.addresses.is_empty();
    }
    bound
}

/// Records where each name or id is used first.
struct NameRegistry<N> {
    first_uses: HashMap<N, (usize, PartLocation)>,
}

impl<N: Eq + Hash + fmt::Display> NameRegistry<N> {
    fn new() -> NameRegistry<N> {
        NameRegistry { first_uses: HashMap::new() }
    }

    /// Registers a name; a name that is registered already is a finding.
    fn register(
        &mut self,
        findings: &ListFindings<'_>,
        name: N,
        part: usize,
        location: PartLocation,
    ) {
        match self.first_uses.entry(name) {
            Entry::Occupied(entry) => {
                let (earlier_part, earlier) = *entry.get();
                let location = ListLocation { part, location };
                let earlier = ListLocation { part: earlier_part, location: earlier };
                findings.add_duplicate(location, entry.key(), earlier);
            }
            Entry::Vacant(entry) => {
                entry.insert((part, location));
            }
        }
    }
}

fn check_members_and_keys(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let mut members = NameRegistry::new();
    for (part, member) in list.members() {
        members.register(findings, &member.member.name, part, member.location);
    }
    let mut keys = NameRegistry::new();
    for (part, key) in list.keys() {
        keys.register(findings, key.key.id, part, key.location);
    }
    if list.keys().next().is_none() {
        findings.add_to_list("has no [[key]], so no ticket could be sealed");
    }
}

/// Checks that targets have unique names and addresses, and that their services exist.
///
/// If two services shared a target address, packets for one service would reach the
/// other, and callers would receive answers of the wrong service.
fn check_targets(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let names = list.targets().map(|(_, target)| target.name_digest);
    let addresses = list.targets().map(|(_, target)| target.address_digest);
    if !are_unique(names) || !are_unique(addresses) {
        report_duplicate_targets(findings, list);
    }
    check_target_counts(findings, list);
}

fn report_duplicate_targets(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let mut names = NameRegistry::new();
    let mut addresses = NameRegistry::new();
    for (part, target) in list.targets() {
        let Some(spec) = list.parts[part].target(target) else { continue };
        let name = TargetPath { service: &target.service, target: &spec.name };
        names.register(findings, name, part, target.name_location());
        addresses.register(findings, spec.address, part, target.address_location());
    }
}

/// Checks that the service of each target exists and that each service has enough targets.
fn check_target_counts(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let services = list.services().filter_map(|(_, service)| service.name.as_ref());
    let mut counts: HashMap<&ServiceName, usize> = services.map(|name| (name, 0)).collect();
    let mut has_orphans = false;
    for count in list.parts.iter().flat_map(|part| &part.target_counts) {
        match counts.get_mut(&count.service) {
            Some(sum) => *sum += count.targets,
            None => has_orphans = true,
        }
    }
    if has_orphans {
        for (part, target) in list.targets() {
            if !counts.contains_key(&target.service) {
                let text = format!("no service \"{}\"", target.service);
                findings.add(part, &target.service_location(), text);
            }
        }
    }
    for (part, service) in list.services() {
        let count = service.name.as_ref().and_then(|name| counts.get(name)).copied();
        check_shards(findings, part, service, count.unwrap_or(0));
    }
}

/// Returns `true` if all digests differ, which implies that the digested names differ too.
///
/// Sorting digests costs a tenth of inserting names into a map. If digests are equal,
/// the caller compares the names themselves.
fn are_unique(digests: impl Iterator<Item = u64>) -> bool {
    let mut digests: Vec<_> = digests.collect();
    digests.sort_unstable();
    digests.windows(2).all(|pair| pair[0] != pair[1])
}

fn name_digest(name: &str) -> u64 {
    digest_of(name.as_bytes())
}

/// The name of a target, qualified by its service.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct TargetPath<'a> {
    service: &'a ServiceName,
    target: &'a TargetName,
}

impl fmt::Display for TargetPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.target)
    }
}

fn check_shards(findings: &ListFindings<'_>, part: usize, service: &ParsedService, targets: usize) {
    if targets == 0 {
        findings.add(part, &service.location, "has no target");
    } else if service.shards as usize > targets {
        let text = format!("must not be more than the number of the service's targets, {targets}");
        findings.add(part, &service.shards_location, text);
    }
}

fn report_duplicate_services(findings: &ListFindings<'_>, list: ParsedList<'_>) {
    let mut names = NameRegistry::new();
    let mut addresses = NameRegistry::new();
    for (part, service) in list.services() {
        for (address, location) in &service.addresses {
            addresses.register(findings, address, part, *location);
        }
        if let Some(name) = &service.name {
            names.register(findings, name, part, service.name_location);
        }
    }
}

/// An index of the services by name and by address.
struct ServiceIndex<'a> {
    services: HashMap<&'a ServiceName, &'a ParsedService>,
    owners: HashMap<&'a ServiceAddress, &'a ServiceName>,
}

impl<'a> ServiceIndex<'a> {
    /// Builds the index; duplicate names and addresses are findings.
    fn build(findings: &ListFindings<'_>, list: ParsedList<'a>) -> ServiceIndex<'a> {
        let names = list.services().filter_map(|(_, service)| service.name.as_deref());
        let addresses = list.services().flat_map(|(_, service)| &service.addresses);
        let addresses = addresses.map(|(address, _)| address.as_str());
        if !are_unique(names.map(name_digest)) || !are_unique(addresses.map(name_digest)) {
            report_duplicate_services(findings, list);
        }
        let mut index = ServiceIndex { services: HashMap::new(), owners: HashMap::new() };
        for (_, service) in list.services() {
            let Some(name) = &service.name else {
                continue;
            };
            index.services.entry(name).or_insert(service);
            for (address, _) in &service.addresses {
                index.owners.entry(address).or_insert(name);
            }
        }
        index
    }
}
