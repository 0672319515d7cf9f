//! Metrics of the request path, by the Prometheus conventions for names and units.

use std::{collections::HashMap, sync::Mutex};

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector, process_collector::ProcessCollector,
};

const ADMISSION_BUCKETS: [f64; 12] =
    [0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];
const ENGINE_BUCKETS: [f64; 8] = [0.000_005, 0.000_02, 0.000_1, 0.000_5, 0.002, 0.01, 0.05, 0.25];

/// All metrics of an instance of the request path.
pub struct MetricSet {
    registry: Registry,
    /// Datagrams, by socket and direction.
    pub datagrams: IntCounterVec,
    /// Datagrams that couldn't be sent, by socket.
    pub send_errors: IntCounterVec,
    /// Datagrams that reached the engine, by socket.
    pub packets_received: IntCounterVec,
    /// Refusals, by outcome.
    pub refusals: IntCounterVec,
    /// All other events counted by the engine, by event.
    pub engine_events: IntCounterVec,
    /// Time from the arrival of a request to its dispatch.
    pub admission: HistogramVec,
    /// Processing time of one batch of datagrams or one tick.
    pub flow_engine: Histogram,
    /// Revision of the list in force.
    pub list_revision: IntGauge,
    /// Instances of the data centre, by state.
    pub peers: IntGaugeVec,
    /// Bytes on control connections, by direction.
    pub control_bytes: IntCounterVec,
    /// Reads of the platform; a long poll counts as one.
    pub platform_reads: IntCounter,
    /// Requests, forwards and tickets that a planned stop waits for.
    pub unfinished: IntGauge,
    /// Restarts of parts, by part.
    pub part_restarts: IntCounterVec,
    /// Failed control calls to other processes, by method.
    pub call_failures: IntCounterVec,
    engine_totals: Mutex<HashMap<&'static str, u64>>,
}

impl Default for MetricSet {
    fn default() -> MetricSet {
        MetricSet::new()
    }
}

impl MetricSet {
    /// Creates the metrics with all values at zero.
    pub fn new() -> MetricSet {
        let registry = Registry::new();
        let metrics = MetricSet {
            datagrams: counters(
                "datagrams_total",
                "Datagrams by socket and direction",
                &["socket", "direction"],
            ),
            send_errors: counters(
                "send_errors_total",
                "Datagrams that couldn't be sent",
                &["socket"],
            ),
            packets_received: counters(
                "packets_received_total",
                "Datagrams that reached the engine, by socket",
                &["kind"],
            ),
            refusals: counters("refusals_total", "Refusals by outcome", &["outcome"]),
            engine_events: counters(
                "engine_events_total",
                "Other events at the engine, see docs/OPERATIONS.md",
                &["event"],
            ),
            admission: histograms(
                "admission_seconds",
                "Time from the arrival of a request to its dispatch",
                &["kind"],
                &ADMISSION_BUCKETS,
            ),
            flow_engine: histogram(
                "flow_engine_seconds",
                "Processing time of one batch of datagrams or one tick",
                &ENGINE_BUCKETS,
            ),
            list_revision: gauge("list_revision", "Revision of the rule list in force"),
            peers: gauges("peers", "Instances of the data centre by state", &["state"]),
            control_bytes: counters(
                "control_bytes_total",
                "Bytes on control connections",
                &["direction"],
            ),
            platform_reads: counter(
                "platform_reads_total",
                "Reads of the platform, a waiting watch as one",
            ),
            unfinished: gauge(
                "unfinished_requests",
                "What a planned stop waits for: requests, forwardings, and 1 while tickets are good",
            ),
            part_restarts: counters("part_restarts_total", "Restarts of parts", &["part"]),
            call_failures: counters(
                "call_failures_total",
                "Control calls to others that failed",
                &["method"],
            ),
            engine_totals: Mutex::new(HashMap::new()),
            registry,
        };
        metrics.register_all();
        metrics
    }

    /// Renders the metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric without a name, and all have one.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Updates the metrics from the totals of the engine; received packets and refusals have
    /// separate metrics.
    pub fn set_engine_totals(&self, totals: &[(&'static str, u64)]) {
        let Ok(mut last_totals) = self.engine_totals.lock() else { return };
        for (name, total) in totals {
            let last_total = last_totals.insert(name, *total).unwrap_or(0);
            // A restarted engine counts from 0 again.
            let increase = total.checked_sub(last_total).unwrap_or(*total);
            self.engine_counter(name).inc_by(increase);
        }
    }

    fn engine_counter(&self, name: &str) -> IntCounter {
        if let Some(kind) = name.strip_suffix("_received") {
            return self.packets_received.with_label_values(&[kind]);
        }
        if let Some(outcome) = name.strip_prefix("refused_") {
            return self.refusals.with_label_values(&[outcome]);
        }
        self.engine_events.with_label_values(&[name])
    }

    fn register_all(&self) {
        let collectors: Vec<Box<dyn Collector>> = vec![
            Box::new(self.datagrams.clone()),
            Box::new(self.send_errors.clone()),
            Box::new(self.packets_received.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.engine_events.clone()),
            Box::new(self.admission.clone()),
            Box::new(self.flow_engine.clone()),
            Box::new(self.list_revision.clone()),
            Box::new(self.peers.clone()),
            Box::new(self.control_bytes.clone()),
            Box::new(self.platform_reads.clone()),
            Box::new(self.unfinished.clone()),
            Box::new(self.part_restarts.clone()),
            Box::new(self.call_failures.clone()),
            Box::new(ProcessCollector::for_self()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("metric names are unique");
        }
    }
}

const VALID: &str = "metric names and labels are valid";

fn full_name(name: &str) -> String {
    format!("foxledge_{name}")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(full_name(name), help).expect(VALID)
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(full_name(name), help), labels).expect(VALID)
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(full_name(name), help).expect(VALID)
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(full_name(name), help), labels).expect(VALID)
}

fn histogram(name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let options = HistogramOpts::new(full_name(name), help).buckets(buckets.to_vec());
    Histogram::with_opts(options).expect(VALID)
}

fn histograms(name: &str, help: &str, labels: &[&str], buckets: &[f64]) -> HistogramVec {
    let options = HistogramOpts::new(full_name(name), help).buckets(buckets.to_vec());
    HistogramVec::new(options, labels).expect(VALID)
}
