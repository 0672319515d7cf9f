//! Applies new lists and peer views.

use std::sync::Arc;

use foxledge_core::{
    audit::{AuditChange, AuditKind},
    lists::{RuleList, ServiceSpec, TargetSpec},
    names::ServiceName,
    peers::PeerView,
    time::ClockTime,
};
use foxledge_rules::RuleIndex;
use foxledge_seal::KeyRing;

use crate::{
    effects::EngineEffect,
    engine::FlowEngine,
    placement::ShardKey,
    schedulers::{changed_services, drain_changes, probed_shards, shard_count, shard_targets},
};

impl FlowEngine {
    /// Applies a newly accepted list. A list that is no newer than the one in force is ignored.
    pub fn apply_list(&mut self, now: ClockTime, list: Arc<RuleList>) -> Vec<EngineEffect> {
        let is_newer = list.version.revision > self.list.version.revision;
        if !is_newer && self.options.trial.refuse_stale_lists {
            return Vec::new();
        }
        let changed = changed_services(&self.list, &list);
        for change in drain_changes(&self.list, &list, &changed) {
            self.effects.push(EngineEffect::Audit(change));
        }
        let ring = KeyRing::from_keys(&list.keys);
        self.audit_keys(&ring, list.version.revision);
        self.key_ring = ring;
        self.rule_index = RuleIndex::new(list.clone());
        let old = std::mem::replace(&mut self.list, list);
        for name in &changed {
            self.refresh_target_owners(name, &old);
            self.refresh_service(now, name);
        }
        self.drop_idle_schedulers();
        self.drain_effects()
    }

    /// Applies a new view of the instances.
    pub fn apply_peer_view(&mut self, now: ClockTime, view: Arc<PeerView>) -> Vec<EngineEffect> {
        self.view = view;
        let list = self.list.clone();
        self.probed_shards.clear();
        for service in list.services.values() {
            self.refresh_probed_shards(now, service);
        }
        self.drop_idle_schedulers();
        self.drain_effects()
    }

    fn audit_keys(&mut self, ring: &KeyRing, revision: u64) {
        let (old, new) = (self.key_ring.ids(), ring.ids());
        if old == new {
            return;
        }
        let change = AuditChange::new(AuditKind::KeysRotated, "token keys")
            .with_values(format!("{old:?}"), format!("{new:?}"))
            .with_cause(format!("list {revision}"), "list");
        self.effects.push(EngineEffect::Audit(change));
    }

    /// Updates the map from addresses to backend servers for one changed service.
    fn refresh_target_owners(&mut self, name: &ServiceName, old: &RuleList) {
        let old_targets = old.services.get(name).map_or(&[][..], |service| &service.targets);
        for target in old_targets {
            let is_same_service = self
                .target_owners
                .get(&target.address)
                .is_some_and(|(key, _)| key.service == *name);
            if is_same_service {
                self.target_owners.remove(&target.address);
            }
        }
        let list = self.list.clone();
        let Some(service) = list.services.get(name) else { return };
        for target in &service.targets {
            let key = ShardKey { service: name.clone(), shard: 0 };
            self.target_owners.insert(target.address, (key, Arc::new(target.clone())));
        }
        for shard in 0..shard_count(service, &self.me.data_centre, self.placement.as_ref()) {
            let key = ShardKey { service: name.clone(), shard };
            for target in self.targets_of(&key) {
                self.target_owners.insert(target.address, (key.clone(), target));
            }
        }
    }

    /// Updates the schedulers of a changed service.
    fn refresh_service(&mut self, now: ClockTime, name: &ServiceName) {
        self.probed_shards.retain(|key| key.service != *name);
        if let Some(service) = self.list.clone().services.get(name) {
            self.refresh_probed_shards(now, service);
        }
        for key in self.schedulers.keys_of_service(name) {
            let targets = self.targets_of(&key);
            let queue_limit = self.queue_limit_of(&key);
            let Some(scheduler) = self.schedulers.find(&key) else { continue };
            scheduler.set_queue_limit(queue_limit);
            let effects = scheduler.set_targets(now, targets);
            self.apply_scheduler_effects(now, &key, effects);
        }
    }

    /// Creates the schedulers of a service's shards that this instance probes.
    fn refresh_probed_shards(&mut self, now: ClockTime, service: &ServiceSpec) {
        let keys = probed_shards(
            service,
            &self.view,
            &self.me.name,
            &self.me.data_centre,
            self.placement.as_ref(),
        );
        for key in keys {
            self.ensure_scheduler(now, &key);
            self.probed_shards.insert(key);
        }
    }

    fn drop_idle_schedulers(&mut self) {
        let probed = &self.probed_shards;
        self.schedulers.drop_idle(|key| probed.contains(key));
    }

    /// Creates the scheduler of a shard unless it exists. This is called for every request, so the
    /// usual case is a single look-up.
    pub(crate) fn ensure_scheduler(&mut self, now: ClockTime, key: &ShardKey) {
        if self.schedulers.contains(key) {
            return;
        }
        let targets = self.targets_of(key);
        let queue_limit = self.queue_limit_of(key);
        let effects = self.schedulers.create(now, key, targets, queue_limit);
        self.apply_scheduler_effects(now, key, effects);
    }

    pub(crate) fn targets_of(&self, key: &ShardKey) -> Vec<Arc<TargetSpec>> {
        let Some(service) = self.list.services.get(&key.service) else { return Vec::new() };
        shard_targets(service, &self.me.data_centre, key.shard, self.placement.as_ref())
    }

    fn queue_limit_of(&self, key: &ShardKey) -> u32 {
        self.list.services.get(&key.service).map_or(0, |service| service.queue_limit)
    }
}
