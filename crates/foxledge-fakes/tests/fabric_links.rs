//! The fabric's contract for links: relays that are cut, opened and delayed by name.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    time::{Duration, Instant},
};

use foxledge_fakes::{
    fabric::{
        faults::PacketFaults,
        orders::{LinkPick, LinkProtocol, LinkSpec},
    },
    harness::{CentreFabric, make_directory, wait_until},
};

const WIDE_LIMIT: Duration = Duration::from_secs(20);
/// How long a cut link is watched for bytes that should not come.
const WATCHED: Duration = Duration::from_millis(300);

#[test]
fn picks_by_table() {
    let link = link("toledo-1", "erie-2", LinkProtocol::Udp, ([127, 0, 0, 1], 1).into());
    let cases = [
        ("toledo-1", "erie-2", "forward"),
        ("erie-2", "toledo-1", "back"),
        ("toledo-*", "erie-*", "forward"),
        ("erie-*", "*", "back"),
        ("*", "*", "forward back"),
        ("toledo-*", "toledo-*", ""),
        ("toledo", "erie-2", ""),
        ("toledo-1", "erie-20", ""),
    ];
    for (from, to, expected) in cases {
        let ways = LinkPick::new(from, to).ways(&link);
        let words: Vec<_> = ways.iter().map(|way| format!("{way:?}").to_lowercase()).collect();
        assert_eq!(words.join(" "), expected, "{from} to {to}");
    }
}

/// From, to, whether the request arrives, whether the answer comes.
const CUTS: [(&str, &str, bool, bool); 4] = [
    ("duluth-*", "erie-*", true, true),
    ("toledo-*", "erie-*", false, false),
    ("erie-1", "toledo-1", true, false),
    ("*", "*", false, false),
];

#[test]
fn datagrams_pass_unless_cut() {
    for (from, to, arrives, answered) in CUTS {
        let fabric = start();
        let far = UdpSocket::bind("127.0.0.1:0").expect("socket");
        let near = UdpSocket::bind("127.0.0.1:0").expect("socket");
        far.set_read_timeout(Some(read_limit(arrives))).expect("limit");
        near.set_read_timeout(Some(read_limit(answered))).expect("limit");
        let far_address = far.local_addr().expect("address");
        let link = link("toledo-1", "erie-1", LinkProtocol::Udp, far_address);
        let address = fabric.client.add_link(link).expect("link");
        fabric.client.cut_links(from, to).expect("cut");
        near.send_to(b"ask", address).expect("sent");
        let mut buffer = [0; 10];
        let request = far.recv_from(&mut buffer).ok();
        assert_eq!(request.is_some(), arrives, "{from} to {to}");
        if let Some((_, back)) = request {
            far.send_to(b"answer", back).expect("answered");
        }
        let answer = near.recv_from(&mut buffer).ok();
        assert_eq!(answer.is_some(), answered, "{from} to {to}");
        assert!(answer.is_none_or(|(_, back)| back == address), "answers come from the link");
    }
}

// Symptom: a cut between instances shows as a reset, which the code under test notices at once.
// Sequence: a connection is open; the link is cut; bytes are sent; the link is opened again.
// Cause: a relay that closes its connections, where a real cut only swallows packets.
#[test]
fn cut_connections_are_silent_and_go_on() {
    let fabric = start();
    let (mut near, mut far) = connect(&fabric);
    exchange(&mut near, &mut far);
    fabric.client.cut_links("toledo-1", "erie-1").expect("cut");
    near.write_all(b"ask").expect("a cut link takes bytes");
    assert_eq!(read_within(&mut far, WATCHED), Err(ErrorKind::WouldBlock), "nothing arrives");
    far.write_all(b"news").expect("sent");
    assert_eq!(read_within(&mut near, WIDE_LIMIT), Ok(b"news".to_vec()), "the way back is open");
    fabric.client.heal_links("toledo-1", "erie-1").expect("healed");
    assert_eq!(read_within(&mut far, WIDE_LIMIT), Ok(b"ask".to_vec()), "held bytes go on");

    fabric.client.cut_links("erie-1", "toledo-1").expect("cut");
    far.write_all(b"answer").expect("sent");
    assert_eq!(read_within(&mut near, WATCHED), Err(ErrorKind::WouldBlock));
    drop(far);
    assert_eq!(read_within(&mut near, WATCHED), Err(ErrorKind::WouldBlock), "no end is seen");
    fabric.client.heal_links("erie-1", "toledo-1").expect("healed");
    assert_eq!(read_within(&mut near, WIDE_LIMIT), Ok(b"answer".to_vec()));
    assert_eq!(read_within(&mut near, WIDE_LIMIT), Ok(Vec::new()), "the end comes after the cut");
}

