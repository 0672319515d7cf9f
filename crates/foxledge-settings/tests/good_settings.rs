//! Good settings: the documented example and the defaults.

use std::path::Path;

use foxledge_settings::{DaemonSettings, TrialSettings, load_settings, parse_settings};
use log::LevelFilter;

const REQUIRED: &str = r#"
[instance]
name = "toledo-1"
data_centre = "toledo"
[listen]
data = "10.0.1.11:7000"
peer = "10.0.1.11:7001"
control = "10.0.1.11:7002"
admin = "10.0.1.11:7003"
[platform]
addresses = ["10.0.0.5:7400", "10.0.0.6:7400"]
"#;

fn example() -> DaemonSettings {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples/foxledged.toml");
    load_settings(&path).expect("the example is good")
}

#[test]
fn example_shows_the_defaults() {
    let defaults = parse_settings("required.toml", REQUIRED).expect("the required keys suffice");
    let mut example = example();
    assert_eq!(example.peers.seeds.len(), 2);
    assert!(example.tls.is_some());
    // Seeds and TLS are shown, though their default is none.
    example.peers.seeds.clear();
    example.tls = None;
    assert_eq!(example, defaults);
}

#[test]
fn example_shows_every_key() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples/foxledged.toml");
    let text = std::fs::read_to_string(path).unwrap();
    let source = include_str!("../src/parse.rs");
    let reading =
        ["name", "text", "address", "addresses", "number_or", "switch", "millis", "percent"];
    let mut keys = Vec::new();
    for line in source.lines() {
        for quoted in line.split('"').skip(1).step_by(2) {
            let reads = reading.iter().any(|word| {
                line.contains(&format!("{word}(\"{quoted}\""))
                    || line.contains(&format!("{word}(table, \"{quoted}\""))
            });
            if reads {
                keys.push(quoted);
            }
        }
    }
    assert!(keys.len() > 35, "{keys:?}");
    for key in keys {
        let shown = text.lines().any(|line| line.starts_with(&format!("{key} = ")));
        assert!(shown, "{key} is not in the example");
    }
}

#[test]
fn values_are_read() {
    let text = format!(
        "{REQUIRED}wait_ms = 0x10\n[log]\nlevel = \"debug\"\n[trial]\nrun_once = false\n\
         fair_order = false\n[flow]\npolicy = \"two-choices\"\nplacement = \"target-home\"\n"
    );
    let settings = parse_settings("values.toml", &text).unwrap();
    assert_eq!(settings.platform.wait_ms, 16);
    assert_eq!(settings.log.level, LevelFilter::Debug);
    assert_eq!(settings.flow.policy.as_str(), "two-choices");
    assert_eq!(settings.flow.placement.as_str(), "target-home");
    assert_eq!(settings.trial.switched_off(), ["run_once", "fair_order"]);
    assert!(TrialSettings::default().switched_off().is_empty());
}
