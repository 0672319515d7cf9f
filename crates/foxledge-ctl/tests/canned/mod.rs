//! A daemon's `Admin` service with canned replies.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
};

use foxledge_wire::control::{
    AuditReply, AuditRequest, DrainReply, DrainRequest, ExplainReply, ExplainRequest, StatusReply,
    StatusRequest,
    admin_server::{Admin, AdminServer},
};
use serde_json::{Value, json};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, async_trait, transport::Server};

/// The largest number of audit entries in one reply of the canned daemon.
const MAX_PAGE_ENTRIES: usize = 2;

/// A daemon that always replies with the same reports.
struct CannedDaemon {
    /// The number of the newest audit entry that replies include.
    newest: Arc<AtomicU64>,
}

#[async_trait]
impl Admin for CannedDaemon {
    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        Ok(Response::new(StatusReply { json: status_report().to_string() }))
    }

    async fn explain(
        &self,
        request: Request<ExplainRequest>,
    ) -> Result<Response<ExplainReply>, Status> {
        let request = request.into_inner();
        if request.address == "nowhere" {
            return Err(Status::invalid_argument("no such address"));
        }
        Ok(Response::new(ExplainReply { json: explanation(&request).to_string() }))
    }

    async fn audit(&self, request: Request<AuditRequest>) -> Result<Response<AuditReply>, Status> {
        let after = request.into_inner().after;
        let entries = audit_entries().into_iter();
        let shown = after + 1..=self.newest.load(Ordering::SeqCst);
        let entries = entries.filter(|entry| shown.contains(&entry["number"].as_u64().unwrap()));
        let entries: Vec<_> = entries.take(MAX_PAGE_ENTRIES).collect();
        Ok(Response::new(AuditReply { json: json!(entries).to_string() }))
    }

    async fn drain(&self, _: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        Ok(Response::new(DrainReply { accepted: false }))
    }
}

/// Returns the status report of every canned daemon.
pub fn status_report() -> Value {
    let peer = |name: &str, port: u16, state: &str| {
        json!({
            "name": name, "incarnation": 0x1234_5678_9abc_def0_u64, "refutation": 0,
            "state": state, "data_centre": "toledo",
            "data_address": format!("10.0.1.11:{port}"),
            "peer_address": format!("10.0.1.11:{}", port + 1),
            "control_address": format!("10.0.1.11:{}", port + 2),
        })
    };
    json!({
        "instance": peer("toledo-1", 7000, "alive"),
        "phase": "serving",
        "uptime_ms": 3_725_000,
        "list": { "revision": 12, "digest": 255 },
        "reads_platform": true,
        "view": {
            "peers": [peer("toledo-1", 7000, "alive"), peer("toledo-10", 7100, "suspect")],
            "reachable_centres": ["erie", "toledo"],
        },
        "parts": [
            { "part": "listener", "running": true, "restarts": 0 },
            { "part": "engine", "running": false, "restarts": 2 },
        ],
        "engine": {
            "open_works": 3,
            "keys": [1, 2],
            "desks": [{
                "key": { "service": "auction-desk", "shard": 0 },
                "desk": { "queued": 1, "targets": [
                    { "name": "a1", "busy": 2, "ejected": false },
                    { "name": "a10", "busy": 0, "ejected": true },
                ] },
            }],
        },
        "weather": "fine",
    })
}

fn explanation(request: &ExplainRequest) -> Value {
    if request.member == "nobody" {
        return json!({ "revision": 12, "rule": null, "reasons": ["nobody is no member"] });
    }
    json!({
        "revision": 12,
        "rule": format!("{}-rule", request.work),
        "treatment": { "serve": { "service": "auction-desk", "priority": 5, "member_limit": 0 } },
        "shard": 0,
        "homes": ["toledo-1", "toledo-2"],
        "targets": ["a1", "a2"],
        "target": "a2",
        "reasons": ["the rule matches", "a2 has the most free slots"],
        "flow_events": [{ "at_us": 1_500_000, "request": request.flow, "text": "dispatched to a2" }],
    })
}

fn audit_entries() -> Vec<Value> {
    let entry = |number: u64, kind: &str, subject: &str, texts: [&str; 4]| {
        let [old, new, cause, source] = texts;
        json!({
            "number": number, "at_us": number * 1_000_500, "kind": kind, "subject": subject,
            "old": old, "new": new, "cause": cause, "source": source, "revision": 12,
        })
    };
    vec![
        entry(3, "process_changed", "toledo-1", ["", "serving", "", ""]),
        entry(4, "list_accepted", "list", ["11", "12", "newer", "platform"]),
        entry(7, "target_ejected", "auction-desk/a1", ["", "ejected", "2 losses", "observation"]),
        entry(8, "member_changed", "toledo-2", ["alive", "", "", "toledo-3"]),
        entry(9, "keys_rotated", "keys", ["", "", "", "platform"]),
    ]
}

/// Starts the canned daemon on a thread that runs until the test process exits, and returns its
/// address.
pub fn start_daemon(mut server: Server, newest: Arc<AtomicU64>) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let server = server.add_service(AdminServer::new(CannedDaemon { newest }));
            server.serve_with_incoming(TcpListenerStream::new(listener)).await.unwrap();
        });
    });
    receiver.recv().unwrap()
}
