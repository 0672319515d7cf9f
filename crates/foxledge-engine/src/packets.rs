//! Creates replies and refusals and converts between wire and scheduler types.

use std::time::Duration;

use foxledge_policy::{RefuseReason, RunState, TargetLoad, WorkRefusal};
use foxledge_wire::{
    PROTOCOL_VERSION,
    flow::{LoadReport, Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

/// The retry delay sent to callers when no better value is known.
pub const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns a packet of `kind` for the sender of `packet`, about the same request.
pub fn reply_to(packet: &Packet, kind: PacketKind) -> Packet {
    Packet {
        version: PROTOCOL_VERSION,
        kind: kind.into(),
        flow: packet.flow,
        address: packet.address.clone(),
        caller: packet.caller,
        request: packet.request,
        work: packet.work,
        ..Packet::default()
    }
}

/// Returns a refusal which guarantees that the work has not run and will not run.
pub fn not_run_refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    refusal(RunOutcome::NotRun, reason, retry_after)
}

/// Returns a refusal that leaves open whether the work has run.
pub fn unknown_refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    refusal(RunOutcome::Unknown, reason, retry_after)
}

fn refusal(outcome: RunOutcome, reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        outcome: outcome.into(),
        reason: reason.into(),
        retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Converts a scheduler's refusal to its wire form.
pub fn wire_refusal(refusal: &WorkRefusal) -> Refusal {
    let reason = match refusal.reason {
        RefuseReason::QueueFull => RefusalReason::QueueFull,
        RefuseReason::DeadlinePassed => RefusalReason::DeadlinePassed,
        RefuseReason::NoTarget => RefusalReason::NoTarget,
        RefuseReason::TargetShed => RefusalReason::TargetShed,
        RefuseReason::TargetLost => RefusalReason::TargetLost,
        RefuseReason::Limit => RefusalReason::Limit,
        RefuseReason::Cancelled => RefusalReason::Cancelled,
        RefuseReason::WrongTarget => RefusalReason::WrongTarget,
    };
    match refusal.run_state {
        RunState::NotRun => not_run_refusal(reason, refusal.retry_after),
        RunState::Unknown => unknown_refusal(reason, refusal.retry_after),
    }
}

/// Converts a backend server's refusal reason to the scheduler's form.
pub fn scheduler_reason(reason: RefusalReason) -> RefuseReason {
    match reason {
        RefusalReason::DeadlinePassed => RefuseReason::DeadlinePassed,
        RefusalReason::WrongTarget => RefuseReason::WrongTarget,
        RefusalReason::Cancelled => RefuseReason::Cancelled,
        _ => RefuseReason::TargetShed,
    }
}

/// Converts a backend server's load report to the scheduler's form.
pub fn target_load(report: &LoadReport) -> TargetLoad {
    TargetLoad {
        busy_slots: report.busy_slots,
        connections: report.connections,
        queued: report.queued,
        draining: report.draining,
        cold: report.cold,
        healthy: report.healthy,
    }
}
