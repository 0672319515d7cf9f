//! Checks that look at the whole list.

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

/// Notes what is wrong across tables and parts, and gives each rule without an
/// address condition the addresses of its service.
pub(crate) fn check_list<'a>(
    sources: &ListFindings<'_>,
    draft: ParsedList<'a>,
) -> Vec<BoundRule<'a>> {
    if let Some((part, rule)) = draft.rules().nth(MAX_RULES) {
        sources.add(part, &rule.location, format!("is one rule more than {MAX_RULES}"));
        return Vec::new();
    }
    check_members_and_keys(sources, draft);
    check_targets(sources, draft);
    let book = ServiceIndex::build(sources, draft);
    check_rule_names(sources, draft);
    let rules = bind_rules(sources, &book, draft);
    check_shadows(sources, &rules);
    rules
}

fn check_rule_names(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let members: HashSet<_> = draft.members().map(|(_, member)| &member.member.name).collect();
    let names = draft.rules().filter_map(|(_, rule)| rule.name.as_deref());
    if !are_unique(names.map(name_digest)) {
        report_duplicate_rules(sources, draft);
    }
    for (part, rule) in draft.rules() {
        for (member, spot) in rule.when.members.iter().zip(&rule.member_locations) {
            if !members.contains(member) {
                sources.add(part, spot, format!("no member \"{member}\""));
            }
        }
    }
}

fn report_duplicate_rules(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let mut names = NameRegistry::new();
    for (part, rule) in draft.rules() {
        if let Some(name) = &rule.name {
            names.register(sources, name, part, rule.name_location);
        }
    }
}

/// `BoundRule` is a rule with the addresses that it matches in this list.
#[derive(Debug)]
pub(crate) struct BoundRule<'a> {
    pub(crate) part: usize,
    pub(crate) rule: &'a ParsedRule,
    /// Its own, or those of its service.
    pub(crate) addresses: Cow<'a, [ServiceAddress]>,
    /// True while no finding says that what it matches was read wrong.
    pub(crate) is_comparable: bool,
}

impl BoundRule<'_> {
    /// Where the rule stands.
    pub(crate) fn location(&self) -> ListLocation {
        ListLocation { part: self.part, location: self.rule.location }
    }
}

/// Binds each rule to addresses of its own service.
///
/// A rule that matched another service's address would take that service's
/// packets to the wrong backend servers; callers would see wrong answers. After
/// this no rule that serves matches an address outside of its service. Returns
/// the rules that were bound before the addresses became too many.
fn bind_rules<'a>(
    sources: &ListFindings<'_>,
    book: &ServiceIndex<'a>,
    draft: ParsedList<'a>,
) -> Vec<BoundRule<'a>> {
    let mut addresses = 0;
    let mut rules = Vec::new();
    for (part, rule) in draft.rules() {
        let bound = bind_rule(sources, book, part, rule);
        // A rule without addresses implies all of its service, so that a small
        // list can imply very many.
        addresses += bound.addresses.len();
        if addresses > MAX_RULE_ADDRESSES {
            let text = "brings the addresses of all rules above";
            sources.add(part, &rule.location, format!("{text} {MAX_RULE_ADDRESSES}"));
            break;
        }
        rules.push(bound);
    }
    rules
}

fn bind_rule<'a>(
    sources: &ListFindings<'_>,
    book: &ServiceIndex<'a>,
    part: usize,
    rule: &'a ParsedRule,
) -> BoundRule<'a> {
    let addresses = Cow::Borrowed(&rule.when.addresses[..]);
    let mut bound = BoundRule { part, rule: rule, addresses, is_comparable: rule.is_fully_read };
    let placed = rule.when.addresses.iter().zip(&rule.address_locations);
    let serve = match &rule.then {
        Some(ParsedTreatment::Serve(serve)) => serve,
        Some(ParsedTreatment::Deny) => {
            for (address, spot) in placed {
                if !book.owners.contains_key(address) {
                    sources.add(part, spot, format!("no service has the address \"{address}\""));
                }
            }
            return bound;
        }
        None => return bound,
    };
    let Some(service) = book.services.get(&serve.service) else {
        sources.add(part, &serve.service_location, format!("no service \"{}\"", serve.service));
        bound.is_comparable = false;
        return bound;
    };
    for (address, spot) in placed {
        if book.owners.get(address) != Some(&&serve.service) {
            let text = format!("\"{address}\" is no address of service \"{}\"", serve.service);
            sources.add(part, spot, text);
        }
    }
    if rule.when.addresses.is_empty() {
        bound.addresses = service.addresses.iter().map(|(address, _)| address.clone()).collect();
        // A service without a good address has a finding of its own.
        bound.is_comparable &= !bound.addresses.is_empty();
    }
    bound
}

/// `NameRegistry` knows what names were given, and where first.
struct NameRegistry<N> {
    first_uses: HashMap<N, (usize, PartLocation)>,
}

impl<N: Eq + Hash + fmt::Display> NameRegistry<N> {
    fn new() -> NameRegistry<N> {
        NameRegistry { first_uses: HashMap::new() }
    }

