//! Conversions between protocol messages and the types of `foxledge-core`.

use std::net::SocketAddr;

use foxledge_core::{
    lists::ListVersion,
    names::{CentreName, InstanceName},
    peers::{PeerInfo, PeerState},
    traffic::TrafficKind,
};

use crate::{
    control,
    errors::{Result, invalid_field},
    flow::WorkKind,
};

/// Converts the record of an instance from its message.
///
/// # Errors
///
/// Returns an error when the name is empty, the state is missing, or an address is not an IP
/// address with a port.
pub fn peer_info(record: &control::PeerRecord) -> Result<PeerInfo> {
    if record.name.is_empty() {
        return Err(invalid_field("name", "empty"));
    }
    Ok(PeerInfo {
        name: InstanceName::new(&record.name),
        incarnation: record.incarnation,
        refutation: record.refutation,
        state: peer_state(record.state())?,
        data_centre: CentreName::new(&record.data_centre),
        data_address: socket_address("data_address", &record.data_address)?,
        peer_address: socket_address("peer_address", &record.peer_address)?,
        control_address: socket_address("control_address", &record.control_address)?,
    })
}

/// Converts the record of an instance to its message.
pub fn peer_record(info: &PeerInfo) -> control::PeerRecord {
    control::PeerRecord {
        name: info.name.to_string(),
        incarnation: info.incarnation,
        refutation: info.refutation,
        state: wire_state(info.state).into(),
        data_centre: info.data_centre.to_string(),
        data_address: info.data_address.to_string(),
        peer_address: info.peer_address.to_string(),
        control_address: info.control_address.to_string(),
    }
}

/// Converts a list version from its message.
pub fn list_version(version: &control::ListVersion) -> ListVersion {
    ListVersion { revision: version.revision, digest: version.digest }
}

/// Converts a list version to its message.
pub fn wire_version(version: ListVersion) -> control::ListVersion {
    control::ListVersion { revision: version.revision, digest: version.digest }
}

/// Converts a kind of traffic from its value on the wire, or returns `None` when the packet has
/// none.
pub fn traffic_kind(kind: WorkKind) -> Option<TrafficKind> {
    match kind {
        WorkKind::Unspecified => None,
        WorkKind::Feed => Some(TrafficKind::Feed),
        WorkKind::Bid => Some(TrafficKind::Bid),
        WorkKind::Upload => Some(TrafficKind::Upload),
    }
}

/// Converts a kind of traffic to its value on the wire.
pub fn work_kind(kind: TrafficKind) -> WorkKind {
    match kind {
        TrafficKind::Feed => WorkKind::Feed,
        TrafficKind::Bid => WorkKind::Bid,
        TrafficKind::Upload => WorkKind::Upload,
    }
}

/// Parses a text of the form `ip:port`.
///
/// # Errors
///
/// Returns an error that names `field` when the text has another form.
pub fn socket_address(field: &'static str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| invalid_field(field, "not an IP address with a port"))
}

fn peer_state(state: control::PeerState) -> Result<PeerState> {
    match state {
        control::PeerState::Unspecified => Err(invalid_field("state", "missing")),
        control::PeerState::Joining => Ok(PeerState::Joining),
        control::PeerState::Alive => Ok(PeerState::Alive),
        control::PeerState::Suspect => Ok(PeerState::Suspect),
        control::PeerState::Leaving => Ok(PeerState::Leaving),
        control::PeerState::Dead => Ok(PeerState::Dead),
    }
}

fn wire_state(state: PeerState) -> control::PeerState {
    match state {
        PeerState::Joining => control::PeerState::Joining,
        PeerState::Alive => control::PeerState::Alive,
        PeerState::Suspect => control::PeerState::Suspect,
        PeerState::Leaving => control::PeerState::Leaving,
        PeerState::Dead => control::PeerState::Dead,
    }
}
