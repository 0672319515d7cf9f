//! Load reports: when they are sent, to which instances, and how received ones are applied.
//!
//! Under low load an instance sends its report to two others of its data centre once a second, so
//! that a shortage is detected soon after it begins. While any data centre is loaded, the instances
//! of a data centre exchange the newest reports they have, and data centres exchange aggregates.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_load::{
    InstanceReport, LoadTable, LoadView, LocalLoad, REPORT_FRESHNESS_MS, ReportPace,
    ReportSchedule, ReporterId, SUFFICIENT_PEER_REPORTS,
};
use prost::Message;
use rand::Rng;

use crate::{
    load_packing::{field_bytes, pack_aggregate, pack_report, unpack_aggregate, unpack_report},
    member::FleetMember,
    messages::{
        CentreAggregateRow, InstanceReportRow, LoadMessage, MAX_BODY_BYTES, MessageBody,
        PeerDescriptor,
    },
    options::MemberOptions,
    peers::{PeerChange, PeerLoss},
};

/// Instances of the local data centre that receive a regular report.
const REPORT_FANOUT: usize = 2;
/// Instances that are queried for their reports when the local load has jumped: together with the
/// local report they are enough to tell a burst from statistical noise.
const QUERY_FANOUT: usize = 18;
/// Instances that are informed immediately that a data centre has become loaded.
const LOADED_FANOUT: usize = 4;
/// Minimum time between two responses with the local report, in milliseconds.
const MIN_RESPONSE_INTERVAL_MS: u64 = 20;
/// Average number of instances of a data centre that send its aggregate to another data centre in
/// one interval.
const REMOTE_SENDERS: u32 = 6;
/// Maximum number of reports in a message.
const MAX_REPORTS: usize = 16;
/// Maximum number of aggregates in a message.
const MAX_AGGREGATES: usize = 16;
/// Size of a message, in bytes, beyond which no relayed report and no second aggregate is added.
const MAX_RELAY_BYTES: usize = 320;
/// The same limit for the first message that says that a data centre is loaded: it is sent once and
/// contains enough reports to make the receiver's view reliable.
const MAX_ANNOUNCEMENT_BYTES: usize = 900;
/// Maximum time by which a report sent ahead of schedule delays the next one, in milliseconds. With
/// 150 ms, views stop changing just after a burst was reported.
const MAX_TRIGGERED_DELAY_MS: u64 = 100;
/// Bytes a second that an instance at the fast pace spends on reports; a larger message delays the
/// next one. All control traffic must stay within 12 KB/s, of which heartbeats take 2 to 3 KB/s.
const FAST_BYTES_PER_S: u64 = 7_000;
/// The same limit at the slow pace, at which 1 KB/s more than the heartbeats is allowed.
const SLOW_BYTES_PER_S: u64 = 900;
/// Time for which a data centre counts as loaded after it said so, in milliseconds.
const LOADED_TTL_MS: u64 = 2_000;
/// Time constant of the mean of the locally measured running requests, in seconds.
const RUNNING_MEAN_TIME_S: f64 = 2.0;
/// Time after its start, in milliseconds, at which an instance that knows no other in its data
/// centre counts as the only one: seeds respond sooner.
const DISCOVERY_TIMEOUT_MS: u64 = 1_500;
/// Standard deviations by which running requests must exceed their mean to count as a jump.
const JUMP_DEVIATIONS: f64 = 3.5;
/// Time constant of the mean of the data centre's load ratio, in seconds. The mean only decides
/// whether a data centre is still loaded: under low load, instances whose load has jumped report
/// more often, which biases the mean upwards.
const LOAD_RATIO_MEAN_TIME_S: f64 = 1.0;
/// Factor applied to that mean.
const SUSTAINED_LOAD_FACTOR: f64 = 0.9;
/// Standard deviations of a number of requests that are attributed to statistical noise.
const NOISE_DEVIATIONS: f64 = 2.0;
/// The same limit while most of the known reports come from instances whose load has jumped.
const BIASED_NOISE_DEVIATIONS: f64 = 4.0;
/// Minimum number of reports, the local one included, that the view is based on if that many are
/// known.
const MIN_REPORTS: usize = SUFFICIENT_PEER_REPORTS + 1;
/// Fresh reports of other instances that are enough to tell a burst from statistical noise.
const SUFFICIENT_FRESH_REPORTS: usize = 10;
/// Size of the fields of a message other than reports and aggregates, in bytes.
const HEADER_BYTES: usize = 16;

