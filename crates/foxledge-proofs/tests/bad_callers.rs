//! Forged, replayed and expired tickets and tokens, and datagrams from unknown senders.

use std::{net::UdpSocket, time::Duration};

use foxledge_core::lists::KeySpec;
use foxledge_core::names::MemberName;
use foxledge_fakes::publish::{KeyPlan, MemberPlan};
use foxledge_proofs::{
    fleet_limit::LimitedFleet,
    request_helpers::{
        DESK, INTAKE, ManualCaller, RequestOutcome, complete_marker, count_runs, plan_fleet,
        published_keys, read_ticket, start_fleet, wait_revision,
    },
};
use foxledge_seal::{
    KeyRing,
    seals::{open_token, seal_datagram, seal_path, seal_ticket, seal_token},
};
use foxledge_wire::{
    encode_packet,
    flow::{
        Forward, Packet, PacketKind, PeerDatagram, RefusalReason, ReturnPath, peer_datagram::Body,
    },
};

/// Returns a key ring whose key has the given id but a secret that isn't published.
fn forged_ring(id: u32) -> KeyRing {
    KeyRing::from_keys(&[KeySpec { id, secret: vec![0x66; 32] }])
}

fn served_bid(caller: &mut ManualCaller, ticket: &[u8]) -> (Packet, Vec<u8>) {
    let bid = caller.next_request(ticket);
    let request = bid.request;
    // Parts of earlier answers may still arrive.
    let is_answer = |reply: &Packet| reply.kind() == PacketKind::Answer && reply.request == request;
    let answer = caller.send_until(&bid, is_answer).unwrap();
    (bid, answer.token)
}

#[test]
fn bad_tickets_admit_no_bid() {
    // Guards against bids that run by a ticket which wasn't issued to their caller. Tickets that
    // are forged, altered, for another caller or service, used up or expired must be checked
    // against the packet, the count and the clock.
    let settings = "[flow]\nticket_ms = 2000\nticket_count = 2\n";
    let mut fleet = start_fleet(plan_fleet(2, 1).settings(settings)).unwrap();
    let owner = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let good = owner.obtain_ticket().unwrap();
    let body = read_ticket(&fleet, &good).unwrap();
    let mut altered = good.clone();
    let last = altered.len() - 1;
    altered[last] ^= 1;
    let bad_ticket = RequestOutcome::NotRun(RefusalReason::BadTicket);
    let cases = [
        ("forged", 1, DESK, seal_ticket(&forged_ring(1), &body).unwrap(), bad_ticket),
        (
            "unknown key",
            1,
            DESK,
            seal_ticket(&forged_ring(9), &body).unwrap(),
            RequestOutcome::Unknown(RefusalReason::BadTicket),
        ),
        ("altered", 1, DESK, altered, bad_ticket),
        ("another caller's", 2, DESK, good.clone(), bad_ticket),
        ("for another service", 1, INTAKE, good.clone(), bad_ticket),
        ("no ticket at all", 1, DESK, vec![0xff; 40], bad_ticket),
    ];
    for (request, (what, number, service, ticket, expected)) in (10..).zip(cases) {
        let mut caller = ManualCaller::new(&fleet, service, number).unwrap();
        let mut bid = caller.next_request(&ticket);
        bid.request = request;
        assert_eq!(caller.resend_until_final(&bid).unwrap(), expected, "{what}");
        assert_eq!(count_runs(&mut fleet, caller.request_id(request)).unwrap(), 0, "{what}");
    }

    let mut other_member = ManualCaller::new(&fleet, DESK, 1).unwrap();
    other_member.identity.member = MemberName::new("harbor-sets");
    let mut bid = other_member.next_request(&good);
    bid.request = 30;
    assert_eq!(other_member.resend_until_final(&bid).unwrap(), bad_ticket, "another member's");

    let mut caller = ManualCaller::new(&fleet, DESK, 3).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    served_bid(&mut caller, &ticket);
    served_bid(&mut caller, &ticket);
    let third = caller.next_request(&ticket);
    assert_eq!(
        caller.resend_until_final(&third).unwrap(),
        RequestOutcome::NotRun(RefusalReason::Limit)
    );
    assert_eq!(count_runs(&mut fleet, caller.request_id(3)).unwrap(), 0, "used up");

    let mut caller = ManualCaller::new(&fleet, DESK, 4).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    std::thread::sleep(Duration::from_millis(2200));
    let late = caller.next_request(&ticket);
    assert_eq!(
        caller.resend_until_final(&late).unwrap(),
        RequestOutcome::NotRun(RefusalReason::TicketExpired)
    );
    assert_eq!(count_runs(&mut fleet, caller.request_id(1)).unwrap(), 0, "run out");
    complete_marker(&fleet, &[0, 1], 1).unwrap();
}

