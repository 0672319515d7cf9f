//! Settings of a desk.

use std::time::Duration;

use foxledge_core::{time::ClockTime, traffic::TrafficKind};

/// `DeskOptions` are the settings of a desk, with defaults for targets of two slots.
#[derive(Clone, Debug, PartialEq)]
pub struct DeskOptions {
    pub(crate) queue_limit: u32,
    pub(crate) ack_wait: Duration,
    pub(crate) resends: u32,
    pub(crate) run_check: Duration,
    pub(crate) feed_check: Duration,
    pub(crate) resend_window: Duration,
    pub(crate) presume_after: Duration,
    pub(crate) run_grace: Duration,
    pub(crate) abandoned_hold: Duration,
    pub(crate) tries: u32,
    pub(crate) retry_share: f64,
    pub(crate) retry_burst: f64,
    pub(crate) probe_period: Duration,
    pub(crate) report_life: Duration,
    pub(crate) eject_losses: u32,
    pub(crate) eject_time: Duration,
    pub(crate) slow_start: Duration,
    pub(crate) shed_hold: Duration,
    pub(crate) slow_pace: f64,
}

impl Default for DeskOptions {
    fn default() -> DeskOptions {
        DeskOptions {
            queue_limit: 400,
            ack_wait: Duration::from_millis(100),
            resends: 3,
            run_check: Duration::MAX,
            feed_check: Duration::MAX,
            resend_window: Duration::from_secs(25),
            presume_after: Duration::from_secs(2),
            run_grace: Duration::from_millis(500),
            abandoned_hold: Duration::from_secs(2),
            tries: 3,
            retry_share: 0.1,
            retry_burst: 10.0,
            probe_period: Duration::from_secs(1),
            report_life: Duration::from_secs(2),
            eject_losses: 2,
            eject_time: Duration::from_secs(2),
            slow_start: Duration::from_secs(3),
            shed_hold: Duration::from_millis(20),
            slow_pace: 2.5,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty),* $(,)?) => {
        $(
            $(#[$doc])*
            pub fn $name(mut self, $name: $kind) -> DeskOptions {
                self.$name = $name;
                self
            }
        )*
    };
}

impl DeskOptions {
    /// Makes the defaults.
    pub fn new() -> DeskOptions {
        DeskOptions::default()
    }

    /// When accepted work is asked about next.
    pub(crate) fn next_check(&self, now: ClockTime, kind: TrafficKind) -> ClockTime {
        let period = if kind == TrafficKind::Feed { self.feed_check } else { self.run_check };
        if period == Duration::MAX { ClockTime::MAX } else { now.after(period) }
    }

    /// True when accepted work is asked about.
    pub(crate) fn checks_runs(&self) -> bool {
        self.run_check != Duration::MAX
    }

    setters! {
        /// Most requests, and most feeds, that wait.
        queue_limit: u32,
        /// How long a target may take to say that it has a dispatch. It must be shorter than
        /// the replacement of a process under its address takes.
        ack_wait: Duration,
        /// How often a silent dispatch is sent again before its target counts as silent.
        resends: u32,
        /// How often an accepted request is asked about by [`Check`](crate::DeskEffect::Check);
        /// [`Duration::MAX`], the default, is never. It needs a caller that keeps the opening
        /// packet of accepted requests, which may then be placed elsewhere.
        run_check: Duration,
        /// How often an open feed is asked about, in the same way.
        feed_check: Duration,
        /// How long after a target's last sign a dispatch may be sent again. It must be
        /// shorter than targets remember dispatches (30 s), or a copy runs as new work.
        resend_window: Duration,
        /// Age from which a request's slot is given back when its target reports fewer
        /// slots in use than this desk counts.
        presume_after: Duration,
        /// How long after the caller's deadline a slot is still leased.
        run_grace: Duration,
        /// How long a slot stays taken by work whose target fell silent.
        abandoned_hold: Duration,
        /// Most targets that one work is sent to.
        tries: u32,
        /// Retries allowed per dispatch, over time.
        retry_share: f64,
        /// Retries that may be saved up.
        retry_burst: f64,
        /// How often each target is probed.
        probe_period: Duration,
        /// How long a load report counts.
        report_life: Duration,
        /// Losses in a row after which a target is ejected.
        eject_losses: u32,
        /// How long a first ejection lasts; it doubles with each further one.
        eject_time: Duration,
        /// How long a new target gets less.
        slow_start: Duration,
        /// How long a target that shed is left alone at least; it doubles while it
        /// sheds. With zero it isn't left alone at all.
        shed_hold: Duration,
        /// A target this many times slower than the median gets less.
        slow_pace: f64,
    }
}
