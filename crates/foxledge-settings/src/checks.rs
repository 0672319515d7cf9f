//! Checks of the relations between settings.

use std::net::SocketAddr;

use foxledge_document::TableReader;

use crate::settings::{FlowSettings, PeerSettings, StopSettings};

/// Checks that the listening sockets have different addresses, and that the addresses
/// announced to peers aren't wildcards.
pub(crate) fn check_listen(
    table: &TableReader<'_>,
    addresses: &[(&'static str, Option<SocketAddr>)],
) {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let Some(address) = address else {
            continue;
        };
        if *key != "admin" && address.ip().is_unspecified() {
            table.add_finding(key, "must name one IP number, because peers are told it");
        }
        let mut earlier = addresses[..index].iter();
        let shared =
            earlier.find(|(_, other)| other.is_some_and(|other| addresses_clash(other, *address)));
        if let Some((other, _)) = shared {
            table.add_finding(
                key,
                format!("has the same port as {}", table.location_of(other).path),
            );
        }
    }
}

fn addresses_clash(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port()
}

/// Checks the timeouts of peers: a peer that is suspected before its next heartbeat would
/// alternate between alive and suspect permanently.
pub(crate) fn check_peer_timeouts(table: &TableReader<'_>, peers: &PeerSettings) {
    if peers.suspect_after_ms <= peers.heartbeat_ms {
        table.add_finding("suspect_after_ms", "must be more than peers.heartbeat_ms");
    }
    if peers.dead_after_ms <= peers.suspect_after_ms {
        table.add_finding("dead_after_ms", "must be more than peers.suspect_after_ms");
    }
}

/// Checks the limit of a planned stop: if it were shorter than the validity of tickets,
/// requests under valid tickets would be cut off.
pub(crate) fn check_stop(table: &TableReader<'_>, stop: &StopSettings, flow: &FlowSettings) {
    if stop.limit_ms <= flow.ticket_ms {
        table.add_finding("limit_ms", "must be more than flow.ticket_ms");
    }
}
