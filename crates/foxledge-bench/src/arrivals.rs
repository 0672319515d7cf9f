//! Arrivals of requests: the same for every place under one seed.

use std::time::Duration;

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
pub struct ArrivalSource {
    random: StdRng,
    load: ServiceLoad,
    variant: LoadVariant,
    rate: f64,
    now: f64,
}

impl ArrivalSource {
    /// Makes the source of a run at `level` times the capacity.
    pub fn new(load: ServiceLoad, level: f64, variant: LoadVariant, seed: u64) -> ArrivalSource {
        let base = load.capacity() * level;
        let shares = load.members as f64;
        let rate = match variant {
            LoadVariant::GreedyMember => base * (shares - 1.0 + GREED) / shares,
            _ => base,
        };
        ArrivalSource { random: StdRng::seed_from_u64(seed), load, variant, rate, now: 0.0 }
    }

    fn member(&mut self) -> usize {
        let members = self.load.members;
        if self.variant != LoadVariant::GreedyMember {
            return self.random.random_range(0..members);
        }
        let shares = members as f64 - 1.0 + GREED;
        let drawn = self.random.random::<f64>() * shares;
        if drawn < GREED { 0 } else { (1 + (drawn - GREED) as usize).min(members - 1) }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -(1.0 - uniform).ln() * mean
    }
}

impl Iterator for ArrivalSource {
    type Item = RequestArrival;

    // Thinning: arrivals at the highest rate, of which each is kept with the
    // chance that the present rate bears to the highest.
    fn next(&mut self) -> Option<RequestArrival> {
        let highest = self.load.shape.highest();
        loop {
            self.now += self.exponential(1.0 / (self.rate * highest));
            if self.now > self.load.length.as_secs_f64() {
                return None;
            }
            if self.random.random::<f64>() * highest <= self.load.shape.factor_at(self.now) {
                break;
            }
        }
        let member = self.member();
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
