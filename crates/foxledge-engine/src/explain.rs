//! Explains routing decisions to operators.

use foxledge_core::{
    lists::{FlowTraits, FlowTreatment},
    traffic::TrafficKind,
};
use serde::Serialize;

use crate::{
    engine::FlowEngine,
    journal::{FlowEvent, TargetAddress},
    placement::{ShardKey, shard_for_flow},
    schedulers::shard_count,
};

/// An operator's query about the treatment of a flow.
#[derive(Clone, Debug)]
pub struct ExplainQuery {
    /// The service address.
    pub address: String,
    /// The name of the client account.
    pub member: String,
    /// The kind of traffic.
    pub kind: TrafficKind,
    /// The flow id, or 0 for no particular flow.
    pub flow: u64,
}

/// The decision for a flow and the steps that lead to it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FlowExplanation {
    /// The revision of the list in force.
    pub revision: u64,
    /// The name of the first matching rule.
    pub rule: Option<String>,
    /// The treatment that the rule sets.
    pub treatment: Option<FlowTreatment>,
    /// The flow's shard of the service.
    pub shard: Option<u32>,
    /// The names of the shard's home candidates, the highest-ranked first.
    pub homes: Vec<String>,
    /// The backend servers of the shard in this data centre.
    pub targets: Vec<TargetAddress>,
    /// The backend server to which this instance sent the flow's most recent request.
    pub target: Option<TargetAddress>,
    /// The steps of the decision, as short sentences.
    pub reasons: Vec<String>,
    /// The recent decisions of this instance for the flow.
    pub flow_events: Vec<FlowEvent>,
}

impl FlowEngine {
    /// Returns how a flow is treated and the steps that lead to the decision.
    pub fn explain(&self, query: &ExplainQuery) -> FlowExplanation {
        let mut explanation = FlowExplanation {
            revision: self.list.version.revision,
            flow_events: self.journal.events_of(query.flow),
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
        let Some(rule) = self.rule_index.first_match(traits) else {
            reasons.push("no rule matches, so the flow is refused".to_owned());
            return;
        };
        reasons.push(format!("rule {} is the first that matches", rule.name));
        explanation.rule = Some(rule.name.to_string());
        explanation.treatment = Some(rule.then.clone());
        let FlowTreatment::Serve(treatment) = &rule.then else { return };
        let Some(service) = self.list.services.get(&treatment.service) else { return };

        let shards = shard_count(service, &self.me.data_centre, self.placement.as_ref());
        let key = ShardKey { service: service.name.clone(), shard: shard_for_flow(flow, shards) };
        let ranked = self.placement.ranked_homes(&key, &self.me.name, &self.view);
        explanation.homes = ranked.iter().map(|peer| peer.name.to_string()).collect();
        reasons
            .push(format!("shard {} of {shards} decides the home by rendezvous hash", key.shard));
        explanation.shard = Some(key.shard);
        explanation.targets =
            self.targets_of(&key).iter().map(|spec| TargetAddress::from(spec.as_ref())).collect();
        let mut newest_first = explanation.flow_events.iter().rev();
        explanation.target = newest_first.find_map(|event| event.target.clone());
    }
}
