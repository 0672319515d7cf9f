//! What changed from one list to the next, for the audit trail.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
};

use foxledge_core::{
    lists::{FlowRule, FlowTreatment, RuleList, ServiceSpec, TargetSpec},
    names::{MemberName, RuleName, ServiceName, TargetName},
};

/// `ChangeSubject` is what a change is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeSubject {
    /// A rule.
    Rule(RuleName),
    /// A service.
    Service(ServiceName),
    /// A backend server of a service.
    Target(ServiceName, TargetName),
    /// A member.
    Member(MemberName),
    /// A key.
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

/// `ListChange` is one difference between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListChange {
    /// What changed.
    pub subject: ChangeSubject,
    /// The fields that differ, as they were; empty when the subject is new.
    pub old: String,
    /// The fields that differ, as they are; empty when the subject is gone.
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

/// Every difference between two lists, sorted by subject; secrets aren't shown.
pub fn diff_lists(old: &RuleList, new: &RuleList) -> Vec<ListChange> {
    let mut old_fields = differing_fields(old, new);
    let mut new_fields = differing_fields(new, old);
    mark_moved((old, &mut old_fields), (new, &mut new_fields));
    let subjects: BTreeSet<_> = old_fields.keys().chain(new_fields.keys()).collect();
    let none = FieldList::new();
    let changes = subjects.into_iter().filter_map(|subject| {
        let old = old_fields.get(subject).unwrap_or(&none);
        let new = new_fields.get(subject).unwrap_or(&none);
        diff_fields(subject, old, new)
    });
    changes.collect()
}

/// The fields of a subject by name, as texts.
type FieldList = BTreeMap<&'static str, FieldValue>;

/// The fields of every subject of a list.
type ListFields = BTreeMap<ChangeSubject, FieldList>;

/// `FieldValue` is what a field shows and what it is compared by.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FieldValue {
    shown: String,
    hidden: Vec<u8>,
}

fn shown(value: impl fmt::Display) -> FieldValue {
    FieldValue { shown: value.to_string(), hidden: Vec::new() }
}

/// A secret shows only whether there is one.
fn secret(value: &[u8]) -> FieldValue {
    let word = if value.is_empty() { "none" } else { "set" };
    FieldValue { shown: word.to_owned(), hidden: value.to_vec() }
}

fn names<N: fmt::Display>(names: &[N]) -> FieldValue {
    let names: Vec<_> = names.iter().map(N::to_string).collect();
    shown(if names.is_empty() { "any".to_owned() } else { names.join(" ") })
}

fn diff_fields(subject: &ChangeSubject, old: &FieldList, new: &FieldList) -> Option<ListChange> {
    if old == new {
        return None;
    }
    let differing = |from: &FieldList, other: &FieldList| {
        let fields = from.iter().filter(|(field, value)| other.get(*field) != Some(*value));
        let texts: Vec<_> =
            fields.map(|(field, value)| format!("{field}={}", value.shown)).collect();
        texts.join(", ")
    };
    let subject = subject.clone();
    Some(ListChange { subject, old: differing(old, new), new: differing(new, old) })
}

/// The fields of the subjects that aren't the same in the other list.
fn differing_fields(list: &RuleList, other: &RuleList) -> ListFields {
    let mut fields = ListFields::new();
    let other_rules: HashMap<_, _> = other.rules.iter().map(|rule| (&rule.name, rule)).collect();
    for rule in &list.rules {
        if other_rules.get(&rule.name) != Some(&rule) {
            fields.insert(ChangeSubject::Rule(rule.name.clone()), rule_fields(rule));
        }
    }
    for service in list.services.values() {
        if other.services.get(&service.name) != Some(service) {
            add_service_fields(&mut fields, service);
        }
    }
    for member in list.members.values() {
        if other.members.get(&member.name) != Some(member) {
            let values = FieldList::from([("secret", secret(&member.secret))]);
            fields.insert(ChangeSubject::Member(member.name.clone()), values);
        }
    }
    for key in list.keys.iter().filter(|key| !other.keys.contains(key)) {
        let values = FieldList::from([("secret", secret(&key.secret))]);
        fields.insert(ChangeSubject::Key(key.id), values);
    }
    fields
}

