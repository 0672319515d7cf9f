//! HTTP interface for health checks and metrics.

use std::{net::TcpListener, sync::Arc, time::Duration};

use anyhow::Result;
use axum::{Json, Router, extract::State, http::StatusCode, response::IntoResponse, routing::get};
use foxledge_engine::EnginePhase;
use log::info;
use serde_json::json;
use stakker::sync::Channel;
use tokio::{sync::oneshot, time::timeout};

use crate::{metrics::MetricSet, phase::PhaseCell};

use super::messages::LinkEvent;

/// Timeout of the update of the engine's counters; after it the last known ones are served.
const COUNTERS_TIMEOUT: Duration = Duration::from_millis(500);
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

#[derive(Clone)]
struct AdminState {
    metrics: Arc<MetricSet>,
    phase: Arc<PhaseCell>,
    events: Channel<LinkEvent>,
}

/// Serves `/healthz` and `/metrics`.
pub async fn serve(
    listener: TcpListener,
    metrics: Arc<MetricSet>,
    phase: Arc<PhaseCell>,
    events: Channel<LinkEvent>,
) -> Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    info!("link: admin on {}", listener.local_addr()?);
    let router = Router::new()
        .route("/healthz", get(healthz))
        .route("/metrics", get(metrics_text))
        .with_state(AdminState { metrics, phase, events });
    axum::serve(listener, router).await?;
    Ok(())
}

async fn healthz(State(state): State<AdminState>) -> impl IntoResponse {
    let is_serving = state.phase.get() == EnginePhase::Serving;
    let code = if is_serving { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let revision = state.metrics.list_revision.get();
    (code, Json(json!({ "phase": state.phase.as_str(), "list_revision": revision })))
}

async fn metrics_text(State(state): State<AdminState>) -> impl IntoResponse {
    let (sender, counted) = oneshot::channel();
    if state.events.send(LinkEvent::CountersRequested(sender)) {
        // If the main loop is busy, the last known counters are served.
        let _ = timeout(COUNTERS_TIMEOUT, counted).await;
    }
    ([("content-type", METRICS_CONTENT_TYPE)], state.metrics.render())
}
