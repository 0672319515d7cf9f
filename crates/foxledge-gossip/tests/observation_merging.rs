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

fn at(millis: u64) -> ClockTime {
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

fn any_signs() -> impl Strategy<Value = Vec<ObservationRecord>> {
    prop::collection::vec((any_kind(), 0..SPAN_MS), 1..12).prop_map(|seen| {
        let sign = |(index, (kind, millis)): (usize, (ObservationKind, u64))| ObservationRecord {
            id: index as u16,
            kind,
            observed_at: at(millis),
        };
        seen.into_iter().enumerate().map(sign).collect()
    })
}

fn evidence_of<'a>(signs: impl IntoIterator<Item = &'a ObservationRecord>) -> BackendEvidence {
    let mut evidence = BackendEvidence::new(ObservationOrigin::SameCentre);
    for sign in signs {
        evidence.record(at(SPAN_MS), *sign);
    }
    evidence
}

/// Infers the health from a set of observations in the simplest possible way.
fn meaning(signs: &[ObservationRecord]) -> InferredHealth {
    let life = signs
        .iter()
        .filter(|sign| sign.kind == ObservationKind::Alive)
        .map(|sign| sign.observed_at)
        .max();
    let standing = signs.iter().filter(|sign| life.is_none_or(|life| sign.observed_at > life));
    let standing: Vec<_> = standing.collect();
    let count = |kind| standing.iter().filter(|sign| sign.kind == kind).count();
    let mut suspicions: Vec<_> = standing
        .iter()
        .filter(|sign| sign.kind == ObservationKind::Suspect)
        .map(|sign| sign.observed_at.as_micros())
        .collect();
    suspicions.sort_unstable();
    let are_close = match suspicions[..] {
        [.., one, other] => other - one <= 300_000,
        _ => false,
    };
    match (
        count(ObservationKind::OpeningUnanswered) + count(ObservationKind::DataUnanswered),
        count(ObservationKind::DataUnanswered),
    ) {
        (2.., 1..) => InferredHealth::Dead,
        (1.., _) => InferredHealth::Unresponsive,
        _ if are_close || count(ObservationKind::Ejected) > 0 => InferredHealth::Ejected,
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
    fn order_is_nothing((signs, shuffled) in any_signs().prop_flat_map(|signs| {
        (Just(signs.clone()), Just(signs).prop_shuffle())
    })) {
        let belief = evidence_of(&signs).inferred_health();
        prop_assert_eq!(belief, meaning(&signs));
        prop_assert_eq!(evidence_of(&shuffled).inferred_health(), belief);
        prop_assert_eq!(evidence_of(shuffled.iter().chain(&signs)).inferred_health(), belief);
    }

    // The records that an instance disseminates suffice for another to infer a health at least as
    // bad, whatever it knew before.
    #[test]
    fn told_is_enough(known in any_signs(), signs in any_signs()) {
        let teller = evidence_of(&signs);
        let told: Vec<_> = teller.disseminated_records(at(SPAN_MS)).collect();
        prop_assert_eq!(evidence_of(&told).inferred_health(), teller.inferred_health());
        let rename = |sign: &ObservationRecord| ObservationRecord { id: sign.id + 100, ..*sign };
        let known: Vec<_> = known.iter().map(rename).collect();
        let merged = evidence_of(known.iter().chain(&told)).inferred_health();
        let union: Vec<_> = known.iter().chain(&signs).copied().collect();
        // Observations that weren't sent can make the inferred health worse, never better.
        prop_assert!(merged <= meaning(&union), "{:?} of {:?}", merged, meaning(&union));
    }

    // Guards against one alive observation that is forwarded a thousand times and fills messages.
    // Three instances forward what they infer, each time a little late, so that an observation
    // seems later at each hop; messages are lost and duplicated. A copy that seems later was taken
    // for another observation.
    #[test]
    fn news_only_once(
        signs in any_signs(),
        hops in prop::collection::vec((0..INSTANCES, 0..INSTANCES, 0..60_u64), 1..60),
    ) {
        let mut all = vec![BackendEvidence::new(ObservationOrigin::SameCentre); INSTANCES];
        let mut news = BTreeMap::new();
        let mut signs = signs;
        signs.sort_by_key(|sign| sign.observed_at);
        let steps = signs.len().max(hops.len());
        for step in 0..steps {
            let now = at(SPAN_MS * step as u64 / steps as u64);
            let seen = signs.iter().enumerate().filter(|(_, sign)| {
                sign.observed_at <= now && !news.contains_key(&(sign.id, usize::MAX))
            });
            let seen: Vec<_> = seen.map(|(index, sign)| (index, *sign)).collect();
            for (index, sign) in seen {
                news.insert((sign.id, usize::MAX), 1);
                if all[index % INSTANCES].record(now, sign).is_some() {
                    *news.entry((sign.id, index % INSTANCES)).or_insert(0) += 1;
                }
            }
            let Some((from, to, late_ms)) = hops.get(step).copied() else { continue };
            let told: Vec<_> = all[from].disseminated_records(now).collect();
            for sign in told {
                let late = ObservationRecord { observed_at: sign.observed_at.after_millis(late_ms), ..sign };
                if all[to].record(now, late).is_some() {
                    *news.entry((sign.id, to)).or_insert(0) += 1;
                }
            }
        }
        prop_assert!(news.values().all(|times| *times == 1), "{:?}", news);
    }
}

// Exhaustive small case: two instances, one backend server, and six observations in any order.
#[test]
fn all_orders_agree() {
    let kinds = [
        (ObservationKind::DataUnanswered, 100),
        (ObservationKind::Alive, 200),
        (ObservationKind::OpeningUnanswered, 300),
        (ObservationKind::Suspect, 320),
        (ObservationKind::DataUnanswered, 400),
        (ObservationKind::Suspect, 450),
    ];
    let signs: Vec<_> = kinds
        .iter()
        .enumerate()
        .map(|(index, (kind, millis))| ObservationRecord {
            id: index as u16,
            kind: *kind,
            observed_at: at(*millis),
        })
        .collect();
    let mut orders = vec![Vec::new()];
    for _ in 0..signs.len() {
        let longer = |order: Vec<usize>| {
            let left: Vec<_> = (0..signs.len()).filter(|index| !order.contains(index)).collect();
            left.into_iter().map(move |index| [order.clone(), vec![index]].concat())
        };
        orders = orders.into_iter().flat_map(longer).collect();
    }
    assert_eq!(orders.len(), 720);
    for order in orders {
        let one = evidence_of(order.iter().map(|index| &signs[*index]));
        assert_eq!(one.inferred_health(), InferredHealth::Dead, "{order:?}");
        let told: Vec<_> = one.disseminated_records(at(SPAN_MS)).collect();
        let other = evidence_of(order.iter().take(3).map(|index| &signs[*index]).chain(&told));
        assert_eq!(other.inferred_health(), InferredHealth::Dead, "{order:?}");
    }
}
