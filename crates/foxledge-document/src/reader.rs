//! Reads the tables of a document key by key.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    findings::{KeyLocation, SourceFindings},
    name_error,
};

/// Reads one table of a document.
///
/// Each method that reads a key marks the key as read and adds a finding if its
/// value is invalid; [`TableReader::finish`] reports the keys that weren't read.
#[derive(Debug)]
pub struct TableReader<'d> {
    findings: &'d SourceFindings,
    table: Option<&'d DeTable<'d>>,
    location: KeyLocation,
    state: TableState,
    read_keys: RefCell<Vec<&'static str>>,
}

/// Whether the table could be read. Missing keys are reported only if it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableState {
    /// The value is a table or absent.
    Readable,
    /// The value has another type, which was reported already.
    WrongType,
}

/// A text value with its location.
#[derive(Clone, Debug)]
pub struct LocatedText<'d> {
    /// The text.
    pub text: &'d str,
    /// The location of the text.
    pub location: KeyLocation,
}

/// Parses `text` and calls `read` with a reader of the root table.
///
/// If the text isn't valid TOML, adds one finding and returns `None` without
/// calling `read`.
pub fn read_document<T>(
    findings: &SourceFindings,
    text: &str,
    read: impl FnOnce(&TableReader<'_>) -> T,
) -> Option<T> {
    match DeTable::parse(text) {
        Ok(root) => {
            let reader = TableReader::new(findings, Some(root.get_ref()), KeyLocation::default());
            let value = read(&reader);
            reader.finish();
            Some(value)
        }
        Err(error) => {
            let line = error.span().map_or(0, |span| findings.line_at(span.start));
            let location = KeyLocation { line, ..KeyLocation::default() };
            findings.add(&location, format!("not TOML: {}", error.message()));
            None
        }
    }
}

impl<'d> TableReader<'d> {
    fn new(
        findings: &'d SourceFindings,
        table: Option<&'d DeTable<'d>>,
        location: KeyLocation,
    ) -> TableReader<'d> {
        let state = TableState::Readable;
        TableReader { findings, table, location, state, read_keys: RefCell::default() }
    }

    /// Returns the location of the table.
    pub fn location(&self) -> &KeyLocation {
        &self.location
    }

    /// Returns the location of a key's value, with the table's line if the key is absent.
    pub fn location_of(&self, key: &'static str) -> KeyLocation {
        let line = self.get(key).map_or(self.location.line, |value| self.line_of(value));
        KeyLocation { line, path: self.location.path.key(key) }
    }

    /// Adds a finding at a key.
    pub fn add_finding(&self, key: &'static str, text: impl Into<String>) {
        self.findings.add(&self.location_of(key), text);
    }

    /// Returns `true` if the table has the key, and marks the key as read.
    pub fn has_key(&self, key: &'static str) -> bool {
        self.read_value(key).is_some()
    }

    /// Returns a reader of the table under `key`; an absent table is read as empty.
    pub fn table(&self, key: &'static str) -> TableReader<'d> {
        let location = self.location_of(key);
        match self.read_value(key).map(Spanned::get_ref) {
            None => TableReader::new(self.findings, None, location),
            Some(DeValue::Table(table)) => TableReader::new(self.findings, Some(table), location),
            Some(_) => {
                self.add_finding(key, "must be a table");
                let reader = TableReader::new(self.findings, None, location);
                TableReader { state: TableState::WrongType, ..reader }
            }
        }
    }

    /// Returns a reader of the table under `key`, or `None` if the key is absent or its value is
    /// not a table.
    pub fn optional_table(&self, key: &'static str) -> Option<TableReader<'d>> {
        let reader = self.table(key);
        reader.table.is_some().then_some(reader)
    }

    /// Returns a reader of each table in the array under `key`; an absent array is read as empty.
    pub fn tables(&self, key: &'static str) -> Vec<TableReader<'d>> {
        let mut readers = Vec::new();
        let path = self.location.path.key(key);
        for (index, item) in self.read_items(key, "an array of tables").iter().enumerate() {
            let location = KeyLocation { line: self.line_of(item), path: path.item(index) };
            match item.get_ref() {
                DeValue::Table(table) => {
                    readers.push(TableReader::new(self.findings, Some(table), location));
                }
                _ => self.findings.add(&location, "must be a table"),
            }
        }
        readers
    }

    /// Returns the text under `key`.
    pub fn text(&self, key: &'static str) -> Option<&'d str> {
        match self.read_value(key)?.get_ref() {
            DeValue::String(text) => Some(text),
            _ => self.add_type_error(key, "a text"),
        }
    }

    /// Returns the texts in the array under `key` with their locations; an absent array is read as
    /// empty.
    pub fn texts(&self, key: &'static str) -> Vec<LocatedText<'d>> {
        let mut texts = Vec::new();
        let path = self.location.path.key(key);
        for (index, item) in self.read_items(key, "an array of texts").iter().enumerate() {
            let location = KeyLocation { line: self.line_of(item), path: path.item(index) };
            match item.get_ref() {
                DeValue::String(text) => texts.push(LocatedText { text, location }),
                _ => self.findings.add(&location, "must be a text"),
            }
        }
        texts
    }

    /// Returns the name under `key`; an invalid name is a finding.
    pub fn name(&self, key: &'static str) -> Option<&'d str> {
        let name = self.text(key)?;
        match name_error(name) {
            None => Some(name),
            Some(error) => {
                self.add_finding(key, error);
                None
            }
        }
    }

    /// Returns the names in the array under `key`; invalid and duplicate names are findings.
    pub fn names(&self, key: &'static str) -> Vec<LocatedText<'d>> {
        let mut names = Vec::new();
        let mut seen = HashSet::new();
        for name in self.texts(key) {
            if let Some(error) = name_error(name.text) {
                self.findings.add(&name.location, error);
            } else if seen.insert(name.text) {
                names.push(name);
            } else {
                self.findings.add(&name.location, format!("\"{}\" stands twice", name.text));
            }
        }
        names
    }

    /// Returns the integer under `key`; a value outside `range` is a finding.
    pub fn number(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let DeValue::Integer(integer) = self.read_value(key)?.get_ref() else {
            return self.add_type_error(key, "a whole number");
        };
        let number = i128::from_str_radix(integer.as_str(), integer.radix()).ok();
        let number = number.and_then(|number| u64::try_from(number).ok());
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                self.add_finding(key, format!("must be from {} to {}", range.start(), range.end()));
                None
            }
        }
    }

    /// Returns the integer under `key`, or `default` if it is absent or invalid.
    pub fn number_or(&self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.number(key, range).unwrap_or(default)
    }

    /// Returns the integer or decimal number under `key`; a value outside `range` is a finding.
    pub fn decimal(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.read_value(key)?.get_ref();
        if !is_number(value) {
            return self.add_type_error(key, "a number");
        }
        let valid = parse_number(value).filter(|number| range.contains(number));
        if valid.is_none() {
            self.add_finding(key, format!("must be from {} to {}", range.start(), range.end()));
        }
        valid
    }

    /// Returns the number under `key`, limited to `range`, or `default` if it is absent.
    ///
    /// For figures that another system publishes. A number outside the range is replaced by the
    /// nearest in it, and a boolean by `default`; either adds a warning. Any other type is a
    /// finding.
    pub fn published_figure(
        &self,
        key: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(value) = self.read_value(key).map(Spanned::get_ref) else { return default };
        let is_boolean = matches!(value, DeValue::Boolean(_));
        if !is_boolean && !is_number(value) {
            return self.add_type_error(key, "a number").unwrap_or(default);
        }
        let number = parse_number(value).filter(|number| !number.is_nan());
        let limited = number.map_or(default, |number| number.clamp(*range.start(), *range.end()));
        if number != Some(limited) {
            let warning = format!(
                "must be a number from {} to {}; {limited} is used",
                range.start(),
                range.end()
            );
            self.findings.add_warning(&self.location_of(key), warning);
        }
        limited
    }

    /// Returns the boolean under `key`.
    pub fn boolean(&self, key: &'static str) -> Option<bool> {
        match self.read_value(key)?.get_ref() {
            DeValue::Boolean(value) => Some(*value),
            _ => self.add_type_error(key, "true or false"),
        }
    }

    /// Returns the socket address under `key`.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        self.parse_address(&LocatedText { text, location: self.location_of(key) })
    }

    /// Returns the socket addresses in the array under `key`; duplicates are findings.
    pub fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        let mut seen = HashSet::new();
        for text in self.texts(key) {
            let Some(address) = self.parse_address(&text) else {
                continue;
            };
            if seen.insert(address) {
                addresses.push(address);
            } else {
                self.findings.add(&text.location, format!("\"{address}\" stands twice"));
            }
        }
        addresses
    }

    /// Returns the table under `key`, whose keys and values are socket addresses; an absent table
    /// is read as empty.
    pub fn address_map(&self, key: &'static str) -> BTreeMap<SocketAddr, SocketAddr> {
        let reader = self.table(key);
        let mut pairs = BTreeMap::new();
        let Some(table) = reader.table else { return pairs };
        for (name, value) in table {
            let line = self.findings.line_at(name.span().start);
            let location = KeyLocation { line, path: reader.location.path.key(name.to_string()) };
            let DeValue::String(text) = value.get_ref() else {
                self.findings.add(&location, "must be a text");
                continue;
            };
            let from = self
                .parse_address(&LocatedText { text: name.get_ref(), location: location.clone() });
            let to = self.parse_address(&LocatedText { text, location });
            pairs.extend(from.zip(to));
        }
        pairs
    }

    /// Adds a finding if the array under `key` is missing or empty.
    pub fn require_non_empty(&self, key: &'static str) {
        match self.get(key).map(Spanned::get_ref) {
            None => self.add_missing(key),
            Some(DeValue::Array(array)) if array.is_empty() => {
                self.add_finding(key, "must not be empty")
            }
            Some(_) => {}
        }
    }

    /// Adds a finding if `key` is missing, and returns `value` unchanged.
    pub fn require<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.get(key).is_none() {
            self.add_missing(key);
        }
        value
    }

    /// Adds a finding for each key of the table that wasn't read.
    pub fn finish(&self) {
        let Some(table) = self.table else {
            return;
        };
        let read_keys = self.read_keys.borrow();
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !read_keys.contains(&name) {
                let line = self.findings.line_at(key.span().start);
                let path = self.location.path.key(name.to_owned());
                self.findings.add(&KeyLocation { line, path }, "unknown key");
            }
        }
    }

    fn parse_address(&self, text: &LocatedText<'_>) -> Option<SocketAddr> {
        let Ok(address) = text.text.parse::<SocketAddr>() else {
            let error = format!("\"{}\" is not an IP number with a port", text.text);
            self.findings.add(&text.location, error);
            return None;
        };
        if address.port() == 0 {
            self.findings.add(&text.location, "must not have port 0");
            return None;
        }
        Some(address)
    }

    fn get(&self, key: &str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.table?.get(key)
    }

    fn read_value(&self, key: &'static str) -> Option<&'d Spanned<DeValue<'d>>> {
        self.read_keys.borrow_mut().push(key);
        self.get(key)
    }

    fn read_items(&self, key: &'static str, expected: &str) -> &'d [Spanned<DeValue<'d>>] {
        let Some(value) = self.read_value(key) else {
            return &[];
        };
        match value.get_ref() {
            DeValue::Array(array) => array,
            _ => self.add_type_error(key, expected).unwrap_or(&[]),
        }
    }

    fn add_missing(&self, key: &'static str) {
        if self.state == TableState::Readable {
            self.add_finding(key, "is missing");
        }
    }

    fn add_type_error<T>(&self, key: &'static str, expected: &str) -> Option<T> {
        self.add_finding(key, format!("must be {expected}"));
        None
    }

    fn line_of(&self, value: &Spanned<DeValue<'_>>) -> usize {
        self.findings.line_at(value.span().start)
    }
}

fn is_number(value: &DeValue<'_>) -> bool {
    matches!(value, DeValue::Integer(_) | DeValue::Float(_))
}

fn parse_number(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().parse().ok(),
        DeValue::Integer(integer) => {
            i128::from_str_radix(integer.as_str(), integer.radix()).ok().map(|number| number as f64)
        }
        DeValue::Float(float) => float.as_str().parse().ok(),
        _ => None,
    }
}
