//! Tables in columns.

const GAP: usize = 2;

/// Writes rows under a head, each column as wide as its widest cell.
pub fn write_table(lead: &str, head: Vec<String>, rows: Vec<Vec<String>>) -> String {
    let mut lines = vec![head];
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
        let line = format!("{lead}{}", cells.join(&" ".repeat(GAP)));
        text += line.trim_end();
        text += "\n";
    }
    text
}
