//! Encoding of load in messages between two instances.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_gossip::{FleetEffect, FleetMember, MAX_MESSAGE_BYTES, MemberOptions};
use foxledge_load::{LocalLoad, PriorityLoad, ServiceKey, ServiceLoad};

fn start() -> ClockTime {
    ClockTime::from_micros(3_600_000_000)
}

fn member(number: u8) -> FleetMember {
    let address = |number| SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000);
    let options = MemberOptions::new(address(number), CentreName::new("toledo"))
        .incarnation(u64::from(number))
        .seeds(vec![address(1), address(2)])
        .report_load(true);
    FleetMember::new(options, start())
}

/// Returns two members that know each other.
fn pair() -> [FleetMember; 2] {
    let mut pair = [member(1), member(2)];
    for _ in 0..3 {
        for from in 0..2 {
            pair[from].handle_timers(start());
            exchange(&mut pair, from, start());
        }
    }
    pair
}

/// Delivers the messages of one member to the other. Returns their sizes.
fn exchange(pair: &mut [FleetMember; 2], from: usize, now: ClockTime) -> Vec<usize> {
    let effects = pair[from].drain_effects();
    let sent = effects.into_iter().filter_map(|effect| match effect {
        FleetEffect::SendDatagram { bytes, .. } => Some(bytes),
        _ => None,
    });
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, from as u8 + 1), 7_000);
    let sent: Vec<_> = sent.collect();
    for bytes in &sent {
        assert!(pair[1 - from].handle_datagram(now, address, bytes));
    }
    sent.iter().map(Vec::len).collect()
}

fn service(running: f64, remote: &[(&str, f64)]) -> ServiceLoad {
    let priority = |arrivals_per_s, work_us| PriorityLoad { arrivals_per_s, work_us };
    let mut load = ServiceLoad {
        priorities: BTreeMap::from([
            (1, priority(12.345, 72_000.0)),
            (2, priority(running * 10.0, 0.0)),
        ]),
        running: BTreeMap::from([(CentreName::new("toledo"), running)]),
    };
    load.running.extend(remote.iter().map(|(name, running)| (CentreName::new(name), *running)));
    load
}

// Guards against values that change in transit.
#[test]
fn load_is_unchanged_by_encoding() {
    let mut pair = pair();
    let service_key = ServiceKey::from_name("desk");
    let load = service(7.0, &[("dublin", 3.0)]);
    let accounts: Vec<_> = (0..12).map(|index| index * 0x0101_0101).collect();
    let services = BTreeMap::from([(service_key, load.clone())]);
    let local_load =
        LocalLoad { services, sampled_accounts: accounts.clone(), openings_per_sample: 9 };
    pair[0].set_local_load(start(), local_load, 0.0);
    exchange(&mut pair, 0, start());
    pair[1].set_local_load(start(), LocalLoad::default(), 0.0);
    let view = pair[1].load_view(start()).expect("reports load");
    let centre_view = &view.centres[&CentreName::new("toledo")];
    // The mean of the report and an empty one, times two instances.
    assert_eq!((centre_view.instances, centre_view.report_count), (2, 2));
    assert_eq!(centre_view.services[&service_key], load);
    assert_eq!(view.account_samples, accounts.iter().map(|one| (*one, 9)).collect::<Vec<_>>());
}

// Guards against messages larger than a datagram, and against losing the services with the most
// load in messages that are truncated.
#[test]
fn large_loads_are_truncated_to_the_message_size() {
    let mut pair = pair();
    let services = (0..500).map(|number| {
        let load = service(f64::from(number), &[("dublin", f64::from(number))]);
        (ServiceKey(number), load)
    });
    let local_load = LocalLoad { services: services.collect(), ..LocalLoad::default() };
    pair[0].set_local_load(start(), local_load.clone(), 10.0);
    let sizes = exchange(&mut pair, 0, start());
    assert!(!sizes.is_empty());
    assert!(sizes.iter().all(|size| *size <= MAX_MESSAGE_BYTES), "{sizes:?}");
    pair[1].set_local_load(start(), LocalLoad::default(), 0.0);
    let view = pair[1].load_view(start()).expect("reports load");
    let received_services = &view.centres[&CentreName::new("toledo")].services;
    assert!((20..500).contains(&received_services.len()), "{} services", received_services.len());
    let smallest_key = 500 - received_services.len() as u32;
    assert!(
        received_services.keys().all(|key| key.0 >= smallest_key),
        "{:?}",
        received_services.keys()
    );
    // The large report is relayed with others by an instance at the fast pace.
    let later = start().after_millis(500);
    pair[1].set_local_load(later, local_load, 10.0);
    let sizes = exchange(&mut pair, 1, later);
    assert!(sizes.iter().all(|size| *size <= MAX_MESSAGE_BYTES), "{sizes:?}");
}

// Guards against messages of an instance that has announced that it leaves.
#[test]
fn nothing_is_sent_after_leaving() {
    let mut pair = pair();
    pair[0].set_local_load(start(), LocalLoad::default(), 0.0);
    exchange(&mut pair, 0, start());
    pair[0].announce_leave(start());
    exchange(&mut pair, 0, start());
    let later = start().after_millis(5_000);
    pair[0].set_local_load(later, LocalLoad::default(), 10.0);
    assert!(pair[0].drain_effects().is_empty());
}
