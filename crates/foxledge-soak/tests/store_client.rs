//! The client of the store against the stand-in for the store.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use foxledge_flows::{
    ItemChange, ListSource, SourceError,
    revisions::{epoch_of, revision_of},
};
use foxledge_platform::StoreClient;
use foxledge_soak::{
    links::{LinkFault, StoreLink},
    store::{ReplicaLag, StandInStore, StoreMode},
};
use serde_json::json;
use tokio::{runtime, time::sleep};

/// Returns an unused address: each has its own port, in a network of this process.
fn next_address() -> SocketAddrV4 {
    static NEXT: AtomicU16 = AtomicU16::new(7_300);
    let octet = (std::process::id() % 250) as u8;
    SocketAddrV4::new(Ipv4Addr::new(127, 250, octet, 1), NEXT.fetch_add(1, Ordering::Relaxed))
}

fn run<F: Future<Output = ()>>(test: F) {
    runtime::Builder::new_current_thread().enable_all().build().expect("runs").block_on(test);
}

/// Starts a store, a link to it, and a client that has read the store through the link.
async fn linked_client() -> (StandInStore, StoreLink, StoreClient) {
    let (store, address) = store_with_entries(1).await;
    let link_address = next_address();
    let link = StoreLink::start(link_address, address).await.expect("starts");
    let mut client = StoreClient::new(link_address);
    assert!(client.read_all().await.is_ok());
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
fn all_pages_are_read() {
    run(async {
        // A page of the stand-in has at most 12 items.
        let (_store, address) = store_with_entries(40).await;
        let mut client = StoreClient::new(address);
        let linearizable = client.read_all().await.expect("is read");
        let first = client.read_first_page().await.expect("is read");
        let serializable = first.joined_with(client.read_remainder().await.expect("is read"));
        for reading in [linearizable, serializable] {
            assert_eq!(reading.items.len(), 41);
            assert_eq!(reading.head, 141);
        }
    });
}

#[test]
fn first_page_is_read_alone() {
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
fn remainder_follows_first_page() {
    run(async {
        let (_store, address) = store_with_entries(40).await;
        let mut client = StoreClient::new(address);
        let first = client.read_first_page().await.expect("is read");
        let remainder = client.read_remainder().await.expect("is read");
        assert_eq!((remainder.items.len(), remainder.is_partial), (29, false));
        let whole = client.read_all().await.expect("is read");
        assert_eq!(first.joined_with(remainder), whole);
    });
}

// Guards against a watch that continues after the newest page: changes that the older pages lack
// would never be read.
#[test]
fn reading_of_uneven_replicas_is_as_old_as_its_oldest_page() {
    run(async {
        for (first_page, later_pages) in [(0, 2), (2, 0)] {
            let (store, address) = store_with_entries(40).await;
            store.put("servers/i-00000001", &server(1, "draining"));
            store.put("servers/i-00000028", &server(40, "draining"));
            store.set_replica_lag(ReplicaLag { first_page, later_pages });
            let mut client = StoreClient::new(address);
            let first = client.read_first_page().await.expect("is read");
            let later = client.read_remainder().await.expect("is read");
            let reading = first.joined_with(later);
            assert_eq!((reading.head, reading.newest_head), (141, 143));
            // Linearizable reads aren't behind.
            let whole = client.read_all().await.expect("is read");
            assert_eq!((whole.head, whole.newest_head), (143, 143));
        }
    });
}

// Guards against the same within the remainder.
#[test]
fn pages_of_one_call_may_differ_in_age() {
    run(async {
        let (store, address) = store_with_entries(40).await;
        let writer = store.clone();
        let writing = tokio::spawn(async move {
            for _ in 0..200 {
                writer.put("servers/i-00000028", &server(40, "ready"));
                sleep(Duration::from_micros(500)).await;
            }
        });
        let mut client = StoreClient::new(address);
        let mut uneven = 0;
        while !writing.is_finished() {
            let reading = client.read_all().await.expect("is read");
            uneven += u32::from(reading.head < reading.newest_head);
            assert!(reading.items.iter().all(|item| item.revision() <= reading.newest_head));
        }
        assert!(uneven > 0, "no change came between two pages");
    });
}

#[test]
fn watch_returns_changes() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        let head = client.read_all().await.expect("is read").head;
        let unchanged = client.watch(head, 20).await.expect("is answered");
        assert_eq!((unchanged.items.len(), unchanged.head), (0, head));
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
fn watch_before_compacted_revision_fails() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        let head = client.read_all().await.expect("is read").head;
        store.remove("servers/i-00000002");
        store.compact();
        assert_eq!(client.watch(head, 50).await, Err(SourceError::HistoryGone));
    });
}

