//! Rules that can never match, because an earlier one takes all they match.

use std::collections::HashMap;

use foxledge_core::traffic::TrafficKind;

use crate::{checks::BoundRule, sources::ListSources, spots::ListSpot};

/// Notes each rule whose matches are all taken by one earlier rule.
///
/// Rules that aren't sound are left out: what was read of them may match more
/// than what was meant.
pub(crate) fn check_shadows(sources: &ListSources<'_>, rules: &[BoundRule<'_>]) {
    let mut numbers = NameNumbers::default();
    let sets: Vec<_> = rules.iter().map(|rule| RuleSets::new(&mut numbers, rule)).collect();
    let mut earlier = EarlierRules::default();
    for (number, (rule, set)) in rules.iter().zip(&sets).enumerate() {
        if !rule.is_sound {
            continue;
        }
        let mut candidates = earlier.candidates(set).into_iter();
        let taker = candidates.find(|taker| sets[*taker].covers(set));
        if let Some(taker) = taker {
            note_shadow(sources, &rules[taker], rule.spot());
        }
        earlier.enter(number, set);
    }
}

fn note_shadow(sources: &ListSources<'_>, taker: &BoundRule<'_>, spot: ListSpot) {
    let name = taker.draft.name.as_deref().unwrap_or_default();
    let place = sources.describe(taker.spot());
    let text = format!("never matches: rule \"{name}\" ({place}) takes it all before");
    sources.add(spot.part, &spot.spot, text);
}

/// `NameNumbers` gives each name of a rule's conditions a number.
#[derive(Default)]
struct NameNumbers<'a> {
    numbers: HashMap<&'a str, u32>,
}

impl<'a> NameNumbers<'a> {
    fn number(&mut self, name: &'a str) -> u32 {
        let next = self.numbers.len() as u32;
        *self.numbers.entry(name).or_insert(next)
    }

    fn set(&mut self, names: impl Iterator<Item = &'a str>) -> NameSet {
        let mut numbers: Vec<_> = names.map(|name| self.number(name)).collect();
        numbers.sort_unstable();
        let mask = numbers.iter().fold(0, |mask, number| mask | 1 << (number % u64::BITS));
        NameSet { numbers, mask }
    }
}

/// `NameSet` is the names of one condition; an empty one is every name.
struct NameSet {
    numbers: Vec<u32>,
    /// One bit for each number modulo 64, to tell most sets apart at once.
    mask: u64,
}

impl NameSet {
    fn covers(&self, other: &NameSet) -> bool {
        if self.numbers.is_empty() {
            return true;
        }
        if other.numbers.is_empty() || other.mask & !self.mask != 0 {
            return false;
        }
        other.numbers.iter().all(|number| self.numbers.binary_search(number).is_ok())
    }
}

/// `RuleSets` is the conditions of one rule.
struct RuleSets {
    addresses: NameSet,
    members: NameSet,
    centres: NameSet,
    kinds: u8,
}

impl RuleSets {
    fn new<'a>(numbers: &mut NameNumbers<'a>, rule: &'a BoundRule<'_>) -> RuleSets {
        let when = &rule.draft.when;
        RuleSets {
            addresses: numbers.set(rule.addresses.iter().map(|name| name.as_str())),
            members: numbers.set(when.members.iter().map(|name| name.as_str())),
            centres: numbers.set(when.data_centres.iter().map(|name| name.as_str())),
            kinds: kind_mask(&when.kinds),
        }
    }

    fn covers(&self, other: &RuleSets) -> bool {
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
    addresses: RuleLists,
    members: RuleLists,
}

impl EarlierRules {
    fn enter(&mut self, rule: usize, sets: &RuleSets) {
        self.addresses.enter(rule, &sets.addresses);
        self.members.enter(rule, &sets.members);
    }

    fn candidates(&self, sets: &RuleSets) -> Vec<usize> {
        let by_address = self.addresses.candidates(&sets.addresses);
        let by_member = self.members.candidates(&sets.members);
        let shorter = if total(by_address) <= total(by_member) { by_address } else { by_member };
        let mut candidates = shorter.concat();
        // The first rule that takes it all is the one to name.
        candidates.sort_unstable();
        candidates
    }
}

fn total(lists: [&[usize]; 2]) -> usize {
    lists.iter().map(|list| list.len()).sum()
}

/// `RuleLists` is the earlier rules by the names of one condition.
#[derive(Default)]
struct RuleLists {
    with_name: HashMap<u32, Vec<usize>>,
    with_any: Vec<usize>,
}

impl RuleLists {
    fn enter(&mut self, rule: usize, names: &NameSet) {
        if names.numbers.is_empty() {
            self.with_any.push(rule);
        }
        for number in &names.numbers {
            self.with_name.entry(*number).or_default().push(rule);
        }
    }

    /// The rules without the condition, and those with the rarest of the names.
    fn candidates(&self, names: &NameSet) -> [&[usize]; 2] {
        let lists = names.numbers.iter().map(|number| self.with_name(*number));
        let rarest = lists.min_by_key(|list| list.len()).unwrap_or(&[]);
        [&self.with_any, rarest]
    }

    fn with_name(&self, number: u32) -> &[usize] {
        self.with_name.get(&number).map_or(&[], Vec::as_slice)
    }
}
