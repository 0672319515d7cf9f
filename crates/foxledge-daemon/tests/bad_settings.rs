//! Checks of settings files on the command line.

mod common;

use std::{fs, process::Command};

use anyhow::Result;
use expect_test::expect;
use foxledge_fakes::harness::{InstanceAddresses, make_directory};

const BAD: &str = r#"[instance]
name = ""
data_centre = "toledo"
[listen]
data = "somewhere:7000"
peer = "127.0.0.1:7001"
control = "127.0.0.1:7002"
admin = "127.0.0.1:7002"
[platform]
addresses = []
[flow]
placement = "anywhere"
tickets = 3
"#;

/// Guards against a check that stops at its first finding, so that operators would have to
/// start the daemon once for each fault.
#[test]
fn reports_all_findings_and_does_not_start() -> Result<()> {
    let directory = make_directory()?;
    let path = directory.join("bad.toml");
    fs::write(&path, BAD)?;
    let output =
        Command::new(env!("CARGO_BIN_EXE_foxledged")).arg("--config").arg(&path).output()?;
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr)?.replace(&path.display().to_string(), "bad.toml");
    expect![[r#"
        bad.toml:2: instance.name: must not be empty
        bad.toml:5: listen.data: "somewhere:7000" is not an IP number with a port
        bad.toml:8: listen.admin: has the same port as listen.control
        bad.toml:10: platform.addresses: must not be empty
        bad.toml:12: flow.placement: must be one of "service-home", "entry-local", "target-home"
        bad.toml:13: flow.tickets: unknown key
        foxledged: 6 findings, nothing started
    "#]]
    .assert_eq(&text);
    Ok(())
}

#[test]
fn check_option_exits_without_starting() -> Result<()> {
    let directory = make_directory()?;
    let listen = InstanceAddresses::pick()?;
    let path = common::write_settings(&directory, "good", listen, "")?;
    let output = Command::new(env!("CARGO_BIN_EXE_foxledged"))
        .args(["--check", "--config"])
        .arg(&path)
        .output()?;
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout)?.replace(&path.display().to_string(), "good.toml");
    expect![[r#"
        good.toml: no findings
    "#]]
    .assert_eq(&text);
    Ok(())
}
