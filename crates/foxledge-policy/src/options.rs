//! Settings of a desk.

use std::time::Duration;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};

/// `SchedulerOptions` are the settings of a desk, with defaults for targets of two slots.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerOptions {
    pub(crate) queue_limit: u32,
    pub(crate) ack_timeout: Duration,
    pub(crate) max_retransmissions: u32,
    pub(crate) request_check_interval: Duration,
    pub(crate) feed_check_interval: Duration,
    pub(crate) resend_window: Duration,
    pub(crate) presumed_end_age: Duration,
    pub(crate) lease_grace: Duration,
    pub(crate) lost_slot_hold: Duration,
    pub(crate) max_attempts: u32,
    pub(crate) retry_ratio: f64,
    pub(crate) retry_burst: f64,
    pub(crate) probe_interval: Duration,
    pub(crate) report_ttl: Duration,
    pub(crate) ejection_threshold: u32,
    pub(crate) base_ejection_time: Duration,
    pub(crate) slow_start: Duration,
    pub(crate) shed_backoff: Duration,
    pub(crate) slow_run_time_ratio: f64,
}

impl Default for SchedulerOptions {
    fn default() -> SchedulerOptions {
        SchedulerOptions {
            queue_limit: 400,
            ack_timeout: Duration::from_millis(100),
            max_retransmissions: 3,
            request_check_interval: Duration::MAX,
            feed_check_interval: Duration::MAX,
            resend_window: Duration::from_secs(25),
            presumed_end_age: Duration::from_secs(2),
            lease_grace: Duration::from_millis(500),
            lost_slot_hold: Duration::from_secs(2),
            max_attempts: 3,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            probe_interval: Duration::from_secs(1),
            report_ttl: Duration::from_secs(2),
            ejection_threshold: 2,
            base_ejection_time: Duration::from_secs(2),
            slow_start: Duration::from_secs(3),
            shed_backoff: Duration::from_millis(20),
            slow_run_time_ratio: 2.5,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty),* $(,)?) => {
        $(
            $(#[$doc])*
            pub fn $name(mut self, $name: $kind) -> SchedulerOptions {
                self.$name = $name;
                self
            }
        )*
    };
}

impl SchedulerOptions {
    /// Makes the defaults.
    pub fn new() -> SchedulerOptions {
        SchedulerOptions::default()
    }

    /// When accepted work is asked about next.
    pub(crate) fn next_check(&self, now: ClockTime, kind: TrafficKind) -> ClockTime {
        let period = if kind == TrafficKind::Feed {
            self.feed_check_interval
        } else {
            self.request_check_interval
        };
        if period == Duration::MAX { ClockTime::MAX } else { now.after(period) }
    }

    /// True when accepted work is asked about.
    pub(crate) fn checks_runs(&self) -> bool {
        self.request_check_interval != Duration::MAX
    }

    setters! {
        /// Most requests, and most feeds, that wait.
        queue_limit: u32,
        /// How long a target may take to say that it has a dispatch. It must be shorter than
        /// the replacement of a process under its address takes.
        ack_timeout: Duration,
        /// How often a silent dispatch is sent again before its target counts as silent.
        max_retransmissions: u32,
        /// How often an accepted request is asked about by [`Check`](crate::SchedulerEffect::Check);
        /// [`Duration::MAX`], the default, is never. It needs a caller that keeps the opening
        /// packet of accepted requests, which may then be placed elsewhere.
        request_check_interval: Duration,
        /// How often an open feed is asked about, in the same way.
        feed_check_interval: Duration,
        /// How long after a target's last sign a dispatch may be sent again. It must be
        /// shorter than targets remember dispatches (30 s), or a copy runs as new work.
        resend_window: Duration,
        /// Age from which a request's slot is given back when its target reports fewer
        /// slots in use than this desk counts.
        presumed_end_age: Duration,
        /// How long after the caller's deadline a slot is still leased.
        lease_grace: Duration,
        /// How long a slot stays taken by work whose target fell silent.
        lost_slot_hold: Duration,
        /// Most targets that one work is sent to.
        max_attempts: u32,
        /// Retries allowed per dispatch, over time.
        retry_ratio: f64,
        /// Retries that may be saved up.
        retry_burst: f64,
        /// How often each target is probed.
        probe_interval: Duration,
        /// How long a load report counts.
        report_ttl: Duration,
        /// Losses in a row after which a target is ejected.
        ejection_threshold: u32,
        /// How long a first ejection lasts; it doubles with each further one.
        base_ejection_time: Duration,
        /// How long a new target gets less.
        slow_start: Duration,
        /// How long a target that shed is left alone at least; it doubles while it
        /// sheds. With zero it isn't left alone at all.
        shed_backoff: Duration,
        /// A target this many times slower than the median gets less.
        slow_run_time_ratio: f64,
    }
}
