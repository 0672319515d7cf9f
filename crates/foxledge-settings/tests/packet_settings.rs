//! Settings of the packet path.

use expect_test::expect;
use foxledge_settings::{AdmissionSettings, parse_packet_settings};

const EXAMPLE: &str = include_str!("../../../docs/examples/packets.toml");
const REQUIRED: &str = "[instance]\nname = \"a\"\ndata_centre = \"b\"\n[listen]\n\
    data = \"127.0.0.1:1\"\npeer = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\n\
    [store]\naddress = \"127.0.0.1:4\"\n";

#[test]
fn reads_example() {
    let settings = parse_packet_settings("packets.toml", EXAMPLE).expect("the settings are valid");
    assert_eq!(settings.link_mbps, 1_000);
    assert_eq!(settings.stop_limit_ms, 6_000);
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!(settings.regions.len(), 2);
    assert_eq!((settings.cold_overrun_permille, settings.cold_slack_per_ks), (1_500, 5_000));
    let admission = AdmissionSettings { floor_percent: 10, account_percent: 100 };
    assert_eq!((settings.shares_load, settings.admission), (true, Some(admission)));
}

#[test]
fn reports_invalid_regions() {
    let table = "[[data_centres]]\nname = \"a\"\nregion = \"r\"\n";
    let bad = format!(
        "{REQUIRED}{table}{table}[[data_centres]]\nname = \"\"\n[cold]\noverrun = \"half\"\n"
    );
    let findings = parse_packet_settings("s", &bad).expect_err("the settings are invalid");
    expect![[r#"
        s:14: data_centres[1].name: "a" stands twice
        s:16: data_centres[2].region: is missing
        s:17: data_centres[2].name: must not be empty
        s:19: cold.overrun: must be a number

    "#]]
    .assert_eq(&format!("{findings}\n"));
}

#[test]
fn fills_in_defaults() {
    let settings = parse_packet_settings("s", REQUIRED).expect("the settings are valid");
    assert_eq!(settings.peer_public, settings.peer);
    assert_eq!((settings.metrics, settings.seeds.len()), (None, 0));
    assert_eq!((settings.stop_limit_ms, settings.log_lines_per_s), (6_000, 100));
    assert_eq!((settings.shares_load, settings.admission), (false, None));
}

#[test]
fn reports_all_findings_together() {
    let text = "[instance]\nname = \"\"\nlink_mbps = \"wide\"\n[listen]\ndata = \"[::1]:1\"\n\
        peer = \"x\"\nadmin = 5\nmore = 1\n[peers]\nseeds = [\"1.2.3.4\"]\n[stop]\nlimit_s = \"short\"\n";
    let findings = parse_packet_settings("s", text).expect_err("the settings are invalid");
    expect![[r#"
        s: store.address: is missing
        s:1: instance.data_centre: is missing
        s:2: instance.name: must not be empty
        s:3: instance.link_mbps: must be a number
        s:5: listen.data: must be an IPv4 address
        s:6: listen.peer: "x" is not an IP number with a port
        s:7: listen.admin: must be a text
        s:8: listen.more: unknown key
        s:10: peers.seeds: "1.2.3.4" is not an IPv4 number with a port
        s:12: stop.limit_s: must be a number
    "#]]
    .assert_eq(&findings.to_string());
}

#[test]
fn reports_equal_socket_addresses() {
    let text = REQUIRED.replace("127.0.0.1:2", "127.0.0.1:1");
    let findings = parse_packet_settings("s", &text).expect_err("the settings are invalid");
    assert!(findings.to_string().contains("listen.peer: must differ from data"), "{findings}");
}

#[test]
fn reads_decimal_stop_limit() {
    let text = format!("{REQUIRED}[stop]\nlimit_s = 2.5\n");
    assert_eq!(
        parse_packet_settings("s", &text).expect("the settings are valid").stop_limit_ms,
        2_500
    );
}

#[test]
fn merges_repeated_seeds() {
    let text = format!("{REQUIRED}[peers]\nseeds = [\"127.0.0.1:9\", \"127.0.0.1:9\"]\n");
    assert_eq!(parse_packet_settings("s", &text).expect("the settings are valid").seeds.len(), 1);
}

#[test]
fn lists_changed_keys() {
    let before = parse_packet_settings("s", REQUIRED).expect("the settings are valid");
    let after = parse_packet_settings("s", &REQUIRED.replace("\"b\"", "\"c\""))
        .expect("the settings are valid");
    let changes = before.changes(&after);
    let keys: Vec<_> = changes.iter().map(|(key, ..)| key.as_ref()).collect();
    assert_eq!(keys, ["instance.data_centre"]);
}

// Guards against an account share below the fair rate, which would refuse all client accounts,
// and against admission without load reports, which it depends on.
#[test]
fn reports_invalid_admission() {
    let bad = format!(
        "{REQUIRED}[load]\nenabled = false\n[admission]\nenabled = true\nfloor_percent = 51\n\
         account_share = 0.5\nmore = 1\n"
    );
    let findings = parse_packet_settings("s", &bad).expect_err("the settings are invalid");
    expect![[r#"
        s:13: admission.enabled: needs load.enabled
        s:14: admission.floor_percent: must be from 0 to 50
        s:15: admission.account_share: must be 0 or from 1 to 100
        s:16: admission.more: unknown key
    "#]]
    .assert_eq(&findings.to_string());
}

// Guards against limits read from a disabled table.
#[test]
fn reads_admission_only_when_enabled() {
    let text = |load: &str, admission: &str| {
        format!("{REQUIRED}[load]\nenabled = {load}\n[admission]\n{admission}\n")
    };
    let read = |load, admission| {
        let settings =
            parse_packet_settings("s", &text(load, admission)).expect("the settings are valid");
        (settings.shares_load, settings.admission)
    };
    let limits =
        |floor_percent, account_percent| Some(AdmissionSettings { floor_percent, account_percent });
    assert_eq!(read("true", "enabled = true"), (true, limits(10, 100)));
    assert_eq!(read("true", "enabled = true\nfloor_percent = 0"), (true, limits(0, 100)));
    assert_eq!(read("true", "enabled = true\naccount_share = 2.5"), (true, limits(10, 250)));
    assert_eq!(read("true", "enabled = true\naccount_share = 0"), (true, limits(10, 0)));
    assert_eq!(read("true", "floor_percent = 20"), (true, None));
    assert_eq!(read("false", "enabled = false"), (false, None));
}

// Guards against a reload that changes load sharing or admission without reporting it.
#[test]
fn lists_changes_of_load_and_admission() {
    let before = parse_packet_settings("s", REQUIRED).expect("the settings are valid");
    let text = format!("{REQUIRED}[load]\nenabled = true\n[admission]\nenabled = true\n");
    let after = parse_packet_settings("s", &text).expect("the settings are valid");
    let changes = before.changes(&after);
    let listed: Vec<_> = changes.iter().map(|(key, _, after)| format!("{key} {after}")).collect();
    let admission = "admission floor 10 percent, account share 100 percent";
    assert_eq!(listed, ["load.enabled true", admission]);
}
