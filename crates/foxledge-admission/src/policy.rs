//! Admission by shares of the room.

use std::collections::BTreeMap;

use foxledge_core::time::ClockTime;

use crate::{
    accounts::{AccountKey, AccountTable, HeavyAccount},
    interface::{AdmissionDecision, AdmissionPolicy, FlowOpening, ServiceSnapshot},
    options::AdmissionOptions,
    shares::priority_shares,
    shortage::{ServiceShortage, arrivals_per_s},
    tries::{PlannedShares, TryEstimate},
    turns::ReturnTurn,
};

/// Age of a view from which nothing is refused because of it, in milliseconds.
const VIEW_LIFE_MS: u64 = 400;
/// How long after its begin a shortage refuses nothing while a data centre has reported no load,
/// in milliseconds.
const PARTIAL_WAIT_MS: u64 = 600;
/// How long a shortage is shown after its end, in milliseconds; without it, logs would flap.
const SHOWN_MS: u64 = 200;

/// `ShareAdmission` is the admission policy of one service: shares of its room by priority and
/// by client account, and a fixed order of readmission.
#[derive(Debug)]
pub struct ShareAdmission {
    options: AdmissionOptions,
    accounts: AccountTable,
    tries: TryEstimate,
    shown: Option<ShownShortage>,
    plan: RefusalPlan,
}

/// `ShownShortage` is a shortage as it is logged.
#[derive(Clone, Copy, Debug)]
struct ShownShortage {
    since: ClockTime,
    /// When openings may be refused although a data centre has reported no load.
    partial_until: ClockTime,
    /// When it is over, unless it is renewed.
    until: ClockTime,
}

/// `RefusalPlan` is what is refused until the next plan; nothing when it has no shares.
#[derive(Clone, Debug, Default)]
struct RefusalPlan {
    planned: PlannedShares,
    heavy: BTreeMap<AccountKey, HeavyAccount>,
    turn: ReturnTurn,
    /// When the view that it rests on is too old to refuse anything.
    expires_at: ClockTime,
}

impl ShareAdmission {
    /// Admits everything until the first plan.
    pub fn new(options: AdmissionOptions) -> ShareAdmission {
        ShareAdmission {
            options,
            accounts: AccountTable::default(),
            tries: TryEstimate::default(),
            shown: None,
            plan: RefusalPlan::default(),
        }
    }

    /// Client accounts of which less is admitted than their priority's share; empty without
    /// shortage.
    pub fn heavy_accounts(&self) -> &BTreeMap<AccountKey, HeavyAccount> {
        &self.plan.heavy
    }

    /// Client accounts whose samples are remembered; bounded.
    pub fn tracked_accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Notes whether the service is short, and drops a shown shortage that has ended.
    fn note_shortage(&mut self, now: ClockTime, is_short: bool) {
        let shown = self.shown.filter(|shown| !shown.until.is_past(now));
        let until = now.after_millis(SHOWN_MS);
        let begun = || ShownShortage {
            since: now,
            partial_until: now.after_millis(PARTIAL_WAIT_MS),
            until,
        };
        self.shown = match is_short {
            true => Some(ShownShortage { until, ..shown.unwrap_or_else(begun) }),
            false => shown,
        };
    }

    /// What is refused in a shortage.
    fn refusals(
        &self,
        now: ClockTime,
        room: &ServiceSnapshot,
        shortage: &ServiceShortage,
    ) -> RefusalPlan {
        let heavy = self.heavy(now, room, shortage);
        let excess_per_s: f64 =
            heavy.values().map(|account| account.openings_per_s - account.admitted_per_s).sum();
        let kept = 1.0 - (excess_per_s / openings_per_s(room)).clamp(0.0, 1.0);
        let demands = shortage.demands.iter().map(|(priority, demand)| (*priority, demand * kept));
        let floor_part = self.options.floor_percent / 100.0;
        let shares = priority_shares(shortage.room, &demands.collect(), floor_part);
        RefusalPlan {
            planned: PlannedShares { shares, kept },
            heavy,
            turn: ReturnTurn::new(now, room.fleet_clock_ms, room.latency_target_ms),
            expires_at: room.reported_at.after_millis(VIEW_LIFE_MS),
        }
    }

    fn heavy(
        &self,
        now: ClockTime,
        room: &ServiceSnapshot,
        shortage: &ServiceShortage,
    ) -> BTreeMap<AccountKey, HeavyAccount> {
        if !self.options.has_account_share() {
            return BTreeMap::new();
        }
        // Account rates are those of openings, of which a refused request makes several.
        let requests = shortage.requests_per_s / openings_per_s(room);
        let served = shortage.room / shortage.demand() * requests;
        self.accounts.heavy(now, room.sampled_arrivals_per_s, served, self.options.account_share)
    }
}

impl AdmissionPolicy for ShareAdmission {
    fn update(&mut self, now: ClockTime, room: &ServiceSnapshot) {
        self.accounts.take(now, &room.account_samples);
        let is_known =
            room.is_reliable && !room.reported_at.after_millis(VIEW_LIFE_MS).is_past(now);
        let requests_per_s = self.tries.requests_per_s(room.reported_at, &room.priorities);
        let shortage = ServiceShortage::of(room, &requests_per_s)
            .map(|shortage| {
                let (age_s, admitted_s) = self.tries.admitted_until(now, &shortage.demands);
                shortage.expected_after(age_s, admitted_s)
            })
            .filter(|shortage| is_known && shortage.is_short());
        self.note_shortage(now, shortage.is_some());
        let may_refuse = !room.has_unreported_centre
            || self.shown.is_some_and(|shown| shown.partial_until.is_past(now));
        self.plan = match shortage.filter(|_| may_refuse) {
            Some(shortage) => {
                self.tries.learn(now, shortage.expected - shortage.target);
                self.refusals(now, room, &shortage)
            }
            None => RefusalPlan::default(),
        };
        self.tries.note_plan(now, self.plan.planned.clone());
    }

    fn admit(&self, now: ClockTime, opening: &FlowOpening) -> AdmissionDecision {
        let plan = &self.plan;
        let share = plan.planned.shares.get(&opening.priority).copied().unwrap_or(1.0);
        if plan.planned.shares.is_empty() || plan.expires_at.is_past(now) {
            return AdmissionDecision::Admitted;
        }
        if let Some(heavy) = plan.heavy.get(&AccountKey::of(opening.caller)) {
            return match heavy.admits(now, opening.caller, share) {
                true => AdmissionDecision::Admitted,
                false => AdmissionDecision::AccountShare,
            };
        }
        match plan.turn.covers(now, opening.caller, share) {
            true => AdmissionDecision::Admitted,
            false => AdmissionDecision::Shortage,
        }
    }

    fn admitted_shares(&self) -> &BTreeMap<u32, f64> {
        &self.plan.planned.shares
    }

    fn shortage_since(&self) -> Option<ClockTime> {
        self.shown.map(|shown| shown.since)
    }
}

/// Openings of all priorities that arrive a second.
fn openings_per_s(room: &ServiceSnapshot) -> f64 {
    room.priorities.values().map(arrivals_per_s).sum()
}
