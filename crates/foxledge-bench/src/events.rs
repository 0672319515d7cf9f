//! The queue of events in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use foxledge_core::time::ClockTime;
use foxledge_policy::{TargetLoad, TargetSignal};

use crate::{fault_plan::FaultStep, targets::TargetJob};

/// `SimEvent` is one thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimEvent {
    /// A caller's request reaches the fabric.
    Ask(u64),
    /// A request reaches a desk.
    Offer {
        /// The work.
        work: u64,
        /// The desk.
        desk: usize,
    },
    /// A dispatch reaches a target.
    Open {
        /// The desk.
        desk: usize,
        /// The target's number.
        target: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The job.
        job: TargetJob,
    },
    /// A cancellation reaches a target.
    Cancel {
        /// The desk.
        desk: usize,
        /// The target's number.
        target: usize,
        /// Its incarnation.
        incarnation: u64,
        /// The dispatch.
        dispatch: u64,
    },
    /// A run ends.
    RunEnd {
        /// The target's place among all processes.
        process: usize,
        /// The job.
        job: TargetJob,
    },
    /// A target's word reaches a desk.
    Signal {
        /// The desk.
        desk: usize,
        /// The dispatch.
        dispatch: u64,
        /// The word.
        signal: TargetSignal,
        /// What it says of its load.
        load: Option<TargetLoad>,
    },
    /// A report reaches a desk.
    Report {
        /// The desk.
        desk: usize,
        /// The target's number.
        target: usize,
        /// The report.
        load: TargetLoad,
    },
    /// Ten milliseconds have passed at every desk.
    Tick,
    /// A window of measurement ends.
    Window,
    /// A fault begins or ends.
    Fault(FaultStep),
    /// A caller learns that its request's home was lost.
    HomeLost(u64),
}

/// `EventQueue` gives events in the order of time, then of their making.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueuedEvent<E>>>,
    made: u64,
}

#[derive(Debug)]
struct QueuedEvent<E> {
    at: ClockTime,
    number: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { heap: BinaryHeap::new(), made: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Makes an empty queue.
    pub fn new() -> EventQueue<E> {
        EventQueue::default()
    }

    /// Adds an event.
    pub fn push(&mut self, at: ClockTime, event: E) {
        self.made += 1;
        self.heap.push(Reverse(QueuedEvent { at, number: self.made, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(ClockTime, E)> {
        self.heap.pop().map(|Reverse(queued)| (queued.at, queued.event))
    }
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &QueuedEvent<E>) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &QueuedEvent<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &QueuedEvent<E>) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