    /// Enters a name; one that was entered before is a finding.
    fn register(&mut self, sources: &ListFindings<'_>, name: N, part: usize, spot: PartLocation) {
        match self.first_uses.entry(name) {
            Entry::Occupied(entry) => {
                let (earlier_part, earlier) = *entry.get();
                let spot = ListLocation { part, location: spot };
                let earlier = ListLocation { part: earlier_part, location: earlier };
                sources.add_duplicate(spot, entry.key(), earlier);
            }
            Entry::Vacant(entry) => {
                entry.insert((part, spot));
            }
        }
    }
}

fn check_members_and_keys(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let mut members = NameRegistry::new();
    for (part, member) in draft.members() {
        members.register(sources, &member.member.name, part, member.location);
    }
    let mut keys = NameRegistry::new();
    for (part, key) in draft.keys() {
        keys.register(sources, key.key.id, part, key.location);
    }
    if draft.keys().next().is_none() {
        sources.add_to_list("has no [[key]], so no ticket could be sealed");
    }
}

/// A target address that two services share would take one service's packets
/// to the other; callers would see answers of the wrong service.
fn check_targets(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let names = draft.targets().map(|(_, target)| target.name_digest);
    let addresses = draft.targets().map(|(_, target)| target.address_digest);
    if !are_unique(names) || !are_unique(addresses) {
        report_duplicate_targets(sources, draft);
    }
    check_target_counts(sources, draft);
}

fn report_duplicate_targets(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let mut names = NameRegistry::new();
    let mut addresses = NameRegistry::new();
    for (part, target) in draft.targets() {
        let Some(spec) = draft.parts[part].target(target) else { continue };
        let name = TargetPath { service: &target.service, target: &spec.name };
        names.register(sources, name, part, target.name_location());
        addresses.register(sources, spec.address, part, target.address_location());
    }
}

/// Checks that each target has a service, and each service enough targets.
fn check_target_counts(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let services = draft.services().filter_map(|(_, service)| service.name.as_ref());
    let mut counts: HashMap<&ServiceName, usize> = services.map(|name| (name, 0)).collect();
    let mut has_strays = false;
    for count in draft.parts.iter().flat_map(|part| &part.target_counts) {
        match counts.get_mut(&count.service) {
            Some(sum) => *sum += count.targets,
            None => has_strays = true,
        }
    }
    if has_strays {
        for (part, target) in draft.targets() {
            if !counts.contains_key(&target.service) {
                let text = format!("no service \"{}\"", target.service);
                sources.add(part, &target.service_location(), text);
            }
        }
    }
    for (part, service) in draft.services() {
        let count = service.name.as_ref().and_then(|name| counts.get(name)).copied();
        check_shards(sources, part, service, count.unwrap_or(0));
    }
}

/// True when all digests differ, and so all names that they were made of.
///
/// Sorting numbers costs a tenth of entering names in a map. Names whose digests
/// happen to be equal are compared by their text after that.
fn are_unique(digests: impl Iterator<Item = u64>) -> bool {
    let mut digests: Vec<_> = digests.collect();
    digests.sort_unstable();
    digests.windows(2).all(|pair| pair[0] != pair[1])
}

fn name_digest(name: &str) -> u64 {
    digest_of(name.as_bytes())
}

/// `TargetPath` is the name of a target in its service.
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

fn check_shards(sources: &ListFindings<'_>, part: usize, service: &ParsedService, targets: usize) {
    if targets == 0 {
        sources.add(part, &service.location, "has no target");
    } else if service.shards as usize > targets {
        let text = format!("must not be more than the number of the service's targets, {targets}");
        sources.add(part, &service.shards_location, text);
    }
}

fn report_duplicate_services(sources: &ListFindings<'_>, draft: ParsedList<'_>) {
    let mut names = NameRegistry::new();
    let mut addresses = NameRegistry::new();
    for (part, service) in draft.services() {
        for (address, spot) in &service.addresses {
            addresses.register(sources, address, part, *spot);
        }
        if let Some(name) = &service.name {
            names.register(sources, name, part, service.name_location);
        }
    }
}

/// `ServiceIndex` knows which service each address leads to.
struct ServiceIndex<'a> {
    services: HashMap<&'a ServiceName, &'a ParsedService>,
    owners: HashMap<&'a ServiceAddress, &'a ServiceName>,
}

impl<'a> ServiceIndex<'a> {
    /// Reads the services; names and addresses given twice are findings.
    fn build(sources: &ListFindings<'_>, draft: ParsedList<'a>) -> ServiceIndex<'a> {
        let names = draft.services().filter_map(|(_, service)| service.name.as_deref());
        let addresses = draft.services().flat_map(|(_, service)| &service.addresses);
        let addresses = addresses.map(|(address, _)| address.as_str());
        if !are_unique(names.map(name_digest)) || !are_unique(addresses.map(name_digest)) {
            report_duplicate_services(sources, draft);
        }
        let mut book = ServiceIndex { services: HashMap::new(), owners: HashMap::new() };
        for (_, service) in draft.services() {
            let Some(name) = &service.name else {
                continue;
            };
            book.services.entry(name).or_insert(service);
            for (address, _) in &service.addresses {
                book.owners.entry(address).or_insert(name);
            }
        }
        book
    }
}
