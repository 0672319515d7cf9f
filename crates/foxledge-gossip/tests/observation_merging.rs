//! The inferred health of a backend server depends on the set of observations alone, not on the
//! paths and the order by which they arrive.

use std::collections::BTreeMap;

use foxledge_core::time::ClockTime;
use foxledge_flows::ObservationKind;
use foxledge_gossip::backend_evidence::{
    BackendEvidence, InferredHealth, ObservationOrigin, ObservationRecord,
};
use proptest::prelude::*;

/// Time span of all observations of a sequence, in milliseconds: less than their time to live.
const SPAN_MS: u64 = 2_000;
const INSTANCES: usize = 3;

fn clock_at(millis: u64) -> ClockTime {
    ClockTime::from_micros(3_600_000_000 + millis * 1_000)
}

fn any_kind() -> impl Strategy<Value = ObservationKind> {
    prop_oneof![
        Just(ObservationKind::Alive),
        Just(ObservationKind::Suspect),
        Just(ObservationKind::Ejected),
        Just(ObservationKind::OpeningUnanswered),
        Just(ObservationKind::DataUnanswered),
    ]
}

fn any_records() -> impl Strategy<Value = Vec<ObservationRecord>> {
    prop::collection::vec((any_kind(), 0..SPAN_MS), 1..12).prop_map(|observed| {
        let record = |(index, (kind, millis)): (usize, (ObservationKind, u64))| ObservationRecord {
            id: index as u16,
            kind,
            observed_at: clock_at(millis),
        };
        observed.into_iter().enumerate().map(record).collect()
    })
}

fn evidence_of<'a>(records: impl IntoIterator<Item = &'a ObservationRecord>) -> BackendEvidence {
    let mut evidence = BackendEvidence::new(ObservationOrigin::SameCentre);
    for record in records {
        evidence.record(clock_at(SPAN_MS), *record);
    }
    evidence
}

