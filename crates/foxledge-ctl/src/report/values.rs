//! Values of a report as text.

use serde_json::{Map, Number, Value};

use crate::tables::write_table;

const INDENT: &str = "  ";
/// Fields that name the object that they stand in.
const NAMING: [&str; 2] = ["key", "name"];

/// A value on one line.
pub fn value_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(on) => if *on { "yes" } else { "no" }.to_owned(),
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

/// A number; a fraction with two digits, as more of them only hide the others.
fn number_text(number: &Number) -> String {
    match number.as_f64().filter(|_| number.is_f64()) {
        Some(fraction) => format!("{fraction:.2}"),
        None => number.to_string(),
    }
}

/// A number as 16 hex digits, as ids and digests are written.
pub fn hex_text(value: &Value) -> String {
    value.as_u64().map_or_else(|| value_text(value), |number| format!("{number:016x}"))
}

/// Microseconds as seconds.
pub fn clock_text(micros: &Value) -> String {
    let micros = micros.as_u64().unwrap_or_default();
    format!("{}.{:06}", micros / 1_000_000, micros % 1_000_000)
}

/// Any report: plain fields line by line, lists of objects as tables.
pub fn tree_text(value: &Value, depth: usize) -> String {
    let Value::Object(fields) = value else {
        return format!("{}{}\n", INDENT.repeat(depth), value_text(value));
    };
    let mut text = String::new();
    for (key, value) in in_reading_order(fields) {
        let lead = INDENT.repeat(depth);
        let key = key.replace('_', " ");
        match value {
            Value::Object(fields) if fields.values().all(is_plain) => {
                text += &format!("{lead}{key}: {}\n", value_text(value));
            }
            Value::Object(_) => {
                text += &format!("{lead}{key}:\n{}", tree_text(value, depth + 1));
            }
            Value::Array(values) if values.iter().any(Value::is_object) => {
                text += &format!("{lead}{key}:\n{}", rows_text(values, depth + 1));
            }
            _ => text += &format!("{lead}{key}: {}\n", value_text(value)),
        }
    }
    text
}

/// Objects with plain fields as a table; others one after the other.
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
        for (key, _) in in_reading_order(fields) {
            if !columns.contains(&key) {
                columns.push(key);
            }
        }
    }
    let head = columns.iter().map(|key| key.replace('_', " ")).collect();
    let rows = values.iter().map(|value| {
        columns.iter().map(|key| value_text(value.get(key.as_str()).unwrap_or(&Value::Null)))
    });
    let rows: Vec<Vec<String>> = rows.map(Iterator::collect).collect();
    write_table(&INDENT.repeat(depth), head, rows)
}

/// What names the object first, then plain fields, then what needs lines of its own.
fn in_reading_order(fields: &Map<String, Value>) -> Vec<(&String, &Value)> {
    let mut ordered: Vec<_> = fields.iter().collect();
    ordered.sort_by_key(|(key, value)| (!NAMING.contains(&key.as_str()), !is_plain(value)));
    ordered
}

fn is_plain(value: &Value) -> bool {
    !value.is_object()
        && !value.as_array().is_some_and(|values| values.iter().any(Value::is_object))
}
