//! Why a flow is treated as it is.

use foxledge_core::{
    lists::{FlowTraits, FlowTreatment},
    traffic::TrafficKind,
};
use serde::Serialize;

use crate::{
    desks::shard_count,
    engine::FlowEngine,
    journal::{FlowEvent, TargetPlace},
    placement::{DeskKey, shard_of},
};

/// `ExplainQuery` is the flow that an operator asks about.
#[derive(Clone, Debug)]
pub struct ExplainQuery {
    /// Service address.
    pub address: String,
    /// Member.
    pub member: String,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// Flow id; 0 when no particular flow is meant.
    pub flow: u64,
}

/// `FlowExplanation` is the decision for a flow and its reasons.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FlowExplanation {
    /// Revision of the list that decides.
    pub revision: u64,
    /// Name of the first rule that matches.
    pub rule: Option<String>,
    /// What it decides.
    pub treatment: Option<FlowTreatment>,
    /// Shard of the service.
    pub shard: Option<u32>,
    /// Instances that can be home, the best first.
    pub homes: Vec<String>,
    /// Backend servers of the shard in this data centre.
    pub targets: Vec<TargetPlace>,
    /// The one that this instance last sent a request of the flow to.
    pub target: Option<TargetPlace>,
    /// The steps of the decision, as short sentences.
    pub reasons: Vec<String>,
    /// What this instance decided for the flow lately.
    pub flow_events: Vec<FlowEvent>,
}

impl FlowEngine {
    /// Why a flow is treated as it is.
    pub fn explain(&self, query: &ExplainQuery) -> FlowExplanation {
        let mut explanation = FlowExplanation {
            revision: self.list.version.revision,
            flow_events: self.journal.read(query.flow),
            ..FlowExplanation::default()
        };
        let traits = FlowTraits {
            address: &query.address,
            member: &query.member,
            data_centre: &self.me.data_centre,
            kind: query.kind,
        };
        self.explain_rule(&traits, query.flow, &mut explanation);
        explanation
    }

    fn explain_rule(&self, traits: &FlowTraits<'_>, flow: u64, explanation: &mut FlowExplanation) {
        let reasons = &mut explanation.reasons;
        if !self.list.members.contains_key(traits.member) {
            reasons.push(format!("member {} is not listed, so the flow is refused", traits.member));
            return;
        }
        let Some(rule) = self.index.first_match(traits) else {
            reasons.push("no rule matches, so the flow is refused".to_owned());
            return;
        };
        reasons.push(format!("rule {} is the first that matches", rule.name));
        explanation.rule = Some(rule.name.to_string());
        explanation.treatment = Some(rule.then.clone());
        let FlowTreatment::Serve(treatment) = &rule.then else { return };
        let Some(service) = self.list.services.get(&treatment.service) else { return };

        let shards = shard_count(service, &self.me.data_centre, self.placement.as_ref());
        let key = DeskKey { service: service.name.clone(), shard: shard_of(flow, shards) };
        let ranked = self.placement.ranked(&key, &self.me.name, &self.view);
        explanation.homes = ranked.iter().map(|peer| peer.name.to_string()).collect();
        reasons
            .push(format!("shard {} of {shards} decides the home by rendezvous hash", key.shard));
        explanation.shard = Some(key.shard);
        explanation.targets =
            self.targets_of(&key).iter().map(|spec| TargetPlace::from(spec.as_ref())).collect();
        let mut newest_first = explanation.flow_events.iter().rev();
        explanation.target = newest_first.find_map(|event| event.target.clone());
    }
}
