//! The schedulers of a home, one for each shard of a service.

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

use crate::placement::{HomePlacement, ShardKey};

/// The number of top-ranked instances that probe a shard's backend servers: the home and its
/// successor.
///
/// Only an instance that dispatches work needs the state of a backend server, and the successor
/// needs current state at once when the home dies. Probes by all instances would cost each backend
/// server one probe per instance of the data centre.
const PROBING_RANKS: usize = 2;

/// The shard schedulers of this instance.
pub struct SchedulerSet {
    schedulers: BTreeMap<ShardKey, ShardScheduler>,
    options: SchedulerOptions,
    policy: String,
    rng: StdRng,
}

impl SchedulerSet {
    /// Creates an empty set. Each scheduler gets the given options and the policy of that name.
    pub fn new(options: SchedulerOptions, policy: &str, seed: u64) -> SchedulerSet {
        SchedulerSet {
            schedulers: BTreeMap::new(),
            options,
            policy: policy.to_owned(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns true if the shard has a scheduler.
    pub fn contains(&self, key: &ShardKey) -> bool {
        self.schedulers.contains_key(key)
    }

    /// Creates the scheduler of a shard.
    pub fn create(
        &mut self,
        now: ClockTime,
        key: &ShardKey,
        targets: Vec<Arc<TargetSpec>>,
        queue_limit: u32,
    ) -> Vec<SchedulerEffect> {
        let mut scheduler = self.new_scheduler();
        scheduler.set_queue_limit(queue_limit);
        let effects = scheduler.set_targets(now, targets);
        self.schedulers.insert(key.clone(), scheduler);
        effects
    }

    /// Returns the scheduler of a shard, if it exists.
    pub fn find(&mut self, key: &ShardKey) -> Option<&mut ShardScheduler> {
        self.schedulers.get_mut(key)
    }

    /// Iterates over all schedulers with their shards.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardKey, &ShardScheduler)> {
        self.schedulers.iter()
    }

    /// Returns the shards of all schedulers.
    pub fn keys(&self) -> Vec<ShardKey> {
        self.schedulers.keys().cloned().collect()
    }

    /// Returns the shards of one service that have a scheduler.
    pub fn keys_of_service(&self, service: &ServiceName) -> Vec<ShardKey> {
        let first = ShardKey { service: service.clone(), shard: 0 };
        let last = ShardKey { service: service.clone(), shard: u32::MAX };
        self.schedulers.range(first..=last).map(|(key, _)| key.clone()).collect()
    }

    /// Removes schedulers without unfinished work, except those that `is_kept` selects.
    pub fn drop_idle(&mut self, is_kept: impl Fn(&ShardKey) -> bool) {
        self.schedulers.retain(|key, scheduler| scheduler.unfinished_count() > 0 || is_kept(key));
    }

    /// Creates a scheduler with a seed that no scheduler of this process has had before.
    ///
    /// An idle scheduler is removed, and created again when new work arrives. If it then drew the
    /// same dispatch ids again, a backend server would treat a new request as a duplicate of an old
    /// one and answer it without running it.
    fn new_scheduler(&mut self) -> ShardScheduler {
        let seed = self.rng.random();
        let policy = policy_by_name(&self.policy, seed)
            .or_else(|_| policy_by_name("freest", seed))
            .expect("the default policy exists");
        ShardScheduler::new(self.options.clone(), policy, seed)
    }
}

/// Returns the backend servers of a shard in this data centre, sorted by name.
pub fn shard_targets(
    service: &ServiceSpec,
    data_centre: &str,
    shard: u32,
    placement: &dyn HomePlacement,
) -> Vec<Arc<TargetSpec>> {
    let mut local: Vec<_> = local_targets(service, data_centre).collect();
    let shards = placement.effective_shards(service.shards, local.len()) as usize;
    local.sort_by(|a, b| a.name.cmp(&b.name));
    local
        .into_iter()
        .enumerate()
        .filter(|(index, _)| index % shards == shard as usize)
        .map(|(_, target)| Arc::new(target.clone()))
        .collect()
}

/// Returns the number of shards of a service in this data centre.
pub fn shard_count(service: &ServiceSpec, centre: &str, placement: &dyn HomePlacement) -> u32 {
    placement.effective_shards(service.shards, local_targets(service, centre).count())
}

/// Returns the shards of a service that this instance probes as their home or successor.
pub fn probed_shards(
    service: &ServiceSpec,
    view: &PeerView,
    me: &InstanceName,
    centre: &str,
    placement: &dyn HomePlacement,
) -> Vec<ShardKey> {
    (0..shard_count(service, centre, placement))
        .map(|shard| ShardKey { service: service.name.clone(), shard })
        .filter(|key| placement.is_among_best_homes(key, me, view, PROBING_RANKS))
        .collect()
}

/// Returns the services that were added, removed or changed between two lists.
///
/// At the design target, a list has 5,800 services and one change touches one of them. Applying the
/// whole list again at each of 16,000 changes a day would exceed the processor time allowed for
/// control.
pub fn changed_services(old: &RuleList, new: &RuleList) -> Vec<ServiceName> {
    let added_or_changed = new
        .services
        .iter()
        .filter(|(name, service)| old.services.get(*name) != Some(service))
        .map(|(name, _)| name.clone());
    let removed = old.services.keys().filter(|name| !new.services.contains_key(*name)).cloned();
    added_or_changed.chain(removed).collect()
}

/// Returns the audit entries for backend servers whose published draining state has changed.
pub fn drain_changes(old: &RuleList, new: &RuleList, changed: &[ServiceName]) -> Vec<AuditChange> {
    let mut changes = Vec::new();
    for name in changed {
        let Some(before) = old.services.get(name) else { continue };
        let Some(service) = new.services.get(name) else { continue };
        for target in &service.targets {
            let old_target = before.targets.iter().find(|t| t.name == target.name);
            let (old, new) = (old_target.map_or("open", drain_state), drain_state(target));
            if old != new {
                let subject = target_subject(&service.name, target.name.as_str());
                let change = AuditChange::new(AuditKind::TargetDraining, subject);
                changes.push(change.with_values(old, new).with_cause("published", "list"));
            }
        }
    }
    changes
}

/// Returns the audit subject of a backend server: `service/target`.
pub fn target_subject(service: &ServiceName, target: &str) -> String {
    format!("{service}/{target}")
}

fn local_targets<'a>(
    service: &'a ServiceSpec,
    centre: &'a str,
) -> impl Iterator<Item = &'a TargetSpec> {
    service.targets.iter().filter(move |target| target.data_centre.as_str() == centre)
}

fn drain_state(target: &TargetSpec) -> &'static str {
    if target.draining { "draining" } else { "open" }
}