/// Infers the health from a set of observations in the simplest possible way.
fn expected_health(records: &[ObservationRecord]) -> InferredHealth {
    let newest_alive = records
        .iter()
        .filter(|record| record.kind == ObservationKind::Alive)
        .map(|record| record.observed_at)
        .max();
    let unrefuted = records
        .iter()
        .filter(|record| newest_alive.is_none_or(|newest_alive| record.observed_at > newest_alive));
    let unrefuted: Vec<_> = unrefuted.collect();
    let count = |kind| unrefuted.iter().filter(|record| record.kind == kind).count();
    let mut suspicions: Vec<_> = unrefuted
        .iter()
        .filter(|record| record.kind == ObservationKind::Suspect)
        .map(|record| record.observed_at.as_micros())
        .collect();
    suspicions.sort_unstable();
    let are_overlapping = match suspicions[..] {
        [.., earlier, later] => later - earlier <= 300_000,
        _ => false,
    };
    match (
        count(ObservationKind::OpeningUnanswered) + count(ObservationKind::DataUnanswered),
        count(ObservationKind::DataUnanswered),
    ) {
        (2.., 1..) => InferredHealth::Dead,
        (1.., _) => InferredHealth::Unresponsive,
        _ if are_overlapping || count(ObservationKind::Ejected) > 0 => InferredHealth::Ejected,
        _ if !suspicions.is_empty() => InferredHealth::Suspected,
        _ => InferredHealth::Healthy,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    // Guards against instances that have the same observations and infer different health, so that
    // some send all new flows to a dead backend server. The result depended on the order in which
    // the observations arrived.
    #[test]
    fn health_is_independent_of_the_order_of_observations(
        (records, shuffled) in any_records().prop_flat_map(|records| {
            (Just(records.clone()), Just(records).prop_shuffle())
        })
    ) {
        let health = evidence_of(&records).inferred_health();
        prop_assert_eq!(health, expected_health(&records));
        prop_assert_eq!(evidence_of(&shuffled).inferred_health(), health);
        prop_assert_eq!(evidence_of(shuffled.iter().chain(&records)).inferred_health(), health);
    }

    // The records that an instance disseminates suffice for another to infer a health at least as
    // bad, whatever it knew before.
    #[test]
    fn disseminated_records_suffice(known in any_records(), records in any_records()) {
        let sender = evidence_of(&records);
        let sent: Vec<_> = sender.disseminated_records(clock_at(SPAN_MS)).collect();
        prop_assert_eq!(evidence_of(&sent).inferred_health(), sender.inferred_health());
        let rename =
            |record: &ObservationRecord| ObservationRecord { id: record.id + 100, ..*record };
        let known: Vec<_> = known.iter().map(rename).collect();
        let merged = evidence_of(known.iter().chain(&sent)).inferred_health();
        let union: Vec<_> = known.iter().chain(&records).copied().collect();
        // Observations that weren't sent can make the inferred health worse, never better.
        prop_assert!(
            merged <= expected_health(&union), "{:?} of {:?}", merged, expected_health(&union)
        );
    }

    // Guards against one alive observation that is forwarded a thousand times and fills messages.
    // Three instances forward what they infer, each time a little late, so that an observation
    // seems later at each hop; messages are lost and duplicated. A copy that seems later was taken
    // for another observation.
    #[test]
    fn each_observation_is_reported_once_per_instance(
        records in any_records(),
        hops in prop::collection::vec((0..INSTANCES, 0..INSTANCES, 0..60_u64), 1..60),
    ) {
        let mut instances = vec![BackendEvidence::new(ObservationOrigin::SameCentre); INSTANCES];
        let mut reports = BTreeMap::new();
        let mut records = records;
        records.sort_by_key(|record| record.observed_at);
        let steps = records.len().max(hops.len());
        for step in 0..steps {
            let now = clock_at(SPAN_MS * step as u64 / steps as u64);
            let observed = records.iter().enumerate().filter(|(_, record)| {
                record.observed_at <= now && !reports.contains_key(&(record.id, usize::MAX))
            });
            let observed: Vec<_> = observed.map(|(index, record)| (index, *record)).collect();
            for (index, record) in observed {
                reports.insert((record.id, usize::MAX), 1);
                if instances[index % INSTANCES].record(now, record).is_some() {
                    *reports.entry((record.id, index % INSTANCES)).or_insert(0) += 1;
                }
            }
            let Some((from, to, late_ms)) = hops.get(step).copied() else { continue };
            let sent: Vec<_> = instances[from].disseminated_records(now).collect();
            for record in sent {
                let late = ObservationRecord {
                    observed_at: record.observed_at.after_millis(late_ms), ..record
                };
                if instances[to].record(now, late).is_some() {
                    *reports.entry((record.id, to)).or_insert(0) += 1;
                }
            }
        }
        prop_assert!(reports.values().all(|times| *times == 1), "{:?}", reports);
    }
}

// Exhaustive small case: two instances, one backend server, and six observations in any order.
#[test]
fn all_720_orders_infer_the_same_health() {
    let kinds = [
        (ObservationKind::DataUnanswered, 100),
        (ObservationKind::Alive, 200),
        (ObservationKind::OpeningUnanswered, 300),
        (ObservationKind::Suspect, 320),
        (ObservationKind::DataUnanswered, 400),
        (ObservationKind::Suspect, 450),
    ];
    let records: Vec<_> = kinds
        .iter()
        .enumerate()
        .map(|(index, (kind, millis))| ObservationRecord {
            id: index as u16,
            kind: *kind,
            observed_at: clock_at(*millis),
        })
        .collect();
    let mut orders = vec![Vec::new()];
    for _ in 0..records.len() {
        let longer = |order: Vec<usize>| {
            let left: Vec<_> = (0..records.len()).filter(|index| !order.contains(index)).collect();
            left.into_iter().map(move |index| [order.clone(), vec![index]].concat())
        };
        orders = orders.into_iter().flat_map(longer).collect();
    }
    assert_eq!(orders.len(), 720);
    for order in orders {
        let sender = evidence_of(order.iter().map(|index| &records[*index]));
        assert_eq!(sender.inferred_health(), InferredHealth::Dead, "{order:?}");
        let sent: Vec<_> = sender.disseminated_records(clock_at(SPAN_MS)).collect();
        let receiver = evidence_of(order.iter().take(3).map(|index| &records[*index]).chain(&sent));
        assert_eq!(receiver.inferred_health(), InferredHealth::Dead, "{order:?}");
    }
}
