//! Load reports received from other instances.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddrV4,
    sync::Arc,
};

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::{
    bounds::{bound_aggregate, bound_load},
    reports::{
        CentreAggregate, InstanceReport, LocalLoad, PriorityLoad, ReporterId, ServiceKey,
        ServiceLoad,
    },
    schedule::ReportPace,
    view::{CentreView, LoadView},
};

/// How long a report sent at the slow pace is valid, in milliseconds.
const SLOW_REPORT_TTL_MS: u64 = 3000;
/// How long a report sent at the fast pace is valid, in milliseconds.
const FAST_REPORT_TTL_MS: u64 = 1000;
/// The age up to which a report counts as fresh and is preferred to older ones, in milliseconds.
pub const REPORT_FRESHNESS_MS: u64 = 200;
/// How long the aggregate of another data centre is valid, in milliseconds.
const AGGREGATE_TTL_MS: u64 = 2000;
/// The number of reports of other instances that suffices for an aggregate of any number of
/// instances.
pub const SUFFICIENT_PEER_REPORTS: usize = 6;
/// One report per this many instances suffices for an aggregate.
const INSTANCES_PER_SUFFICIENT_REPORT: usize = 3;
/// The maximum number of stored reports: several times the instances of the largest data centre.
const MAX_REPORTS: usize = 4096;
/// The maximum number of stored aggregates: several times the data centres of the largest fleet.
const MAX_AGGREGATES: usize = 64;
/// The maximum number of account samples kept for the next view; an instance at the fast pace
/// receives about 400 in 100 ms.
const MAX_ACCOUNT_SAMPLES: usize = 4096;

/// Stores the unexpired reports and aggregates, and builds the view of the load of all data
/// centres.
///
/// An instance measures only a small share of the load of its data centre. The table estimates the
/// whole from the mean of the received reports, multiplied by the number of instances.
#[derive(Clone, Debug)]
pub struct LoadTable {
    data_centre: CentreName,
    local_report: Option<StoredReport>,
    /// The number of instances in the local data centre; 0 until it is known.
    instances: u32,
    alive_centres: Vec<CentreName>,
    reports: BTreeMap<SocketAddrV4, StoredReport>,
    aggregates: BTreeMap<CentreName, StoredAggregate>,
    /// Client account samples for the next view: the hash, and the openings that the sample stands
    /// for.
    account_samples: Vec<(u32, u32)>,
    fleet_clock: FleetClock,
}

impl LoadTable {
    /// Creates an empty table for an instance in `data_centre`.
    pub fn new(data_centre: CentreName) -> LoadTable {
        LoadTable {
            data_centre,
            local_report: None,
            instances: 0,
            alive_centres: Vec::new(),
            reports: BTreeMap::new(),
            aggregates: BTreeMap::new(),
            account_samples: Vec::new(),
            fleet_clock: FleetClock::default(),
        }
    }

    /// Sets the load measured by this instance, as the next report of `reporter`.
    pub fn set_local_load(&mut self, now: ClockTime, reporter: ReporterId, mut load: LocalLoad) {
        bound_load(&mut load);
        self.reports.remove(&reporter.address);
        self.record_samples(&load);
        let serial =
            self.local_report.as_ref().map_or(1, |stored| stored.report.serial.wrapping_add(1));
        let report = InstanceReport { reporter, serial, load };
        self.local_report = Some(StoredReport::new(report, now, ReportPace::Fast));
    }

    /// Sets the number of instances in the local data centre, including this one.
    pub fn set_instances(&mut self, count: u32) {
        self.instances = count;
    }

    /// Sets the other data centres that membership reports as alive.
    pub fn set_alive_centres(&mut self, others: Vec<CentreName>) {
        self.alive_centres = others;
    }

