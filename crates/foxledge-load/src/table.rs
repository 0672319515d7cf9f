//! What an instance holds of the load of others.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddrV4,
    sync::Arc,
};

use foxledge_core::{names::CentreName, time::ClockTime};

use crate::{
    bounds::{bound_load, bound_sum},
    own::{
        CentreAggregate, InstanceReport, LocalLoad, PriorityLoad, ReporterId, ServiceKey,
        ServiceLoad,
    },
    schedule::ReportPace,
    view::{CentreView, LoadView},
};

/// Time after which a calm teller's part expires, in milliseconds.
const CALM_PART_MS: u64 = 3000;
/// Time after which a busy teller's part expires, in milliseconds.
const BUSY_PART_MS: u64 = 1000;
/// Time for which a part is fresh, in milliseconds.
pub const REPORT_FRESHNESS_MS: u64 = 200;
/// Time after which another data centre's sum expires, in milliseconds.
const SUM_MS: u64 = 2000;
/// Parts of other instances that are enough for a sum, whatever the number of instances.
pub const SUFFICIENT_PEER_REPORTS: usize = 6;
/// One in so many of the instances is enough for a sum.
const ENOUGH_ONE_IN: usize = 3;
/// Parts held, several times the instances of the largest data centre.
const MOST_PARTS: usize = 4096;
/// Sums held, several times the data centres of the largest fleet.
const MOST_SUMS: usize = 64;
/// Account samples held until the next view; a busy instance hears some 400 in 100 ms.
const MOST_SAMPLES: usize = 4096;

/// `LoadTable` is the parts and sums that an instance holds.
///
/// It answers the load of a whole data centre, of which the instance itself sees a small part:
/// the mean of the parts that were heard stands for those that weren't.
#[derive(Clone, Debug)]
pub struct LoadTable {
    data_centre: CentreName,
    own: Option<HeardPart>,
    /// Instances of the own data centre; 0 until it is known.
    instances: u32,
    alive: Vec<CentreName>,
    reports: BTreeMap<SocketAddrV4, HeardPart>,
    aggregates: BTreeMap<CentreName, HeardSum>,
    samples: Vec<(u32, u32)>,
    turn: TurnClock,
}

impl LoadTable {
    /// An empty table of an instance in this data centre.
    pub fn new(data_centre: CentreName) -> LoadTable {
        LoadTable {
            data_centre,
            own: None,
            instances: 0,
            alive: Vec::new(),
            reports: BTreeMap::new(),
            aggregates: BTreeMap::new(),
            samples: Vec::new(),
            turn: TurnClock::default(),
        }
    }

    /// Sets the own load, as the next part of this teller.
    pub fn set_local_load(&mut self, now: ClockTime, teller: ReporterId, mut load: LocalLoad) {
        bound_load(&mut load);
        self.reports.remove(&teller.address);
        self.collect_samples(&load);
        let serial = self.own.as_ref().map_or(1, |own| own.part.serial.wrapping_add(1));
        let part = InstanceReport { reporter: teller, serial, load };
        self.own = Some(HeardPart::new(part, now, ReportPace::Fast));
    }

    /// Sets the number of instances of the own data centre, the own one included.
    pub fn set_instances(&mut self, count: u32) {
        self.instances = count;
    }

    /// Sets the other data centres that are alive by membership.
    pub fn set_alive_centres(&mut self, others: Vec<CentreName>) {
        self.alive = others;
    }