/// Reason for sending a report ahead of schedule, in ascending order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReportTrigger {
    /// The locally measured load has jumped.
    LocalJump,
    /// Another instance reported a loaded data centre while one was already known to be loaded.
    OtherCentreLoaded,
    /// Another instance reported a loaded data centre while none was known to be loaded.
    FirstCentreLoaded,
    /// The local data centre is loaded according to the local view.
    LocalCentreLoaded,
}

/// The load known to an instance, and the schedule by which the instance reports it.
#[derive(Debug)]
pub(crate) struct LoadReporter {
    local_id: ReporterId,
    centre: CentreName,
    table: LoadTable,
    schedule: ReportSchedule,
    /// Number of other instances in the local data centre.
    peer_count: usize,
    /// When an instance that knows no other in its data centre counts as the only one.
    discovery_ends_at: ClockTime,
    /// False until the local load has been measured.
    has_local_load: bool,
    /// When the byte budget of the fast pace allows the next report.
    fast_budget_free_at: ClockTime,
    /// When the byte budget of the slow pace allows the next report.
    slow_budget_free_at: ClockTime,
    /// Mean of the locally measured running requests.
    mean_running: f64,
    /// Mean of the local data centre's load, in requests per slot.
    mean_load_ratio: f64,
    /// When the local load was last measured.
    measured_at: ClockTime,
    /// Until when each data centre counts as loaded, the local one included.
    loaded_until: BTreeMap<CentreName, ClockTime>,
    /// Why the next report is sent immediately; none if it waits for the schedule.
    trigger: Option<ReportTrigger>,
    /// When the next request for the local report may be answered.
    next_response_at: ClockTime,
    /// Index of the aggregate that is relayed next.
    next_aggregate: usize,
    /// Messages sent since the start.
    sent_count: u64,
}

impl LoadReporter {
    /// Creates the reporter of an instance that knows no load yet.
    pub fn new(now: ClockTime, options: &MemberOptions) -> LoadReporter {
        let (address, incarnation) = (options.address, options.incarnation as u32);
        LoadReporter {
            local_id: ReporterId { address, incarnation },
            centre: options.data_centre.clone(),
            table: LoadTable::new(options.data_centre.clone()),
            schedule: ReportSchedule::new(now),
            peer_count: 0,
            discovery_ends_at: now.after_millis(DISCOVERY_TIMEOUT_MS),
            has_local_load: false,
            fast_budget_free_at: now,
            slow_budget_free_at: now,
            mean_running: 0.0,
            mean_load_ratio: 0.0,
            measured_at: ClockTime::ZERO,
            loaded_until: BTreeMap::new(),
            trigger: None,
            next_response_at: now,
            next_aggregate: 0,
            sent_count: 0,
        }
    }

    /// Returns when the next report is due; none until the local load has been measured.
    pub fn next_report_at(&self, now: ClockTime) -> Option<ClockTime> {
        if self.has_local_load && self.trigger.is_some() {
            return Some(now);
        }
        let free_at = match self.schedule.pace(now) {
            ReportPace::Fast => self.fast_budget_free_at,
            ReportPace::Slow => self.slow_budget_free_at,
        };
        self.has_local_load.then(|| self.schedule.next_report_at().max(free_at))
    }

    /// Returns whether any data centre counts as loaded.
    fn is_any_centre_loaded(&self, now: ClockTime) -> bool {
        self.loaded_until.values().any(|until| !until.is_past(now))
    }

