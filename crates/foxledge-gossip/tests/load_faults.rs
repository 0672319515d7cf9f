//! Load reports while instances, links and data centres fail, and when reported values are absurd.

mod common;
#[path = "common/load_model.rs"]
mod load_model;

use std::{collections::BTreeMap, net::SocketAddrV4};

use common::{StoreState, VirtualFleet, settle};
use foxledge_core::names::CentreName;
use foxledge_load::{LocalLoad, PriorityLoad, ServiceLoad};
use load_model::{LoadModel, model_service};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests per slot in a full data centre, as measured by routers.
const FULL_LOAD_RATIO: f64 = 5.0;

/// Returns a settled fleet in which the instances selected by `has_reports` report load.
fn reporting_fleet(counts: &[usize], has_reports: impl Fn(usize) -> bool) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(counts, 1);
    let instances = fleet.instances.iter_mut().enumerate();
    instances.for_each(|(index, instance)| instance.reports_load = has_reports(index));
    settle(fleet)
}

/// Returns the load of some requests running in a data centre.
fn running_in(centre: &str, running: f64) -> LocalLoad {
    let priority = PriorityLoad { arrivals_per_s: running * 16.0, work_us: 60_000.0 };
    let load = ServiceLoad {
        priorities: BTreeMap::from([(1, priority)]),
        running: BTreeMap::from([(CentreName::new(centre), running)]),
    };
    LocalLoad { services: BTreeMap::from([(model_service(), load)]), ..LocalLoad::default() }
}

/// Lets the instances of a loaded fleet report the same load every 50 ms.
fn report_constant_load(fleet: &mut VirtualFleet, millis: u64, running: impl Fn(usize) -> f64) {
    for _ in 0..millis / 50 {
        for instance in 0..fleet.instances.len() {
            if fleet.instances[instance].paused_until_us > fleet.now_us {
                continue;
            }
            let centre = fleet.instances[instance].data_centre.clone();
            fleet.set_local_load(instance, running_in(&centre, running(instance)), FULL_LOAD_RATIO);
        }
        fleet.run(50);
    }
}

/// Returns the requests of a data centre's callers according to the view of an instance.
fn viewed_requests(fleet: &mut VirtualFleet, instance: usize, centre: &str) -> Option<f64> {
    let view = fleet.load_view(instance)?;
    let load = view.centres.get(&CentreName::new(centre))?;
    let running = load
        .services
        .get(&model_service())
        .into_iter()
        .flat_map(|service_load| service_load.running.values());
    Some(running.sum())
}

fn assert_viewed(fleet: &mut VirtualFleet, instance: usize, centre: &str, running: f64) {
    let known = viewed_requests(fleet, instance, centre).unwrap_or(f64::NAN);
    assert!((known - running).abs() <= 0.01, "instance {instance}, {centre}: {known} requests");
}

fn load_bytes(fleet: &VirtualFleet) -> u64 {
    fleet.bytes_by_kind.get("load").copied().unwrap_or(0)
}

/// Ways in which an instance stops reporting.
#[derive(Clone, Copy, Debug)]
enum ReporterFault {
    Death,
    Freeze,
    Leave,
}

// Guards against the load of an instance that is gone, which would count for as long as others
// relay it.
#[test]
fn report_of_a_gone_instance_expires() {
    for fault in [ReporterFault::Death, ReporterFault::Freeze, ReporterFault::Leave] {
        let mut fleet = reporting_fleet(&[8], |_| true);
        let running = |instance: usize| if instance == 7 { 80.0 } else { 4.0 };
        report_constant_load(&mut fleet, 1_000, running);
        let before =
            (0..7).filter_map(|instance| viewed_requests(&mut fleet, instance, "centre-0"));
        let max_requests = before.fold(0.0, f64::max);
        assert!(max_requests >= 108.0 - 0.01, "{fault:?}: {max_requests} requests");
        match fault {
            ReporterFault::Death => fleet.kill(7),
            ReporterFault::Freeze => fleet.instances[7].paused_until_us = u64::MAX,
            ReporterFault::Leave => {
                fleet.leave(7);
                fleet.kill(7);
            }
        }
        // A second, and the time until the failure is detected.
        report_constant_load(&mut fleet, 1_100, running);
        for instance in 0..7 {
            let after =
                viewed_requests(&mut fleet, instance, "centre-0").expect("knows its data centre");
            assert!(after <= 33.0, "{fault:?}, instance {instance}: {after} requests");
        }
    }
}

