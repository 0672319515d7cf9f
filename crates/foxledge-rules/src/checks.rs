//! Checks that look at the whole list.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet, hash_map::Entry},
    fmt,
    hash::Hash,
};

use foxledge_core::names::{ServiceAddress, ServiceName, TargetName};

use crate::{
    assembler::{MAX_RULE_ADDRESSES, MAX_RULES},
    draft::{ListDraft, RuleDraft, ServiceDraft, ThenDraft},
    shadows::check_shadows,
    sources::ListSources,
    spots::{ListSpot, PartSpot},
};

/// Notes what is wrong across tables and parts, and gives each rule without an
/// address condition the addresses of its service.
pub(crate) fn check_draft<'a>(
    sources: &ListSources<'_>,
    draft: ListDraft<'a>,
) -> Vec<BoundRule<'a>> {
    if let Some((part, rule)) = draft.rules().nth(MAX_RULES) {
        sources.add(part, &rule.spot, format!("is one rule more than {MAX_RULES}"));
        return Vec::new();
    }
    check_members_and_keys(sources, draft);
    check_targets(sources, draft);
    let book = ServiceBook::read(sources, draft);
    check_rule_names(sources, draft);
    let rules = bind_rules(sources, &book, draft);
    check_shadows(sources, &rules);
    rules
}

fn check_rule_names(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let members: HashSet<_> = draft.members().map(|(_, member)| &member.member.name).collect();
    let mut names = NameBook::new();
    for (part, rule) in draft.rules() {
        if let Some(name) = &rule.name {
            names.enter(sources, name, part, &rule.name_spot);
        }
        for (member, spot) in rule.when.members.iter().zip(&rule.member_spots) {
            if !members.contains(member) {
                sources.add(part, spot, format!("no member \"{member}\""));
            }
        }
    }
}

/// `BoundRule` is a rule with the addresses that it matches in this list.
#[derive(Debug)]
pub(crate) struct BoundRule<'a> {
    pub(crate) part: usize,
    pub(crate) draft: &'a RuleDraft,
    /// Its own, or those of its service.
    pub(crate) addresses: Cow<'a, [ServiceAddress]>,
    /// True while no finding says that what it matches was read wrong.
    pub(crate) is_sound: bool,
}

impl BoundRule<'_> {
    /// Where the rule stands.
    pub(crate) fn spot(&self) -> ListSpot {
        ListSpot { part: self.part, spot: self.draft.spot }
    }
}

/// Binds each rule to addresses of its own service.
///
/// A rule that matched another service's address would take that service's
/// packets to the wrong backend servers; callers would see wrong answers. After
/// this no rule that serves matches an address outside of its service. Returns
/// the rules that were bound before the addresses became too many.
fn bind_rules<'a>(
    sources: &ListSources<'_>,
    book: &ServiceBook<'a>,
    draft: ListDraft<'a>,
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
            sources.add(part, &rule.spot, format!("{text} {MAX_RULE_ADDRESSES}"));
            break;
        }
        rules.push(bound);
    }
    rules
}

fn bind_rule<'a>(
    sources: &ListSources<'_>,
    book: &ServiceBook<'a>,
    part: usize,
    rule: &'a RuleDraft,
) -> BoundRule<'a> {
    let addresses = Cow::Borrowed(&rule.when.addresses[..]);
    let mut bound = BoundRule { part, draft: rule, addresses, is_sound: rule.is_sound };
    let placed = rule.when.addresses.iter().zip(&rule.address_spots);
    let serve = match &rule.then {
        Some(ThenDraft::Serve(serve)) => serve,
        Some(ThenDraft::Deny) => {
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
        sources.add(part, &serve.service_spot, format!("no service \"{}\"", serve.service));
        bound.is_sound = false;
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
        bound.is_sound &= !bound.addresses.is_empty();
    }
    bound
}

/// `NameBook` knows what names were given, and where first.
struct NameBook<'a, N> {
    first: HashMap<N, (usize, &'a PartSpot)>,
}

