//! Options of fetching lists.

use std::{fmt, time::Duration};

use foxledge_rules::{ListAssembler, MAX_LIST_BYTES, MAX_PARTS};

use super::builder::ListBuilder;

/// Whether a list older than the one in force is accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StaleLists {
    /// Older lists are ignored.
    #[default]
    Refuse,
    /// Older lists are accepted; only used to show that refusing them matters.
    Accept,
}

/// Options of [`ListStore`](super::ListStore). Each has a default.
pub struct ListOptions {
    pub(super) builder: Box<dyn ListBuilder>,
    pub(super) fetch_timeout: Duration,
    pub(super) retry_backoff: Duration,
    pub(super) max_reply_bytes: usize,
    pub(super) max_list_bytes: usize,
    pub(super) max_list_parts: usize,
    pub(super) stale_lists: StaleLists,
}

impl Default for ListOptions {
    fn default() -> ListOptions {
        ListOptions {
            builder: Box::new(ListAssembler::new()),
            fetch_timeout: Duration::from_secs(2),
            retry_backoff: Duration::from_millis(500),
            max_reply_bytes: 256 * 1024,
            max_list_bytes: MAX_LIST_BYTES,
            max_list_parts: MAX_PARTS,
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
    /// Sets the builder that makes a list from its parts.
    pub fn builder(mut self, builder: Box<dyn ListBuilder>) -> ListOptions {
        self.builder = builder;
        self
    }

    /// Sets the time after which an unfinished fetch is given up.
    pub fn fetch_timeout(mut self, timeout: Duration) -> ListOptions {
        self.fetch_timeout = timeout;
        self
    }

    /// Sets the time for which a source is not used after a failure. Each failure in a row doubles
    /// it.
    pub fn retry_backoff(mut self, backoff: Duration) -> ListOptions {
        self.retry_backoff = backoff;
        self
    }

    /// Sets the maximum size of a reply with parts. A reply contains at least one part.
    pub fn max_reply_bytes(mut self, bytes: usize) -> ListOptions {
        self.max_reply_bytes = bytes;
        self
    }

    /// Sets the maximum total size of one list's parts, in bytes.
    pub fn max_list_bytes(mut self, bytes: usize) -> ListOptions {
        self.max_list_bytes = bytes;
        self
    }

    /// Sets whether a list older than the one in force is accepted.
    pub fn stale_lists(mut self, stale_lists: StaleLists) -> ListOptions {
        self.stale_lists = stale_lists;
        self
    }

    /// Sets the maximum number of parts of one list.
    pub fn max_list_parts(mut self, parts: usize) -> ListOptions {
        self.max_list_parts = parts;
        self
    }
}