    /// Updates the local running requests and the data centre's load in requests per slot, both
    /// reduced by the share that statistical noise explains.
    ///
    /// The standard deviation of running requests is their square root. An instance under low load
    /// that sees seven requests of its data centre would take it for loaded every few seconds.
    fn update_local_load(&mut self, now: ClockTime, running: f64, load_ratio: f64) {
        let age_s = now.since(self.measured_at).as_secs_f64();
        self.mean_running +=
            (running - self.mean_running) * (1.0 - (-age_s / RUNNING_MEAN_TIME_S).exp());
        self.measured_at = now;
        let is_jump = running > self.mean_running + JUMP_DEVIATIONS * self.mean_running.sqrt();
        let running = if is_jump { running } else { self.mean_running };
        let former_pace = self.schedule.pace(now);
        self.mean_load_ratio +=
            (load_ratio - self.mean_load_ratio) * (1.0 - (-age_s / LOAD_RATIO_MEAN_TIME_S).exp());
        let was_loaded = self.loaded_until.get(&self.centre).is_some_and(|at| !at.is_past(now));
        let sustained_ratio =
            if was_loaded { self.mean_load_ratio * SUSTAINED_LOAD_FACTOR } else { 0.0 };
        let load_ratio = sustained_ratio.max(load_ratio * self.significant_share(now));
        self.schedule.update_local_load(now, running, load_ratio);
        if self.schedule.is_loaded() {
            let local_centre = self.centre.clone();
            self.record_loaded_centre(
                now,
                local_centre,
                now.after_millis(LOADED_TTL_MS),
                ReportTrigger::LocalCentreLoaded,
            );
        } else if !former_pace.is_fast() && self.schedule.pace(now).is_fast() {
            self.trigger = self.trigger.max(Some(ReportTrigger::LocalJump));
        }
    }

    /// Returns the share of the load in requests per slot that statistical noise doesn't explain,
    /// given the number of requests that the view is based on.
    ///
    /// While few reports are fresh, most of them come from instances whose load has jumped.
    fn significant_share(&self, now: ClockTime) -> f64 {
        let requests = |report: &InstanceReport| -> f64 {
            report.load.services.values().flat_map(|load| load.running.values()).sum()
        };
        let is_fresh =
            |reported_at: &ClockTime| !reported_at.after_millis(REPORT_FRESHNESS_MS).is_past(now);
        let reports: Vec<_> = self.table.reports().collect();
        let fresh = reports.iter().filter(|(_, reported_at)| is_fresh(reported_at)).count();
        let is_unbiased = fresh > SUFFICIENT_FRESH_REPORTS.min(self.peer_count / 2);
        let deviations = if is_unbiased { NOISE_DEVIATIONS } else { BIASED_NOISE_DEVIATIONS };
        let requests_seen: f64 =
            reports.iter().take(fresh.max(MIN_REPORTS)).map(|(report, _)| requests(report)).sum();
        (1.0 - deviations / requests_seen.max(1.0).sqrt()).max(0.0)
    }

    /// Records until when a data centre counts as loaded.
    fn record_loaded_centre(
        &mut self,
        now: ClockTime,
        data_centre: CentreName,
        until: ClockTime,
        trigger: ReportTrigger,
    ) {
        let is_first =
            !self.is_any_centre_loaded(now) || trigger == ReportTrigger::LocalCentreLoaded;
        let known = self.loaded_until.entry(data_centre).or_default();
        if known.is_past(now) {
            let trigger = if is_first { trigger } else { ReportTrigger::OtherCentreLoaded };
            self.trigger = self.trigger.max(Some(trigger));
        }
        *known = until.max(*known);
    }

    /// Returns a message that contains the local report only.
    fn local_message(&self, now: ClockTime) -> LoadMessage {
        LoadMessage { reports: self.local_row(now), ..self.empty_message(now) }
    }

    /// Returns a message to instances of the local data centre that contains the local report, and
    /// relayed reports and aggregates up to a size of about `max_bytes`.
    fn relay_message(
        &mut self,
        now: ClockTime,
        trigger: Option<ReportTrigger>,
        max_bytes: usize,
    ) -> LoadMessage {
        let mut message = LoadMessage { reports: self.local_row(now), ..self.empty_message(now) };
        let mut bytes = message.encoded_len();
        if trigger.is_some() {
            self.next_aggregate = self.newest_aggregate();
        }
        self.add_aggregates(now, &mut message, &mut bytes, max_bytes);
        for (report, reported_at) in self.table.reports().skip(1).take(MAX_REPORTS - 1) {
            let row = pack_report(now, report, reported_at, &self.centre, MAX_BODY_BYTES);
            let size = field_bytes(row.encoded_len());
            if bytes + size > max_bytes {
                break;
            }
            bytes += size;
            message.reports.push(row);
        }
        message
    }

