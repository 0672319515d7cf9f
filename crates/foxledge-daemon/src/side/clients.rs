//! Pool of gRPC channels to other instances and to the platform.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch, time};
use tonic::{
    Code, Response, Status,
    transport::{Channel, Endpoint, Uri},
};
use tower::service_fn;

use crate::{metrics::MetricSet, routes::RouteTable};

use super::{counted::CountedStream, messages::CallError, tls::TlsBundle};

/// Maximum number of pooled channels; the least recently used one is evicted.
const MAX_CHANNELS: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// A pool of gRPC channels for outgoing calls, one per address.
#[derive(Clone)]
pub struct ClientPool {
    channels: Arc<Mutex<ChannelTable>>,
    metrics: Arc<MetricSet>,
    bundles: watch::Receiver<TlsBundle>,
    routes: RouteTable,
}

#[derive(Default)]
struct ChannelTable {
    entries: HashMap<SocketAddr, ChannelEntry>,
    /// The last sequence number that was assigned. Sequence numbers order the openings and uses
    /// of channels and the responses on them.
    last_seq: u64,
}

struct ChannelEntry {
    channel: Channel,
    opened_seq: u64,
    last_use_seq: u64,
    last_response_seq: u64,
    tls_generation: u64,
}

/// A channel of the pool, with the sequence numbers that show later whether it was
/// unresponsive.
struct PooledChannel {
    channel: Channel,
    opened_seq: u64,
    acquired_seq: u64,
}

impl ClientPool {
    /// Creates an empty pool.
    pub fn new(
        metrics: Arc<MetricSet>,
        bundles: watch::Receiver<TlsBundle>,
        routes: RouteTable,
    ) -> ClientPool {
        ClientPool { channels: Arc::default(), metrics, bundles, routes }
    }

    /// Makes a call to the address `to` and waits up to `timeout` for its response.
    ///
    /// A middlebox may lose the state of a connection, which then stays unresponsive
    /// while new connections work, and calls time out although the other process is
    /// alive. A call that gets no response, on a channel that has delivered no other
    /// response meanwhile, therefore discards the channel, and the next call opens a
    /// new one.
    ///
    /// # Errors
    ///
    /// Fails when the call times out or is refused, or the connection fails.
    pub async fn call<T, F, R>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, CallError>
    where
        F: FnOnce(Channel) -> R,
        R: Future<Output = Result<Response<T>, Status>>,
    {
        let pooled = self.acquire(to)?;
        match time::timeout(timeout, call(pooled.channel.clone())).await {
            Ok(Ok(response)) => {
                self.record_response(to, &pooled);
                Ok(response.into_inner())
            }
            Ok(Err(status)) => {
                if status.code() == Code::Unavailable {
                    self.discard_unresponsive(to, &pooled);
                } else {
                    self.record_response(to, &pooled);
                }
                Err(CallError::Refused(status.message().to_owned()))
            }
            Err(_) => {
                self.discard_unresponsive(to, &pooled);
                Err(CallError::TimedOut)
            }
        }
    }

    fn acquire(&self, to: SocketAddr) -> Result<PooledChannel, CallError> {
        let bundle = self.bundles.borrow().clone();
        let mut table = self.lock();
        table.last_seq += 1;
        let seq = table.last_seq;
        // A channel with outdated certificates isn't reused.
        let existing =
            table.entries.get_mut(&to).filter(|entry| entry.tls_generation == bundle.generation);
        if let Some(entry) = existing {
            entry.last_use_seq = seq;
            return Ok(PooledChannel {
                channel: entry.channel.clone(),
                opened_seq: entry.opened_seq,
                acquired_seq: seq,
            });
        }
        table.evict_when_full();
        let channel = self.open(to, &bundle)?;
        let entry = ChannelEntry {
            channel: channel.clone(),
            opened_seq: seq,
            last_use_seq: seq,
            last_response_seq: 0,
            tls_generation: bundle.generation,
        };
        table.entries.insert(to, entry);
        Ok(PooledChannel { channel, opened_seq: seq, acquired_seq: seq })
    }

    fn open(&self, to: SocketAddr, bundle: &TlsBundle) -> Result<Channel, CallError> {
        let scheme = if bundle.client.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{to}"))
            .map_err(|error| CallError::Refused(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .keep_alive_while_idle(true);
        if let Some(client) = &bundle.client {
            endpoint = endpoint
                .tls_config(client.clone())
                .map_err(|error| CallError::Refused(error.to_string()))?;
        }
        let (metrics, destination) = (self.metrics.clone(), self.routes.resolve(to));
        let connector = service_fn(move |_: Uri| {
            let metrics = metrics.clone();
            async move {
                let stream = TcpStream::connect(destination).await?;
                stream.set_nodelay(true)?;
                Ok::<_, std::io::Error>(TokioIo::new(CountedStream::new(stream, &metrics)))
            }
        });
        Ok(endpoint.connect_with_connector_lazy(connector))
    }

    fn record_response(&self, to: SocketAddr, pooled: &PooledChannel) {
        let mut table = self.lock();
        table.last_seq += 1;
        let seq = table.last_seq;
        if let Some(entry) =
            table.entries.get_mut(&to).filter(|entry| entry.opened_seq == pooled.opened_seq)
        {
            entry.last_response_seq = seq;
        }
    }

    fn discard_unresponsive(&self, to: SocketAddr, pooled: &PooledChannel) {
        let mut table = self.lock();
        let is_unresponsive = table.entries.get(&to).is_some_and(|entry| {
            entry.opened_seq == pooled.opened_seq && entry.last_response_seq < pooled.acquired_seq
        });
        if is_unresponsive {
            table.entries.remove(&to);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ChannelTable> {
        // The table is consistent between statements, so a panic can't have corrupted it.
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChannelTable {
    /// Closes the least recently used channel when the table is full.
    fn evict_when_full(&mut self) {
        if self.entries.len() < MAX_CHANNELS {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use_seq);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.entries.remove(&address);
        }
    }
}
