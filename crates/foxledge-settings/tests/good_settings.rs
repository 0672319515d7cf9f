//! Valid settings of the request path: the documented example and the defaults.

use std::path::{Path, PathBuf};

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
    load_settings(&example_path()).expect("the example is valid")
}

fn example_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples/foxledged.toml")
}

#[test]
fn example_has_default_values() {
    let defaults =
        parse_settings("required.toml", REQUIRED).expect("the required keys are sufficient");
    let mut example = example();
    assert_eq!(example.peers.seeds.len(), 2);
    assert!(example.tls.is_some());
    // The example contains seeds and TLS, which are absent by default.
    example.peers.seeds.clear();
    example.tls = None;
    assert_eq!(example, defaults);
}

#[test]
fn example_contains_every_key() {
    let text = std::fs::read_to_string(example_path()).unwrap();
    // Fields are named like their keys, so the debug output lists all keys.
    let output = format!("{:#?}", example());
    let fields: Vec<_> = output.lines().filter_map(|line| line.trim().split_once(": ")).collect();
    assert!(fields.len() > 45, "{output}");
    for (key, _) in fields {
        let shown = text.lines().any(|line| {
            line.starts_with(&format!("{key} = ")) || line.starts_with(&format!("[{key}]"))
        });
        assert!(shown, "{key} is not in the example");
    }
}

#[test]
fn reads_values_that_differ_from_defaults() {
    let text = format!(
        "{REQUIRED}wait_ms = 0x10\n[log]\nlevel = \"debug\"\n[trial]\nrun_once = false\n\
         fair_order = false\nroutes = {{ \"10.0.1.12:7001\" = \"10.0.1.99:9001\" }}\n\
         [flow]\npolicy = \"two-choices\"\nplacement = \"target-home\"\n"
    );
    let settings = parse_settings("values.toml", &text).unwrap();
    assert_eq!(settings.platform.wait_ms, 16);
    assert_eq!(settings.log.level, LevelFilter::Debug);
    assert_eq!(settings.flow.policy.as_str(), "two-choices");
    assert_eq!(settings.flow.placement.as_str(), "target-home");
    assert_eq!(settings.trial.disabled_mechanisms(), ["run_once", "fair_order"]);
    let route = settings.trial.routes.iter().next().unwrap();
    assert_eq!((route.0.port(), route.1.port()), (7001, 9001));
    let longest = REQUIRED.replace("toledo-1", &"a".repeat(32));
    assert_eq!(parse_settings("longest.toml", &longest).unwrap().instance.name.len(), 32);
    assert!(TrialSettings::default().disabled_mechanisms().is_empty());
}
