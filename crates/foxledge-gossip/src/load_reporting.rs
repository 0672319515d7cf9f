//! Reporting of load: when, to whom, and what is taken from others.
//!
//! In a calm fleet an instance tells its part to two others a second, for a shortage to be seen
//! soon after it begins. While a data centre is pressed, all of its instances exchange the newest
//! parts they know, and data centres exchange their sums.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use foxledge_core::{names::CentreName, time::ClockTime};
use foxledge_load::{
    InstanceReport, LoadTable, LoadView, LocalLoad, REPORT_FRESHNESS_MS, ReportPace,
    ReportSchedule, ReporterId, SUFFICIENT_PEER_REPORTS,
};
use prost::Message;
use rand::Rng;

use crate::{
    load_packing::{framed, pack_part, pack_sum, unpack_part, unpack_sum},
    member::FleetMember,
    messages::{
        CentreAggregateRow, InstanceReportRow, LoadMessage, MAX_BODY_BYTES, MessageBody,
        PeerDescriptor,
    },
    options::MemberOptions,
    peers::{PeerChange, PeerLoss},
};

/// Instances of the own data centre that a round is told to.
const NEAR_FANOUT: usize = 2;
/// Instances that are asked for their parts when the own load has jumped: with the own part
/// they are enough to tell a burst from chance.
const ASK_FANOUT: usize = 18;
/// Instances that are told at once that the own data centre is pressed.
const ONSET_FANOUT: usize = 4;
/// Shortest time between two answers with the own part, in milliseconds.
const ANSWER_MS: u64 = 20;
/// Instances of a data centre, on average, that tell each other one its sum in a round.
const FAR_TELLERS: u32 = 6;
/// Most parts in a message.
const MOST_PARTS: usize = 16;
/// Most sums in a message.
const MOST_SUMS: usize = 16;
/// Bytes of a busy message beyond which no relayed part or second sum is added.
const RELAY_BYTES: usize = 320;
/// The same for the message that tells first that a data centre is pressed: it is sent once and
/// holds what makes the receiver sure.
const ONSET_BYTES: usize = 900;
/// Longest time for which a round that didn't wait until it was due delays the next one, in
/// milliseconds. With 150 ms, views stand still just after a burst has been told.
const ONSET_PAUSE_MS: u64 = 100;
/// Bytes a second that a busy instance spends on rounds; a larger round delays the next. All
/// control traffic is to stay within 12 KB/s, of which heartbeats take 2 to 3 KB/s.
const BUSY_BYTES_PER_S: u64 = 7_000;
/// The same for a calm one, of which 1 KB/s more is allowed.
const CALM_BYTES_PER_S: u64 = 900;
/// Time for which a data centre counts as pressed after it said so, in milliseconds.
const PRESSED_MS: u64 = 2_000;
/// Time over which the mean of the own running requests is taken, in seconds.
const USUAL_S: f64 = 2.0;
/// Time after its start at which an instance that knows no other of its data centre counts as the
/// only one, in milliseconds: answers of seeds come sooner.
const ALONE_MS: u64 = 1_500;
/// Standard deviations by which the own running requests exceed their mean in a jump.
const JUMP_CHANCE: f64 = 3.5;
/// Time over which the mean of the data centre's load is taken, in seconds. It tells whether a
/// data centre is still pressed: in calm ones, instances whose load has jumped report more often,
/// which makes the mean too high.
const LASTING_S: f64 = 1.0;
/// Part of that mean that counts.
const LASTING_SHARE: f64 = 0.9;
/// Standard deviations of a number of requests that are taken for chance.
const CHANCE: f64 = 2.0;
/// The same while the parts known are mostly those of instances whose load has jumped.
const BIASED_CHANCE: f64 = 4.0;
/// Parts on which the view rests at least where there are as many, the own one included.
const FEWEST_PARTS: usize = SUFFICIENT_PEER_REPORTS + 1;
/// Fresh parts of others that are enough to tell a burst from chance.
const ENOUGH_PARTS: usize = 10;
/// Bytes of the fields of a message other than parts and sums.
const HEAD_BYTES: usize = 16;

/// `LoadOnset` is why a round doesn't wait until it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadOnset {
    /// The own load has jumped.
    Jump,
    /// Another instance said that one more data centre is pressed.
    HeardOther,
    /// Another instance said that a data centre is pressed, the first one.
    Heard,
    /// The own data centre is pressed by the own view.
    Pressed,
}

