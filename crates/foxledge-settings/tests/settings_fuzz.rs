//! Generated bad input: no text panics, and no refusal comes without a finding.

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

/// The example with some spans replaced.
fn damaged() -> impl Strategy<Value = String> {
    let instead = proptest::string::string_regex("[ -~\n]{0,8}").unwrap();
    let cuts = proptest::collection::vec((0..EXAMPLE.len(), 0..40usize, instead), 1..4);
    cuts.prop_map(|cuts| {
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
    fn any_text(text in any::<String>()) {
        check(&text)?;
    }

    #[test]
    fn damaged_example(text in damaged()) {
        check(&text)?;
    }

    #[test]
    fn damaged_values(at in 0..60usize, value in "[-+]?[0-9a-fx_.]{1,24}|\"[ -!#-\\[\\]-~]{0,40}\"|\\[\\]|\\{\\}") {
        let is_key = |line: &&str| line.contains(" = ") && !line.starts_with('#');
        let keys: Vec<_> = EXAMPLE.lines().filter(is_key).collect();
        let line = keys[at % keys.len()];
        let (key, _) = line.split_once(" = ").unwrap();
        check(&EXAMPLE.replace(line, &format!("{key} = {value}")))?;
    }
}
