//! The side thread: calls to the store, and HTTP for routers and operators.
//!
//! It runs its own tokio runtime and leaves all decisions to the main thread.

use std::{
    io,
    net::{SocketAddrV4, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Query, State},
    http::StatusCode,
    response::IntoResponse,
    routing::get,
};
use foxledge_engine::EnginePhase;
use foxledge_flows::{FlowKey, ListReading, ListSource, SourceError};
use foxledge_gossip::StoreQuery;
use serde::Deserialize;
use serde_json::{Value, json};
use stakker::sync::Channel;
use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    time::timeout,
};

use crate::phase::PhaseCell;

use super::metrics::PacketMetrics;

/// Timeout of an operator's query to the main thread.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// A command of the main thread to the side thread.
#[derive(Clone, Copy, Debug)]
pub enum SideCommand {
    /// Call the store.
    CallStore(StoreQuery),
}

/// An event that the side thread reports to the main thread.
pub enum SideEvent {
    /// The response of the store to a query.
    StoreResponse(StoreQuery, Result<ListReading, SourceError>),
    /// An operator sent a query; the response goes to the sender.
    QueryReceived(OperatorQuery, oneshot::Sender<Value>),
    /// The side thread has ended, for this reason.
    Ended(String),
}

/// A query of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorQuery {
    /// The status of the instance.
    Status,
    /// The decision on a flow, and the backend server of a token.
    Explain(FlowKey, u32),
    /// The audit trail.
    Audit,
    /// An update of the gauges before the metrics are rendered.
    Gauges,
}

/// What the side thread needs to start.
pub struct SideThread {
    /// Receives the commands of the main thread.
    pub commands: mpsc::UnboundedReceiver<SideCommand>,
    /// Reads the store.
    pub source: Box<dyn ListSource>,
    /// Listener for HTTP requests of routers and operators.
    pub admin: TcpListener,
    /// Separate listener for the same HTTP interface, if one is configured.
    pub metrics_listener: Option<TcpListener>,
    /// The metrics.
    pub metrics: Arc<PacketMetrics>,
    /// The phase of the process.
    pub phase: Arc<PhaseCell>,
    /// Sends events to the main thread.
    pub events: Channel<SideEvent>,
}

#[derive(Clone)]
struct AdminState {
    metrics: Arc<PacketMetrics>,
    phase: Arc<PhaseCell>,
    events: Channel<SideEvent>,
}

impl SideThread {
    /// Starts the thread, which ends when the sender of commands is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the thread or its runtime can't be created.
    pub fn start(self) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
        let events = self.events.clone();
        thread::Builder::new().name("side".to_owned()).spawn(move || {
            let reason = match runtime.block_on(self.run()) {
                Ok(()) => "the command channel is closed".to_owned(),
                Err(error) => error.to_string(),
            };
            events.send(SideEvent::Ended(reason));
        })?;
        Ok(())
    }

    async fn run(self) -> io::Result<()> {
        let state =
            AdminState { metrics: self.metrics, phase: self.phase, events: self.events.clone() };
        let router = operator_routes(state);
        if let Some(listener) = self.metrics_listener {
            tokio::spawn(serve(listener, router.clone()));
        }
        tokio::select! {
            result = serve(self.admin, router) => result,
            () = read_store(self.source, self.commands, self.events) => Ok(()),
        }
    }
}

fn operator_routes(state: AdminState) -> Router {
    Router::new()
        .route("/healthz", get(healthz))
        .route("/metrics", get(metrics_text))
        .route("/status", get(status))
        .route("/audit", get(audit))
        .route("/explain", get(explain))
        .with_state(state)
}

async fn serve(listener: TcpListener, router: Router) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    axum::serve(listener, router).await
}

async fn read_store(
    mut source: Box<dyn ListSource>,
    mut commands: mpsc::UnboundedReceiver<SideCommand>,
    events: Channel<SideEvent>,
) {
    while let Some(SideCommand::CallStore(query)) = commands.recv().await {
        let response = match query {
            StoreQuery::FirstPage => source.read_first_page().await,
            StoreQuery::Remainder => source.read_remainder().await,
            StoreQuery::All => source.read_all().await,
            StoreQuery::Watch { after, wait_ms } => source.watch(after, wait_ms).await,
        };
        events.send(SideEvent::StoreResponse(query, response));
    }
}

async fn healthz(State(state): State<AdminState>) -> impl IntoResponse {
    let is_serving = state.phase.get() == EnginePhase::Serving;
    let code = if is_serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (code, Json(json!({ "phase": state.phase.as_str() })))
}

async fn metrics_text(State(state): State<AdminState>) -> impl IntoResponse {
    // If the main thread is busy, the last known gauges are served.
    let _ = query_main_thread(&state, OperatorQuery::Gauges).await;
    ([("content-type", METRICS_CONTENT_TYPE)], state.metrics.render())
}

async fn status(State(state): State<AdminState>) -> impl IntoResponse {
    response_or_busy(query_main_thread(&state, OperatorQuery::Status).await)
}

async fn audit(State(state): State<AdminState>) -> impl IntoResponse {
    response_or_busy(query_main_thread(&state, OperatorQuery::Audit).await)
}

/// The parameters of `/explain`: the two ends of a flow, and the token of its packets if it is
/// open.
#[derive(Deserialize)]
struct ExplainQuery {
    caller: SocketAddrV4,
    service: SocketAddrV4,
    #[serde(default)]
    token: u32,
}

async fn explain(
    State(state): State<AdminState>,
    Query(query): Query<ExplainQuery>,
) -> impl IntoResponse {
    let key = FlowKey { caller: query.caller, service: query.service };
    response_or_busy(query_main_thread(&state, OperatorQuery::Explain(key, query.token)).await)
}

async fn query_main_thread(state: &AdminState, query: OperatorQuery) -> Option<Value> {
    let (sender, response) = oneshot::channel();
    if !state.events.send(SideEvent::QueryReceived(query, sender)) {
        return None;
    }
    timeout(ANSWER_TIMEOUT, response).await.ok()?.ok()
}

fn response_or_busy(response: Option<Value>) -> (StatusCode, Json<Value>) {
    match response {
        Some(value) => (StatusCode::OK, Json(value)),
        None => (StatusCode::SERVICE_UNAVAILABLE, Json(json!({ "error": "busy" }))),
    }
}
