//! When work arrives: a seeded Poisson process whose rate has bursts.

use std::time::Duration;

use foxledge_core::time::ClockTime;
use rand::{Rng, rngs::StdRng};

use super::options::{BurstSpan, LoadOptions};

/// `ArrivalClock` says when work arrives, whatever became of earlier work.
pub struct ArrivalClock {
    rate: f64,
    bursts: Vec<BurstSpan>,
    started_at: ClockTime,
    end: f64,
    next: f64,
}

impl ArrivalClock {
    /// Makes a clock whose first arrival is drawn from `generator`.
    pub fn new(
        started_at: ClockTime,
        options: &LoadOptions,
        generator: &mut StdRng,
    ) -> ArrivalClock {
        let mut clock = ArrivalClock {
            rate: options.rate,
            bursts: options.bursts.clone(),
            started_at,
            end: options.seconds,
            next: 0.0,
        };
        clock.draw(generator);
        clock
    }

    /// When work arrives next; `None` after the end of the load.
    pub fn next(&self) -> Option<ClockTime> {
        (self.next < self.end).then(|| self.started_at.after(Duration::from_secs_f64(self.next)))
    }

    /// Ends the load: nothing arrives any more.
    pub fn end(&mut self) {
        self.end = 0.0;
    }

    /// Draws the arrival after the next one.
    ///
    /// Gaps have no memory: one that reaches past a change of the rate is drawn anew from there.
    pub fn draw(&mut self, generator: &mut StdRng) {
        while self.next < self.end {
            let change = self.change_after(self.next);
            let rate = self.rate_at(self.next);
            let uniform: f64 = generator.random();
            let gap = if rate > 0.0 { -(1.0 - uniform).ln() / rate } else { f64::INFINITY };
            if self.next + gap < change {
                self.next += gap;
                return;
            }
            self.next = change;
        }
    }

    fn rate_at(&self, second: f64) -> f64 {
        let active =
            |burst: &&BurstSpan| burst.start <= second && second < burst.start + burst.length;
        self.bursts.iter().filter(active).fold(self.rate, |rate, burst| rate * burst.factor)
    }

    fn change_after(&self, second: f64) -> f64 {
        let edges = self.bursts.iter().flat_map(|burst| [burst.start, burst.start + burst.length]);
        edges.filter(|edge| *edge > second).fold(self.end, f64::min)
    }
}
