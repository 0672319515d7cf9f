//! A caller that sends single packets made by hand.

use std::{net::SocketAddr, time::Duration};

use foxledge_wire::{decode_packet, encode_packet, flow::Packet};
use tokio::{
    net::UdpSocket,
    time::{Instant, timeout_at},
};

use super::runner::unspecified;

/// `RawCaller` is a socket that speaks single packets.
pub struct RawCaller {
    socket: UdpSocket,
    fabric: SocketAddr,
}

impl RawCaller {
    /// Binds a socket for talk with `fabric`.
    pub async fn bind(fabric: SocketAddr) -> anyhow::Result<RawCaller> {
        Ok(RawCaller { socket: UdpSocket::bind(unspecified(fabric)).await?, fabric })
    }

    /// Sends a packet to the fabric.
    pub async fn send(&self, packet: &Packet) -> anyhow::Result<()> {
        self.send_bytes(&encode_packet(packet)).await
    }

    /// Sends any bytes to the fabric.
    pub async fn send_bytes(&self, bytes: &[u8]) -> anyhow::Result<()> {
        self.socket.send_to(bytes, self.fabric).await?;
        Ok(())
    }

    /// Waits for a packet that `fits`; drops others. `None` when none comes within `limit`.
    pub async fn receive(&self, limit: Duration, fits: impl Fn(&Packet) -> bool) -> Option<Packet> {
        let deadline = Instant::now() + limit;
        let mut buffer = [0; 2048];
        loop {
            let received = timeout_at(deadline, self.socket.recv_from(&mut buffer)).await.ok()?;
            let Ok((size, _)) = received else { continue };
            match decode_packet(&buffer[..size]) {
                Ok(packet) if fits(&packet) => return Some(packet),
                _ => continue,
            }
        }
    }

    /// Sends a packet and waits for one that `fits`.
    pub async fn ask(
        &self,
        packet: &Packet,
        limit: Duration,
        fits: impl Fn(&Packet) -> bool,
    ) -> anyhow::Result<Option<Packet>> {
        self.send(packet).await?;
        Ok(self.receive(limit, fits).await)
    }
}
