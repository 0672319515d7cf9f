//! The `packets` commands, which query an instance that routes packets over HTTP.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use anyhow::{Context, Result};
use clap::ArgMatches;
use serde_json::Value;

use crate::{
    CommandOutcome,
    command::{OutputFormat, output_format},
    online::write_stdout,
    report::audit::AuditLines,
    tables::format_table,
};

/// The time after which a request without a response fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Carries out `packets status`, `packets audit` or `packets explain`.
pub fn run(matches: &ArgMatches) -> Result<CommandOutcome> {
    let admin = *matches.get_one::<SocketAddr>("admin").context("--admin is missing")?;
    let (name, matches) = matches.subcommand().context("the packets subcommand is missing")?;
    let format = output_format(matches);
    let report = fetch_report(admin, &request_path(name, matches))?;
    match (format, name) {
        (OutputFormat::Json, _) => write_stdout(&format!("{report:#}\n"))?,
        (_, "status") => write_stdout(&status_text(&report))?,
        (_, "audit") => {
            let entries = report.as_array().cloned().unwrap_or_default();
            write_stdout(&AuditLines::new(format).format_entries(&entries))?;
        }
        _ => write_stdout(&explain_text(&report))?,
    }
    Ok(CommandOutcome::Done)
}

fn request_path(name: &str, matches: &ArgMatches) -> String {
    if name != "explain" {
        return format!("/{name}");
    }
    let endpoint = |key: &str| matches.get_one::<SocketAddrV4>(key).map(ToString::to_string);
    let token = matches.get_one::<u32>("token").copied().unwrap_or_default();
    format!(
        "/explain?caller={}&service={}&token={token}",
        endpoint("caller").unwrap_or_default(),
        endpoint("service").unwrap_or_default()
    )
}

fn fetch_report(admin: SocketAddr, path: &str) -> Result<Value> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(RESPONSE_TIMEOUT)).build().into();
    let url = format!("http://{admin}{path}");
    let mut response =
        agent.get(&url).call().with_context(|| format!("no valid response from {url}"))?;
    let text = response.body_mut().read_to_string().context("the response is incomplete")?;
    serde_json::from_str(&text).context("the response is not valid JSON")
}

fn status_text(report: &Value) -> String {
    let list = &report["list"];
    let age = match list["confirmed_age_ms"].as_u64() {
        Some(age) => format!("confirmed {age} ms ago"),
        None => "never confirmed".to_owned(),
    };
    let mut text = format!(
        "{} in {}: {}\nlist: version {}, revision {}{}, {age}\nroutes: {}  peers: {}  flows: {}{}\n\n",
        plain_text(&report["instance"]),
        plain_text(&report["data_centre"]),
        plain_text(&report["phase"]),
        list["version"],
        list["revision"],
        match list["epoch"].as_u64() {
            Some(epoch) if epoch > 0 => format!(" of epoch {epoch}"),
            _ => String::new(),
        },
        list["routes"],
        list["peers"],
        report["routing"]["flows"],
        if list["is_reader"] == true { "  reads the store" } else { "" },
    );
    text.push_str(&evacuations_text(&report["routing"]["evacuations"]));
    text.push_str(&loads_text(&report["routing"]["loads"]));
    let header = ["BACKEND", "SERVICE", "CENTRE", "HEALTH", "FLOWS", "RUNNING", "NEW", "COLD_MS"]
        .map(str::to_owned)
        .to_vec();
    let mut rows = Vec::new();
    for backend in report["routing"]["backends"].as_array().into_iter().flatten() {
        let takes_flows = if backend["takes_flows"] == true { "yes" } else { "no" };
        rows.push(vec![
            plain_text(&backend["backend"]),
            plain_text(&backend["service"]),
            plain_text(&backend["data_centre"]),
            plain_text(&backend["health"]),
            plain_text(&backend["flows"]),
            plain_text(&backend["running"]),
            takes_flows.to_owned(),
            plain_text(&backend["cold_ms"]),
        ]);
    }
    text.push_str(&format_table("", header, rows));
    text.push_str(&refused_items_text(&list["refused_items"]));
    text
}

/// Returns the table of the evacuated data centres, or an empty text when there are none.
fn evacuations_text(evacuations: &Value) -> String {
    let evacuations = evacuations.as_array().map(Vec::as_slice).unwrap_or_default();
    if evacuations.is_empty() {
        return String::new();
    }
    let header = ["EVACUATED", "REVISION", "AGE_MS", "BACKENDS", "FLOWS", "LATE"];
    let fields = ["data_centre", "revision", "age_ms", "backends", "flows", "late_flows"];
    let row = |evacuation: &Value| fields.map(|field| plain_text(&evacuation[field])).to_vec();
    let rows = evacuations.iter().map(row).collect();
    let mut text = format_table("", header.map(str::to_owned).to_vec(), rows);
    for evacuation in evacuations {
        for service in evacuation["services_without_others"].as_array().into_iter().flatten() {
            let centre = plain_text(&evacuation["data_centre"]);
            text.push_str(&format!(
                "warning: {} has no backend server left beside those in {centre}: its new flows \
                 are refused\n",
                plain_text(service)
            ));
        }
    }
    text.push('\n');
    text
}

