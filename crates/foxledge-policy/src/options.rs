//! The settings of a scheduler.

use std::time::Duration;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};

/// The settings of a scheduler. The defaults are for targets of two slots.
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
    /// Creates the default settings.
    pub fn new() -> SchedulerOptions {
        SchedulerOptions::default()
    }

    /// Returns when the state of an accepted work item is queried next.
    pub(crate) fn next_check_at(&self, now: ClockTime, kind: TrafficKind) -> ClockTime {
        let interval = if kind == TrafficKind::Feed {
            self.feed_check_interval
        } else {
            self.request_check_interval
        };
        if interval == Duration::MAX { ClockTime::MAX } else { now.after(interval) }
    }

    /// Returns whether the state of accepted requests is queried.
    pub(crate) fn checks_requests(&self) -> bool {
        self.request_check_interval != Duration::MAX
    }

    setters! {
        /// Sets the maximum of queued requests, and of queued feeds.
        queue_limit: u32,
        /// Sets the time after which a dispatch without an acknowledgement is retransmitted. It
        /// must be shorter than the time in which a process can be replaced at its address.
        ack_timeout: Duration,
        /// Sets the number of unanswered retransmissions after which a dispatch counts as lost.
        max_retransmissions: u32,
        /// Sets the interval at which the state of an accepted request is queried by
        /// [`Check`](crate::SchedulerEffect::Check); [`Duration::MAX`], the default, means never.
        /// The caller has to keep the opening packet of accepted requests for this, as they may
        /// then be dispatched to another target.
        request_check_interval: Duration,
        /// Sets the interval at which the state of an open feed is queried in the same way.
        feed_check_interval: Duration,
        /// Sets the time after the last response of a target within which a dispatch may be
        /// retransmitted. It must be shorter than the time for which targets remember dispatches
        /// (30 s); otherwise a retransmission runs as new work.
        resend_window: Duration,
        /// Sets the minimum age at which the slot of a request is released if its target reports
        /// fewer busy slots than this scheduler counts.
        presumed_end_age: Duration,
        /// Sets the time after the caller's deadline at which the lease of a slot expires.
        lease_grace: Duration,
        /// Sets the time for which a slot stays occupied after its dispatch was lost.
        lost_slot_hold: Duration,
        /// Sets the maximum number of dispatches of one work item.
        max_attempts: u32,
        /// Sets the number of retries that each first dispatch allows.
        retry_ratio: f64,
        /// Sets the maximum of retries in the budget.
        retry_burst: f64,
        /// Sets the interval between probes of a target.
        probe_interval: Duration,
        /// Sets the time after which a load report expires.
        report_ttl: Duration,
        /// Sets the number of consecutive losses after which a target is ejected.
        ejection_threshold: u32,
        /// Sets the duration of a first ejection, which doubles with each further one.
        base_ejection_time: Duration,
        /// Sets the duration of the slow start of a new or readmitted target.
        slow_start: Duration,
        /// Sets the minimum backoff after a shed, which doubles with each further one. Zero
        /// means no backoff.
        shed_backoff: Duration,
        /// Sets the run time ratio from which a target is slow and gets less work.
        slow_run_time_ratio: f64,
    }
}