// Guards against the load of a former incarnation that counts in addition to that of the new one,
// or instead of it.
#[test]
fn report_of_a_former_incarnation_is_replaced() {
    let mut fleet = reporting_fleet(&[8], |_| true);
    let running = |instance: usize| if instance == 7 { 80.0 } else { 4.0 };
    report_constant_load(&mut fleet, 1_000, running);
    fleet.kill(7);
    fleet.start(7);
    report_constant_load(&mut fleet, 500, |_| 4.0);
    for instance in 0..7 {
        let after =
            viewed_requests(&mut fleet, instance, "centre-0").expect("knows its data centre");
        assert!((after - 32.0).abs() <= 1.0, "instance {instance}: {after} requests");
    }
}

// Guards against views that degrade with the links: lost reports are replaced by the mean.
#[test]
fn views_stay_usable_when_30_percent_of_datagrams_are_lost() {
    let mut fleet = reporting_fleet(&[20, 20, 20, 19], |_| true);
    let mut model = LoadModel::new(&fleet, 3.0, 1);
    model.run(&mut fleet, 4_000);
    fleet.loss_rate = 0.3;
    model.run(&mut fleet, 3_000);
    model.centres[0].demand_factor = 3.2;
    // Time within which overflow to other data centres must take effect.
    model.run(&mut fleet, 500);
    let full = 0.8 * model.centres[0].slots;
    let mut informed = 0;
    for instance in 0..fleet.instances.len() {
        let view = fleet.load_view(instance).expect("reports load");
        informed += usize::from(model.viewed_requests(&view, 0).is_some_and(|known| known >= full));
    }
    assert!(informed * 100 >= fleet.instances.len() * 95, "{informed} instances know");
    model.run(&mut fleet, 1_000);
    for instance in 0..fleet.instances.len() {
        assert!(
            fleet.load_view(instance).expect("reports load").is_reliable,
            "instance {instance}"
        );
    }
}

// Guards against a data centre that counts as known while it is partitioned, that loses its own
// view, or that stays unknown afterwards.
#[test]
fn partitioned_centre_is_unreported_until_it_returns() {
    let mut fleet = reporting_fleet(&[6, 6, 6], |_| true);
    report_constant_load(&mut fleet, 1_000, |_| 4.0);
    let partitioned = CentreName::new("centre-2");
    for inside in 12..18 {
        for outside in 0..12 {
            fleet.cut_links.extend([(inside, outside), (outside, inside)]);
        }
    }
    report_constant_load(&mut fleet, 2_200, |_| 4.0);
    for instance in 0..18 {
        let view = fleet.load_view(instance).expect("reports load");
        assert!(view.is_reliable, "instance {instance}");
        assert_eq!(view.centres.contains_key(&partitioned), instance >= 12, "instance {instance}");
        assert_eq!(
            view.unreported_centres.contains(&partitioned),
            instance < 12,
            "instance {instance}"
        );
    }
    fleet.cut_links.clear();
    report_constant_load(&mut fleet, 500, |_| 4.0);
    for instance in 0..12 {
        assert_viewed(&mut fleet, instance, "centre-2", 24.0);
    }
}

// Guards against older builds, which don't report load, that count as instances without load.
#[test]
fn instances_without_load_reports_are_extrapolated() {
    let mut fleet = reporting_fleet(&[8, 8], |instance| instance % 2 == 0);
    report_constant_load(&mut fleet, 1_000, |_| 4.0);
    for instance in 0..16 {
        let view = fleet.load_view(instance);
        assert_eq!(view.is_some(), instance % 2 == 0, "instance {instance}");
        let Some(view) = view else { continue };
        assert!(view.is_reliable, "instance {instance}");
        for centre in ["centre-0", "centre-1"] {
            assert_viewed(&mut fleet, instance, centre, 32.0);
        }
    }
}

