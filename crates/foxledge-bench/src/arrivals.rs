//! Arrivals of requests: the same for every place under one seed.

use std::{iter::Peekable, time::Duration};

use foxledge_core::time::ClockTime;
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::workloads::{ArrivalShape, LoadVariant, ServiceLoad};

/// How many times its share the greedy member sends.
const GREED: f64 = 10.0;

/// `RequestArrival` is one request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// When it reaches the fabric.
    pub at: ClockTime,
    /// Number of the member.
    pub member: usize,
    /// The flow.
    pub flow: u64,
    /// How long it runs on a warm target.
    pub run: Duration,
}

/// `ArrivalSource` draws the arrivals of one run.
///
/// The greedy member's surplus is a stream of its own, so that the others'
/// requests are the same with and without it.
pub struct ArrivalSource {
    shares: Peekable<ArrivalStream>,
    surplus: Peekable<ArrivalStream>,
}

/// `ArrivalStream` is one thinned Poisson process.
struct ArrivalStream {
    random: StdRng,
    load: ServiceLoad,
    rate: f64,
    members: usize,
    now: f64,
}

impl ArrivalSource {
    /// Makes the source of a run at `level` times the capacity.
    pub fn new(load: ServiceLoad, level: f64, variant: LoadVariant, seed: u64) -> ArrivalSource {
        let rate = load.capacity() * level;
        let greed = match variant {
            LoadVariant::GreedyMember => (GREED - 1.0) / load.members as f64,
            _ => 0.0,
        };
        let shares = ArrivalStream::new(load, rate, load.members, seed);
        let surplus = ArrivalStream::new(load, rate * greed, 1, !seed);
        ArrivalSource { shares: shares.peekable(), surplus: surplus.peekable() }
    }
}

impl Iterator for ArrivalSource {
    type Item = RequestArrival;

    fn next(&mut self) -> Option<RequestArrival> {
        let share_at = self.shares.peek().map_or(ClockTime::MAX, |arrival| arrival.at);
        let surplus_at = self.surplus.peek().map_or(ClockTime::MAX, |arrival| arrival.at);
        if share_at <= surplus_at { self.shares.next() } else { self.surplus.next() }
    }
}

impl ArrivalStream {
    fn new(load: ServiceLoad, rate: f64, members: usize, seed: u64) -> ArrivalStream {
        ArrivalStream { random: StdRng::seed_from_u64(seed), load, rate, members, now: 0.0 }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -(1.0 - uniform).ln() * mean
    }
}

impl Iterator for ArrivalStream {
    type Item = RequestArrival;

    // Thinning: arrivals at the highest rate, of which each is kept with the
    // chance that the present rate bears to the highest.
    fn next(&mut self) -> Option<RequestArrival> {
        let highest = self.load.shape.highest();
        loop {
            self.now += self.exponential(1.0 / (self.rate * highest));
            if self.now.is_nan() || self.now > self.load.length.as_secs_f64() {
                return None;
            }
            if self.random.random::<f64>() * highest <= self.load.shape.factor_at(self.now) {
                break;
            }
        }
        let member = self.random.random_range(0..self.members);
        let run = self.exponential(self.load.mean_run.as_secs_f64());
        Some(RequestArrival {
            at: ClockTime::from_micros((self.now * 1e6) as u64),
            member,
            flow: self.random.random(),
            run: Duration::from_secs_f64(run),
        })
    }
}

impl ArrivalShape {
    fn highest(self) -> f64 {
        match self {
            ArrivalShape::Poisson => 1.0,
            ArrivalShape::Bursts { factor, .. } => factor.max(1.0),
        }
    }

    fn factor_at(self, seconds: f64) -> f64 {
        match self {
            ArrivalShape::Poisson => 1.0,
            ArrivalShape::Bursts { period, burst, factor } => {
                let (period, burst) = (period.as_secs_f64(), burst.as_secs_f64());
                let quiet = (period - burst * factor) / (period - burst);
                if seconds % period < burst { factor } else { quiet }
            }
        }
    }
}
