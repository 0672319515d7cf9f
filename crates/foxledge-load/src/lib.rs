//! Load of services, known across instances.
//!
//! Each instance sees a part of a service's requests only. It tells its part to others as a
//! [`InstanceReport`]; a [`LoadTable`] holds the parts that were heard and sums them up to a
//! [`LoadView`], from which overflow and admission are decided. Everything here is decision
//! logic: parts and the time go in, views and plans come out.

mod bounds;
mod overflow;
mod own;
mod rates;
mod schedule;
mod table;
mod view;

pub use overflow::{CentreCapacity, OverflowPlan};
pub use own::{
    CentreAggregate, InstanceReport, LocalLoad, PriorityLoad, ReporterId, ServiceKey, ServiceLoad,
};
pub use rates::RateGauge;
pub use schedule::{ReportPace, ReportSchedule};
pub use table::{LoadTable, REPORT_FRESHNESS_MS, SUFFICIENT_PEER_REPORTS};
pub use view::{CentreView, LoadView, ServiceView};
