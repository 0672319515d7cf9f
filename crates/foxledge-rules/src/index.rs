//! Finds the rules of a list by service address.

use std::{collections::HashMap, sync::Arc};

use foxledge_core::{
    lists::{FlowRule, FlowTraits, RuleList},
    names::ServiceAddress,
};

/// A rule list with an index of its rules by service address.
///
/// [`RuleIndex::first_match`] returns the same rule as [`RuleList::first_match`]
/// without checking the rules of other addresses.
#[derive(Clone, Debug)]
pub struct RuleIndex {
    list: Arc<RuleList>,
    /// The positions of the rules that name each address, in ascending order.
    by_address: HashMap<ServiceAddress, Vec<u32>>,
    /// The positions of the rules that name no address, in ascending order.
    any_address: Vec<u32>,
}

impl RuleIndex {
    /// Creates an index of a list.
    pub fn new(list: Arc<RuleList>) -> RuleIndex {
        let mut by_address: HashMap<_, Vec<u32>> = HashMap::new();
        let mut any_address = Vec::new();
        for (position, rule) in (0..).zip(&list.rules) {
            if rule.when.addresses.is_empty() {
                any_address.push(position);
            }
            for address in &rule.when.addresses {
                by_address.entry(address.clone()).or_default().push(position);
            }
        }
        RuleIndex { list, by_address, any_address }
    }

    /// Returns the list.
    pub fn list(&self) -> &Arc<RuleList> {
        &self.list
    }

    /// Returns the first rule that matches a flow, or `None` if no rule matches.
    pub fn first_match(&self, flow: &FlowTraits<'_>) -> Option<&FlowRule> {
        let named = self.by_address.get(flow.address).map_or(&[][..], Vec::as_slice);
        let by_address = self.first_among(named, flow);
        let any_address = self.first_among(&self.any_address, flow);
        let first = match (by_address, any_address) {
            (Some(a), Some(b)) => a.min(b),
            (first, None) | (None, first) => first?,
        };
        Some(&self.list.rules[first as usize])
    }

    fn first_among(&self, positions: &[u32], flow: &FlowTraits<'_>) -> Option<u32> {
        let mut positions = positions.iter().copied();
        positions.find(|position| self.list.rules[*position as usize].when.matches(flow))
    }
}
