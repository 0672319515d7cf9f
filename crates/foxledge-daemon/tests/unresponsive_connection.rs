//! Calls on unresponsive connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use foxledge_daemon::{
    metrics::MetricSet,
    routes::RouteTable,
    side::{clients::ClientPool, messages::CallError, tls::TlsBundle},
};
use foxledge_wire::control::{PartsReply, PartsRequest, peer_client::PeerClient};
use tokio::{io::AsyncReadExt, net::TcpListener, sync::watch};

const CALL_LIMIT: Duration = Duration::from_millis(300);

/// Starts a server that reads from its connections and never responds. Returns its address and
/// the number of accepted connections.
async fn unresponsive_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.is_ok_and(|size| size > 0) {}
            });
        }
    });
    (address, accepted)
}

async fn fetch_nothing(pool: &ClientPool, to: SocketAddr) -> Result<PartsReply, CallError> {
    let call = |channel| async {
        PeerClient::new(channel).fetch_parts(PartsRequest { digests: Vec::new() }).await
    };
    pool.call(to, CALL_LIMIT, call).await
}

/// Guards against an instance that declares a live peer dead until one of them is restarted. This
/// happens if a middlebox loses the state of their connection, which stays open but unresponsive,
/// and calls go on using it after they have timed out.
#[tokio::test]
async fn replaces_unresponsive_connection_after_timeout() {
    let (address, accepted) = unresponsive_server().await;
    let (_keep, bundles) = watch::channel(TlsBundle::default());
    let pool = ClientPool::new(Arc::new(MetricSet::new()), bundles, RouteTable::default());
    for calls in 1..=3 {
        assert_eq!(fetch_nothing(&pool, address).await, Err(CallError::TimedOut));
        assert_eq!(accepted.load(Ordering::SeqCst), calls);
    }
}

#[tokio::test]
async fn reports_refused_connection_as_refused() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (_keep, bundles) = watch::channel(TlsBundle::default());
    let pool = ClientPool::new(Arc::new(MetricSet::new()), bundles, RouteTable::default());
    let outcome = fetch_nothing(&pool, address).await;
    assert!(matches!(outcome, Err(CallError::Refused(_))), "{outcome:?}");
}