impl<'a, N: Eq + Hash + Clone + std::fmt::Display> NameBook<'a, N> {
    fn new() -> NameBook<'a, N> {
        NameBook { first: HashMap::new() }
    }

    /// Enters a name; one that was entered before is a finding.
    fn enter(&mut self, sources: &ListSources<'_>, name: N, part: usize, spot: &'a PartSpot) {
        match self.first.entry(name) {
            Entry::Occupied(entry) => {
                let (earlier_part, earlier) = *entry.get();
                let spot = ListSpot { part, spot: *spot };
                let earlier = ListSpot { part: earlier_part, spot: *earlier };
                sources.add_repeat(spot, entry.key(), earlier);
            }
            Entry::Vacant(entry) => {
                entry.insert((part, spot));
            }
        }
    }
}

fn check_members_and_keys(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let mut members = NameBook::new();
    for (part, member) in draft.members() {
        members.enter(sources, &member.member.name, part, &member.spot);
    }
    let mut keys = NameBook::new();
    for (part, key) in draft.keys() {
        keys.enter(sources, key.key.id, part, &key.spot);
    }
    if draft.keys().next().is_none() {
        sources.add_whole("has no [[key]], so no ticket could be sealed");
    }
}

/// A target address that two services share would take one service's packets
/// to the other; callers would see answers of the wrong service.
fn check_targets(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let mut names = NameBook::new();
    let mut addresses = NameBook::new();
    for (part, target) in draft.targets() {
        let name = TargetKey { service: &target.service, target: &target.target.name };
        names.enter(sources, name, part, &target.name_spot);
        addresses.enter(sources, target.target.address, part, &target.address_spot);
    }
    let services = draft.services().filter_map(|(_, service)| service.name.as_ref());
    let mut counts: HashMap<&ServiceName, usize> = services.map(|name| (name, 0)).collect();
    for (part, target) in draft.targets() {
        match counts.get_mut(&target.service) {
            Some(count) => *count += 1,
            None => {
                let text = format!("no service \"{}\"", target.service);
                sources.add(part, &target.service_spot, text);
            }
        }
    }
    for (part, service) in draft.services() {
        let count = service.name.as_ref().and_then(|name| counts.get(name)).copied();
        check_shards(sources, part, service, count.unwrap_or(0));
    }
}

/// `TargetKey` is the name of a target in its service.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct TargetKey<'a> {
    service: &'a ServiceName,
    target: &'a TargetName,
}

impl fmt::Display for TargetKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.target)
    }
}

fn check_shards(sources: &ListSources<'_>, part: usize, service: &ServiceDraft, targets: usize) {
    if targets == 0 {
        sources.add(part, &service.spot, "has no target");
    } else if service.shards as usize > targets {
        let text = format!("must not be more than the number of the service's targets, {targets}");
        sources.add(part, &service.shards_spot, text);
    }
}

/// `ServiceBook` knows which service each address leads to.
struct ServiceBook<'a> {
    services: HashMap<&'a ServiceName, &'a ServiceDraft>,
    owners: HashMap<&'a ServiceAddress, &'a ServiceName>,
}

impl<'a> ServiceBook<'a> {
    /// Reads the services; names and addresses given twice are findings.
    fn read(sources: &ListSources<'_>, draft: ListDraft<'a>) -> ServiceBook<'a> {
        let mut names = NameBook::new();
        let mut addresses = NameBook::new();
        let mut book = ServiceBook { services: HashMap::new(), owners: HashMap::new() };
        for (part, service) in draft.services() {
            for (address, spot) in &service.addresses {
                addresses.enter(sources, address, part, spot);
            }
            let Some(name) = &service.name else {
                continue;
            };
            names.enter(sources, name, part, &service.name_spot);
            book.services.entry(name).or_insert(service);
            for (address, _) in &service.addresses {
                book.owners.entry(address).or_insert(name);
            }
        }
        book
    }
}