fn add_service_fields(fields: &mut ListFields, service: &ServiceSpec) {
    fields.insert(ChangeSubject::Service(service.name.clone()), service_fields(service));
    for target in &service.targets {
        let subject = ChangeSubject::Target(service.name.clone(), target.name.clone());
        fields.insert(subject, target_fields(target));
    }
}

fn rule_fields(rule: &FlowRule) -> FieldList {
    let mut fields = FieldList::from([
        ("address", names(&rule.when.addresses)),
        ("member", names(&rule.when.members)),
        ("data_centre", names(&rule.when.data_centres)),
        ("kind", names(&rule.when.kinds)),
    ]);
    match &rule.then {
        FlowTreatment::Deny => {
            fields.insert("deny", shown(true));
        }
        FlowTreatment::Serve(serve) => fields.extend([
            ("service", shown(&serve.service)),
            ("priority", shown(serve.priority.0)),
            ("weight", shown(serve.weight)),
            ("member_limit", shown(serve.member_limit)),
            ("when_full", shown(format!("{:?}", serve.when_full).to_lowercase())),
        ]),
    }
    fields
}

fn service_fields(service: &ServiceSpec) -> FieldList {
    FieldList::from([
        ("addresses", names(&service.addresses)),
        ("queue_limit", shown(service.queue_limit)),
        ("shards", shown(service.shards)),
    ])
}

fn target_fields(target: &TargetSpec) -> FieldList {
    FieldList::from([
        ("address", shown(target.address)),
        ("incarnation", shown(target.incarnation)),
        ("data_centre", shown(&target.data_centre)),
        ("slots", shown(target.slots)),
        ("connections", shown(target.connections)),
        ("draining", shown(target.draining)),
    ])
}

/// Adds to each rule that moved a field with the rule that it stands after.
///
/// The rules that keep their order are a longest increasing subsequence of the
/// old positions; all others moved. Fredman, "On computing the length of
/// longest increasing subsequences", Discrete Mathematics 11(1), 1975.
fn mark_moved(old: (&RuleList, &mut ListFields), new: (&RuleList, &mut ListFields)) {
    let old_names = common_rules(old.0, new.0);
    let new_names = common_rules(new.0, old.0);
    let old_places: HashMap<_, _> = old_names.iter().copied().zip(0..).collect();
    let places: Vec<usize> = new_names.iter().map(|name| old_places[name]).collect();
    let kept = longest_increasing(&places);
    for (at, place) in places.iter().enumerate() {
        if kept.binary_search(&at).is_err() {
            mark_place(old.1, &old_names, *place);
            mark_place(new.1, &new_names, at);
        }
    }
}

fn common_rules<'l>(list: &'l RuleList, other: &RuleList) -> Vec<&'l RuleName> {
    let known: HashSet<_> = other.rules.iter().map(|rule| &rule.name).collect();
    list.rules.iter().map(|rule| &rule.name).filter(|name| known.contains(name)).collect()
}

fn mark_place(fields: &mut ListFields, names: &[&RuleName], at: usize) {
    let before = at.checked_sub(1).map_or("none", |before| names[before].as_str());
    let subject = ChangeSubject::Rule(names[at].clone());
    fields.entry(subject).or_default().insert("after", shown(before));
}

/// Indices of a longest increasing subsequence.
fn longest_increasing(values: &[usize]) -> Vec<usize> {
    // For each length, the index of the smallest value that ends such a subsequence.
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
    // Walk back from the end of the longest one.
    let mut kept = Vec::new();
    let mut next = ends.last().copied();
    while let Some(index) = next {
        kept.push(index);
        next = previous[index];
    }
    kept.reverse();
    kept
}
