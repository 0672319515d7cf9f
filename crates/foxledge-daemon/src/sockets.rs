//! The sockets that the daemon listens on, bound before any part starts.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use anyhow::{Context, Result};
use socket2::SockRef;

/// Room asked of the system for datagrams that wait to be read.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// `ListenAddresses` is where to listen, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Datagrams of callers and backend servers.
    pub data: SocketAddr,
    /// Datagrams of other instances.
    pub peer: SocketAddr,
    /// Control calls.
    pub control: SocketAddr,
    /// Metrics and health.
    pub admin: SocketAddr,
}

/// `ListenSockets` is every listening socket of the process.
///
/// A part that is started anew gets a duplicate, so that nothing else can
/// take the port in between and what waits in the socket isn't lost.
#[derive(Debug)]
pub struct ListenSockets {
    data: UdpSocket,
    peer: UdpSocket,
    control: TcpListener,
    admin: TcpListener,
}

impl ListenSockets {
    /// Binds every socket; the error names the address and its setting.
    pub fn bind(addresses: &ListenAddresses) -> Result<ListenSockets> {
        Ok(ListenSockets {
            data: bind_udp("listen.data", addresses.data)?,
            peer: bind_udp("listen.peer", addresses.peer)?,
            control: bind_tcp("listen.control", addresses.control)?,
            admin: bind_tcp("listen.admin", addresses.admin)?,
        })
    }

    /// Where the sockets are bound; differs from the settings for port 0.
    pub fn addresses(&self) -> io::Result<ListenAddresses> {
        Ok(ListenAddresses {
            data: self.data.local_addr()?,
            peer: self.peer.local_addr()?,
            control: self.control.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }

    /// A duplicate of the data socket.
    pub fn data(&self) -> io::Result<UdpSocket> {
        self.data.try_clone()
    }

    /// A duplicate of the peer socket.
    pub fn peer(&self) -> io::Result<UdpSocket> {
        self.peer.try_clone()
    }

    /// A duplicate of the control socket.
    pub fn control(&self) -> io::Result<TcpListener> {
        self.control.try_clone()
    }

    /// A duplicate of the admin socket.
    pub fn admin(&self) -> io::Result<TcpListener> {
        self.admin.try_clone()
    }
}

/// Binds a UDP socket; the error names the address and its setting.
pub(crate) fn bind_udp(key: &str, address: SocketAddr) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).with_context(|| bind_failed(key, address))?;
    // A burst that comes while the main loop is busy waits in the kernel; a
    // smaller limit of the system's is taken as it is.
    let _ = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Binds a listening TCP socket; the error names the address and its setting.
pub(crate) fn bind_tcp(key: &str, address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| bind_failed(key, address))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn bind_failed(key: &str, address: SocketAddr) -> String {
    format!("can't listen on {address} ({key})")
}
