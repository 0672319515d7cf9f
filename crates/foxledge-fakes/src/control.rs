//! The stand-ins' control port: one JSON value a line, each answered by one line.
//!
//! The answer to an order is `{"ok": …}` or `{"error": "…"}`. An order that a stand-in doesn't
//! know is an error, and the connection stays open.

use std::{
    io::{BufRead, BufReader as StdBufReader, Write},
    net::{SocketAddr, TcpStream as StdTcpStream},
    sync::Arc,
    time::Duration,
};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// Longest wait of a [`LineClient`] for a connection or an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// `LineReply` is one answer on a control port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LineReply<A> {
    /// The order was carried out.
    Ok(A),
    /// The order was refused, and why.
    Error(String),
}

/// Serves orders on `listener` for ever; `handler` carries out one order.
pub async fn serve_lines<Q, A, F>(listener: TcpListener, handler: F)
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Fn(Q) -> anyhow::Result<A> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let handler = handler.clone();
        tokio::spawn(async move { serve_connection(stream, handler.as_ref()).await });
    }
}

async fn serve_connection<Q, A, F>(mut stream: TcpStream, handler: &F)
where
    Q: DeserializeOwned,
    A: Serialize,
    F: Fn(Q) -> anyhow::Result<A>,
{
    let (reader, mut writer) = stream.split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let mut text = answer_line(&line, handler);
        text.push('\n');
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn answer_line<Q, A, F>(line: &str, handler: &F) -> String
where
    Q: DeserializeOwned,
    A: Serialize,
    F: Fn(Q) -> anyhow::Result<A>,
{
    let result = serde_json::from_str(line).map_err(anyhow::Error::from).and_then(handler);
    let reply = match result {
        Ok(answer) => LineReply::Ok(answer),
        Err(error) => LineReply::Error(format!("{error:#}")),
    };
    serde_json::to_string(&reply)
        .unwrap_or_else(|error| format!("{{\"error\":\"answer can't be written: {error}\"}}"))
}

/// `LineClient` is the blocking client of one control port.
#[derive(Clone, Debug)]
pub struct LineClient {
    address: SocketAddr,
}

impl LineClient {
    /// Makes a client; each order opens a connection of its own.
    pub fn new(address: SocketAddr) -> LineClient {
        LineClient { address }
    }

    /// Address of the control port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one order and returns the answer.
    pub fn ask<Q: Serialize, A: DeserializeOwned>(&self, order: &Q) -> anyhow::Result<A> {
        let place = || format!("control port {}", self.address);
        let mut stream =
            StdTcpStream::connect_timeout(&self.address, ANSWER_LIMIT).with_context(place)?;
        stream.set_read_timeout(Some(ANSWER_LIMIT))?;
        let mut text = serde_json::to_string(order)?;
        text.push('\n');
        stream.write_all(text.as_bytes()).with_context(place)?;
        let mut line = String::new();
        StdBufReader::new(stream).read_line(&mut line).with_context(place)?;
        match serde_json::from_str(&line).with_context(place)? {
            LineReply::Ok(answer) => Ok(answer),
            LineReply::Error(text) => bail!("{}: {text}", self.address),
        }
    }
}
