//! Builds successive lists from their parts and parses only the parts that changed.

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

/// The maximum total size of the parts of a list, in bytes.
///
/// A list of the planned size, with 38,000 targets and 6,000 rules, has about 5 MB.
pub const MAX_LIST_BYTES: usize = 16 << 20;
/// The maximum size of a part, in bytes, which is the maximum size of a value on the platform.
pub const MAX_PART_BYTES: usize = 1 << 20;
/// The maximum number of parts in a list.
pub const MAX_PARTS: usize = 4096;
/// The maximum number of rules in a list.
pub const MAX_RULES: usize = 20_000;
/// The maximum total number of addresses that the rules of a list name or imply.
pub const MAX_RULE_ADDRESSES: usize = 200_000;

/// Builds successive lists and parses only the parts that changed.
///
/// The assembler caches the parsed parts of the last valid list by the digest of
/// their texts. Without the cache, each of 16,000 changes a day would parse the
/// whole list again, about 5 MB at the planned size.
///
/// The cache never affects the result: parsing a part depends neither on its name
/// nor on other parts, and the list as a whole is validated again each time.
#[derive(Debug, Default)]
pub struct ListAssembler {
    /// The parsed parts of the last valid list, and those parsed ahead since then, by digest.
    ///
    /// Invariant: no part has findings.
    parsed_parts: HashMap<u64, Arc<ParsedPart>>,
}

impl ListAssembler {
    /// Creates an assembler with an empty cache.
    pub fn new() -> ListAssembler {
        ListAssembler::default()
    }

    /// Parses a part before all parts of its list have arrived, and caches the result.
    ///
    /// Otherwise all parts would be parsed at once when the last one arrives, which
    /// takes about 300 ms for 7 MB, and no datagram would be answered meanwhile.
    /// [`ListAssembler::retain`] evicts parts that no list uses in the end.
    pub fn parse_ahead(&mut self, text: &str) {
        let digest = digest_of(text.as_bytes());
        if text.len() > MAX_PART_BYTES || self.parsed_parts.contains_key(&digest) {
            return;
        }
        let parsed = read_part(text);
        // Findings aren't cached, as only the size of the part bounds them. Building the list
        // parses the part again.
        if parsed.findings.is_empty() {
            self.parsed_parts.insert(digest, Arc::new(parsed));
        }
    }

    /// Evicts the cached parts whose digests aren't referenced.
    pub fn retain(&mut self, is_referenced: impl Fn(u64) -> bool) {
        self.parsed_parts.retain(|digest, _| is_referenced(*digest));
    }

    /// Builds a list from its parts.
    ///
    /// # Errors
    ///
    /// Returns all findings if the parts don't form a valid list.
    pub fn build(
        &mut self,
        revision: u64,
        parts: &[PartText<'_>],
    ) -> Result<RuleList, FindingList> {
        check_parts(parts)?;
        let digests: Vec<_> = parts.iter().map(|part| digest_of(part.text.as_bytes())).collect();
        let parsed_parts = self.parse_parts(parts, &digests);
        let findings = parsed_parts.iter().map(|part| part.findings.clone());
        let names = parts.iter().map(|part| part.name);
        let list_findings = ListFindings::new(names.clone().zip(findings));
        let parsed = ParsedList { parts: &parsed_parts };
        let rules = check_list(&list_findings, parsed);
        if !list_findings.is_empty() {
            return Err(list_findings.into_findings());
        }
        let Some(list) = assemble(parsed, rules) else { return Err(list_findings.into_findings()) };
        let version = list_version(revision, names.zip(digests.iter().copied()));
        self.parsed_parts = digests.into_iter().zip(parsed_parts).collect();
        Ok(RuleList { version, ..list })
    }

    /// Parses the parts that aren't cached, and parses equal parts only once.
    fn parse_parts(&self, parts: &[PartText<'_>], digests: &[u64]) -> Vec<Arc<ParsedPart>> {
        let mut newly_parsed: HashMap<u64, Arc<ParsedPart>> = HashMap::new();
        let mut parsed_parts = Vec::new();
        for (part, digest) in parts.iter().zip(digests) {
            let parsed =
                self.parsed_parts.get(digest).or_else(|| newly_parsed.get(digest)).cloned();
            let parsed = parsed.unwrap_or_else(|| {
                let parsed = Arc::new(read_part(part.text));
                newly_parsed.insert(*digest, parsed.clone());
                parsed
            });
            parsed_parts.push(parsed);
        }
        parsed_parts
    }
}

/// Checks the number, sizes and names of the parts before they are parsed.
///
/// Without the limits, parsing and validating one oversized list would block all
/// instances at the same time, so that heartbeats would be missed across the fleet.
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

fn assemble(list: ParsedList<'_>, rules: Vec<BoundRule<'_>>) -> Option<RuleList> {
    let rules: Option<Vec<_>> = rules.into_iter().map(assemble_rule).collect();
    Some(RuleList {
        rules: rules?,
        services: assemble_services(list)?,
        members: assemble_members(list),
        keys: assemble_keys(list),
        ..RuleList::default()
    })
}

fn assemble_rule(bound: BoundRule<'_>) -> Option<FlowRule> {
    let then = match bound.parsed.then.as_ref()? {
        ParsedTreatment::Deny => FlowTreatment::Deny,
        ParsedTreatment::Serve(serve) => FlowTreatment::Serve(ServeTreatment {
            service: serve.service.clone(),
            priority: serve.priority,
            weight: serve.weight,
            member_limit: serve.member_limit,
            when_full: serve.when_full,
        }),
    };
    let when = &bound.parsed.when;
    let when = FlowMatch {
        addresses: bound.addresses.into_owned(),
        members: when.members.clone(),
        data_centres: when.data_centres.clone(),
        kinds: when.kinds.clone(),
    };
    Some(FlowRule { name: bound.parsed.name.clone()?, when, then })
}

fn assemble_services(list: ParsedList<'_>) -> Option<BTreeMap<ServiceName, Arc<ServiceSpec>>> {
    let mut split = targets_of_split_services(list);
    let mut services = BTreeMap::new();
    for (_, service) in list.services() {
        let name = service.name.as_ref()?;
        let spec = match split.remove(name) {
            Some(targets) => Arc::new(service.to_spec(name, targets)),
            None => service.spec.clone()?,
        };
        services.insert(name.clone(), spec);
    }
    Some(services)
}

/// Returns the targets, in order, of each service that has targets in other parts.
fn targets_of_split_services<'a>(
    list: ParsedList<'a>,
) -> HashMap<&'a ServiceName, Vec<TargetSpec>> {
    let mut split: HashMap<_, _> = HashMap::new();
    for part in list.parts {
        split.extend(part.services_of_other_parts().map(|name| (name, Vec::new())));
    }
    if split.is_empty() {
        return split;
    }
    for (part, target) in list.targets() {
        if let Some(targets) = split.get_mut(&target.service) {
            targets.extend(list.parts[part].target(target).cloned());
        }
    }
    split
}

fn assemble_members(list: ParsedList<'_>) -> HashMap<MemberName, MemberSpec> {
    let members = list.members().map(|(_, row)| &row.member);
    members.map(|member| (member.name.clone(), member.clone())).collect()
}

fn assemble_keys(list: ParsedList<'_>) -> Vec<KeySpec> {
    let mut keys: Vec<_> = list.keys().map(|(_, row)| row.key.clone()).collect();
    keys.sort_by_key(|key| key.id);
    keys
}
