//! What callers lose to an outage whatever the instances do.
//!
//! A caller sends a packet, and again some times; what it asked is answered only if one of
//! these gets through early enough for the answer to come before its deadline. Callers that
//! ask in the middle of an outage of all instances have sent their last copy before anybody could take it. No instance can win those
//! back. What is lost beyond is the system's own.

/// `CallerTiming` is when callers send and give up, in milliseconds after a request begins.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerTiming {
    copies: Vec<u64>,
    deadline: u64,
    answer: u64,
}

impl CallerTiming {
    /// A caller that sends once, and has its answer so long after its packet got through.
    pub fn new(deadline: u64, answer: u64) -> CallerTiming {
        CallerTiming { copies: vec![0], deadline, answer }
    }

    /// Sends again after these times.
    pub fn copies(mut self, times: &[u64]) -> CallerTiming {
        self.copies.extend(times);
        self
    }

    /// Sends again after `first`, and after twice as long each time, up to a longest wait.
    pub fn doubling(mut self, first: u64, longest: u64) -> CallerTiming {
        let (mut at, mut wait) = (0, first);
        while at + wait < self.deadline {
            at += wait;
            self.copies.push(at);
            wait = (wait * 2).min(longest);
        }
        self
    }

    /// True when a request that begins at `begin` is answered, though nothing gets through
    /// from 0 until `end`.
    pub fn is_answered(&self, begin: i64, end: i64) -> bool {
        let gets_through = |copy: &u64| {
            let sent = begin + *copy as i64;
            (sent < 0 || sent >= end) && copy + self.answer <= self.deadline
        };
        self.copies.iter().any(gets_through)
    }

    /// Time in which requests that begin are lost to an outage, in milliseconds: with the
    /// rate at which callers ask, the number that no instance can win back.
    pub fn lost_time(&self, outage: u64) -> u64 {
        let end = outage as i64;
        (0..end).filter(|begin| !self.is_answered(*begin, end)).count() as u64
    }
}

/// The table of outages for one kind of caller.
pub fn outage_table(timing: &CallerTiming, outages: &[u64]) -> String {
    let mut table = String::from("| outage ms | lost ms | in time after, ms |\n|---|---|---|\n");
    for outage in outages {
        let lost = timing.lost_time(*outage);
        table += &format!("| {outage} | {lost} | {} |\n", outage - lost);
    }
    table
}
