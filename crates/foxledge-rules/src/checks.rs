//! Checks that look at the whole list.

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    hash::Hash,
};

use foxledge_core::names::{MemberName, ServiceAddress, ServiceName};

use crate::{
    build::{MAX_RULE_ADDRESSES, MAX_RULES},
    draft::{ListDraft, RuleDraft, ServiceDraft, ThenDraft},
    shadows::check_shadows,
    sources::{ListSources, ListSpot},
};

/// Notes what is wrong across tables and parts, and gives each rule without an
/// address condition the addresses of its service.
pub(crate) fn check_draft(sources: &ListSources, draft: &mut ListDraft) {
    if draft.rules.len() > MAX_RULES {
        let rule = &draft.rules[MAX_RULES];
        sources.add(&rule.spot, format!("is one rule more than {MAX_RULES}"));
        return;
    }
    check_members_and_keys(sources, draft);
    check_targets(sources, draft);
    let ListDraft { rules, services, members, .. } = draft;
    let book = ServiceBook::read(sources, services);
    let members = members.iter().map(|member| &member.member.name).collect();
    check_rule_names(sources, rules, &members);
    let bound = bind_rules(sources, &book, rules);
    check_shadows(sources, &rules[..bound]);
}

fn check_rule_names(sources: &ListSources, rules: &[RuleDraft], members: &HashSet<&MemberName>) {
    let mut names = NameBook::new();
    for rule in rules {
        if let Some(name) = &rule.name {
            names.enter(sources, name, &rule.name_spot);
        }
        for (member, spot) in rule.when.members.iter().zip(&rule.member_spots) {
            if !members.contains(member) {
                sources.add(spot, format!("no member \"{member}\""));
            }
        }
    }
}

/// Binds each rule to addresses of its own service.
///
/// A rule that matched another service's address would take that service's
/// packets to the wrong backend servers; callers would see wrong answers. After
/// this no rule that serves matches an address outside of its service. Returns
/// how many rules were bound before the addresses became too many.
fn bind_rules(sources: &ListSources, book: &ServiceBook<'_>, rules: &mut [RuleDraft]) -> usize {
    let mut addresses = 0;
    for (number, rule) in rules.iter_mut().enumerate() {
        bind_rule(sources, book, rule);
        // A rule without addresses implies all of its service, so that a small
        // list can imply very many.
        addresses += rule.when.addresses.len();
        if addresses > MAX_RULE_ADDRESSES {
            let text = "brings the addresses of all rules above";
            sources.add(&rule.spot, format!("{text} {MAX_RULE_ADDRESSES}"));
            return number;
        }
    }
    rules.len()
}

fn bind_rule(sources: &ListSources, book: &ServiceBook<'_>, rule: &mut RuleDraft) {
    let placed = rule.when.addresses.iter().zip(&rule.address_spots);
    let serve = match &rule.then {
        Some(ThenDraft::Serve(serve)) => serve,
        Some(ThenDraft::Deny) => {
            for (address, spot) in placed {
                if !book.owners.contains_key(address) {
                    sources.add(spot, format!("no service has the address \"{address}\""));
                }
            }
            return;
        }
        None => return,
    };
    let Some(service) = book.services.get(&serve.service) else {
        sources.add(&serve.service_spot, format!("no service \"{}\"", serve.service));
        rule.is_sound = false;
        return;
    };
    for (address, spot) in placed {
        if book.owners.get(address) != Some(&&serve.service) {
            let text = format!("\"{address}\" is no address of service \"{}\"", serve.service);
            sources.add(spot, text);
        }
    }
    if rule.when.addresses.is_empty() {
        rule.when.addresses =
            service.addresses.iter().map(|(address, _)| address.clone()).collect();
        // A service without a good address has a finding of its own.
        rule.is_sound &= !rule.when.addresses.is_empty();
    }
}

/// `NameBook` knows what names were given, and where first.
struct NameBook<'a, N> {
    first: HashMap<N, &'a ListSpot>,
}

impl<'a, N: Eq + Hash + Clone + std::fmt::Display> NameBook<'a, N> {
    fn new() -> NameBook<'a, N> {
        NameBook { first: HashMap::new() }
    }

    /// Enters a name; one that was entered before is a finding.
    fn enter(&mut self, sources: &ListSources, name: N, spot: &'a ListSpot) {
        match self.first.entry(name) {
            Entry::Occupied(entry) => sources.add_repeat(spot, entry.key(), entry.get()),
            Entry::Vacant(entry) => {
                entry.insert(spot);
            }
        }
    }
}

fn check_members_and_keys(sources: &ListSources, draft: &ListDraft) {
    let mut members = NameBook::new();
    for member in &draft.members {
        members.enter(sources, &member.member.name, &member.spot);
    }
    let mut keys = NameBook::new();
    for key in &draft.keys {
        keys.enter(sources, key.key.id, &key.spot);
    }
    if draft.keys.is_empty() {
        sources.add_whole("has no [[key]], so no ticket could be sealed");
    }
}

/// A target address that two services share would take one service's packets
/// to the other; callers would see answers of the wrong service.
fn check_targets(sources: &ListSources, draft: &ListDraft) {
    let mut names = NameBook::new();
    let mut addresses = NameBook::new();
    for target in &draft.targets {
        let name = format!("{}/{}", target.service, target.target.name);
        names.enter(sources, name, &target.name_spot);
        addresses.enter(sources, target.target.address, &target.address_spot);
    }
    let mut counts: HashMap<&ServiceName, usize> = HashMap::new();
    for target in &draft.targets {
        *counts.entry(&target.service).or_default() += 1;
    }
    let services: HashMap<_, _> = draft.services.iter().map(|s| (s.name.as_ref(), s)).collect();
    for target in &draft.targets {
        if !services.contains_key(&Some(&target.service)) {
            sources.add(&target.service_spot, format!("no service \"{}\"", target.service));
        }
    }
    for service in &draft.services {
        let count = service.name.as_ref().and_then(|name| counts.get(name)).copied();
        check_shards(sources, service, count.unwrap_or(0));
    }
}

fn check_shards(sources: &ListSources, service: &ServiceDraft, targets: usize) {
    if targets == 0 {
        sources.add(&service.spot, "has no target");
    } else if service.shards as usize > targets {
        let text = format!("must not be more than the number of the service's targets, {targets}");
        sources.add(&service.shards_spot, text);
    }
}

/// `ServiceBook` knows which service each address leads to.
struct ServiceBook<'a> {
    services: HashMap<&'a ServiceName, &'a ServiceDraft>,
    owners: HashMap<&'a ServiceAddress, &'a ServiceName>,
}

impl<'a> ServiceBook<'a> {
    /// Reads the services; names and addresses given twice are findings.
    fn read(sources: &ListSources, services: &'a [ServiceDraft]) -> ServiceBook<'a> {
        let mut names = NameBook::new();
        let mut addresses = NameBook::new();
        let mut book = ServiceBook { services: HashMap::new(), owners: HashMap::new() };
        for service in services {
            for (address, spot) in &service.addresses {
                addresses.enter(sources, address, spot);
            }
            let Some(name) = &service.name else {
                continue;
            };
            names.enter(sources, name, &service.name_spot);
            book.services.entry(name).or_insert(service);
            for (address, _) in &service.addresses {
                book.owners.entry(address).or_insert(name);
            }
        }
        book
    }
}
