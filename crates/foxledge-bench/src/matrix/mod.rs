//! Mechanisms switched off one by one, over sites, troubles, loads and seeds.
//!
//! Every run without a mechanism has a twin with all of them and the same seed: the same
//! callers ask the same at the same times, so that the difference of the two is the
//! mechanism's.

pub mod plan;
pub mod plots;
pub mod summary;

pub use plan::{MatrixPlan, parse_plan};
pub use plots::write_plots;
pub use summary::{MatrixRow, matrix_rows, matrix_table, run_matrix, write_csv};
