//! The health of a target, from observed dispatches and from its load reports.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use crate::{effects::TargetLoad, options::SchedulerOptions};

// The weight of a new run in the run time ratio of a target. With exponential run times, the
// ratio then has a spread of 0.23, well below the threshold for slow targets.
const RATIO_GAIN: f64 = 0.1;
// The runs after which the run time ratio is used.
const MIN_RATIO_RUNS: u32 = 8;
// How long the run time ratio is valid after the last run; then a slow target gets a trial.
const RATIO_TTL: Duration = Duration::from_secs(5);
// The weight of the run time of a trial; higher, as trials are few.
const TRIAL_GAIN: f64 = 0.3;
// The ratio to the mean run time at which a single run is capped.
const MAX_RATIO: f64 = 20.0;
// How long a response of a target overrides its report of being unhealthy.
const RESPONSE_TTL: Duration = Duration::from_secs(1);
// How long a target that reports to be unhealthy is avoided; then it gets a trial. Only work
// can show that the report is wrong: without trials a target with wrong reports would stay
// out of service for good, visible only as idle slots.
const UNHEALTHY_REPORT_TTL: Duration = Duration::from_secs(3);
// The limit of the exponential backoff of ejections and sheds.
const MAX_DOUBLINGS: u32 = 5;
// The time between comparisons of the counted busy slots with the reported ones.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
// Consecutive sheds after which a target gets one work item at a time.
const PERSISTENT_SHEDS: u32 = 2;
// Consecutive unanswered probes above which a target is unresponsive.
const MAX_MISSED_PROBES: u32 = 3;

/// The health of one target.
///
/// Observed responses and run times take precedence over the load reports of the target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    report: Option<TargetLoad>,
    report_expires_at: ClockTime,
    reports_distrusted_until: ClockTime,
    response_valid_until: ClockTime,
    suspect_until: ClockTime,
    consecutive_losses: u32,
    ejection: Option<TargetEjection>,
    ejection_count: u32,
    backoff_until: ClockTime,
    consecutive_sheds: u32,
    warm_at: ClockTime,
    run_time_ratio: f64,
    ratio_runs: u32,
    ratio_valid_until: ClockTime,
    next_probe_at: ClockTime,
    missed_probes: u32,
    next_reconcile_at: ClockTime,
}

/// An ejection, which lasts until its deadline and until a probe is answered.
#[derive(Clone, Copy, Debug)]
struct TargetEjection {
    until: ClockTime,
    is_probe_answered: bool,
}

/// The consequence of a lost dispatch or an unanswered probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthDecision {
    /// The target stays in service.
    Keep,
    /// The target is to be ejected, if enough other targets stay in service.
    Eject,
}

impl TargetHealth {
    /// Creates the health of a target that is warm from `warm_at` on.
    pub fn new(warm_at: ClockTime, next_probe_at: ClockTime) -> TargetHealth {
        TargetHealth {
            report: None,
            report_expires_at: ClockTime::ZERO,
            reports_distrusted_until: ClockTime::ZERO,
            response_valid_until: ClockTime::ZERO,
            suspect_until: ClockTime::ZERO,
            consecutive_losses: 0,
            ejection: None,
            ejection_count: 0,
            backoff_until: ClockTime::ZERO,
            consecutive_sheds: 0,
            warm_at,
            run_time_ratio: 1.0,
            ratio_runs: 0,
            ratio_valid_until: ClockTime::ZERO,
            next_probe_at,
            missed_probes: 0,
            next_reconcile_at: ClockTime::ZERO,
        }
    }

    /// Records any response of the target to a dispatch.
    pub fn on_response(&mut self, now: ClockTime) {
        self.consecutive_losses = 0;
        self.missed_probes = 0;
        self.response_valid_until = now.after(RESPONSE_TTL);
        self.suspect_until = self.response_valid_until.after(UNHEALTHY_REPORT_TTL);
    }

    /// Records a load report of the target.
    pub fn on_report(&mut self, now: ClockTime, load: TargetLoad, options: &SchedulerOptions) {
        self.missed_probes = 0;
        let was_healthy = self.valid_report(now).is_none_or(|former| former.healthy);
        if was_healthy && !load.healthy {
            self.suspect_until = self.suspect_until.max(now.after(UNHEALTHY_REPORT_TTL));
        }
        self.report = Some(load);
        self.report_expires_at = now.after(options.report_ttl);
        if let Some(ejection) = &mut self.ejection {
            ejection.is_probe_answered = true;
        }
    }

    /// Records the end of a run that took `ratio` times the mean run time of its kind.
    pub fn on_run_ended(&mut self, now: ClockTime, ratio: f64) {
        let ratio = ratio.min(MAX_RATIO);
        let steady_gain = if self.ratio_valid_until.is_past(now) { TRIAL_GAIN } else { RATIO_GAIN };
        let gain = steady_gain.max(1.0 / f64::from(self.ratio_runs + 1));
        self.run_time_ratio += (ratio - self.run_time_ratio) * gain;
        self.ratio_runs = self.ratio_runs.saturating_add(1);
        self.ratio_valid_until = now.after(RATIO_TTL);
        self.consecutive_sheds = 0;
        self.ejection_count = 0;
    }

    /// Records that the target shed a work item: no work is sent to it during a backoff, and
    /// its reports of free slots are distrusted.
    ///
    /// The backoff starts at the time in which a slot may have become free, and doubles with
    /// each further shed. Otherwise every attempt would consume the retry budget, and work of
    /// the highest priority would be refused for lack of a retry.
    pub fn on_shed(&mut self, now: ClockTime, mean_run_time: Duration, options: &SchedulerOptions) {
        if options.shed_backoff.is_zero() {
            return;
        }
        let doublings = self.consecutive_sheds.min(MAX_DOUBLINGS);
        let backoff = options.shed_backoff.max(mean_run_time / 2);
        self.backoff_until = now.after(backoff * 2u32.pow(doublings));
        self.consecutive_sheds = self.consecutive_sheds.saturating_add(1);
        self.reports_distrusted_until = now.after(options.report_ttl);
    }

