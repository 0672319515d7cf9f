//! Generated invalid input: building never panics and gives the same result twice.

use foxledge_rules::{OwnedPart, build_list};
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../docs/examples/lakeshore-rules.toml");

/// Pieces of lists, so that many generated texts are valid TOML.
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

fn build_result(parts: &[OwnedPart]) -> Result<String, String> {
    match build_list(3, parts) {
        Ok(list) => Ok(format!("{:?} {:?} {:?}", list.version, list.rules, list.services)),
        Err(findings) => Err(findings.to_string()),
    }
}

fn check(texts: Vec<String>) -> Result<(), TestCaseError> {
    let parts =
        (0..).zip(texts).map(|(number, text)| OwnedPart { name: format!("p{number}"), text });
    let parts: Vec<_> = parts.collect();
    let first = build_result(&parts);
    prop_assert_eq!(&first, &build_result(&parts));
    // A rejection without a finding would give the operator no reason.
    prop_assert_ne!(first, Err(String::new()));
    Ok(())
}

fn random_pieces() -> impl Strategy<Value = String> {
    let piece = proptest::sample::select(PIECES);
    proptest::collection::vec(piece, 0..30).prop_map(|pieces| pieces.concat())
}

/// Generates the example with some spans replaced.
fn damaged_example() -> impl Strategy<Value = String> {
    let replacement_span =
        (0..EXAMPLE.len(), 0..40usize, proptest::string::string_regex("[ -~\n]{0,8}").unwrap());
    proptest::collection::vec(replacement_span, 1..4).prop_map(|replacement_spans| {
        let mut text = EXAMPLE.to_owned();
        for (at, length, replacement) in replacement_spans {
            let start = at.min(text.len());
            let end = (start + length).min(text.len());
            text.replace_range(start..end, &replacement);
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_texts_are_deterministic(texts in proptest::collection::vec(any::<String>(), 0..3)) {
        check(texts)?;
    }

    #[test]
    fn random_pieces_are_deterministic(texts in proptest::collection::vec(random_pieces(), 1..4)) {
        check(texts)?;
    }

    #[test]
    fn damaged_examples_are_deterministic(text in damaged_example()) {
        check(vec![text])?;
    }
}

#[test]
fn rejects_deeply_nested_texts() {
    let deep = format!("x = {}{}\n", "[".repeat(50_000), "]".repeat(50_000));
    let dotted = format!("{}y = 1\n", "a.".repeat(50_000));
    let inline = format!("x = {}1{}\n", "{ a = ".repeat(50_000), " }".repeat(50_000));
    for text in [deep, dotted, inline] {
        assert!(build_result(&[OwnedPart { name: "deep".to_owned(), text }]).is_err());
    }
}
