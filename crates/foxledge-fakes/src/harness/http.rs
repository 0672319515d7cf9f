//! A small HTTP reader for the instances' admin port.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use anyhow::Context;

/// Longest wait for a connection or for the next bytes.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// `HttpAnswer` is a status code and a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Body as text.
    pub body: String,
}

/// Gets `path` from the server at `address`.
pub fn get(address: SocketAddr, path: &str) -> anyhow::Result<HttpAnswer> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_LIMIT)?;
    stream.set_read_timeout(Some(ANSWER_LIMIT))?;
    // HTTP/1.0, so that the body comes unchunked and ends with the connection.
    write!(stream, "GET {path} HTTP/1.0\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text.split_once("\r\n\r\n").context("answer without a body")?;
    let status = head.split(' ').nth(1).context("answer without a status")?;
    Ok(HttpAnswer { status: status.parse()?, body: body.to_owned() })
}
