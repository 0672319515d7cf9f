//! The platform's store, as a stand-in over HTTP.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::Result;
use axum::{
    Json, Router,
    extract::{Query, Request, State},
    http::StatusCode,
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::get,
};
use base64::{Engine, prelude::BASE64_STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, time::timeout};

/// `StoreMode` is how the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// As it should.
    Serving,
    /// With status 503.
    Refusing,
    /// Not at all.
    Silent,
    /// After this many milliseconds more.
    Slow(u64),
}

struct StoreState {
    items: BTreeMap<String, Value>,
    history: Vec<(u64, Value)>,
    revision: u64,
    compacted_revision: u64,
    /// Rises each time the store comes back from a copy.
    epoch: u64,
    mode: StoreMode,
    calls: u64,
}

/// `StoreSnapshot` is what a store held at one moment.
#[derive(Clone)]
pub struct StoreSnapshot {
    items: BTreeMap<String, Value>,
    revision: u64,
}

/// `StandInStore` holds items under revisions, and their history.
#[derive(Clone)]
pub struct StandInStore {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

#[derive(Deserialize)]
struct RangeQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: u64,
    wait_ms: u64,
}

/// Items of one page; few, so that even small lists have several pages.
const PAGE_SIZE: usize = 12;

impl StandInStore {
    /// Starts to serve.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(address: SocketAddrV4) -> Result<StandInStore> {
        let state = StoreState {
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 100,
            compacted_revision: 100,
            epoch: 0,
            mode: StoreMode::Serving,
            calls: 0,
        };
        let store = StandInStore { state: Arc::new(Mutex::new(state)), changed: Arc::default() };
        let listener = TcpListener::bind(address).await?;
        let router = Router::new()
            .route("/foxledge/kv-range", get(range))
            .route("/foxledge/kv-watch", get(watch))
            .layer(middleware::from_fn_with_state(store.clone(), add_epoch_header))
            .with_state(store.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes an item unless it lies there as it is.
    pub fn put_if_changed(&self, key: &str, value: &Value) {
        let text = BASE64_STANDARD.encode(value.to_string());
        let is_there = self.lock().items.get(key).is_some_and(|item| item["value"] == text);
        if !is_there {
            self.put(key, value);
        }
    }

    /// Writes an item of any bytes.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        let text = BASE64_STANDARD.encode(value);
        let created = match state.items.get(key) {
            Some(known) => known["created"].clone(),
            None => revision.into(),
        };
        let item = json!({
            "key": key, "value": text, "revision": revision, "created": created, "lease": 0,
        });
        state.items.insert(key.to_owned(), item.clone());
        state.history.push((revision, item));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state
            .history
            .push((revision, json!({"key": key, "revision": revision, "tombstone": true})));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops the history.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Copies what the store holds now.
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.lock();
        StoreSnapshot { items: state.items.clone(), revision: state.revision }
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out
    /// again.
    pub fn restore(&self, copy: &StoreSnapshot) {
        let mut state = self.lock();
        state.items.clone_from(&copy.items);
        state.history.clear();
        (state.revision, state.compacted_revision) = (copy.revision, copy.revision);
        state.epoch += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Keys of the items whose keys begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Changes how the store answers.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Calls so far.
    pub fn call_count(&self) -> u64 {
        self.lock().calls
    }

    /// Waits as the mode asks; an answer when the call is turned away.
    async fn admit(&self) -> Option<Response> {
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            state.mode
        };
        match mode {
            StoreMode::Serving => None,
            StoreMode::Refusing => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            StoreMode::Slow(millis) => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                None
            }
            StoreMode::Silent => {
                tokio::time::sleep(Duration::from_secs(600)).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
        }
    }

    fn events_after(&self, prefix: &str, after: u64) -> Result<(Vec<Value>, u64), StatusCode> {
        let state = self.lock();
        if after < state.compacted_revision || after > state.revision {
            return Err(StatusCode::GONE);
        }
        let is_wanted = |(revision, item): &&(u64, Value)| {
            *revision > after && item["key"].as_str().is_some_and(|key| key.starts_with(prefix))
        };
        let events = state.history.iter().filter(is_wanted).map(|(_, item)| item.clone()).collect();
        Ok((events, state.revision))
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn add_epoch_header(
    State(store): State<StandInStore>,
    call: Request,
    next: Next,
) -> Response {
    let mut answer = next.run(call).await;
    let era = store.lock().epoch;
    answer.headers_mut().insert("store-era", era.into());
    answer
}

async fn range(State(store): State<StandInStore>, Query(query): Query<RangeQuery>) -> Response {
    if let Some(refusal) = store.admit().await {
        return refusal;
    }
    let state = store.lock();
    let is_wanted = |(key, _): &(&String, &Value)| {
        key.starts_with(&query.prefix) && (query.after.is_empty() || **key > query.after)
    };
    let mut items: Vec<_> =
        state.items.iter().filter(is_wanted).map(|(_, item)| item.clone()).collect();
    let truncated = items.len() > PAGE_SIZE;
    items.truncate(PAGE_SIZE);
    let body = json!({"items": items, "truncated": truncated, "as_of": state.revision});
    Json(body).into_response()
}

async fn watch(State(store): State<StandInStore>, Query(query): Query<WatchQuery>) -> Response {
    if let Some(refusal) = store.admit().await {
        return refusal;
    }
    let wait = Duration::from_millis(query.wait_ms);
    let found = timeout(wait, async {
        loop {
            let changed = store.changed.notified();
            match store.events_after(&query.prefix, query.after) {
                Ok((events, _)) if events.is_empty() => changed.await,
                other => return other,
            }
        }
    });
    let answer = match found.await {
        Ok(answer) => answer,
        Err(_) => store.events_after(&query.prefix, query.after),
    };
    match answer {
        Ok((events, as_of)) => Json(json!({"events": events, "as_of": as_of})).into_response(),
        Err(status) => status.into_response(),
    }
}
