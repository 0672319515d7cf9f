//! Reading a table key by key.

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

/// `TableReader` reads one table of a document.
///
/// Each method that reads a key marks it as known and notes a finding when its
/// value is wrong; [`TableReader::finish`] notes the keys that nobody read.
#[derive(Debug)]
pub struct TableReader<'d> {
    findings: &'d SourceFindings,
    table: Option<&'d DeTable<'d>>,
    location: KeyLocation,
    state: TableState,
    read_keys: RefCell<Vec<&'static str>>,
}

/// `TableState` is whether the lack of a key is worth a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableState {
    /// A table, or nothing where one may stand.
    Readable,
    /// Something else stands there, which already is a finding.
    WrongType,
}

/// `LocatedText` is a text value with its place.
#[derive(Clone, Debug)]
pub struct LocatedText<'d> {
    /// The value.
    pub text: &'d str,
    /// Where it stands.
    pub location: KeyLocation,
}

/// Parses `text` and hands a reader of its root table to `read`.
///
/// A text that is no TOML becomes one finding, and `read` isn't called.
pub fn read_document<T>(
    notes: &SourceFindings,
    text: &str,
    read: impl FnOnce(&TableReader<'_>) -> T,
) -> Option<T> {
    match DeTable::parse(text) {
        Ok(root) => {
            let reader = TableReader::new(notes, Some(root.get_ref()), KeyLocation::default());
            let value = read(&reader);
            reader.finish();
            Some(value)
        }
        Err(error) => {
            let line = error.span().map_or(0, |span| notes.line_at(span.start));
            let place = KeyLocation { line, ..KeyLocation::default() };
            notes.add(&place, format!("not TOML: {}", error.message()));
            None
        }
    }
}

impl<'d> TableReader<'d> {
    fn new(
        notes: &'d SourceFindings,
        table: Option<&'d DeTable<'d>>,
        place: KeyLocation,
    ) -> TableReader<'d> {
        let state = TableState::Readable;
        TableReader {
            findings: notes,
            table,
            location: place,
            state,
            read_keys: RefCell::default(),
        }
    }

    /// Where the table stands.
    pub fn location(&self) -> &KeyLocation {
        &self.location
    }

    /// Where a key's value stands; the table's line when the key is absent.
    pub fn location_of(&self, key: &'static str) -> KeyLocation {
        let line = self.get(key).map_or(self.location.line, |value| self.line_of(value));
        KeyLocation { line, path: self.location.path.key(key) }
    }

    /// Notes a finding at a key.
    pub fn add_finding(&self, key: &'static str, text: impl Into<String>) {
        self.findings.add(&self.location_of(key), text);
    }

    /// True when the key stands in the table; marks it as known.
    pub fn has_key(&self, key: &'static str) -> bool {
        self.read_value(key).is_some()
    }

    /// The table under `key`; an absent one reads as empty.
    pub fn table(&self, key: &'static str) -> TableReader<'d> {
        let place = self.location_of(key);
        match self.read_value(key).map(Spanned::get_ref) {
            None => TableReader::new(self.findings, None, place),
            Some(DeValue::Table(table)) => TableReader::new(self.findings, Some(table), place),
            Some(_) => {
                self.add_finding(key, "must be a table");
                let reader = TableReader::new(self.findings, None, place);
                TableReader { state: TableState::WrongType, ..reader }
            }
        }
    }

    /// The table under `key`, or none when it is absent or no table.
    pub fn optional_table(&self, key: &'static str) -> Option<TableReader<'d>> {
        let reader = self.table(key);
        reader.table.is_some().then_some(reader)
    }

    /// The tables of the array under `key`; absent reads as none.
    pub fn tables(&self, key: &'static str) -> Vec<TableReader<'d>> {
        let mut readers = Vec::new();
        let path = self.location.path.key(key);
        for (index, item) in self.read_items(key, "an array of tables").iter().enumerate() {
            let place = KeyLocation { line: self.line_of(item), path: path.item(index) };
            match item.get_ref() {
                DeValue::Table(table) => {
                    readers.push(TableReader::new(self.findings, Some(table), place));
                }
                _ => self.findings.add(&place, "must be a table"),
            }
        }
        readers
    }

    /// The text under `key`.
    pub fn text(&self, key: &'static str) -> Option<&'d str> {
        match self.read_value(key)?.get_ref() {
            DeValue::String(text) => Some(text),
            _ => self.add_type_error(key, "a text"),
        }
    }

    /// The texts of the array under `key` with their places; absent reads as none.
    pub fn texts(&self, key: &'static str) -> Vec<LocatedText<'d>> {
        let mut texts = Vec::new();
        let path = self.location.path.key(key);
        for (index, item) in self.read_items(key, "an array of texts").iter().enumerate() {
            let place = KeyLocation { line: self.line_of(item), path: path.item(index) };
            match item.get_ref() {
                DeValue::String(text) => texts.push(LocatedText { text, location: place }),
                _ => self.findings.add(&place, "must be a text"),
            }
        }
        texts
    }

    /// The name under `key`; a bad one is a finding.
    pub fn name(&self, key: &'static str) -> Option<&'d str> {
        let name = self.text(key)?;
        match name_error(name) {
            None => Some(name),
            Some(fault) => {
                self.add_finding(key, fault);
                None
            }
        }
    }

    /// The names of the array under `key`; bad ones and repeats are findings.
    pub fn names(&self, key: &'static str) -> Vec<LocatedText<'d>> {
        let mut names = Vec::new();
        let mut seen = HashSet::new();
        for name in self.texts(key) {
            if let Some(fault) = name_error(name.text) {
                self.findings.add(&name.location, fault);
            } else if seen.insert(name.text) {
                names.push(name);
            } else {
                self.findings.add(&name.location, format!("\"{}\" stands twice", name.text));
            }
        }
        names
    }

    /// The number under `key`; one outside of `range` is a finding.
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

    /// The number under `key`, or `default` when absent or wrong.
    pub fn number_or(&self, key: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.number(key, range).unwrap_or(default)
    }

    /// The number under `key`, whole or with decimals; one outside of `range` is a finding.
    pub fn decimal(&self, key: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        let number: Option<f64> = match self.read_value(key)?.get_ref() {
            DeValue::Integer(integer) => integer.as_str().parse().ok(),
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => return self.add_type_error(key, "a number"),
        };
        let found = number.filter(|number| range.contains(number));
        if found.is_none() {
            self.add_finding(key, format!("must be from {} to {}", range.start(), range.end()));
        }
        found
    }

    /// The switch under `key`.
    pub fn boolean(&self, key: &'static str) -> Option<bool> {
        match self.read_value(key)?.get_ref() {
            DeValue::Boolean(on) => Some(*on),
            _ => self.add_type_error(key, "true or false"),
        }
    }

    /// The IP number with port under `key`.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        self.parse_address(&LocatedText { text, location: self.location_of(key) })
    }

    /// The IP numbers with ports of the array under `key`; repeats are findings.
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

    /// The table under `key` whose keys and values are IP numbers with ports; absent reads as empty.
    pub fn address_map(&self, key: &'static str) -> BTreeMap<SocketAddr, SocketAddr> {
        let reader = self.table(key);
        let mut pairs = BTreeMap::new();
        let Some(table) = reader.table else { return pairs };
        for (name, value) in table {
            let line = self.findings.line_at(name.span().start);
            let place = KeyLocation { line, path: reader.location.path.key(name.to_string()) };
            let DeValue::String(text) = value.get_ref() else {
                self.findings.add(&place, "must be a text");
                continue;
            };
            let from =
                self.parse_address(&LocatedText { text: name.get_ref(), location: place.clone() });
            let to = self.parse_address(&LocatedText { text, location: place });
            pairs.extend(from.zip(to));
        }
        pairs
    }

    /// Notes an array that is missing or empty.
    pub fn require_non_empty(&self, key: &'static str) {
        match self.get(key).map(Spanned::get_ref) {
            None => self.add_missing(key),
            Some(DeValue::Array(array)) if array.is_empty() => {
                self.add_finding(key, "must not be empty")
            }
            Some(_) => {}
        }
    }

    /// Notes a missing key and passes the value on.
    pub fn require<T>(&self, key: &'static str, value: Option<T>) -> Option<T> {
        if value.is_none() && self.get(key).is_none() {
            self.add_missing(key);
        }
        value
    }

    /// Notes every key of the table that nobody read.
    pub fn finish(&self) {
        let Some(table) = self.table else {
            return;
        };
        let known = self.read_keys.borrow();
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !known.contains(&name) {
                let line = self.findings.line_at(key.span().start);
                let path = self.location.path.key(name.to_owned());
                self.findings.add(&KeyLocation { line, path }, "unknown key");
            }
        }
    }

    fn parse_address(&self, text: &LocatedText<'_>) -> Option<SocketAddr> {
        let Ok(address) = text.text.parse::<SocketAddr>() else {
            let fault = format!("\"{}\" is not an IP number with a port", text.text);
            self.findings.add(&text.location, fault);
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

    fn read_items(&self, key: &'static str, wanted: &str) -> &'d [Spanned<DeValue<'d>>] {
        let Some(value) = self.read_value(key) else {
            return &[];
        };
        match value.get_ref() {
            DeValue::Array(array) => array,
            _ => self.add_type_error(key, wanted).unwrap_or(&[]),
        }
    }

    fn add_missing(&self, key: &'static str) {
        if self.state == TableState::Readable {
            self.add_finding(key, "is missing");
        }
    }

    fn add_type_error<T>(&self, key: &'static str, wanted: &str) -> Option<T> {
        self.add_finding(key, format!("must be {wanted}"));
        None
    }

    fn line_of(&self, value: &Spanned<DeValue<'_>>) -> usize {
        self.findings.line_at(value.span().start)
    }
}
