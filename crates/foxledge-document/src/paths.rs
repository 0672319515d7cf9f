//! Paths of keys, such as `rule[2].then.service`.

use std::{borrow::Cow, fmt, rc::Rc};

/// `KeyPath` is the path of a key or of an array's item from a document's root.
///
/// It shares its beginning with its neighbours and is written out only when a
/// finding needs it: a good list of a megabyte has tens of thousands of them.
#[derive(Clone, Debug, Default)]
pub struct KeyPath(Option<Rc<PathStep>>);

#[derive(Debug)]
enum PathStep {
    Key(KeyPath, Cow<'static, str>),
    Item(KeyPath, usize),
}

impl KeyPath {
    /// The path of a key of the table here.
    pub fn key(&self, key: impl Into<Cow<'static, str>>) -> KeyPath {
        KeyPath(Some(Rc::new(PathStep::Key(self.clone(), key.into()))))
    }

    /// The path of an item, counted from 0, of the array here.
    pub fn item(&self, index: usize) -> KeyPath {
        KeyPath(Some(Rc::new(PathStep::Item(self.clone(), index))))
    }

    /// The index of the item that the path ends at, or none when it ends at a key.
    pub fn last_index(&self) -> Option<usize> {
        match self.0.as_deref() {
            Some(PathStep::Item(_, index)) => Some(*index),
            _ => None,
        }
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.as_deref() {
            None => Ok(()),
            Some(PathStep::Key(KeyPath(None), key)) => f.write_str(key),
            Some(PathStep::Key(parent, key)) => write!(f, "{parent}.{key}"),
            Some(PathStep::Item(array, index)) => write!(f, "{array}[{index}]"),
        }
    }
}