    /// Takes a part told at `told_at` by an instance of the own data centre; true when it is
    /// news. A relayed part is taken at the pace [`ReportPace::Busy`].
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        mut part: InstanceReport,
        told_at: ClockTime,
        pace: ReportPace,
    ) -> bool {
        bound_load(&mut part.load);
        let heard = HeardPart::new(part, told_at.min(now), pace);
        let address = heard.part.reporter.address;
        if heard.expires_at.is_past(now) || self.is_own(&address) {
            return false;
        }
        let held = self.reports.get(&address).filter(|held| !held.expires_at.is_past(now));
        if held.is_some_and(|held| !heard.follows(held)) {
            return false;
        }
        if !self.reports.contains_key(&address) && self.reports.len() >= MOST_PARTS {
            return false;
        }
        self.collect_samples(&heard.part.load);
        self.reports.insert(address, heard);
        true
    }

    /// Takes the sum of another data centre told at `told_at`; true when it is news.
    pub fn apply_aggregate(
        &mut self,
        now: ClockTime,
        mut sum: CentreAggregate,
        told_at: ClockTime,
    ) -> bool {
        bound_sum(&mut sum);
        let heard = HeardSum::new(sum, told_at.min(now));
        let centre = heard.sum.data_centre.clone();
        if heard.expires_at.is_past(now) || centre == self.data_centre {
            return false;
        }
        let held = self.aggregates.get(&centre).filter(|held| !held.expires_at.is_past(now));
        if held.is_some_and(|held| !heard.follows(held)) {
            return false;
        }
        if !self.aggregates.contains_key(&centre) && self.aggregates.len() >= MOST_SUMS {
            return false;
        }
        self.aggregates.insert(centre, heard);
        true
    }

    /// Removes the part of an instance that left or restarted.
    pub fn remove_instance(&mut self, address: &SocketAddrV4) {
        self.reports.remove(address);
    }

    /// Removes what has expired.
    pub fn remove_expired(&mut self, now: ClockTime) {
        self.reports.retain(|_, heard| !heard.expires_at.is_past(now));
        self.aggregates.retain(|_, heard| !heard.expires_at.is_past(now));
    }

    /// Parts of the own data centre with the times when they were told: the own one first, then
    /// the newest. Those that expired since [`LoadTable::forget`] are included.
    pub fn reports(&self) -> impl Iterator<Item = (&InstanceReport, ClockTime)> {
        let mut others: Vec<&HeardPart> = self.reports.values().collect();
        others.sort_by_key(|heard| Reverse(heard.told_at));
        self.own.iter().chain(others).map(|heard| (&heard.part, heard.told_at))
    }

    /// Sums of other data centres with the times when they were told.
    pub fn aggregates(&self) -> impl Iterator<Item = (&CentreAggregate, ClockTime)> {
        self.aggregates.values().map(|heard| (&heard.sum, heard.told_at))
    }

    /// The sum of the own data centre: the mean of its parts times its instances.
    ///
    /// Its serial is the shared turn clock, so that sums of different tellers compare.
    pub fn local_aggregate(&self, now: ClockTime) -> CentreAggregate {
        CentreAggregate {
            data_centre: self.data_centre.clone(),
            serial: self.fleet_clock_ms(now),
            instances: self.instances.max(1),
            services: mean_times(&self.basis(now), f64::from(self.instances.max(1))),
        }
    }

    /// True when enough other instances of the own data centre were heard of for its sum to be
    /// relied on, or when there is no other.
    pub fn is_reliable(&self, now: ClockTime) -> bool {
        match self.instances {
            0 => false,
            1 => self.own.is_some(),
            _ => self.own.is_some() && self.is_enough(self.unexpired(now).count()),
        }
    }

    /// The load of all data centres. Account samples are handed out once.
    pub fn build_view(&mut self, now: ClockTime) -> Arc<LoadView> {
        self.remove_expired(now);
        let mut centres: BTreeMap<CentreName, CentreView> =
            self.aggregates.iter().map(|(centre, heard)| (centre.clone(), heard.view())).collect();
        centres.insert(self.data_centre.clone(), self.own_view(now));
        let unheard =
            self.alive.iter().filter(|centre| !centres.contains_key(*centre)).cloned().collect();
        Arc::new(LoadView {
            created_at: now,
            is_reliable: self.is_reliable(now),
            centres,
            unreported_centres: unheard,
            account_samples: mem::take(&mut self.samples),
            fleet_clock_ms: self.fleet_clock_ms(now),
        })
    }

    /// Takes the shared turn clock as another instance told it; a later one is adopted.
    pub fn adopt_fleet_clock(&mut self, now: ClockTime, turn_ms: u32) {
        self.turn.take(now, turn_ms);
    }

    /// The shared turn clock, in milliseconds; it wraps.
    pub fn fleet_clock_ms(&self, now: ClockTime) -> u32 {
        self.turn.at(now)
    }

    fn own_view(&self, now: ClockTime) -> CentreView {
        let basis = self.basis(now);
        let others = basis.iter().filter(|heard| !self.is_own(&heard.part.reporter.address));
        let newest = others.map(|heard| heard.told_at).max();
        CentreView {
            reported_at: newest
                .or_else(|| self.own.as_ref().map(|own| own.told_at))
                .unwrap_or_default(),
            instances: self.instances.max(1),
            report_count: basis.len() as u32,
            services: mean_times(&basis, f64::from(self.instances.max(1))),
        }
    }

    /// The parts that the own sum rests on: the fresh ones, or the newest ones when the fresh
    /// aren't enough. Older parts would hide the start of a burst.
    fn basis(&self, now: ClockTime) -> Vec<&HeardPart> {
        let mut others: Vec<&HeardPart> = self.unexpired(now).collect();
        others.sort_by_key(|heard| Reverse(heard.told_at));
        let fresh = others.iter().filter(|heard| !heard.fresh_until.is_past(now)).count();
        others.truncate(fresh.max(self.enough()));
        self.own.iter().chain(others).collect()
    }

    fn unexpired(&self, now: ClockTime) -> impl Iterator<Item = &HeardPart> {
        self.reports.values().filter(move |heard| !heard.expires_at.is_past(now))
    }

    fn is_enough(&self, others: usize) -> bool {
        others >= self.enough()
    }

    fn enough(&self) -> usize {
        (self.instances as usize).div_ceil(ENOUGH_ONE_IN).min(SUFFICIENT_PEER_REPORTS)
    }

    fn is_own(&self, address: &SocketAddrV4) -> bool {
        self.own.as_ref().is_some_and(|own| own.part.reporter.address == *address)
    }

    fn collect_samples(&mut self, load: &LocalLoad) {
        if load.openings_per_sample == 0 {
            return;
        }
        let room = MOST_SAMPLES.saturating_sub(self.samples.len());
        self.samples.extend(
            load.sampled_accounts
                .iter()
                .take(room)
                .map(|account| (*account, load.openings_per_sample)),
        );
    }
}

