//! The aggregate of a data centre while 30% of the messages between its instances are lost.

mod common;

use std::collections::VecDeque;

use common::{arrivals_of, at_ms, auction, local_load, north, reporter};
use foxledge_core::time::ClockTime;
use foxledge_load::{LoadTable, RateGauge, ReportPace};
use rand::{Rng, SeedableRng, rngs::StdRng};

const LOSS_RATE: f64 = 0.3;
const REPORT_INTERVAL_MS: u64 = 100;
const RECEIVERS: usize = 2;
const MAX_RELAYED: usize = 16;
const WORK_MS: u64 = 60;

/// An instance that receives requests at random times and reports its load every 100 ms.
struct FakeInstance {
    table: LoadTable,
    gauge: RateGauge,
    ends: VecDeque<u64>,
    next_report_at: u64,
}

/// The instances of one data centre.
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
                self.instances[index].advance(millis, arrives);
                if self.instances[index].next_report_at == millis {
                    self.send_report(index, millis);
                }
            }
        }
    }

    fn send_report(&mut self, index: usize, millis: u64) {
        let now = at_ms(millis);
        let instance = &mut self.instances[index];
        instance.next_report_at += REPORT_INTERVAL_MS;
        let load = local_load(instance.gauge.events_per_s(now), instance.ends.len() as f64);
        instance.table.set_local_load(now, reporter(index as u32, 1), load);
        instance.table.remove_expired(now);
        let reports: Vec<_> = instance
            .table
            .reports()
            .take(MAX_RELAYED)
            .map(|(report, reported_at)| (report.clone(), reported_at))
            .collect();
        for _ in 0..RECEIVERS {
            let receiver = self.rng.random_range(0..self.instances.len());
            if self.rng.random_bool(LOSS_RATE) {
                continue;
            }
            for (report, reported_at) in reports.clone() {
                self.instances[receiver].table.apply_report(
                    now,
                    report,
                    reported_at,
                    ReportPace::Fast,
                );
            }
        }
    }

    fn actual_arrivals(&self, now: ClockTime) -> f64 {
        self.instances.iter().map(|instance| instance.gauge.events_per_s(now)).sum()
    }

    /// Mean and maximum error of the instances' aggregates, relative to the actual load.
    fn errors(&self, now: ClockTime) -> (f64, f64) {
        let actual = self.actual_arrivals(now);
        let errors: Vec<f64> = self
            .instances
            .iter()
            .map(|instance| {
                (arrivals_of(&instance.table.local_aggregate(now)) / actual - 1.0).abs()
            })
            .collect();
        let mean = errors.iter().sum::<f64>() / errors.len() as f64;
        (mean, errors.iter().copied().fold(0.0, f64::max))
    }

    /// The running requests in the instances' aggregates, as a mean over the instances.
    fn running(&self, now: ClockTime) -> f64 {
        let running = |instance: &FakeInstance| {
            let aggregate = instance.table.local_aggregate(now);
            aggregate.services.get(&auction()).map_or(0.0, |load| load.running[&north()])
        };
        self.instances.iter().map(running).sum::<f64>() / self.instances.len() as f64
    }
}

impl FakeInstance {
    fn new(count: usize, rng: &mut StdRng) -> FakeInstance {
        let mut table = LoadTable::new(north());
        table.set_instances(count as u32);
        let next_report_at = rng.random_range(0..REPORT_INTERVAL_MS);
        FakeInstance { table, gauge: RateGauge::new(), ends: VecDeque::new(), next_report_at }
    }

    fn advance(&mut self, millis: u64, arrives: bool) {
        while self.ends.front().is_some_and(|end| *end <= millis) {
            self.ends.pop_front();
        }
        if arrives {
            self.gauge.record_event(at_ms(millis));
            self.ends.push_back(millis + WORK_MS);
        }
    }
}

// Guards against an aggregate that lacks the load of instances whose messages were lost, as a plain
// total would.
#[test]
fn estimates_arrivals_despite_lost_messages() {
    for (count, seed) in [(19, 1), (97, 2), (146, 3), (437, 4)] {
        let mut centre = FakeCentre::new(count, seed);
        centre.run(0, 2000, 60.0);
        let now = at_ms(2000);
        let (mean, largest) = centre.errors(now);
        println!("{count} instances, seed {seed}: mean error {mean:.3}, largest {largest:.3}");
        assert!(mean < 0.05, "{count} instances: mean error {mean}");
        assert!(largest < 0.25, "{count} instances: largest error {largest}");
        let reliable =
            centre.instances.iter().filter(|instance| instance.table.is_reliable(now)).count();
        assert_eq!(reliable, count);
    }
}

// Guards against a burst that stays hidden behind old reports while messages are lost.
#[test]
fn shows_burst_despite_lost_messages() {
    for (count, seed) in [(19, 5), (146, 6)] {
        let mut centre = FakeCentre::new(count, seed);
        centre.run(0, 2000, 60.0);
        let before = centre.running(at_ms(2000));
        centre.run(2000, 2500, 240.0);
        let after = centre.running(at_ms(2500));
        println!("{count} instances, seed {seed}: running {before:.0}, after 500 ms {after:.0}");
        let actual = 240.0 * WORK_MS as f64 / 1000.0 * count as f64;
        assert!((after / actual - 1.0).abs() < 0.1, "{count} instances: {after} for {actual}");
    }
}
