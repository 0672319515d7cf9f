//! Compares the rule index and the check for shadowed rules with exhaustive search.

use std::{fmt::Write, sync::Arc};

use foxledge_core::{
    lists::{FlowMatch, FlowRule, FlowTraits, FlowTreatment, RuleList},
    names::{CentreName, MemberName, RuleName, ServiceAddress},
    traffic::TrafficKind,
};
use foxledge_rules::{OwnedPart, RuleIndex, build_list};
use proptest::{collection::vec, prelude::*, sample::subsequence};

/// The last name of each array represents all names that no rule contains.
const ADDRESSES: [&str; 4] = ["a1", "a2", "a3", "other"];
const MEMBERS: [&str; 4] = ["m1", "m2", "m3", "other"];
const CENTRES: [&str; 3] = ["c1", "c2", "other"];

const SERVICES: &str = r#"
[[key]]
id = 1
secret = "000102030405060708090a0b0c0d0e0f"
[[service]]
name = "s"
addresses = ["a1", "a2", "a3"]
[[service.target]]
name = "t"
address = "10.0.0.1:1"
incarnation = 1
data_centre = "c1"
"#;

fn some_of(names: &'static [&'static str]) -> impl Strategy<Value = Vec<&'static str>> {
    let known = names[..names.len() - 1].to_vec();
    let max_count = known.len();
    subsequence(known, 0..=max_count)
}

fn rules() -> impl Strategy<Value = Vec<FlowRule>> {
    let kinds = subsequence(TrafficKind::ALL.to_vec(), 0..=3);
    let when = (some_of(&ADDRESSES), some_of(&MEMBERS), some_of(&CENTRES), kinds);
    let when = when.prop_map(|(addresses, members, centres, kinds)| FlowMatch {
        addresses: addresses.into_iter().map(ServiceAddress::new).collect(),
        members: members.into_iter().map(MemberName::new).collect(),
        data_centres: centres.into_iter().map(CentreName::new).collect(),
        kinds,
    });
    vec(when, 0..12).prop_map(|whens| {
        let rules = (0..).zip(whens).map(|(number, when)| FlowRule {
            name: RuleName::new(&format!("r{number}")),
            when,
            then: FlowTreatment::Deny,
        });
        rules.collect()
    })
}

fn all_flows() -> Vec<FlowTraits<'static>> {
    let mut flows = Vec::new();
    for address in ADDRESSES {
        for member in MEMBERS {
            for data_centre in CENTRES {
                for kind in TrafficKind::ALL {
                    flows.push(FlowTraits { address, member, data_centre, kind });
                }
            }
        }
    }
    flows
}

fn list_text(rules: &[FlowRule]) -> String {
    let mut text = SERVICES.to_owned();
    for member in &MEMBERS[..3] {
        writeln!(text, "[[member]]\nname = \"{member}\"").unwrap();
    }
    for rule in rules {
        let when = &rule.when;
        let kinds: Vec<_> = when.kinds.iter().map(|kind| kind.as_str()).collect();
        writeln!(text, "[[rule]]\nname = \"{}\"\nthen = {{ deny = true }}", rule.name).unwrap();
        writeln!(text, "[rule.when]\naddress = {:?}", texts(&when.addresses)).unwrap();
        writeln!(text, "member = {:?}", texts(&when.members)).unwrap();
        writeln!(text, "data_centre = {:?}", texts(&when.data_centres)).unwrap();
        writeln!(text, "kind = {kinds:?}").unwrap();
    }
    text
}

fn texts<N: ToString>(names: &[N]) -> Vec<String> {
    names.iter().map(N::to_string).collect()
}

/// Returns the paths of the rules all of whose flows are matched by one earlier rule.
fn shadowed_rules(rules: &[FlowRule]) -> Vec<String> {
    let flows = all_flows();
    let covers = |earlier: &FlowRule, rule: &FlowRule| {
        flows.iter().filter(|flow| rule.when.matches(flow)).all(|flow| earlier.when.matches(flow))
    };
    let positions = (0..rules.len())
        .filter(|index| rules[..*index].iter().any(|earlier| covers(earlier, &rules[*index])));
    positions.map(|index| format!("rule[{index}]")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn index_finds_the_same_rule_as_the_list(rules in rules()) {
        let list = Arc::new(RuleList { rules, ..RuleList::default() });
        let index = RuleIndex::new(list.clone());
        for flow in all_flows() {
            prop_assert_eq!(index.first_match(&flow), list.first_match(&flow));
        }
    }

    #[test]
    fn reports_exactly_the_shadowed_rules(rules in rules()) {
        let part = OwnedPart { name: "list".to_owned(), text: list_text(&rules) };
        let reported: Vec<_> = match build_list(1, &[part]) {
            Ok(list) => {
                prop_assert_eq!(&list.rules, &rules);
                Vec::new()
            }
            Err(findings) => findings.iter().map(|finding| finding.key.clone()).collect(),
        };
        prop_assert_eq!(reported, shadowed_rules(&rules));
    }
}
