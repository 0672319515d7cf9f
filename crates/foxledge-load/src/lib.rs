//! Load of services across all instances of the fleet.
//!
//! Each instance sees only its own share of a service's requests and sends it to others as an
//! [`InstanceReport`]. A [`LoadTable`] stores the received reports and aggregates them into a
//! [`LoadView`], which overflow and admission decisions are based on. The crate does no input or
//! output: reports and the time are passed in, views and plans are returned.

mod bounds;
mod overflow;
mod rates;
mod reports;
mod schedule;
mod table;
mod view;

pub use overflow::{CentreCapacity, OverflowPlan};
pub use rates::RateGauge;
pub use reports::{
    CentreAggregate, InstanceReport, LocalLoad, PriorityLoad, ReporterId, ServiceKey, ServiceLoad,
};
pub use schedule::{ReportPace, ReportSchedule};
pub use table::{LoadTable, REPORT_FRESHNESS_MS, SUFFICIENT_PEER_REPORTS};
pub use view::{CentreView, LoadView, ServiceView};
