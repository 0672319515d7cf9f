//! Reading and watching the platform.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use foxledge_members::ListSource;
use foxledge_wire::control::{
    ListPart, Manifest, MemberListing, ReadReply, ReadRequest, platform_client::PlatformClient,
};
use log::{debug, warn};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};
use stakker::sync::Channel;
use tokio::{sync::watch, time::sleep};

use crate::{metrics::MetricSet, routes::RouteTable};

use super::{
    clients::ClientPool,
    messages::{CallError, LinkEvent, WatchCommand},
    tls::TlsBundle,
};

const MANIFEST_KEY: &str = "manifest";
const MEMBERS_KEY: &str = "members";
/// Longest wait for the answer to a plain read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// How much longer than its wait a watch may take to be answered.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Time between two reads of the list of instances.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(5);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Pause when the platform has no list at all.
const EMPTY_LIST_DELAY: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Bytes after which a fetch of parts ends; the list keeper asks for the others.
///
/// The main loop reads what a fetch brings at once, and carries no datagram
/// meanwhile: some 10 ms for this much, some 250 ms for a list of 38,000 targets.
const MAX_FETCH_BYTES: usize = 256 * 1024;
/// Longest value that the platform holds, with room for the message around it.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// `OutdatedState` is a revision that the platform showed, and the newer one known then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OutdatedState {
    shown: u64,
    newest: u64,
}

/// `PlatformWatch` reads the platform over its addresses in turn.
#[derive(Clone)]
pub struct PlatformWatch {
    addresses: Vec<SocketAddr>,
    address_index: Arc<AtomicUsize>,
    pool: ClientPool,
    watch_timeout: Duration,
    reader: String,
    metrics: Arc<MetricSet>,
    events: Channel<LinkEvent>,
    rng: Arc<Mutex<StdRng>>,
}

impl PlatformWatch {
    /// Makes the watch; it makes no call before it is told to.
    pub fn new(
        addresses: &[SocketAddr],
        watch_timeout: Duration,
        reader: String,
        metrics: Arc<MetricSet>,
        events: Channel<LinkEvent>,
        seed: u64,
    ) -> PlatformWatch {
        let mut rng = StdRng::seed_from_u64(seed);
        // Readers begin at different addresses, so that one that is stale misleads few of them.
        let first = rng.random_range(0..addresses.len().max(1));
        // The platform's interface has no certificates of foxledge's; its sender is never used.
        let (_, plain) = watch::channel(TlsBundle::default());
        PlatformWatch {
            addresses: addresses.to_vec(),
            address_index: Arc::new(AtomicUsize::new(first)),
            pool: ClientPool::new(metrics.clone(), plain, RouteTable::default()),
            watch_timeout,
            reader,
            metrics,
            events,
            rng: Arc::new(Mutex::new(rng)),
        }
    }

    /// Watches while the orders say so.
    pub async fn run(self, mut orders: watch::Receiver<WatchCommand>) -> anyhow::Result<()> {
        if self.addresses.is_empty() {
            std::future::pending::<()>().await;
        }
        let mut newest = 0;
        loop {
            let order = *orders.borrow_and_update();
            match order {
                WatchCommand::Pause => orders.changed().await?,
                WatchCommand::Run { after } => {
                    newest = newest.max(after);
                    tokio::select! {
                        changed = orders.changed() => changed?,
                        () = self.watch_manifest(&mut newest) => {}
                        () = self.watch_members() => {}
                    }
                }
            }
        }
    }

    /// Reads the manifest as it is now.
    pub async fn fetch_manifest(&self) -> Result<Manifest, CallError> {
        let reply = self.read(MANIFEST_KEY, 0, Duration::ZERO).await?;
        decode_manifest(&reply)
    }

    /// Reads parts one by one; a part that isn't there is left out.
    ///
    /// What was read before a failure counts. A platform that rations its reads
    /// refuses one of them sooner or later; if the others were thrown away, a list
    /// of many parts would be read from the start again and again and never be
    /// whole. One would notice an instance that stays joining.
    pub async fn fetch_parts(&self, digests: &[u64]) -> Result<Vec<ListPart>, CallError> {
        let mut parts = Vec::new();
        let mut bytes = 0;
        for digest in digests {
            if bytes >= MAX_FETCH_BYTES {
                break;
            }
            match self.read(&format!("part/{digest:016x}"), 0, Duration::ZERO).await {
                Ok(reply) if reply.found => {
                    bytes += reply.value.len();
                    parts.push(ListPart { digest: *digest, text: reply.value });
                }
                Ok(_) => {}
                Err(error) if parts.is_empty() => return Err(error),
                Err(_) => break,
            }
        }
        Ok(parts)
    }

