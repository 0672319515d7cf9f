//! Full payloads fit into datagrams together with the longest names.

mod common;

use std::sync::Arc;

use common::{
    TestNet,
    lists::test_list,
    packets::{bid_packet, is_answered},
};
use foxledge_core::names::{InstanceName, ServiceAddress, ServiceName, TargetName};
use foxledge_engine::{EngineOptions, EnginePhase, FlowEngine};
use foxledge_wire::{MAX_PAYLOAD_BYTES, flow::Packet};

/// The maximum length of a name in a list.
const MAX_NAME_LENGTH: usize = 32;

/// A full payload is sent to a backend server together with a return path that contains a token. If
/// header, token and payload exceeded a datagram, the decoder would drop whole answers of services
/// with long names only.
#[test]
fn full_payload_fits_with_longest_names() {
    let mut net = TestNet::new(1, 1, EngineOptions::default());
    let long = |letter: &str| letter.repeat(MAX_NAME_LENGTH);
    net.targets[0].service = long("s");
    net.targets[0].spec.name = TargetName::new(&long("t"));
    let mut list = test_list(2, &[], &[]);
    let mut service = Arc::unwrap_or_clone(list.services.remove("auction-desk").unwrap());
    service.name = ServiceName::new(&long("s"));
    service.addresses = vec![ServiceAddress::new(&long("a"))];
    service.targets = vec![net.targets[0].spec.clone()];
    list.services.insert(service.name.clone(), Arc::new(service));
    let member = foxledge_core::names::MemberName::new(&long("m"));
    let spec = foxledge_core::lists::MemberSpec { name: member.clone(), secret: Vec::new() };
    list.members.insert(member, spec);
    list.rules[0].when.addresses = vec![ServiceAddress::new(&long("a"))];
    let foxledge_core::lists::FlowTreatment::Serve(treatment) = &mut list.rules[0].then else {
        panic!("the first rule serves");
    };
    treatment.service = ServiceName::new(&long("s"));

    let mut me = net.engines[0].as_ref().unwrap().me().clone();
    me.name = InstanceName::new(&long("i"));
    let mut engine = FlowEngine::new(EngineOptions::default(), me, 1);
    engine.apply_list(net.now, Arc::new(list));
    engine.set_phase(net.now, EnginePhase::Serving);
    net.engines[0] = Some(engine);
    net.distribute_full_view();

    let address = long("a");
    let bid = Packet { member: long("m"), ..bid_packet(1, u64::MAX, 1, &address) };
    let asked =
        Packet { kind: foxledge_wire::flow::PacketKind::TicketRequest.into(), ..bid.clone() };
    net.send(1, 0, &Packet { payload: vec![0; foxledge_wire::MIN_TICKET_PADDING_BYTES], ..asked });
    net.run_for(100);
    let ticket = net.drain_answers(1)[0].ticket.clone();
    assert!(!ticket.is_empty());
    // The fake backend server returns the request's payload at full size.
    net.targets[0].echoes_payload = true;
    net.send(1, 0, &Packet { ticket, payload: vec![7; MAX_PAYLOAD_BYTES], ..bid });
    net.run_for(500);
    let answers = net.drain_answers(1);
    assert!(is_answered(&answers), "{answers:?}");
    let answer = answers.iter().find(|answer| !answer.payload.is_empty()).unwrap();
    assert_eq!(answer.payload.len(), MAX_PAYLOAD_BYTES);
}
