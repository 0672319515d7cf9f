//! Compact encoding of rows in messages: names that several rows share are sent once in a message.
//!
//! A backend server's row is some 80 bytes: thirty for the names of its service and data centre,
//! and twenty for its key, which repeats its number. Packed it is some 35 bytes. An instance with a
//! twentieth of a core spends most of its start on receiving the messages with the list, so fewer
//! messages make it serve sooner.

use std::collections::HashMap;

use foxledge_flows::rows::{
    BackendRow, ExtensionRow, LimitsRow, ListRow, RemovedRow, RouteRow, RowValue,
};
use prost::{Message, Oneof, encoding::encoded_len_varint};

/// `PackedRows` is a set of rows that share a table of names.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRows {
    /// Names that the rows refer to by index.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// The rows.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<PackedRow>,
}

/// `PackedRow` is one row, with names replaced by indexes.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRow {
    /// Key of the row; empty if `prefix` is set.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Index of the name that makes up the key together with the backend server's number in
    /// hexadecimal.
    #[prost(uint32, optional, tag = "2")]
    pub prefix: Option<u32>,
    /// Revision at which the row last changed.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Value of the row.
    #[prost(oneof = "PackedValue", tags = "4, 5, 6, 7, 8")]
    pub value: Option<PackedValue>,
}

/// `PackedValue` is the value of a row.
#[derive(Clone, PartialEq, Oneof)]
pub enum PackedValue {
    /// A route.
    #[prost(message, tag = "4")]
    Route(RouteRow),
    /// A backend server.
    #[prost(message, tag = "5")]
    Backend(PackedBackend),
    /// Limits of the whole list.
    #[prost(message, tag = "6")]
    Limits(LimitsRow),
    /// The row was removed.
    #[prost(message, tag = "7")]
    Removed(PackedRemoval),
    /// A row of a kind that not every build knows.
    #[prost(message, tag = "8")]
    Extension(ExtensionRow),
}

/// `PackedBackend` is a packed [`BackendRow`].
#[derive(Clone, PartialEq, Message)]
pub struct PackedBackend {
    /// Number of the backend server.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Index of its service's name.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// IPv4 address, as a number.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Index of its data centre's name.
    #[prost(uint32, tag = "5")]
    pub data_centre: u32,
    /// Number of requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// The backend server is draining.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Remaining warm-up time, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub warm_in_ms: u32,
    /// Incarnation of the process.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// Revision at which its entry was created.
    #[prost(uint64, tag = "10")]
    pub created_revision: u64,
}

/// `PackedRemoval` is a packed [`RemovedRow`].
#[derive(Clone, PartialEq, Message)]
pub struct PackedRemoval {
    /// The backend server that was removed, if the row was one.
    #[prost(message, optional, tag = "1")]
    pub backend: Option<PackedBackend>,
    /// Time since the removal, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// `RowPacker` packs rows one by one.
#[derive(Debug, Default)]
pub struct RowPacker {
    name_indexes: HashMap<String, u32>,
    packed: PackedRows,
    /// Number of names that the rows up to each one refer to.
    name_counts: Vec<usize>,
}

impl RowPacker {
    /// Packs a row; returns the number of bytes that it adds to the message.
    pub fn push(&mut self, row: &ListRow) -> usize {
        let name_count = self.packed.names.len();
        let row = self.pack(row);
        let mut size = encoded_field_len(row.encoded_len());
        self.packed.rows.push(row);
        self.name_counts.push(self.packed.names.len());
        for name in &self.packed.names[name_count..] {
            size += encoded_field_len(name.len());
        }
        size
    }

    /// Returns the first `count` of the packed rows, with their names.
    pub fn finish(mut self, count: usize) -> PackedRows {
        self.packed.rows.truncate(count);
        let last_index = count.min(self.name_counts.len()).checked_sub(1);
        self.packed.names.truncate(last_index.map_or(0, |index| self.name_counts[index]));
        self.packed
    }

