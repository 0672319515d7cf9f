//! Formatting of text tables.

/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Returns a table of a header and rows, with each column as wide as its widest cell and each line
/// prefixed by `indent`.
pub fn format_table(indent: &str, header: Vec<String>, rows: Vec<Vec<String>>) -> String {
    let mut lines = vec![header];
    lines.extend(rows);
    let mut widths = Vec::new();
    for line in &lines {
        widths.resize(line.len().max(widths.len()), 0);
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let cells: Vec<_> = cells.collect();
        let line = format!("{indent}{}", cells.join(&" ".repeat(COLUMN_GAP)));
        text += line.trim_end();
        text += "\n";
    }
    text
}
