//! Paths of keys in a document, such as `rule[2].then.service`.

use std::{borrow::Cow, fmt, rc::Rc};

/// The path from the root of a document to a key or to an item of an array.
///
/// A path shares its parent with its siblings and is formatted only for a
/// finding, as a valid list of one megabyte has tens of thousands of paths.
#[derive(Clone, Debug, Default)]
pub struct KeyPath(Option<Rc<PathStep>>);

#[derive(Debug)]
enum PathStep {
    Key(KeyPath, Cow<'static, str>),
    Item(KeyPath, usize),
}

impl KeyPath {
    /// Returns the path of a key in the table at this path.
    pub fn key(&self, key: impl Into<Cow<'static, str>>) -> KeyPath {
        KeyPath(Some(Rc::new(PathStep::Key(self.clone(), key.into()))))
    }

    /// Returns the path of an item, counted from 0, in the array at this path.
    pub fn item(&self, index: usize) -> KeyPath {
        KeyPath(Some(Rc::new(PathStep::Item(self.clone(), index))))
    }

    /// Returns the index of the array item at the end of the path, or `None` if the path ends
    /// with a key.
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
