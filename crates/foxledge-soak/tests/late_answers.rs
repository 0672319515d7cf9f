//! Responses that reach a caller late, or that belong to another request.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use foxledge_soak::{
    callers::CallerHost,
    links::PacketLoss,
    packets::{ACK, FIN, SYN, WirePacket},
    promises::PromiseLedger,
    router::PacketRouter,
};
use tokio::{net::UdpSocket, time::timeout};

const PORT: u16 = 7_100;

/// The response of a backend server to the third request of a flow.
#[derive(Clone, Copy)]
enum ThirdAnswer {
    /// The response to the first request again, and then the right one.
    FirstAgain,
    /// The response to the first request, sent as the one to the third.
    FirstAsThird,
}

/// Responds to a caller's flows in the network `net` until a flow has made four requests, and
/// returns the breaches.
async fn breaches(net: u8, third: ThirdAnswer) -> Vec<String> {
    let data_address = SocketAddrV4::new(Ipv4Addr::new(127, net, 1, 1), PORT);
    let instance = UdpSocket::bind(data_address).await.expect("is free");
    let router =
        PacketRouter::start(vec![data_address], vec![SocketAddrV4::new(*data_address.ip(), 1)]);
    let ledger: Arc<PromiseLedger> = Arc::default();
    let caller = SocketAddrV4::new(Ipv4Addr::new(127, net, 4, 1), PORT);
    let host = CallerHost::start(caller, router, ledger.clone(), PacketLoss::default(), None);
    let host = host.await.expect("starts");
    tokio::spawn(host.run(vec![(8_443, true)], 1));
    let mut buffer = [0; 2_048];
    let mut first = Vec::new();
    let mut count = 0;
    while count < 4 && ledger.breaches().is_empty() {
        let (size, _) = instance.recv_from(&mut buffer).await.expect("reads");
        let packet = WirePacket::decode(&buffer[..size]).expect("is a packet");
        let mut answer = WirePacket::new(packet.to, packet.from, ACK);
        answer.acknowledged = packet.sequence.wrapping_add(packet.data.len() as u32);
        if packet.flags & SYN != 0 {
            (answer.flags, count) = (SYN | ACK, 0);
        } else if packet.flags & FIN != 0 || packet.data.is_empty() {
            continue;
        } else {
            count += 1;
            answer.data = packet.data[..8].to_vec();
        }
        match (count, third) {
            (1, _) => first = answer.encode(),
            (3, ThirdAnswer::FirstAgain) => {
                instance.send_to(&first, caller).await.expect("is sent");
            }
            (3, ThirdAnswer::FirstAsThird) => {
                answer.data = WirePacket::decode(&first).expect("is a packet").data;
            }
            _ => {}
        }
        instance.send_to(&answer.encode(), caller).await.expect("is sent");
    }
    ledger.breaches()
}

async fn found(net: u8, third: ThirdAnswer) -> Vec<String> {
    timeout(Duration::from_secs(20), breaches(net, third)).await.expect("gets so far")
}

// Guards against a false breach under load: a retransmitted request gets two responses, and the
// second arrives after the caller has made two more requests. Callers must recognize it by the
// acknowledged sequence number, also if it isn't a copy of the last response.
#[tokio::test]
async fn repeated_responses_to_earlier_requests_are_ignored() {
    assert_eq!(found(241, ThirdAnswer::FirstAgain).await, Vec::<String>::new());
}

#[tokio::test]
async fn response_to_another_request_is_a_breach() {
    let found = found(242, ThirdAnswer::FirstAsThird).await;
    assert!(found[0].contains("got the answer to"), "{found:?}");
}