/// `LoadReporter` is what an instance knows of load, and when it tells it.
#[derive(Debug)]
pub(crate) struct LoadReporter {
    own: ReporterId,
    near: CentreName,
    table: LoadTable,
    schedule: ReportSchedule,
    /// Other instances of the own data centre.
    others: usize,
    /// When an instance that knows no other of its data centre counts as the only one.
    alone_at: ClockTime,
    /// False until the own load is known.
    has_own: bool,
    /// When the budget of a busy instance allows the next round.
    busy_free_at: ClockTime,
    /// When the budget of a calm instance allows the next round.
    calm_free_at: ClockTime,
    /// Mean of the own running requests.
    usual_running: f64,
    /// Mean of the load of the data centre in requests a slot.
    usual_pressure: f64,
    /// When the own load was set.
    measured_at: ClockTime,
    /// Until when data centres count as pressed, the own one included.
    pressed_until: BTreeMap<CentreName, ClockTime>,
    /// Why the next round goes out at once, if it does.
    onset: Option<LoadOnset>,
    /// When the next question for the own part is answered.
    answer_at: ClockTime,
    /// Place of the sum that is relayed next.
    next_sum: usize,
    /// Messages sent since the start.
    sent: u64,
}

impl LoadReporter {
    /// Makes the teller of an instance that knows no load.
    pub fn new(now: ClockTime, options: &MemberOptions) -> LoadReporter {
        let (address, incarnation) = (options.address, options.incarnation as u32);
        LoadReporter {
            own: ReporterId { address, incarnation },
            near: options.data_centre.clone(),
            table: LoadTable::new(options.data_centre.clone()),
            schedule: ReportSchedule::new(now),
            others: 0,
            alone_at: now.after_millis(ALONE_MS),
            has_own: false,
            busy_free_at: now,
            calm_free_at: now,
            usual_running: 0.0,
            usual_pressure: 0.0,
            measured_at: ClockTime::ZERO,
            pressed_until: BTreeMap::new(),
            onset: None,
            answer_at: now,
            next_sum: 0,
            sent: 0,
        }
    }

    /// When the next round is due; none while the own load isn't known.
    pub fn next_report_at(&self, now: ClockTime) -> Option<ClockTime> {
        if self.has_own && self.onset.is_some() {
            return Some(now);
        }
        let free_at = match self.schedule.pace(now) {
            ReportPace::Fast => self.busy_free_at,
            ReportPace::Slow => self.calm_free_at,
        };
        self.has_own.then(|| self.schedule.next_report_at().max(free_at))
    }

    /// True while any data centre counts as pressed.
    fn is_any_pressed(&self, now: ClockTime) -> bool {
        self.pressed_until.values().any(|until| !until.is_past(now))
    }

    /// Takes the own running requests and the load of the data centre in requests a slot, both
    /// without what chance explains.
    ///
    /// Running requests vary by their square root. A calm instance that sees seven requests of
    /// its data centre would take it for pressed every few seconds.
    fn note_own(&mut self, now: ClockTime, running: f64, pressure: f64) {
        let age_s = now.since(self.measured_at).as_secs_f64();
        self.usual_running += (running - self.usual_running) * (1.0 - (-age_s / USUAL_S).exp());
        self.measured_at = now;
        let is_jump = running > self.usual_running + JUMP_CHANCE * self.usual_running.sqrt();
        let running = if is_jump { running } else { self.usual_running };
        let former_pace = self.schedule.pace(now);
        self.usual_pressure +=
            (pressure - self.usual_pressure) * (1.0 - (-age_s / LASTING_S).exp());
        let was_pressed = self.pressed_until.get(&self.near).is_some_and(|at| !at.is_past(now));
        let lasting = if was_pressed { self.usual_pressure * LASTING_SHARE } else { 0.0 };
        let pressure = lasting.max(pressure * self.sure_share(now));
        self.schedule.update_local_load(now, running, pressure);
        if self.schedule.is_loaded() {
            let near = self.near.clone();
            self.note_pressed(now, near, now.after_millis(PRESSED_MS), LoadOnset::Pressed);
        } else if !former_pace.is_fast() && self.schedule.pace(now).is_fast() {
            self.onset = self.onset.max(Some(LoadOnset::Jump));
        }
    }