#[test]
fn bad_tokens_reach_no_backend_server() {
    // Guards against callers that read answers to others, or reach a backend server of their
    // choice. A token is replayed by another caller, for another flow, request or service, or is
    // forged with an address that the sender chose; holding a token must not prove ownership.
    let fleet = start_fleet(plan_fleet(2, 1)).unwrap();
    let mut owner = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = owner.obtain_ticket().unwrap();
    let (_, token) = served_bid(&mut owner, &ticket);
    let whole = owner.complete_request(&owner.poll(1, &token), DESK.0).unwrap();
    assert_eq!(whole, RequestOutcome::Answered, "the owner's token is good");

    let forged_target = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut body = open_token(&published_keys(&fleet), &token).unwrap();
    body.target_address = forged_target.local_addr().unwrap().to_string();
    let forged = seal_token(&forged_ring(1), &body).unwrap();
    let cases = [
        ("another caller", 2, DESK, 1, token.clone()),
        ("another service", 1, INTAKE, 1, token.clone()),
        ("another request", 1, DESK, 2, token.clone()),
        ("forged", 1, DESK, 1, forged),
        ("a ticket", 1, DESK, 1, ticket),
        ("no token at all", 1, DESK, 1, vec![0xff; 40]),
    ];
    for (what, number, service, request, token) in cases {
        let caller = ManualCaller::new(&fleet, service, number).unwrap();
        let outcome = caller.resend_until_final(&caller.poll(request, &token)).unwrap();
        assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::BadToken), "{what}");
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    forged_target.set_nonblocking(true).unwrap();
    assert!(forged_target.recv(&mut [0; 100]).is_err(), "nothing was sent to the forged address");
}

#[test]
fn bad_credentials_get_no_ticket() {
    // Guards against bids at a member's priority by others. A caller gives the name of a member
    // that has a secret, with no credential, with one made for another caller, or with one made by
    // a wrong secret.
    let member = MemberPlan { name: "pier-nine".to_owned(), secret: Some("0badcafe".repeat(4)) };
    let fleet = start_fleet(plan_fleet(2, 1).member(member)).unwrap();
    let secret: Vec<u8> = [0x0b, 0xad, 0xca, 0xfe].repeat(4);
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    caller.identity.member = MemberName::new("pier-nine");
    let id = caller.identity.caller;
    let bad = [
        Vec::new(),
        foxledge_seal::credential(&secret, "pier-nine", id + 1),
        foxledge_seal::credential(b"another secret", "pier-nine", id),
    ];
    for credential in bad {
        caller.identity.credential = credential;
        let refusal = |reply: &Packet| reply.kind() == PacketKind::Refusal;
        let reply = caller.send_until(&caller.ticket_request(), refusal).unwrap();
        assert_eq!(reply.refusal.unwrap().reason(), RefusalReason::BadCredential);
    }
    caller.identity.credential = foxledge_seal::credential(&secret, "pier-nine", id);
    let ticket = caller.obtain_ticket().unwrap();
    served_bid(&mut caller, &ticket);
}

