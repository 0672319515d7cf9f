//! Outgoing control calls, each a task with a deadline.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use foxledge_members::{ListSource, ProbeResult};
use foxledge_wire::control::{
    Heartbeat, ListPart, Manifest, ManifestRequest, PartsRequest, RelayProbe,
    peer_client::PeerClient,
};
use stakker::sync::Channel;
use tokio::sync::Semaphore;

use crate::metrics::MetricSet;

use super::{
    clients::ClientPool,
    messages::{CallError, LinkCommand, LinkEvent},
    watch::PlatformWatch,
};

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a relayed probe; longer than the timeout at the relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout at the relay for the probed instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a fetch of a manifest or of parts.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of pending calls, which would accumulate while peers are frozen.
const MAX_PENDING_CALLS: usize = 256;
/// Maximum size of a message from a peer, in bytes; one message contains several parts.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Starts calls to peers and reports their outcomes to the main loop.
#[derive(Clone)]
pub struct CallRunner {
    peers: ClientPool,
    events: Channel<LinkEvent>,
    metrics: Arc<MetricSet>,
    permits: Arc<Semaphore>,
}

impl CallRunner {
    /// Creates a runner that reports to `events`.
    pub fn new(
        peers: ClientPool,
        events: Channel<LinkEvent>,
        metrics: Arc<MetricSet>,
    ) -> CallRunner {
        CallRunner { peers, events, metrics, permits: Arc::new(Semaphore::new(MAX_PENDING_CALLS)) }
    }

    /// Starts the call of a command, or reports it as failed when too many are pending.
    pub fn start(&self, command: LinkCommand, platform: &PlatformWatch) {
        let permit = self.permits.clone().try_acquire_owned();
        let Ok(permit) = permit else { return self.reject(command) };
        let (runner, platform) = (self.clone(), platform.clone());
        tokio::spawn(async move {
            let event = runner.run(command, &platform).await;
            if let Some(event) = event {
                runner.events.send(event);
            }
            drop(permit);
        });
    }

    /// Probes an instance by requesting no parts; returns true when it responds.
    pub async fn probe(&self, to: SocketAddr) -> bool {
        let request = PartsRequest { digests: Vec::new() };
        let call = |channel| async { PeerClient::new(channel).fetch_parts(request).await };
        self.peers.call(to, PROBE_TIMEOUT, call).await.is_ok()
    }

    async fn run(&self, command: LinkCommand, platform: &PlatformWatch) -> Option<LinkEvent> {
        match command {
            LinkCommand::SendHeartbeat { to, heartbeat } => {
                Some(self.send_heartbeat(to, heartbeat).await)
            }
            LinkCommand::SendRelayProbe { relay, probe } => {
                Some(self.send_relay_probe(relay, probe).await)
            }
            LinkCommand::FetchManifest { from } => {
                let outcome = match from {
                    ListSource::Platform => platform.fetch_manifest().await,
                    ListSource::Peer(peer) => self.fetch_manifest(peer).await,
                };
                self.count_failure("fetch_manifest", &outcome);
                Some(LinkEvent::ManifestFetched(from, outcome))
            }
            LinkCommand::FetchParts { from, digests } => {
                let outcome = match from {
                    ListSource::Platform => platform.fetch_parts(&digests).await,
                    ListSource::Peer(peer) => self.fetch_parts(peer, digests).await,
                };
                self.count_failure("fetch_parts", &outcome);
                Some(LinkEvent::PartsFetched(from, outcome))
            }
            LinkCommand::Watch(_) => None,
        }
    }

    async fn send_heartbeat(&self, to: SocketAddr, heartbeat: Heartbeat) -> LinkEvent {
        let call = |channel| async { PeerClient::new(channel).beat(heartbeat).await };
        let outcome = self.peers.call(to, HEARTBEAT_TIMEOUT, call).await;
        self.count_failure("beat", &outcome);
        LinkEvent::HeartbeatCompleted(to, outcome)
    }

    async fn send_relay_probe(&self, relay: SocketAddr, probe: RelayProbe) -> LinkEvent {
        let name = probe.name.clone();
        let call = |channel| async { PeerClient::new(channel).probe_for(probe).await };
        let outcome = self.peers.call(relay, RELAY_TIMEOUT, call).await;
        self.count_failure("probe_for", &outcome);
        let result = match outcome {
            Ok(reply) if reply.answered => ProbeResult::Answered,
            _ => ProbeResult::Unanswered,
        };
        LinkEvent::ProbeCompleted(name, result)
    }

    async fn fetch_manifest(&self, from: SocketAddr) -> Result<Manifest, CallError> {
        let call = |channel| async {
            let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
            client.fetch_manifest(ManifestRequest {}).await
        };
        self.peers.call(from, FETCH_TIMEOUT, call).await
    }

    async fn fetch_parts(
        &self,
        from: SocketAddr,
        digests: Vec<u64>,
    ) -> Result<Vec<ListPart>, CallError> {
        let call = |channel| async {
            let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
            client.fetch_parts(PartsRequest { digests }).await
        };
        self.peers.call(from, FETCH_TIMEOUT, call).await.map(|reply| reply.parts)
    }

    fn reject(&self, command: LinkCommand) {
        let event = match command {
            LinkCommand::SendHeartbeat { to, .. } => {
                LinkEvent::HeartbeatCompleted(to, Err(CallError::Busy))
            }
            LinkCommand::SendRelayProbe { probe, .. } => {
                LinkEvent::ProbeCompleted(probe.name, ProbeResult::Unanswered)
            }
            LinkCommand::FetchManifest { from } => {
                LinkEvent::ManifestFetched(from, Err(CallError::Busy))
            }
            LinkCommand::FetchParts { from, .. } => {
                LinkEvent::PartsFetched(from, Err(CallError::Busy))
            }
            LinkCommand::Watch(_) => return,
        };
        self.events.send(event);
    }

    /// Counts a failed call in the metrics.
    fn count_failure<T>(&self, method: &str, outcome: &Result<T, CallError>) {
        if outcome.is_err() {
            self.metrics.call_failures.with_label_values(&[method]).inc();
        }
    }
}
