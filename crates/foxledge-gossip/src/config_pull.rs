//! Transfer of a retained configuration from an instance whose version is newer than the store's.
//!
//! An instance that starts while the store has an older version knows no other. Instances that
//! retain the newer one announce its version in their heartbeats and serve it on request: the rows
//! of the list itself follow the store and don't contain it.

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

/// Time to wait for a page in milliseconds; the next heartbeat that announces the version resumes
/// the transfer.
const PAGE_TIMEOUT_MS: u64 = 200;

/// A transfer of a retained configuration from one instance.
#[derive(Debug)]
pub(crate) struct ConfigPull {
    from: SocketAddrV4,
    version: u64,
    rows: Vec<ListRow>,
    /// When the transfer times out.
    expires_at: ClockTime,
}

impl FleetMember {
    /// Requests the configuration that another instance retains, if it is newer than the one in
    /// force here and the list doesn't provide it.
    pub(crate) fn pull_retained_config(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        heartbeat: &HeartbeatMessage,
    ) {
        let is_newer = heartbeat.retained_version > self.effective_version();
        let is_pulling =
            self.config_pull.as_ref().is_some_and(|pull| !pull.expires_at.is_past(now));
        if !is_newer || is_pulling || self.list.head() == 0 || heartbeat.head > self.list.head() {
            return;
        }
        let version = heartbeat.retained_version;
        let expires_at = now.after_millis(PAGE_TIMEOUT_MS);
        // A version has the same rows at all instances, so the pages received before a loss are
        // kept.
        let former = self.config_pull.take().filter(|pull| pull.version == version);
        let rows = former.map(|pull| pull.rows).unwrap_or_default();
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        self.config_pull = Some(ConfigPull { from, version, rows, expires_at });
        self.send_config_request(from, version, after);
    }

    fn send_config_request(&mut self, to: SocketAddrV4, version: u64, after: String) {
        self.send_message(to, MessageBody::ConfigRequest(ConfigRequest { version, after }));
    }

    /// Responds with a page of the retained configuration if this version is still retained.
    pub(crate) fn handle_config_request(&mut self, from: SocketAddrV4, request: &ConfigRequest) {
        let Some(retained) =
            self.retained_config.as_ref().filter(|retained| retained.version() == request.version)
        else {
            return;
        };
        let (mut packer, mut size) = (RowPacker::default(), 0);
        let (count, has_more) = retained.page_length(&request.after, |row| {
            size += packer.push(row);
            size <= MAX_PAGE_ROW_BYTES
        });
        let rows = Some(packer.finish(count));
        let ConfigRequest { version, after } = request.clone();
        let page = ConfigPage { version, after, rows, has_more };
        self.send_message(from, MessageBody::ConfigPage(page));
    }

    /// Handles a page; the last one puts the configuration in force.
    pub(crate) fn handle_config_page(
        &mut self,
        now: ClockTime,
        from: SocketAddrV4,
        page: ConfigPage,
    ) {
        let is_expected = |pull: &mut ConfigPull| {
            let after = pull.rows.last().map_or("", |row| row.key.as_str());
            (pull.from, pull.version, after) == (from, page.version, page.after.as_str())
        };
        let Some(mut pull) = self.config_pull.take_if(is_expected) else { return };
        pull.rows.extend(page.rows.map(|rows| rows.unpack()).unwrap_or_default());
        let last_key = pull.rows.last().map(|row| row.key.clone());
        if let Some(after) = last_key.filter(|_| page.has_more) {
            pull.expires_at = now.after_millis(PAGE_TIMEOUT_MS);
            let version = pull.version;
            self.config_pull = Some(pull);
            return self.send_config_request(from, version, after);
        }
        if let Some(retained) = RetainedConfig::from_rows(pull.rows.iter()) {
            self.apply_retained_config(retained);
        }
    }

    /// Puts a received configuration in force if it is newer than the current one.
    fn apply_retained_config(&mut self, retained: RetainedConfig) {
        let version = retained.version();
        if version <= self.effective_version() {
            return;
        }
        let former =
            self.retained_config.take().or_else(|| RetainedConfig::from_rows(self.list.rows()));
        let rows = match former {
            Some(former) => former.changes_to(&retained, self.list.head()),
            None => retained.rows().cloned().collect(),
        };
        self.retained_config = Some(retained);
        self.effects.push(FleetEffect::ApplyRows(rows));
        self.set_retained_version(Some(version));
    }
}
