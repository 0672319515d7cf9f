//! A stand-in for the platform's store, over HTTP.

use std::{
    collections::{BTreeMap, VecDeque},
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

/// How the store responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// Responds normally.
    Serving,
    /// Responds with status 503.
    Refusing,
    /// Doesn't respond.
    Silent,
    /// Responds after an additional delay, in milliseconds.
    Slow(u64),
}

/// The number of changes by which the replicas that serve serializable reads are behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLag {
    /// For the first page of a reading.
    pub first_page: usize,
    /// For later pages.
    pub later_pages: usize,
}

struct StoreState {
    items: BTreeMap<String, Value>,
    /// The contents before each of the last changes, the newest first.
    former: VecDeque<StoreSnapshot>,
    replica_lag: ReplicaLag,
    history: Vec<(u64, Value)>,
    revision: u64,
    compacted_revision: u64,
    /// Incremented each time the store is restored from a snapshot.
    epoch: u64,
    mode: StoreMode,
    calls: u64,
}

impl StoreState {
    /// Records the contents before a change, for replicas that are behind.
    fn record_contents(&mut self) {
        let contents = self.contents();
        self.former.push_front(contents);
        self.former.truncate(MAX_REPLICA_LAG);
    }

    fn contents(&self) -> StoreSnapshot {
        StoreSnapshot { items: self.items.clone(), revision: self.revision }
    }

    /// Returns the contents of a replica that is behind by a number of changes.
    fn replica_contents(&self, lag: usize) -> StoreSnapshot {
        let former = lag.checked_sub(1).and_then(|index| self.former.get(index));
        former.cloned().unwrap_or_else(|| self.contents())
    }
}

/// The contents of a store at one point in time.
#[derive(Clone)]
pub struct StoreSnapshot {
    items: BTreeMap<String, Value>,
    revision: u64,
}

/// The maximum number of changes by which replicas are behind.
const MAX_REPLICA_LAG: usize = 32;

/// A key-value store with revisions and a history of changes.
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
    /// 1 for a read from a replica that may be behind.
    #[serde(default)]
    serializable: u32,
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: u64,
    wait_ms: u64,
}

/// The maximum number of items in a page; small, so that even short lists have several pages.
const PAGE_SIZE: usize = 12;

impl StandInStore {
    /// Starts the store's HTTP server.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(address: SocketAddrV4) -> Result<StandInStore> {
        let state = StoreState {
            items: BTreeMap::new(),
            former: VecDeque::new(),
            replica_lag: ReplicaLag::default(),
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

    /// Writes an item unless the store holds the same value already.
    pub fn put_if_changed(&self, key: &str, value: &Value) {
        let encoded = BASE64_STANDARD.encode(value.to_string());
        let is_there = self.lock().items.get(key).is_some_and(|item| item["value"] == encoded);
        if !is_there {
            self.put(key, value);
        }
    }

    /// Writes an item with an arbitrary value.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.record_contents();
        state.revision += 1;
        let revision = state.revision;
        let encoded = BASE64_STANDARD.encode(value);
        let created = match state.items.get(key) {
            Some(known) => known["created"].clone(),
            None => revision.into(),
        };
        let item = json!({
            "key": key, "value": encoded, "revision": revision, "created": created, "lease": 0,
        });
        state.items.insert(key.to_owned(), item.clone());
        state.history.push((revision, item));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if !state.items.contains_key(key) {
            return;
        }
        state.record_contents();
        state.items.remove(key);
        state.revision += 1;
        let revision = state.revision;
        state
            .history
            .push((revision, json!({"key": key, "revision": revision, "tombstone": true})));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Discards the history of changes.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Returns a copy of the current contents.
    pub fn snapshot(&self) -> StoreSnapshot {
        self.lock().contents()
    }

    /// Restores a snapshot: later changes are lost, and their revisions are assigned again.
    pub fn restore(&self, copy: &StoreSnapshot) {
        let mut state = self.lock();
        state.items.clone_from(&copy.items);
        state.history.clear();
        state.former.clear();
        (state.revision, state.compacted_revision) = (copy.revision, copy.revision);
        state.epoch += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Sets by how much the replicas that serve serializable reads are behind.
    pub fn set_replica_lag(&self, lag: ReplicaLag) {
        self.lock().replica_lag = lag;
    }

    /// Sets how the store responds to requests.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Returns the number of requests so far.
    pub fn call_count(&self) -> u64 {
        self.lock().calls
    }

    /// Counts a request and applies the mode: waits, and returns a response if the request is
    /// refused.
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
    let lag = match (query.serializable, query.after.is_empty()) {
        (0, _) => 0,
        (_, true) => state.replica_lag.first_page,
        (_, false) => state.replica_lag.later_pages,
    };
    let contents = state.replica_contents(lag);
    let is_wanted = |(key, _): &(&String, &Value)| {
        key.starts_with(&query.prefix) && (query.after.is_empty() || **key > query.after)
    };
    let mut items: Vec<_> =
        contents.items.iter().filter(is_wanted).map(|(_, item)| item.clone()).collect();
    let truncated = items.len() > PAGE_SIZE;
    items.truncate(PAGE_SIZE);
    let body = json!({"items": items, "truncated": truncated, "as_of": contents.revision});
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
