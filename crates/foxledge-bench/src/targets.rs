//! Stand-in targets in virtual time.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use foxledge_core::time::ClockTime;
use foxledge_policy::TargetLoad;

/// How many times slower a cold or faulty target runs.
pub const SLOWNESS: f64 = 5.0;
/// Reports are this many samples old.
const REPORT_SAMPLES: usize = 5;

/// `SimTarget` is one process of a backend server.
#[derive(Debug)]
pub struct SimTarget {
    /// Its incarnation.
    pub incarnation: u64,
    /// Leaves: takes nothing new.
    pub draining: bool,
    /// Sheds all that comes and reports to be idle.
    pub sheds: bool,
    /// Runs slowly and reports to be idle.
    pub lies_idle: bool,
    /// Cold until then.
    pub cold_until: ClockTime,
    slots: u32,
    queue_limit: u32,
    busy: u32,
    waiting: VecDeque<TargetJob>,
    known: HashMap<u64, JobState>,
    samples: VecDeque<TargetLoad>,
    // Integral of busy slots over time, in slot microseconds.
    busy_area: u64,
    area_until: ClockTime,
}

/// `TargetJob` is one dispatch at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetJob {
    /// The dispatch.
    pub dispatch: u64,
    /// The work.
    pub work: u64,
    /// How long it runs when warm.
    pub run: Duration,
    /// Refused if it isn't started before.
    pub deadline: ClockTime,
}

/// `JobState` is what a target remembers of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// In its short queue.
    Waiting,
    /// Runs.
    Running,
    /// Ended.
    Ended,
    /// Not run, and never will.
    NotRun,
}

/// `JobStart` is what became of a job that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStart {
    /// It runs until then.
    Runs(ClockTime),
    /// It waits.
    Waits,
    /// No room.
    Shed,
    /// The dispatch was known.
    Known(JobState),
}

impl SimTarget {
    /// Makes an idle target.
    pub fn new(incarnation: u64, slots: u32, queue_limit: u32, now: ClockTime) -> SimTarget {
        SimTarget {
            incarnation,
            draining: false,
            sheds: false,
            lies_idle: false,
            cold_until: ClockTime::ZERO,
            slots,
            queue_limit,
            busy: 0,
            waiting: VecDeque::new(),
            known: HashMap::new(),
            samples: VecDeque::new(),
            busy_area: 0,
            area_until: now,
        }
    }

    /// Takes a dispatch.
    pub fn open(&mut self, now: ClockTime, job: TargetJob) -> JobStart {
        if let Some(&state) = self.known.get(&job.dispatch) {
            return JobStart::Known(state);
        }
        if self.draining || self.sheds {
            self.known.insert(job.dispatch, JobState::NotRun);
            return JobStart::Shed;
        }
        if self.busy < self.slots {
            return JobStart::Runs(self.start(now, job));
        }
        if (self.waiting.len() as u32) < self.queue_limit {
            self.known.insert(job.dispatch, JobState::Waiting);
            self.waiting.push_back(job);
            return JobStart::Waits;
        }
        self.known.insert(job.dispatch, JobState::NotRun);
        JobStart::Shed
    }

    /// Ends a run and starts what waits; returns the job started with its end,
    /// and the jobs whose deadlines passed before.
    pub fn end(
        &mut self,
        now: ClockTime,
        dispatch: u64,
    ) -> (Option<(TargetJob, ClockTime)>, Vec<TargetJob>) {
        self.known.insert(dispatch, JobState::Ended);
        self.count_area(now);
        self.busy -= 1;
        let mut late = Vec::new();
        while let Some(job) = self.waiting.pop_front() {
            if job.deadline.is_past(now) {
                self.known.insert(job.dispatch, JobState::NotRun);
                late.push(job);
                continue;
            }
            let until = self.start(now, job);
            return (Some((job, until)), late);
        }
        (None, late)
    }

    /// Gives up a dispatch that waits; true when it will not run.
    pub fn cancel(&mut self, dispatch: u64) -> bool {
        self.waiting.retain(|job| job.dispatch != dispatch);
        let state = self.known.entry(dispatch).or_insert(JobState::NotRun);
        if *state == JobState::Waiting {
            *state = JobState::NotRun;
        }
        *state == JobState::NotRun
    }

    /// Its load at this moment, as it says.
    pub fn load(&self, now: ClockTime) -> TargetLoad {
        let lies = self.lies_idle || self.sheds;
        let busy_slots = if lies { 0 } else { self.busy };
        let queued = if lies { 0 } else { self.waiting.len() as u32 };
        TargetLoad {
            busy_slots,
            connections: 0,
            queued,
            draining: self.draining,
            cold: !self.cold_until.is_past(now),
            healthy: true,
        }
    }

    /// Notes a sample for lagging reports.
    pub fn sample(&mut self, now: ClockTime) {
        let load = self.load(now);
        self.samples.push_back(load);
        if self.samples.len() > REPORT_SAMPLES + 1 {
            self.samples.pop_front();
        }
    }

    /// The lagging report.
    pub fn report(&self) -> TargetLoad {
        let idle = TargetLoad { healthy: true, ..TargetLoad::default() };
        self.samples.front().copied().unwrap_or(idle)
    }

    /// Slot microseconds used since the last call.
    pub fn take_area(&mut self, now: ClockTime) -> u64 {
        self.count_area(now);
        std::mem::take(&mut self.busy_area)
    }

    /// How many times slower than usual it runs now.
    pub fn slowness(&self, now: ClockTime) -> f64 {
        if self.lies_idle || !self.cold_until.is_past(now) { SLOWNESS } else { 1.0 }
    }

    fn start(&mut self, now: ClockTime, job: TargetJob) -> ClockTime {
        self.count_area(now);
        self.busy += 1;
        self.known.insert(job.dispatch, JobState::Running);
        now.after(job.run.mul_f64(self.slowness(now)))
    }

    fn count_area(&mut self, now: ClockTime) {
        let micros = now.since(self.area_until).as_micros() as u64;
        self.busy_area += u64::from(self.busy) * micros;
        self.area_until = now;
    }
}
