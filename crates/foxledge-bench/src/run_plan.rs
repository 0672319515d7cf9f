//! Which run to make.

use crate::{
    places::PlaceKind,
    workloads::{LoadVariant, ServiceLoad},
};

/// `RunPlan` says which run to make.
#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    /// The service with its callers.
    pub load: ServiceLoad,
    /// Load relative to what the slots can carry.
    pub level: f64,
    /// What else is done.
    pub variant: LoadVariant,
    /// Where work is admitted.
    pub place: PlaceKind,
    /// The seed.
    pub seed: u64,
}
