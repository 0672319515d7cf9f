//! The parts that the supervisor of the packets' tree looks after.

use serde::Serialize;
use stakker::{ActorOwnAnon, CX, Ret, StopCause, actor};

use crate::{
    parts::PartKind,
    supervisor::{PartStarter, Supervisor},
};

use super::{
    context::SharedContext, fleet_part::FleetPart, flow_part::FlowPart, life_part::LifePart,
};

/// `PacketParts` starts the parts and enters each in the directory.
pub struct PacketParts {
    context: SharedContext,
}

/// `RestartLine` is the log line of a part that failed and starts anew.
#[derive(Serialize)]
struct RestartLine {
    event: &'static str,
    part: &'static str,
}

impl PacketParts {
    /// Makes the starter.
    pub fn new(context: SharedContext) -> PacketParts {
        PacketParts { context }
    }
}

impl PartStarter for PacketParts {
    fn parts(&self) -> Vec<PartKind> {
        vec![PartKind::Flows, PartKind::Life, PartKind::Fleet]
    }

    fn start(
        &mut self,
        cx: CX![Supervisor],
        part: PartKind,
        notify: Ret<StopCause>,
    ) -> ActorOwnAnon {
        let context = self.context.clone();
        let directory = &self.context.directory;
        match part {
            PartKind::Flows => {
                let owner = actor!(cx, FlowPart::init(context), notify);
                directory.flows.set(&owner);
                owner.anon()
            }
            PartKind::Fleet => {
                let owner = actor!(cx, FleetPart::init(context), notify);
                directory.fleet.set(&owner);
                owner.anon()
            }
            // `parts` names no others.
            _ => {
                let owner = actor!(cx, LifePart::init(context), notify);
                directory.life.set(&owner);
                owner.anon()
            }
        }
    }

    fn companions(&self, _part: PartKind) -> &'static [PartKind] {
        &[]
    }

    fn note_restart(&mut self, part: PartKind) {
        let part = part.as_str();
        self.context.metrics.part_restarts.with_label_values(&[part]).inc();
        self.context.note("part_restarted", &RestartLine { event: "part_restarted", part });
    }
}
