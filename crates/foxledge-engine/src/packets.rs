//! Packets that the engine makes itself.

use std::time::Duration;

use foxledge_policy::{RefuseReason, RunState, TargetLoad, WorkRefusal};
use foxledge_wire::{
    PROTOCOL_VERSION,
    flow::{LoadReport, Packet, PacketKind, Refusal, RefusalReason, RunOutcome},
};

/// How long a caller should wait when nothing better is known.
pub const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A packet of `kind` to the sender of `packet`, about the same request.
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

/// A refusal that says the work didn't run and never will.
pub fn not_run_refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    refusal(RunOutcome::NotRun, reason, retry_after)
}

/// A refusal that can't say whether the work ran.
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

/// The desk's refusal as it travels.
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

/// A backend server's reason as the desk knows it.
pub fn scheduler_reason(reason: RefusalReason) -> RefuseReason {
    match reason {
        RefusalReason::DeadlinePassed => RefuseReason::DeadlinePassed,
        RefusalReason::WrongTarget => RefuseReason::WrongTarget,
        RefusalReason::Cancelled => RefuseReason::Cancelled,
        _ => RefuseReason::TargetShed,
    }
}

/// A backend server's load report as the desk knows it.
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
