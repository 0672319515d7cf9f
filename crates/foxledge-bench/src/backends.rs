//! What targets do with dispatches.

use foxledge_core::time::ClockTime;
use foxledge_policy::{RefuseReason, TargetLoad, TargetSignal};

use crate::{
    events::SimEvent,
    places::PlaceKind,
    tally::WorkOutcome,
    targets::{JobStart, JobState, TargetJob},
    world::{CALLER_WAY, CENTRE_WAY, SimWorld},
};

impl SimWorld {
    pub(crate) fn open(&mut self, desk: usize, target: usize, incarnation: u64, job: TargetJob) {
        let process = self.current[target];
        if self.processes[process].incarnation != incarnation {
            let wrong = TargetSignal::NotRun(RefuseReason::WrongTarget);
            self.send_signal(desk, process, job.dispatch, wrong);
            return;
        }
        let signal = match self.processes[process].open(self.now, job) {
            JobStart::Runs(until) => {
                self.start_run(process, job, until);
                TargetSignal::Accepted
            }
            JobStart::Waits | JobStart::Known(JobState::Waiting | JobState::Running) => {
                TargetSignal::Accepted
            }
            JobStart::Known(JobState::Ended) => TargetSignal::Ended,
            JobStart::Shed | JobStart::Known(JobState::NotRun) => {
                TargetSignal::NotRun(RefuseReason::TargetShed)
            }
        };
        if signal == TargetSignal::Accepted {
            self.works[job.work as usize].is_accepted = true;
        }
        self.send_signal(desk, process, job.dispatch, signal);
    }

    pub(crate) fn cancel(&mut self, desk: usize, target: usize, incarnation: u64, dispatch: u64) {
        let process = self.current[target];
        let signal = if self.processes[process].incarnation != incarnation {
            TargetSignal::NotRun(RefuseReason::WrongTarget)
        } else if self.processes[process].cancel(dispatch) {
            TargetSignal::NotRun(RefuseReason::Cancelled)
        } else {
            TargetSignal::Accepted
        };
        self.send_signal(desk, process, dispatch, signal);
    }

    pub(crate) fn start_run(&mut self, process: usize, job: TargetJob, until: ClockTime) {
        let record = &mut self.works[job.work as usize];
        record.runs += 1;
        record.started_at.get_or_insert(self.now);
        self.report.note_start(self.now, record.desk);
        self.events.push(until, SimEvent::RunEnd { process, job });
    }

    pub(crate) fn end_run(&mut self, process: usize, job: TargetJob) {
        let (started, late) = self.processes[process].end(self.now, job.dispatch);
        if let Some((next, until)) = started {
            self.start_run(process, next, until);
        }
        for lost in late {
            let signal = TargetSignal::NotRun(RefuseReason::DeadlinePassed);
            let desk = self.works[lost.work as usize].desk;
            self.send_signal(desk, process, lost.dispatch, signal);
        }
        let desk = self.works[job.work as usize].desk;
        self.send_signal(desk, process, job.dispatch, TargetSignal::Ended);
        // The answer goes to the caller through any instance.
        let reached_at = self.now.after(CENTRE_WAY).after(CALLER_WAY);
        self.works[job.work as usize].ended_at = Some(reached_at);
        self.end_work(job.work, WorkOutcome::Served);
    }

    pub(crate) fn send_signal(
        &mut self,
        desk: usize,
        process: usize,
        dispatch: u64,
        signal: TargetSignal,
    ) {
        // Ways that go by lagging reports get none with the answers.
        let told = self.plan.place != PlaceKind::TwoChoices;
        let load = told.then(|| self.processes[process].load(self.now));
        let at = self.now.after(CENTRE_WAY);
        self.events.push(at, SimEvent::Signal { desk, dispatch, signal, load });
    }

    pub(crate) fn signal(
        &mut self,
        desk: usize,
        dispatch: u64,
        signal: TargetSignal,
        load: Option<TargetLoad>,
    ) {
        let now = self.now;
        self.on_desk(desk, |home| home.on_signal(now, dispatch, signal, load));
    }
}
