//! Formatting of the status report as text.

use serde_json::Value;

use crate::{
    report::values::{hex_text, tree_text, value_text},
    tables::format_table,
};

/// Returns the status report as text.
pub fn status_text(report: &Value) -> String {
    let instance = report.get("instance").unwrap_or(report);
    let mut text = header_text(report, instance);
    text += &list_text(report.get("list").or(report.get("version")));
    let view = report.get("view").unwrap_or(report);
    text += &peers_text(view);
    text += &parts_text(&report["parts"]);
    if let Some(engine) = report.get("engine") {
        text += "engine:\n";
        // The header shows these fields already.
        text += &tree_text(&without_fields(engine, &["phase", "version"]), 1);
    }
    text += &unknown_fields_text(report);
    text
}

fn header_text(report: &Value, instance: &Value) -> String {
    let mut text = format!(
        "{} in {}: {}\n",
        value_text(&instance["name"]),
        value_text(&instance["data_centre"]),
        value_text(&report["phase"]),
    );
    text += &format!("incarnation: {}\n", hex_text(&instance["incarnation"]));
    if let Some(millis) = report["uptime_ms"].as_u64() {
        text += &format!("up: {}\n", duration_text(millis / 1000));
    }
    if let Some(reads) = report.get("reads_platform") {
        text += &format!("reads the platform: {}\n", value_text(reads));
    }
    text
}

fn duration_text(seconds: u64) -> String {
    let (hours, minutes, seconds) = (seconds / 3600, seconds / 60 % 60, seconds % 60);
    match (hours, minutes) {
        (0, 0) => format!("{seconds} s"),
        (0, _) => format!("{minutes} min {seconds} s"),
        _ => format!("{hours} h {minutes} min"),
    }
}

fn list_text(version: Option<&Value>) -> String {
    let Some(version) = version else {
        return String::new();
    };
    if version["revision"].as_u64() == Some(0) {
        return "rule list: none\n".to_owned();
    }
    let revision = value_text(&version["revision"]);
    format!("rule list: revision {revision}, digest {}\n", hex_text(&version["digest"]))
}

fn peers_text(view: &Value) -> String {
    let Some(peers) = view["peers"].as_array() else {
        return String::new();
    };
    let header = ["name", "state", "incarnation", "data", "peer", "control"];
    let rows = peers.iter().map(|peer| {
        vec![
            value_text(&peer["name"]),
            value_text(&peer["state"]),
            hex_text(&peer["incarnation"]),
            value_text(&peer["data_address"]),
            value_text(&peer["peer_address"]),
            value_text(&peer["control_address"]),
        ]
    });
    let mut text = "instances of the data centre:\n".to_owned();
    text += &format_table("  ", header.map(str::to_owned).to_vec(), rows.collect());
    text += &format!("reachable data centres: {}\n", value_text(&view["reachable_centres"]));
    text
}

fn parts_text(parts: &Value) -> String {
    let Some(parts) = parts.as_array() else {
        return String::new();
    };
    let header = ["part", "running", "restarts"];
    let rows = parts.iter().map(|part| header.map(|key| value_text(&part[key])).to_vec());
    let table = format_table("  ", header.map(str::to_owned).to_vec(), rows.collect());
    format!("parts:\n{table}")
}

/// Returns the fields that this tool doesn't know, such as those of a newer daemon.
fn unknown_fields_text(report: &Value) -> String {
    let known = [
        "instance",
        "name",
        "data_centre",
        "incarnation",
        "phase",
        "uptime_ms",
        "reads_platform",
        "list",
        "version",
        "view",
        "peers",
        "reachable_centres",
        "parts",
        "engine",
    ];
    tree_text(&without_fields(report, &known), 0)
}

fn without_fields(report: &Value, excluded: &[&str]) -> Value {
    let fields = report.as_object().into_iter().flatten();
    let remaining = fields.filter(|(key, _)| !excluded.contains(&key.as_str()));
    Value::Object(remaining.map(|(key, value)| (key.clone(), value.clone())).collect())
}
