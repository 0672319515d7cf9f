//! Refusals of new flows by instances without capacity, as the ledger judges them.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    thread::sleep,
    time::Duration,
};

use foxledge_flows::FlowKey;
use foxledge_soak::promises::PromiseLedger;

const PORT: u16 = 8_443;
/// The time after which instances must follow a published route, with a margin.
const CONVERGENCE_WAIT: Duration = Duration::from_millis(3_200);
/// The time after which an instance may no longer take a service for full, with a margin.
const SATURATION_WAIT: Duration = Duration::from_millis(700);

/// Creates a ledger with a service of two backend servers in two data centres, with two slots each,
/// and `busy` requests at each.
fn ledger(busy: [usize; 2]) -> PromiseLedger {
    let ledger = PromiseLedger::default();
    for (number, centre) in [(1, "toledo"), (2, "erie")] {
        ledger.backend_started(number, "desk", centre, 2);
    }
    ledger.route_published(PORT, Some("desk".to_owned()));
    sleep(CONVERGENCE_WAIT);
    for (number, count) in [(1, busy[0]), (2, busy[1])] {
        (0..count).for_each(|_| ledger.work_begun(number));
    }
    ledger
}

/// Refuses a flow and returns the number of breaches.
fn refuse_flow(ledger: &PromiseLedger) -> usize {
    let caller = SocketAddrV4::new(Ipv4Addr::new(127, 1, 4, 1), 40_001);
    let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), PORT);
    ledger.check_refusal(FlowKey { caller, service }, 0);
    ledger.breaches().len()
}

// Guards against a refusal that is accepted although a slot is free, because one data centre alone
// is full.
#[test]
fn refusal_with_a_free_slot_is_a_breach() {
    assert_eq!(refuse_flow(&ledger([2, 1])), 1);
    assert_eq!(refuse_flow(&ledger([3, 0])), 1);
}

// Guards against a breach for the refusal of a full service, and against accepting a refusal long
// after the service was full.
#[test]
fn refusal_of_a_full_service_is_allowed_for_a_while() {
    let ledger = ledger([3, 1]);
    assert_eq!(refuse_flow(&ledger), 0);
    ledger.work_ended(1);
    assert_eq!(refuse_flow(&ledger), 0);
    sleep(SATURATION_WAIT);
    assert_eq!(refuse_flow(&ledger), 1);
}

// Guards against a breach in a data centre that can't know of free slots in the other one, as
// messages between instances are lost.
#[test]
fn refusal_in_an_isolated_full_centre_is_allowed() {
    let ledger = ledger([2, 0]);
    ledger.record_peer_fault();
    assert_eq!(refuse_flow(&ledger), 0);
}

// Guards against urgent requests with a lower served share that aren't recorded as a breach.
#[test]
fn lower_served_share_of_urgent_requests_is_a_breach() {
    let ledger = PromiseLedger::default();
    for served in 0..100 {
        ledger.record_route_request_end(1, served < 90);
        ledger.record_route_request_end(2, served < 91);
    }
    ledger.check_urgent_share(1, 2);
    assert_eq!(ledger.breaches(), Vec::<String>::new());
    (0..10).for_each(|_| ledger.record_route_request_end(1, false));
    ledger.check_urgent_share(1, 2);
    assert_eq!(ledger.breaches().len(), 1);
}
