//! Formatting of the values of a report as text.

use serde_json::{Map, Number, Value};

use crate::tables::format_table;

const INDENT: &str = "  ";
/// The fields that identify the object that holds them.
const IDENTIFYING_FIELDS: [&str; 2] = ["key", "name"];

/// Returns a value as text on one line.
pub fn value_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(is_true) => if *is_true { "yes" } else { "no" }.to_owned(),
        Value::Number(number) => number_text(number),
        Value::Array(values) if values.is_empty() => "-".to_owned(),
        Value::Array(values) => values.iter().map(value_text).collect::<Vec<_>>().join(" "),
        Value::Object(fields) if fields.is_empty() => "-".to_owned(),
        Value::Object(fields) => {
            let texts: Vec<_> =
                fields.iter().map(|(key, value)| format!("{key}={}", value_text(value))).collect();
            texts.join(" ")
        }
    }
}

/// Returns a number as text. Fractions are rounded to two digits, as more would make the other
/// columns harder to read.
fn number_text(number: &Number) -> String {
    match number.as_f64().filter(|_| number.is_f64()) {
        Some(fraction) => format!("{fraction:.2}"),
        None => number.to_string(),
    }
}

/// Returns a number as 16 hex digits, the notation of ids and digests.
pub fn hex_text(value: &Value) -> String {
    value.as_u64().map_or_else(|| value_text(value), |number| format!("{number:016x}"))
}

/// Returns a time in microseconds as seconds with six digits.
pub fn seconds_text(micros: &Value) -> String {
    let micros = micros.as_u64().unwrap_or_default();
    format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000)
}

/// Returns any report as text: one line for each plain field, and a table for a list of objects.
pub fn tree_text(value: &Value, depth: usize) -> String {
    let Value::Object(fields) = value else {
        return format!("{}{}\n", INDENT.repeat(depth), value_text(value));
    };
    let mut text = String::new();
    for (key, value) in ordered_fields(fields) {
        let indent = INDENT.repeat(depth);
        let key = key.replace('_', " ");
        match value {
            Value::Object(fields) if fields.values().all(is_plain) => {
                text += &format!("{indent}{key}: {}\n", value_text(value));
            }
            Value::Object(_) => {
                text += &format!("{indent}{key}:\n{}", tree_text(value, depth + 1));
            }
            Value::Array(values) if values.iter().any(Value::is_object) => {
                text += &format!("{indent}{key}:\n{}", rows_text(values, depth + 1));
            }
            _ => text += &format!("{indent}{key}: {}\n", value_text(value)),
        }
    }
    text
}

/// Returns objects that have only plain fields as a table, and other objects one after the other.
fn rows_text(values: &[Value], depth: usize) -> String {
    let are_plain = values.iter().all(|value| match value {
        Value::Object(fields) => fields.values().all(is_plain),
        _ => false,
    });
    if !are_plain {
        let texts: Vec<_> = values.iter().map(|value| tree_text(value, depth)).collect();
        return texts.join("\n");
    }
    let mut columns: Vec<&String> = Vec::new();
    for fields in values.iter().filter_map(Value::as_object) {
        for (key, _) in ordered_fields(fields) {
            if !columns.contains(&key) {
                columns.push(key);
            }
        }
    }
    let header = columns.iter().map(|key| key.replace('_', " ")).collect();
    let rows = values.iter().map(|value| {
        columns.iter().map(|key| value_text(value.get(key.as_str()).unwrap_or(&Value::Null)))
    });
    let rows: Vec<Vec<String>> = rows.map(Iterator::collect).collect();
    format_table(&INDENT.repeat(depth), header, rows)
}

/// Returns the fields in the order in which they are shown: identifying fields first, then plain
/// fields, then fields that need lines of their own.
fn ordered_fields(fields: &Map<String, Value>) -> Vec<(&String, &Value)> {
    let mut ordered: Vec<_> = fields.iter().collect();
    ordered.sort_by_key(|(key, value)| {
        (!IDENTIFYING_FIELDS.contains(&key.as_str()), !is_plain(value))
    });
    ordered
}

fn is_plain(value: &Value) -> bool {
    !value.is_object()
        && !value.as_array().is_some_and(|values| values.iter().any(Value::is_object))
}
