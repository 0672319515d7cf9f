//! Exchange of summaries between data centres.

mod common;

use std::time::Duration;

use common::{Fleet, control};
use foxledge_core::lists::ListVersion;

const CENTRES: [&str; 3] = ["toledo", "erie", "duluth"];

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Starts `size` instances in each data centre, seeded with one instance of each.
fn start_fleet(size: usize) -> Fleet {
    let mut fleet = Fleet::new(31);
    let seeds: Vec<_> = (0..CENTRES.len()).map(|centre| control(centre * size)).collect();
    for centre in CENTRES {
        for number in 0..size {
            fleet.start(&format!("{centre}-{number}"), 1, centre, seeds.clone());
        }
    }
    fleet
}

fn all_reach_centres(fleet: &Fleet, centres: usize) -> bool {
    fleet.running().all(|(index, _)| fleet.view(index).reachable_centres.len() == centres)
}

#[test]
fn lists_reachable_centres_at_every_instance() {
    let mut fleet = start_fleet(12);
    assert!(fleet.run_until(seconds(20), |fleet| all_reach_centres(fleet, 3) && fleet.agrees()));
    for _ in 0..300 {
        fleet.run(Duration::from_millis(200));
        assert!(all_reach_centres(&fleet, 3), "summaries arrive before the timeout");
    }
    // A view contains no instances of other data centres.
    assert_eq!(fleet.view(0).peers.len(), 12);
}

// Guards against flows sent to an unreachable data centre, and against a heal that goes undetected.
// One of three data centres is partitioned for half a minute. A summary relayed inside a data
// centre always looks new unless its number is compared.
#[test]
fn drops_a_partitioned_centre_and_restores_it_after_the_heal() {
    let mut fleet = start_fleet(12);
    assert!(fleet.run_until(seconds(20), |fleet| all_reach_centres(fleet, 3)));
    let (rest, erie): (Vec<_>, Vec<_>) = (0..36).partition(|index| !(12..24).contains(index));
    fleet.split(&rest, &erie);
    let is_partitioned = |fleet: &Fleet| {
        let reached = |index: &usize| fleet.view(*index).reachable_centres.len();
        rest.iter().all(|index| reached(index) == 2) && erie.iter().all(|index| reached(index) == 1)
    };
    assert!(fleet.run_until(seconds(15), is_partitioned));
    fleet.run(seconds(20));
    assert!(is_partitioned(&fleet));
    fleet.heal();
    assert!(fleet.run_until(seconds(15), |fleet| all_reach_centres(fleet, 3)));
}

#[test]
fn reports_newer_list_versions_across_centres() {
    let mut fleet = start_fleet(6);
    assert!(fleet.run_until(seconds(20), |fleet| all_reach_centres(fleet, 3)));
    let version = ListVersion { revision: 5, digest: 55 };
    for index in 0..6 {
        fleet.nodes[index].member.set_list_version(version);
    }
    let erie_received = |fleet: &Fleet| {
        fleet.nodes[6..12]
            .iter()
            .any(|node| node.versions.iter().any(|reported| reported.1 == version))
    };
    assert!(fleet.run_until(seconds(10), erie_received));
}

#[test]
fn discovers_a_centre_through_a_third_centre() {
    let mut fleet = Fleet::new(32);
    fleet.start("a", 1, "toledo", vec![control(1)]);
    fleet.start("b", 1, "erie", vec![]);
    fleet.start("c", 1, "duluth", vec![control(1)]);
    assert!(fleet.run_until(seconds(20), |fleet| all_reach_centres(fleet, 3)));
}

#[test]
fn reaches_a_centre_after_all_its_contacts_were_replaced() {
    let mut fleet = start_fleet(4);
    assert!(fleet.run_until(seconds(20), |fleet| all_reach_centres(fleet, 3)));
    for old in 4..8 {
        let seeds = (4..8).map(control).collect();
        fleet.start(&format!("erie-new-{old}"), 1, "erie", seeds);
        fleet.run(seconds(5));
        fleet.kill(old);
    }
    assert!(fleet.run_until(seconds(30), |fleet| all_reach_centres(fleet, 3) && fleet.agrees()));
}

// Guards against single instances that consider a data centre unreachable which all others reach.
// With 300 instances, seven other data centres and no failures, a summary relayed four times misses
// some instances three times in a row.
#[test]
fn relays_summaries_to_all_instances_of_a_large_centre() {
    let mut fleet = Fleet::new(33);
    let seeds = vec![control(0), control(1)];
    for number in 0..300 {
        fleet.start(&format!("toledo-{number}"), 1, "toledo", seeds.clone());
    }
    for number in 0..7 {
        fleet.start(&format!("other-{number}"), 1, &format!("centre-{number}"), seeds.clone());
    }
    assert!(fleet.run_until(seconds(20), |fleet| fleet.agrees() && all_reach_centres(fleet, 8)));
    for _ in 0..120 {
        fleet.run(Duration::from_millis(250));
        assert!(all_reach_centres(&fleet, 8));
    }
}

// Guards against a view change at every instance each second. Two instances of a data centre write
// its summary in turn, and each names itself first, so the contacts of the newest summary alone
// change all the time.
#[test]
fn keeps_contacts_stable_when_summaries_have_different_authors() {
    let mut fleet = start_fleet(6);
    assert!(fleet.run_until(seconds(20), |fleet| all_reach_centres(fleet, 3) && fleet.agrees()));
    fleet.run(seconds(10));
    let before = fleet.view(0).contacts.clone();
    for centre in ["erie", "duluth"] {
        let count = before.iter().filter(|contact| contact.data_centre.as_str() == centre).count();
        assert!((1..=6).contains(&count), "{count} contacts of {centre}");
    }
    assert!(before.iter().all(|contact| contact.data_centre.as_str() != "toledo"));
    let mut changes = 0;
    let mut last = before;
    for _ in 0..300 {
        fleet.run(Duration::from_millis(200));
        let now = fleet.view(0).contacts.clone();
        changes += usize::from(now != last);
        last = now;
    }
    assert!(changes <= 6, "contacts changed {changes} times in a minute");
}
