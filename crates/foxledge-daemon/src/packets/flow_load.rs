//! Exchange of load with other instances, and metrics of load, for the flow part.

use std::{collections::BTreeMap, time::Duration};

use foxledge_core::time::ClockTime;
use foxledge_flows::{CentreLoad, LoadChange, LoadEvent, LoadReport};
use serde::Serialize;
use stakker::{CX, after};

use super::flow_part::FlowPart;

/// Interval between checks of the load while no packets arrive.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of services in metrics and reports, which bounds their size.
pub(super) const MAX_REPORTED_SERVICES: usize = 200;

/// The log line of the begin or end of a shortage or an overflow.
#[derive(Serialize)]
struct LoadLine<'a> {
    event: &'static str,
    service: &'a str,
    load: f64,
    demand: f64,
    slots: f64,
    /// Admitted shares by priority, or overflow shares by data centre.
    shares: BTreeMap<String, f64>,
    /// Number of instances whose load reports the view contains.
    parts: u32,
    view_age_ms: Option<u64>,
}

impl<'a> LoadLine<'a> {
    fn new(event: &'a LoadEvent) -> LoadLine<'a> {
        let report = &event.report;
        LoadLine {
            event: event.change.as_str(),
            service: &report.service,
            load: round_to_thousandths(report.load_ratio),
            demand: round_to_thousandths(report.demand),
            slots: round_to_thousandths(report.slots),
            shares: shares_after_change(event.change, report),
            parts: report.reporting_instances,
            view_age_ms: report.view_age_ms,
        }
    }
}

impl FlowPart {
    /// Reports the local load to the fleet and applies the load of all instances, when due.
    pub(super) fn exchange_load(&mut self, now: ClockTime) {
        if !self.shares_load || !self.router.is_load_report_due(now) {
            return;
        }
        let (load, load_ratio) = (self.router.collect_local_load(now), self.router.load_ratio());
        let mut member = self.context.member.borrow_mut();
        member.set_local_load(now, load, load_ratio);
        let view = member.load_view(now);
        drop(member);
        if let Some(view) = view {
            self.router.apply_load_view(now, view);
        }
        for event in self.router.drain_load_events() {
            self.context.log_event(event.change.as_str(), &LoadLine::new(&event));
        }
        // The member may have queued a load report, or moved its next one before the expiry of
        // the fleet part's timer.
        self.send_messages();
    }

    /// Exchanges the load while no packets arrive, as running requests end and views expire.
    pub(super) fn check_load(&mut self, cx: CX![]) {
        self.exchange_load(self.context.clock.now());
        after!(LOAD_CHECK_INTERVAL, [cx], check_load());
    }

    /// Updates the metrics of load.
    pub(super) fn set_load_gauges(&mut self, now: ClockTime) {
        let metrics = &self.context.metrics;
        if !self.shares_load {
            return metrics.load_view_age_ms.set(-1);
        }
        let sent = self.context.member.borrow().load_messages_sent();
        metrics.load_messages.inc_by(sent.saturating_sub(metrics.load_messages.get()));
        let mut reports = self.router.load_reports(now);
        reports.truncate(MAX_REPORTED_SERVICES);
        let age = reports.iter().filter_map(|report| report.view_age_ms).min();
        metrics.load_view_age_ms.set(age.map_or(-1, |age| age as i64));
        metrics.load_requests.set_all(by_centre(&reports, |centre| centre.running));
        metrics.load_slots.set_all(by_centre(&reports, |centre| centre.slots));
        metrics
            .overflow_percent
            .set_all(by_centre(&reports, |centre| centre.overflow_share * 100.0));
        let shortage = |report: &LoadReport| f64::from(u8::from(report.is_short));
        let short = reports.iter().map(|one| (vec![one.service.to_string()], shortage(one)));
        metrics.shortage.set_all(short);
        metrics.admitted_percent.set_all(reports.iter().flat_map(|report| {
            let labels = |priority: &u32| vec![report.service.to_string(), priority.to_string()];
            report
                .admitted_shares
                .iter()
                .map(move |(priority, share)| (labels(priority), share * 100.0))
        }));
        self.count_refusals(&reports);
    }

    /// Adds the refusals since the last call to the metrics.
    fn count_refusals(&mut self, reports: &[LoadReport]) {
        let counter = &self.context.metrics.shortage_refusals;
        for report in reports {
            for (priority, count) in &report.refused_flows {
                let key = (report.service.clone(), *priority);
                let exported = self.exported_refusals.insert(key, *count).unwrap_or_default();
                let priority = priority.to_string();
                counter.with_label_values(&[&priority]).inc_by(count.saturating_sub(exported));
            }
        }
    }
}

/// Returns the labels and a value for each service in each of its data centres.
fn by_centre(
    reports: &[LoadReport],
    value: impl Fn(&CentreLoad) -> f64 + Copy,
) -> impl Iterator<Item = (Vec<String>, f64)> {
    reports.iter().flat_map(move |report| {
        report.centres.iter().map(move |centre| {
            // An empty sum is the negative zero.
            let labels = vec![report.service.to_string(), centre.data_centre.to_string()];
            (labels, value(centre) + 0.0)
        })
    })
}

fn shares_after_change(change: LoadChange, report: &LoadReport) -> BTreeMap<String, f64> {
    match change {
        LoadChange::ShortageBegun | LoadChange::ShortageEnded => {
            let shares = report.admitted_shares.iter();
            shares
                .map(|(priority, share)| (priority.to_string(), round_to_thousandths(*share)))
                .collect()
        }
        LoadChange::OverflowBegun | LoadChange::OverflowEnded => {
            let centres = report.centres.iter().filter(|centre| centre.overflow_share > 0.0);
            centres
                .map(|one| (one.data_centre.to_string(), round_to_thousandths(one.overflow_share)))
                .collect()
        }
    }
}

fn round_to_thousandths(number: f64) -> f64 {
    (number * 1_000.0).round() / 1_000.0
}
