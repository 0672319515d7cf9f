//! The HTTP interface for health checks and metrics.

mod common;

use anyhow::Result;
use common::OneDaemon;
use foxledge_fakes::harness::http;

#[test]
fn health_and_metrics_answer() -> Result<()> {
    let daemon = OneDaemon::start("admin-http", "")?;
    let health = http::get(daemon.listen.admin, "/healthz")?;
    assert_eq!(health.status, 503, "an instance without a list isn't ready");
    assert_eq!(health.body, r#"{"list_revision":0,"phase":"joining"}"#);

    let metrics = http::get(daemon.listen.admin, "/metrics")?;
    assert_eq!(metrics.status, 200);
    for name in [
        "foxledge_packets_received_total{kind=\"data\"} 0",
        "foxledge_refusals_total{outcome=\"not_run\"} 0",
        "foxledge_list_revision 0",
        "foxledge_peers{state=\"joining\"} 1",
        "foxledge_platform_reads_total",
        "foxledge_unfinished_requests 0",
        "foxledge_flow_engine_seconds_count",
        "foxledge_call_failures_total{method=\"platform_read\"}",
    ] {
        assert!(metrics.body.contains(name), "{name} is missing in:\n{}", metrics.body);
    }
    Ok(())
}

#[test]
fn responds_not_found_to_unknown_path() -> Result<()> {
    let daemon = OneDaemon::start("admin-path", "")?;
    assert_eq!(http::get(daemon.listen.admin, "/")?.status, 404);
    Ok(())
}
