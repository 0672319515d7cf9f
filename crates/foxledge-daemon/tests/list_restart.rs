//! The list in force after restarts of parts.

mod common;

use std::{net::SocketAddr, thread};

use anyhow::{Context, Result};
use common::run_until;
use foxledge_daemon::{daemon::Daemon, part_kind::DaemonSupervisor};
use foxledge_engine::EnginePhase;
use foxledge_fakes::{
    harness::{InstanceAddresses, TestPlatform, free_address, make_directory},
    platform::orders::PlatformHealth,
    publish::{KeyPlan, ListPlan, MemberPlan, RulePlan, ServicePlan, TargetPlan},
};
use foxledge_settings::parse_settings;
use foxledge_wire::control::{
    ManifestRequest, StatusRequest, admin_client::AdminClient, peer_client::PeerClient,
};
use serde_json::Value;
use stakker::call;
use tonic::transport::Endpoint;

const READS_PER_SECOND: u32 = 1000;

/// Returns the revision sent to peers and the revision that the engine applies.
async fn ask_revisions(control: SocketAddr) -> Result<(u64, u64)> {
    let channel = Endpoint::from_shared(format!("http://{control}"))?.connect().await?;
    let mut peer = PeerClient::new(channel.clone());
    let manifest = peer.fetch_manifest(ManifestRequest {}).await?.into_inner();
    let status = AdminClient::new(channel).status(StatusRequest {}).await?.into_inner();
    let status: Value = serde_json::from_str(&status.json)?;
    let revision = status["engine"]["version"]["revision"].as_u64().context("no revision")?;
    Ok((manifest.revision, revision))
}

/// Queries the revisions from another thread while the main loop runs.
fn revisions(daemon: &mut Daemon, control: SocketAddr) -> Result<(u64, u64)> {
    let asker = thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(ask_revisions(control))
    });
    run_until(daemon, "the control port responds", |_| asker.is_finished());
    asker.join().unwrap()
}

/// Returns a list with one backend server, which is never started.
fn list(target: SocketAddr) -> ListPlan {
    let mut service = ServicePlan::new("auction-desk", "auction.lakeshore");
    service.targets.push(TargetPlan {
        name: "a1".to_owned(),
        address: target,
        incarnation: 1,
        data_centre: "toledo".to_owned(),
        slots: 2,
        connections: 2000,
        draining: false,
    });
    ListPlan {
        rules: vec![RulePlan::serve("all", "auction.lakeshore", "auction-desk")],
        services: vec![service],
        members: vec![MemberPlan::open("bricks-and-co")],
        keys: vec![KeyPlan::numbered(1)],
        more: Vec::new(),
    }
}

/// Guards against a restarted part that has no list or an older one, applies it to requests and
/// spreads it. Each part with a copy of the list fails while the platform is down.
///
/// This is one test, as a process can have only one main loop.
#[test]
fn keeps_list_after_restart_of_each_part() -> Result<()> {
    let directory = make_directory()?;
    let platform = TestPlatform::start(READS_PER_SECOND, &directory)?;
    let parts = list(free_address()?).parts()?;
    platform.client.publish_list(parts.clone())?;
    let published = platform.client.publish_list(parts)?;

    let listen = InstanceAddresses::pick()?;
    let text = common::settings_text("list-restart", listen, platform.address, "");
    let settings = parse_settings("list-restart.toml", &text).unwrap();
    let mut daemon = Daemon::start(settings)?;
    run_until(&mut daemon, "the instance serves", |context| {
        context.phase.get() == EnginePhase::Serving
    });
    assert_eq!(revisions(&mut daemon, listen.control)?, (published, published));

    platform.client.set_health(PlatformHealth::Down)?;
    for part in ["lists", "engine", "members", "life"] {
        let root = daemon.context().directory.get::<DaemonSupervisor>().context("no root")?;
        call!([root], fail_part(part.to_owned(), Box::new(|found: bool| assert!(found))));
        run_until(&mut daemon, part, |context| {
            context.metrics.part_restarts.with_label_values(&[part]).get() == 1
        });
        let kept = revisions(&mut daemon, listen.control)?;
        assert_eq!(kept, (published, published), "after {part}");
        assert_eq!(daemon.context().phase.get(), EnginePhase::Serving);
    }
    Ok(())
}
