//! Views while nothing is heard any more.

mod common;

use common::{at_ms, auction, north, own_load, south, sum, table_of, take_all, teller};
use foxledge_load::OverflowPlan;

// Guards against refusals by a view that is 2 s old, as after a stall.
#[test]
fn old_view_is_unsure() {
    let mut table = table_of(19, at_ms(0));
    take_all(&mut table, at_ms(0), 18, 1, 10.0);
    table.apply_aggregate(at_ms(0), sum(south(), 1, 300.0), at_ms(0));
    assert!(table.build_view(at_ms(400)).is_reliable);
    table.set_local_load(at_ms(2000), teller(0, 1), own_load(10.0, 1.0));
    let view = table.build_view(at_ms(2000));
    assert!(!view.is_reliable);
    assert_eq!(view.centres.keys().collect::<Vec<_>>(), [&north()]);
}

// Guards against the own part, which is always new, hiding that others went silent.
#[test]
fn age_is_that_of_others() {
    let mut table = table_of(19, at_ms(0));
    take_all(&mut table, at_ms(0), 18, 1, 10.0);
    for step in 1..10 {
        let now = at_ms(step * 100);
        table.set_local_load(now, teller(0, 1), own_load(10.0, 1.0));
        assert_eq!(table.build_view(now).centres[&north()].reported_at, at_ms(0));
    }
}

// Guards against flows leaving by a view that is 2 s old.
#[test]
fn old_view_keeps_flows_near() {
    let slots = [(north(), 10.0), (south(), 100.0)].into();
    let mut table = table_of(1, at_ms(0));
    table.set_local_load(at_ms(0), teller(0, 1), own_load(300.0, 1.0));
    table.apply_aggregate(at_ms(0), sum(south(), 1, 300.0), at_ms(0));
    let mut plan = OverflowPlan::new(north());
    plan.update(at_ms(0), &table.build_view(at_ms(0)).centre_capacities(auction(), &slots));
    assert!(plan.shares()[&south()] > 0.1);
    plan.update(at_ms(2000), &table.build_view(at_ms(2000)).centre_capacities(auction(), &slots));
    assert!(plan.shares().is_empty());
}
