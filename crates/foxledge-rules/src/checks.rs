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
    let names = draft.rules().filter_map(|(_, rule)| rule.name.as_deref());
    if !all_differ(names.map(name_digest)) {
        note_rule_repeats(sources, draft);
    }
    for (part, rule) in draft.rules() {
        for (member, spot) in rule.when.members.iter().zip(&rule.member_spots) {
            if !members.contains(member) {
                sources.add(part, spot, format!("no member \"{member}\""));
            }
        }
    }
}

fn note_rule_repeats(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let mut names = NameBook::new();
    for (part, rule) in draft.rules() {
        if let Some(name) = &rule.name {
            names.enter(sources, name, part, rule.name_spot);
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
struct NameBook<N> {
    first: HashMap<N, (usize, PartSpot)>,
}

impl<N: Eq + Hash + fmt::Display> NameBook<N> {
    fn new() -> NameBook<N> {
        NameBook { first: HashMap::new() }
    }

    /// Enters a name; one that was entered before is a finding.
    fn enter(&mut self, sources: &ListSources<'_>, name: N, part: usize, spot: PartSpot) {
        match self.first.entry(name) {
            Entry::Occupied(entry) => {
                let (earlier_part, earlier) = *entry.get();
                let spot = ListSpot { part, spot };
                let earlier = ListSpot { part: earlier_part, spot: earlier };
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
        members.enter(sources, &member.member.name, part, member.spot);
    }
    let mut keys = NameBook::new();
    for (part, key) in draft.keys() {
        keys.enter(sources, key.key.id, part, key.spot);
    }
    if draft.keys().next().is_none() {
        sources.add_whole("has no [[key]], so no ticket could be sealed");
    }
}

/// A target address that two services share would take one service's packets
/// to the other; callers would see answers of the wrong service.
fn check_targets(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let names = draft.targets().map(|(_, target)| target.name_digest);
    let addresses = draft.targets().map(|(_, target)| target.address_digest);
    if !all_differ(names) || !all_differ(addresses) {
        note_target_repeats(sources, draft);
    }
    check_target_counts(sources, draft);
}

fn note_target_repeats(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let mut names = NameBook::new();
    let mut addresses = NameBook::new();
    for (part, target) in draft.targets() {
        let Some(spec) = draft.parts[part].target(target) else { continue };
        let name = TargetKey { service: &target.service, target: &spec.name };
        names.enter(sources, name, part, target.name_spot());
        addresses.enter(sources, spec.address, part, target.address_spot());
    }
}

/// Checks that each target has a service, and each service enough targets.
fn check_target_counts(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let services = draft.services().filter_map(|(_, service)| service.name.as_ref());
    let mut counts: HashMap<&ServiceName, usize> = services.map(|name| (name, 0)).collect();
    let mut has_strays = false;
    for count in draft.parts.iter().flat_map(|part| &part.counts) {
        match counts.get_mut(&count.service) {
            Some(sum) => *sum += count.targets,
            None => has_strays = true,
        }
    }
    if has_strays {
        for (part, target) in draft.targets() {
            if !counts.contains_key(&target.service) {
                let text = format!("no service \"{}\"", target.service);
                sources.add(part, &target.service_spot(), text);
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
fn all_differ(digests: impl Iterator<Item = u64>) -> bool {
    let mut digests: Vec<_> = digests.collect();
    digests.sort_unstable();
    digests.windows(2).all(|pair| pair[0] != pair[1])
}

fn name_digest(name: &str) -> u64 {
    digest_of(name.as_bytes())
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

fn note_service_repeats(sources: &ListSources<'_>, draft: ListDraft<'_>) {
    let mut names = NameBook::new();
    let mut addresses = NameBook::new();
    for (part, service) in draft.services() {
        for (address, spot) in &service.addresses {
            addresses.enter(sources, address, part, *spot);
        }
        if let Some(name) = &service.name {
            names.enter(sources, name, part, service.name_spot);
        }
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
        let names = draft.services().filter_map(|(_, service)| service.name.as_deref());
        let addresses = draft.services().flat_map(|(_, service)| &service.addresses);
        let addresses = addresses.map(|(address, _)| address.as_str());
        if !all_differ(names.map(name_digest)) || !all_differ(addresses.map(name_digest)) {
            note_service_repeats(sources, draft);
        }
        let mut book = ServiceBook { services: HashMap::new(), owners: HashMap::new() };
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
