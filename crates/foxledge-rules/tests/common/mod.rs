//! A good part, and the check of a bad list's findings.
#![allow(dead_code)]

use expect_test::Expect;
use foxledge_rules::{OwnedPart, build_list};

/// A part in which nothing is wrong.
pub const GOOD: &str = r#"[[service]]
name = "desk"
addresses = ["auction"]
[[service.target]]
name = "a1"
address = "10.0.0.1:9001"
incarnation = 1
data_centre = "toledo"
[[service]]
name = "lots"
addresses = ["lots"]
[[target]]
service = "lots"
name = "i1"
address = "10.0.0.2:9001"
incarnation = 1
data_centre = "toledo"
[[member]]
name = "bricks"
[[key]]
id = 1
secret = "000102030405060708090a0b0c0d0e0f"
"#;

/// One part.
pub fn part(name: &str, text: &str) -> OwnedPart {
    OwnedPart { name: name.to_owned(), text: text.to_owned() }
}

/// Checks what is found in a whole list.
pub fn check_parts(parts: &[OwnedPart], findings: Expect) {
    let found = build_list(1, parts).expect_err("this list is bad");
    findings.assert_eq(&found.to_string());
}

/// Checks a part `more` beside one that is good.
pub fn check(text: &str, findings: Expect) {
    check_parts(&[part("good", GOOD), part("more", text)], findings);
}
