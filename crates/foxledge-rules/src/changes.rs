//! Computes the differences between two lists for the audit trail.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

use foxledge_core::{
    lists::{FlowRule, FlowTreatment, RuleList, ServiceSpec, TargetSpec},
    names::{MemberName, RuleName, ServiceName, TargetName},
};

/// The item of a list that a change concerns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeSubject {
    /// A rule, by name.
    Rule(RuleName),
    /// A service, by name.
    Service(ServiceName),
    /// A backend server, by the names of its service and itself.
    Target(ServiceName, TargetName),
    /// A member, by name.
    Member(MemberName),
    /// A key, by id.
    Key(u32),
}

impl fmt::Display for ChangeSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeSubject::Rule(name) => write!(f, "rule {name}"),
            ChangeSubject::Service(name) => write!(f, "service {name}"),
            ChangeSubject::Target(service, name) => write!(f, "target {service}/{name}"),
            ChangeSubject::Member(name) => write!(f, "member {name}"),
            ChangeSubject::Key(id) => write!(f, "key {id}"),
        }
    }
}

/// A change of one item between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// The changed item.
    pub subject: ChangeSubject,
    /// The fields that differ, with their old values; empty if the item was added.
    pub old: String,
    /// The fields that differ, with their new values; empty if the item was removed.
    pub new: String,
}

impl fmt::Display for ListChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.old.as_str(), self.new.as_str()) {
            ("", new) => write!(f, "{} added: {new}", self.subject),
            (old, "") => write!(f, "{} removed: {old}", self.subject),
            (old, new) => write!(f, "{} changed: {old} -> {new}", self.subject),
        }
    }
}

/// The first changes between two lists, and the number of further changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeSummary {
    /// The first changes, sorted by subject.
    pub changes: Vec<ListChange>,
    /// The number of changed items that `changes` omits.
    pub omitted: usize,
}

/// Returns all changes between two lists, sorted by subject, without the values of secrets.
pub fn diff_lists(old: &RuleList, new: &RuleList) -> Vec<ListChange> {
    summarize_changes(old, new, usize::MAX).changes
}

/// Returns the first `limit` changes between two lists, and the number of further changes.
///
/// Only the returned changes are formatted: if a list is replaced completely, each of
/// 38,000 targets differs, and their texts would take more memory than both lists.
pub fn summarize_changes(old: &RuleList, new: &RuleList, limit: usize) -> ChangeSummary {
    let same_rules = old.rules == new.rules;
    let moved = if same_rules { MovedRules::new() } else { moved_rules(old, new) };
    let rules_of = |list| if same_rules { RuleMap::new() } else { rules_by_name(list) };
    let (old_rules, new_rules) = (rules_of(old), rules_of(new));
    let mut subjects = BTreeSet::new();
    add_differing_rules(&mut subjects, &old_rules, &new_rules);
    add_differing_rules(&mut subjects, &new_rules, &old_rules);
    add_differing(&mut subjects, old, new);
    add_differing(&mut subjects, new, old);
    subjects.extend(moved.keys().map(|name| ChangeSubject::Rule((*name).clone())));
    let omitted = subjects.len().saturating_sub(limit);
    let listed = subjects.into_iter().take(limit);
    let changes = listed.filter_map(|subject| {
        let mut old_fields = fields_of(old, &old_rules, &subject);
        let mut new_fields = fields_of(new, &new_rules, &subject);
        if let ChangeSubject::Rule(name) = &subject
            && let Some((old_before, new_before)) = moved.get(name)
        {
            old_fields.insert("after", plain_value(old_before));
            new_fields.insert("after", plain_value(new_before));
        }
        diff_fields(subject, &old_fields, &new_fields)
    });
    ChangeSummary { changes: changes.collect(), omitted }
}

/// The fields of an item by name.
type FieldList = BTreeMap<&'static str, FieldValue>;

/// The rules of a list by name.
type RuleMap<'l> = HashMap<&'l RuleName, &'l FlowRule>;

