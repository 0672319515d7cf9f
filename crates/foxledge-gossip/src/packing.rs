//! Rows as they travel: names that several rows share are told once in a message.
//!
//! A backend server's row is some 80 bytes, of which the names of its service and data
//! centre are thirty and its key, which repeats its number, twenty. Packed it is some
//! 35. An instance with a twentieth of a core spends most of its start on receiving the
//! messages that bring the list, so that it serves sooner with fewer of them.

use std::collections::HashMap;

use foxledge_flows::rows::{
    BackendRow, ExtensionRow, LimitsRow, ListRow, RemovedRow, RouteRow, RowValue,
};
use prost::{Message, Oneof, encoding::encoded_len_varint};

/// `PackedRows` is rows that travel together.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRows {
    /// Names that the rows point to.
    #[prost(string, repeated, tag = "1")]
    pub names: Vec<String>,
    /// The rows.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<PackedRow>,
}

/// `PackedRow` is one of them.
#[derive(Clone, PartialEq, Message)]
pub struct PackedRow {
    /// The row's key, unless it has a prefix.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Place of the name that makes the key together with the backend server's number.
    #[prost(uint32, optional, tag = "2")]
    pub prefix: Option<u32>,
    /// Revision at which the row last changed.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// What it says.
    #[prost(oneof = "PackedValue", tags = "4, 5, 6, 7, 8")]
    pub value: Option<PackedValue>,
}

/// `PackedValue` is what a row says.
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
    /// The row is gone.
    #[prost(message, tag = "7")]
    Removed(PackedRemoval),
    /// A row of a kind that not every build knows.
    #[prost(message, tag = "8")]
    Extension(ExtensionRow),
}

/// `PackedBackend` is a [`BackendRow`].
#[derive(Clone, PartialEq, Message)]
pub struct PackedBackend {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Place of its service's name.
    #[prost(uint32, tag = "2")]
    pub service: u32,
    /// IPv4 address, as a number.
    #[prost(fixed32, tag = "3")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "4")]
    pub port: u32,
    /// Place of its data centre's name.
    #[prost(uint32, tag = "5")]
    pub data_centre: u32,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// It is leaving.
    #[prost(bool, tag = "7")]
    pub draining: bool,
    /// Time until it is warm, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub warm_in_ms: u32,
    /// Names the start of the process.
    #[prost(uint64, tag = "9")]
    pub incarnation: u64,
    /// Revision at which its entry was created.
    #[prost(uint64, tag = "10")]
    pub created: u64,
}

/// `PackedRemoval` is a [`RemovedRow`].
#[derive(Clone, PartialEq, Message)]
pub struct PackedRemoval {
    /// The backend server that it was.
    #[prost(message, optional, tag = "1")]
    pub backend: Option<PackedBackend>,
    /// Time since the removal, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}

/// `RowPacker` packs rows one by one.
#[derive(Debug, Default)]
pub struct RowPacker {
    places: HashMap<String, u32>,
    packed: PackedRows,
}

impl RowPacker {
    /// Packs a row; returns the bytes that it adds to the message.
    pub fn push(&mut self, row: &ListRow) -> usize {
        let names = self.packed.names.len();
        let row = self.pack(row);
        let mut size = framed(row.encoded_len());
        self.packed.rows.push(row);
        for name in &self.packed.names[names..] {
            size += framed(name.len());
        }
        size
    }

    /// The first `count` rows of those that were packed.
    pub fn finish(mut self, count: usize) -> PackedRows {
        self.packed.rows.truncate(count);
        self.packed
    }

    fn pack(&mut self, row: &ListRow) -> PackedRow {
        let backend = match &row.value {
            Some(RowValue::Backend(backend)) => Some(backend),
            Some(RowValue::Removed(removed)) => removed.backend.as_ref(),
            _ => None,
        };
        let digits = backend.map(|backend| format!("{:x}", backend.number));
        let prefix = digits.and_then(|digits| row.key.strip_suffix(&digits));
        let (key, prefix) = match prefix {
            Some(prefix) => (String::new(), Some(self.place(prefix))),
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
            service: self.place(&row.service),
            ip: row.ip,
            port: row.port,
            data_centre: self.place(&row.data_centre),
            slots: row.slots,
            draining: row.draining,
            warm_in_ms: row.warm_in_ms,
            incarnation: row.incarnation,
            created: row.created_revision,
        }
    }

    /// The place of a name among the names of the message.
    fn place(&mut self, name: &str) -> u32 {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.packed.names.len() as u32;
        self.packed.names.push(name.to_owned());
        self.places.insert(name.to_owned(), place);
        place
    }
}

impl PackedRows {
    /// Packs rows.
    pub fn pack(rows: &[ListRow]) -> PackedRows {
        let mut packer = RowPacker::default();
        for row in rows {
            packer.push(row);
        }
        packer.finish(rows.len())
    }

    /// The rows; a name that is missing is empty.
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
        created_revision: packed.created,
    }
}

fn name_at(names: &[String], place: u32) -> String {
    names.get(place as usize).cloned().unwrap_or_default()
}

/// Bytes of a field of this length with its tag and length in front.
fn framed(size: usize) -> usize {
    1 + encoded_len_varint(size as u64) + size
}
