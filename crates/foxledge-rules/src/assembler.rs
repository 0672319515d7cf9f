//! From parts to a list, again at each change.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use foxledge_core::{
    findings::FindingList,
    hash::digest_of,
    lists::{
        FlowMatch, FlowRule, FlowTreatment, KeySpec, MemberSpec, RuleList, ServeTreatment,
        ServiceSpec, TargetSpec,
    },
    names::{MemberName, ServiceName},
};

use crate::{
    build::PartText,
    checks::{BoundRule, check_list},
    list_findings::{LIST_SOURCE, ListFindings},
    parsed::{ParsedList, ParsedPart, ParsedTreatment},
    part_reader::read_part,
    version::list_version,
};

/// Largest list, all parts together, in bytes.
///
/// At the target's size, 38,000 targets and 6,000 rules, a list has some 5 MB.
pub const MAX_LIST_BYTES: usize = 16 << 20;
/// Largest part, in bytes: the platform's largest value.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// Most parts of a list.
pub const MAX_PARTS: usize = 4096;
/// Most rules of a list.
pub const MAX_RULES: usize = 20_000;
/// Most addresses that the rules of a list name or imply, all together.
pub const MAX_RULE_ADDRESSES: usize = 200_000;

/// `ListAssembler` builds one list after the other and reads only what changed.
///
/// It keeps what each part of the last good list read to, by the digest of the
/// part's text. Without that each of 16,000 changes a day would read the whole
/// list anew, some 5 MB at the target's size.
///
/// What was built before never changes a verdict: a part reads to the same under
/// each name and beside each other part, and all else is checked anew.
#[derive(Debug, Default)]
pub struct ListAssembler {
    /// Invariant: none has findings; the parts of the last good list, and those prepared since.
    parsed_parts: HashMap<u64, Arc<ParsedPart>>,
}

impl ListAssembler {
    /// Makes an assembler that has read nothing.
    pub fn new() -> ListAssembler {
        ListAssembler::default()
    }

    /// Reads a part before its list is whole, so that building finds it read.
    ///
    /// Otherwise the last part to arrive would have the reading of all of them
    /// done at once, some 300 ms for 7 MB in which no datagram is answered.
    /// What comes of no list is dropped by [`ListAssembler::retain`].
    pub fn parse_ahead(&mut self, text: &str) {
        let digest = digest_of(text.as_bytes());
        if text.len() > MAX_PART_BYTES || self.parsed_parts.contains_key(&digest) {
            return;
        }
        let draft = read_part(text);
        // The findings are bounded only by the part's size; they are found again.
        if draft.findings.is_empty() {
            self.parsed_parts.insert(digest, Arc::new(draft));
        }
    }

    /// Keeps what was read of the parts with these digests.
    pub fn retain(&mut self, is_named: impl Fn(u64) -> bool) {
        self.parsed_parts.retain(|digest, _| is_named(*digest));
    }

