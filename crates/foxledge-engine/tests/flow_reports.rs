//! Explanations and audit entries about an instance's decisions.

mod common;

use common::{
    TestNet, address, data_address,
    packets::{bid_packet, refusals},
    target_address,
};
use foxledge_core::{
    audit::{AuditChange, AuditKind},
    time::ClockTime,
    traffic::TrafficKind,
};
use foxledge_engine::{EngineEffect, EngineOptions, ExplainQuery};
use foxledge_wire::flow::{Packet, RunOutcome};

/// The entry instance audits a request once when its home has died and the outcome is unknown.
#[test]
fn audits_unknown_outcome_once() {
    let mut net = TestNet::new(2, 5, EngineOptions::default());
    let ticket = net.obtain_ticket(1, 0, "auction").unwrap();
    let home = net.issuing_instance();
    net.kill(home);
    let entry = net.engines[1 - home].as_mut().unwrap();
    let bid = Packet { ticket, ..bid_packet(1, 1, 1, "auction") };
    let mut effects = Vec::new();
    let mut now = net.now;
    effects.extend(entry.on_datagram(now, address(5001), &foxledge_wire::encode_packet(&bid)));
    for _ in 0..200 {
        now = ClockTime::from_micros(now.as_micros() + 10_000);
        effects.extend(entry.on_tick(now));
    }
    let audit_count = effects.iter().filter(|e| matches!(e, EngineEffect::Audit(_))).count();
    assert_eq!(audit_count, 1, "one request has an unknown outcome");
    let explanation = entry.explain(&bid_query(1));
    assert!(explanation.flow_events.iter().any(|event| event.text.contains("Unknown")));
    assert_eq!(explanation.target, None, "this instance sent it to no backend server");
}

/// The explanation names the backend server that served the flow.
#[test]
fn explanation_names_target_of_latest_request() {
    let mut net = TestNet::new(1, 5, EngineOptions::default());
    let bid = Packet { idempotent: true, ..bid_packet(1, 1, 1, "auction") };
    net.send(1, 0, &bid);
    net.run_for(500);
    let engine = net.engines[0].as_ref().unwrap();
    let explanation = engine.explain(&bid_query(1));
    let serving_target = net.targets.iter().find(|target| !target.runs.is_empty()).unwrap();
    let expected = format!("{}@{}", serving_target.spec.name, serving_target.spec.address);
    let json = serde_json::to_value(&explanation).unwrap();
    assert_eq!(json["target"], expected.as_str());
    assert_eq!(json["flow_events"][0]["target"], expected.as_str());
    assert_eq!(engine.explain(&bid_query(2)).target, None, "no request of that flow was sent");
}

/// Sends one bid with a ticket per caller while all responses of backend servers are lost. Returns
/// the audit entries of the home about these bids.
fn audit_lost_bids(callers: u64) -> Vec<AuditChange> {
    let mut net = TestNet::new(1, 5, EngineOptions::default());
    let mut bids = Vec::new();
    for caller in 1..=callers {
        let ticket = net.obtain_ticket(caller, 0, "auction").unwrap();
        bids.push(Packet { ticket, ..bid_packet(caller, caller, 1, "auction") });
    }
    cut_answers(&mut net);
    for bid in &bids {
        net.send(bid.caller, 0, bid);
    }
    net.run_for(5_000);
    for caller in 1..=callers {
        assert_eq!(refusals(&net.drain_answers(caller)), [RunOutcome::Unknown]);
    }
    net.audit_changes_of(AuditKind::FlowDecided)
}

fn cut_answers(net: &mut TestNet) {
    for target in 0..2 {
        net.cut_links.insert((target_address(target), data_address(0)));
    }
}

/// A bid with a ticket is dispatched, and its backend server stops responding. The home once left
/// the audit entry out, because its record of an open request has no ticket and the bid was taken
/// for idempotent.
#[test]
fn home_audits_bid_lost_at_unresponsive_target() {
    let expected = AuditChange::new(AuditKind::FlowDecided, "flow 0000000000000001 request 1")
        .with_values("", "refused Unknown TargetLost")
        .with_cause("may have run", "engine");
    assert_eq!(audit_lost_bids(1), [expected]);
}

/// Three bids end with an unknown outcome within 100 ms. Without the limit at the home, the
/// requests of one dead backend server would evict all other changes from the audit trail.
#[test]
fn limits_audit_entries_for_unknown_outcomes() {
    assert_eq!(audit_lost_bids(3).len(), 1);
}

/// The caller can safely repeat idempotent work, so its loss is not audited.
#[test]
fn does_not_audit_lost_idempotent_request() {
    let mut net = TestNet::new(1, 5, EngineOptions::default());
    cut_answers(&mut net);
    net.send(1, 0, &Packet { idempotent: true, ..bid_packet(1, 1, 1, "auction") });
    net.run_for(5_000);
    assert_eq!(refusals(&net.drain_answers(1)), [RunOutcome::Unknown]);
    assert!(
        net.audit_changes_of(AuditKind::FlowDecided).is_empty(),
        "its caller may repeat the request"
    );
}

/// One backend server is published as draining, another reports that it drains. A published drain
/// was once audited twice in different words, by the engine and by the scheduler.
#[test]
fn audits_each_drain_change_once() {
    let mut net = TestNet::new(1, 5, EngineOptions::default());
    net.targets[0].spec.draining = true;
    net.apply_list(0, net.current_list(2));
    net.targets[1].draining = true;
    net.run_for(5_000);
    net.targets[0].spec.draining = false;
    net.apply_list(0, net.current_list(3));
    let drain = |subject: &str, old: &str, new: &str, cause: &str, source: &str| {
        AuditChange::new(AuditKind::TargetDraining, subject)
            .with_values(old, new)
            .with_cause(cause, source)
    };
    let expected = [
        drain("auction-desk/t0", "open", "draining", "published", "list"),
        drain("auction-desk/t1", "open", "draining", "reported", "observation"),
        drain("auction-desk/t0", "draining", "open", "published", "list"),
    ];
    assert_eq!(net.audit_changes_of(AuditKind::TargetDraining), expected);
}

fn bid_query(flow: u64) -> ExplainQuery {
    ExplainQuery {
        address: "auction".into(),
        member: "bricks".into(),
        kind: TrafficKind::Bid,
        flow,
    }
}
