//! Metrics of the packets' tree.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder, core::Collector, process_collector::ProcessCollector,
};

/// Labels of what is known of a service in a data centre.
const LOAD_LABELS: [&str; 2] = ["service", "data_centre"];
const LATENCY_BUCKETS: [f64; 11] =
    [0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0];

/// `PacketMetrics` is every metric of an instance that routes packets.
pub struct PacketMetrics {
    registry: Registry,
    /// Packets by what was decided.
    pub packets: IntCounterVec,
    /// Datagrams of callers that weren't packets, by fault.
    pub malformed: IntCounterVec,
    /// Opening packets by why they were refused.
    pub refusals: IntCounterVec,
    /// Packets that were dropped, by reason.
    pub drops: IntCounterVec,
    /// Datagrams that the system didn't take, by socket.
    pub send_errors: IntCounterVec,
    /// Time from a request to the first sign of its answer.
    pub latency: Histogram,
    /// Opening packets that callers sent again.
    pub retransmitted_openings: IntCounter,
    /// Opening packets that weren't answered as fast as others are.
    pub overdue_openings: IntCounter,
    /// Data that callers sent again.
    pub retransmitted_data: IntCounter,
    /// Flows that are tracked.
    pub flows: IntGauge,
    /// Observations of backend servers by kind and by who observed.
    pub health_observations: IntCounterVec,
    /// Backend servers that get no new flows for want of health.
    pub ejected: IntGauge,
    /// Revision of the list.
    pub list_revision: IntGauge,
    /// Operators' version of the list.
    pub list_version: IntGauge,
    /// 1 while the store has an older version of the operators' list than is in force.
    pub config_retained: IntGauge,
    /// Age of the store's last confirmation; -1 before the first.
    pub list_age_ms: IntGauge,
    /// Other instances that are known.
    pub peers: IntGauge,
    /// 1 while this instance reads the store.
    pub is_reader: IntGauge,
    /// Items of the store that can't be understood, by what they should be.
    pub refused_items: IntCounterVec,
    /// Changes of what is believed of backend servers' entries, by kind.
    pub backend_events: IntCounterVec,
    /// Changes of what operators want of data centres.
    pub evacuation_events: IntCounterVec,
    /// Data centres that are evacuated.
    pub evacuated: IntGauge,
    /// Calls of the store by outcome.
    pub store_calls: IntCounterVec,
    /// Readings of the store by what was asked and why; a whole one takes several calls.
    pub store_readings: IntCounterVec,
    /// Epoch of the store's history in its last answer to this instance.
    pub store_epoch: IntGauge,
    /// Answers of the store that were older than the list.
    pub outdated_readings: IntCounter,
    /// Messages between instances by direction.
    pub messages: IntCounterVec,
    /// Bytes of them by direction.
    pub message_bytes: IntCounterVec,
    /// Requests that run or wait, by service and data centre that serves them.
    pub load_requests: GaugeFamily,
    /// Usable slots by service and data centre.
    pub load_slots: GaugeFamily,
    /// Hundredths of the new flows here that go to another data centre.
    pub overflow_percent: GaugeFamily,
    /// 1 while a service is short of slots.
    pub shortage: GaugeFamily,
    /// Hundredths of the openings of a priority that are admitted, while its service is short.
    pub admitted_percent: GaugeFamily,
    /// Openings refused for want of room, by priority.
    pub shortage_refusals: IntCounterVec,
    /// Reports of load sent to other instances.
    pub load_messages: IntCounter,
    /// Age of the newest load told by another instance; -1 while none is known.
    pub load_view_age_ms: IntGauge,
    /// Log lines that weren't written.
    pub lines_suppressed: IntGauge,
    /// Restarts of parts.
    pub part_restarts: IntCounterVec,
}

/// `GaugeFamily` is a gauge by labels whose values come and go.
pub struct GaugeFamily {
    gauge: GaugeVec,
    /// Labels that have a value.
    present_labels: Mutex<HashSet<Vec<String>>>,
}

impl GaugeFamily {
    /// Sets all values; labels that aren't among them have none any more.
    ///
    /// Each row is set in its place: the text is rendered by another thread, which would find a
    /// gauge that is emptied first without its rows.
    pub fn set_all(&self, rows: impl Iterator<Item = (Vec<String>, f64)>) {
        let mut known = self.present_labels.lock().unwrap_or_else(PoisonError::into_inner);
        let mut present = HashSet::new();
        for (labels, value) in rows {
            self.gauge.with_label_values(&labels).set(value);
            known.remove(&labels);
            present.insert(labels);
        }
        for gone in known.drain() {
            // A row that is missing needs no removal.
            let _ = self.gauge.remove_label_values(&gone);
        }
        *known = present;
    }
}

impl Default for PacketMetrics {
    fn default() -> PacketMetrics {
        PacketMetrics::new()
    }
}

