//! The part that receives and sends datagrams.

use std::{io, net::SocketAddr, rc::Rc};

use foxledge_wire::MAX_DATAGRAM_BYTES;
use log::{debug, info};
use stakker::{CX, call, fail, fwd_to, idle};
use stakker_mio::{
    MioPoll, MioSource, Ready,
    mio::{Interest, net::UdpSocket},
};

use crate::{context::DaemonContext, engine_part::EnginePart};

/// Maximum number of datagrams read from one socket before the main loop runs again.
pub const BATCH_LIMIT: usize = 64;
/// Priority of the sockets in the poll, equal to that of the waker, so that neither starves.
pub const POLL_PRIORITY: u32 = 10;
/// Size of the receive buffer: one byte more than allowed, so that an oversized datagram is
/// detected instead of truncated.
const BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// The socket that a datagram belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketKind {
    /// The socket for callers and backend servers.
    Data,
    /// The socket for other instances.
    Peer,
}

impl SocketKind {
    /// Returns the label in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            SocketKind::Data => "data",
            SocketKind::Peer => "peer",
        }
    }
}

/// Datagrams received on one socket.
#[derive(Debug)]
pub struct DatagramBatch {
    /// The socket.
    pub socket: SocketKind,
    /// Sender and bytes of each datagram.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
}

/// A datagram to send.
#[derive(Debug)]
pub struct OutgoingDatagram {
    /// The socket to send from.
    pub socket: SocketKind,
    /// The receiver.
    pub to: SocketAddr,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Owns the data and peer sockets.
pub struct DatagramListener {
    context: Rc<DaemonContext>,
    data: MioSource<UdpSocket>,
    peer: MioSource<UdpSocket>,
}

impl DatagramListener {
    /// Starts the part on duplicates of the bound sockets and reads queued datagrams.
    pub fn init(cx: CX![], context: Rc<DaemonContext>) -> Option<DatagramListener> {
        match DatagramListener::open(cx, context) {
            Ok(listener) => {
                call!([cx], read_batch(SocketKind::Data));
                call!([cx], read_batch(SocketKind::Peer));
                Some(listener)
            }
            Err(error) => {
                fail!(cx, "can't open the datagram sockets: {}", error);
                None
            }
        }
    }

    fn open(cx: CX![], context: Rc<DaemonContext>) -> io::Result<DatagramListener> {
        let poll = cx.anymap_get::<MioPoll>();
        let data = UdpSocket::from_std(context.sockets.data()?);
        let peer = UdpSocket::from_std(context.sockets.peer()?);
        info!("listener: data on {}, peer on {}", data.local_addr()?, peer.local_addr()?);
        let data_ready = fwd_to!([cx], socket_ready(SocketKind::Data) as (Ready));
        let peer_ready = fwd_to!([cx], socket_ready(SocketKind::Peer) as (Ready));
        let data = poll.add(data, Interest::READABLE, POLL_PRIORITY, data_ready)?;
        let peer = poll.add(peer, Interest::READABLE, POLL_PRIORITY, peer_ready)?;
        Ok(DatagramListener { context, data, peer })
    }

    /// Sends datagrams.
    ///
    /// Datagrams that the operating system doesn't accept at once are dropped and counted.
    /// The network may drop them too, and senders retransmit. Waiting would delay all other
    /// flows.
    pub fn send(&mut self, _cx: CX![], datagrams: Vec<OutgoingDatagram>) {
        for datagram in datagrams {
            let to = self.context.routes.resolve(datagram.to);
            let sent = self.socket(datagram.socket).send_to(&datagram.bytes, to);
            let label = datagram.socket.as_str();
            match sent {
                Ok(_) => self.context.metrics.datagrams.with_label_values(&[label, "out"]).inc(),
                Err(error) => {
                    self.context.metrics.send_errors.with_label_values(&[label]).inc();
                    // Not a warning: clients that supply invalid addresses could fill the log.
                    debug!("listener: can't send to {}: {error}", datagram.to);
                }
            }
        }
    }

    fn socket_ready(&mut self, cx: CX![], socket: SocketKind, _ready: Ready) {
        self.read_batch(cx, socket);
    }

    /// Reads a bounded batch and lets the main loop run before the next.
    ///
    /// Without the bound, a flood would block the main loop: timers would be late,
    /// heartbeats wouldn't be sent and peers would declare the instance dead. The
    /// remaining datagrams are read when the loop is idle, or when the next datagram
    /// makes the socket ready again.
    fn read_batch(&mut self, cx: CX![], socket: SocketKind) {
        let mut datagrams = Vec::new();
        let mut buffer = [0; BUFFER_BYTES];
        while datagrams.len() < BATCH_LIMIT {
            match self.socket(socket).recv_from(&mut buffer) {
                Ok((size, from)) => datagrams.push((from, buffer[..size].to_vec())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                // An ICMP error caused by an earlier send; the socket remains usable.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return fail!(cx, "can't read from a datagram socket: {}", error),
            }
        }
        if datagrams.len() == BATCH_LIMIT {
            idle!([cx], read_batch(socket));
        }
        if datagrams.is_empty() {
            return;
        }
        let counter = self.context.metrics.datagrams.with_label_values(&[socket.as_str(), "in"]);
        counter.inc_by(datagrams.len() as u64);
        if let Some(engine) = self.context.directory.get::<EnginePart>() {
            call!([engine], handle_batch(DatagramBatch { socket, datagrams }));
        }
    }

    fn socket(&self, socket: SocketKind) -> &UdpSocket {
        match socket {
            SocketKind::Data => &self.data,
            SocketKind::Peer => &self.peer,
        }
    }
}