    /// Records a lost dispatch.
    pub fn on_loss(&mut self, options: &SchedulerOptions) -> HealthDecision {
        self.consecutive_losses = self.consecutive_losses.saturating_add(1);
        if self.consecutive_losses >= options.ejection_threshold && self.ejection.is_none() {
            return HealthDecision::Eject;
        }
        HealthDecision::Keep
    }

    /// Ejects the target until a deadline has passed and a probe is answered.
    pub fn eject(&mut self, now: ClockTime, options: &SchedulerOptions) {
        let doublings = self.ejection_count.min(MAX_DOUBLINGS);
        let until = now.after(options.base_ejection_time * 2u32.pow(doublings));
        self.ejection = Some(TargetEjection { until, is_probe_answered: false });
        self.ejection_count = self.ejection_count.saturating_add(1);
    }

    /// Ends the ejection, with a slow start, once its deadline has passed and a probe was
    /// answered. Returns whether it ended.
    pub fn readmit(&mut self, now: ClockTime, options: &SchedulerOptions) -> bool {
        let Some(ejection) = self.ejection else {
            return false;
        };
        if !ejection.is_probe_answered || !ejection.until.is_past(now) {
            return false;
        }
        self.ejection = None;
        self.consecutive_losses = 0;
        self.warm_at = now.after(options.slow_start);
        true
    }

    /// Schedules the next probe if one is due now.
    ///
    /// Returns `None` if no probe is due, otherwise whether too many probes are unanswered.
    pub fn try_start_probe(
        &mut self,
        now: ClockTime,
        options: &SchedulerOptions,
    ) -> Option<HealthDecision> {
        if !self.next_probe_at.is_past(now) {
            return None;
        }
        self.next_probe_at = now.after(options.probe_interval);
        self.missed_probes = self.missed_probes.saturating_add(1);
        let is_unresponsive = self.missed_probes > MAX_MISSED_PROBES && self.ejection.is_none();
        Some(if is_unresponsive { HealthDecision::Eject } else { HealthDecision::Keep })
    }

    /// Returns whether a comparison of counted and reported slots is due, and schedules the next.
    pub fn try_start_reconcile(&mut self, now: ClockTime) -> bool {
        if !self.next_reconcile_at.is_past(now) {
            return false;
        }
        self.next_reconcile_at = now.after(RECONCILE_INTERVAL);
        true
    }

    /// Returns whether too many consecutive probes are unanswered.
    pub fn is_unresponsive(&self) -> bool {
        self.missed_probes > MAX_MISSED_PROBES
    }

    /// Returns whether the target is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether the backoff after a shed lasts.
    pub fn is_backing_off(&self, now: ClockTime) -> bool {
        !self.backoff_until.is_past(now)
    }

    /// Returns whether the target shed all its latest work items.
    pub fn sheds_persistently(&self) -> bool {
        self.consecutive_sheds >= PERSISTENT_SHEDS
    }

    /// Returns whether the target is avoided as unhealthy: it reports so, it has not responded
    /// to a dispatch lately, and no trial is due.
    pub fn is_suspect(&self, now: ClockTime) -> bool {
        let is_unhealthy = self.valid_report(now).is_some_and(|load| !load.healthy);
        is_unhealthy && self.response_valid_until.is_past(now) && !self.suspect_until.is_past(now)
    }

    /// Returns whether the last report, of whatever age, says that the target is draining.
    pub fn reports_draining(&self) -> bool {
        self.report.is_some_and(|load| load.draining)
    }

    /// Returns the last report, unless it has expired or observations contradict it.
    pub fn trusted_report(&self, now: ClockTime, options: &SchedulerOptions) -> Option<TargetLoad> {
        let is_distrusted =
            !self.reports_distrusted_until.is_past(now) || self.is_slow(now, options);
        self.valid_report(now).filter(|_| !is_distrusted)
    }

    /// Returns the smoothed ratio of run times to the mean of their kind; 1 until enough runs
    /// have ended.
    pub fn run_time_ratio(&self) -> f64 {
        if self.ratio_runs < MIN_RATIO_RUNS { 1.0 } else { self.run_time_ratio }
    }

    /// Returns whether recent runs were much slower than the mean.
    pub fn is_slow(&self, now: ClockTime, options: &SchedulerOptions) -> bool {
        self.has_slow_ratio(options) && !self.ratio_valid_until.is_past(now)
    }

    /// Returns whether a slow target has had no work for so long that it is due for a trial.
    pub fn needs_trial(&self, now: ClockTime, options: &SchedulerOptions) -> bool {
        self.has_slow_ratio(options) && self.ratio_valid_until.is_past(now)
    }

    /// Returns the progress of the slow start, from 0 (new or cold) to 1 (warm).
    pub fn warmup_progress(&self, now: ClockTime, options: &SchedulerOptions) -> f64 {
        if self.valid_report(now).is_some_and(|load| load.cold) {
            return 0.0;
        }
        let remaining = self.warm_at.remaining(now).as_secs_f64();
        let duration = options.slow_start.as_secs_f64().max(f64::EPSILON);
        1.0 - (remaining / duration).min(1.0)
    }

    fn has_slow_ratio(&self, options: &SchedulerOptions) -> bool {
        self.run_time_ratio() >= options.slow_run_time_ratio
    }

    fn valid_report(&self, now: ClockTime) -> Option<TargetLoad> {
        self.report.filter(|_| !self.report_expires_at.is_past(now))
    }
}
