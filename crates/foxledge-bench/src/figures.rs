//! Figures as JSON lines that say how they were made.

use anyhow::Result;
use serde::Serialize;

/// `MadeFigure` is a figure with the command and seed that gave it.
#[derive(Debug, Serialize)]
struct MadeFigure<'a, F> {
    command: String,
    seed: u64,
    figure: &'a F,
}

/// A figure as one line of JSON.
pub fn figure_line<F: Serialize>(seed: u64, figure: &F) -> Result<String> {
    let words: Vec<_> = std::env::args().skip(1).collect();
    let command = format!("foxledge-bench {}", words.join(" "));
    let line = serde_json::to_string(&MadeFigure { command, seed, figure })?;
    Ok(line + "\n")
}
