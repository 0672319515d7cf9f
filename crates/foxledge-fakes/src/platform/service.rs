//! The read-and-watch service and the state behind it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use foxledge_core::time::ClockTime;
use foxledge_wire::control::{ReadReply, ReadRequest, platform_server::Platform};
use log::info;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};
use tonic::{Request, Response, Status};

use super::{
    orders::{PlatformHealth, PlatformOrder, PlatformReport, ReaderCount, listing_of},
    ration::ReadRation,
    store::ValueStore,
};

/// Longest wait of a watch, in milliseconds.
const MAX_WAIT_MS: u32 = 60_000;

/// `PlatformService` answers the platform's calls.
#[derive(Debug)]
pub struct PlatformService {
    state: Arc<PlatformState>,
}

impl PlatformService {
    /// Makes the service over `state`.
    pub fn new(state: Arc<PlatformState>) -> PlatformService {
        PlatformService { state }
    }
}

#[tonic::async_trait]
impl Platform for PlatformService {
    async fn read(&self, request: Request<ReadRequest>) -> Result<Response<ReadReply>, Status> {
        let request = request.into_inner();
        let mut changes = self.state.changes.subscribe();
        let delay = self.state.admit(&request.reader)?;
        if delay > Duration::ZERO {
            sleep(delay).await;
        }
        let wait_ms = request.wait_ms.min(MAX_WAIT_MS);
        let wait_end = Instant::now() + Duration::from_millis(wait_ms.into());
        loop {
            changes.mark_unchanged();
            match self.state.look(&request) {
                ReadState::Failed => return Err(Status::unavailable("the platform is down")),
                // A silent platform holds the call beyond its wait, until it speaks again.
                ReadState::Silent => _ = changes.changed().await,
                ReadState::Newer(reply) => return Ok(Response::new(reply)),
                ReadState::Unchanged(reply) => {
                    if timeout_at(wait_end, changes.changed()).await.is_err() {
                        return Ok(Response::new(reply));
                    }
                }
            }
        }
    }
}

/// `ReadState` is how a read stands at one moment.
enum ReadState {
    Newer(ReadReply),
    Unchanged(ReadReply),
    Failed,
    Silent,
}

/// `PlatformState` is the values, the ration, the counts and the ordered failures.
#[derive(Debug)]
pub struct PlatformState {
    inner: Mutex<StateInner>,
    changes: watch::Sender<()>,
    started: Instant,
}

#[derive(Debug)]
struct StateInner {
    store: ValueStore,
    ration: ReadRation,
    health: PlatformHealth,
    delay: Duration,
    held_readers: HashMap<String, u64>,
    counts: BTreeMap<String, ReaderCount>,
}

impl PlatformState {
    /// Makes an empty platform with this many reads a second.
    pub fn new(reads_per_second: u32) -> PlatformState {
        let inner = StateInner {
            store: ValueStore::new(),
            ration: ReadRation::new(reads_per_second),
            health: PlatformHealth::Up,
            delay: Duration::ZERO,
            held_readers: HashMap::new(),
            counts: BTreeMap::new(),
        };
        let (changes, _) = watch::channel(());
        PlatformState { inner: Mutex::new(inner), changes, started: Instant::now() }
    }

    /// Carries out one order; orders of several operators are carried out one after the other.
    pub fn carry_out(&self, order: PlatformOrder) -> anyhow::Result<PlatformReport> {
        let mut inner = self.lock();
        inner.carry_out(order)?;
        let report =
            PlatformReport { revision: inner.store.revision(), readers: inner.counts.clone() };
        drop(inner);
        self.changes.send_replace(());
        Ok(report)
    }

    /// Counts one call and rations it; returns the delay before its answer.
    fn admit(&self, reader: &str) -> Result<Duration, Status> {
        let now = ClockTime::ZERO.after(self.started.elapsed());
        let mut inner = self.lock();
        let within_ration = inner.ration.take(now);
        let count = inner.counts.entry(reader.to_owned()).or_default();
        count.calls += 1;
        if !within_ration {
            count.rationed += 1;
            return Err(Status::resource_exhausted("the ration of reads is used up"));
        }
        Ok(inner.delay)
    }

    fn look(&self, request: &ReadRequest) -> ReadState {
        self.lock().look(request)
    }

    fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateInner {
    fn carry_out(&mut self, order: PlatformOrder) -> anyhow::Result<()> {
        match order {
            PlatformOrder::PublishList { parts, at_least } => {
                let revision = self.store.publish_list(&parts, at_least)?;
                info!("platform: list {revision} published, {} parts", parts.len());
            }
            PlatformOrder::PublishMembers { members } => {
                let revision = self.store.publish_members(&listing_of(&members))?;
                info!("platform: listing {revision} published, {} members", members.len());
            }
            PlatformOrder::SetHealth { health } => {
                self.health = health;
                info!("platform: health {health:?}");
            }
            PlatformOrder::Rewind { revision } => {
                self.store.rewind(revision)?;
                info!("platform: back at revision {revision}");
            }
            PlatformOrder::Hold { reader, revision } => {
                info!("platform: reader {reader} held at {revision:?}");
                match revision {
                    Some(revision) => _ = self.held_readers.insert(reader, revision),
                    None => _ = self.held_readers.remove(&reader),
                }
            }
            PlatformOrder::SetDelay { millis } => {
                self.delay = Duration::from_millis(millis);
                info!("platform: answers delayed by {millis} ms");
            }
            PlatformOrder::Report => (),
        }
        Ok(())
    }

    fn look(&mut self, request: &ReadRequest) -> ReadState {
        let count = self.counts.entry(request.reader.clone()).or_default();
        match self.health {
            PlatformHealth::Up => (),
            PlatformHealth::Silent => return ReadState::Silent,
            PlatformHealth::Down => {
                count.failed += 1;
                return ReadState::Failed;
            }
        }
        let limit = self.held_readers.get(&request.reader).copied().unwrap_or(u64::MAX);
        let Some(value) = self.store.value_at(&request.key, limit) else {
            return ReadState::Unchanged(ReadReply::default());
        };
        if value.revision <= request.after_revision {
            let reply = ReadReply { found: true, unchanged: true, ..ReadReply::default() };
            return ReadState::Unchanged(ReadReply { revision: value.revision, ..reply });
        }
        count.bytes += value.bytes.len() as u64;
        ReadState::Newer(ReadReply {
            found: true,
            revision: value.revision,
            value: value.bytes.to_vec(),
            unchanged: false,
        })
    }
}
