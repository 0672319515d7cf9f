//! What the daemons spend, read from their own metrics.

use std::{fs, time::Instant};

use foxledge_fakes::harness::{TestFleet, actions::sum_metric};
use serde::Serialize;

/// Clock ticks of `/proc` a second, on every Linux that we know.
const TICKS_PER_SECOND: f64 = 100.0;

/// `UsageReading` is the running totals of one instance.
#[derive(Clone, Debug)]
struct UsageReading {
    instance: usize,
    cpu_seconds: f64,
    control_bytes: f64,
    platform_reads: f64,
    packets: f64,
    opened: f64,
}

/// `FleetReading` is the totals of every instance that answers, at one moment.
#[derive(Clone, Debug)]
pub struct FleetReading {
    taken: Instant,
    readings: Vec<UsageReading>,
}

/// `DaemonUsage` is what one daemon spent on average, and the highest of them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DaemonUsage {
    /// Daemons that were read before and after.
    pub daemons: usize,
    /// Seconds between the readings.
    pub seconds: f64,
    /// Processor time, percent of one core: mean.
    pub cpu_percent: f64,
    /// The same, highest.
    pub cpu_percent_max: f64,
    /// Bytes a second on control connections, both directions: mean.
    pub control_bytes_per_second: f64,
    /// The same, highest.
    pub control_bytes_per_second_max: f64,
    /// Reads of the platform a second over all daemons.
    pub platform_reads_per_second: f64,
    /// Datagrams a second on data and peer sockets over all daemons.
    pub packets_per_second: f64,
    /// Processor microseconds for each datagram received, everything included.
    pub cpu_micros_per_packet: f64,
    /// Processor microseconds for each request opened, everything included.
    pub cpu_micros_per_request: f64,
    /// Resident bytes, highest.
    pub resident_bytes_max: f64,
}

/// Reads every instance that answers.
pub fn read_fleet(fleet: &TestFleet) -> FleetReading {
    let readings = fleet.instances.iter().enumerate().filter_map(|(index, instance)| {
        let text = instance.metrics().ok()?;
        Some(UsageReading {
            instance: index,
            cpu_seconds: cpu_seconds(instance.process.id()),
            control_bytes: sum_metric(&text, "foxledge_control_bytes_total", ""),
            platform_reads: sum_metric(&text, "foxledge_platform_reads_total", ""),
            packets: sum_metric(&text, "foxledge_packets_received_total", ""),
            opened: sum_metric(&text, "foxledge_engine_events_total", "requests_opened"),
        })
    });
    FleetReading { taken: Instant::now(), readings: readings.collect() }
}

/// Processor time of a process so far; the metric of it counts whole seconds only.
fn cpu_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The name in parentheses may hold blanks; user and system time are the
    // 12th and 13th fields after it (proc(5)).
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks = after_name.split_whitespace().skip(11).take(2);
    ticks.filter_map(|field| field.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

/// Highest resident set of the instances that answer.
pub fn highest_resident(fleet: &TestFleet) -> f64 {
    let resident = |text: String| sum_metric(&text, "process_resident_memory_bytes", "");
    fleet.instances.iter().filter_map(|i| i.metrics().ok()).map(resident).fold(0.0, f64::max)
}

impl FleetReading {
    /// What was spent since an earlier reading.
    pub fn since(&self, earlier: &FleetReading, resident_bytes_max: f64) -> DaemonUsage {
        let seconds = self.taken.duration_since(earlier.taken).as_secs_f64();
        let pairs: Vec<_> = self
            .readings
            .iter()
            .filter_map(|now| {
                let then = earlier.readings.iter().find(|then| then.instance == now.instance)?;
                Some((then, now))
            })
            .collect();
        let grown = |value: fn(&UsageReading) -> f64| -> Vec<f64> {
            pairs.iter().map(|(then, now)| value(now) - value(then)).collect()
        };
        let daemons = pairs.len();
        let cpu = grown(|reading| reading.cpu_seconds);
        let control = grown(|reading| reading.control_bytes);
        let packets: f64 = grown(|reading| reading.packets).iter().sum();
        let opened: f64 = grown(|reading| reading.opened).iter().sum();
        let cpu_sum: f64 = cpu.iter().sum();
        DaemonUsage {
            daemons,
            seconds,
            cpu_percent: 100.0 * mean(&cpu) / seconds,
            cpu_percent_max: 100.0 * highest(&cpu) / seconds,
            control_bytes_per_second: mean(&control) / seconds,
            control_bytes_per_second_max: highest(&control) / seconds,
            platform_reads_per_second: grown(|r| r.platform_reads).iter().sum::<f64>() / seconds,
            packets_per_second: packets / seconds,
            cpu_micros_per_packet: 1e6 * cpu_sum / packets.max(1.0),
            cpu_micros_per_request: 1e6 * cpu_sum / opened.max(1.0),
            resident_bytes_max,
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn highest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
