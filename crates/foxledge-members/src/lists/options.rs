//! Settings of fetching lists.

use std::{fmt, time::Duration};

use foxledge_rules::{ListAssembler, MAX_LIST_BYTES, MAX_PARTS};

use super::builder::ListBuilder;

/// `StaleLists` is what becomes of a list older than the one in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StaleLists {
    /// It is ignored.
    #[default]
    Refuse,
    /// It comes into force; only to prove that refusing matters.
    Accept,
}

/// `ListOptions` is how lists are fetched; each setting has a default.
pub struct ListOptions {
    pub(super) builder: Box<dyn ListBuilder>,
    pub(super) fetch_wait: Duration,
    pub(super) retry_wait: Duration,
    pub(super) reply_bytes: usize,
    pub(super) list_bytes: usize,
    pub(super) list_parts: usize,
    pub(super) stale_lists: StaleLists,
}

impl Default for ListOptions {
    fn default() -> ListOptions {
        ListOptions {
            builder: Box::new(ListAssembler::new()),
            fetch_wait: Duration::from_secs(2),
            retry_wait: Duration::from_millis(500),
            reply_bytes: 256 * 1024,
            list_bytes: MAX_LIST_BYTES,
            list_parts: MAX_PARTS,
            stale_lists: StaleLists::Refuse,
        }
    }
}

impl fmt::Debug for ListOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ListOptions").finish_non_exhaustive()
    }
}

impl ListOptions {
    /// What makes a list of its parts.
    pub fn builder(mut self, builder: Box<dyn ListBuilder>) -> ListOptions {
        self.builder = builder;
        self
    }

    /// Time after which a fetch without an end is given up.
    pub fn fetch_wait(mut self, wait: Duration) -> ListOptions {
        self.fetch_wait = wait;
        self
    }

    /// Time for which a source that failed isn't asked; doubled by each failure in a row.
    pub fn retry_wait(mut self, wait: Duration) -> ListOptions {
        self.retry_wait = wait;
        self
    }

    /// Bytes after which a reply with parts ends; it holds one part at least.
    pub fn reply_bytes(mut self, bytes: usize) -> ListOptions {
        self.reply_bytes = bytes;
        self
    }

    /// Most bytes of one list's parts.
    pub fn list_bytes(mut self, bytes: usize) -> ListOptions {
        self.list_bytes = bytes;
        self
    }

    /// What becomes of a list older than the one in force.
    pub fn stale_lists(mut self, stale: StaleLists) -> ListOptions {
        self.stale_lists = stale;
        self
    }

    /// Most parts of one list.
    pub fn list_parts(mut self, parts: usize) -> ListOptions {
        self.list_parts = parts;
        self
    }
}
