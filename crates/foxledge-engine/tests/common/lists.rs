//! Lists and backend servers for the tests.

use std::sync::Arc;

use foxledge_core::{
    lists::{
        FlowMatch, FlowRule, FlowTreatment, FullAction, KeySpec, ListVersion, MemberSpec,
        PaidPriority, RuleList, ServeTreatment, ServiceSpec, TargetSpec,
    },
    names::{CentreName, MemberName, RuleName, ServiceAddress, ServiceName},
};

use super::{CENTRE, target_address};

/// Returns a list with the services auction desk on `targets` and lot intake on `intake`.
pub fn test_list(revision: u64, targets: &[TargetSpec], intake: &[TargetSpec]) -> RuleList {
    let mut list = RuleList {
        version: ListVersion { revision, digest: revision },
        keys: vec![KeySpec { id: 1, secret: vec![7; 32] }],
        ..RuleList::default()
    };
    for (name, address, specs) in
        [("auction-desk", "auction", targets), ("lot-intake", "intake", intake)]
    {
        let service = ServiceSpec {
            name: ServiceName::new(name),
            addresses: vec![ServiceAddress::new(address)],
            queue_limit: 50,
            shards: 1,
            targets: specs.to_vec(),
        };
        list.services.insert(service.name.clone(), Arc::new(service));
        list.rules.push(FlowRule {
            name: RuleName::new(name),
            when: FlowMatch {
                addresses: vec![ServiceAddress::new(address)],
                ..FlowMatch::default()
            },
            then: FlowTreatment::Serve(ServeTreatment {
                service: ServiceName::new(name),
                priority: PaidPriority(1),
                weight: 1,
                member_limit: 0,
                when_full: FullAction::Queue,
            }),
        });
    }
    for member in ["bricks", "tiles"] {
        let name = MemberName::new(member);
        list.members.insert(name.clone(), MemberSpec { name, secret: Vec::new() });
    }
    list
}

/// Returns a backend server with two slots and the given published incarnation.
pub fn target_spec(index: usize, incarnation: u64) -> TargetSpec {
    TargetSpec {
        name: format!("t{index}").as_str().into(),
        address: target_address(index),
        incarnation,
        data_centre: CentreName::new(CENTRE),
        slots: 2,
        connections: 100,
        draining: false,
    }
}
