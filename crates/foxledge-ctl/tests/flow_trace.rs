//! `foxledgectl trace`: one flow's story from log lines.

use std::{fs, process::Command};

use anyhow::Result;
use expect_test::expect;
use foxledge_fakes::harness::{binary_path, make_directory};

const ERIE: &str = r#"{"at_ms":10,"event":"flow_opened","flow":"100.65.0.19:1042>198.18.0.1:8080","backend":"backend/i-1","copy":0}
no object
{"at_ms":250,"event":"flow_opened","flow":"100.65.0.19:1042>198.18.0.1:8080","backend":"backend/i-2","copy":1}
{"at_ms":260,"event":"flow_opened","flow":"100.65.0.20:1042>198.18.0.1:8080","backend":"backend/i-2","copy":0}
{"at_ms":270,"event":"backend_observed","backend":"backend/i-9","kind":"suspect","observer":"self"}
"#;
const TOLEDO: &str = r#"{"at_ms":52,"event":"backend_observed","backend":"backend/i-1","kind":"suspect","observer":"self"}
{"at_ms":53,"event":"backend_observed","backend":"backend/i-1","kind":"suspect","observer":"peer"}
{"at_ms":99000,"event":"backend_observed","backend":"backend/i-1","kind":"alive","observer":"self"}
"#;

fn trace(flow: &str) -> Result<(String, Option<i32>)> {
    let folder = make_directory()?;
    let (erie, toledo) = (folder.join("erie-1.log"), folder.join("toledo-1.log"));
    fs::write(&erie, ERIE)?;
    fs::write(&toledo, TOLEDO)?;
    let program = binary_path("foxledgectl")?;
    let output = Command::new(program).arg("trace").arg(flow).arg(erie).arg(toledo).output()?;
    Ok((String::from_utf8(output.stdout)?, output.status.code()))
}

#[test]
fn story_in_order() -> Result<()> {
    let (text, code) = trace("100.65.0.19:1042")?;
    expect![[r#"
        10 erie-1 flow_opened backend="backend/i-1" copy=0 flow="100.65.0.19:1042>198.18.0.1:8080"
        52 toledo-1 backend_observed backend="backend/i-1" kind="suspect" observer="self"
        250 erie-1 flow_opened backend="backend/i-2" copy=1 flow="100.65.0.19:1042>198.18.0.1:8080"
    "#]]
    .assert_eq(&text);
    assert_eq!(code, Some(0));
    Ok(())
}

#[test]
fn whole_flow_named() -> Result<()> {
    let (text, _) = trace("100.65.0.20:1042>198.18.0.1:8080")?;
    assert_eq!(text.lines().count(), 1);
    Ok(())
}

#[test]
fn unknown_flow_told() -> Result<()> {
    let (text, code) = trace("100.65.0.99:1")?;
    assert!(text.contains("no line names the flow"), "{text}");
    assert_eq!(code, Some(1));
    Ok(())
}
