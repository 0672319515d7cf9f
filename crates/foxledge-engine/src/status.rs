//! What the engine says of itself to operators.

use foxledge_core::lists::ListVersion;
use foxledge_policy::SchedulerStatus;
use serde::Serialize;

use crate::{effects::EnginePhase, placement::ShardKey};

/// `EngineStatus` is the engine's present state.
#[derive(Clone, Debug, Serialize)]
pub struct EngineStatus {
    /// Phase of the process.
    pub phase: EnginePhase,
    /// The list in force.
    pub version: ListVersion,
    /// Ids of the published keys, the one that seals last.
    pub keys: Vec<u32>,
    /// Requests that the ledger knows.
    pub ledger_requests: usize,
    /// Requests and feeds opened here that haven't ended.
    pub open_works: usize,
    /// Forwardings that wait for an acknowledgement.
    pub pending_forwards: usize,
    /// Desks of this home.
    #[serde(rename = "desks")]
    pub schedulers: Vec<SchedulerEntry>,
}

/// `SchedulerEntry` is one desk of this home.
#[derive(Clone, Debug, Serialize)]
pub struct SchedulerEntry {
    /// Which shard of which service.
    pub key: ShardKey,
    /// The desk's state.
    #[serde(rename = "desk")]
    pub scheduler: SchedulerStatus,
}
