//! What the ledger holds against instances that refuse for want of room.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    thread::sleep,
    time::Duration,
};

use foxledge_flows::FlowKey;
use foxledge_soak::promises::PromiseLedger;

const PORT: u16 = 8_443;
/// Time after which a published route must be obeyed, with some more.
const OBEYED: Duration = Duration::from_millis(3_200);
/// Time after which a view of a full service is too old, with some more.
const LAPSED: Duration = Duration::from_millis(700);

/// A service of two backend servers in two data centres, two slots each, of which some are busy.
fn ledger(busy: [usize; 2]) -> PromiseLedger {
    let ledger = PromiseLedger::default();
    for (number, centre) in [(1, "toledo"), (2, "erie")] {
        ledger.backend_started(number, "desk", centre, 2);
    }
    ledger.route_published(PORT, Some("desk".to_owned()));
    sleep(OBEYED);
    for (number, count) in [(1, busy[0]), (2, busy[1])] {
        (0..count).for_each(|_| ledger.work_begun(number));
    }
    ledger
}

/// Refuses a flow; the number of broken promises then.
fn refuse(ledger: &PromiseLedger) -> usize {
    let caller = SocketAddrV4::new(Ipv4Addr::new(127, 1, 4, 1), 40_001);
    let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), PORT);
    ledger.check_refusal(FlowKey { caller, service }, 0);
    ledger.breaches().len()
}

// A refusal passes while a slot is free, as one data centre alone is full.
#[test]
fn free_slot_seen() {
    assert_eq!(refuse(&ledger([2, 1])), 1);
    assert_eq!(refuse(&ledger([3, 0])), 1);
}

// A refusal of a full service counts as broken, or one long after it was full passes.
#[test]
fn full_service_refuses() {
    let ledger = ledger([3, 1]);
    assert_eq!(refuse(&ledger), 0);
    ledger.work_ended(1);
    assert_eq!(refuse(&ledger), 0);
    sleep(LAPSED);
    assert_eq!(refuse(&ledger), 1);
}

// A data centre that can't know of the others' free slots counts as wrong.
#[test]
fn cut_centre_refuses() {
    let ledger = ledger([2, 0]);
    ledger.record_peer_fault();
    assert_eq!(refuse(&ledger), 0);
}

// Urgent requests are served worse, and no promise is broken.
#[test]
fn urgent_worse_seen() {
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