/// Returns the table of the load of each service by data centre, or an empty text while instances
/// don't exchange load reports.
fn loads_text(loads: &Value) -> String {
    let loads = loads.as_array().map(Vec::as_slice).unwrap_or_default();
    if loads.is_empty() {
        return String::new();
    }
    let header =
        ["SERVICE", "CENTRE", "RUNNING", "SLOTS", "DEMAND", "SENT_THERE", "HEARD", "SHORT"];
    let mut rows = Vec::new();
    for load in loads {
        for centre in load["centres"].as_array().into_iter().flatten() {
            rows.push(vec![
                plain_text(&load["service"]),
                plain_text(&centre["data_centre"]),
                decimal(&centre["running"]),
                decimal(&centre["slots"]),
                decimal(&centre["demand"]),
                percent(&centre["share"]),
                plain_text(&centre["is_heard"]),
                plain_text(&load["is_short"]),
            ]);
        }
    }
    format!("{}\n", format_table("", header.map(str::to_owned).to_vec(), rows))
}

/// Returns the table of the store's items that the instance rejects, or an empty text when there
/// are none.
fn refused_items_text(items: &Value) -> String {
    let items = items.as_array().map(Vec::as_slice).unwrap_or_default();
    if items.is_empty() {
        return String::new();
    }
    let header = ["REFUSED ITEM", "REVISION", "FAULT"].map(str::to_owned).to_vec();
    let row =
        |item: &Value| ["key", "revision", "fault"].map(|field| plain_text(&item[field])).to_vec();
    format!("\n{}", format_table("", header, items.iter().map(row).collect()))
}

fn explain_text(report: &Value) -> String {
    let mut text = format!("flow {}\n", plain_text(&report["flow"]));
    match report["route"].as_str() {
        Some(route) => text.push_str(&format!(
            "route {route} of revision {} leads to {}\n",
            report["route_revision"],
            plain_text(&report["service"])
        )),
        None => text.push_str("no route matches: a new flow is refused\n"),
    }
    match report["choice"].as_str() {
        Some(choice) => text.push_str(&format!(
            "a new flow goes to {choice} (avoidance {}, cost {}, flows {})\n",
            report["rank"]["avoidance"], report["rank"]["cost"], report["rank"]["flows"]
        )),
        None => text.push_str("no backend server takes a new flow\n"),
    }
    if let Some(token_holder) = report["token_holder"].as_str() {
        text.push_str(&format!("the token names {token_holder}\n"));
    }
    text.push_str(&admission_text(&report["load"]));
    let header = ["CANDIDATE", "HEALTH", "NEAR", "RUNNING", "WAITING"].map(str::to_owned).to_vec();
    let mut rows = Vec::new();
    for candidate in report["candidates"].as_array().into_iter().flatten() {
        rows.push(vec![
            plain_text(&candidate["backend"]),
            plain_text(&candidate["health"]),
            plain_text(&candidate["is_near"]),
            plain_text(&candidate["running"]),
            plain_text(&candidate["waiting"]),
        ]);
    }
    text.push_str(&format_table("", header, rows));
    text
}

/// Returns how the load of all instances decides on a new flow, or an empty text while instances
/// don't exchange load reports.
fn admission_text(load: &Value) -> String {
    let report = &load["report"];
    if report.is_null() {
        return String::new();
    }
    let age = match report["age_ms"].as_u64() {
        Some(age) => format!("{age} ms ago"),
        None => "never".to_owned(),
    };
    let decision = match load["verdict"].as_str() {
        Some("admitted") => "is admitted".to_owned(),
        other => format!("is refused ({})", other.unwrap_or_default()),
    };
    let destination = match load["overflow_to"].as_str() {
        Some(centre) => format!("overflow sends it to {centre}"),
        None => "it stays near".to_owned(),
    };
    let mut text = format!(
        "load {} requests a slot of {} slots, demand {}, told by {} instances, last {age}\n\
         a new flow of priority {} {decision}, because of {}; {destination}\n",
        decimal(&report["load"]),
        decimal(&report["slots"]),
        decimal(&report["demand"]),
        report["parts"],
        load["priority"],
        plain_text(&load["basis"]),
    );
    for (priority, share) in report["admitted"].as_object().into_iter().flatten() {
        text.push_str(&format!("priority {priority}: {} admitted\n", percent(share)));
    }
    text.push_str(&loads_text(&Value::Array(vec![report.clone()])));
    text
}

fn decimal(value: &Value) -> String {
    // An empty floating-point sum is -0.0, which would be printed with its sign.
    format!("{:.2}", value.as_f64().unwrap_or_default() + 0.0)
}

fn percent(value: &Value) -> String {
    format!("{:.0}%", value.as_f64().unwrap_or_default() * 100.0)
}

/// Returns a value as text; strings are written without quotes.
fn plain_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None => value.to_string(),
    }
}
