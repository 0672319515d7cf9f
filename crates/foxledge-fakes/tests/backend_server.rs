//! The socket loops: a backend server on real sockets, with callers and its control port.

use std::{net::SocketAddr, time::Duration};

use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    backend::{BackendOptions, BackendOrder, BackendReply, BackendServer},
    caller::{LoadOptions, RawCaller, run_load},
    control::LineClient,
};
use foxledge_wire::{
    PROTOCOL_VERSION,
    flow::{Packet, PacketKind, WorkKind},
};
use tokio::{net::UdpSocket, task, time::timeout};

/// Far beyond what anything here takes.
const LIMIT: Duration = Duration::from_secs(30);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn bid() -> Packet {
    Packet {
        version: PROTOCOL_VERSION,
        kind: PacketKind::Work as i32,
        flow: 7,
        request: 1,
        work: WorkKind::Bid as i32,
        time_left_ms: 10_000,
        parts: 1,
        service: "auction-desk".to_owned(),
        target_incarnation: 1,
        dispatch: 11,
        ..Packet::default()
    }
}

async fn ask(control: SocketAddr, order: BackendOrder) -> BackendReply {
    task::spawn_blocking(move || LineClient::new(control).ask(&order)).await.unwrap().unwrap()
}

#[tokio::test]
async fn a_bid_is_served_and_the_server_stops_when_told() {
    let options = BackendOptions::new("a1", "auction-desk");
    let server = BackendServer::bind(any_port(), any_port(), options).await.unwrap();
    let (data, control) = (server.data_address().unwrap(), server.control_address().unwrap());
    let serving = tokio::spawn(server.serve());
    let caller = RawCaller::bind(data).await.unwrap();
    let kind = |kind| move |packet: &Packet| packet.kind() == kind;
    let ack = caller.ask(&bid(), LIMIT, kind(PacketKind::Ack)).await.unwrap();
    assert!(ack.is_some());
    assert!(caller.receive(LIMIT, kind(PacketKind::Answer)).await.is_some());
    assert!(caller.receive(LIMIT, kind(PacketKind::Done)).await.is_some());
    let stats = ask(control, BackendOrder::Stats { runs: true }).await;
    assert!(matches!(stats, BackendReply::Stats(stats) if stats.runs.len() == 1));
    ask(control, BackendOrder::StopGracefully { ms: 100 }).await;
    timeout(LIMIT, serving).await.expect("it stops").unwrap().unwrap();
}

#[tokio::test]
async fn a_load_into_silence_ends_with_everything_timed_out() {
    let silence = UdpSocket::bind(any_port()).await.unwrap();
    let fabric = silence.local_addr().unwrap();
    let options = LoadOptions::new(fabric, "auction.lakeshore", "bricks-and-co", TrafficKind::Bid)
        .rate(100.0)
        .seconds(0.3)
        .deadline_ms(300);
    let report = timeout(LIMIT, run_load(options)).await.expect("it ends").unwrap();
    assert!(report.offered > 0);
    assert_eq!((report.served, report.timed_out), (0, report.offered));
}
