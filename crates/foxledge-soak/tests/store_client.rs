//! The store's client against the stand-in of the store.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use foxledge_flows::{
    ItemChange, ListSource, SourceError,
    revisions::{epoch_of, revision_of},
    source::ReadMode,
};
use foxledge_platform::StoreClient;
use foxledge_soak::{
    links::{LinkFault, StoreLink},
    store::{StandInStore, StoreMode},
};
use serde_json::json;
use tokio::{runtime, time::sleep};

/// Addresses of the tests: one port each, on a network of their own.
fn next_address() -> SocketAddrV4 {
    static NEXT: AtomicU16 = AtomicU16::new(7_300);
    let low = (std::process::id() % 250) as u8;
    SocketAddrV4::new(Ipv4Addr::new(127, 250, low, 1), NEXT.fetch_add(1, Ordering::Relaxed))
}

fn run<F: Future<Output = ()>>(test: F) {
    runtime::Builder::new_current_thread().enable_all().build().expect("runs").block_on(test);
}

/// A store, a link to it, and a client that has read through the link.
async fn linked_client() -> (StandInStore, StoreLink, StoreClient) {
    let (store, address) = store_with_entries(1).await;
    let near = next_address();
    let link = StoreLink::start(near, address).await.expect("starts");
    let mut client = StoreClient::new(near);
    assert!(client.read_all(ReadMode::Linearizable).await.is_ok());
    (store, link, client)
}

async fn store_with_entries(count: u64) -> (StandInStore, SocketAddrV4) {
    let address = next_address();
    let store = StandInStore::start(address).await.expect("starts");
    let config = json!({
        "version": 7, "limits": {"idle_timeout_ms": 9_000}, "services": [],
        "routes": [{"name": "r", "host": "198.18.0.1", "prefix": "/443/", "type": "idempotent",
            "timeout_ms": 1, "aim_ms": 1, "priority": 2, "service": "desk", "attempts": 2}],
    });
    store.put("op/config", &config);
    for number in 1..=count {
        store.put(&format!("servers/i-{number:08x}"), &server(number, "ready"));
    }
    (store, address)
}

fn server(number: u64, state: &str) -> serde_json::Value {
    json!({
        "service": "desk", "address": format!("10.128.0.{number}:8080"), "zone": "toledo",
        "version": "v1", "slots": 2, "state": state, "warmup_left_ms": 5, "sequence": 4,
    })
}

#[test]
fn reads_all_pages() {
    run(async {
        // The stand-in's pages hold twelve items.
        let (_store, address) = store_with_entries(40).await;
        let mut client = StoreClient::new(address);
        for mode in [ReadMode::Linearizable, ReadMode::Serializable] {
            let reading = client.read_all(mode).await.expect("is read");
            assert_eq!(reading.items.len(), 41);
            assert_eq!(reading.head, 141);
        }
    });
}

#[test]
fn first_page_alone() {
    run(async {
        for (entries, items, is_part) in [(11, 12, false), (40, 12, true)] {
            let (_store, address) = store_with_entries(entries).await;
            let reading = StoreClient::new(address).read_first_page().await.expect("is read");
            assert_eq!((reading.items.len(), reading.is_partial), (items, is_part));
            assert!(matches!(reading.items[0], ItemChange::Config { .. }));
        }
    });
}

#[test]
fn watch_brings_changes() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        let head = client.read_all(ReadMode::Linearizable).await.expect("is read").head;
        let quiet = client.watch(head, 20).await.expect("is answered");
        assert_eq!((quiet.items.len(), quiet.head), (0, head));
        store.put("servers/i-00000001", &server(1, "draining"));
        store.remove("servers/i-00000002");
        let reading = client.watch(head, 1_000).await.expect("is answered");
        assert_eq!(reading.head, head + 2);
        let ItemChange::Backend { backend, .. } = &reading.items[0] else { panic!("no entry") };
        assert!(backend.draining);
        let gone = ItemChange::BackendRemoved { revision: head + 2, id: "i-00000002".to_owned() };
        assert_eq!(reading.items[1], gone);
    });
}

#[test]
fn dropped_history_told() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        let head = client.read_all(ReadMode::Linearizable).await.expect("is read").head;
        store.remove("servers/i-00000002");
        store.compact();
        assert_eq!(client.watch(head, 50).await, Err(SourceError::HistoryGone));
    });
}

#[test]
fn epoch_told() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        store.restore(&store.snapshot());
        let mut client = StoreClient::new(address);
        let reading = client.read_all(ReadMode::Linearizable).await.expect("is read");
        assert_eq!(reading.epoch(), 1);
        store.restore(&store.snapshot());
        assert_eq!(client.read_first_page().await.expect("is read").epoch(), 2);
        let reading = client.read_all(ReadMode::Serializable).await.expect("is read");
        assert_eq!(reading.epoch(), 2);
        assert_eq!(reading.head, revision_of(2, 103));
        assert!(reading.items.iter().all(|item| epoch_of(item.revision()) == 2));
    });
}

