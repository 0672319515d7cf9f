//! Creation of the parts of the packet path.

use serde::Serialize;
use stakker::{ActorOwnAnon, CX, Ret, StopCause, actor};

use crate::supervisor::{PartName, PartStarter};

use super::{
    context::SharedContext,
    fleet_part::FleetPart,
    flow_part::FlowPart,
    lifecycle_part::LifecyclePart,
    part_kind::{PacketPart, PacketSupervisor},
};

/// Starts the parts of the packet path and registers each in the directory.
pub struct PacketParts {
    context: SharedContext,
}

/// The log line of a part that is restarted after a failure.
#[derive(Serialize)]
struct RestartLine {
    event: &'static str,
    part: &'static str,
}

impl PacketParts {
    /// Creates the starter of parts that share `context`.
    pub fn new(context: SharedContext) -> PacketParts {
        PacketParts { context }
    }
}

impl PartStarter<PacketPart> for PacketParts {
    fn parts(&self) -> Vec<PacketPart> {
        vec![PacketPart::Flows, PacketPart::Life, PacketPart::Fleet]
    }

    fn start(
        &mut self,
        cx: CX![PacketSupervisor],
        part: PacketPart,
        notify: Ret<StopCause>,
    ) -> ActorOwnAnon {
        let context = self.context.clone();
        let directory = &self.context.directory;
        match part {
            PacketPart::Flows => {
                let owner = actor!(cx, FlowPart::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PacketPart::Fleet => {
                let owner = actor!(cx, FleetPart::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PacketPart::Life => {
                let owner = actor!(cx, LifecyclePart::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
        }
    }

    fn dependents(&self, _part: PacketPart) -> &'static [PacketPart] {
        &[]
    }

    fn on_restart(&mut self, part: PacketPart) {
        let part = part.as_str();
        self.context.metrics.part_restarts.with_label_values(&[part]).inc();
        self.context.log_event("part_restarted", &RestartLine { event: "part_restarted", part });
    }
}
