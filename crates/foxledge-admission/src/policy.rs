//! Admission by shares of the capacity.

use std::collections::BTreeMap;

use foxledge_core::time::ClockTime;

use crate::{
    accounts::{AccountKey, AccountTable, HeavyAccount},
    capacity::{CapacityEstimate, arrivals_per_s},
    interface::{AdmissionDecision, AdmissionPolicy, FlowOpening, ServiceSnapshot},
    options::AdmissionOptions,
    readmission::ReadmissionWindow,
    retries::{PlannedShares, RetryEstimate},
    shares::priority_shares,
};

/// The age of a view from which it no longer justifies refusals, in milliseconds.
const VIEW_TTL_MS: u64 = 400;
/// How long after its start a shortage refuses nothing while a data centre has not reported its
/// load, in milliseconds.
const UNREPORTED_CENTRE_WAIT_MS: u64 = 600;
/// How long a shortage is still reported after its end, in milliseconds, so that short gaps don't
/// appear as several shortages in logs.
const SHORTAGE_LOG_HOLD_MS: u64 = 200;

/// The admission policy of one service: shares of its capacity by priority and by client account,
/// and readmission of callers in the order of a ring.
#[derive(Debug)]
pub struct ShareAdmission {
    options: AdmissionOptions,
    accounts: AccountTable,
    retries: RetryEstimate,
    logged: Option<LoggedShortage>,
    plan: RefusalPlan,
}

/// A shortage as it is reported and logged: with its short gaps.
#[derive(Clone, Copy, Debug)]
struct LoggedShortage {
    started_at: ClockTime,
    /// The time from which openings may be refused even if a data centre has not reported its load.
    refuses_from: ClockTime,
    /// The end of the reported shortage, unless it is extended.
    ends_at: ClockTime,
}

/// What is refused until the next plan; nothing if there are no planned shares.
#[derive(Clone, Debug, Default)]
struct RefusalPlan {
    planned: PlannedShares,
    heavy: BTreeMap<AccountKey, HeavyAccount>,
    window: ReadmissionWindow,
    /// When the underlying view becomes too old to justify refusals.
    expires_at: ClockTime,
}

impl ShareAdmission {
    /// Creates a policy that admits everything until its first update.
    pub fn new(options: AdmissionOptions) -> ShareAdmission {
        ShareAdmission {
            options,
            accounts: AccountTable::default(),
            retries: RetryEstimate::default(),
            logged: None,
            plan: RefusalPlan::default(),
        }
    }

    /// Returns the client accounts that are limited below the share of their priority; empty
    /// without a shortage.
    pub fn heavy_accounts(&self) -> &BTreeMap<AccountKey, HeavyAccount> {
        &self.plan.heavy
    }

    /// Returns the number of client accounts with tracked samples, which is bounded.
    pub fn tracked_accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Starts or extends the reported shortage, and removes one that has ended.
    fn update_logged_shortage(&mut self, now: ClockTime, is_short: bool) {
        let logged = self.logged.filter(|logged| !logged.ends_at.is_past(now));
        let ends_at = now.after_millis(SHORTAGE_LOG_HOLD_MS);
        let started = || LoggedShortage {
            started_at: now,
            refuses_from: now.after_millis(UNREPORTED_CENTRE_WAIT_MS),
            ends_at,
        };
        self.logged = match is_short {
            true => Some(LoggedShortage { ends_at, ..logged.unwrap_or_else(started) }),
            false => logged,
        };
    }