// Guards against changes of a restored store under revisions that were given out before.
#[test]
fn restored_store_watched() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        let copy = store.snapshot();
        store.remove("servers/i-00000002");
        let head = client.read_all(ReadMode::Linearizable).await.expect("is read").head;
        store.restore(&copy);
        assert_eq!(client.watch(head, 20).await, Err(SourceError::HistoryGone));
        // The store has reached the revision again.
        for state in ["draining", "ready"] {
            store.put("servers/i-00000001", &server(1, state));
        }
        assert_eq!(client.watch(head, 20).await, Err(SourceError::HistoryGone));
        let head = client.read_all(ReadMode::Linearizable).await.expect("is read").head;
        store.remove("servers/i-00000002");
        let reading = client.watch(head, 1_000).await.expect("is answered");
        let gone = ItemChange::BackendRemoved { revision: head + 1, id: "i-00000002".to_owned() };
        assert_eq!(reading.items, [gone]);
    });
}

#[test]
fn refusals_told() {
    run(async {
        let (store, address) = store_with_entries(1).await;
        let mut client = StoreClient::new(address);
        store.set_mode(StoreMode::Refusing);
        assert_eq!(client.watch(0, 10).await, Err(SourceError::UnexpectedStatus(503)));
        store.set_mode(StoreMode::Serving);
        assert!(client.read_all(ReadMode::Linearizable).await.is_ok());
    });
}

// Symptom: an instance stays on its old list although the store is back.
// Sequence: the connection goes silent for good; new connections work.
// Cause: the call waits on the silent connection without a limit.
#[test]
fn silent_connection_left() {
    run(async {
        let (_store, link, mut client) = linked_client().await;
        link.set(LinkFault::Silence);
        sleep(Duration::from_millis(50)).await;
        assert!(matches!(client.watch(101, 20).await, Err(SourceError::Timeout(_))));
        assert!(client.watch(101, 20).await.is_ok());
    });
}

#[test]
fn reset_connection_left() {
    run(async {
        let (_store, link, mut client) = linked_client().await;
        link.set(LinkFault::Reset);
        sleep(Duration::from_millis(50)).await;
        link.set(LinkFault::None);
        // The first call may meet the closed connection; the next is on a new one.
        let first = client.watch(101, 20).await;
        assert!(first.is_ok() || matches!(first, Err(SourceError::Connection(_))), "{first:?}");
        assert!(client.watch(101, 20).await.is_ok());
    });
}

#[test]
fn nobody_there() {
    run(async {
        let mut client = StoreClient::new(next_address());
        let answer = client.read_all(ReadMode::Linearizable).await;
        assert!(matches!(answer, Err(SourceError::Connection(_))), "{answer:?}");
    });
}

// Symptom: after an outage of power and store, instances serve a second later than the store.
// Sequence: an instance starts and calls the store, which is silent; the store comes back 0.2 s
//   later and serves new calls, but never that one.
// Cause: the call is given the time that a megabyte takes, though not a byte has come.
#[test]
fn silent_call_given_up() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        store.set_mode(StoreMode::Silent);
        let answer =
            tokio::time::timeout(Duration::from_millis(700), client.read_first_page()).await;
        assert!(matches!(answer, Ok(Err(SourceError::Timeout(_)))), "{answer:?}");
        store.set_mode(StoreMode::Serving);
        assert!(client.read_first_page().await.is_ok());
    });
}

// Symptom: a store that is slow is never read.
// Sequence: its answers take longer than the time for a first byte, each time.
// Cause: each call is given up as early as the one before.
#[test]
fn slow_store_read() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        store.set_mode(StoreMode::Slow(700));
        for _ in 0..2 {
            assert!(matches!(client.read_first_page().await, Err(SourceError::Timeout(_))));
        }
        assert!(client.read_first_page().await.is_ok());
    });
}

// Guards against changes that are asked for again and again, as their answer is too large.
#[test]
fn too_large_told() {
    run(async {
        let (store, address) = store_with_entries(1).await;
        let mut client = StoreClient::new(address);
        let head = client.read_all(ReadMode::Linearizable).await.expect("is read").head;
        let padding = "x".repeat(3 << 20);
        for version in 8..11 {
            store.put("op/config", &json!({ "version": version, "padding": padding }));
        }
        let answer = client.watch(head, 20_000).await;
        assert!(matches!(answer, Err(SourceError::Malformed(_))), "{answer:?}");
    });
}
