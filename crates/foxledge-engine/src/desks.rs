//! The desks of a home, one for each shard of a service.

use std::{collections::BTreeMap, sync::Arc};

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::{RuleList, ServiceSpec, TargetSpec},
    names::{InstanceName, ServiceName},
    peers::PeerView,
    time::ClockTime,
};
use foxledge_policy::{SchedulerEffect, SchedulerOptions, ShardScheduler, policy_by_name};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::placement::{DeskKey, HomePlacement};

/// Ranks of instances that probe a desk's targets: the home and its successor.
///
/// Only those who place work need to know a target's state, and the successor
/// must be warm when the home dies. Probing by everybody would cost each target
/// a probe from every instance of the data centre.
const PROBING_RANKS: usize = 2;

/// `DeskSet` is the desks of this instance.
pub struct DeskSet {
    desks: BTreeMap<DeskKey, ShardScheduler>,
    options: SchedulerOptions,
    policy: String,
    rng: StdRng,
}

impl DeskSet {
    /// Makes an empty set; each desk gets the options and a policy of that name.
    pub fn new(options: SchedulerOptions, policy: &str, seed: u64) -> DeskSet {
        DeskSet {
            desks: BTreeMap::new(),
            options,
            policy: policy.to_owned(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// True when there is a desk of that key.
    pub fn contains(&self, key: &DeskKey) -> bool {
        self.desks.contains_key(key)
    }

    /// Makes the desk of that key.
    pub fn open(
        &mut self,
        now: ClockTime,
        key: &DeskKey,
        targets: Vec<Arc<TargetSpec>>,
        queue_limit: u32,
    ) -> Vec<SchedulerEffect> {
        let mut desk = self.make_desk();
        desk.set_queue_limit(queue_limit);
        let effects = desk.set_targets(now, targets);
        self.desks.insert(key.clone(), desk);
        effects
    }

    /// The desk of that key, if there is one.
    pub fn find(&mut self, key: &DeskKey) -> Option<&mut ShardScheduler> {
        self.desks.get_mut(key)
    }

    /// Every desk with its key.
    pub fn iter(&self) -> impl Iterator<Item = (&DeskKey, &ShardScheduler)> {
        self.desks.iter()
    }

    /// Keys of every desk.
    pub fn keys(&self) -> Vec<DeskKey> {
        self.desks.keys().cloned().collect()
    }

    /// Keys of a service's desks.
    pub fn keys_of(&self, service: &ServiceName) -> Vec<DeskKey> {
        let first = DeskKey { service: service.clone(), shard: 0 };
        let last = DeskKey { service: service.clone(), shard: u32::MAX };
        self.desks.range(first..=last).map(|(key, _)| key.clone()).collect()
    }

    /// Drops desks that have no work and belong to others now.
    pub fn drop_idle(&mut self, is_kept: impl Fn(&DeskKey) -> bool) {
        self.desks.retain(|key, desk| desk.unfinished_count() > 0 || is_kept(key));
    }

    /// Makes a desk with a seed that no desk of this process had before.
    ///
    /// A desk is dropped when it is idle and made anew when work comes back. If
    /// it then drew the same dispatch ids again, a backend server would take a
    /// new request for a copy of an old one and answer without running it; one
    /// would notice answered requests that never ran.
    fn make_desk(&mut self) -> ShardScheduler {
        let seed = self.rng.random();
        let policy = policy_by_name(&self.policy, seed)
            .or_else(|_| policy_by_name("freest", seed))
            .expect("the default policy exists");
        ShardScheduler::new(self.options.clone(), policy, seed)
    }
}

/// Targets of one shard in this data centre, in the published order by name.
pub fn shard_targets(
    service: &ServiceSpec,
    data_centre: &str,
    shard: u32,
    placement: &dyn HomePlacement,
) -> Vec<Arc<TargetSpec>> {
    let mut local: Vec<_> = local_targets(service, data_centre).collect();
    let shards = placement.shards(service.shards, local.len()) as usize;
    local.sort_by(|a, b| a.name.cmp(&b.name));
    local
        .into_iter()
        .enumerate()
        .filter(|(index, _)| index % shards == shard as usize)
        .map(|(_, target)| Arc::new(target.clone()))
        .collect()
}

/// Shards of a service in this data centre.
pub fn shard_count(service: &ServiceSpec, centre: &str, placement: &dyn HomePlacement) -> u32 {
    placement.shards(service.shards, local_targets(service, centre).count())
}

/// Desks of a service that this instance probes for: it is the home or the successor.
pub fn probed_desks(
    service: &ServiceSpec,
    view: &PeerView,
    me: &InstanceName,
    centre: &str,
    placement: &dyn HomePlacement,
) -> Vec<DeskKey> {
    (0..shard_count(service, centre, placement))
        .map(|shard| DeskKey { service: service.name.clone(), shard })
        .filter(|key| placement.holds_rank(key, me, view, PROBING_RANKS))
        .collect()
}

/// Services that differ between two lists: added, removed or changed.
///
/// At the target's size a list has 5,800 services and one change touches one
/// of them. Taking the whole list into force anew at each of 16,000 changes a
/// day would cost more processor time than control is allowed.
pub fn changed_services(old: &RuleList, new: &RuleList) -> Vec<ServiceName> {
    let added_or_changed = new
        .services
        .iter()
        .filter(|(name, service)| old.services.get(*name) != Some(service))
        .map(|(name, _)| name.clone());
    let removed = old.services.keys().filter(|name| !new.services.contains_key(*name)).cloned();
    added_or_changed.chain(removed).collect()
}

/// What the audit trail says when targets start or stop draining by publication.
pub fn drain_changes(old: &RuleList, new: &RuleList, changed: &[ServiceName]) -> Vec<AuditChange> {
    let mut changes = Vec::new();
    for name in changed {
        let Some(before) = old.services.get(name) else { continue };
        let Some(service) = new.services.get(name) else { continue };
        for target in &service.targets {
            let former = before.targets.iter().find(|t| t.name == target.name);
            let (old, new) = (former.map_or("open", drain_word), drain_word(target));
            if old != new {
                let subject = target_subject(&service.name, target.name.as_str());
                let change = AuditChange::new(AuditKind::TargetDraining, subject);
                changes.push(change.with_values(old, new).with_cause("published", "list"));
            }
        }
    }
    changes
}

/// How the audit trail names a target of a service.
pub fn target_subject(service: &ServiceName, target: &str) -> String {
    format!("{service}/{target}")
}

fn local_targets<'a>(
    service: &'a ServiceSpec,
    centre: &'a str,
) -> impl Iterator<Item = &'a TargetSpec> {
    service.targets.iter().filter(move |target| target.data_centre.as_str() == centre)
}

fn drain_word(target: &TargetSpec) -> &'static str {
    if target.draining { "draining" } else { "open" }
}
