//! Good lists: the documented example, defaults, versions.

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

fn decided(
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
fn example_decides_as_it_says() {
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
        assert_eq!(decided(&list, address, member, centre, kind), rule, "{address} {kind}");
    }
}

#[test]
fn defaults_are_filled_in() {
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

/// Symptom: a rule written for the auction desk takes lot intake's packets.
/// Sequence: the rule has no address; a flow of another service's address comes.
/// Cause: "matches everything" instead of "everything of its service".
#[test]
fn rules_without_address_keep_to_their_service() {
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
fn parts_add_up() {
    let cut = EXAMPLE.find("[[service]]").unwrap();
    let (rules, rest) = EXAMPLE.split_at(cut);
    let split = build_list(7, &[part("rules", rules), part("rest", rest)]).unwrap();
    let whole = example();
    assert_ne!(split.version, whole.version);
    assert_eq!(RuleList { version: whole.version, ..split }, whole);
}

#[test]
fn newest_key_stands_last() {
    let key = |id| format!("[[key]]\nid = {id}\nsecret = \"{}\"\n", "ab".repeat(16));
    let list = build_list(1, &[part("keys", &(key(9) + &key(2)))]).unwrap();
    let ids: Vec<_> = list.keys.iter().map(|key| key.id).collect();
    assert_eq!(ids, [2, 9]);
}

#[test]
fn version_tells_contents_names_and_order() {
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
    for (number, version) in versions.iter().enumerate() {
        assert!(!versions[..number].contains(version), "{version:?}");
    }
}
