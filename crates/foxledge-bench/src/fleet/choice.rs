//! Which workload to run over real processes.

use super::{loads::FleetLoad, mishaps::FleetMishap};

/// `FleetChoice` is what to run.
#[derive(Clone, Debug)]
pub struct FleetChoice {
    /// The workload.
    pub load: FleetLoad,
    /// Load relative to what the desk's slots can carry.
    pub level: f64,
    /// What goes wrong halfway.
    pub mishap: FleetMishap,
    /// Instances in each data centre.
    pub instances: usize,
    /// How long callers send.
    pub seconds: u64,
    /// Seed of callers, fabrics and backend servers.
    pub seed: u64,
    /// TOML laid over the settings of every instance.
    pub settings: String,
}
