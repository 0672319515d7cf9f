//! Formatting of the explanation of a flow as text.

use serde_json::Value;

use crate::{
    report::values::{seconds_text, value_text},
    tables::format_table,
};

/// Returns the explanation of a flow as text.
pub fn explain_text(report: &Value) -> String {
    let mut text = format!("rule list: revision {}\n", value_text(&report["revision"]));
    text += &format!("rule: {}\n", rule_text(&report["rule"]));
    text += &treatment_text(&report["treatment"]);
    for (key, name) in [
        ("service", "service"),
        ("shard", "shard"),
        ("home", "home"),
        ("homes", "homes, the best first"),
        ("targets", "backend servers here"),
        ("target", "last dispatched to"),
    ] {
        if report.get(key).is_some_and(|value| !value.is_null()) {
            text += &format!("{name}: {}\n", value_text(&report[key]));
        }
    }
    text += &reasons_text(&report["reasons"]);
    text += &targets_text(&report["desk"]);
    text += &events_text(&report["flow_events"]);
    text
}

fn rule_text(rule: &Value) -> String {
    if rule.is_null() { "none matches".to_owned() } else { value_text(rule) }
}

fn treatment_text(treatment: &Value) -> String {
    let Some(serve) = treatment.get("serve").and_then(Value::as_object) else {
        return if treatment.is_null() {
            String::new()
        } else {
            format!("treatment: {}\n", value_text(treatment))
        };
    };
    let mut text = "treatment: serve".to_owned();
    for (key, value) in serve.iter().filter(|(key, _)| *key != "service") {
        text += &format!(", {} {}", key.replace('_', " "), value_text(value));
    }
    let service = serve.get("service").unwrap_or(&Value::Null);
    text + &format!("\nservice: {}\n", value_text(service))
}

fn reasons_text(reasons: &Value) -> String {
    let Some(reasons) = reasons.as_array().filter(|reasons| !reasons.is_empty()) else {
        return String::new();
    };
    let lines = (1..).zip(reasons).map(|(n, reason)| format!("  {n}. {}\n", value_text(reason)));
    format!("why:\n{}", lines.collect::<String>())
}

/// Returns the policy and the state of the backend servers from which this home chooses.
fn targets_text(scheduler: &Value) -> String {
    let Some(targets) = scheduler["targets"].as_array() else {
        return String::new();
    };
    let header = ["name", "state", "busy", "slots", "connections", "pace", "warmth"];
    let rows = targets.iter().map(|target| header.map(|key| value_text(&target[key])).to_vec());
    let table = format_table("  ", header.map(str::to_owned).to_vec(), rows.collect());
    let (policy, queued) = (value_text(&scheduler["policy"]), value_text(&scheduler["queued"]));
    format!("chosen here by policy {policy}, {queued} waiting:\n{table}")
}

fn events_text(events: &Value) -> String {
    let Some(events) = events.as_array().filter(|events| !events.is_empty()) else {
        return String::new();
    };
    let header = ["at (s)", "request", "decision"].map(str::to_owned).to_vec();
    let rows = events.iter().map(|event| match event {
        Value::Object(_) => vec![
            seconds_text(&event["at_us"]),
            value_text(&event["request"]),
            value_text(&event["text"]),
        ],
        _ => vec!["-".to_owned(), "-".to_owned(), value_text(event)],
    });
    format!("lately decided for the flow:\n{}", format_table("  ", header, rows.collect()))
}
