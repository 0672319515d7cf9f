//! Checks of files, without a daemon.

use std::{fs, path::PathBuf};

use anyhow::{Context, Result};
use clap::ArgMatches;
use foxledge_core::{findings::FindingList, lists::RuleList};
use foxledge_rules::{ListText, build_list};
use foxledge_settings::{DaemonSettings, load_packet_settings, load_settings};
use serde_json::{Value, json};

use crate::{
    Outcome,
    command::{OutputFormat, output_format},
};

/// Carries out `check settings` or `check rules`.
pub fn run(matches: &ArgMatches) -> Result<Outcome> {
    let (name, matches) = matches.subcommand().context("nothing to check")?;
    let files: Vec<PathBuf> =
        matches.get_many::<PathBuf>("files").into_iter().flatten().cloned().collect();
    let verdict = match name {
        "settings" => check_settings(&files),
        "packets" => check_packets(&files),
        _ => check_rules(&files),
    };
    Ok(report(&verdict, output_format(matches)))
}

/// `CheckVerdict` is what a check says.
struct CheckVerdict {
    findings: FindingList,
    /// What was checked, when it is good.
    summary: String,
    /// What is allowed, but not for serving anybody.
    warnings: Vec<String>,
}

impl CheckVerdict {
    fn bad(findings: FindingList) -> CheckVerdict {
        CheckVerdict { findings, summary: String::new(), warnings: Vec::new() }
    }
}

fn check_settings(files: &[PathBuf]) -> CheckVerdict {
    let mut verdict = CheckVerdict::bad(FindingList::new());
    for file in files {
        match load_settings(file) {
            Ok(settings) => {
                verdict.summary = settings_summary(&settings);
                verdict.warnings = settings_warnings(&settings);
            }
            Err(findings) => verdict.findings.append(findings),
        }
    }
    verdict
}

fn check_packets(files: &[PathBuf]) -> CheckVerdict {
    let mut verdict = CheckVerdict::bad(FindingList::new());
    for file in files {
        match load_packet_settings(file) {
            Ok(settings) => {
                verdict.summary = format!("instance {} in {}", settings.name, settings.data_centre);
                if settings.seeds.is_empty() {
                    let warning = "peers.seeds is empty: the instance learns only from the store";
                    verdict.warnings.push(warning.to_owned());
                }
            }
            Err(findings) => verdict.findings.append(findings),
        }
    }
    verdict
}

fn settings_summary(settings: &DaemonSettings) -> String {
    let instance = &settings.instance;
    format!("instance {} in {}", instance.name, instance.data_centre)
}

fn settings_warnings(settings: &DaemonSettings) -> Vec<String> {
    let trial = &settings.trial;
    let off = trial.disabled_mechanisms().into_iter();
    let off = off.map(|key| format!("trial.{key} is off: only for proving that it matters"));
    let routes = (!trial.routes.is_empty()).then(|| "trial.routes is set: only for tests".into());
    off.chain(routes).collect()
}

fn check_rules(files: &[PathBuf]) -> CheckVerdict {
    let mut findings = FindingList::new();
    let mut parts = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match read_text(file) {
            Ok(text) => parts.push(ListText { name, text }),
            Err(fault) => findings.add(&name, 0, "", fault),
        }
    }
    // A list of which a part is missing would only bring findings that mislead.
    if !findings.is_empty() {
        return CheckVerdict::bad(findings);
    }
    match build_list(0, &parts) {
        Ok(list) => {
            let summary = list_summary(&list);
            CheckVerdict { findings, summary, warnings: Vec::new() }
        }
        Err(findings) => CheckVerdict::bad(findings),
    }
}

fn read_text(file: &PathBuf) -> Result<String, String> {
    let bytes = fs::read(file).map_err(|error| format!("can't be read: {error}"))?;
    String::from_utf8(bytes).map_err(|_| "is not UTF-8 text".to_owned())
}

fn list_summary(list: &RuleList) -> String {
    let targets = list.services.values().map(|service| service.targets.len()).sum();
    let counts = [
        count(list.rules.len(), "rule"),
        count(list.services.len(), "service"),
        count(targets, "target"),
        count(list.members.len(), "member"),
        count(list.keys.len(), "key"),
    ];
    counts.join(", ")
}

fn count(number: usize, noun: &str) -> String {
    format!("{number} {noun}{}", if number == 1 { "" } else { "s" })
}

fn report(verdict: &CheckVerdict, format: OutputFormat) -> Outcome {
    match format {
        OutputFormat::Json => println!("{:#}", verdict_json(verdict)),
        OutputFormat::Text => print_verdict(verdict),
    }
    if verdict.findings.is_empty() { Outcome::Done } else { Outcome::Declined }
}

fn verdict_json(verdict: &CheckVerdict) -> Value {
    let findings: Vec<_> = verdict.findings.iter().collect();
    json!({ "findings": findings, "summary": verdict.summary, "warnings": verdict.warnings })
}

fn print_verdict(verdict: &CheckVerdict) {
    print!("{}", verdict.findings);
    match verdict.findings.len() {
        0 => println!("good: {}", verdict.summary),
        number => println!("{}", count(number, "finding")),
    }
    for warning in &verdict.warnings {
        println!("warning: {warning}");
    }
}
