//! A stream that counts its bytes, for the metric of control traffic.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use prometheus::IntCounter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tonic::transport::server::{Connected, TcpConnectInfo};

use crate::metrics::MetricSet;

/// A TCP stream whose bytes are counted.
pub struct CountedStream {
    stream: TcpStream,
    received: IntCounter,
    sent: IntCounter,
}

impl CountedStream {
    /// Wraps `stream` and counts its bytes as control traffic.
    pub fn new(stream: TcpStream, metrics: &Arc<MetricSet>) -> CountedStream {
        CountedStream {
            stream,
            received: metrics.control_bytes.with_label_values(&["in"]),
            sent: metrics.control_bytes.with_label_values(&["out"]),
        }
    }
}

impl Connected for CountedStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        self.received.inc_by((buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(size)) = &polled {
            self.sent.inc_by(*size as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
