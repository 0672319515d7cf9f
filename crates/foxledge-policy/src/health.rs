//! What a desk believes of a target, from what it saw and what it was told.

use std::time::Duration;

use foxledge_core::time::ClockTime;

use crate::{effects::TargetLoad, options::SchedulerOptions};

// Weight of a new run time in a target's pace. Exponential run times then
// leave a spread of 0.23, well below the slow mark.
const PACE_GAIN: f64 = 0.1;
// Runs before a pace counts.
const PACE_RUNS: u32 = 8;
// A pace counts this long after the last run, then the target gets a trial.
const PACE_LIFE: Duration = Duration::from_secs(5);
// Weight of a trial's run time, as trials are few.
const TRIAL_GAIN: f64 = 0.3;
// A run that took longer counts as this many times the usual.
const PACE_MOST: f64 = 20.0;
// What was seen of a target outweighs what it says of its health this long.
const SEEN_LIFE: Duration = Duration::from_secs(1);
// A target's word that it is unhealthy is believed this long, then it gets a
// trial. Only work can show that the word was wrong; without trials a target
// that misleads would stay out for good, and one would notice idle slots.
const DOUBT_LIFE: Duration = Duration::from_secs(3);
// Doublings of ejection times and of shed holds.
const MOST_DOUBLINGS: u32 = 5;
// How often the slots counted are compared with those reported.
const REVIEW_PERIOD: Duration = Duration::from_millis(500);
// Sheds in a row after which a target gets one work at a time.
const SHEDS_ON: u32 = 2;
// Probes without any answer after which a target counts as silent.
const MISSED_PROBES: u32 = 3;

/// `TargetHealth` is what a desk believes of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    report: Option<TargetLoad>,
    report_deadline: ClockTime,
    distrust_until: ClockTime,
    seen_until: ClockTime,
    doubt_until: ClockTime,
    losses: u32,
    ejection: Option<TargetEjection>,
    ejections: u32,
    shed_until: ClockTime,
    sheds: u32,
    warm_at: ClockTime,
    pace: f64,
    pace_runs: u32,
    pace_until: ClockTime,
    next_probe: ClockTime,
    missed_probes: u32,
    next_review: ClockTime,
}

/// `TargetEjection` is until when a target is out, at least.
#[derive(Clone, Copy, Debug)]
struct TargetEjection {
    until: ClockTime,
    answered: bool,
}

/// `HealthVerdict` is what an event made of a target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthVerdict {
    /// Nothing to do.
    Keep,
    /// Losses call for an ejection, if the floor allows it.
    Eject,
}

impl TargetHealth {
    /// Makes the health of a target that is warm at `warm_at`.
    pub fn new(warm_at: ClockTime, next_probe: ClockTime) -> TargetHealth {
        TargetHealth {
            report: None,
            report_deadline: ClockTime::ZERO,
            distrust_until: ClockTime::ZERO,
            seen_until: ClockTime::ZERO,
            doubt_until: ClockTime::ZERO,
            losses: 0,
            ejection: None,
            ejections: 0,
            shed_until: ClockTime::ZERO,
            sheds: 0,
            warm_at,
            pace: 1.0,
            pace_runs: 0,
            pace_until: ClockTime::ZERO,
            next_probe,
            missed_probes: 0,
            next_review: ClockTime::ZERO,
        }
    }

    /// The target answered anything.
    pub fn on_answer(&mut self, now: ClockTime) {
        self.losses = 0;
        self.missed_probes = 0;
        self.seen_until = now.after(SEEN_LIFE);
        self.doubt_until = self.seen_until.after(DOUBT_LIFE);
    }

    /// The target reported its load.
    pub fn on_report(&mut self, now: ClockTime, load: TargetLoad, options: &SchedulerOptions) {
        self.missed_probes = 0;
        let was_healthy = self.fresh_report(now).is_none_or(|former| former.healthy);
        if was_healthy && !load.healthy {
            self.doubt_until = self.doubt_until.max(now.after(DOUBT_LIFE));
        }
        self.report = Some(load);
        self.report_deadline = now.after(options.report_ttl);
        if let Some(ejection) = &mut self.ejection {
            ejection.answered = true;
        }
    }

    /// The target ran a work in `ratio` times the usual time.
    pub fn on_run(&mut self, now: ClockTime, ratio: f64) {
        let ratio = ratio.min(PACE_MOST);
        let usual_gain = if self.pace_until.is_past(now) { TRIAL_GAIN } else { PACE_GAIN };
        let gain = usual_gain.max(1.0 / f64::from(self.pace_runs + 1));
        self.pace += (ratio - self.pace) * gain;
        self.pace_runs = self.pace_runs.saturating_add(1);
        self.pace_until = now.after(PACE_LIFE);
        self.sheds = 0;
        self.ejections = 0;
    }