    /// Stores a report sent at `reported_at` by another instance of the local data centre. Returns
    /// `false` if it is not newer than the stored one, has expired or exceeds the limit of reports.
    ///
    /// `pace` is that of the sender, which determines the validity. A relayed report does not tell
    /// the pace of its origin and is stored with [`ReportPace::Fast`], which expires sooner.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        mut report: InstanceReport,
        reported_at: ClockTime,
        pace: ReportPace,
    ) -> bool {
        bound_load(&mut report.load);
        let received = StoredReport::new(report, reported_at.min(now), pace);
        let address = received.report.reporter.address;
        if received.expires_at.is_past(now) || self.is_local(&address) {
            return false;
        }
        let stored = self.reports.get(&address).filter(|stored| !stored.expires_at.is_past(now));
        if stored.is_some_and(|stored| !received.is_newer_than(stored)) {
            return false;
        }
        if !self.reports.contains_key(&address) && self.reports.len() >= MAX_REPORTS {
            return false;
        }
        self.record_samples(&received.report.load);
        self.reports.insert(address, received);
        true
    }

    /// Stores the aggregate that another data centre sent at `reported_at`. Returns `false` if it
    /// is not newer than the stored one, has expired or exceeds the limit of aggregates.
    pub fn apply_aggregate(
        &mut self,
        now: ClockTime,
        mut aggregate: CentreAggregate,
        reported_at: ClockTime,
    ) -> bool {
        bound_aggregate(&mut aggregate);
        let received = StoredAggregate::new(aggregate, reported_at.min(now));
        let centre = received.aggregate.data_centre.clone();
        if received.expires_at.is_past(now) || centre == self.data_centre {
            return false;
        }
        let stored = self.aggregates.get(&centre).filter(|stored| !stored.expires_at.is_past(now));
        if stored.is_some_and(|stored| !received.is_newer_than(stored)) {
            return false;
        }
        if !self.aggregates.contains_key(&centre) && self.aggregates.len() >= MAX_AGGREGATES {
            return false;
        }
        self.aggregates.insert(centre, received);
        true
    }

    /// Removes the report of an instance that left or restarted.
    pub fn remove_instance(&mut self, address: &SocketAddrV4) {
        self.reports.remove(address);
    }

    /// Removes all expired reports and aggregates.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.reports.retain(|_, stored| !stored.expires_at.is_past(now));
        self.aggregates.retain(|_, stored| !stored.expires_at.is_past(now));
    }

    /// Returns the reports of the local data centre with the times at which they were sent: the
    /// report of this instance first, then the others from newest to oldest. Includes reports that
    /// expired since the last [`LoadTable::remove_expired`].
    pub fn reports(&self) -> impl Iterator<Item = (&InstanceReport, ClockTime)> {
        let mut others: Vec<&StoredReport> = self.reports.values().collect();
        others.sort_by_key(|stored| Reverse(stored.reported_at));
        self.local_report.iter().chain(others).map(|stored| (&stored.report, stored.reported_at))
    }

    /// Returns the aggregates of other data centres with the times at which they were sent.
    pub fn aggregates(&self) -> impl Iterator<Item = (&CentreAggregate, ClockTime)> {
        self.aggregates.values().map(|stored| (&stored.aggregate, stored.reported_at))
    }

    /// Returns the aggregate of the local data centre: the mean of its reports multiplied by its
    /// number of instances.
    ///
    /// Its serial is the fleet clock, so that aggregates of different instances can be compared.
    pub fn local_aggregate(&self, now: ClockTime) -> CentreAggregate {
        CentreAggregate {
            data_centre: self.data_centre.clone(),
            serial: self.fleet_clock_ms(now),
            instances: self.instances.max(1),
            services: scaled_mean(&self.selected_reports(now), f64::from(self.instances.max(1))),
        }
    }

    /// Returns `true` if enough other instances of the local data centre have reported to rely on
    /// its aggregate, or if there are none.
    pub fn is_reliable(&self, now: ClockTime) -> bool {
        match self.instances {
            0 => false,
            1 => self.local_report.is_some(),
            _ => {
                self.local_report.is_some()
                    && self.is_sufficient(self.unexpired_reports(now).count())
            }
        }
    }

    /// Builds the view of the load of all data centres. Each account sample is returned by one view
    /// only.
    pub fn build_view(&mut self, now: ClockTime) -> Arc<LoadView> {
        self.remove_expired(now);
        let mut centres: BTreeMap<CentreName, CentreView> = self
            .aggregates
            .iter()
            .map(|(centre, stored)| (centre.clone(), stored.view()))
            .collect();
        centres.insert(self.data_centre.clone(), self.local_view(now));
        let unreported_centres = self
            .alive_centres
            .iter()
            .filter(|centre| !centres.contains_key(*centre))
            .cloned()
            .collect();
        Arc::new(LoadView {
            created_at: now,
            is_reliable: self.is_reliable(now),
            centres,
            unreported_centres,
            account_samples: mem::take(&mut self.account_samples),
            fleet_clock_ms: self.fleet_clock_ms(now),
        })
    }

    /// Advances the fleet clock to the reading of another instance, if that is ahead. The first
    /// reading received is adopted in any case.
    pub fn adopt_fleet_clock(&mut self, now: ClockTime, clock_ms: u32) {
        self.fleet_clock.synchronize(now, clock_ms);
    }

    /// Returns the reading of the fleet clock in milliseconds; it wraps around.
    ///
    /// The clock is shared by all instances. It orders aggregates of different instances, and
    /// positions the readmission window.
    pub fn fleet_clock_ms(&self, now: ClockTime) -> u32 {
        self.fleet_clock.reading_at(now)
    }

    fn local_view(&self, now: ClockTime) -> CentreView {
        let selected_reports = self.selected_reports(now);
        let others = selected_reports
            .iter()
            .filter(|stored| !self.is_local(&stored.report.reporter.address));
        let newest = others.map(|stored| stored.reported_at).max();
        CentreView {
            reported_at: newest
                .or_else(|| self.local_report.as_ref().map(|stored| stored.reported_at))
                .unwrap_or_default(),
            instances: self.instances.max(1),
            report_count: selected_reports.len() as u32,
            services: scaled_mean(&selected_reports, f64::from(self.instances.max(1))),
        }
    }

    /// Returns the reports that the local aggregate is based on: that of this instance, and the
    /// fresh ones of others, or the newest ones if too few are fresh. Older reports would hide the
    /// start of a burst.
    fn selected_reports(&self, now: ClockTime) -> Vec<&StoredReport> {
        let mut others: Vec<&StoredReport> = self.unexpired_reports(now).collect();
        others.sort_by_key(|stored| Reverse(stored.reported_at));
        let fresh = others.iter().filter(|stored| !stored.fresh_until.is_past(now)).count();
        others.truncate(fresh.max(self.sufficient_count()));
        self.local_report.iter().chain(others).collect()
    }

    fn unexpired_reports(&self, now: ClockTime) -> impl Iterator<Item = &StoredReport> {
        self.reports.values().filter(move |stored| !stored.expires_at.is_past(now))
    }

    fn is_sufficient(&self, others: usize) -> bool {
        others >= self.sufficient_count()
    }

    fn sufficient_count(&self) -> usize {
        (self.instances as usize)
            .div_ceil(INSTANCES_PER_SUFFICIENT_REPORT)
            .min(SUFFICIENT_PEER_REPORTS)
    }

    fn is_local(&self, address: &SocketAddrV4) -> bool {
        self.local_report.as_ref().is_some_and(|stored| stored.report.reporter.address == *address)
    }

    fn record_samples(&mut self, load: &LocalLoad) {
        if load.openings_per_sample == 0 {
            return;
        }
        let free = MAX_ACCOUNT_SAMPLES.saturating_sub(self.account_samples.len());
        self.account_samples.extend(
            load.sampled_accounts
                .iter()
                .take(free)
                .map(|account| (*account, load.openings_per_sample)),
        );
    }
}

