//! Reads and long polls of the platform.

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
/// Timeout of a read that returns at once.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time added to the duration of a long poll for its timeout.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Maximum time between two reads of the listing of instances.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(5);
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay of the next read when the platform has no list.
const EMPTY_LIST_DELAY: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Size, in bytes, after which a fetch of parts ends; the list manager requests the others.
///
/// The main loop parses all parts of a fetch at once and handles no datagrams
/// meanwhile: some 10 ms for this size, some 250 ms for a list of 38,000 targets.
const MAX_FETCH_BYTES: usize = 256 * 1024;
/// Maximum size of a response: the largest value of the platform and the message around it.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// An outdated revision returned by the platform, and the newest one known at that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OutdatedState {
    shown: u64,
    newest: u64,
}

/// Reads the platform, rotating through its addresses.
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
    /// Creates a watch, which makes no calls before it is run.
    pub fn new(
        addresses: &[SocketAddr],
        watch_timeout: Duration,
        reader: String,
        metrics: Arc<MetricSet>,
        events: Channel<LinkEvent>,
        seed: u64,
    ) -> PlatformWatch {
        let mut rng = StdRng::seed_from_u64(seed);
        // Readers start at different addresses, so that a stale one affects few of them.
        let first_index = rng.random_range(0..addresses.len().max(1));
        // The platform is called without foxledge's certificates, so the sender isn't needed.
        let (_, no_bundles) = watch::channel(TlsBundle::default());
        PlatformWatch {
            addresses: addresses.to_vec(),
            address_index: Arc::new(AtomicUsize::new(first_index)),
            pool: ClientPool::new(metrics.clone(), no_bundles, RouteTable::default()),
            watch_timeout,
            reader,
            metrics,
            events,
            rng: Arc::new(Mutex::new(rng)),
        }
    }

    /// Runs the watch while the last command is to run it.
    pub async fn run(self, mut commands: watch::Receiver<WatchCommand>) -> anyhow::Result<()> {
        if self.addresses.is_empty() {
            std::future::pending::<()>().await;
        }
        let mut newest = 0;
        loop {
            let command = *commands.borrow_and_update();
            match command {
                WatchCommand::Pause => commands.changed().await?,
                WatchCommand::Run { after } => {
                    newest = newest.max(after);
                    tokio::select! {
                        changed = commands.changed() => changed?,
                        () = self.watch_manifest(&mut newest) => {}
                        () = self.watch_members() => {}
                    }
                }
            }
        }
    }

    /// Reads the current manifest.
    ///
    /// # Errors
    ///
    /// Fails when the read fails, or the platform has no valid manifest.
    pub async fn fetch_manifest(&self) -> Result<Manifest, CallError> {
        let reply = self.read(MANIFEST_KEY, 0, Duration::ZERO).await?;
        decode_manifest(&reply)
    }

    /// Reads parts one by one; missing parts are left out.
    ///
    /// Parts read before a failure are returned. A platform that limits the rate of
    /// reads refuses some of them; if the others were discarded, a list of many parts
    /// would be read from the start again and again, and the instance would stay joining.
    ///
    /// # Errors
    ///
    /// Fails when no part could be read.
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

    /// Polls for newer manifests; never returns.
    async fn watch_manifest(&self, newest: &mut u64) {
        let mut backoff = INITIAL_BACKOFF;
        let mut failures = 0;
        let mut reported = OutdatedState::default();
        // The first read returns the current manifest without waiting for a change.
        let mut wait = Duration::ZERO;
        loop {
            match self.read(MANIFEST_KEY, *newest, wait).await {
                Ok(reply) => {
                    failures = 0;
                    backoff = INITIAL_BACKOFF;
                    wait = self.watch_timeout;
                    self.report_outdated(&reply, *newest, &mut reported);
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

    /// Reports a platform that went back to an older revision, once for each such state.
    ///
    /// Lists that operators publish then are ignored until their revision exceeds the
    /// newest known one. Without a report, operators wouldn't learn why; a report at each
    /// poll would push all other entries out of the audit trail.
    fn report_outdated(&self, reply: &ReadReply, newest: u64, reported: &mut OutdatedState) {
        let state = OutdatedState { shown: reply.revision, newest };
        if !reply.unchanged || state.shown >= newest || *reported == state {
            return;
        }
        *reported = state;
        warn!("link: the platform is at revision {}, older than {newest}", state.shown);
        self.events.send(LinkEvent::PlatformOutdated { shown: state.shown, newest });
    }

    async fn handle_reply(&self, reply: &ReadReply, newest: &mut u64) {
        if reply.found && !reply.unchanged {
            *newest = (*newest).max(reply.revision);
            let outcome = decode_manifest(reply);
            self.events.send(LinkEvent::ManifestFetched(ListSource::Platform, outcome));
        }
        // Sent after the manifest, so that the platform doesn't count as contacted before its
        // list is known.
        self.events.send(LinkEvent::PlatformContacted);
        if !reply.found {
            sleep(EMPTY_LIST_DELAY.mul_f64(self.jitter())).await;
        }
        if !reply.found || reply.unchanged {
            // Otherwise a stale address would be used permanently.
            self.rotate_address();
        }
    }

    /// Reads the listing of instances periodically; never returns.
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

    /// Reads a value at the current address, and moves to the next address after a failure.
    async fn read(
        &self,
        key: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<ReadReply, CallError> {
        let index = self.address_index.load(Ordering::Relaxed) % self.addresses.len().max(1);
        let Some(address) = self.addresses.get(index).copied() else {
            return Err(CallError::Refused("no platform in the settings".to_owned()));
        };
        let request = ReadRequest {
            key: key.to_owned(),
            after_revision,
            wait_ms: wait.as_millis() as u32,
            reader: self.reader.clone(),
        };
        self.metrics.platform_reads.inc();
        let timeout = if wait.is_zero() { READ_TIMEOUT } else { wait + WATCH_TIMEOUT_MARGIN };
        let call = |channel| async {
            let mut client =
                PlatformClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
            client.read(request).await
        };
        let outcome = self.pool.call(address, timeout, call).await;
        if outcome.is_err() {
            self.metrics.call_failures.with_label_values(&["platform_read"]).inc();
            self.rotate_address();
        }
        outcome
    }

    fn rotate_address(&self) {
        self.address_index.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a random factor that spreads the calls of readers over time.
    fn jitter(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.5..=1.0)
    }
}

/// Decodes the manifest in a reply; its revision is that of the reply.
fn decode_manifest(reply: &ReadReply) -> Result<Manifest, CallError> {
    if !reply.found {
        return Err(CallError::Refused("the platform has no manifest".to_owned()));
    }
    let mut manifest = Manifest::decode(reply.value.as_slice())
        .map_err(|error| CallError::Refused(error.to_string()))?;
    manifest.revision = reply.revision;
    Ok(manifest)
}