    /// The part of the load in requests a slot that chance doesn't explain, by the requests that
    /// the view rests on.
    ///
    /// While few parts are fresh, most are of instances whose load has jumped.
    fn sure_share(&self, now: ClockTime) -> f64 {
        let requests = |part: &InstanceReport| -> f64 {
            part.load.services.values().flat_map(|load| load.running.values()).sum()
        };
        let is_fresh =
            |told_at: &ClockTime| !told_at.after_millis(REPORT_FRESHNESS_MS).is_past(now);
        let parts: Vec<_> = self.table.reports().collect();
        let fresh = parts.iter().filter(|(_, told_at)| is_fresh(told_at)).count();
        let is_fair = fresh > ENOUGH_PARTS.min(self.others / 2);
        let chance = if is_fair { CHANCE } else { BIASED_CHANCE };
        let seen: f64 =
            parts.iter().take(fresh.max(FEWEST_PARTS)).map(|(part, _)| requests(part)).sum();
        (1.0 - chance / seen.max(1.0).sqrt()).max(0.0)
    }

    /// Notes until when a data centre counts as pressed.
    fn note_pressed(
        &mut self,
        now: ClockTime,
        data_centre: CentreName,
        until: ClockTime,
        onset: LoadOnset,
    ) {
        let is_first = !self.is_any_pressed(now) || onset == LoadOnset::Pressed;
        let known = self.pressed_until.entry(data_centre).or_default();
        if known.is_past(now) {
            let onset = if is_first { onset } else { LoadOnset::HeardOther };
            self.onset = self.onset.max(Some(onset));
        }
        *known = until.max(*known);
    }

    /// The message of a calm round, which holds the own part alone.
    fn calm_message(&self, now: ClockTime) -> LoadMessage {
        LoadMessage { reports: self.own_row(now), ..self.empty_message(now) }
    }

    /// The message of a busy round to instances of the own data centre, in about so many bytes.
    fn busy_message(
        &mut self,
        now: ClockTime,
        onset: Option<LoadOnset>,
        most: usize,
    ) -> LoadMessage {
        let mut message = LoadMessage { reports: self.own_row(now), ..self.empty_message(now) };
        let mut bytes = message.encoded_len();
        if onset.is_some() {
            self.next_sum = self.newest_sum();
        }
        self.add_sums(now, &mut message, &mut bytes, most);
        for (part, told_at) in self.table.reports().skip(1).take(MOST_PARTS - 1) {
            let row = pack_part(now, part, told_at, &self.near, MAX_BODY_BYTES);
            let size = framed(row.encoded_len());
            if bytes + size > most {
                break;
            }
            bytes += size;
            message.reports.push(row);
        }
        message
    }

    /// Place of the newest sum of another data centre.
    fn newest_sum(&self) -> usize {
        let sums = self.table.aggregates().enumerate();
        sums.max_by_key(|(_, (_, told_at))| *told_at).map_or(0, |(place, _)| place)
    }

    /// Adds sums of other data centres in turn: one whole if it fits at all, and more up to half
    /// of the room for what is relayed.
    fn add_sums(
        &mut self,
        now: ClockTime,
        message: &mut LoadMessage,
        bytes: &mut usize,
        most: usize,
    ) {
        let sums: Vec<_> = self.table.aggregates().collect();
        let most = (most + *bytes) / 2;
        let first = self.next_sum.checked_rem(sums.len()).unwrap_or(0);
        let (later, sooner) = sums.split_at(first);
        for (sum, told_at) in sooner.iter().chain(later) {
            let until = self.pressed_until.get(&sum.data_centre).copied().unwrap_or_default();
            let row = pack_sum(now, sum, *told_at, until, MAX_BODY_BYTES);
            let size = framed(row.encoded_len());
            let limit = if message.aggregates.is_empty() { MAX_BODY_BYTES } else { most };
            if *bytes + size > limit {
                break;
            }
            *bytes += size;
            message.aggregates.push(row);
        }
        self.next_sum = first + message.aggregates.len().max(1);
    }