    /// Builds the list that the parts make up, or says all that is wrong with them.
    pub fn build(
        &mut self,
        revision: u64,
        parts: &[PartText<'_>],
    ) -> Result<RuleList, FindingList> {
        check_parts(parts)?;
        let digests: Vec<_> = parts.iter().map(|part| digest_of(part.text.as_bytes())).collect();
        let drafts = self.parse_parts(parts, &digests);
        let findings = drafts.iter().map(|draft| draft.findings.clone());
        let names = parts.iter().map(|part| part.name);
        let sources = ListFindings::new(names.clone().zip(findings));
        let draft = ParsedList { parts: &drafts };
        let rules = check_list(&sources, draft);
        if !sources.is_empty() {
            return Err(sources.into_findings());
        }
        let Some(list) = assemble(draft, rules) else { return Err(sources.into_findings()) };
        let version = list_version(revision, names.zip(digests.iter().copied()));
        self.parsed_parts = digests.into_iter().zip(drafts).collect();
        Ok(RuleList { version, ..list })
    }

    /// Reads the parts that aren't kept; equal ones once.
    fn parse_parts(&self, parts: &[PartText<'_>], digests: &[u64]) -> Vec<Arc<ParsedPart>> {
        let mut read: HashMap<u64, Arc<ParsedPart>> = HashMap::new();
        let mut drafts = Vec::new();
        for (part, digest) in parts.iter().zip(digests) {
            let draft = self.parsed_parts.get(digest).or_else(|| read.get(digest)).cloned();
            let draft = draft.unwrap_or_else(|| {
                let draft = Arc::new(read_part(part.text));
                read.insert(*digest, draft.clone());
                draft
            });
            drafts.push(draft);
        }
        drafts
    }
}

/// Refuses what isn't worth reading.
///
/// Without the bounds one oversized list stops every instance at the same time
/// while it is read and checked; one would notice missed heartbeats fleet-wide.
fn check_parts(parts: &[PartText<'_>]) -> Result<(), FindingList> {
    let mut findings = FindingList::new();
    if parts.is_empty() {
        findings.add(LIST_SOURCE, 0, "", "has no parts");
    }
    if parts.len() > MAX_PARTS {
        let text = format!("has {} parts, more than {MAX_PARTS}", parts.len());
        findings.add(LIST_SOURCE, 0, "", text);
        return Err(findings);
    }
    let bytes: usize = parts.iter().map(|part| part.text.len()).sum();
    if bytes > MAX_LIST_BYTES {
        findings.add(LIST_SOURCE, 0, "", format!("has {bytes} bytes, more than {MAX_LIST_BYTES}"));
    }
    let mut names = HashSet::new();
    for part in parts {
        let bytes = part.text.len();
        if bytes > MAX_PART_BYTES {
            let text = format!("has {bytes} bytes, more than {MAX_PART_BYTES}");
            findings.add(part.name, 0, "", text);
        }
        if !names.insert(part.name) {
            findings.add(part.name, 0, "", "is the name of two parts");
        }
    }
    if findings.is_empty() { Ok(()) } else { Err(findings) }
}

fn assemble(draft: ParsedList<'_>, rules: Vec<BoundRule<'_>>) -> Option<RuleList> {
    let rules: Option<Vec<_>> = rules.into_iter().map(assemble_rule).collect();
    Some(RuleList {
        rules: rules?,
        services: assemble_services(draft)?,
        members: assemble_members(draft),
        keys: assemble_keys(draft),
        ..RuleList::default()
    })
}

fn assemble_rule(rule: BoundRule<'_>) -> Option<FlowRule> {
    let then = match rule.rule.then.as_ref()? {
        ParsedTreatment::Deny => FlowTreatment::Deny,
        ParsedTreatment::Serve(serve) => FlowTreatment::Serve(ServeTreatment {
            service: serve.service.clone(),
            priority: serve.priority,
            weight: serve.weight,
            member_limit: serve.member_limit,
            when_full: serve.when_full,
        }),
    };
    let when = &rule.rule.when;
    let when = FlowMatch {
        addresses: rule.addresses.into_owned(),
        members: when.members.clone(),
        data_centres: when.data_centres.clone(),
        kinds: when.kinds.clone(),
    };
    Some(FlowRule { name: rule.rule.name.clone()?, when, then })
}

fn assemble_services(draft: ParsedList<'_>) -> Option<BTreeMap<ServiceName, Arc<ServiceSpec>>> {
    let mut scattered = targets_of_split_services(draft);
    let mut services = BTreeMap::new();
    for (_, service) in draft.services() {
        let name = service.name.as_ref()?;
        let spec = match scattered.remove(name) {
            Some(targets) => Arc::new(service.to_spec(name, targets)),
            None => service.spec.clone()?,
        };
        services.insert(name.clone(), spec);
    }
    Some(services)
}

/// The targets, in order, of services that have some outside of their own part.
fn targets_of_split_services<'a>(
    draft: ParsedList<'a>,
) -> HashMap<&'a ServiceName, Vec<TargetSpec>> {
    let mut scattered: HashMap<_, _> = HashMap::new();
    for part in draft.parts {
        scattered.extend(part.services_of_other_parts().map(|name| (name, Vec::new())));
    }
    if scattered.is_empty() {
        return scattered;
    }
    for (part, target) in draft.targets() {
        if let Some(targets) = scattered.get_mut(&target.service) {
            targets.extend(draft.parts[part].target(target).cloned());
        }
    }
    scattered
}

fn assemble_members(draft: ParsedList<'_>) -> HashMap<MemberName, MemberSpec> {
    let members = draft.members().map(|(_, draft)| &draft.member);
    members.map(|member| (member.name.clone(), member.clone())).collect()
}

fn assemble_keys(draft: ParsedList<'_>) -> Vec<KeySpec> {
    let mut keys: Vec<_> = draft.keys().map(|(_, draft)| draft.key.clone()).collect();
    keys.sort_by_key(|key| key.id);
    keys
}
