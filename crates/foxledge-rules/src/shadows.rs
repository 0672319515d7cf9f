//! Rules that can never match, because an earlier one takes all they match.

use std::collections::HashMap;

use foxledge_core::traffic::TrafficKind;

use crate::{checks::BoundRule, list_findings::ListFindings, locations::ListLocation};

/// Notes each rule whose matches are all taken by one earlier rule.
///
/// Rules that aren't sound are left out: what was read of them may match more
/// than what was meant.
pub(crate) fn check_shadows(sources: &ListFindings<'_>, rules: &[BoundRule<'_>]) {
    let mut numbers = NameInterner::default();
    let sets: Vec<_> = rules.iter().map(|rule| RuleConditions::new(&mut numbers, rule)).collect();
    let mut earlier = EarlierRules::default();
    for (number, (rule, set)) in rules.iter().zip(&sets).enumerate() {
        if !rule.is_comparable {
            continue;
        }
        let mut candidates = earlier.candidates(set).into_iter();
        let taker = candidates.find(|taker| sets[*taker].covers(set));
        if let Some(taker) = taker {
            report_shadowed_rule(sources, &rules[taker], rule.location());
        }
        earlier.insert(number, set);
    }
}

fn report_shadowed_rule(sources: &ListFindings<'_>, taker: &BoundRule<'_>, spot: ListLocation) {
    let name = taker.rule.name.as_deref().unwrap_or_default();
    let place = sources.format_location(taker.location());
    let text = format!("never matches: rule \"{name}\" ({place}) takes it all before");
    sources.add(spot.part, &spot.location, text);
}

/// `NameInterner` gives each name of a rule's conditions a number.
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
        let mut numbers: Vec<_> = names.map(|name| self.intern(name)).collect();
        numbers.sort_unstable();
        let mask = numbers.iter().fold(0, |mask, number| mask | 1 << (number % u64::BITS));
        NameSet { ids: numbers, mask }
    }
}

/// `NameSet` is the names of one condition; an empty one is every name.
struct NameSet {
    ids: Vec<u32>,
    /// One bit for each number modulo 64, to tell most sets apart at once.
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
        other.ids.iter().all(|number| self.ids.binary_search(number).is_ok())
    }
}

/// `RuleConditions` is the conditions of one rule.
struct RuleConditions {
    addresses: NameSet,
    members: NameSet,
    centres: NameSet,
    kinds: u8,
}

impl RuleConditions {
    fn new<'a>(numbers: &mut NameInterner<'a>, rule: &'a BoundRule<'_>) -> RuleConditions {
        let when = &rule.rule.when;
        RuleConditions {
            addresses: numbers.intern_all(rule.addresses.iter().map(|name| name.as_str())),
            members: numbers.intern_all(when.members.iter().map(|name| name.as_str())),
            centres: numbers.intern_all(when.data_centres.iter().map(|name| name.as_str())),
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

/// `EarlierRules` finds the few earlier rules that could cover a rule.
///
/// A rule that covers another has the same condition on members or none, and
/// likewise on addresses. The shortest of those lists is enough to look at.
#[derive(Default)]
struct EarlierRules {
    addresses: ConditionIndex,
    members: ConditionIndex,
}

impl EarlierRules {
    fn insert(&mut self, rule: usize, sets: &RuleConditions) {
        self.addresses.insert(rule, &sets.addresses);
        self.members.insert(rule, &sets.members);
    }

    fn candidates(&self, sets: &RuleConditions) -> Vec<usize> {
        let by_address = self.addresses.candidates(&sets.addresses);
        let by_member = self.members.candidates(&sets.members);
        let shorter =
            if total_len(by_address) <= total_len(by_member) { by_address } else { by_member };
        let mut candidates = shorter.concat();
        // The first rule that takes it all is the one to name.
        candidates.sort_unstable();
        candidates
    }
}

fn total_len(lists: [&[usize]; 2]) -> usize {
    lists.iter().map(|list| list.len()).sum()
}

/// `ConditionIndex` is the earlier rules by the names of one condition.
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
        for number in &names.ids {
            self.with_name.entry(*number).or_default().push(rule);
        }
    }

    /// The rules without the condition, and those with the rarest of the names.
    fn candidates(&self, names: &NameSet) -> [&[usize]; 2] {
        let lists = names.ids.iter().map(|number| self.with_name(*number));
        let rarest = lists.min_by_key(|list| list.len()).unwrap_or(&[]);
        [&self.without_condition, rarest]
    }

    fn with_name(&self, number: u32) -> &[usize] {
        self.with_name.get(&number).map_or(&[], Vec::as_slice)
    }
}
