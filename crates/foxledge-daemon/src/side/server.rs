//! Server of the control interface.

use std::{net::TcpListener, sync::Arc, time::Duration};

use anyhow::Result;
use foxledge_wire::control::{
    AuditReply, AuditRequest, DrainReply, DrainRequest, ExplainReply, ExplainRequest, Heartbeat,
    HeartbeatReply, Manifest, ManifestRequest, PartsReply, PartsRequest, RelayProbe,
    RelayProbeReply, StatusReply, StatusRequest,
    admin_server::{Admin, AdminServer},
    peer_server::{Peer, PeerServer},
};
use log::{info, warn};
use stakker::sync::Channel;
use tokio::{
    sync::{oneshot, watch},
    time::timeout,
};
use tokio_stream::{StreamExt, wrappers::TcpListenerStream};
use tonic::{Request, Response, Status, async_trait, transport::Server};

use crate::metrics::MetricSet;

use super::{
    calls::CallRunner,
    counted::CountedStream,
    messages::{FlowQuery, LinkEvent},
    tls::TlsBundle,
};

/// Timeout of a query to the main loop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent calls of one connection.
const MAX_STREAMS: u32 = 64;
/// Maximum number of parts requested by one call.
const MAX_PARTS_PER_CALL: usize = 4096;
/// Maximum number of entries of the audit trail in one response.
const MAX_AUDIT_ENTRIES: usize = 1000;

/// Serves the control interface, and replaces the server when the certificates change.
///
/// The server with the old certificates then accepts no more connections, and ends
/// when its last connection is closed.
///
/// # Errors
///
/// Fails when a server can't be configured or ends.
pub async fn serve(
    listener: TcpListener,
    mut bundles: watch::Receiver<TlsBundle>,
    runner: CallRunner,
    events: Channel<LinkEvent>,
    metrics: Arc<MetricSet>,
) -> Result<()> {
    loop {
        let bundle = bundles.borrow_and_update().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let listener = tokio::net::TcpListener::from_std(listener.try_clone()?)?;
        let metrics = metrics.clone();
        let incoming = TcpListenerStream::new(listener)
            .map(move |accepted| accepted.map(with_nodelay))
            .map(move |accepted| accepted.map(|stream| CountedStream::new(stream, &metrics)));
        let mut builder = Server::builder()
            .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
            .max_concurrent_streams(MAX_STREAMS);
        if let Some(tls) = bundle.server {
            builder = builder.tls_config(tls)?;
        }
        let service = ControlService { runner: runner.clone(), events: events.clone() };
        let server = builder
            .add_service(PeerServer::new(service.clone()))
            .add_service(AdminServer::new(service))
            .serve_with_incoming_shutdown(incoming, async { drop(stopped.await) });
        let mut server = tokio::spawn(server);
        tokio::select! {
            changed = bundles.changed() => {
                changed?;
                info!("link: control server goes on with new certificates");
                drop(stop);
            }
            ended = &mut server => {
                ended??;
                anyhow::bail!("the control server ended");
            }
        }
    }
}

/// Disables Nagle's algorithm on the stream.
///
/// Otherwise the end of each response longer than a segment, such as a part of a
/// list, would wait for the client's delayed acknowledgement, which costs some 40 ms for
/// each part. An error here is ignored, as the connection itself is about to fail then.
fn with_nodelay(stream: tokio::net::TcpStream) -> tokio::net::TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}

/// Forwards control calls to the main loop.
#[derive(Clone)]
struct ControlService {
    runner: CallRunner,
    events: Channel<LinkEvent>,
}

impl ControlService {
    /// Sends a query to the main loop and waits for the response, for a bounded time.
    async fn query_main_loop<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> LinkEvent,
    ) -> Result<T, Status> {
        let (sender, answer) = oneshot::channel();
        if !self.events.send(query(sender)) {
            return Err(Status::unavailable("the instance stops"));
        }
        match timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(Status::unavailable("the part that should answer isn't running")),
            Err(_) => Err(Status::deadline_exceeded("the main loop didn't answer")),
        }
    }
}

#[async_trait]
impl Peer for ControlService {
    async fn beat(&self, request: Request<Heartbeat>) -> Result<Response<HeartbeatReply>, Status> {
        let beat = request.into_inner();
        self.query_main_loop(|answer| LinkEvent::HeartbeatReceived(beat, answer))
            .await
            .map(Response::new)
    }

    async fn fetch_manifest(
        &self,
        _request: Request<ManifestRequest>,
    ) -> Result<Response<Manifest>, Status> {
        let manifest = self.query_main_loop(LinkEvent::ManifestRequested).await?;
        manifest.map(Response::new).ok_or_else(|| Status::not_found("no list yet"))
    }

    async fn fetch_parts(
        &self,
        request: Request<PartsRequest>,
    ) -> Result<Response<PartsReply>, Status> {
        let digests = request.into_inner().digests;
        if digests.len() > MAX_PARTS_PER_CALL {
            return Err(Status::invalid_argument("too many parts asked for"));
        }
        let parts =
            self.query_main_loop(|answer| LinkEvent::PartsRequested(digests, answer)).await?;
        Ok(Response::new(PartsReply { parts }))
    }

    async fn probe_for(
        &self,
        request: Request<RelayProbe>,
    ) -> Result<Response<RelayProbeReply>, Status> {
        let address = request.into_inner().control_address;
        let address = address
            .parse()
            .map_err(|_| Status::invalid_argument("not an IP number with a port"))?;
        let answered = self.runner.probe(address).await;
        Ok(Response::new(RelayProbeReply { answered }))
    }
}

#[async_trait]
impl Admin for ControlService {
    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let json = self.query_main_loop(LinkEvent::StatusRequested).await?;
        Ok(Response::new(StatusReply { json }))
    }

    async fn explain(
        &self,
        request: Request<ExplainRequest>,
    ) -> Result<Response<ExplainReply>, Status> {
        let ExplainRequest { address, member, work, flow } = request.into_inner();
        let query = FlowQuery { address, member, work, flow };
        let explained =
            self.query_main_loop(|answer| LinkEvent::ExplainRequested(query, answer)).await?;
        let json = explained.map_err(Status::invalid_argument)?;
        Ok(Response::new(ExplainReply { json }))
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        let AuditRequest { after, limit } = request.into_inner();
        let limit = match limit {
            0 => MAX_AUDIT_ENTRIES,
            limit => (limit as usize).min(MAX_AUDIT_ENTRIES),
        };
        let json = self
            .query_main_loop(|answer| LinkEvent::AuditRequested { after, limit, answer })
            .await?;
        Ok(Response::new(AuditReply { json }))
    }

    async fn drain(&self, _request: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let accepted = self.query_main_loop(LinkEvent::DrainRequested).await?;
        if accepted {
            warn!("link: an operator asked this instance to leave");
        }
        Ok(Response::new(DrainReply { accepted }))
    }
}
