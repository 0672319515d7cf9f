//! Figures in the settings of the packet path that another system publishes.

use expect_test::expect;
use foxledge_settings::{PacketSettings, parse_packet_settings};

const REQUIRED: &str = "[listen]\ndata = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\n\
    admin = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:4\"\n\
    [instance]\nname = \"a\"\ndata_centre = \"b\"\n";

fn settings_with(text: &str) -> PacketSettings {
    parse_packet_settings("s", &format!("{REQUIRED}{text}")).expect("the settings are valid")
}

fn cold_limits(overrun: &str, slack: &str) -> (u32, u32) {
    let settings = settings_with(&format!("[cold]\noverrun = {overrun}\nslack = {slack}\n"));
    assert!(settings.warnings.is_empty(), "{}", settings.warnings);
    (settings.cold_overrun_permille, settings.cold_slack_per_ks)
}

// Guards against a fraction among the published figures that keeps instances from starting.
#[test]
fn fractions_and_whole_numbers_are_read() {
    assert_eq!(cold_limits("1.5", "2.5"), (1_500, 2_500));
    assert_eq!(cold_limits("2", "5.0"), (2_000, 5_000));
    assert_eq!(cold_limits("0.5", "0"), (500, 0));
    assert_eq!(cold_limits("0", "1_000"), (0, 1_000_000));
    assert_eq!(cold_limits("1e1", "0x10"), (10_000, 16_000));
    let settings = settings_with("link_mbps = 0x64\n[stop]\nlimit_s = 0.25\n");
    assert_eq!((settings.link_mbps, settings.stop_limit_ms), (100, 250));
}

// Guards against limits that are exceeded, or not reached, because of rounding.
#[test]
fn limits_are_rounded_down() {
    assert_eq!(cold_limits("1.0009", "0.0009"), (1_000, 0));
    assert_eq!(cold_limits("2.3", "4.1"), (2_300, 4_100));
}

// Guards against a figure without a usable value that keeps instances from starting.
#[test]
fn unusable_figures_are_replaced() {
    let text = "link_mbps = true\n[cold]\noverrun = -1\nslack = 1e300\n[stop]\nlimit_s = nan\n";
    let settings = settings_with(text);
    assert_eq!((settings.cold_overrun_permille, settings.cold_slack_per_ks), (0, 100_000_000));
    assert_eq!((settings.link_mbps, settings.stop_limit_ms), (0, 6_000));
    expect![[r#"
        s:10: instance.link_mbps: must be a number from 0 to 1000000; 0 is used
        s:12: cold.overrun: must be a number from 0 to 100; 0 is used
        s:13: cold.slack: must be a number from 0 to 100000; 100000 is used
        s:15: stop.limit_s: must be a number from 0 to 3600; 6 is used
    "#]]
    .assert_eq(&settings.warnings.to_string());
}

// Guards against a reload that changes a fraction without reporting it.
#[test]
fn changed_fractions_are_listed() {
    let before = settings_with("[cold]\noverrun = 1.5\nslack = 5\n");
    let after = settings_with("[cold]\noverrun = 1.25\nslack = 2.5\n");
    let changes = before.changes(&after);
    let texts: Vec<_> =
        changes.iter().map(|(key, before, after)| format!("{key}: {before} to {after}")).collect();
    assert_eq!(texts, ["cold.overrun: 1.5 to 1.25", "cold.slack: 5 to 2.5"]);
}