    /// The target had no room: it is left alone for a while, and a report that
    /// it is idle isn't believed.
    ///
    /// While it sheds on, the hold doubles, from the time in which a slot may
    /// have become free. Else each new try at it would use up the retry budget,
    /// and work of the highest priority would be refused for want of a retry.
    pub fn on_shed(&mut self, now: ClockTime, usual_run: Duration, options: &SchedulerOptions) {
        if options.shed_backoff.is_zero() {
            return;
        }
        let doublings = self.sheds.min(MOST_DOUBLINGS);
        let hold = options.shed_backoff.max(usual_run / 2);
        self.shed_until = now.after(hold * 2u32.pow(doublings));
        self.sheds = self.sheds.saturating_add(1);
        self.distrust_until = now.after(options.report_ttl);
    }

    /// A dispatch to the target was lost.
    pub fn on_loss(&mut self, options: &SchedulerOptions) -> HealthVerdict {
        self.losses = self.losses.saturating_add(1);
        if self.losses >= options.ejection_threshold && self.ejection.is_none() {
            return HealthVerdict::Eject;
        }
        HealthVerdict::Keep
    }

    /// Puts the target out until a deadline and an answered probe.
    pub fn eject(&mut self, now: ClockTime, options: &SchedulerOptions) {
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        let until = now.after(options.base_ejection_time * 2u32.pow(doublings));
        self.ejection = Some(TargetEjection { until, answered: false });
        self.ejections = self.ejections.saturating_add(1);
    }

    /// Takes the target back with a slow start when its deadline has passed
    /// and it answered a probe; true when it did so.
    pub fn readmit(&mut self, now: ClockTime, options: &SchedulerOptions) -> bool {
        let Some(ejection) = self.ejection else {
            return false;
        };
        if !ejection.answered || !ejection.until.is_past(now) {
            return false;
        }
        self.ejection = None;
        self.losses = 0;
        self.warm_at = now.after(options.slow_start);
        true
    }

    /// True when a probe is due; the next one is then set.
    pub fn probe_due(
        &mut self,
        now: ClockTime,
        options: &SchedulerOptions,
    ) -> Option<HealthVerdict> {
        if !self.next_probe.is_past(now) {
            return None;
        }
        self.next_probe = now.after(options.probe_interval);
        self.missed_probes = self.missed_probes.saturating_add(1);
        let silent = self.missed_probes > MISSED_PROBES && self.ejection.is_none();
        Some(if silent { HealthVerdict::Eject } else { HealthVerdict::Keep })
    }

    /// True when slots may be compared with reports again.
    pub fn review_due(&mut self, now: ClockTime) -> bool {
        if !self.next_review.is_past(now) {
            return false;
        }
        self.next_review = now.after(REVIEW_PERIOD);
        true
    }

    /// True when several probes in a row found no answer.
    pub fn is_silent(&self) -> bool {
        self.missed_probes > MISSED_PROBES
    }

    /// True while the target is out.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// True while the target is left alone after it shed.
    pub fn is_held(&self, now: ClockTime) -> bool {
        !self.shed_until.is_past(now)
    }

    /// True when the target has shed all that it got lately.
    pub fn sheds_on(&self) -> bool {
        self.sheds >= SHEDS_ON
    }

    /// True when the target calls itself unhealthy, nothing seen lately speaks
    /// against that, and it isn't time to try it.
    pub fn is_doubtful(&self, now: ClockTime) -> bool {
        let unhealthy = self.fresh_report(now).is_some_and(|load| !load.healthy);
        unhealthy && self.seen_until.is_past(now) && !self.doubt_until.is_past(now)
    }

    /// True when the target reported that it is leaving, however long ago.
    pub fn reports_draining(&self) -> bool {
        self.report.is_some_and(|load| load.draining)
    }

    /// The last report, unless it is too old or what was seen speaks against it.
    pub fn trusted_report(&self, now: ClockTime, options: &SchedulerOptions) -> Option<TargetLoad> {
        let distrusted = !self.distrust_until.is_past(now) || self.is_slow(now, options);
        self.fresh_report(now).filter(|_| !distrusted)
    }

    /// Run time as a multiple of the usual; 1 until enough was seen.
    pub fn pace(&self) -> f64 {
        if self.pace_runs < PACE_RUNS { 1.0 } else { self.pace }
    }

    /// True when the target was seen to be much slower than its peers.
    pub fn is_slow(&self, now: ClockTime, options: &SchedulerOptions) -> bool {
        self.is_slow_ever(options) && !self.pace_until.is_past(now)
    }

    /// True when a slow target has had no work for so long that one more is a trial.
    pub fn wants_trial(&self, now: ClockTime, options: &SchedulerOptions) -> bool {
        self.is_slow_ever(options) && self.pace_until.is_past(now)
    }

    /// From 0 (new or cold) to 1 (warm).
    pub fn warmth(&self, now: ClockTime, options: &SchedulerOptions) -> f64 {
        if self.fresh_report(now).is_some_and(|load| load.cold) {
            return 0.0;
        }
        let left = self.warm_at.remaining(now).as_secs_f64();
        let whole = options.slow_start.as_secs_f64().max(f64::EPSILON);
        1.0 - (left / whole).min(1.0)
    }

    fn is_slow_ever(&self, options: &SchedulerOptions) -> bool {
        self.pace() >= options.slow_run_time_ratio
    }

    fn fresh_report(&self, now: ClockTime) -> Option<TargetLoad> {
        self.report.filter(|_| !self.report_deadline.is_past(now))
    }
}
