//! Orders on a backend server's control port.

use serde::{Deserialize, Serialize};

use crate::report::{BackendStats, RunRecord};

/// `BackendOrder` is one order to a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum BackendOrder {
    /// Asks for the counts, with the record of every run when `runs` is set.
    Stats {
        /// Whether to list every run.
        #[serde(default)]
        runs: bool,
    },
    /// Asks how often a request ran.
    Ran {
        /// Flow of the request.
        flow: u64,
        /// Number of the request.
        request: u64,
    },
    /// Starts draining: says so in load reports, and sends feeds away after `go_away_ms`.
    Drain {
        /// Milliseconds until feeds are sent away and new work is refused.
        go_away_ms: u64,
    },
    /// Ends draining.
    Undrain,
    /// Chooses what load reports say.
    Lie {
        /// What they say.
        say: LoadSaying,
    },
    /// Makes load reports late.
    Lag {
        /// Their age in milliseconds.
        ms: u64,
    },
    /// Refuses all new work, or stops to.
    Shed {
        /// Whether to refuse.
        on: bool,
    },
    /// Multiplies the service time.
    Slow {
        /// The factor; 1 is as told at the start.
        factor: f64,
    },
    /// Is cold again.
    Cold {
        /// For so many milliseconds.
        ms: u64,
    },
    /// Drops every datagram in and out, or stops to.
    Mute {
        /// Whether to drop.
        on: bool,
    },
    /// Drops what belongs to requests and feeds opened before now.
    MuteOld,
    /// Drains, finishes what is open and exits.
    StopGracefully {
        /// Milliseconds after which it exits whatever is open.
        ms: u64,
    },
}

/// `LoadSaying` is what load reports say of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadSaying {
    /// What is true.
    #[default]
    Truth,
    /// Always healthy and idle.
    HealthyIdle,
    /// Always unhealthy.
    Unhealthy,
}

/// `BackendReply` is the answer to an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendReply {
    /// Carried out.
    Done,
    /// The counts.
    Stats(Box<BackendStats>),
    /// How often the request ran; `None` when it didn't.
    Ran(Option<RunRecord>),
}
