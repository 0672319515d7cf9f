//! Rules by service address.

use std::{collections::HashMap, sync::Arc};

use foxledge_core::{
    lists::{FlowRule, FlowTraits, RuleList},
    names::ServiceAddress,
};

/// `RuleIndex` is a list whose rules are found by address.
///
/// [`RuleIndex::decide`] gives the answer of [`RuleList::decide`] without
/// walking over the rules of all other addresses.
#[derive(Clone, Debug)]
pub struct RuleIndex {
    list: Arc<RuleList>,
    /// Numbers of the rules that name the address, in order.
    by_address: HashMap<ServiceAddress, Vec<u32>>,
    /// Numbers of the rules that name no address, in order.
    any_address: Vec<u32>,
}

impl RuleIndex {
    /// Indexes a list.
    pub fn new(list: Arc<RuleList>) -> RuleIndex {
        let mut with_address: HashMap<_, Vec<u32>> = HashMap::new();
        let mut with_any = Vec::new();
        for (number, rule) in (0..).zip(&list.rules) {
            if rule.when.addresses.is_empty() {
                with_any.push(number);
            }
            for address in &rule.when.addresses {
                with_address.entry(address.clone()).or_default().push(number);
            }
        }
        RuleIndex { list, by_address: with_address, any_address: with_any }
    }

    /// The list.
    pub fn list(&self) -> &Arc<RuleList> {
        &self.list
    }

    /// The first rule that matches, or none.
    pub fn first_match(&self, flow: &FlowTraits<'_>) -> Option<&FlowRule> {
        let with_address = self.by_address.get(flow.address).map_or(&[][..], Vec::as_slice);
        let by_address = self.first_among(with_address, flow);
        let by_any = self.first_among(&self.any_address, flow);
        let first = match (by_address, by_any) {
            (Some(a), Some(b)) => a.min(b),
            (first, None) | (None, first) => first?,
        };
        Some(&self.list.rules[first as usize])
    }

    fn first_among(&self, numbers: &[u32], flow: &FlowTraits<'_>) -> Option<u32> {
        let mut numbers = numbers.iter().copied();
        numbers.find(|number| self.list.rules[*number as usize].when.matches(flow))
    }
}