// Guards against load messages in fleets that haven't enabled them.
#[test]
fn nothing_is_sent_when_load_reports_are_off() {
    let mut fleet = reporting_fleet(&[4, 4], |_| false);
    report_constant_load(&mut fleet, 1_000, |_| 50.0);
    assert_eq!(load_bytes(&fleet), 0);
    assert!(fleet.load_view(0).is_none());
}

// Guards against reports of an instance that has measured nothing yet.
#[test]
fn nothing_is_sent_before_the_first_measurement() {
    let mut fleet = reporting_fleet(&[4, 4], |_| true);
    fleet.run(3_000);
    assert_eq!(load_bytes(&fleet), 0);
}

// Guards against decisions based on the load of a single instance right after its start.
#[test]
fn view_is_unreliable_right_after_a_start() {
    let mut fleet = reporting_fleet(&[8], |_| true);
    report_constant_load(&mut fleet, 1_000, |_| 4.0);
    fleet.kill(3);
    fleet.run(200);
    fleet.start(3);
    fleet.set_local_load(3, running_in("centre-0", 4.0), 0.0);
    assert!(!fleet.load_view(3).expect("reports load").is_reliable);
    report_constant_load(&mut fleet, 500, |_| 4.0);
    assert!(fleet.load_view(3).expect("reports load").is_reliable);
    report_constant_load(&mut fleet, 3_000, |_| 4.0);
    let view = fleet.load_view(3).expect("reports load");
    assert_eq!(view.centres[&CentreName::new("centre-0")].instances, 8);
}

// Guards against the only instance of a fleet waiting for others.
#[test]
fn only_instance_has_a_reliable_view() {
    let mut fleet = reporting_fleet(&[1], |_| true);
    report_constant_load(&mut fleet, 200, |_| 4.0);
    assert!(fleet.load_view(0).expect("reports load").is_reliable);
    assert_eq!(load_bytes(&fleet), 0);
}

// Guards against load reports that depend on the store.
#[test]
fn load_is_reported_while_the_store_is_unresponsive() {
    let mut fleet = reporting_fleet(&[8, 8], |_| true);
    fleet.store_state = (0..16).map(|instance| (instance, StoreState::Unresponsive)).collect();
    fleet.answer_watches();
    fleet.run(5_000);
    report_constant_load(&mut fleet, 1_000, |_| 4.0);
    for instance in 0..16 {
        for centre in ["centre-0", "centre-1"] {
            assert_viewed(&mut fleet, instance, centre, 32.0);
        }
    }
}

/// A load message as it is encoded on the wire.
#[derive(Clone, PartialEq, Message)]
struct ForgedMessage {
    #[prost(message, optional, tag = "10")]
    load: Option<ForgedLoad>,
}

#[derive(Clone, PartialEq, Message)]
struct ForgedLoad {
    #[prost(bool, tag = "1")]
    is_remote: bool,
    #[prost(message, repeated, tag = "2")]
    reports: Vec<ForgedReport>,
    #[prost(message, repeated, tag = "3")]
    aggregates: Vec<ForgedAggregate>,
    #[prost(uint32, tag = "4")]
    fleet_clock_ms: u32,
    #[prost(bool, tag = "5")]
    is_loaded: bool,
    #[prost(bool, tag = "6")]
    is_fast: bool,
}

#[derive(Clone, PartialEq, Message)]
struct ForgedReport {
    #[prost(fixed32, tag = "1")]
    ip: u32,
    #[prost(uint32, tag = "2")]
    port: u32,
    #[prost(uint32, tag = "4")]
    serial: u32,
    #[prost(uint32, tag = "5")]
    age_ms: u32,
    #[prost(message, repeated, tag = "6")]
    services: Vec<ForgedService>,
    #[prost(bytes = "vec", tag = "7")]
    sampled_accounts: Vec<u8>,
    #[prost(uint32, tag = "8")]
    openings_per_sample: u32,
}