#[test]
fn key_rotation_keeps_tickets_and_flows() {
    // Guards against refused bids and broken flows during a key rotation, and against a withdrawn
    // key that still admits bids. A ticket and a token exist under key 1; the keys become 1 and 2,
    // then 2, then 2 and 3. The flow continues by the token in each answer, which must be resealed.
    let settings = "[flow]\nticket_ms = 30000\n[stop]\nlimit_ms = 40000\n";
    let mut fleet = start_fleet(plan_fleet(2, 1).settings(settings)).unwrap();
    let mut caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let ticket = caller.obtain_ticket().unwrap();
    let (_, old_token) = served_bid(&mut caller, &ticket);

    publish_keys(&mut fleet, &[1, 2]);
    served_bid(&mut caller, &ticket);
    let poll = caller.poll(1, &old_token);
    let answer =
        caller.send_until(&poll, |reply| reply.request == 1 && !reply.token.is_empty()).unwrap();

    publish_keys(&mut fleet, &[2]);
    let outcome = caller.resend_until_final(&caller.poll(1, &old_token)).unwrap();
    assert_eq!(
        outcome,
        RequestOutcome::Unknown(RefusalReason::BadToken),
        "the old key is withdrawn"
    );
    let outcome = caller.complete_request(&caller.poll(1, &answer.token), DESK.0).unwrap();
    assert_eq!(outcome, RequestOutcome::Answered, "the resealed token is valid");
    let late = caller.next_request(&ticket);
    let outcome = caller.resend_until_final(&late).unwrap();
    assert_eq!(outcome, RequestOutcome::Unknown(RefusalReason::BadTicket));
    assert_eq!(count_runs(&mut fleet, caller.request_id(late.request)).unwrap(), 0);

    publish_keys(&mut fleet, &[2, 3]);
    let outcome = caller.complete_request(&caller.poll(1, &answer.token), DESK.0).unwrap();
    assert_eq!(outcome, RequestOutcome::Answered);
    let ticket = caller.obtain_ticket().unwrap();
    served_bid(&mut caller, &ticket);
}

fn publish_keys(fleet: &mut LimitedFleet, ids: &[u32]) {
    fleet.list.keys = ids.iter().map(|id| KeyPlan::numbered(*id)).collect();
    let revision = fleet.publish().unwrap();
    wait_revision(fleet, &[0, 1], revision).unwrap();
}

#[test]
fn bad_datagrams_are_ignored() {
    // Guards against instances that stop, or send packets to an address in a forged datagram.
    // Garbage, truncated and oversized datagrams, answers with a forged return path and forwarded
    // packets under a forged seal arrive at both sockets of every instance.
    let mut fleet = start_fleet(plan_fleet(2, 1)).unwrap();
    let victim = UdpSocket::bind("127.0.0.1:0").unwrap();
    let victim_address = victim.local_addr().unwrap().to_string();
    let caller = ManualCaller::new(&fleet, DESK, 1).unwrap();
    let path = ReturnPath { caller_address: victim_address.clone(), ..ReturnPath::default() };
    let answer = Packet {
        return_path: seal_path(&forged_ring(1), &path).unwrap(),
        parts: 1,
        payload: vec![7; 400],
        ..caller.identity.packet(PacketKind::Answer, 1)
    };
    let forward = Forward {
        forward_id: 1,
        caller_address: victim_address.clone(),
        packet: Some(caller.ticket_request()),
        hops: 0,
        entry_address: victim_address,
        from_other_centre: false,
    };
    let forward = PeerDatagram { body: Some(Body::Forward(forward)) };
    let whole = encode_packet(&caller.ticket_request());
    let datagrams = [
        Vec::new(),
        vec![0xff; 1200],
        vec![0; 60_000],
        whole[..whole.len() / 2].to_vec(),
        encode_packet(&answer),
        seal_datagram(&forged_ring(1), &forward).unwrap(),
        seal_datagram(&forged_ring(9), &forward).unwrap(),
    ];
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for instance in &fleet.instances {
        for datagram in &datagrams {
            stranger.send_to(datagram, instance.listen.data).unwrap();
            stranger.send_to(datagram, instance.listen.peer).unwrap();
        }
    }
    complete_marker(&fleet, &[0, 1], 1).unwrap();
    for instance in &mut fleet.instances {
        assert!(instance.process.is_running() && instance.is_ready());
        let events = |event: &str| {
            instance.metric("foxledge_engine_events_total", &format!("event=\"{event}\"")).unwrap()
        };
        assert!(events("path_unsealed") >= 1.0, "the made-up return path was seen");
        assert!(events("peer_unsealed") >= 2.0, "the made-up seals were seen");
        assert_eq!(instance.metric("foxledge_part_restarts_total", "").unwrap(), 0.0);
    }
    victim.set_nonblocking(true).unwrap();
    assert!(victim.recv(&mut [0; 100]).is_err(), "nothing was sent to the named victim");
}
