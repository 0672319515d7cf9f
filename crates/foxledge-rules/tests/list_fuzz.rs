//! Generated bad input: no text panics, and the verdict is the same twice.

use foxledge_rules::{OwnedPart, build_list};
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../docs/examples/lakeshore-rules.toml");

/// Pieces of lists, so that many generated texts get past the TOML parser.
const PIECES: &[&str] = &[
    "[[rule]]\n",
    "[[service]]\n",
    "[[service.target]]\n",
    "[[target]]\n",
    "[[member]]\n",
    "[[key]]\n",
    "[rule]\n",
    "name = \"a\"\n",
    "name = \"b\"\n",
    "name = 'a'\n",
    "when = { address = [\"a\"], kind = [\"bid\"] }\n",
    "when = { member = [\"a\", \"b\"] }\n",
    "when = [[], {}]\n",
    "then = { deny = true }\n",
    "then = { service = \"a\" }\n",
    "then = { service = \"b\", priority = 9 }\n",
    "then.deny = true\n",
    "addresses = [\"a\"]\n",
    "addresses = [\"b\", 1]\n",
    "address = \"10.0.0.1:9\"\n",
    "address = \"[::1]:9\"\n",
    "incarnation = 1\n",
    "incarnation = 0xffff_ffff_ffff_ffff\n",
    "data_centre = \"a\"\n",
    "shards = 2\n",
    "shards = -0\n",
    "service = \"a\"\n",
    "id = 1\n",
    "secret = \"000102030405060708090a0b0c0d0e0f\"\n",
    "secret = \"é\"\n",
    "x = nan\n",
    "\"\" = 2026-12-02\n",
];

fn verdict(parts: &[OwnedPart]) -> Result<String, String> {
    match build_list(3, parts) {
        Ok(list) => Ok(format!("{:?} {:?} {:?}", list.version, list.rules, list.services)),
        Err(findings) => Err(findings.to_string()),
    }
}

fn check(texts: Vec<String>) -> Result<(), TestCaseError> {
    let parts = (0..).zip(texts).map(|(n, text)| OwnedPart { name: format!("p{n}"), text });
    let parts: Vec<_> = parts.collect();
    let first = verdict(&parts);
    prop_assert_eq!(&first, &verdict(&parts));
    // A refusal without a finding would tell the operator nothing.
    prop_assert_ne!(first, Err(String::new()));
    Ok(())
}

fn soup() -> impl Strategy<Value = String> {
    let piece = proptest::sample::select(PIECES);
    proptest::collection::vec(piece, 0..30).prop_map(|pieces| pieces.concat())
}

/// The example with some spans replaced.
fn damaged() -> impl Strategy<Value = String> {
    let cut =
        (0..EXAMPLE.len(), 0..40usize, proptest::string::string_regex("[ -~\n]{0,8}").unwrap());
    proptest::collection::vec(cut, 1..4).prop_map(|cuts| {
        let mut text = EXAMPLE.to_owned();
        for (at, length, instead) in cuts {
            let start = at.min(text.len());
            let end = (start + length).min(text.len());
            text.replace_range(start..end, &instead);
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_text(texts in proptest::collection::vec(any::<String>(), 0..3)) {
        check(texts)?;
    }

    #[test]
    fn pieces_of_lists(texts in proptest::collection::vec(soup(), 1..4)) {
        check(texts)?;
    }

    #[test]
    fn damaged_example(text in damaged()) {
        check(vec![text])?;
    }
}

#[test]
fn deep_nesting() {
    let deep = format!("x = {}{}\n", "[".repeat(50_000), "]".repeat(50_000));
    let dotted = format!("{}y = 1\n", "a.".repeat(50_000));
    let inline = format!("x = {}1{}\n", "{ a = ".repeat(50_000), " }".repeat(50_000));
    for text in [deep, dotted, inline] {
        assert!(verdict(&[OwnedPart { name: "deep".to_owned(), text }]).is_err());
    }
}
