//! Networks of loopback: each run has one of its own.

use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    ops::RangeInclusive,
};

use anyhow::{Result, bail};

use crate::world::DATA_PORT;

/// Networks that a run may use, of 127.N.x.x.
const NETWORK_RANGE: RangeInclusive<u8> = 10..=240;
/// Instances of the largest run.
const MAX_INSTANCES: u8 = 100;
/// Port by which a run holds its network against others.
const LOCK_PORT: u16 = 7_099;

fn is_unused(net: u8) -> bool {
    let places = (1..=MAX_INSTANCES).map(|low| Ipv4Addr::new(127, net, 1, low));
    places.into_iter().all(|ip| UdpSocket::bind((ip, DATA_PORT)).is_ok())
}

/// Takes a network that no other run uses, of this process or another.
pub(crate) fn reserve_network() -> Result<(u8, UdpSocket)> {
    let first = (std::process::id() % 200) as u8;
    let nets = NETWORK_RANGE.skip(usize::from(first)).chain(NETWORK_RANGE);
    for net in nets {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, net, 0, 1), LOCK_PORT);
        let Ok(hold) = UdpSocket::bind(address) else { continue };
        if is_unused(net) {
            return Ok((net, hold));
        }
    }
    bail!("every network of loopback is taken")
}