/// `HeardPart` is a part with its deadlines.
#[derive(Clone, Debug)]
struct HeardPart {
    part: InstanceReport,
    told_at: ClockTime,
    fresh_until: ClockTime,
    expires_at: ClockTime,
}

impl HeardPart {
    fn new(part: InstanceReport, told_at: ClockTime, pace: ReportPace) -> HeardPart {
        let expiry_ms = match pace {
            ReportPace::Slow => CALM_PART_MS,
            ReportPace::Fast => BUSY_PART_MS,
        };
        HeardPart {
            part,
            told_at,
            fresh_until: told_at.after_millis(REPORT_FRESHNESS_MS),
            expires_at: told_at.after_millis(expiry_ms),
        }
    }

    /// True when it is newer than `held`. Numbers of starts don't compare by their low halves,
    /// so parts of different starts compare by the time when they were told.
    fn follows(&self, held: &HeardPart) -> bool {
        if self.part.reporter.incarnation == held.part.reporter.incarnation {
            return self.part.serial > held.part.serial;
        }
        self.told_at > held.told_at
    }
}

/// `HeardSum` is a sum with its deadline.
#[derive(Clone, Debug)]
struct HeardSum {
    sum: CentreAggregate,
    told_at: ClockTime,
    expires_at: ClockTime,
}

impl HeardSum {
    fn new(sum: CentreAggregate, told_at: ClockTime) -> HeardSum {
        HeardSum { sum, told_at, expires_at: told_at.after_millis(SUM_MS) }
    }

    /// True when it is newer than `held`.
    ///
    /// A serial that is behind by no more than the life of a sum is a late copy. One that is
    /// further behind comes from a teller whose clock was reset, and a serial far ahead mustn't
    /// shut out all later sums.
    fn follows(&self, held: &HeardSum) -> bool {
        let behind = held.sum.serial.wrapping_sub(self.sum.serial);
        u64::from(behind) > SUM_MS && self.told_at >= held.told_at
    }

    fn view(&self) -> CentreView {
        CentreView {
            reported_at: self.told_at,
            instances: self.sum.instances,
            report_count: 0,
            services: self.sum.services.clone(),
        }
    }
}

/// `TurnClock` is the clock that instances share: each adopts the latest one that it hears.
#[derive(Clone, Copy, Debug, Default)]
struct TurnClock {
    /// The shared clock at the start of the own one, in milliseconds.
    base_ms: u32,
    /// True when a clock of another instance was adopted or compared.
    is_shared: bool,
}

impl TurnClock {
    fn at(&self, now: ClockTime) -> u32 {
        self.base_ms.wrapping_add((now.as_micros() / 1000) as u32)
    }

    /// A new start adopts the first one that it hears: with a clock that wraps, its own zero
    /// counts as later than the others' clocks after 24 days.
    fn take(&mut self, now: ClockTime, turn_ms: u32) {
        let ahead = turn_ms.wrapping_sub(self.at(now));
        if !self.is_shared || ahead <= u32::MAX / 2 {
            self.base_ms = self.base_ms.wrapping_add(ahead);
        }
        self.is_shared = true;
    }
}

/// The mean of the parts times the instances. A service that a part doesn't name has no load
/// there.
fn mean_times(basis: &[&HeardPart], instances: f64) -> BTreeMap<ServiceKey, ServiceLoad> {
    let keys: BTreeSet<ServiceKey> =
        basis.iter().flat_map(|heard| heard.part.load.services.keys().copied()).collect();
    let factor = instances / basis.len().max(1) as f64;
    keys.into_iter()
        .map(|key| {
            let loads = basis.iter().filter_map(|heard| heard.part.load.services.get(&key));
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

/// `PrioritySum` adds up the loads of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PrioritySum {
    arrivals_per_s: f64,
    /// Arrivals of the loads whose work time is known.
    known_per_s: f64,
    /// Work times weighted by arrivals.
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
