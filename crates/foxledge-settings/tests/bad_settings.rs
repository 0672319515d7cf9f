//! Invalid settings of the request path, with the exact findings.

use expect_test::{Expect, expect};
use foxledge_settings::{load_settings, parse_settings};

const GOOD: &str = r#"[instance]
name = "toledo-1"
data_centre = "toledo"
[listen]
data = "10.0.1.11:7000"
peer = "10.0.1.11:7001"
control = "10.0.1.11:7002"
admin = "10.0.1.11:7003"
[platform]
addresses = ["10.0.0.5:7400"]
"#;

fn check(text: &str, findings: Expect) {
    let found = parse_settings("foxledged.toml", text).expect_err("the settings are invalid");
    findings.assert_eq(&found.to_string());
}

/// Checks valid settings with appended tables; the first appended line is line 11.
fn check_added(added: &str, findings: Expect) {
    check(&format!("{GOOD}{added}"), findings);
}

#[test]
fn accepts_base_settings() {
    parse_settings("foxledged.toml", GOOD).unwrap();
}

#[test]
fn reports_syntax_error_as_one_finding() {
    check(
        "[instance]\nname = \"a\"\ndata_centre = = \"b\"\n",
        expect![[r#"
        foxledged.toml:3: not TOML: extra `=`, expected nothing
    "#]],
    );
    check(
        "[instance]\nname = \"a\"\nname = \"b\"\n",
        expect![[r#"
        foxledged.toml:3: not TOML: duplicate key
    "#]],
    );
    check(
        "[instance\n",
        expect![[r#"
        foxledged.toml:1: not TOML: unclosed table, expected `]`
    "#]],
    );
}

#[test]
fn reports_all_missing_keys_of_empty_file() {
    check(
        "",
        expect![[r#"
        foxledged.toml: instance.name: is missing
        foxledged.toml: instance.data_centre: is missing
        foxledged.toml: listen.data: is missing
        foxledged.toml: listen.peer: is missing
        foxledged.toml: listen.control: is missing
        foxledged.toml: listen.admin: is missing
        foxledged.toml: platform.addresses: is missing
    "#]],
    );
}

#[test]
fn reports_all_findings_together() {
    let text = r#"nonsense = 1
[instance]
name = "toledo 1"
data_centre = 7
[listen]
data = "localhost:7000"
peer = "10.0.1.11"
control = "0.0.0.0:7002"
admin = "10.0.1.11:7002"
port = 1
[platform]
addresses = ["10.0.0.5:7400", "platform:1", 3, "10.0.0.5:7400"]
wait_ms = "long"
readers_per_centre = 0
"#;
    check(
        text,
        expect![[r#"
        foxledged.toml:1: nonsense: unknown key
        foxledged.toml:3: instance.name: may hold only ASCII letters, digits, '.', '-' and '_'
        foxledged.toml:4: instance.data_centre: must be a text
        foxledged.toml:6: listen.data: "localhost:7000" is not an IP number with a port
        foxledged.toml:7: listen.peer: "10.0.1.11" is not an IP number with a port
        foxledged.toml:8: listen.control: must name one IP number, because peers are told it
        foxledged.toml:9: listen.admin: has the same port as listen.control
        foxledged.toml:10: listen.port: unknown key
        foxledged.toml:12: platform.addresses[2]: must be a text
        foxledged.toml:12: platform.addresses[1]: "platform:1" is not an IP number with a port
        foxledged.toml:12: platform.addresses[3]: "10.0.0.5:7400" stands twice
        foxledged.toml:13: platform.wait_ms: must be a whole number
        foxledged.toml:14: platform.readers_per_centre: must be from 1 to 100
    "#]],
    );
}

#[test]
fn reports_values_of_wrong_type() {
    check(
        "instance = 1\nlisten = []\nplatform = \"x\"\n",
        expect![[r#"
            foxledged.toml:1: instance: must be a table
            foxledged.toml:2: listen: must be a table
            foxledged.toml:3: platform: must be a table
        "#]],
    );
    check_added(
        "[trial]\nrun_once = 1\n[log]\nlevel = true\n[peers]\nseeds = \"x\"\n",
        expect![[r#"
            foxledged.toml:12: trial.run_once: must be true or false
            foxledged.toml:14: log.level: must be a text
            foxledged.toml:16: peers.seeds: must be an array of texts
        "#]],
    );
    check_added(
        "[stop]\nlimit_ms = 1.5\n[audit]\nentries = 2026-12-02\n",
        expect![[r#"
        foxledged.toml:12: stop.limit_ms: must be a whole number
        foxledged.toml:14: audit.entries: must be a whole number
    "#]],
    );
}

#[test]
fn reports_numbers_out_of_range() {
    check_added(
        "[flow]\nticket_ms = 99\nticket_count = 0\nforward_wait_ms = -1\n[audit]\nentries = 0\n",
        expect![[r#"
            foxledged.toml:12: flow.ticket_ms: must be from 100 to 60000
            foxledged.toml:13: flow.ticket_count: must be from 1 to 10000
            foxledged.toml:14: flow.forward_wait_ms: must be from 1 to 60000
            foxledged.toml:16: audit.entries: must be from 1 to 1000000
        "#]],
    );
    check_added(
        "[desk]\nretry_budget_percent = 101\nack_ms = 99999999999999999999\neject_ms = 3600001\n",
        expect![[r#"
            foxledged.toml:12: desk.retry_budget_percent: must be from 0 to 100
            foxledged.toml:13: desk.ack_ms: must be from 1 to 3600000
            foxledged.toml:14: desk.eject_ms: must be from 1 to 3600000
        "#]],
    );
}

#[test]
fn reports_unknown_choices() {
    check_added(
        "[flow]\nplacement = \"home\"\npolicy = \"\"\n[log]\nlevel = \"loud\"\n",
        expect![[r#"
            foxledged.toml:12: flow.placement: must be one of "service-home", "entry-local", "target-home"
            foxledged.toml:13: flow.policy: must be one of "freest", "hash", "round-robin", "two-choices"
            foxledged.toml:15: log.level: must be one of "off", "error", "warn", "info", "debug", "trace"
        "#]],
    );
}

#[test]
fn reports_contradicting_values() {
    check_added(
        "[peers]\nheartbeat_ms = 1500\nsuspect_after_ms = 1500\ndead_after_ms = 1000\n",
        expect![[r#"
            foxledged.toml:13: peers.suspect_after_ms: must be more than peers.heartbeat_ms
            foxledged.toml:14: peers.dead_after_ms: must be more than peers.suspect_after_ms
        "#]],
    );
    check_added(
        "[flow]\nticket_ms = 10000\n[stop]\nlimit_ms = 9000\n",
        expect![[r#"
        foxledged.toml:14: stop.limit_ms: must be more than flow.ticket_ms
    "#]],
    );
    check_added(
        "[flow]\nticket_ms = 10000\n",
        expect![[r#"
        foxledged.toml: stop.limit_ms: must be more than flow.ticket_ms
    "#]],
    );
}

#[test]
fn reports_shared_ports() {
    let text =
        GOOD.replace("10.0.1.11:7001", "10.0.1.11:7000").replace("10.0.1.11:7003", "0.0.0.0:7002");
    check(
        &text,
        expect![[r#"
        foxledged.toml:6: listen.peer: has the same port as listen.data
        foxledged.toml:8: listen.admin: has the same port as listen.control
    "#]],
    );
    check(
        &GOOD.replace("7001", "0"),
        expect![[r#"
        foxledged.toml:6: listen.peer: must not have port 0
    "#]],
    );
}

#[test]
fn reports_incomplete_tls_table() {
    check_added(
        "[tls]\nca = \"ca.pem\"\nkey = \"\"\n",
        expect![[r#"
        foxledged.toml:11: tls.certificate: is missing
        foxledged.toml:13: tls.key: must not be empty
    "#]],
    );
}

#[test]
fn reports_invalid_routes() {
    check_added(
        "[trial]\nroutes = 1\n",
        expect![[r#"
            foxledged.toml:12: trial.routes: must be a table
        "#]],
    );
    check_added(
        "[trial.routes]\n\"nowhere\" = \"10.0.1.99:9001\"\n\"10.0.1.12:7001\" = 3\n",
        expect![[r#"
            foxledged.toml:12: trial.routes.nowhere: "nowhere" is not an IP number with a port
            foxledged.toml:13: trial.routes.10.0.1.12:7001: must be a text
        "#]],
    );
}

#[test]
fn reports_too_long_or_empty_name() {
    check(
        &GOOD.replace("toledo-1", &"a".repeat(33)),
        expect![[r#"
        foxledged.toml:2: instance.name: must not be longer than 32 bytes
    "#]],
    );
    check(
        &GOOD.replace("toledo-1", ""),
        expect![[r#"
        foxledged.toml:2: instance.name: must not be empty
    "#]],
    );
}

#[test]
fn reports_unreadable_files() {
    let directory = std::env::temp_dir();
    let path = directory.join(format!("foxledge-settings-{}.toml", std::process::id()));
    std::fs::write(&path, [0xff, 0xfe]).unwrap();
    let found = load_settings(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert!(found.ends_with(": is not UTF-8 text\n"), "{found}");
    let found = load_settings(&path).unwrap_err().to_string();
    assert!(found.contains(": can't be read: "), "{found}");
    let found = parse_settings("big.toml", &"#".repeat(1_000_001)).unwrap_err().to_string();
    assert_eq!(found, "big.toml: is larger than 1 MB\n");
}
