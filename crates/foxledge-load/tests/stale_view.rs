//! Views while no reports are received.

mod common;

use common::{aggregate, apply_all, at_ms, auction, local_load, north, reporter, south, table_of};
use foxledge_load::OverflowPlan;

// Guards against refusals based on a view that is 2 s old, as after a stall.
#[test]
fn marks_old_view_as_unreliable() {
    let mut table = table_of(19, at_ms(0));
    apply_all(&mut table, at_ms(0), 18, 1, 10.0);
    table.apply_aggregate(at_ms(0), aggregate(south(), 1, 300.0), at_ms(0));
    assert!(table.build_view(at_ms(400)).is_reliable);
    table.set_local_load(at_ms(2000), reporter(0, 1), local_load(10.0, 1.0));
    let view = table.build_view(at_ms(2000));
    assert!(!view.is_reliable);
    assert_eq!(view.centres.keys().collect::<Vec<_>>(), [&north()]);
}

// Guards against the report of this instance, which is always new, hiding that the others stopped
// reporting.
#[test]
fn takes_age_of_view_from_other_instances() {
    let mut table = table_of(19, at_ms(0));
    apply_all(&mut table, at_ms(0), 18, 1, 10.0);
    for step in 1..10 {
        let now = at_ms(step * 100);
        table.set_local_load(now, reporter(0, 1), local_load(10.0, 1.0));
        assert_eq!(table.build_view(now).centres[&north()].reported_at, at_ms(0));
    }
}

// Guards against flows sent away because of a view that is 2 s old.
#[test]
fn keeps_flows_local_with_old_view() {
    let slots = [(north(), 10.0), (south(), 100.0)].into();
    let mut table = table_of(1, at_ms(0));
    table.set_local_load(at_ms(0), reporter(0, 1), local_load(300.0, 1.0));
    table.apply_aggregate(at_ms(0), aggregate(south(), 1, 300.0), at_ms(0));
    let mut plan = OverflowPlan::new(north());
    plan.update(at_ms(0), &table.build_view(at_ms(0)).centre_capacities(auction(), &slots));
    assert!(plan.shares()[&south()] > 0.1);
    plan.update(at_ms(2000), &table.build_view(at_ms(2000)).centre_capacities(auction(), &slots));
    assert!(plan.shares().is_empty());
}
