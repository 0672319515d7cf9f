//! What a run is counted by while it goes on.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use foxledge_flows::{HealthObservation, ObservationKind};
use hdrhistogram::Histogram;

use crate::flows::callers::{FlowRequest, RequestClass};

/// Answers within this time count as in time.
const AIM: Duration = Duration::from_millis(100);
/// Highest latency that is kept apart, in microseconds: more than any deadline.
const LONGEST_US: u64 = 10_000_000;

/// `ClassTally` is the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassTally {
    /// Requests of callers, repeats not counted.
    pub asked: u64,
    /// Answered in time.
    pub in_aim: u64,
    /// Answered later.
    pub late: u64,
    /// Never answered.
    pub failed: u64,
}

impl ClassTally {
    /// The share that was answered.
    pub fn served(&self) -> f64 {
        (self.in_aim + self.late) as f64 / self.asked.max(1) as f64
    }
}

/// Length of a step of a run.
pub const STEP: Duration = Duration::from_millis(250);

/// `StepTally` is the requests that were asked in one step of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepTally {
    /// Asked.
    pub asked: u64,
    /// Answered in time.
    pub in_aim: u64,
    /// Never answered.
    pub failed: u64,
}

/// `FlowTally` is what is counted of one run.
#[derive(Debug)]
pub(crate) struct FlowTally {
    pub(crate) feeds: ClassTally,
    pub(crate) bids: ClassTally,
    pub(crate) latency: Histogram<u64>,
    /// Times that a backend server turned a request away.
    pub(crate) turned_away: u64,
    /// New flows, and those that went to another data centre.
    pub(crate) opened: u64,
    pub(crate) opened_far: u64,
    /// Suspicions and ejections of backend servers that live.
    pub(crate) false_suspicions: u64,
    pub(crate) false_ejections: u64,
    /// Open flows that were reset, rightly or not.
    pub(crate) ended: u64,
    pub(crate) ended_falsely: u64,
    /// Requests that failed, on a kept flow whose backend server was dead when they began.
    pub(crate) failed_at_dead: u64,
    /// The run in steps of [`STEP`], from the end of the warm-up.
    pub(crate) steps: Vec<StepTally>,
    /// Longest time from a backend server's silence to the last first packet sent there,
    /// those of tries after an ejection left out.
    pub(crate) silence_noticed: Duration,
}

impl FlowTally {
    pub(crate) fn new() -> FlowTally {
        let latency = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are good");
        FlowTally {
            feeds: ClassTally::default(),
            bids: ClassTally::default(),
            latency,
            turned_away: 0,
            opened: 0,
            opened_far: 0,
            false_suspicions: 0,
            false_ejections: 0,
            ended: 0,
            ended_falsely: 0,
            failed_at_dead: 0,
            steps: Vec::new(),
            silence_noticed: Duration::ZERO,
        }
    }

    /// Counts a request that was asked so long after the warm-up.
    pub(crate) fn add_request(&mut self, request: &FlowRequest, since: Duration) {
        let step = (since.as_millis() / STEP.as_millis()) as usize;
        if self.steps.len() <= step {
            self.steps.resize(step + 1, StepTally::default());
        }
        self.steps[step].asked += 1;
        let class = match request.class {
            RequestClass::Feed => &mut self.feeds,
            RequestClass::Bid => &mut self.bids,
        };
        class.asked += 1;
        let Some(answered) = request.answered_at else {
            class.failed += 1;
            self.steps[step].failed += 1;
            self.failed_at_dead += u64::from(request.began_at_dead);
            return;
        };
        let took = answered.since(request.asked_at);
        self.latency.saturating_record(took.as_micros() as u64);
        if took <= AIM {
            class.in_aim += 1;
            self.steps[step].in_aim += 1;
        } else {
            class.late += 1;
        }
    }

    /// Counts an observation that speaks against a backend server that lives.
    pub(crate) fn add_false_note(&mut self, note: &HealthObservation) {
        match note.kind {
            ObservationKind::Suspect => self.false_suspicions += 1,
            ObservationKind::Ejected
            | ObservationKind::OpeningUnanswered
            | ObservationKind::DataUnanswered => self.false_ejections += 1,
            ObservationKind::Alive => {}
        }
    }

    pub(crate) fn add_opening(&mut self, now: ClockTime, silent_at: Option<ClockTime>) {
        self.opened += 1;
        if let Some(silent) = silent_at {
            self.silence_noticed = self.silence_noticed.max(now.since(silent));
        }
    }
}
