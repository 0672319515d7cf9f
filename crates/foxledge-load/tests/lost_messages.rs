//! The sum of a data centre while 3 in 10 messages between its instances are lost.

mod common;

use std::collections::VecDeque;

use common::{arrivals_of, at_ms, auction, north, own_load, teller};
use foxledge_core::time::ClockTime;
use foxledge_load::{LoadTable, RateGauge, ReportPace};
use rand::{Rng, SeedableRng, rngs::StdRng};

const LOST: f64 = 0.3;
const ROUND_MS: u64 = 100;
const RECEIVERS: usize = 2;
const MOST_RELAYED: usize = 16;
const WORK_MS: u64 = 60;

/// `FakeInstance` sees requests at random times and tells its load every 100 ms.
struct FakeInstance {
    table: LoadTable,
    gauge: RateGauge,
    ends: VecDeque<u64>,
    round_at: u64,
}

/// `FakeCentre` is the instances of one data centre.
struct FakeCentre {
    instances: Vec<FakeInstance>,
    rng: StdRng,
}

impl FakeCentre {
    fn new(count: usize, seed: u64) -> FakeCentre {
        let mut rng = StdRng::seed_from_u64(seed);
        let instances = (0..count).map(|_| FakeInstance::new(count, &mut rng)).collect();
        FakeCentre { instances, rng }
    }

    fn run(&mut self, from_ms: u64, to_ms: u64, arrivals_per_s: f64) {
        for millis in from_ms..to_ms {
            for index in 0..self.instances.len() {
                let arrives = self.rng.random_bool(arrivals_per_s / 1000.0);
                self.instances[index].pass(millis, arrives);
                if self.instances[index].round_at == millis {
                    self.tell(index, millis);
                }
            }
        }
    }

    fn tell(&mut self, index: usize, millis: u64) {
        let now = at_ms(millis);
        let instance = &mut self.instances[index];
        instance.round_at += ROUND_MS;
        let load = own_load(instance.gauge.events_per_s(now), instance.ends.len() as f64);
        instance.table.set_local_load(now, teller(index as u32, 1), load);
        instance.table.remove_expired(now);
        let parts: Vec<_> = instance
            .table
            .reports()
            .take(MOST_RELAYED)
            .map(|(part, told_at)| (part.clone(), told_at))
            .collect();
        for _ in 0..RECEIVERS {
            let receiver = self.rng.random_range(0..self.instances.len());
            if self.rng.random_bool(LOST) {
                continue;
            }
            for (part, told_at) in parts.clone() {
                self.instances[receiver].table.apply_report(now, part, told_at, ReportPace::Fast);
            }
        }
    }

    fn real_arrivals(&self, now: ClockTime) -> f64 {
        self.instances.iter().map(|instance| instance.gauge.events_per_s(now)).sum()
    }

    /// Mean and largest error of the instances' sums, as parts of the real one.
    fn errors(&self, now: ClockTime) -> (f64, f64) {
        let real = self.real_arrivals(now);
        let errors: Vec<f64> = self
            .instances
            .iter()
            .map(|instance| (arrivals_of(&instance.table.local_aggregate(now)) / real - 1.0).abs())
            .collect();
        let mean = errors.iter().sum::<f64>() / errors.len() as f64;
        (mean, errors.iter().copied().fold(0.0, f64::max))
    }

    /// Mean over the instances of the running requests of their sums.
    fn running(&self, now: ClockTime) -> f64 {
        let running = |instance: &FakeInstance| {
            let sum = instance.table.local_aggregate(now);
            sum.services.get(&auction()).map_or(0.0, |load| load.running[&north()])
        };
        self.instances.iter().map(running).sum::<f64>() / self.instances.len() as f64
    }
}

impl FakeInstance {
    fn new(count: usize, rng: &mut StdRng) -> FakeInstance {
        let mut table = LoadTable::new(north());
        table.set_instances(count as u32);
        let round_at = rng.random_range(0..ROUND_MS);
        FakeInstance { table, gauge: RateGauge::new(), ends: VecDeque::new(), round_at }
    }

    fn pass(&mut self, millis: u64, arrives: bool) {
        while self.ends.front().is_some_and(|end| *end <= millis) {
            self.ends.pop_front();
        }
        if arrives {
            self.gauge.record_event(at_ms(millis));
            self.ends.push_back(millis + WORK_MS);
        }
    }
}

// Guards against a sum that misses the parts of lost messages, as a plain total does.
#[test]
fn sum_survives_losses() {
    for (count, seed) in [(19, 1), (97, 2), (146, 3), (437, 4)] {
        let mut centre = FakeCentre::new(count, seed);
        centre.run(0, 2000, 60.0);
        let now = at_ms(2000);
        let (mean, most) = centre.errors(now);
        println!("{count} instances, seed {seed}: mean error {mean:.3}, largest {most:.3}");
        assert!(mean < 0.05, "{count} instances: mean error {mean}");
        assert!(most < 0.25, "{count} instances: largest error {most}");
        let sure =
            centre.instances.iter().filter(|instance| instance.table.is_reliable(now)).count();
        assert_eq!(sure, count);
    }
}

// Guards against a burst that stays hidden behind old parts while messages are lost.
#[test]
fn burst_shows_despite_losses() {
    for (count, seed) in [(19, 5), (146, 6)] {
        let mut centre = FakeCentre::new(count, seed);
        centre.run(0, 2000, 60.0);
        let before = centre.running(at_ms(2000));
        centre.run(2000, 2500, 240.0);
        let after = centre.running(at_ms(2500));
        println!("{count} instances, seed {seed}: running {before:.0}, after 500 ms {after:.0}");
        let real = 240.0 * WORK_MS as f64 / 1000.0 * count as f64;
        assert!((after / real - 1.0).abs() < 0.1, "{count} instances: {after} for {real}");
    }
}