/// A report with its deadlines.
#[derive(Clone, Debug)]
struct StoredReport {
    report: InstanceReport,
    reported_at: ClockTime,
    fresh_until: ClockTime,
    expires_at: ClockTime,
}

impl StoredReport {
    fn new(report: InstanceReport, reported_at: ClockTime, pace: ReportPace) -> StoredReport {
        let ttl_ms = match pace {
            ReportPace::Slow => SLOW_REPORT_TTL_MS,
            ReportPace::Fast => FAST_REPORT_TTL_MS,
        };
        StoredReport {
            report,
            reported_at,
            fresh_until: reported_at.after_millis(REPORT_FRESHNESS_MS),
            expires_at: reported_at.after_millis(ttl_ms),
        }
    }

    /// Returns `true` if this report is newer than `stored`. The low bits of two incarnations have
    /// no order, so reports of different process starts are compared by the times at which they
    /// were sent.
    fn is_newer_than(&self, stored: &StoredReport) -> bool {
        if self.report.reporter.incarnation == stored.report.reporter.incarnation {
            return self.report.serial > stored.report.serial;
        }
        self.reported_at > stored.reported_at
    }
}

/// An aggregate with its deadline.
#[derive(Clone, Debug)]
struct StoredAggregate {
    aggregate: CentreAggregate,
    reported_at: ClockTime,
    expires_at: ClockTime,
}

