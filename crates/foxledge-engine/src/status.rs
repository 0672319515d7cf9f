//! The engine's status for operators.

use foxledge_core::lists::ListVersion;
use foxledge_policy::SchedulerStatus;
use serde::Serialize;

use crate::{effects::EnginePhase, placement::ShardKey};

/// A snapshot of the engine's state.
#[derive(Clone, Debug, Serialize)]
pub struct EngineStatus {
    /// The lifecycle phase of the process.
    pub phase: EnginePhase,
    /// The version of the list in force.
    pub version: ListVersion,
    /// The ids of the published keys; the last one seals.
    pub keys: Vec<u32>,
    /// The number of requests in the ledger.
    pub ledger_requests: usize,
    /// The number of requests and feeds that are open at this home.
    pub open_works: usize,
    /// The number of forwards that wait for an acknowledgement.
    pub pending_forwards: usize,
    /// The shard schedulers of this home.
    #[serde(rename = "desks")]
    pub schedulers: Vec<SchedulerEntry>,
}

/// The state of one shard's scheduler.
#[derive(Clone, Debug, Serialize)]
pub struct SchedulerEntry {
    /// The shard.
    pub key: ShardKey,
    /// The state of its scheduler.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerStatus,
}
