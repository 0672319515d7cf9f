//! Functions that run the binary `foxledgectl`.

use std::process::{Command, Output};

/// Runs `foxledgectl` and waits until it exits.
pub fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxledgectl"));
    command.args(arguments).env("NO_COLOR", "1").output().expect("foxledgectl starts")
}

/// Runs `foxledgectl` and returns its output, its errors and its exit code as one text.
pub fn run_to_text(arguments: &[&str]) -> String {
    let output = run(arguments);
    let code = output.status.code().map_or("none".to_owned(), |code| code.to_string());
    let written = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    format!("{written}{errors}exit code {code}\n")
}