impl PacketMetrics {
    /// Makes the metrics, all zero.
    pub fn new() -> PacketMetrics {
        let registry = Registry::new();
        let r = &registry;
        let set = PacketMetrics {
            packets: counters(r, "packets_total", "Packets by decision", &["decision"]),
            malformed: counters(r, "malformed_total", "Datagrams that are no packets", &["fault"]),
            refusals: counters(r, "refusals_total", "Refused opening packets", &["reason"]),
            drops: counters(r, "drops_total", "Dropped packets", &["reason"]),
            send_errors: counters(r, "send_errors_total", "Datagrams not sent", &["socket"]),
            latency: latency(r),
            retransmitted_openings: counter(r, "open_copies_total", "Copies of opening packets"),
            overdue_openings: counter(r, "open_overdue_total", "Openings unanswered in time"),
            retransmitted_data: counter(r, "data_resent_total", "Data that callers sent again"),
            flows: gauge(r, "flows", "Flows that are tracked"),
            health_observations: counters(
                r,
                "health_notes_total",
                "Observations of backend servers",
                &["kind", "observer"],
            ),
            ejected: gauge(r, "backends_ejected", "Backend servers without new flows"),
            list_revision: gauge(r, "list_revision", "Revision of the list"),
            list_version: gauge(r, "list_version", "Operators' version of the list"),
            config_retained: gauge(r, "config_held", "1 while the store has an older version"),
            list_age_ms: gauge(r, "list_age_milliseconds", "Age of the last confirmation"),
            peers: gauge(r, "peers", "Other instances that are known"),
            is_reader: gauge(r, "is_reader", "1 while this instance reads the store"),
            refused_items: counters(
                r,
                "refused_items_total",
                "Items of the store not understood",
                &["what"],
            ),
            backend_events: counters(r, "backend_news_total", "Changes of entries", &["kind"]),
            evacuation_events: counters(
                r,
                "evacuations_total",
                "Data centres by change",
                &["kind"],
            ),
            evacuated: gauge(r, "evacuated_centres", "Data centres that are evacuated"),
            store_calls: counters(r, "store_calls_total", "Calls of the store", &["outcome"]),
            store_readings: counters(
                r,
                "store_readings_total",
                "Readings of the store",
                &["order", "reason"],
            ),
            store_epoch: gauge(r, "store_epoch", "Epoch of the store's history"),
            outdated_readings: counter(
                r,
                "readings_passed_over_total",
                "Answers of the store that were older than the list",
            ),
            messages: counters(r, "messages_total", "Messages of instances", &["direction"]),
            message_bytes: counters(r, "message_bytes_total", "Bytes of them", &["direction"]),
            load_requests: gauges(r, "load_requests", "Requests under way", &LOAD_LABELS),
            load_slots: gauges(r, "load_slots", "Usable slots", &LOAD_LABELS),
            overflow_percent: gauges(r, "overflow_percent", "New flows sent there", &LOAD_LABELS),
            shortage: gauges(r, "shortage", "1 while a service is short of slots", &["service"]),
            admitted_percent: gauges(
                r,
                "admitted_percent",
                "Openings that are admitted",
                &["service", "priority"],
            ),
            shortage_refusals: counters(
                r,
                "shortage_refusals_total",
                "Openings refused for want of room",
                &["priority"],
            ),
            load_messages: counter(r, "load_messages_total", "Reports of load sent"),
            load_view_age_ms: gauge(r, "load_view_age_milliseconds", "Age of the load known"),
            lines_suppressed: gauge(r, "log_lines_suppressed", "Lines not written"),
            part_restarts: counters(r, "part_restarts_total", "Restarts of parts", &["part"]),
            registry: registry.clone(),
        };
        // The first collector of the process's own names can't clash.
        r.register(Box::new(ProcessCollector::for_self())).expect("names differ");
        set
    }

    /// The text that `/metrics` answers with.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric without a name, and all have one.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn latency(registry: &Registry) -> Histogram {
    let options = HistogramOpts::new("foxledge_answer_seconds", "From a request to its answer")
        .buckets(LATENCY_BUCKETS.to_vec());
    register(registry, Histogram::with_opts(options).expect("the name is good"))
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let options = Opts::new(format!("foxledge_{name}"), help);
    register(registry, IntCounterVec::new(options, labels).expect("the name is good"))
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> GaugeFamily {
    let options = Opts::new(format!("foxledge_{name}"), help);
    let gauge = register(registry, GaugeVec::new(options, labels).expect("the name is good"));
    GaugeFamily { gauge, present_labels: Mutex::default() }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(format!("foxledge_{name}"), help);
    register(registry, counter.expect("the name is good"))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(format!("foxledge_{name}"), help);
    register(registry, gauge.expect("the name is good"))
}

fn register<T: Collector + Clone + 'static>(registry: &Registry, collector: T) -> T {
    // Fails only when a name stands twice, which every start would show.
    registry.register(Box::new(collector.clone())).expect("names differ");
    collector
}
