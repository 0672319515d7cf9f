//! The changes that the audit trail records for a new list.

use expect_test::{Expect, expect};
use foxledge_core::lists::RuleList;
use foxledge_rules::{ChangeSummary, OwnedPart, build_list, diff_lists, summarize_changes};

const EXAMPLE: &str = include_str!("../../../docs/examples/lakeshore-rules.toml");

fn build(text: &str) -> RuleList {
    let part = OwnedPart { name: "lakeshore".to_owned(), text: text.to_owned() };
    build_list(1, &[part]).map_err(|findings| findings.to_string()).unwrap()
}

fn check(new: &str, expected: Expect) {
    let changes = diff_lists(&build(EXAMPLE), &build(new));
    let lines: Vec<_> = changes.iter().map(|change| format!("{change}\n")).collect();
    expected.assert_eq(&lines.concat());
}

fn with_replacement(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "{from}");
    EXAMPLE.replace(from, to)
}

#[test]
fn equal_lists_have_no_changes() {
    check(&format!("{EXAMPLE}# a comment\n"), expect![[""]]);
}

#[test]
fn shows_only_the_fields_that_differ() {
    check(
        &with_replacement("draining = false", "draining = true")
            .replace("queue_limit = 400", "queue_limit = 90"),
        expect![[r#"
            service auction-desk changed: queue_limit=400 -> queue_limit=90
            target auction-desk/a1 changed: draining=false -> draining=true
        "#]],
    );
    check(
        &with_replacement("priority = 5, weight = 2", "priority = 6"),
        expect![[r#"
        rule closing-bids changed: priority=5, weight=2 -> priority=6, weight=1
    "#]],
    );
    check(
        &with_replacement(
            "then = { service = \"lot-intake\", member_limit = 4 }",
            "then = { deny = true }",
        ),
        expect![[r#"
            rule lot-photos changed: address=lots.lakeshore, member_limit=4, priority=0, service=lot-intake, weight=1, when_full=queue -> address=any, deny=true
        "#]],
    );
}

#[test]
fn shows_added_and_removed_items() {
    let additions = "[[key]]\nid = 2\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n\
                [[member]]\nname = \"new-shop\"\n[[target]]\nservice = \"lot-intake\"\n\
                name = \"i2\"\naddress = \"10.0.1.32:9001\"\nincarnation = 1\ndata_centre = \"erie\"\n";
    check(
        &format!("{EXAMPLE}{additions}"),
        expect![[r#"
        target lot-intake/i2 added: address=10.0.1.32:9001, connections=2000, data_centre=erie, draining=false, incarnation=1, slots=2
        member new-shop added: secret=none
        key 2 added: secret=set
    "#]],
    );
    let removed = diff_lists(&build(&format!("{EXAMPLE}{additions}")), &build(EXAMPLE));
    let lines: Vec<_> = removed.iter().map(ToString::to_string).collect();
    expect![[r#"
        target lot-intake/i2 removed: address=10.0.1.32:9001, connections=2000, data_centre=erie, draining=false, incarnation=1, slots=2
        member new-shop removed: secret=none
        key 2 removed: secret=set"#]].assert_eq(&lines.join("\n"));
}

#[test]
fn hides_secrets() {
    check(
        &with_replacement(
            "\"00112233445566778899aabbccddeeff\"",
            "\"ffeeddccbbaa99887766554433221100\"",
        ),
        expect![[r#"
            member bricks-and-co changed: secret=set -> secret=set
        "#]],
    );
    check(
        &with_replacement("secret = \"00112233445566778899aabbccddeeff\"", ""),
        expect![[r#"
        member bricks-and-co changed: secret=set -> secret=none
    "#]],
    );
}

#[test]
fn shows_moved_rules_with_the_rule_before() {
    let feeds = EXAMPLE.find("# Price feeds").unwrap();
    let photos = EXAMPLE.find("# Lot photos").unwrap();
    let first = EXAMPLE.find("# Bids of the large").unwrap();
    let moved =
        [&EXAMPLE[..first], &EXAMPLE[feeds..photos], &EXAMPLE[first..feeds], &EXAMPLE[photos..]];
    check(
        &moved.concat(),
        expect![[r#"
        rule price-feeds changed: after=bids -> after=none
    "#]],
    );
}

#[test]
fn summary_is_limited_and_counts_omitted_changes() {
    let (old, new) = (build(EXAMPLE), RuleList::default());
    let all = diff_lists(&old, &new);
    let summary = summarize_changes(&old, &new, 2);
    assert_eq!(summary.changes, all[..2]);
    assert_eq!(summary.omitted, all.len() - 2);
    assert_eq!(summarize_changes(&old, &old, 2), ChangeSummary::default());
}