#[test]
fn readings_include_the_epoch() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        store.restore(&store.snapshot());
        let mut client = StoreClient::new(address);
        let reading = client.read_all().await.expect("is read");
        assert_eq!(reading.epoch(), 1);
        store.restore(&store.snapshot());
        assert_eq!(client.read_first_page().await.expect("is read").epoch(), 2);
        let reading = client.read_remainder().await.expect("is read");
        assert_eq!(reading.epoch(), 2);
        assert_eq!(reading.head, revision_of(2, 103));
        assert!(reading.items.iter().all(|item| epoch_of(item.revision()) == 2));
    });
}

// Guards against missed changes after a restore, when the store assigns the same revisions again.
#[test]
fn watch_across_a_restore_fails_until_read_again() {
    run(async {
        let (store, address) = store_with_entries(2).await;
        let mut client = StoreClient::new(address);
        let copy = store.snapshot();
        store.remove("servers/i-00000002");
        let head = client.read_all().await.expect("is read").head;
        store.restore(&copy);
        assert_eq!(client.watch(head, 20).await, Err(SourceError::HistoryGone));
        // The store has reached the revision again.
        for state in ["draining", "ready"] {
            store.put("servers/i-00000001", &server(1, state));
        }
        assert_eq!(client.watch(head, 20).await, Err(SourceError::HistoryGone));
        let head = client.read_all().await.expect("is read").head;
        store.remove("servers/i-00000002");
        let reading = client.watch(head, 1_000).await.expect("is answered");
        let gone = ItemChange::BackendRemoved { revision: head + 1, id: "i-00000002".to_owned() };
        assert_eq!(reading.items, [gone]);
    });
}

#[test]
fn refused_call_returns_the_status() {
    run(async {
        let (store, address) = store_with_entries(1).await;
        let mut client = StoreClient::new(address);
        store.set_mode(StoreMode::Refusing);
        assert_eq!(client.watch(0, 10).await, Err(SourceError::UnexpectedStatus(503)));
        store.set_mode(StoreMode::Serving);
        assert!(client.read_all().await.is_ok());
    });
}

// Guards against an instance that keeps its old list although the store is available: a connection
// goes silent for good, and the call waits on it without a timeout.
#[test]
fn silent_connection_is_replaced() {
    run(async {
        let (_store, link, mut client) = linked_client().await;
        link.set(LinkFault::Silence);
        sleep(Duration::from_millis(50)).await;
        assert!(matches!(client.watch(101, 20).await, Err(SourceError::Timeout(_))));
        assert!(client.watch(101, 20).await.is_ok());
    });
}

#[test]
fn reset_connection_is_replaced() {
    run(async {
        let (_store, link, mut client) = linked_client().await;
        link.set(LinkFault::Reset);
        sleep(Duration::from_millis(50)).await;
        link.set(LinkFault::None);
        // The first call may fail on the closed connection; the next uses a new one.
        let first = client.watch(101, 20).await;
        assert!(first.is_ok() || matches!(first, Err(SourceError::Connection(_))), "{first:?}");
        assert!(client.watch(101, 20).await.is_ok());
    });
}

#[test]
fn missing_store_is_a_connection_error() {
    run(async {
        let mut client = StoreClient::new(next_address());
        let answer = client.read_all().await;
        assert!(matches!(answer, Err(SourceError::Connection(_))), "{answer:?}");
    });
}

// Guards against instances that start to serve a second later than the store after a power outage:
// an instance calls the silent store, which 0.2 s later responds to new calls but never to that
// one. The timeout of the call must not allow for a megabyte before the first byte has arrived.
#[test]
fn call_without_first_byte_times_out_early() {
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

// Guards against a slow store that is never read: its responses take longer than the timeout for
// the first byte, which must therefore grow after each timeout.
#[test]
fn slow_store_is_read_with_growing_timeouts() {
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

// Guards against endless retries of a watch whose response is too large.
#[test]
fn oversized_watch_response_is_an_error() {
    run(async {
        let (store, address) = store_with_entries(1).await;
        let mut client = StoreClient::new(address);
        let head = client.read_all().await.expect("is read").head;
        let padding = "x".repeat(3 << 20);
        for version in 8..11 {
            store.put("op/config", &json!({ "version": version, "padding": padding }));
        }
        let answer = client.watch(head, 20_000).await;
        assert!(matches!(answer, Err(SourceError::Malformed(_))), "{answer:?}");
    });
}
