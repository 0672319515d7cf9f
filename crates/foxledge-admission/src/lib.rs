//! Admission of new flows while a service is short of room.
//!
//! Who goes first, who is refused at once and who comes back when: shares of the room by
//! priority, by client account, and an order of return that all instances agree on without
//! messages for single callers. Everything here is decision logic: the load and the time go in,
//! verdicts come out.

mod accounts;
mod interface;
mod options;
mod policy;
mod shares;
mod shortage;
mod tries;
mod turns;

pub use accounts::{AccountKey, HeavyAccount};
pub use interface::{AdmissionDecision, AdmissionPolicy, FlowOpening, ServiceSnapshot};
pub use options::AdmissionOptions;
pub use policy::ShareAdmission;