fn rules_by_name(list: &RuleList) -> RuleMap<'_> {
    list.rules.iter().map(|rule| (&rule.name, rule)).collect()
}

/// The names of the rules before each moved rule in the old and in the new list.
type MovedRules<'l> = BTreeMap<&'l RuleName, (&'l str, &'l str)>;

/// The value of a field: the text to show, and the bytes of a secret, which are only compared.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FieldValue {
    text: String,
    secret: Vec<u8>,
}

fn plain_value(value: impl fmt::Display) -> FieldValue {
    FieldValue { text: value.to_string(), secret: Vec::new() }
}

/// Creates the value of a secret, whose text shows only whether the secret is set.
fn secret_value(value: &[u8]) -> FieldValue {
    let text = if value.is_empty() { "none" } else { "set" };
    FieldValue { text: text.to_owned(), secret: value.to_vec() }
}

fn name_list<N: fmt::Display>(names: &[N]) -> FieldValue {
    let names: Vec<_> = names.iter().map(N::to_string).collect();
    plain_value(if names.is_empty() { "any".to_owned() } else { names.join(" ") })
}

fn diff_fields(subject: ChangeSubject, old: &FieldList, new: &FieldList) -> Option<ListChange> {
    if old == new {
        return None;
    }
    let differing = |from: &FieldList, other: &FieldList| {
        let fields = from.iter().filter(|(field, value)| other.get(*field) != Some(*value));
        let texts: Vec<_> =
            fields.map(|(field, value)| format!("{field}={}", value.text)).collect();
        texts.join(", ")
    };
    Some(ListChange { subject, old: differing(old, new), new: differing(new, old) })
}

fn add_differing_rules(
    subjects: &mut BTreeSet<ChangeSubject>,
    rules: &RuleMap<'_>,
    others: &RuleMap<'_>,
) {
    let differing = rules.iter().filter(|(name, rule)| others.get(*name) != Some(*rule));
    subjects.extend(differing.map(|(name, _)| ChangeSubject::Rule((*name).clone())));
}

/// Adds the items of a list, except for rules, that the other list lacks or has with
/// other values.
fn add_differing(subjects: &mut BTreeSet<ChangeSubject>, list: &RuleList, other: &RuleList) {
    for service in list.services.values() {
        let other_service = other.services.get(&service.name);
        if other_service != Some(service) {
            add_differing_service(subjects, service, other_service.map(AsRef::as_ref));
        }
    }
    for member in list.members.values() {
        if other.members.get(&member.name) != Some(member) {
            subjects.insert(ChangeSubject::Member(member.name.clone()));
        }
    }
    let keys = list.keys.iter().filter(|key| !other.keys.contains(key));
    subjects.extend(keys.map(|key| ChangeSubject::Key(key.id)));
}

fn add_differing_service(
    subjects: &mut BTreeSet<ChangeSubject>,
    service: &ServiceSpec,
    other: Option<&ServiceSpec>,
) {
    if other.is_none_or(|other| service_fields(other) != service_fields(service)) {
        subjects.insert(ChangeSubject::Service(service.name.clone()));
    }
    let others = other.into_iter().flat_map(|other| &other.targets);
    let others: HashMap<_, _> = others.map(|target| (&target.name, target)).collect();
    let differing =
        service.targets.iter().filter(|target| others.get(&target.name) != Some(target));
    subjects.extend(
        differing.map(|target| ChangeSubject::Target(service.name.clone(), target.name.clone())),
    );
}

/// Returns the fields of an item, which are empty if the list doesn't contain the item.
fn fields_of(list: &RuleList, rules: &RuleMap<'_>, subject: &ChangeSubject) -> FieldList {
    let fields = match subject {
        ChangeSubject::Rule(name) => rules.get(name).map(|rule| rule_fields(rule)),
        ChangeSubject::Service(name) => {
            list.services.get(name).map(|service| service_fields(service))
        }
        ChangeSubject::Target(service, name) => list.services.get(service).and_then(|service| {
            service.targets.iter().find(|target| target.name == *name).map(target_fields)
        }),
        ChangeSubject::Member(name) => {
            list.members.get(name).map(|member| secret_fields(&member.secret))
        }
        ChangeSubject::Key(id) => {
            list.keys.iter().find(|key| key.id == *id).map(|key| secret_fields(&key.secret))
        }
    };
    fields.unwrap_or_default()
}

