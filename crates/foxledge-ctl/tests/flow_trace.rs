//! `foxledgectl trace`, which prints the log lines that concern one flow.

use std::{fs, process::Command};

use anyhow::Result;
use expect_test::expect;
use foxledge_fakes::harness::{binary_path, make_directory};

/// The log of an instance in the data centre erie, with a line that is not JSON.
const ERIE: &str = r#"{"at_ms":10,"event":"flow_opened","flow":"100.65.0.19:1042>198.18.0.1:8080","backend":"backend/i-1","copy":0}
no object
{"at_ms":250,"event":"flow_opened","flow":"100.65.0.19:1042>198.18.0.1:8080","backend":"backend/i-2","copy":1}
{"at_ms":260,"event":"flow_opened","flow":"100.65.0.20:1042>198.18.0.1:8080","backend":"backend/i-2","copy":0}
{"at_ms":270,"event":"backend_observed","backend":"backend/i-9","kind":"suspect","observer":"self"}
"#;
/// The log of an instance in the data centre toledo, which observes a backend server.
const TOLEDO: &str = r#"{"at_ms":52,"event":"backend_observed","backend":"backend/i-1","kind":"suspect","observer":"self"}
{"at_ms":53,"event":"backend_observed","backend":"backend/i-1","kind":"suspect","observer":"peer"}
{"at_ms":99000,"event":"backend_observed","backend":"backend/i-1","kind":"alive","observer":"self"}
"#;

/// The log of an instance that lost power and was started again.
const DULUTH: &str = r#"{"at_ms":900,"event":"stop_begun","signal":15}
{"at_ms":61000,"event":"started","instance":"duluth-1"}
{"at_ms":61060,"event":"list_taken","revision":7}
{"at_ms":61070,"event":"serving","list_age_ms":12}
"#;

/// The log of an instance with a shortage that ended, a shortage that was active when a flow was
/// refused, and an overflow.
const KENOSHA: &str = r#"{"at_ms":100000,"event":"shortage_begun","service":"desk","load":1.2}
{"at_ms":101000,"event":"shortage_ended","service":"desk","load":0.8}
{"at_ms":102000,"event":"shortage_begun","service":"intake","load":2.5}
{"at_ms":103000,"event":"overflow_begun","service":"desk","load":1.1}
{"at_ms":140000,"event":"flow_refused","flow":"100.65.0.30:1042>198.18.0.1:443","reason":"shortage"}
{"at_ms":140001,"event":"shortage_begun","service":"desk","load":1.3}
"#;

/// Runs `trace` for a flow and returns what it prints and its exit code.
fn run_trace(flow: &str) -> Result<(String, Option<i32>)> {
    run_trace_with(&[flow])
}

/// Runs `trace` with arguments on all logs and returns what it prints and its exit code.
fn run_trace_with(arguments: &[&str]) -> Result<(String, Option<i32>)> {
    let folder = make_directory()?;
    let logs =
        [("erie-1", ERIE), ("toledo-1", TOLEDO), ("duluth-1", DULUTH), ("kenosha-1", KENOSHA)];
    let files = logs.map(|(name, _)| folder.join(name).with_extension("log"));
    for (file, (_, lines)) in files.iter().zip(logs) {
        fs::write(file, lines)?;
    }
    let program = binary_path("foxledgectl")?;
    let output = Command::new(program).arg("trace").args(arguments).args(files).output()?;
    Ok((String::from_utf8(output.stdout)?, output.status.code()))
}

#[test]
fn prints_lines_of_all_instances_in_order_of_time() -> Result<()> {
    let (text, code) = run_trace("100.65.0.19:1042")?;
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
fn finds_a_flow_by_caller_and_service() -> Result<()> {
    let (text, _) = run_trace("100.65.0.20:1042>198.18.0.1:8080")?;
    assert_eq!(text.lines().count(), 1);
    Ok(())
}

#[test]
fn declines_a_flow_without_lines() -> Result<()> {
    let (text, code) = run_trace("100.65.0.99:1")?;
    assert!(text.contains("no line names the flow"), "{text}");
    assert_eq!(code, Some(1));
    Ok(())
}

// Guards against a trace that doesn't explain a failed request: the instance that its packets go
// to loses power, so that no line names the flow at that time. With the time of the failure, the
// trace also shows which instances stopped and started.
#[test]
fn shows_restarts_around_the_time_of_the_failure() -> Result<()> {
    let (text, code) = run_trace_with(&["100.65.0.19:1042", "--at", "60000"])?;
    expect![[r#"
        10 erie-1 flow_opened backend="backend/i-1" copy=0 flow="100.65.0.19:1042>198.18.0.1:8080"
        52 toledo-1 backend_observed backend="backend/i-1" kind="suspect" observer="self"
        250 erie-1 flow_opened backend="backend/i-2" copy=1 flow="100.65.0.19:1042>198.18.0.1:8080"
        61000 duluth-1 started instance="duluth-1"
        61070 duluth-1 serving list_age_ms=12
    "#]]
    .assert_eq(&text);
    assert_eq!(code, Some(0));
    // Restarts are shown even when no line names the flow.
    let (text, code) = run_trace_with(&["100.65.0.99:1", "--at", "60000"])?;
    assert!(text.contains("61000 duluth-1 started"), "{text}");
    assert!(text.contains("no line names the flow"), "{text}");
    assert_eq!(code, Some(1));
    Ok(())
}

// Guards against a trace of a thousand unrelated lines: a script passes an empty variable, and all
// lines without a flow match it.
#[test]
fn refuses_an_empty_flow() -> Result<()> {
    let (text, code) = run_trace("")?;
    assert_eq!((text.as_str(), code), ("", Some(2)));
    Ok(())
}

// Guards against a trace of a refused request that leaves out the shortage, which may have begun
// long before, or that shows a shortage that had ended or belongs to another instance.
#[test]
fn shows_load_conditions_active_at_the_refusal() -> Result<()> {
    let (text, _) = run_trace("100.65.0.30:1042")?;
    expect![[r#"
        102000 kenosha-1 shortage_begun load=2.5 service="intake"
        103000 kenosha-1 overflow_begun load=1.1 service="desk"
        140000 kenosha-1 flow_refused flow="100.65.0.30:1042>198.18.0.1:443" reason="shortage"
    "#]]
    .assert_eq(&text);
    Ok(())
}
