//! Queries by token for backend servers that were removed before an instance started.

mod common;

use common::settled_fleet;
use foxledge_flows::{
    rows::{ListRow, RowValue},
    token_of,
};

const NUMBERS: std::ops::Range<u64> = 10..50;

fn removed_count(rows: &[ListRow]) -> usize {
    let is_removed = |row: &&ListRow| match &row.value {
        Some(RowValue::Removed(removed)) => {
            removed.backend.as_ref().is_some_and(|backend| NUMBERS.contains(&backend.number))
        }
        _ => false,
    };
    rows.iter().filter(is_removed).count()
}

// Guards against callers whose streams hang after power returns to a data centre, because its
// instances drop packets that name former backend servers. All backend servers of a data centre are
// removed, and its instances restart and read the store before others send them their list. Only
// the other data centre remembers the removed ones.
#[test]
fn starting_instances_resolve_tokens_of_removed_backends() {
    let mut fleet = settled_fleet(&[4, 4], 1);
    for number in NUMBERS {
        fleet.store.register(number, false);
    }
    fleet.answer_watches();
    fleet.run(2_000);
    for index in 0..4 {
        fleet.kill(index);
    }
    for number in NUMBERS {
        fleet.store.remove(number);
    }
    fleet.answer_watches();
    fleet.run(1_000);
    let is_across_centres = |first: usize, second: usize| (first < 4) != (second < 4);
    let pairs = (0..8).flat_map(|from| (0..8).map(move |to| (from, to)));
    fleet.cut_links = pairs.filter(|(from, to)| is_across_centres(*from, *to)).collect();
    for index in 0..4 {
        fleet.start(index);
    }
    fleet.run(1_000);
    fleet.cut_links.clear();
    fleet.run(3_000);
    for index in 0..4 {
        fleet.instances[index].applied_rows.clear();
        fleet.query_removed_backends(index, NUMBERS.map(token_of).collect());
    }
    fleet.run(100);
    for index in 0..4 {
        assert_eq!(
            removed_count(&fleet.instances[index].applied_rows),
            NUMBERS.count(),
            "instance {index}"
        );
    }
    // Known rows stay as they are, and a second response changes nothing.
    for index in 0..4 {
        fleet.instances[index].applied_rows.clear();
        fleet.query_removed_backends(index, NUMBERS.map(token_of).collect());
    }
    fleet.run(100);
    assert!((0..4).all(|index| fleet.instances[index].applied_rows.is_empty()));
    assert!(fleet.all_have_list(fleet.store.head));
}