impl StoredAggregate {
    fn new(aggregate: CentreAggregate, reported_at: ClockTime) -> StoredAggregate {
        StoredAggregate {
            aggregate,
            reported_at,
            expires_at: reported_at.after_millis(AGGREGATE_TTL_MS),
        }
    }

    /// Returns `true` if this aggregate is newer than `stored`.
    ///
    /// An aggregate whose serial is behind by no more than the validity of an aggregate is a
    /// delayed copy. If the serial is further behind, the sender's fleet clock was reset, and the
    /// stored serial must not block all later aggregates. In either case an aggregate that was sent
    /// earlier than the stored one is older.
    fn is_newer_than(&self, stored: &StoredAggregate) -> bool {
        let behind = stored.aggregate.serial.wrapping_sub(self.aggregate.serial);
        u64::from(behind) > AGGREGATE_TTL_MS && self.reported_at >= stored.reported_at
    }

    fn view(&self) -> CentreView {
        CentreView {
            reported_at: self.reported_at,
            instances: self.aggregate.instances,
            report_count: 0,
            services: self.aggregate.services.clone(),
        }
    }
}

/// A clock shared by all instances, which adopt the latest reading that they receive. Clocks of
/// different processes could not be compared otherwise.
#[derive(Clone, Copy, Debug, Default)]
struct FleetClock {
    /// The fleet clock at the zero of this process's clock, in milliseconds.
    base_ms: u32,
    /// `true` once a reading of another instance was received.
    is_shared: bool,
}

impl FleetClock {
    fn reading_at(&self, now: ClockTime) -> u32 {
        self.base_ms.wrapping_add((now.as_micros() / 1000) as u32)
    }

    /// A new process adopts the first reading unconditionally: because the clock wraps around, its
    /// own zero would count as later than a fleet clock of more than 24 days.
    fn synchronize(&mut self, now: ClockTime, clock_ms: u32) {
        let ahead = clock_ms.wrapping_sub(self.reading_at(now));
        if !self.is_shared || ahead <= u32::MAX / 2 {
            self.base_ms = self.base_ms.wrapping_add(ahead);
        }
        self.is_shared = true;
    }
}

/// Returns the mean of the reports multiplied by `instances`. A service missing from a report
/// counts as zero load there.
fn scaled_mean(reports: &[&StoredReport], instances: f64) -> BTreeMap<ServiceKey, ServiceLoad> {
    let keys: BTreeSet<ServiceKey> =
        reports.iter().flat_map(|stored| stored.report.load.services.keys().copied()).collect();
    let factor = instances / reports.len().max(1) as f64;
    keys.into_iter()
        .map(|key| {
            let loads = reports.iter().filter_map(|stored| stored.report.load.services.get(&key));
            (key, scaled_sum(loads, factor))
        })
        .collect()
}

fn scaled_sum<'l>(loads: impl Iterator<Item = &'l ServiceLoad>, factor: f64) -> ServiceLoad {
    let mut running: BTreeMap<CentreName, f64> = BTreeMap::new();
    let mut sums: BTreeMap<u32, PrioritySum> = BTreeMap::new();
    for load in loads {
        for (centre, count) in &load.running {
            *running.entry(centre.clone()).or_default() += count * factor;
        }
        for (priority, load) in &load.priorities {
            sums.entry(*priority).or_default().add(load);
        }
    }
    let priorities = sums.into_iter().map(|(priority, sum)| (priority, sum.load(factor))).collect();
    ServiceLoad { priorities, running }
}

/// Accumulates the loads of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PrioritySum {
    arrivals_per_s: f64,
    /// Arrivals per second of the loads with a known work time.
    known_per_s: f64,
    /// Sum of the work times weighted by arrivals.
    weighted_us: f64,
    work_us: f64,
    known: u32,
}

impl PrioritySum {
    fn add(&mut self, load: &PriorityLoad) {
        self.arrivals_per_s += load.arrivals_per_s;
        if load.work_us > 0.0 {
            self.known_per_s += load.arrivals_per_s;
            self.weighted_us += load.arrivals_per_s * load.work_us;
            self.work_us += load.work_us;
            self.known += 1;
        }
    }

    fn load(&self, factor: f64) -> PriorityLoad {
        let work_us = if self.known_per_s > 0.0 {
            self.weighted_us / self.known_per_s
        } else {
            self.work_us / f64::from(self.known.max(1))
        };
        PriorityLoad { arrivals_per_s: self.arrivals_per_s * factor, work_us }
    }
}