fn secret_fields(value: &[u8]) -> FieldList {
    FieldList::from([("secret", secret_value(value))])
}

fn rule_fields(rule: &FlowRule) -> FieldList {
    let mut fields = FieldList::from([
        ("address", name_list(&rule.when.addresses)),
        ("member", name_list(&rule.when.members)),
        ("data_centre", name_list(&rule.when.data_centres)),
        ("kind", name_list(&rule.when.kinds)),
    ]);
    match &rule.then {
        FlowTreatment::Deny => {
            fields.insert("deny", plain_value(true));
        }
        FlowTreatment::Serve(serve) => fields.extend([
            ("service", plain_value(&serve.service)),
            ("priority", plain_value(serve.priority.0)),
            ("weight", plain_value(serve.weight)),
            ("member_limit", plain_value(serve.member_limit)),
            ("when_full", plain_value(format!("{:?}", serve.when_full).to_lowercase())),
        ]),
    }
    fields
}

fn service_fields(service: &ServiceSpec) -> FieldList {
    FieldList::from([
        ("addresses", name_list(&service.addresses)),
        ("queue_limit", plain_value(service.queue_limit)),
        ("shards", plain_value(service.shards)),
    ])
}

fn target_fields(target: &TargetSpec) -> FieldList {
    FieldList::from([
        ("address", plain_value(target.address)),
        ("incarnation", plain_value(target.incarnation)),
        ("data_centre", plain_value(&target.data_centre)),
        ("slots", plain_value(target.slots)),
        ("connections", plain_value(target.connections)),
        ("draining", plain_value(target.draining)),
    ])
}

/// Returns the rules that moved, each with the rules before it in both lists.
///
/// The rules of a longest increasing subsequence of the old positions keep their
/// order; all others moved. Fredman, "On computing the length of longest increasing
/// subsequences", Discrete Mathematics 11(1), 1975.
fn moved_rules<'l>(old: &'l RuleList, new: &'l RuleList) -> MovedRules<'l> {
    let old_names = common_rules(old, new);
    let new_names = common_rules(new, old);
    let old_positions: HashMap<_, _> = old_names.iter().copied().zip(0..).collect();
    let positions: Vec<usize> = new_names.iter().map(|name| old_positions[name]).collect();
    let kept = longest_increasing(&positions);
    let moved =
        positions.iter().enumerate().filter(|(index, _)| kept.binary_search(index).is_err());
    let moves = moved.map(|(index, position)| {
        (new_names[index], (name_before(&old_names, *position), name_before(&new_names, index)))
    });
    moves.collect()
}

fn common_rules<'l>(list: &'l RuleList, other: &RuleList) -> Vec<&'l RuleName> {
    let other_names: HashSet<_> = other.rules.iter().map(|rule| &rule.name).collect();
    list.rules.iter().map(|rule| &rule.name).filter(|name| other_names.contains(name)).collect()
}

fn name_before<'l>(names: &[&'l RuleName], index: usize) -> &'l str {
    index.checked_sub(1).map_or("none", |previous| names[previous].as_str())
}

/// Returns the indices of a longest increasing subsequence.
fn longest_increasing(values: &[usize]) -> Vec<usize> {
    // For each length, the index of the smallest value that ends a subsequence of that length.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = vec![None; values.len()];
    for (index, value) in values.iter().enumerate() {
        let length = ends.partition_point(|end| values[*end] < *value);
        previous[index] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(index);
        } else {
            ends[length] = index;
        }
    }
    // Follow the predecessors from the end of the longest subsequence.
    let mut kept = Vec::new();
    let mut next = ends.last().copied();
    while let Some(index) = next {
        kept.push(index);
        next = previous[index];
    }
    kept.reverse();
    kept
}