#[derive(Clone, PartialEq, Message)]
struct ForgedAggregate {
    #[prost(string, tag = "1")]
    data_centre: String,
    #[prost(uint32, tag = "2")]
    serial: u32,
    #[prost(uint32, tag = "4")]
    instances: u32,
    #[prost(message, repeated, tag = "5")]
    services: Vec<ForgedService>,
    #[prost(uint32, tag = "6")]
    loaded_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
struct ForgedService {
    #[prost(fixed32, tag = "1")]
    service_hash: u32,
    #[prost(uint32, repeated, tag = "2")]
    arrivals: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    work_us: Vec<u32>,
    #[prost(uint32, tag = "4")]
    running: u32,
}

fn datagram(load: ForgedLoad) -> Vec<u8> {
    let message = ForgedMessage { load: Some(load) }.encode_to_vec();
    let mut datagram = xxh3_64_with_seed(&message, 4).to_be_bytes().to_vec();
    datagram.extend(message);
    datagram
}

fn absurd_service(service_hash: u32) -> ForgedService {
    // The last pair lacks its second element.
    let values: Vec<_> = (0..41).map(|_| u32::MAX).collect();
    let arrivals = (0..20).flat_map(|priority| [priority, u32::MAX]).collect();
    ForgedService { service_hash, arrivals, work_us: values, running: u32::MAX }
}

// Guards against values that no instance can have and that would fill the view permanently.
#[test]
fn absurd_values_are_bounded_and_expire() {
    let mut fleet = reporting_fleet(&[8, 8], |_| true);
    report_constant_load(&mut fleet, 1_000, |_| 4.0);
    let from: SocketAddrV4 = fleet.instances[5].address;
    let forged_report = |port: u32| ForgedReport {
        ip: u32::from(*from.ip()),
        port,
        serial: u32::MAX,
        age_ms: 0,
        services: (0..200).chain([model_service().0]).map(absurd_service).collect(),
        sampled_accounts: vec![7; 1_001],
        openings_per_sample: u32::MAX,
    };
    let centre = |name: &str| ForgedAggregate {
        data_centre: name.to_owned(),
        serial: u32::MAX,
        instances: u32::MAX,
        services: vec![absurd_service(model_service().0)],
        loaded_ms: u32::MAX,
    };
    let load = ForgedLoad {
        is_remote: false,
        reports: [0, 70_000, 7_000].into_iter().chain(20_000..20_100).map(forged_report).collect(),
        aggregates: ["", "nowhere", "centre-0", "centre-1"].map(centre).to_vec(),
        fleet_clock_ms: u32::MAX / 3,
        is_loaded: true,
        is_fast: true,
    };
    fleet.inject_datagram(0, from, datagram(load.clone()));
    fleet.inject_datagram(1, from, datagram(ForgedLoad { is_remote: true, ..load }));
    report_constant_load(&mut fleet, 50, |_| 4.0);
    for instance in 0..2 {
        let view = fleet.load_view(instance).expect("reports load");
        let names: Vec<_> = view.centres.keys().map(CentreName::as_str).collect();
        assert!(names.iter().all(|name| name.starts_with("centre-")), "{names:?}");
        for centre in view.centres.values() {
            let max_value = 100_000.0 * f64::from(centre.instances);
            for load in centre.services.values() {
                let (arrivals, running) = (load.arrivals_per_s(), load.running.values().sum());
                assert!((0.0..=max_value).contains(&arrivals), "{arrivals} a second");
                assert!((0.0..=max_value).contains(&running), "{running} requests");
                assert!(load.priorities.len() <= 8);
                assert!(
                    load.priorities.values().all(|priority_load| priority_load.work_us <= 60e6)
                );
            }
        }
    }
    // Reports that aren't repeated expire, and so do aggregates.
    report_constant_load(&mut fleet, 3_200, |_| 4.0);
    for instance in 0..16 {
        for centre in ["centre-0", "centre-1"] {
            assert_viewed(&mut fleet, instance, centre, 32.0);
        }
    }
}
