//! The `check` commands, which check files without a daemon.

use std::{fs, path::PathBuf};

use anyhow::{Context, Result};
use clap::ArgMatches;
use foxledge_core::{findings::FindingList, lists::RuleList};
use foxledge_rules::{OwnedPart, build_list};
use foxledge_settings::{DaemonSettings, load_packet_settings, load_settings};
use serde_json::{Value, json};

use crate::{
    CommandOutcome,
    command::{OutputFormat, output_format},
};

/// Carries out `check settings`, `check packets` or `check rules` and prints the findings.
pub fn run(matches: &ArgMatches) -> Result<CommandOutcome> {
    let (name, matches) = matches.subcommand().context("the check subcommand is missing")?;
    let files: Vec<PathBuf> =
        matches.get_many::<PathBuf>("files").into_iter().flatten().cloned().collect();
    let check = match name {
        "settings" => check_settings(&files),
        "packets" => check_packets(&files),
        _ => check_rules(&files),
    };
    Ok(print_report(&check, output_format(matches)))
}

/// The result of a check.
struct CheckReport {
    findings: FindingList,
    /// A description of the checked files, empty when they have findings.
    summary: String,
    /// The settings that are valid but meant for tests and trials only.
    warnings: Vec<String>,
}

impl CheckReport {
    fn from_findings(findings: FindingList) -> CheckReport {
        CheckReport { findings, summary: String::new(), warnings: Vec::new() }
    }
}

fn check_settings(files: &[PathBuf]) -> CheckReport {
    let mut check = CheckReport::from_findings(FindingList::new());
    for file in files {
        match load_settings(file) {
            Ok(settings) => {
                check.summary = settings_summary(&settings);
                check.warnings = settings_warnings(&settings);
            }
            Err(findings) => check.findings.append(findings),
        }
    }
    check
}

fn check_packets(files: &[PathBuf]) -> CheckReport {
    let mut check = CheckReport::from_findings(FindingList::new());
    for file in files {
        match load_packet_settings(file) {
            Ok(settings) => {
                check.summary = format!("instance {} in {}", settings.name, settings.data_centre);
                check.warnings.extend(settings.warnings.iter().map(|finding| finding.to_string()));
                if settings.seeds.is_empty() {
                    let warning = "peers.seeds is empty: the instance learns only from the store";
                    check.warnings.push(warning.to_owned());
                }
            }
            Err(findings) => check.findings.append(findings),
        }
    }
    check
}

fn settings_summary(settings: &DaemonSettings) -> String {
    let instance = &settings.instance;
    format!("instance {} in {}", instance.name, instance.data_centre)
}

fn settings_warnings(settings: &DaemonSettings) -> Vec<String> {
    let trial = &settings.trial;
    let disabled = trial.disabled_mechanisms().into_iter();
    let disabled =
        disabled.map(|key| format!("trial.{key} is off: only for proving that it matters"));
    let routes = (!trial.routes.is_empty()).then(|| "trial.routes is set: only for tests".into());
    disabled.chain(routes).collect()
}

fn check_rules(files: &[PathBuf]) -> CheckReport {
    let mut findings = FindingList::new();
    let mut parts = Vec::new();
    for file in files {
        let name = file.display().to_string();
        match read_text(file) {
            Ok(text) => parts.push(OwnedPart { name, text }),
            Err(error) => findings.add(&name, 0, "", error),
        }
    }
    // An incomplete list would lead to misleading findings.
    if !findings.is_empty() {
        return CheckReport::from_findings(findings);
    }
    match build_list(0, &parts) {
        Ok(list) => {
            let summary = list_summary(&list);
            CheckReport { findings, summary, warnings: Vec::new() }
        }
        Err(findings) => CheckReport::from_findings(findings),
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

fn print_report(check: &CheckReport, format: OutputFormat) -> CommandOutcome {
    match format {
        OutputFormat::Json => println!("{:#}", report_json(check)),
        OutputFormat::Text => print_text(check),
    }
    if check.findings.is_empty() { CommandOutcome::Done } else { CommandOutcome::Declined }
}

fn report_json(check: &CheckReport) -> Value {
    let findings: Vec<_> = check.findings.iter().collect();
    json!({ "findings": findings, "summary": check.summary, "warnings": check.warnings })
}

fn print_text(check: &CheckReport) {
    print!("{}", check.findings);
    match check.findings.len() {
        0 => println!("good: {}", check.summary),
        number => println!("{}", count(number, "finding")),
    }
    for warning in &check.warnings {
        println!("warning: {warning}");
    }
}
