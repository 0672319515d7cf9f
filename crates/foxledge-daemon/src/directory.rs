//! Lookup of the running parts.

use std::{
    any::{Any, TypeId},
    cell::RefCell,
    collections::HashMap,
};

use stakker::Actor;

/// The running actor of each part, by the type of the part.
///
/// Parts look each other up for every call, because a stored reference may point to an
/// actor that has failed, and calls to it are lost. The directory names no part itself,
/// so that each part depends only on those that it calls.
#[derive(Default)]
pub struct PartDirectory {
    actors: RefCell<HashMap<TypeId, Box<dyn Any>>>,
}

impl PartDirectory {
    /// Registers the actor of a part, in place of an earlier one.
    pub fn set<A: 'static>(&self, actor: &Actor<A>) {
        self.actors.borrow_mut().insert(TypeId::of::<A>(), Box::new(actor.clone()));
    }

    /// Returns the actor of a part, or none while it isn't running.
    pub fn get<A: 'static>(&self) -> Option<Actor<A>> {
        let actors = self.actors.borrow();
        let actor = actors.get(&TypeId::of::<A>())?.downcast_ref::<Actor<A>>()?;
        Some(actor.clone()).filter(|actor| !actor.is_zombie())
    }
}