    /// Watches for manifests, for ever.
    async fn watch_manifest(&self, newest: &mut u64) {
        let mut backoff = INITIAL_BACKOFF;
        let mut failures = 0;
        let mut older = OutdatedState::default();
        // What is there is read at once, not waited for.
        let mut wait = Duration::ZERO;
        loop {
            match self.read(MANIFEST_KEY, *newest, wait).await {
                Ok(reply) => {
                    failures = 0;
                    backoff = INITIAL_BACKOFF;
                    wait = self.watch_timeout;
                    self.report_outdated(&reply, *newest, &mut older);
                    self.handle_reply(&reply, newest).await;
                }
                Err(error) => {
                    failures += 1;
                    debug!("link: platform read failed: {error}");
                    if failures == self.addresses.len() {
                        warn!("link: the platform can't be reached");
                        self.events.send(LinkEvent::PlatformContacted);
                    }
                    sleep(backoff.mul_f64(self.jitter())).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Tells of a platform that went back, once for each state that it shows.
    ///
    /// What operators publish then is ignored until its revision is above the
    /// newest known. Without a word they would wait for it in vain; told at each
    /// watch, it would push every other entry out of the audit trail.
    fn report_outdated(&self, reply: &ReadReply, newest: u64, told: &mut OutdatedState) {
        let state = OutdatedState { shown: reply.revision, newest };
        if !reply.unchanged || state.shown >= newest || *told == state {
            return;
        }
        *told = state;
        warn!("link: the platform is at revision {}, older than {newest}", state.shown);
        self.events.send(LinkEvent::PlatformOutdated { shown: state.shown, newest });
    }

    async fn handle_reply(&self, reply: &ReadReply, newest: &mut u64) {
        if reply.found && !reply.unchanged {
            *newest = (*newest).max(reply.revision);
            let outcome = decode_manifest(reply);
            self.events.send(LinkEvent::ManifestFetched(ListSource::Platform, outcome));
        }
        // After the manifest, so that nobody takes the platform for asked while its list is on the way.
        self.events.send(LinkEvent::PlatformContacted);
        if !reply.found {
            sleep(EMPTY_LIST_DELAY.mul_f64(self.jitter())).await;
        }
        if !reply.found || reply.unchanged {
            // An address that is stale would otherwise be believed for ever.
            self.rotate_address();
        }
    }

    /// Reads the list of instances now and then, for ever.
    async fn watch_members(&self) {
        loop {
            self.read_members().await;
            sleep(MEMBERS_INTERVAL.mul_f64(self.jitter())).await;
        }
    }

    async fn read_members(&self) {
        let Ok(reply) = self.read(MEMBERS_KEY, 0, Duration::ZERO).await else { return };
        match MemberListing::decode(reply.value.as_slice()) {
            Ok(listing) if reply.found => drop(self.events.send(LinkEvent::ListingRead(listing))),
            Ok(_) => {}
            Err(error) => warn!("link: the platform's list of instances: {error}"),
        }
    }

    /// Reads a value at the present address; the next read goes elsewhere after a failure.
    async fn read(
        &self,
        key: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<ReadReply, CallError> {
        let turn = self.address_index.load(Ordering::Relaxed) % self.addresses.len().max(1);
        let Some(address) = self.addresses.get(turn).copied() else {
            return Err(CallError::Refused("no platform in the settings".to_owned()));
        };
        let request = ReadRequest {
            key: key.to_owned(),
            after_revision,
            wait_ms: wait.as_millis() as u32,
            reader: self.reader.clone(),
        };
        self.metrics.platform_reads.inc();
        let limit = if wait.is_zero() { READ_TIMEOUT } else { wait + WATCH_TIMEOUT_MARGIN };
        let call = |channel| async {
            let mut client =
                PlatformClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
            client.read(request).await
        };
        let outcome = self.pool.call(address, limit, call).await;
        if outcome.is_err() {
            self.metrics.call_failures.with_label_values(&["platform_read"]).inc();
            self.rotate_address();
        }
        outcome
    }

    fn rotate_address(&self) {
        self.address_index.fetch_add(1, Ordering::Relaxed);
    }

    /// A factor that spreads the readers' calls in time.
    fn jitter(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.5..=1.0)
    }
}

/// The manifest in a reply; its revision is the one that the platform gives.
fn decode_manifest(reply: &ReadReply) -> Result<Manifest, CallError> {
    if !reply.found {
        return Err(CallError::Refused("the platform has no manifest".to_owned()));
    }
    let mut manifest = Manifest::decode(reply.value.as_slice())
        .map_err(|error| CallError::Refused(error.to_string()))?;
    manifest.revision = reply.revision;
    Ok(manifest)
}
