//! A valid part, and functions that check the findings of an invalid list.
#![allow(dead_code)]

use expect_test::Expect;
use foxledge_rules::{OwnedPart, build_list};

/// A part without findings.
pub const VALID_PART: &str = r#"[[service]]
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

/// Creates a part.
pub fn part(name: &str, text: &str) -> OwnedPart {
    OwnedPart { name: name.to_owned(), text: text.to_owned() }
}

/// Checks the findings of a list.
pub fn check_list(parts: &[OwnedPart], findings: Expect) {
    let actual = build_list(1, parts).expect_err("the list must be rejected");
    findings.assert_eq(&actual.to_string());
}

/// Checks the findings of a list that consists of a valid part `good` and a part `more`.
pub fn check_part(text: &str, findings: Expect) {
    check_list(&[part("good", VALID_PART), part("more", text)], findings);
}