    fn pack(&mut self, row: &ListRow) -> PackedRow {
        let backend = match &row.value {
            Some(RowValue::Backend(backend)) => Some(backend),
            Some(RowValue::Removed(removed)) => removed.backend.as_ref(),
            _ => None,
        };
        let hex_number = backend.map(|backend| format!("{:x}", backend.number));
        let prefix = hex_number.and_then(|hex_number| row.key.strip_suffix(&hex_number));
        let (key, prefix) = match prefix {
            Some(prefix) => (String::new(), Some(self.intern_name(prefix))),
            None => (row.key.clone(), None),
        };
        let value = row.value.as_ref().map(|value| self.pack_value(value));
        PackedRow { key, prefix, revision: row.revision, value }
    }

    fn pack_value(&mut self, value: &RowValue) -> PackedValue {
        match value {
            RowValue::Route(route) => PackedValue::Route(route.clone()),
            RowValue::Limits(limits) => PackedValue::Limits(limits.clone()),
            RowValue::Extension(extension) => PackedValue::Extension(extension.clone()),
            RowValue::Backend(backend) => PackedValue::Backend(self.pack_backend(backend)),
            RowValue::Removed(removed) => PackedValue::Removed(PackedRemoval {
                backend: removed.backend.as_ref().map(|backend| self.pack_backend(backend)),
                age_ms: removed.age_ms,
            }),
        }
    }

    fn pack_backend(&mut self, row: &BackendRow) -> PackedBackend {
        PackedBackend {
            number: row.number,
            service: self.intern_name(&row.service),
            ip: row.ip,
            port: row.port,
            data_centre: self.intern_name(&row.data_centre),
            slots: row.slots,
            draining: row.draining,
            warm_in_ms: row.warm_in_ms,
            incarnation: row.incarnation,
            created_revision: row.created_revision,
        }
    }

    /// Returns the index of a name in the name table, and adds it if it is missing.
    fn intern_name(&mut self, name: &str) -> u32 {
        if let Some(index) = self.name_indexes.get(name) {
            return *index;
        }
        let index = self.packed.names.len() as u32;
        self.packed.names.push(name.to_owned());
        self.name_indexes.insert(name.to_owned(), index);
        index
    }
}

impl PackedRows {
    /// Packs all of these rows.
    pub fn pack(rows: &[ListRow]) -> PackedRows {
        let mut packer = RowPacker::default();
        for row in rows {
            packer.push(row);
        }
        packer.finish(rows.len())
    }

    /// Unpacks the rows. A name with an invalid index becomes empty.
    pub fn unpack(self) -> Vec<ListRow> {
        let PackedRows { names, rows } = self;
        rows.into_iter().map(|row| unpack(&names, row)).collect()
    }
}

fn unpack(names: &[String], row: PackedRow) -> ListRow {
    let value = row.value.map(|value| unpack_value(names, value));
    let backend = match &value {
        Some(RowValue::Backend(backend)) => Some(backend),
        Some(RowValue::Removed(removed)) => removed.backend.as_ref(),
        _ => None,
    };
    let key = match (row.prefix, backend) {
        (Some(prefix), Some(backend)) => {
            format!("{}{:x}", name_at(names, prefix), backend.number)
        }
        _ => row.key,
    };
    ListRow { key, revision: row.revision, value }
}

fn unpack_value(names: &[String], value: PackedValue) -> RowValue {
    match value {
        PackedValue::Route(route) => RowValue::Route(route),
        PackedValue::Limits(limits) => RowValue::Limits(limits),
        PackedValue::Extension(extension) => RowValue::Extension(extension),
        PackedValue::Backend(backend) => RowValue::Backend(unpack_backend(names, backend)),
        PackedValue::Removed(removed) => RowValue::Removed(RemovedRow {
            backend: removed.backend.map(|backend| unpack_backend(names, backend)),
            age_ms: removed.age_ms,
        }),
    }
}

fn unpack_backend(names: &[String], packed: PackedBackend) -> BackendRow {
    BackendRow {
        number: packed.number,
        service: name_at(names, packed.service),
        ip: packed.ip,
        port: packed.port,
        data_centre: name_at(names, packed.data_centre),
        slots: packed.slots,
        draining: packed.draining,
        warm_in_ms: packed.warm_in_ms,
        incarnation: packed.incarnation,
        created_revision: packed.created_revision,
    }
}

fn name_at(names: &[String], index: u32) -> String {
    names.get(index as usize).cloned().unwrap_or_default()
}

/// Returns the encoded size of a field of this length, including its tag and length prefix.
fn encoded_field_len(size: usize) -> usize {
    1 + encoded_len_varint(size as u64) + size
}
