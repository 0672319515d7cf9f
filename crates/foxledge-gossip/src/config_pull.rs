//! The operators' list in force, asked of an instance that holds a newer one than the store.
//!
//! An instance that starts while the store has an older version knows no other. One that has
//! held the newer says so in its heartbeats, and hands it over: rows of the list itself follow
//! the store and don't tell it.

use std::net::SocketAddrV4;

use foxledge_core::time::ClockTime;
use foxledge_flows::{RetainedConfig, rows::ListRow};

use crate::{
    effects::FleetEffect,
    list_transfer::MAX_PAGE_ROW_BYTES,
    member::FleetMember,
    messages::{ConfigPage, ConfigRequest, HeartbeatMessage, MessageBody},
    packing::RowPacker,
};

/// Wait for a page in milliseconds; the next heartbeat that tells of the version goes on.
const PAGE_MS: u64 = 200;

/// `ConfigPull` is a transfer of the operators' list in force from one instance.
#[derive(Debug)]
pub(crate) struct ConfigPull {
    from: SocketAddrV4,
    version: u64,
    rows: Vec<ListRow>,
    /// When the transfer is given up.
    until: ClockTime,
}

impl FleetMember {
    /// Asks for the operators' list that another instance holds, if it is newer than the one in
    /// force here and the list brings none.
    pub(crate) fn pull_retained_config(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        beat: &HeartbeatMessage,
    ) {
        let is_newer = beat.held_version > self.effective_version();
        let is_asking = self.config_pull.as_ref().is_some_and(|pull| !pull.until.is_past(now));
        if !is_newer || is_asking || self.list.head() == 0 || beat.head > self.list.head() {
            return;
        }
        let version = beat.held_version;
        let until = now.after_millis(PAGE_MS);
        // A version has the same rows wherever it is held: what came before a loss stays.
        let former = self.config_pull.take().filter(|pull| pull.version == version);
        let rows = former.map(|pull| pull.rows).unwrap_or_default();
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        self.config_pull = Some(ConfigPull { from, version, rows, until });
        self.ask_config(from, version, after);
    }

    fn ask_config(&mut self, to: SocketAddrV4, version: u64, after: String) {
        self.send_message(to, MessageBody::ConfigRequest(ConfigRequest { version, after }));
    }

    /// Answers with a page of the list that is held here, if it still is.
    pub(crate) fn handle_config_request(&mut self, from: SocketAddrV4, question: &ConfigRequest) {
        let Some(held) =
            self.retained_config.as_ref().filter(|held| held.version() == question.version)
        else {
            return;
        };
        let (mut packer, mut size) = (RowPacker::default(), 0);
        let (count, has_more) = held.page_length(&question.after, |row| {
            size += packer.push(row);
            size <= MAX_PAGE_ROW_BYTES
        });
        let rows = Some(packer.finish(count));
        let ConfigRequest { version, after } = question.clone();
        let page = ConfigPage { version, after, rows, has_more };
        self.send_message(from, MessageBody::ConfigPage(page));
    }

    /// Takes a page; the last puts all of it in force.
    pub(crate) fn handle_config_page(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        page: ConfigPage,
    ) {
        let is_asked = |pull: &mut ConfigPull| {
            let after = pull.rows.last().map_or("", |row| row.key.as_str());
            (pull.from, pull.version, after) == (from, page.version, page.after.as_str())
        };
        let Some(mut pull) = self.config_pull.take_if(is_asked) else { return };
        pull.rows.extend(page.rows.map(|rows| rows.unpack()).unwrap_or_default());
        let last = pull.rows.last().map(|row| row.key.clone());
        if let Some(after) = last.filter(|_| page.has_more) {
            pull.until = now.after_millis(PAGE_MS);
            let version = pull.version;
            self.config_pull = Some(pull);
            return self.ask_config(from, version, after);
        }
        if let Some(held) = RetainedConfig::from_rows(pull.rows.iter()) {
            self.put_held(held);
        }
    }

    /// Puts a list in force that is newer than the one that is.
    fn put_held(&mut self, held: RetainedConfig) {
        let version = held.version();
        if version <= self.effective_version() {
            return;
        }
        let former =
            self.retained_config.take().or_else(|| RetainedConfig::from_rows(self.list.rows()));
        let rows = match former {
            Some(former) => former.changes_to(&held, self.list.head()),
            None => held.rows().cloned().collect(),
        };
        self.retained_config = Some(held);
        self.effects.push(FleetEffect::ApplyRows(rows));
        self.set_retained_version(Some(version));
    }
}
