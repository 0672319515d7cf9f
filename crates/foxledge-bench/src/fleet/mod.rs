//! Workloads over a fleet of real processes on loopback.

pub mod choice;
pub mod loads;
pub mod mishaps;
pub mod run;
pub mod summary;
pub mod usage;

pub use choice::FleetChoice;
pub use loads::{FleetLoad, load_by_name};
pub use mishaps::{FleetMishap, mishap_by_name};
pub use run::run_fleet;
pub use summary::{FleetFigure, fleet_table};
