//! What is left of a dispatch when its answer is no longer kept.

use std::collections::{HashMap, VecDeque};

use foxledge_wire::flow::RunOutcome;

/// Most dispatches that are remembered.
const MAX_DISPATCHES: usize = 1_000_000;

/// `DispatchMemory` remembers the ids of dispatches that have ended, the oldest is forgotten first.
///
/// Without it a copy that a network held back for longer than answers are kept would run, though
/// its request had run or was refused as not run.
#[derive(Default)]
pub struct DispatchMemory {
    outcomes: HashMap<u64, RunOutcome>,
    order: VecDeque<u64>,
}

impl DispatchMemory {
    /// Remembers a dispatch and what can be said of its run.
    pub fn remember(&mut self, dispatch: u64, outcome: RunOutcome) {
        if self.outcomes.insert(dispatch, outcome).is_none() {
            self.order.push_back(dispatch);
        }
        if self.order.len() > MAX_DISPATCHES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// What can be said of the dispatch's run; `None` when it isn't remembered.
    pub fn find(&self, dispatch: u64) -> Option<RunOutcome> {
        self.outcomes.get(&dispatch).copied()
    }
}
