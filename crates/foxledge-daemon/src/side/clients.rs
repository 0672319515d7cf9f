//! Connections to other processes.

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

/// Most connections kept; the one unused for longest makes room.
const CHANNEL_LIMIT: usize = 64;
const CONNECT_WAIT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_EVERY: Duration = Duration::from_secs(10);
const KEEP_ALIVE_WAIT: Duration = Duration::from_secs(3);

/// `ClientPool` is the connections that calls go out on.
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
    /// Counts uses and openings; orders entries by last use.
    clock: u64,
}

struct ChannelEntry {
    channel: Channel,
    opened: u64,
    last_use: u64,
    last_answer: u64,
    tls_number: u64,
}

/// `LentChannel` is a channel with what is needed to tell later whether it was silent.
struct LentChannel {
    channel: Channel,
    opened: u64,
    lent: u64,
}

impl ClientPool {
    /// Makes an empty pool.
    pub fn new(
        metrics: Arc<MetricSet>,
        bundles: watch::Receiver<TlsBundle>,
        routes: RouteTable,
    ) -> ClientPool {
        ClientPool { channels: Arc::default(), metrics, bundles, routes }
    }

    /// Makes a call with a deadline.
    ///
    /// Something between the two ends may lose track of a connection, which
    /// then stays silent for good while new ones work. One would notice calls
    /// that time out although the other side lives. A call that ends without
    /// an answer, on a channel that answered nothing else meanwhile, therefore
    /// abandons the channel, and the next call opens a new one.
    pub async fn call<T, F, R>(
        &self,
        to: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T, CallError>
    where
        F: FnOnce(Channel) -> R,
        R: Future<Output = Result<Response<T>, Status>>,
    {
        let lent = self.lend(to)?;
        match time::timeout(limit, call(lent.channel.clone())).await {
            Ok(Ok(response)) => {
                self.note_answer(to, &lent);
                Ok(response.into_inner())
            }
            Ok(Err(status)) => {
                if status.code() == Code::Unavailable {
                    self.abandon(to, &lent);
                } else {
                    self.note_answer(to, &lent);
                }
                Err(CallError::Refused(status.message().to_owned()))
            }
            Err(_) => {
                self.abandon(to, &lent);
                Err(CallError::TimedOut)
            }
        }
    }

    fn lend(&self, to: SocketAddr) -> Result<LentChannel, CallError> {
        let bundle = self.bundles.borrow().clone();
        let mut table = self.lock();
        table.clock += 1;
        let now = table.clock;
        // Certificates that have changed since count for new connections only.
        let known = table.entries.get_mut(&to).filter(|entry| entry.tls_number == bundle.number);
        if let Some(entry) = known {
            entry.last_use = now;
            return Ok(LentChannel {
                channel: entry.channel.clone(),
                opened: entry.opened,
                lent: now,
            });
        }
        table.make_room();
        let channel = self.open(to, &bundle)?;
        let entry = ChannelEntry {
            channel: channel.clone(),
            opened: now,
            last_use: now,
            last_answer: 0,
            tls_number: bundle.number,
        };
        table.entries.insert(to, entry);
        Ok(LentChannel { channel, opened: now, lent: now })
    }

    fn open(&self, to: SocketAddr, bundle: &TlsBundle) -> Result<Channel, CallError> {
        let scheme = if bundle.client.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{to}"))
            .map_err(|error| CallError::Refused(error.to_string()))?
            .connect_timeout(CONNECT_WAIT)
            .http2_keep_alive_interval(KEEP_ALIVE_EVERY)
            .keep_alive_timeout(KEEP_ALIVE_WAIT)
            .keep_alive_while_idle(true);
        if let Some(client) = &bundle.client {
            endpoint = endpoint
                .tls_config(client.clone())
                .map_err(|error| CallError::Refused(error.to_string()))?;
        }
        let (metrics, via) = (self.metrics.clone(), self.routes.via(to));
        let connector = service_fn(move |_: Uri| {
            let metrics = metrics.clone();
            async move {
                let stream = TcpStream::connect(via).await?;
                stream.set_nodelay(true)?;
                Ok::<_, std::io::Error>(TokioIo::new(CountedStream::new(stream, &metrics)))
            }
        });
        Ok(endpoint.connect_with_connector_lazy(connector))
    }

    fn note_answer(&self, to: SocketAddr, lent: &LentChannel) {
        let mut table = self.lock();
        table.clock += 1;
        let now = table.clock;
        if let Some(entry) = table.entries.get_mut(&to).filter(|entry| entry.opened == lent.opened)
        {
            entry.last_answer = now;
        }
    }

    fn abandon(&self, to: SocketAddr, lent: &LentChannel) {
        let mut table = self.lock();
        let is_silent = table
            .entries
            .get(&to)
            .is_some_and(|entry| entry.opened == lent.opened && entry.last_answer < lent.lent);
        if is_silent {
            table.entries.remove(&to);
        }
    }

    fn lock(&self) -> MutexGuard<'_, ChannelTable> {
        // The table is whole between two statements, so a panic elsewhere can't have spoilt it.
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChannelTable {
    /// Closes the channel unused for longest when the table is full.
    fn make_room(&mut self) {
        if self.entries.len() < CHANNEL_LIMIT {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.entries.remove(&address);
        }
    }
}
