//! `foxledgectl losses`, which counts impaired flows from log lines of several instances.

use std::{fs, process::Command};

use anyhow::Result;
use expect_test::expect;
use foxledge_fakes::harness::{binary_path, make_directory};

/// The log of an instance in the data centre erie.
const ERIE: &str = r#"{"at_ms":1000,"event":"started"}
{"at_ms":1200,"event":"flow_opened","flow":"a>s","copy":0}
{"at_ms":1400,"event":"flow_opened","flow":"a>s","copy":1}
{"at_ms":2300,"event":"flow_stalled","flow":"b>s","copies":1,"class":"suspect"}
{"at_ms":2700,"event":"flow_stalled","flow":"b>s","copies":2,"class":"ejected"}
{"at_ms":2710,"event":"flow_stalled","flow":"c>s","copies":2,"class":"ejected"}
{"at_ms":2711,"event":"flow_ended","flow":"c>s","reason":"backend_silent"}
{"at_ms":2712,"event":"flow_ended","flow":"d>s","reason":"idle_at_dead"}
"#;
/// The log of an instance in the data centre toledo.
const TOLEDO: &str = r#"{"at_ms":2720,"event":"flow_stalled","flow":"e>s","copies":3,"class":"ejected"}
{"at_ms":2730,"event":"flow_stalled","flow":"f>s","copies":1,"class":"healthy"}
{"at_ms":4000,"event":"flow_refused","flow":"g>s","reason":"no_backend"}
{"at_ms":4100,"event":"packet_dropped","flow":"h>s","reason":"unknown_token"}
{"at_ms":4200,"event":"backend_observed","backend":"backend/i-1"}
"#;

/// Runs `losses` on both logs and returns what it prints.
fn run_losses(arguments: &[&str]) -> Result<String> {
    let folder = make_directory()?;
    let files = ["erie-1.log", "toledo-1.log"].map(|name| folder.join(name));
    fs::write(&files[0], ERIE)?;
    fs::write(&files[1], TOLEDO)?;
    let program = binary_path("foxledgectl")?;
    let output = Command::new(program).arg("losses").args(arguments).args(files).output()?;
    Ok(String::from_utf8(output.stdout)?)
}

// Each flow counts once, with its worst outcome; a flow that was ended doesn't count as lost.
#[test]
fn counts_the_worst_outcome_of_each_flow_by_second() -> Result<()> {
    expect![[r#"
        SECOND  OUTCOME        CAUSE                            FLOWS
        0       opened late    no answer to the opening before  1
        1       waited         backend server healthy           1
        1       ended at rest  idle_at_dead                     1
        1       ended waiting  backend_silent                   1
        1       lost           backend server ejected           2
        3       dropped        unknown_token                    1
        3       refused        no_backend                       1

        Answers go past the instances: what came late, or not at all, shows only
        where callers sent again. Lines that were sampled out are missing.
    "#]]
    .assert_eq(&run_losses(&[])?);
    Ok(())
}

#[test]
fn prints_one_json_object_per_row() -> Result<()> {
    let text = run_losses(&["--format", "json"])?;
    let last = text.lines().last().unwrap_or_default();
    expect![[r#"{"second":3,"outcome":"refused","cause":"no_backend","flows":1}"#]].assert_eq(last);
    Ok(())
}
