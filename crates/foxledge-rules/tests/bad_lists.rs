//! The exact findings of parts that are invalid on their own.

mod common;

use common::{VALID_PART, check_list, check_part, part};
use expect_test::expect;
use foxledge_rules::{MAX_LIST_BYTES, MAX_PART_BYTES, MAX_PARTS, MAX_RULES, build_list};

#[test]
fn accepts_the_valid_part_of_the_other_tests() {
    build_list(1, &[part("good", VALID_PART), part("more", "# nothing\n")]).unwrap();
}

#[test]
fn reports_lists_without_parts_or_keys_and_duplicate_part_names() {
    check_list(
        &[],
        expect![[r#"
        list: has no parts
    "#]],
    );
    check_list(
        &[part("empty", "")],
        expect![[r#"
        list: has no [[key]], so no ticket could be sealed
    "#]],
    );
    check_list(
        &[part("same", VALID_PART), part("same", "")],
        expect![[r#"
        same: is the name of two parts
    "#]],
    );
}

#[test]
fn reports_the_syntax_errors_of_all_parts() {
    check_list(
        &[part("a", "[[rule]\n"), part("b", "\nx = \n")],
        expect![[r#"
        list: has no [[key]], so no ticket could be sealed
        a:1: not TOML: unclosed array table, expected `]`
        b:2: not TOML: string values must be quoted, expected literal string
    "#]],
    );
}

#[test]
fn rejects_lists_and_parts_above_the_size_limits() {
    let full_part = "#".repeat(MAX_PART_BYTES);
    let count = MAX_LIST_BYTES / MAX_PART_BYTES;
    let mut parts: Vec<_> =
        (0..count).map(|number| part(&format!("p{number}"), &full_part)).collect();
    check_list(
        &parts,
        expect![[r#"
        list: has no [[key]], so no ticket could be sealed
    "#]],
    );
    parts.push(part("one-more", "#"));
    check_list(
        &parts,
        expect![[r#"
        list: has 16777217 bytes, more than 16777216
    "#]],
    );
    check_list(
        &[part("good", VALID_PART), part("big", &format!("{full_part}#")), part("big", "")],
        expect![[r#"
        big: has 1048577 bytes, more than 1048576
        big: is the name of two parts
    "#]],
    );
}

#[test]
fn rejects_lists_with_too_many_parts() {
    let parts: Vec<_> = (0..=MAX_PARTS).map(|number| part(&format!("p{number}"), "")).collect();
    check_list(
        &parts,
        expect![[r#"
        list: has 4097 parts, more than 4096
    "#]],
    );
}

#[test]
fn rejects_lists_with_too_many_rules() {
    let rule = "[[rule]]\nname='r'\nthen.deny=true\n";
    check_part(
        &rule.repeat(MAX_RULES + 1),
        expect![[r#"
        more:60001: rule[20000]: exceeds the limit of 20000 rules
    "#]],
    );
}

#[test]
fn rejects_rules_that_imply_too_many_addresses() {
    let addresses: Vec<_> = (0..1500).map(|number| format!("\"a{number}\"")).collect();
    let mut text = format!("[[service]]\nname = \"wide\"\naddresses = [{}]\n", addresses.join(","));
    text += "[[service.target]]\nname = \"w1\"\naddress = \"10.0.0.3:1\"\nincarnation = 1\n\
             data_centre = \"erie\"\n";
    for number in 0..140 {
        text += &format!(
            "[[member]]\nname = \"m{number}\"\n[[rule]]\nname = \"r{number}\"\n\
             when = {{ member = [\"m{number}\"] }}\nthen = {{ service = \"wide\" }}\n"
        );
    }
    check_part(
        &text,
        expect![[r#"
        more:809: rule[133]: raises the number of addresses of all rules above 200000
    "#]],
    );
}

#[test]
fn reports_unknown_keys() {
    let text = r#"title = "x"
[[rule]]
name = "r"
unless = {}
when = { adress = ["auction"] }
then = { service = "desk", prio = 1 }
[[service.target]]
name = "a1"
[[member]]
name = "studs"
paid = 3
[[key]]
id = 2
secret = "000102030405060708090a0b0c0d0e0f"
until = "tomorrow"
"#;
    check_part(
        text,
        expect![[r#"
        more:1: title: unknown key
        more:4: rule[0].unless: unknown key
        more:5: rule[0].when.adress: unknown key
        more:6: rule[0].then.prio: unknown key
        more:7: service: must be an array of tables
        more:11: member[0].paid: unknown key
        more:15: key[0].until: unknown key
    "#]],
    );
}

#[test]
fn reports_values_of_the_wrong_type() {
    let text = r#"member = "bricks"
key = [1]
[[rule]]
name = 1
when = { address = "auction", member = [1], data_centre = {}, kind = ["claim", "bid", "bid"] }
then = { service = ["desk"], priority = "high", when_full = "wait", weight = 1.5 }
[[rule]]
name = "s"
when = 1
then = true
[[target]]
service = "desk"
name = "a2"
address = 9001
incarnation = "1"
data_centre = ""
draining = "no"
"#;
    check_part(
        text,
        expect![[r#"
        more:1: member: must be an array of tables
        more:2: key[0]: must be a table
        more:4: rule[0].name: must be a text
        more:5: rule[0].when.address: must be an array of texts
        more:5: rule[0].when.member[0]: must be a text
        more:5: rule[0].when.data_centre: must be an array of texts
        more:5: rule[0].when.kind[0]: unknown kind of traffic "claim"
        more:5: rule[0].when.kind[2]: "bid" stands twice
        more:6: rule[0].then.service: must be a text
        more:6: rule[0].then.priority: must be a whole number
        more:6: rule[0].then.weight: must be a whole number
        more:6: rule[0].then.when_full: must be "queue" or "refuse"
        more:9: rule[1].when: must be a table
        more:10: rule[1].then: must be a table
        more:14: target[0].address: must be a text
        more:15: target[0].incarnation: must be a whole number
        more:16: target[0].data_centre: must not be empty
        more:17: target[0].draining: must be true or false
    "#]],
    );
}

#[test]
fn reports_missing_keys() {
    check_part(
        "[[rule]]\n[[service]]\n[[target]]\n[[member]]\n[[key]]\n",
        expect![[r#"
        more:1: rule[0].name: is missing
        more:1: rule[0].then: is missing
        more:2: service[0].name: is missing
        more:2: service[0].addresses: is missing
        more:2: service[0]: has no target
        more:3: target[0].service: is missing
        more:3: target[0].name: is missing
        more:3: target[0].address: is missing
        more:3: target[0].incarnation: is missing
        more:3: target[0].data_centre: is missing
        more:4: member[0].name: is missing
        more:5: key[0].id: is missing
        more:5: key[0].secret: is missing
    "#]],
    );
    check_part(
        "[[rule]]\nname = \"r\"\nthen = {}\n",
        expect![[r#"
        more:3: rule[0].then.service: is missing
    "#]],
    );
    check_part(
        "[[rule]]\nname = \"r\"\nthen = { deny = false }\n",
        expect![[r#"
        more:3: rule[0].then.service: is missing
    "#]],
    );
    check_part(
        "[[service]]\nname = \"s\"\naddresses = []\n",
        expect![[r#"
        more:1: service[0]: has no target
        more:3: service[0].addresses: must not be empty
    "#]],
    );
}

#[test]
fn reports_numbers_outside_their_range() {
    let text = r#"[[rule]]
name = "r"
then = { service = "desk", priority = 8, weight = 0, member_limit = -1 }
[[service]]
name = "s"
addresses = ["s"]
queue_limit = 9999999
shards = 0
[[service.target]]
name = "s1"
address = "10.0.0.9:0"
incarnation = 0
data_centre = "toledo"
slots = 0
connections = 0
[[key]]
id = 4294967296
secret = "00"
"#;
    check_part(
        text,
        expect![[r#"
        more:3: rule[0].then.priority: must be from 0 to 7
        more:3: rule[0].then.weight: must be from 1 to 1000000
        more:3: rule[0].then.member_limit: must be from 0 to 4294967295
        more:4: service[0]: has no target
        more:7: service[0].queue_limit: must be from 0 to 1000000
        more:8: service[0].shards: must be from 1 to 1000
        more:11: service[0].target[0].address: must not have port 0
        more:12: service[0].target[0].incarnation: must be from 1 to 18446744073709551615
        more:14: service[0].target[0].slots: must be from 1 to 100000
        more:15: service[0].target[0].connections: must be from 1 to 10000000
        more:17: key[0].id: must be from 1 to 4294967295
        more:18: key[0].secret: must be at least 16 bytes (32 hex digits)
    "#]],
    );
}

#[test]
fn reports_invalid_secrets() {
    let text = r#"[[member]]
name = "a"
secret = "00112233445566778899aabbccddee"
[[member]]
name = "b"
secret = "secret"
[[member]]
name = "c"
secret = ""
[[key]]
id = 2
secret = "0011223344556677"
"#;
    check_part(
        text,
        expect![[r#"
        more:3: member[0].secret: must be at least 16 bytes (32 hex digits)
        more:6: member[1].secret: must be an even number of hex digits
        more:9: member[2].secret: must be at least 16 bytes (32 hex digits)
        more:12: key[0].secret: must be at least 16 bytes (32 hex digits)
    "#]],
    );
}

#[test]
fn reports_names_that_are_too_long_or_have_invalid_characters() {
    let text = r#"[[member]]
name = "a-name-of-just-thirty-two-bytes."
[[member]]
name = "a-name-of-just-thirty-three-bytes"
[[member]]
name = "two words"
[[member]]
name = "größe"
"#;
    check_part(
        text,
        expect![[r#"
        more:4: member[1].name: must not be longer than 32 bytes
        more:6: member[2].name: may hold only ASCII letters, digits, '.', '-' and '_'
        more:8: member[3].name: may hold only ASCII letters, digits, '.', '-' and '_'
    "#]],
    );
}

#[test]
fn reports_keys_without_effect_beside_deny() {
    let text = "[[rule]]\nname = \"r\"\nthen = { deny = true, service = \"desk\", priority = 1 }\n";
    check_part(
        text,
        expect![[r#"
            more:3: rule[0].then.service: has no effect beside deny
            more:3: rule[0].then.priority: has no effect beside deny
        "#]],
    );
}