    /// Returns the index of the newest aggregate of another data centre.
    fn newest_aggregate(&self) -> usize {
        let aggregates = self.table.aggregates().enumerate();
        aggregates.max_by_key(|(_, (_, reported_at))| *reported_at).map_or(0, |(index, _)| index)
    }

    /// Adds aggregates of other data centres in round-robin order: the first one if it fits into
    /// the message at all, and more up to half of the space for relayed data.
    fn add_aggregates(
        &mut self,
        now: ClockTime,
        message: &mut LoadMessage,
        bytes: &mut usize,
        max_bytes: usize,
    ) {
        let aggregates: Vec<_> = self.table.aggregates().collect();
        let max_bytes = (max_bytes + *bytes) / 2;
        let first = self.next_aggregate.checked_rem(aggregates.len()).unwrap_or(0);
        let (wrapped, leading) = aggregates.split_at(first);
        for (aggregate, reported_at) in leading.iter().chain(wrapped) {
            let until = self.loaded_until.get(&aggregate.data_centre).copied().unwrap_or_default();
            let row = pack_aggregate(now, aggregate, *reported_at, until, MAX_BODY_BYTES);
            let size = field_bytes(row.encoded_len());
            let limit = if message.aggregates.is_empty() { MAX_BODY_BYTES } else { max_bytes };
            if *bytes + size > limit {
                break;
            }
            *bytes += size;
            message.aggregates.push(row);
        }
        self.next_aggregate = first + message.aggregates.len().max(1);
    }

    /// Returns the message to another data centre, which contains the aggregate of the local one.
    fn remote_message(&self, now: ClockTime) -> LoadMessage {
        let budget = MAX_BODY_BYTES - HEADER_BYTES;
        let until = match self.schedule.is_loaded() {
            true => now.after_millis(LOADED_TTL_MS),
            false => ClockTime::ZERO,
        };
        let row = pack_aggregate(now, &self.table.local_aggregate(now), now, until, budget);
        LoadMessage { is_remote: true, aggregates: vec![row], ..self.empty_message(now) }
    }

    fn empty_message(&self, now: ClockTime) -> LoadMessage {
        LoadMessage {
            is_remote: false,
            reports: Vec::new(),
            aggregates: Vec::new(),
            fleet_clock_ms: self.table.fleet_clock_ms(now),
            is_loaded: self.schedule.is_loaded(),
            is_fast: self.schedule.pace(now).is_fast(),
        }
    }

    fn local_row(&self, now: ClockTime) -> Vec<InstanceReportRow> {
        let budget = MAX_BODY_BYTES - HEADER_BYTES;
        let local_report = self.table.reports().take(1);
        local_report
            .map(|(report, reported_at)| {
                pack_report(now, report, reported_at, &self.centre, budget)
            })
            .collect()
    }

    /// Charges the bytes of a report to both budgets.
    fn charge_budget(&mut self, now: ClockTime, bytes: usize, trigger: Option<ReportTrigger>) {
        let cost_ms = |bytes_per_s: u64| bytes as u64 * 1_000 / bytes_per_s;
        let fast_cost_ms = cost_ms(FAST_BYTES_PER_S);
        let is_triggered = trigger.is_some();
        self.fast_budget_free_at = now.after_millis(if is_triggered {
            fast_cost_ms.min(MAX_TRIGGERED_DELAY_MS)
        } else {
            fast_cost_ms
        });
        self.slow_budget_free_at = now.after_millis(cost_ms(SLOW_BYTES_PER_S));
    }

    /// Applies the aggregate of a data centre, and its statement that it is loaded.
    ///
    /// The statement counts only in a newer aggregate. It is relayed as the remaining time, so its
    /// deadline moves by the transmission time at each hop, and instances would otherwise refresh
    /// it among themselves forever.
    fn apply_aggregate(&mut self, now: ClockTime, row: &CentreAggregateRow) {
        let (aggregate, reported_at) = unpack_aggregate(now, row);
        let data_centre = aggregate.data_centre.clone();
        let is_newer = self.table.apply_aggregate(now, aggregate, reported_at);
        if is_newer && row.loaded_ms > 0 && data_centre != self.centre {
            let remaining_ms = u64::from(row.loaded_ms).min(LOADED_TTL_MS);
            let until = now.after_millis(remaining_ms);
            self.record_loaded_centre(now, data_centre, until, ReportTrigger::FirstCentreLoaded);
            self.schedule.record_loaded_centre(until.before_millis(LOADED_TTL_MS));
        }
    }
}

