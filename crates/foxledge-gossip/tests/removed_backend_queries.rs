//! Queries by token for backend servers that were removed before an instance started.

mod common;

use common::settled_fleet;
use foxledge_flows::{
    rows::{ListRow, RowValue},
    token_of,
};

const NUMBERS: std::ops::Range<u64> = 10..50;

fn vanished_at(rows: &[ListRow]) -> usize {
    let is_gone = |row: &&ListRow| match &row.value {
        Some(RowValue::Removed(removed)) => {
            removed.backend.as_ref().is_some_and(|one| NUMBERS.contains(&one.number))
        }
        _ => false,
    };
    rows.iter().filter(is_gone).count()
}

// Guards against callers whose streams hang after power returns to a data centre, because its
// instances drop packets that name former backend servers. All backend servers of a data centre are
// removed, and its instances restart and read the store before others send them their list. Only
// the other data centre remembers the removed ones.
#[test]
fn starters_ask() {
    let mut fleet = settled_fleet(&[4, 4], 1);
    for number in NUMBERS {
        fleet.store.register(number, false);
    }
    fleet.answer_watches();
    fleet.run(2_000);
    for member in 0..4 {
        fleet.kill(member);
    }
    for number in NUMBERS {
        fleet.store.remove(number);
    }
    fleet.answer_watches();
    fleet.run(1_000);
    let far = |one: usize, other: usize| (one < 4) != (other < 4);
    let pairs = (0..8).flat_map(|from| (0..8).map(move |to| (from, to)));
    fleet.cut_links = pairs.filter(|(from, to)| far(*from, *to)).collect();
    for member in 0..4 {
        fleet.start(member);
    }
    fleet.run(1_000);
    fleet.cut_links.clear();
    fleet.run(3_000);
    for member in 0..4 {
        fleet.instances[member].applied_rows.clear();
        fleet.query_removed_backends(member, NUMBERS.map(token_of).collect());
    }
    fleet.run(100);
    for member in 0..4 {
        assert_eq!(
            vanished_at(&fleet.instances[member].applied_rows),
            NUMBERS.count(),
            "instance {member}"
        );
    }
    // Known rows stay as they are, and a second response changes nothing.
    for member in 0..4 {
        fleet.instances[member].applied_rows.clear();
        fleet.query_removed_backends(member, NUMBERS.map(token_of).collect());
    }
    fleet.run(100);
    assert!((0..4).all(|member| fleet.instances[member].applied_rows.is_empty()));
    assert!(fleet.all_have_list(fleet.store.head));
}
