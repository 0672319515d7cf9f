//! From parts to a list.

use std::collections::{BTreeMap, HashMap};

use foxledge_core::{
    findings::FindingList,
    hash::digest_of,
    lists::{
        FlowRule, FlowTreatment, KeySpec, ListVersion, MemberSpec, RuleList, ServeTreatment,
        ServiceSpec,
    },
    names::{MemberName, ServiceName},
};

use crate::{
    checks::check_draft,
    draft::{KeyDraft, ListDraft, MemberDraft, RuleDraft, ServiceDraft, TargetDraft, ThenDraft},
    parts::read_part,
    sources::{ListSources, WHOLE_LIST},
    version::list_version,
};

/// Largest list, all parts together, in bytes: the platform's largest value.
pub const MAX_LIST_BYTES: usize = 1 << 20;
/// Most rules of a list.
pub const MAX_RULES: usize = 20_000;
/// Most addresses that the rules of a list name or imply, all together.
pub const MAX_RULE_ADDRESSES: usize = 200_000;

/// `ListText` is one part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListText {
    /// Its name in the manifest, for the findings.
    pub name: String,
    /// Its contents.
    pub text: String,
}

/// Builds the list that the parts make up, or says all that is wrong with them.
///
/// Pure: the same revision and parts give the same answer on every instance.
pub fn build_list(revision: u64, parts: &[ListText]) -> Result<RuleList, FindingList> {
    check_parts(parts)?;
    let sources = ListSources::new(parts);
    let mut draft = ListDraft::default();
    for (number, part) in parts.iter().enumerate() {
        read_part(&sources, number, &part.text, &mut draft);
    }
    check_draft(&sources, &mut draft);
    if !sources.are_clean() {
        return Err(sources.into_findings());
    }
    match assemble(draft) {
        Some(list) => Ok(RuleList { version: version_of(revision, parts), ..list }),
        None => Err(sources.into_findings()),
    }
}

/// Refuses what isn't worth reading.
///
/// Without the bound one oversized list stops every instance at the same time
/// while it is read and checked; one would notice missed heartbeats fleet-wide.
fn check_parts(parts: &[ListText]) -> Result<(), FindingList> {
    let mut findings = FindingList::new();
    let bytes: usize = parts.iter().map(|part| part.text.len()).sum();
    if bytes > MAX_LIST_BYTES {
        findings.add(WHOLE_LIST, 0, "", format!("has {bytes} bytes, more than {MAX_LIST_BYTES}"));
    }
    for (number, part) in parts.iter().enumerate() {
        if parts[..number].iter().any(|earlier| earlier.name == part.name) {
            findings.add(&part.name, 0, "", "is the name of two parts");
        }
    }
    if parts.is_empty() {
        findings.add(WHOLE_LIST, 0, "", "has no parts");
    }
    if findings.is_empty() { Ok(()) } else { Err(findings) }
}

fn version_of(revision: u64, parts: &[ListText]) -> ListVersion {
    let digests = parts.iter().map(|part| (part.name.as_str(), digest_of(part.text.as_bytes())));
    list_version(revision, digests)
}

fn assemble(draft: ListDraft) -> Option<RuleList> {
    let services = assemble_services(draft.services, draft.targets)?;
    let rules: Option<Vec<_>> = draft.rules.into_iter().map(assemble_rule).collect();
    Some(RuleList {
        rules: rules?,
        services,
        members: assemble_members(draft.members),
        keys: assemble_keys(draft.keys),
        ..RuleList::default()
    })
}

fn assemble_rule(rule: RuleDraft) -> Option<FlowRule> {
    let then = match rule.then? {
        ThenDraft::Deny => FlowTreatment::Deny,
        ThenDraft::Serve(serve) => FlowTreatment::Serve(ServeTreatment {
            service: serve.service,
            priority: serve.priority,
            weight: serve.weight,
            member_limit: serve.member_limit,
            when_full: serve.when_full,
        }),
    };
    Some(FlowRule { name: rule.name?, when: rule.when, then })
}

fn assemble_services(
    services: Vec<ServiceDraft>,
    targets: Vec<TargetDraft>,
) -> Option<BTreeMap<ServiceName, ServiceSpec>> {
    let mut assembled = BTreeMap::new();
    for service in services {
        let name = service.name?;
        let spec = ServiceSpec {
            name: name.clone(),
            addresses: service.addresses.into_iter().map(|(address, _)| address).collect(),
            queue_limit: service.queue_limit,
            shards: service.shards,
            targets: Vec::new(),
        };
        assembled.insert(name, spec);
    }
    for target in targets {
        assembled.get_mut(&target.service)?.targets.push(target.target);
    }
    Some(assembled)
}

fn assemble_members(members: Vec<MemberDraft>) -> HashMap<MemberName, MemberSpec> {
    let members = members.into_iter();
    members.map(|draft| (draft.member.name.clone(), draft.member)).collect()
}

fn assemble_keys(keys: Vec<KeyDraft>) -> Vec<KeySpec> {
    let mut keys: Vec<_> = keys.into_iter().map(|draft| draft.key).collect();
    keys.sort_by_key(|key| key.id);
    keys
}