    /// The message to another data centre: the sum of the own one.
    fn far_message(&self, now: ClockTime) -> LoadMessage {
        let budget = MAX_BODY_BYTES - HEAD_BYTES;
        let until = match self.schedule.is_loaded() {
            true => now.after_millis(PRESSED_MS),
            false => ClockTime::ZERO,
        };
        let row = pack_sum(now, &self.table.local_aggregate(now), now, until, budget);
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

    fn own_row(&self, now: ClockTime) -> Vec<InstanceReportRow> {
        let budget = MAX_BODY_BYTES - HEAD_BYTES;
        let own = self.table.reports().take(1);
        own.map(|(part, told_at)| pack_part(now, part, told_at, &self.near, budget)).collect()
    }

    /// Counts the bytes of a round.
    fn pay(&mut self, now: ClockTime, bytes: usize, onset: Option<LoadOnset>) {
        let cost_ms = |bytes_per_s: u64| bytes as u64 * 1_000 / bytes_per_s;
        let busy_ms = cost_ms(BUSY_BYTES_PER_S);
        let is_onset = onset.is_some();
        self.busy_free_at =
            now.after_millis(if is_onset { busy_ms.min(ONSET_PAUSE_MS) } else { busy_ms });
        self.calm_free_at = now.after_millis(cost_ms(CALM_BYTES_PER_S));
    }

    /// Takes the sum of a data centre, and that it is pressed.
    ///
    /// Only a newer sum tells that it is pressed. Relayed as the time left, the word would gain at
    /// each hop what the message took, and never end.
    fn take_sum(&mut self, now: ClockTime, row: &CentreAggregateRow) {
        let (sum, told_at) = unpack_sum(now, row);
        let data_centre = sum.data_centre.clone();
        let is_newer = self.table.apply_aggregate(now, sum, told_at);
        if is_newer && row.loaded_ms > 0 && data_centre != self.near {
            let left_ms = u64::from(row.loaded_ms).min(PRESSED_MS);
            let until = now.after_millis(left_ms);
            self.note_pressed(now, data_centre, until, LoadOnset::Heard);
            self.schedule.record_loaded_centre(until.before_millis(PRESSED_MS));
        }
    }
}

impl FleetMember {
    /// Sets the load that this instance sees, and the largest load of a service in its data
    /// centre in requests a slot; tells them when that is due. Does nothing unless load is
    /// reported.
    pub fn set_local_load(&mut self, now: ClockTime, own: LocalLoad, pressure: f64) {
        self.count_instances(now);
        let Some(load) = &mut self.load_reporter else { return };
        let running = own.services.values().flat_map(|service| service.running.values()).sum();
        load.table.set_local_load(now, load.own, own);
        load.has_own = true;
        load.table.remove_expired(now);
        load.note_own(now, running, pressure);
        self.report_load(now);
    }

    /// The load of all data centres as it is known; none unless load is reported. Account
    /// samples are handed out once.
    pub fn load_view(&mut self, now: ClockTime) -> Option<Arc<LoadView>> {
        self.count_instances(now);
        Some(self.load_reporter.as_mut()?.table.build_view(now))
    }

    /// How often this instance tells its load.
    pub fn load_report_pace(&self, now: ClockTime) -> ReportPace {
        self.load_reporter.as_ref().map_or(ReportPace::Slow, |load| load.schedule.pace(now))
    }

    /// Messages of load sent since the start.
    pub fn load_messages_sent(&self) -> u64 {
        self.load_reporter.as_ref().map_or(0, |load| load.sent)
    }

    /// Tells load when that is due.
    pub(crate) fn report_load(&mut self, now: ClockTime) {
        let due_at = self.load_reporter.as_ref().and_then(|load| load.next_report_at(now));
        if self.descriptor.is_leaving || !due_at.is_some_and(|at| at.is_past(now)) {
            return;
        }
        let Some(load) = &mut self.load_reporter else { return };
        let onset = load.onset.take();
        let fanout = match onset {
            None | Some(LoadOnset::HeardOther) => NEAR_FANOUT,
            Some(LoadOnset::Jump) => ASK_FANOUT,
            Some(_) => ONSET_FANOUT,
        };
        let is_first = onset >= Some(LoadOnset::Heard);
        let most = if is_first { ONSET_BYTES } else { RELAY_BYTES };
        let near = self.peers.pick_same_centre(&mut self.rng, now, fanout);
        let instances = self.peers.same_centre_size(now) as u32 + 1;
        load.schedule.record_report_sent(now);
        load.table.remove_expired(now);
        let message = match load.schedule.pace(now) {
            ReportPace::Slow => load.calm_message(now),
            ReportPace::Fast if load.is_any_pressed(now) => load.busy_message(now, onset, most),
            ReportPace::Fast => load.calm_message(now),
        };
        let tells_far = load.is_any_pressed(now) && load.table.is_reliable(now);
        let far_message = tells_far.then(|| load.far_message(now));
        let mut bytes = self.send_load(near, message);
        if let Some(message) = far_message
            && (onset == Some(LoadOnset::Pressed)
                || self.rng.random_ratio(FAR_TELLERS.min(instances), instances))
        {
            let far = self.peers.pick_remote(&mut self.rng, 1);
            bytes += self.send_load(far, message);
        }
        if let Some(load) = &mut self.load_reporter {
            load.pay(now, bytes, onset);
        }
    }

