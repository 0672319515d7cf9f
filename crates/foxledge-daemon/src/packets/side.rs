//! The side thread: calls of the store, and HTTP for routers and operators.
//!
//! It runs a tokio runtime of its own and decides nothing.

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

/// Longest wait for the main thread's answer to an operator's question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// `SideCommand` is what the main thread wants done.
#[derive(Clone, Copy, Debug)]
pub enum SideCommand {
    /// Call the store.
    CallStore(StoreQuery),
}

/// `SideEvent` is what the side thread tells the main thread.
pub enum SideEvent {
    /// The store's answer to an order.
    StoreResponse(StoreQuery, Result<ListReading, SourceError>),
    /// An operator asks something.
    QueryReceived(OperatorQuery, oneshot::Sender<Value>),
    /// The thread has ended.
    Ended(String),
}

/// `OperatorQuery` is what operators can ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorQuery {
    /// The whole instance.
    Status,
    /// Where a flow would go, and what a token names.
    Explain(FlowKey, u32),
    /// The audit trail.
    Audit,
    /// Bring the metrics' gauges up to date.
    Gauges,
}

/// `SideThread` is what the thread starts with.
pub struct SideThread {
    /// Orders of the main thread.
    pub commands: mpsc::UnboundedReceiver<SideCommand>,
    /// Reads the store.
    pub source: Box<dyn ListSource>,
    /// HTTP for routers.
    pub admin: TcpListener,
    /// HTTP for metrics and operators.
    pub metrics_listener: Option<TcpListener>,
    /// The metrics.
    pub metrics: Arc<PacketMetrics>,
    /// The phase of the process.
    pub phase: Arc<PhaseCell>,
    /// Where events go.
    pub events: Channel<SideEvent>,
}

#[derive(Clone)]
struct AdminState {
    metrics: Arc<PacketMetrics>,
    phase: Arc<PhaseCell>,
    events: Channel<SideEvent>,
}

impl SideThread {
    /// Starts the thread; it ends when the sender of orders is dropped.
    ///
    /// # Errors
    ///
    /// When the system gives no thread or no event queue.
    pub fn start(self) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
        let events = self.events.clone();
        thread::Builder::new().name("side".to_owned()).spawn(move || {
            let why = match runtime.block_on(self.run()) {
                Ok(()) => "no more orders".to_owned(),
                Err(error) => error.to_string(),
            };
            events.send(SideEvent::Ended(why));
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
    mut orders: mpsc::UnboundedReceiver<SideCommand>,
    events: Channel<SideEvent>,
) {
    while let Some(SideCommand::CallStore(order)) = orders.recv().await {
        let answer = match order {
            StoreQuery::FirstPage => source.read_first_page().await,
            StoreQuery::All(mode) => source.read_all(mode).await,
            StoreQuery::Watch { after, wait_ms } => source.watch(after, wait_ms).await,
        };
        events.send(SideEvent::StoreResponse(order, answer));
    }
}

async fn healthz(State(state): State<AdminState>) -> impl IntoResponse {
    let is_serving = state.phase.get() == EnginePhase::Serving;
    let code = if is_serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (code, Json(json!({ "phase": state.phase.as_str() })))
}

async fn metrics_text(State(state): State<AdminState>) -> impl IntoResponse {
    // Old gauges are better than no answer when the main thread is busy.
    let _ = query_main_thread(&state, OperatorQuery::Gauges).await;
    ([("content-type", METRICS_CONTENT_TYPE)], state.metrics.render())
}

async fn status(State(state): State<AdminState>) -> impl IntoResponse {
    response_or_busy(query_main_thread(&state, OperatorQuery::Status).await)
}

async fn audit(State(state): State<AdminState>) -> impl IntoResponse {
    response_or_busy(query_main_thread(&state, OperatorQuery::Audit).await)
}

/// `ExplainQuery` names a flow: its two ends, and the token of its packets if it is open.
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

async fn query_main_thread(state: &AdminState, question: OperatorQuery) -> Option<Value> {
    let (sender, answer) = oneshot::channel();
    if !state.events.send(SideEvent::QueryReceived(question, sender)) {
        return None;
    }
    timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
}

fn response_or_busy(answer: Option<Value>) -> (StatusCode, Json<Value>) {
    match answer {
        Some(value) => (StatusCode::OK, Json(value)),
        None => (StatusCode::SERVICE_UNAVAILABLE, Json(json!({ "error": "busy" }))),
    }
}