impl FleetMember {
    /// Sets the locally measured load and the data centre's highest load of a service in requests
    /// per slot, and reports them if a report is due. Does nothing unless load reporting is
    /// enabled.
    pub fn set_local_load(&mut self, now: ClockTime, local_load: LocalLoad, load_ratio: f64) {
        self.update_instance_counts(now);
        let Some(reporter) = &mut self.load_reporter else { return };
        let running =
            local_load.services.values().flat_map(|service| service.running.values()).sum();
        reporter.table.set_local_load(now, reporter.local_id, local_load);
        reporter.has_local_load = true;
        reporter.table.remove_expired(now);
        reporter.update_local_load(now, running, load_ratio);
        self.report_load(now);
    }

    /// Returns the known load of all data centres; none unless load reporting is enabled. Each
    /// account sample is returned only once.
    pub fn load_view(&mut self, now: ClockTime) -> Option<Arc<LoadView>> {
        self.update_instance_counts(now);
        Some(self.load_reporter.as_mut()?.table.build_view(now))
    }

    /// Returns how often this instance reports its load.
    pub fn load_report_pace(&self, now: ClockTime) -> ReportPace {
        self.load_reporter.as_ref().map_or(ReportPace::Slow, |reporter| reporter.schedule.pace(now))
    }

    /// Returns the number of load messages sent since the start.
    pub fn load_messages_sent(&self) -> u64 {
        self.load_reporter.as_ref().map_or(0, |reporter| reporter.sent_count)
    }

    /// Sends a load report if one is due.
    pub(crate) fn report_load(&mut self, now: ClockTime) {
        let next_report_at =
            self.load_reporter.as_ref().and_then(|reporter| reporter.next_report_at(now));
        if self.descriptor.is_leaving || !next_report_at.is_some_and(|at| at.is_past(now)) {
            return;
        }
        let Some(reporter) = &mut self.load_reporter else { return };
        let trigger = reporter.trigger.take();
        let fanout = match trigger {
            None | Some(ReportTrigger::OtherCentreLoaded) => REPORT_FANOUT,
            Some(ReportTrigger::LocalJump) => QUERY_FANOUT,
            Some(_) => LOADED_FANOUT,
        };
        let is_first = trigger >= Some(ReportTrigger::FirstCentreLoaded);
        let max_bytes = if is_first { MAX_ANNOUNCEMENT_BYTES } else { MAX_RELAY_BYTES };
        let recipients = self.peers.pick_same_centre(&mut self.rng, now, fanout);
        let instances = self.peers.same_centre_size(now) as u32 + 1;
        reporter.schedule.record_report_sent(now);
        reporter.table.remove_expired(now);
        let message = match reporter.schedule.pace(now) {
            ReportPace::Slow => reporter.local_message(now),
            ReportPace::Fast if reporter.is_any_centre_loaded(now) => {
                reporter.relay_message(now, trigger, max_bytes)
            }
            ReportPace::Fast => reporter.local_message(now),
        };
        let has_remote_message =
            reporter.is_any_centre_loaded(now) && reporter.table.is_reliable(now);
        let remote_message = has_remote_message.then(|| reporter.remote_message(now));
        let mut bytes = self.send_load_message(recipients, message);
        if let Some(message) = remote_message
            && (trigger == Some(ReportTrigger::LocalCentreLoaded)
                || self.rng.random_ratio(REMOTE_SENDERS.min(instances), instances))
        {
            let remote = self.peers.pick_remote(&mut self.rng, 1);
            bytes += self.send_load_message(remote, message);
        }
        if let Some(reporter) = &mut self.load_reporter {
            reporter.charge_budget(now, bytes, trigger);
        }
    }

    /// Handles a load message of another instance.
    pub(crate) fn handle_load(&mut self, now: ClockTime, from: SocketAddrV4, message: LoadMessage) {
        let is_remote = message.is_remote || self.peers.is_remote(&from);
        let Some(reporter) = &mut self.load_reporter else { return };
        reporter.table.adopt_fleet_clock(now, message.fleet_clock_ms);
        let max_aggregates = if is_remote { 1 } else { MAX_AGGREGATES };
        for row in message.aggregates.iter().take(max_aggregates) {
            if self.peers.has_centre(&row.data_centre) {
                reporter.apply_aggregate(now, row);
            }
        }
        if !is_remote {
            self.apply_reports(now, &message);
            self.answer_report_query(now, from, &message);
        }
        self.report_load(now);
    }

