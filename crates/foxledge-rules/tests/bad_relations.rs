//! The exact findings of lists whose rows conflict with each other.

mod common;

use common::check_part;
use expect_test::expect;

#[test]
fn reports_duplicate_names_across_parts() {
    let text = r#"[[rule]]
name = "r"
then = { service = "desk" }
[[rule]]
name = "r"
then = { deny = true }
[[service]]
name = "desk"
addresses = ["more"]
[[target]]
service = "desk"
name = "a1"
address = "10.0.0.3:9001"
incarnation = 1
data_centre = "toledo"
[[member]]
name = "bricks"
[[key]]
id = 1
secret = "000102030405060708090a0b0c0d0e0f"
"#;
    check_part(
        text,
        expect![[r#"
        more:5: rule[1].name: "r" is already used in more:2
        more:8: service[0].name: "desk" is already used in good:2
        more:12: target[0].name: "desk/a1" is already used in good:5
        more:17: member[0].name: "bricks" is already used in good:19
        more:19: key[0].id: "1" is already used in good:21
    "#]],
    );
}

/// Without this check, packets for one service reach the backend servers of another
/// service when a list assigns an address or a target's address to both services.
#[test]
fn reports_addresses_that_belong_to_another_service() {
    let text = r#"[[rule]]
name = "crossed"
when = { address = ["auction", "lots"] }
then = { service = "desk" }
[[rule]]
name = "nowhere"
when = { address = ["shop"] }
then = { service = "shop" }
[[rule]]
name = "denied"
when = { address = ["shop"], member = ["nobody"] }
then = { deny = true }
[[service]]
name = "third"
addresses = ["lots", "third", "third"]
[[service.target]]
name = "t1"
address = "10.0.0.1:9001"
incarnation = 2
data_centre = "toledo"
[[target]]
service = "fourth"
name = "f1"
address = "0.0.0.0:9001"
incarnation = 1
data_centre = "toledo"
"#;
    check_part(
        text,
        expect![[r#"
        more:3: rule[0].when.address[1]: "lots" is not an address of service "desk"
        more:8: rule[1].then.service: no service "shop"
        more:11: rule[2].when.member[0]: no member "nobody"
        more:11: rule[2].when.address[0]: no service has the address "shop"
        more:15: service[0].addresses[2]: "third" stands twice
        more:15: service[0].addresses[0]: "lots" is already used in good:11
        more:18: service[0].target[0].address: "10.0.0.1:9001" is already used in good:6
        more:22: target[0].service: no service "fourth"
        more:24: target[0].address: must name one IP number
    "#]],
    );
}

#[test]
fn reports_services_without_targets_or_with_more_shards_than_targets() {
    let text = r#"[[service]]
name = "bare"
addresses = ["bare"]
[[service]]
name = "split"
addresses = ["split"]
shards = 2
[[service.target]]
name = "s1"
address = "10.0.0.9:9001"
incarnation = 1
data_centre = "toledo"
"#;
    check_part(
        text,
        expect![[r#"
            more:1: service[0]: has no target
            more:7: service[1].shards: must not be more than the number of the service's targets, 1
        "#]],
    );
}

#[test]
fn reports_shadowed_rules() {
    let text = r#"[[rule]]
name = "bids"
when = { kind = ["bid"] }
then = { service = "desk" }
[[rule]]
name = "bricks-bids"
when = { address = ["auction"], member = ["bricks"], kind = ["bid"] }
then = { service = "desk", priority = 7 }
[[rule]]
name = "in-toledo"
when = { data_centre = ["toledo", "erie"] }
then = { service = "lots" }
[[rule]]
name = "in-erie"
when = { data_centre = ["erie"], kind = ["upload"] }
then = { service = "lots" }
[[rule]]
name = "bricks"
when = { member = ["bricks"], kind = ["bid", "feed", "upload"] }
then = { deny = true }
[[rule]]
name = "bricks-again"
when = { member = ["bricks"] }
then = { service = "desk" }
[[rule]]
name = "the-rest"
then = { deny = true }
[[rule]]
name = "after-all"
then = { service = "lots" }
"#;
    check_part(
        text,
        expect![[r#"
        more:5: rule[1]: never matches: the earlier rule "bids" (more:1) matches all its flows
        more:13: rule[3]: never matches: the earlier rule "in-toledo" (more:9) matches all its flows
        more:21: rule[5]: never matches: the earlier rule "bricks" (more:17) matches all its flows
        more:28: rule[7]: never matches: the earlier rule "the-rest" (more:25) matches all its flows
    "#]],
    );
}

/// Rules with findings about their conditions aren't compared with other rules; all others are.
#[test]
fn reports_shadowed_rules_beside_other_findings() {
    let text = r#"[[rule]]
name = "misread"
when = { member = [1] }
then = { deny = true }
[[rule]]
name = "elsewhere"
then = { service = "shop" }
[[rule]]
name = "bids"
when = { kind = ["bid"] }
then = { service = "desk", priority = 8 }
[[rule]]
name = "lots"
then = { service = "lots" }
[[rule]]
name = "lots-again"
when = { kind = ["upload"] }
then = { service = "lots" }
"#;
    check_part(
        text,
        expect![[r#"
        more:3: rule[0].when.member[0]: must be a text
        more:7: rule[1].then.service: no service "shop"
        more:11: rule[2].then.priority: must be from 0 to 7
        more:15: rule[4]: never matches: the earlier rule "lots" (more:12) matches all its flows
    "#]],
    );
}
