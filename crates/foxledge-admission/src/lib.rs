//! Admission of new flows while a service lacks capacity.
//!
//! Divides the capacity into shares by priority and by client account, decides which flows are
//! refused immediately, and readmits refused callers in an order that all instances compute without
//! exchanging messages about single callers. The crate does no input or output: the load and the
//! time are passed in, decisions are returned.

mod accounts;
mod capacity;
mod interface;
mod options;
mod policy;
mod readmission;
mod retries;
mod shares;

pub use accounts::{AccountKey, HeavyAccount};
pub use interface::{AdmissionDecision, AdmissionPolicy, FlowOpening, ServiceSnapshot};
pub use options::AdmissionOptions;
pub use policy::ShareAdmission;