    /// Takes what another instance tells of load.
    pub(crate) fn handle_load(&mut self, now: ClockTime, from: SocketAddrV4, message: LoadMessage) {
        let is_far = message.is_remote || self.peers.is_remote(&from);
        let Some(load) = &mut self.load_reporter else { return };
        load.table.adopt_fleet_clock(now, message.fleet_clock_ms);
        let most_sums = if is_far { 1 } else { MOST_SUMS };
        for row in message.aggregates.iter().take(most_sums) {
            if self.peers.has_centre(&row.data_centre) {
                load.take_sum(now, row);
            }
        }
        if !is_far {
            self.take_parts(now, &message);
            self.answer_load(now, from, &message);
        }
        self.report_load(now);
    }

    /// Answers an instance whose load has jumped with the own part, unless it is told anyway.
    fn answer_load(&mut self, now: ClockTime, to: SocketAddrV4, message: &LoadMessage) {
        let Some(load) = &mut self.load_reporter else { return };
        let is_asked = message.is_fast && !message.is_loaded && message.aggregates.is_empty();
        let is_calm = load.has_own && !load.schedule.pace(now).is_fast();
        if !is_asked || !is_calm || self.descriptor.is_leaving || !load.answer_at.is_past(now) {
            return;
        }
        load.answer_at = now.after_millis(ANSWER_MS);
        let message = load.calm_message(now);
        self.send_load(vec![to], message);
    }

    /// Takes parts of the own data centre; the first is the sender's own.
    fn take_parts(&mut self, now: ClockTime, message: &LoadMessage) {
        let Some(load) = &mut self.load_reporter else { return };
        let sender_pace = if message.is_fast { ReportPace::Fast } else { ReportPace::Slow };
        let mut pace = sender_pace;
        for row in message.reports.iter().take(MOST_PARTS) {
            let pace = std::mem::replace(&mut pace, ReportPace::Fast);
            let Some((part, told_at)) = unpack_part(now, row, &load.near) else { continue };
            let ReporterId { address, incarnation } = part.reporter;
            if address == load.own.address || self.peers.has_left(&address, incarnation) {
                continue;
            }
            load.table.apply_report(now, part, told_at, pace);
        }
        if message.is_loaded {
            let near = load.near.clone();
            load.note_pressed(now, near, now.after_millis(PRESSED_MS), LoadOnset::Heard);
            load.schedule.record_loaded_centre(now);
        }
    }

    /// Drops the part of an instance that left or started again.
    pub(crate) fn remove_peer_load(&mut self, change: PeerChange, card: &PeerDescriptor) {
        let (Some(load), Some(address)) = (&mut self.load_reporter, card.address()) else { return };
        let is_gone = match change {
            PeerChange::Left => true,
            PeerChange::Joined => load.table.reports().any(|(part, _)| {
                let ReporterId { address: of, incarnation } = part.reporter;
                of == address && incarnation != card.incarnation as u32
            }),
            PeerChange::Unchanged | PeerChange::CentreReachable => false,
        };
        if is_gone {
            load.table.remove_instance(&address);
        }
    }

    /// Drops the part of an instance that doesn't answer.
    pub(crate) fn remove_lost_peer_load(&mut self, loss: &PeerLoss) {
        if let (Some(load), PeerLoss::Peer { address, .. }) = (&mut self.load_reporter, loss) {
            load.table.remove_instance(address);
        }
    }

    /// Takes the numbers of instances and data centres from membership.
    fn count_instances(&mut self, now: ClockTime) {
        let Some(load) = &mut self.load_reporter else { return };
        load.others = self.peers.same_centre_size(now);
        let is_unknown = load.others == 0 && !load.alone_at.is_past(now);
        load.table.set_instances(if is_unknown { 0 } else { load.others as u32 + 1 });
        load.table.set_alive_centres(self.peers.remote_centres().map(CentreName::new).collect());
    }

    /// Sends a message to some instances; returns the bytes.
    fn send_load(&mut self, to: Vec<SocketAddrV4>, message: LoadMessage) -> usize {
        let bytes = to.len() * message.encoded_len();
        if let Some(load) = &mut self.load_reporter {
            load.sent += to.len() as u64;
        }
        for address in to {
            self.send_message(address, MessageBody::Load(message.clone()));
        }
        bytes
    }
}
