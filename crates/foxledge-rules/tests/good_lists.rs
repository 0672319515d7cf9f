//! Valid lists: the documented example, default values and versions.

use foxledge_core::{
    hash::digest_of,
    lists::{FlowTraits, FlowTreatment, FullAction, RuleList},
    traffic::TrafficKind,
};
use foxledge_rules::{OwnedPart, build_list, list_version};

const EXAMPLE: &str = include_str!("../../../docs/examples/lakeshore-rules.toml");

fn part(name: &str, text: &str) -> OwnedPart {
    OwnedPart { name: name.to_owned(), text: text.to_owned() }
}

fn example() -> RuleList {
    build_list(7, &[part("lakeshore", EXAMPLE)]).map_err(|findings| findings.to_string()).unwrap()
}

fn matching_rule(
    list: &RuleList,
    address: &str,
    member: &str,
    data_centre: &str,
    kind: TrafficKind,
) -> String {
    let traits = FlowTraits { address, member, data_centre, kind };
    list.first_match(&traits).map_or("none".to_owned(), |rule| rule.name.to_string())
}

#[test]
fn example_matches_flows_with_the_documented_rules() {
    let list = example();
    let cases = [
        ("auction.lakeshore", "bricks-and-co", "erie", TrafficKind::Bid, "closing-bids"),
        ("prices.lakeshore", "bricks-and-co", "erie", TrafficKind::Bid, "bids"),
        ("lots.lakeshore", "bricks-and-co", "erie", TrafficKind::Bid, "the-rest"),
        ("prices.lakeshore", "studs-of-erie", "erie", TrafficKind::Feed, "price-feeds"),
        ("lots.lakeshore", "studs-of-erie", "toledo", TrafficKind::Upload, "lot-photos"),
        ("lots.lakeshore", "studs-of-erie", "erie", TrafficKind::Upload, "the-rest"),
    ];
    for (address, member, centre, kind, rule) in cases {
        assert_eq!(matching_rule(&list, address, member, centre, kind), rule, "{address} {kind}");
    }
}

#[test]
fn fills_in_default_values() {
    let list = example();
    let FlowTreatment::Serve(bids) = &list.rules[1].then else { panic!("bids are served") };
    assert_eq!((bids.weight, bids.when_full), (1, FullAction::Queue));
    let intake = &list.services["lot-intake"];
    assert_eq!((intake.queue_limit, intake.shards), (400, 1));
    let target = &intake.targets[0];
    assert_eq!((target.slots, target.connections, target.draining), (2, 2000, false));
    assert_eq!(list.members["bricks-and-co"].secret.len(), 16);
    assert!(list.members["studs-of-erie"].secret.is_empty());
}

/// A rule without an address condition must match only the addresses of its own service.
/// If it matched all addresses, a rule for the auction desk would match flows to lot intake.
#[test]
fn rules_without_address_match_only_addresses_of_their_service() {
    let list = example();
    for rule in &list.rules {
        if let FlowTreatment::Serve(serve) = &rule.then {
            let service = &list.services[&serve.service];
            assert!(!rule.when.addresses.is_empty());
            assert!(rule.when.addresses.iter().all(|address| service.addresses.contains(address)));
        }
    }
}

#[test]
fn split_list_equals_the_whole_list_except_for_its_version() {
    let boundary = EXAMPLE.find("[[service]]").unwrap();
    let (rules, rest) = EXAMPLE.split_at(boundary);
    let split = build_list(7, &[part("rules", rules), part("rest", rest)]).unwrap();
    let whole = example();
    assert_ne!(split.version, whole.version);
    assert_eq!(RuleList { version: whole.version, ..split }, whole);
}

#[test]
fn sorts_keys_by_id() {
    let key = |id| format!("[[key]]\nid = {id}\nsecret = \"{}\"\n", "ab".repeat(16));
    let list = build_list(1, &[part("keys", &(key(9) + &key(2)))]).unwrap();
    let ids: Vec<_> = list.keys.iter().map(|key| key.id).collect();
    assert_eq!(ids, [2, 9]);
}

#[test]
fn version_depends_on_revision_contents_names_and_order() {
    let digest = digest_of(EXAMPLE.as_bytes());
    let version = list_version(7, [("lakeshore", digest)].into_iter());
    assert_eq!(example().version, version);
    let versions = [
        list_version(7, [("a", 1), ("b", 2)].into_iter()),
        list_version(7, [("b", 2), ("a", 1)].into_iter()),
        list_version(7, [("a", 1), ("b", 3)].into_iter()),
        list_version(7, [("a", 1)].into_iter()),
        list_version(8, [("a", 1)].into_iter()),
        list_version(7, [].into_iter()),
    ];
    for (index, version) in versions.iter().enumerate() {
        assert!(!versions[..index].contains(version), "{version:?}");
    }
}