    /// Answers an instance whose load has jumped with the local report, unless this instance
    /// reports at the fast pace anyway.
    fn answer_report_query(&mut self, now: ClockTime, to: SocketAddrV4, message: &LoadMessage) {
        let Some(reporter) = &mut self.load_reporter else { return };
        let is_query = message.is_fast && !message.is_loaded && message.aggregates.is_empty();
        let is_slow = reporter.has_local_load && !reporter.schedule.pace(now).is_fast();
        if !is_query
            || !is_slow
            || self.descriptor.is_leaving
            || !reporter.next_response_at.is_past(now)
        {
            return;
        }
        reporter.next_response_at = now.after_millis(MIN_RESPONSE_INTERVAL_MS);
        let message = reporter.local_message(now);
        self.send_load_message(vec![to], message);
    }

    /// Applies reports of instances of the local data centre; the first is the sender's own.
    fn apply_reports(&mut self, now: ClockTime, message: &LoadMessage) {
        let Some(reporter) = &mut self.load_reporter else { return };
        let sender_pace = if message.is_fast { ReportPace::Fast } else { ReportPace::Slow };
        let mut pace = sender_pace;
        for row in message.reports.iter().take(MAX_REPORTS) {
            let pace = std::mem::replace(&mut pace, ReportPace::Fast);
            let Some((report, time)) = unpack_report(now, row, &reporter.centre) else { continue };
            let ReporterId { address, incarnation } = report.reporter;
            if address == reporter.local_id.address || self.peers.has_left(&address, incarnation) {
                continue;
            }
            reporter.table.apply_report(now, report, time, pace);
        }
        if message.is_loaded {
            let local_centre = reporter.centre.clone();
            reporter.record_loaded_centre(
                now,
                local_centre,
                now.after_millis(LOADED_TTL_MS),
                ReportTrigger::FirstCentreLoaded,
            );
            reporter.schedule.record_loaded_centre(now);
        }
    }

    /// Removes the report of an instance that left or restarted.
    pub(crate) fn remove_peer_load(&mut self, change: PeerChange, peer: &PeerDescriptor) {
        let (Some(load), Some(address)) = (&mut self.load_reporter, peer.address()) else { return };
        let is_gone = match change {
            PeerChange::Left => true,
            PeerChange::Joined => load.table.reports().any(|(report, _)| {
                let ReporterId { address: reporter_address, incarnation } = report.reporter;
                reporter_address == address && incarnation != peer.incarnation as u32
            }),
            PeerChange::Unchanged | PeerChange::CentreReachable => false,
        };
        if is_gone {
            load.table.remove_instance(&address);
        }
    }

    /// Removes the report of an instance that has become unresponsive.
    pub(crate) fn remove_lost_peer_load(&mut self, loss: &PeerLoss) {
        if let (Some(reporter), PeerLoss::Peer { address, .. }) = (&mut self.load_reporter, loss) {
            reporter.table.remove_instance(address);
        }
    }

    /// Updates the number of instances and the live data centres from the membership.
    fn update_instance_counts(&mut self, now: ClockTime) {
        let Some(reporter) = &mut self.load_reporter else { return };
        reporter.peer_count = self.peers.same_centre_size(now);
        let is_unknown = reporter.peer_count == 0 && !reporter.discovery_ends_at.is_past(now);
        reporter.table.set_instances(if is_unknown { 0 } else { reporter.peer_count as u32 + 1 });
        reporter
            .table
            .set_alive_centres(self.peers.remote_centres().map(CentreName::new).collect());
    }

    /// Sends a message to several instances. Returns the number of bytes sent.
    fn send_load_message(&mut self, to: Vec<SocketAddrV4>, message: LoadMessage) -> usize {
        let bytes = to.len() * message.encoded_len();
        if let Some(reporter) = &mut self.load_reporter {
            reporter.sent_count += to.len() as u64;
        }
        for address in to {
            self.send_message(address, MessageBody::Load(message.clone()));
        }
        bytes
    }
}
