//! Locations in a list, small enough to be stored for each target.

use std::fmt;

use foxledge_document::KeyLocation;

/// The location of a row or field in a part.
///
/// A [`KeyLocation`] shares its path through reference-counted pointers, which take
/// more memory than the target they belong to. Parsed parts are retained from list
/// to list, so the path is stored as numbers here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartLocation {
    pub(crate) line: u32,
    pub(crate) row: RowPath,
    pub(crate) field: FieldPath,
}

impl PartLocation {
    /// Creates the location of a field of a row from the location in the document.
    pub(crate) fn new(location: &KeyLocation, row: RowPath, field: FieldPath) -> PartLocation {
        PartLocation { line: location.line as u32, row, field }
    }
}

impl fmt::Display for PartLocation {
    /// Formats the path of the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.row, self.field)
    }
}

/// The location of a row or field in a list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListLocation {
    /// The index of the part.
    pub(crate) part: usize,
    /// The location in the part.
    pub(crate) location: PartLocation,
}

/// The path of one row in an array of tables.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RowPath {
    Rule(u32),
    Service(u32),
    /// A target nested in a service, by the indices of the service and the target.
    NestedTarget(u32, u32),
    Target(u32),
    Member(u32),
    Key(u32),
}

impl fmt::Display for RowPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowPath::Rule(row) => write!(f, "rule[{row}]"),
            RowPath::Service(row) => write!(f, "service[{row}]"),
            RowPath::NestedTarget(row, target) => write!(f, "service[{row}].target[{target}]"),
            RowPath::Target(row) => write!(f, "target[{row}]"),
            RowPath::Member(row) => write!(f, "member[{row}]"),
            RowPath::Key(row) => write!(f, "key[{row}]"),
        }
    }
}

/// The path of a field within its row.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldPath {
    /// The row itself.
    Row,
    Name,
    Id,
    Service,
    Shards,
    Address,
    Addresses(u32),
    WhenAddress(u32),
    WhenMember(u32),
    ThenService,
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldPath::Row => Ok(()),
            FieldPath::Name => f.write_str(".name"),
            FieldPath::Id => f.write_str(".id"),
            FieldPath::Service => f.write_str(".service"),
            FieldPath::Shards => f.write_str(".shards"),
            FieldPath::Address => f.write_str(".address"),
            FieldPath::Addresses(item) => write!(f, ".addresses[{item}]"),
            FieldPath::WhenAddress(item) => write!(f, ".when.address[{item}]"),
            FieldPath::WhenMember(item) => write!(f, ".when.member[{item}]"),
            FieldPath::ThenService => f.write_str(".then.service"),
        }
    }
}
