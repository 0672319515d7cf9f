//! A data centre that becomes unreachable and returns.

mod common;

use common::{
    aggregate, apply_all, arrivals_of, assert_near, at_ms, auction, north, south, table_of,
};
use foxledge_core::names::CentreName;
use foxledge_load::OverflowPlan;

// Guards against decisions based on the old load of an unreachable data centre.
#[test]
fn expires_aggregate_of_unreachable_centre() {
    let mut table = table_of(19, at_ms(0));
    table.set_alive_centres(vec![south()]);
    assert_eq!(table.build_view(at_ms(0)).unreported_centres, [south()]);
    table.apply_aggregate(at_ms(0), aggregate(south(), 100, 300.0), at_ms(0));
    let view = table.build_view(at_ms(1999));
    assert!(view.centres.contains_key(&south()) && view.unreported_centres.is_empty());
    let view = table.build_view(at_ms(2000));
    assert!(!view.centres.contains_key(&south()));
    assert_eq!(view.unreported_centres, [south()]);
}

// Guards against a network partition making the load of the local data centre unknown.
#[test]
fn keeps_local_aggregate_during_partition() {
    let mut table = table_of(19, at_ms(0));
    table.apply_aggregate(at_ms(0), aggregate(south(), 100, 300.0), at_ms(0));
    for round in 0..30 {
        let now = at_ms(round * 100);
        apply_all(&mut table, now, 18, round as u32 + 1, 10.0);
        assert_near(arrivals_of(&table.local_aggregate(now)), 190.0);
        assert!(table.build_view(now).is_reliable);
    }
}

// Guards against an aggregate from before a partition replacing a newer one from after it.
#[test]
fn uses_newest_aggregate_after_partition() {
    let mut table = table_of(19, at_ms(0));
    table.apply_aggregate(at_ms(0), aggregate(south(), 100, 300.0), at_ms(0));
    table.remove_expired(at_ms(5000));
    assert!(table.apply_aggregate(at_ms(5000), aggregate(south(), 5100, 200.0), at_ms(5000)));
    assert!(!table.apply_aggregate(at_ms(5010), aggregate(south(), 4100, 900.0), at_ms(4000)));
    assert!(!table.apply_aggregate(at_ms(5010), aggregate(south(), 5050, 900.0), at_ms(5010)));
    let view = table.build_view(at_ms(5010));
    assert_near(view.centres[&south()].services[&auction()].arrivals_per_s(), 200.0);
}

// Guards against an older aggregate from an instance whose fleet clock is far behind replacing a
// newer one.
#[test]
fn ignores_older_aggregate_of_slower_clock() {
    let mut table = table_of(19, at_ms(0));
    assert!(table.apply_aggregate(at_ms(9000), aggregate(south(), 9000, 300.0), at_ms(8900)));
    assert!(!table.apply_aggregate(at_ms(9000), aggregate(south(), 50, 900.0), at_ms(8000)));
}

// Guards against an aggregate of the local data centre, relayed by another one, taking the place of
// its reports.
#[test]
fn ignores_aggregate_of_local_centre() {
    let mut table = table_of(19, at_ms(0));
    assert!(!table.apply_aggregate(at_ms(0), aggregate(north(), 1, 900.0), at_ms(0)));
}

// Guards against flows being sent to an unreachable data centre, and all at once when it returns.
#[test]
fn resumes_overflow_in_steps_after_partition() {
    let slots = [(north(), 60.0), (south(), 60.0), (CentreName::new("west"), 60.0)].into();
    let mut table = table_of(1, at_ms(0));
    let mut plan = OverflowPlan::new(north());
    let mut before = 0.0;
    for step in 0..200 {
        let now = at_ms(step * 50);
        table.set_local_load(now, common::reporter(0, 1), common::local_load(1200.0, 70.0));
        table.apply_aggregate(
            now,
            aggregate(CentreName::new("west"), step as u32 * 50, 300.0),
            now,
        );
        let is_unreachable = (40..100).contains(&step);
        if !is_unreachable {
            table.apply_aggregate(now, aggregate(south(), step as u32 * 50, 300.0), now);
        }
        plan.update(now, &table.build_view(now).centre_capacities(auction(), &slots));
        let share = plan.shares().get(&south()).copied().unwrap_or_default();
        let total: f64 = plan.shares().values().sum();
        assert!(share - before <= 0.5 * (1.0 - 48.0 / 72.0) / 2.0 + 1e-9, "{before} to {share}");
        assert!(total <= 1.0 - 48.0 / 72.0 + 1e-9);
        if (80..100).contains(&step) {
            assert_eq!(share, 0.0);
        }
        before = share;
    }
    assert_near((before * 1000.0).round(), 167.0);
}
