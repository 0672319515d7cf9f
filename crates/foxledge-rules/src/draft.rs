//! A list as read from its parts, before it is checked as a whole.

use foxledge_core::{
    lists::{FlowMatch, FullAction, KeySpec, MemberSpec, PaidPriority, TargetSpec},
    names::{RuleName, ServiceAddress, ServiceName},
};

use crate::sources::ListSpot;

/// `ListDraft` is everything that could be read.
///
/// Invariant: what couldn't be read is left out or none, and a finding says why.
#[derive(Debug, Default)]
pub(crate) struct ListDraft {
    pub(crate) rules: Vec<RuleDraft>,
    pub(crate) services: Vec<ServiceDraft>,
    pub(crate) targets: Vec<TargetDraft>,
    pub(crate) members: Vec<MemberDraft>,
    pub(crate) keys: Vec<KeyDraft>,
}

/// `RuleDraft` is one rule.
#[derive(Debug)]
pub(crate) struct RuleDraft {
    pub(crate) spot: ListSpot,
    pub(crate) name_spot: ListSpot,
    pub(crate) name: Option<RuleName>,
    pub(crate) when: FlowMatch,
    pub(crate) address_spots: Vec<ListSpot>,
    pub(crate) member_spots: Vec<ListSpot>,
    pub(crate) then: Option<ThenDraft>,
    /// True while no finding says that what it matches was read wrong.
    pub(crate) is_sound: bool,
}

/// `ThenDraft` is what a rule decides.
#[derive(Debug)]
pub(crate) enum ThenDraft {
    Deny,
    Serve(ServeDraft),
}

/// `ServeDraft` is how a matched flow is served.
#[derive(Debug)]
pub(crate) struct ServeDraft {
    pub(crate) service: ServiceName,
    pub(crate) service_spot: ListSpot,
    pub(crate) priority: PaidPriority,
    pub(crate) weight: u32,
    pub(crate) member_limit: u32,
    pub(crate) when_full: FullAction,
}

/// `ServiceDraft` is one service without its targets.
#[derive(Debug)]
pub(crate) struct ServiceDraft {
    pub(crate) spot: ListSpot,
    pub(crate) name_spot: ListSpot,
    pub(crate) name: Option<ServiceName>,
    pub(crate) addresses: Vec<(ServiceAddress, ListSpot)>,
    pub(crate) queue_limit: u32,
    pub(crate) shards: u32,
    pub(crate) shards_spot: ListSpot,
}

/// `TargetDraft` is one target and the service that it belongs to.
#[derive(Debug)]
pub(crate) struct TargetDraft {
    pub(crate) name_spot: ListSpot,
    pub(crate) service: ServiceName,
    pub(crate) service_spot: ListSpot,
    pub(crate) target: TargetSpec,
    pub(crate) address_spot: ListSpot,
}

/// `MemberDraft` is one member.
#[derive(Debug)]
pub(crate) struct MemberDraft {
    pub(crate) spot: ListSpot,
    pub(crate) member: MemberSpec,
}

/// `KeyDraft` is one key.
#[derive(Debug)]
pub(crate) struct KeyDraft {
    pub(crate) spot: ListSpot,
    pub(crate) key: KeySpec,
}
