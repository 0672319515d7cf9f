//! Finds rules that can never match because an earlier rule matches all of their flows.

use std::collections::HashMap;

use foxledge_core::traffic::TrafficKind;

use crate::{checks::BoundRule, list_findings::ListFindings, locations::ListLocation};

/// Adds a finding for each rule that is shadowed by one earlier rule.
///
/// Rules with findings about their conditions are skipped, as what was parsed of
/// them may match more than was intended.
pub(crate) fn check_shadows(findings: &ListFindings<'_>, rules: &[BoundRule<'_>]) {
    let mut interner = NameInterner::default();
    let all_conditions: Vec<_> =
        rules.iter().map(|rule| RuleConditions::new(&mut interner, rule)).collect();
    let mut earlier = EarlierRules::default();
    for (position, (rule, conditions)) in rules.iter().zip(&all_conditions).enumerate() {
        if !rule.is_comparable {
            continue;
        }
        let mut candidates = earlier.candidates(conditions).into_iter();
        let shadowing = candidates.find(|shadowing| all_conditions[*shadowing].covers(conditions));
        if let Some(shadowing) = shadowing {
            report_shadowed_rule(findings, &rules[shadowing], rule.location());
        }
        earlier.insert(position, conditions);
    }
}

fn report_shadowed_rule(
    findings: &ListFindings<'_>,
    shadowing: &BoundRule<'_>,
    location: ListLocation,
) {
    let name = shadowing.parsed.name.as_deref().unwrap_or_default();
    let shadowing_location = findings.format_location(shadowing.location());
    let text = format!(
        "never matches: the earlier rule \"{name}\" ({shadowing_location}) matches all its flows"
    );
    findings.add(location.part, &location.location, text);
}

/// Assigns an id to each name in the conditions of the rules.
#[derive(Default)]
struct NameInterner<'a> {
    ids: HashMap<&'a str, u32>,
}

impl<'a> NameInterner<'a> {
    fn intern(&mut self, name: &'a str) -> u32 {
        let next = self.ids.len() as u32;
        *self.ids.entry(name).or_insert(next)
    }

    fn intern_all(&mut self, names: impl Iterator<Item = &'a str>) -> NameSet {
        let mut ids: Vec<_> = names.map(|name| self.intern(name)).collect();
        ids.sort_unstable();
        let mask = ids.iter().fold(0, |mask, id| mask | 1 << (id % u64::BITS));
        NameSet { ids, mask }
    }
}

/// The names of one condition; an empty set matches every name.
struct NameSet {
    ids: Vec<u32>,
    /// One bit for each id modulo 64, which rules out most pairs of sets without a search.
    mask: u64,
}

impl NameSet {
    fn covers(&self, other: &NameSet) -> bool {
        if self.ids.is_empty() {
            return true;
        }
        if other.ids.is_empty() || other.mask & !self.mask != 0 {
            return false;
        }
        other.ids.iter().all(|id| self.ids.binary_search(id).is_ok())
    }
}

/// The conditions of one rule.
struct RuleConditions {
    addresses: NameSet,
    members: NameSet,
    centres: NameSet,
    kinds: u8,
}

impl RuleConditions {
    fn new<'a>(interner: &mut NameInterner<'a>, rule: &'a BoundRule<'_>) -> RuleConditions {
        let when = &rule.parsed.when;
        RuleConditions {
            addresses: interner.intern_all(rule.addresses.iter().map(|name| name.as_str())),
            members: interner.intern_all(when.members.iter().map(|name| name.as_str())),
            centres: interner.intern_all(when.data_centres.iter().map(|name| name.as_str())),
            kinds: kind_mask(&when.kinds),
        }
    }

    fn covers(&self, other: &RuleConditions) -> bool {
        other.kinds & !self.kinds == 0
            && self.centres.covers(&other.centres)
            && self.members.covers(&other.members)
            && self.addresses.covers(&other.addresses)
    }
}

fn kind_mask(kinds: &[TrafficKind]) -> u8 {
    let kinds = if kinds.is_empty() { &TrafficKind::ALL[..] } else { kinds };
    kinds.iter().fold(0, |mask, kind| mask | 1 << *kind as u8)
}

/// Finds the few earlier rules that could cover a rule.
///
/// A rule that covers another either names all of the other's members or has no
/// condition on members, and likewise for addresses. It is enough to check the
/// shorter of these two lists.
#[derive(Default)]
struct EarlierRules {
    addresses: ConditionIndex,
    members: ConditionIndex,
}

impl EarlierRules {
    fn insert(&mut self, rule: usize, conditions: &RuleConditions) {
        self.addresses.insert(rule, &conditions.addresses);
        self.members.insert(rule, &conditions.members);
    }

    fn candidates(&self, conditions: &RuleConditions) -> Vec<usize> {
        let by_address = self.addresses.candidates(&conditions.addresses);
        let by_member = self.members.candidates(&conditions.members);
        let shorter =
            if total_len(by_address) <= total_len(by_member) { by_address } else { by_member };
        let mut candidates = shorter.concat();
        // The finding names the first rule that covers the given one.
        candidates.sort_unstable();
        candidates
    }
}

fn total_len(lists: [&[usize]; 2]) -> usize {
    lists.iter().map(|list| list.len()).sum()
}

/// An index of the earlier rules by the names of one condition.
#[derive(Default)]
struct ConditionIndex {
    with_name: HashMap<u32, Vec<usize>>,
    without_condition: Vec<usize>,
}

impl ConditionIndex {
    fn insert(&mut self, rule: usize, names: &NameSet) {
        if names.ids.is_empty() {
            self.without_condition.push(rule);
        }
        for id in &names.ids {
            self.with_name.entry(*id).or_default().push(rule);
        }
    }

    /// Returns the rules without the condition, and the rules with the one of the names that the
    /// fewest rules have.
    fn candidates(&self, names: &NameSet) -> [&[usize]; 2] {
        let lists = names.ids.iter().map(|id| self.with_name(*id));
        let rarest = lists.min_by_key(|list| list.len()).unwrap_or(&[]);
        [&self.without_condition, rarest]
    }

    fn with_name(&self, id: u32) -> &[usize] {
        self.with_name.get(&id).map_or(&[], Vec::as_slice)
    }
}