    /// Plans the refusals for a shortage.
    fn plan_refusals(
        &self,
        now: ClockTime,
        snapshot: &ServiceSnapshot,
        estimate: &CapacityEstimate,
    ) -> RefusalPlan {
        let heavy = self.find_heavy_accounts(now, snapshot, estimate);
        let excess_per_s: f64 =
            heavy.values().map(|account| account.openings_per_s - account.admitted_per_s).sum();
        let demand_fraction = 1.0 - (excess_per_s / openings_per_s(snapshot)).clamp(0.0, 1.0);
        let demands =
            estimate.demands.iter().map(|(priority, demand)| (*priority, demand * demand_fraction));
        let floor_fraction = self.options.floor_percent / 100.0;
        let shares = priority_shares(estimate.capacity, &demands.collect(), floor_fraction);
        RefusalPlan {
            planned: PlannedShares { shares, demand_fraction },
            heavy,
            window: ReadmissionWindow::new(
                now,
                snapshot.fleet_clock_ms,
                snapshot.latency_target_ms,
            ),
            expires_at: snapshot.reported_at.after_millis(VIEW_TTL_MS),
        }
    }

    /// Returns the client accounts that exceed their fair rate; empty if accounts are not limited.
    fn find_heavy_accounts(
        &self,
        now: ClockTime,
        snapshot: &ServiceSnapshot,
        estimate: &CapacityEstimate,
    ) -> BTreeMap<AccountKey, HeavyAccount> {
        if !self.options.has_account_share() {
            return BTreeMap::new();
        }
        // Account rates count openings, and a refused request makes several of them.
        let requests = estimate.requests_per_s / openings_per_s(snapshot);
        let served = estimate.capacity / estimate.demand() * requests;
        self.accounts.heavy_accounts(
            now,
            snapshot.sampled_arrivals_per_s,
            served,
            self.options.account_share,
        )
    }
}

impl AdmissionPolicy for ShareAdmission {
    fn update(&mut self, now: ClockTime, snapshot: &ServiceSnapshot) {
        self.accounts.record_samples(now, &snapshot.account_samples);
        let is_usable =
            snapshot.is_reliable && !snapshot.reported_at.after_millis(VIEW_TTL_MS).is_past(now);
        let requests_per_s =
            self.retries.requests_per_s(snapshot.reported_at, &snapshot.priorities);
        let shortage = CapacityEstimate::from_snapshot(snapshot, &requests_per_s)
            .map(|estimate| {
                let (age_s, admitted_s) = self.retries.admitted_work_until(now, &estimate.demands);
                estimate.projected(age_s, admitted_s)
            })
            .filter(|estimate| is_usable && estimate.is_short());
        self.update_logged_shortage(now, shortage.is_some());
        let may_refuse = !snapshot.has_unreported_centre
            || self.logged.is_some_and(|logged| logged.refuses_from.is_past(now));
        self.plan = match shortage.filter(|_| may_refuse) {
            Some(shortage) => {
                self.retries.adjust(now, shortage.expected_load - shortage.target);
                self.plan_refusals(now, snapshot, &shortage)
            }
            None => RefusalPlan::default(),
        };
        self.retries.record_plan(now, self.plan.planned.clone());
    }

    fn admit(&self, now: ClockTime, opening: &FlowOpening) -> AdmissionDecision {
        let plan = &self.plan;
        let share = plan.planned.shares.get(&opening.priority).copied().unwrap_or(1.0);
        if plan.planned.shares.is_empty() || plan.expires_at.is_past(now) {
            return AdmissionDecision::Admitted;
        }
        if let Some(heavy) = plan.heavy.get(&AccountKey::from_address(opening.caller)) {
            return match heavy.admits(now, opening.caller, share) {
                true => AdmissionDecision::Admitted,
                false => AdmissionDecision::AccountShare,
            };
        }
        match plan.window.covers(now, opening.caller, share) {
            true => AdmissionDecision::Admitted,
            false => AdmissionDecision::Shortage,
        }
    }

    fn admitted_shares(&self) -> &BTreeMap<u32, f64> {
        &self.plan.planned.shares
    }

    fn shortage_since(&self) -> Option<ClockTime> {
        self.logged.map(|logged| logged.started_at)
    }
}

/// Returns the openings per second of all priorities.
fn openings_per_s(snapshot: &ServiceSnapshot) -> f64 {
    snapshot.priorities.values().map(arrivals_per_s).sum()
}
