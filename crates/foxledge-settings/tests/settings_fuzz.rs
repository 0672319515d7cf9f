//! Generated input: no text causes a panic, and invalid settings always have a finding.

use foxledge_settings::parse_settings;
use proptest::prelude::*;

const EXAMPLE: &str = include_str!("../../../docs/examples/foxledged.toml");

fn check(text: &str) -> Result<(), TestCaseError> {
    let first = parse_settings("fuzz.toml", text);
    prop_assert_eq!(&first, &parse_settings("fuzz.toml", text));
    if let Err(findings) = first {
        prop_assert!(!findings.is_empty());
    }
    Ok(())
}

/// Generates the example with some spans replaced.
fn damaged() -> impl Strategy<Value = String> {
    let replacement = proptest::string::string_regex("[ -~\n]{0,8}").unwrap();
    let cuts = proptest::collection::vec((0..EXAMPLE.len(), 0..40usize, replacement), 1..4);
    cuts.prop_map(|cuts| {
        let mut text = EXAMPLE.to_owned();
        for (position, length, replacement) in cuts {
            let start = position.min(text.len());
            let end = (start + length).min(text.len());
            text.replace_range(start..end, &replacement);
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parses_any_text_without_panic(text in any::<String>()) {
        check(&text)?;
    }

    #[test]
    fn parses_damaged_example_without_panic(text in damaged()) {
        check(&text)?;
    }

    #[test]
    fn parses_replaced_values_without_panic(at in 0..60usize, value in "[-+]?[0-9a-fx_.]{1,24}|\"[ -!#-\\[\\]-~]{0,40}\"|\\[\\]|\\{\\}") {
        let is_key = |line: &&str| line.contains(" = ") && !line.starts_with('#');
        let keys: Vec<_> = EXAMPLE.lines().filter(is_key).collect();
        let line = keys[at % keys.len()];
        let (key, _) = line.split_once(" = ").unwrap();
        check(&EXAMPLE.replace(line, &format!("{key} = {value}")))?;
    }
}
