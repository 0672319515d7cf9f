//! Where parts find each other.

use std::{
    any::{Any, TypeId},
    cell::RefCell,
    collections::HashMap,
};

use stakker::Actor;

/// `PartDirectory` is the present actor of each part, by the part's type.
///
/// Parts look each other up for each call. A reference kept from earlier would lead
/// to an actor that has failed, and the calls would vanish. The directory names no
/// part itself, so that each part knows only those that it calls.
#[derive(Default)]
pub struct PartDirectory {
    actors: RefCell<HashMap<TypeId, Box<dyn Any>>>,
}

impl PartDirectory {
    /// Enters a part's new actor in place of the former.
    pub fn set<A: 'static>(&self, actor: &Actor<A>) {
        self.actors.borrow_mut().insert(TypeId::of::<A>(), Box::new(actor.clone()));
    }

    /// A part's actor; none while it isn't running.
    pub fn get<A: 'static>(&self) -> Option<Actor<A>> {
        let actors = self.actors.borrow();
        let actor = actors.get(&TypeId::of::<A>())?.downcast_ref::<Actor<A>>()?;
        Some(actor.clone()).filter(|actor| !actor.is_zombie())
    }
}