#[test]
fn connections_opened_during_a_cut_wait() {
    let fabric = start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    listener.set_nonblocking(true).expect("nonblocking");
    let address = add_tcp_link(&fabric, listener.local_addr().expect("address"));
    fabric.client.cut_links("*", "*").expect("cut");
    let _near = TcpStream::connect(address).expect("connection");
    std::thread::sleep(WATCHED);
    assert!(listener.accept().is_err(), "nothing comes through a cut");
    fabric.client.heal_links("*", "*").expect("healed");
    wait_until("connection", WIDE_LIMIT, || listener.accept().is_ok()).expect("accepted");
}

#[test]
fn connections_can_be_delayed() {
    let fabric = start();
    let (mut near, mut far) = connect(&fabric);
    let slow = PacketFaults { delay_min_ms: 200, ..PacketFaults::default() };
    fabric.client.set_link_faults("erie-1", "toledo-1", slow).expect("faults");
    let began = Instant::now();
    exchange(&mut near, &mut far);
    assert!(began.elapsed() >= Duration::from_millis(200), "it took {:?}", began.elapsed());
    let links = fabric.client.report().expect("report").links;
    let bytes = links["toledo-1>erie-1/tcp"].bytes;
    assert_eq!((bytes.forward, bytes.back), (3, 6));
}

fn start() -> CentreFabric {
    let directory = make_directory().expect("directory");
    CentreFabric::start("links", 7, &[], &directory).expect("fabric")
}

fn link(from: &str, to: &str, protocol: LinkProtocol, forward_to: SocketAddr) -> LinkSpec {
    let listen = ([127, 0, 0, 1], 0).into();
    LinkSpec { from: from.to_owned(), to: to.to_owned(), protocol, listen, forward_to }
}

fn add_tcp_link(fabric: &CentreFabric, forward_to: SocketAddr) -> SocketAddr {
    let link = link("toledo-1", "erie-1", LinkProtocol::Tcp, forward_to);
    fabric.client.add_link(link).expect("link")
}

fn connect(fabric: &CentreFabric) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let address = add_tcp_link(fabric, listener.local_addr().expect("address"));
    let near = TcpStream::connect(address).expect("connection");
    let (far, _) = listener.accept().expect("accepted");
    (near, far)
}

fn exchange(near: &mut TcpStream, far: &mut TcpStream) {
    near.write_all(b"ask").expect("sent");
    assert_eq!(read_within(far, WIDE_LIMIT), Ok(b"ask".to_vec()));
    far.write_all(b"answer").expect("sent");
    assert_eq!(read_within(near, WIDE_LIMIT), Ok(b"answer".to_vec()));
}

fn read_limit(expects: bool) -> Duration {
    if expects { WIDE_LIMIT } else { WATCHED }
}

fn read_within(stream: &mut TcpStream, limit: Duration) -> Result<Vec<u8>, ErrorKind> {
    stream.set_read_timeout(Some(limit)).expect("limit");
    let mut buffer = [0; 100];
    let length = stream.read(&mut buffer).map_err(|error| error.kind())?;
    Ok(buffer[..length].to_vec())
}
