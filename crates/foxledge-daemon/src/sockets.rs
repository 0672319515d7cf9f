//! The sockets that the daemon listens on, bound before any part starts.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use anyhow::{Context, Result};
use socket2::SockRef;

/// Size of the receive buffer requested from the operating system, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// The addresses to listen on.
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

/// All listening sockets of the process.
///
/// A restarted part gets a duplicate of its socket, so that no other process can take
/// the port in between and queued datagrams aren't lost.
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

    /// Returns the bound addresses, which differ from the settings for port 0.
    pub fn addresses(&self) -> io::Result<ListenAddresses> {
        Ok(ListenAddresses {
            data: self.data.local_addr()?,
            peer: self.peer.local_addr()?,
            control: self.control.local_addr()?,
            admin: self.admin.local_addr()?,
        })
    }

    /// Returns a duplicate of the data socket.
    pub fn data(&self) -> io::Result<UdpSocket> {
        self.data.try_clone()
    }

    /// Returns a duplicate of the peer socket.
    pub fn peer(&self) -> io::Result<UdpSocket> {
        self.peer.try_clone()
    }

    /// Returns a duplicate of the control socket.
    pub fn control(&self) -> io::Result<TcpListener> {
        self.control.try_clone()
    }

    /// Returns a duplicate of the admin socket.
    pub fn admin(&self) -> io::Result<TcpListener> {
        self.admin.try_clone()
    }
}

/// Binds a UDP socket; the error names the address and its setting.
pub(crate) fn bind_udp(key: &str, address: SocketAddr) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).with_context(|| bind_failed(key, address))?;
    // A burst during a busy main loop is queued in the kernel. A smaller limit of the
    // operating system is accepted.
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
