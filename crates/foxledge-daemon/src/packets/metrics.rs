//! Metrics of the packet path.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder, core::Collector, process_collector::ProcessCollector,
};

/// Labels of a value for a service in a data centre.
const LOAD_LABELS: [&str; 2] = ["service", "data_centre"];
const LATENCY_BUCKETS: [f64; 11] =
    [0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0];

/// All metrics of an instance of the packet path.
pub struct PacketMetrics {
    registry: Registry,
    /// Packets by decision.
    pub packets: IntCounterVec,
    /// Datagrams that aren't valid packets, by fault.
    pub malformed: IntCounterVec,
    /// Refused opening packets, by reason.
    pub refusals: IntCounterVec,
    /// Dropped packets, by reason.
    pub drops: IntCounterVec,
    /// Datagrams that the operating system didn't accept, by socket.
    pub send_errors: IntCounterVec,
    /// Time from a request to the first packet of its response, in seconds.
    pub latency: Histogram,
    /// Opening packets that callers retransmitted.
    pub retransmitted_openings: IntCounter,
    /// Opening packets that were unanswered after the usual response time.
    pub overdue_openings: IntCounter,
    /// Data packets that callers retransmitted.
    pub retransmitted_data: IntCounter,
    /// Tracked flows.
    pub flows: IntGauge,
    /// Observations of backend servers, by kind and observer.
    pub health_observations: IntCounterVec,
    /// Backend servers that get no new flows because of their health.
    pub ejected: IntGauge,
    /// Revision of the list.
    pub list_revision: IntGauge,
    /// Operators' version of the list.
    pub list_version: IntGauge,
    /// 1 while the store has an older version of the operators' list than is in force.
    pub config_retained: IntGauge,
    /// Age of the store's last confirmation; -1 before the first.
    pub list_age_ms: IntGauge,
    /// Known other instances.
    pub peers: IntGauge,
    /// 1 while this instance reads the store.
    pub is_reader: IntGauge,
    /// Invalid items of the store, by the type that their keys name.
    pub refused_items: IntCounterVec,
    /// Changes of backend servers' entries, by kind.
    pub backend_events: IntCounterVec,
    /// Begins and ends of evacuations of data centres, by kind.
    pub evacuation_events: IntCounterVec,
    /// Evacuated data centres.
    pub evacuated: IntGauge,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Reads of the store, by query and reason; a read of the whole list takes several calls.
    pub store_readings: IntCounterVec,
    /// Epoch of the store's history in its last response to this instance.
    pub store_epoch: IntGauge,
    /// Responses of the store that were older than the list.
    pub outdated_readings: IntCounter,
    /// Readings with pages of different revisions.
    pub uneven_readings: IntCounter,
    /// Transfers of rows from peers that were given up.
    pub abandoned_transfers: IntCounterVec,
    /// Messages of which some fragments didn't arrive.
    pub incomplete_messages: IntCounter,
    /// Messages that weren't sent because of their length.
    pub unsent_messages: IntCounter,
    /// Messages between instances, by direction.
    pub messages: IntCounterVec,
    /// Bytes of messages between instances, by direction.
    pub message_bytes: IntCounterVec,
    /// Running and waiting requests, by service and by the data centre that serves them.
    pub load_requests: GaugeFamily,
    /// Usable slots by service and data centre.
    pub load_slots: GaugeFamily,
    /// Percentage of the new flows here that is sent to another data centre.
    pub overflow_percent: GaugeFamily,
    /// 1 while a service is short of slots.
    pub shortage: GaugeFamily,
    /// Percentage of the opening packets of a priority that is admitted while its service is
    /// short of slots.
    pub admitted_percent: GaugeFamily,
    /// Opening packets refused for lack of capacity, by priority.
    pub shortage_refusals: IntCounterVec,
    /// Load reports sent to other instances.
    pub load_messages: IntCounter,
    /// Age of the newest load report of another instance, in milliseconds; -1 without one.
    pub load_view_age_ms: IntGauge,
    /// Log lines that were suppressed or lost.
    pub lines_suppressed: IntGauge,
    /// Restarts of parts, by part.
    pub part_restarts: IntCounterVec,
}

/// A gauge with labels whose set of label values changes over time.
pub struct GaugeFamily {
    gauge: GaugeVec,
    /// Label values that have a value at present.
    present_labels: Mutex<HashSet<Vec<String>>>,
}

impl GaugeFamily {
    /// Sets the values of all rows and removes the labels that aren't among them.
    ///
    /// Rows are replaced one by one: another thread renders the metrics at the same time and
    /// would miss rows if the gauge were cleared first.
    pub fn set_all(&self, rows: impl Iterator<Item = (Vec<String>, f64)>) {
        let mut present_labels = self.present_labels.lock().unwrap_or_else(PoisonError::into_inner);
        let mut present = HashSet::new();
        for (labels, value) in rows {
            self.gauge.with_label_values(&labels).set(value);
            present_labels.remove(&labels);
            present.insert(labels);
        }
        for removed in present_labels.drain() {
            // Fails only for a row that doesn't exist.
            let _ = self.gauge.remove_label_values(&removed);
        }
        *present_labels = present;
    }
}

impl Default for PacketMetrics {
    fn default() -> PacketMetrics {
        PacketMetrics::new()
    }
}

impl PacketMetrics {
    /// Creates the metrics with all values at zero.
    pub fn new() -> PacketMetrics {
        let registry = Registry::new();
        let r = &registry;
        let metrics = PacketMetrics {
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
            uneven_readings: counter(
                r,
                "uneven_readings_total",
                "Readings of the store with pages of different revisions",
            ),
            abandoned_transfers: counters(
                r,
                "transfers_abandoned_total",
                "Transfers of rows from peers that were given up",
                &["reason"],
            ),
            incomplete_messages: counter(
                r,
                "messages_incomplete_total",
                "Messages of which some fragments didn't arrive",
            ),
            unsent_messages: counter(
                r,
                "messages_too_long_total",
                "Messages that exceed what is sent in fragments",
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
        // This is the only process collector, so its names can't clash.
        r.register(Box::new(ProcessCollector::for_self())).expect("metric names are unique");
        metrics
    }

    /// Renders the metrics in the text format of Prometheus.
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
    register(registry, Histogram::with_opts(options).expect("the metric name is valid"))
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let options = Opts::new(format!("foxledge_{name}"), help);
    register(registry, IntCounterVec::new(options, labels).expect("the metric name is valid"))
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> GaugeFamily {
    let options = Opts::new(format!("foxledge_{name}"), help);
    let gauge =
        register(registry, GaugeVec::new(options, labels).expect("the metric name is valid"));
    GaugeFamily { gauge, present_labels: Mutex::default() }
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(format!("foxledge_{name}"), help);
    register(registry, counter.expect("the metric name is valid"))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(format!("foxledge_{name}"), help);
    register(registry, gauge.expect("the metric name is valid"))
}

fn register<T: Collector + Clone + 'static>(registry: &Registry, collector: T) -> T {
    // Fails only for a duplicate name, which would show at every start.
    registry.register(Box::new(collector.clone())).expect("metric names are unique");
    collector
}
