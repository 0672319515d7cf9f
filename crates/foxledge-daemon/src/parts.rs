//! Creation of the parts of the request path.

use std::rc::Rc;

use foxledge_core::peers::PeerInfo;
use stakker::{ActorOwnAnon, CX, Ret, StopCause, actor};

use crate::{
    clock::new_incarnation,
    context::DaemonContext,
    control_link::ControlLink,
    engine_part::EnginePart,
    life_cycle::LifeCycle,
    list_manager::ListManager,
    listener::DatagramListener,
    member_manager::MemberManager,
    part_kind::{DaemonSupervisor, PartKind},
    supervisor::{PartName, PartStarter},
};

/// Starts the parts of the request path and registers each in the directory.
pub struct DaemonParts {
    context: Rc<DaemonContext>,
}

impl DaemonParts {
    /// Creates a starter for parts that share `context`.
    pub fn new(context: Rc<DaemonContext>) -> DaemonParts {
        DaemonParts { context }
    }
}

impl PartStarter<PartKind> for DaemonParts {
    fn parts(&self) -> Vec<PartKind> {
        vec![
            PartKind::Link,
            PartKind::Lists,
            PartKind::Members,
            PartKind::Engine,
            PartKind::Listener,
            PartKind::Life,
        ]
    }

    fn start(
        &mut self,
        cx: CX![DaemonSupervisor],
        part: PartKind,
        notify: Ret<StopCause>,
    ) -> ActorOwnAnon {
        let context = self.context.clone();
        let directory = &self.context.directory;
        match part {
            PartKind::Listener => {
                let owner = actor!(cx, DatagramListener::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PartKind::Engine => {
                let owner = actor!(cx, EnginePart::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PartKind::Lists => {
                let owner = actor!(cx, ListManager::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PartKind::Members => {
                let owner = actor!(cx, MemberManager::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PartKind::Link => {
                let owner = actor!(cx, ControlLink::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
            PartKind::Life => {
                let owner = actor!(cx, LifeCycle::init(context), notify);
                directory.set(&owner);
                owner.anon()
            }
        }
    }

    fn dependents(&self, part: PartKind) -> &'static [PartKind] {
        match part {
            PartKind::Engine => &[PartKind::Members],
            _ => &[],
        }
    }

    /// Counts the restart, and changes the incarnation when the engine is restarted.
    ///
    /// A restarted engine doesn't know which request numbers ran under the tickets
    /// that the previous one issued. Under the same incarnation it would accept
    /// those tickets and run a retransmitted request a second time. Under a new one
    /// it refuses them as unknown. The member manager is restarted too, so that
    /// peers learn the new incarnation.
    fn on_restart(&mut self, part: PartKind) {
        self.context.metrics.part_restarts.with_label_values(&[part.as_str()]).inc();
        if part != PartKind::Engine {
            return;
        }
        let mut local_info = self.context.local_info.borrow_mut();
        let incarnation = new_incarnation().max(local_info.incarnation + 1);
        *local_info = PeerInfo { incarnation, refutation: 0, ..local_info.clone() };
    }
}
