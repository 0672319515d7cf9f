//! Kinds of traffic of a flow.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::errors::{Error, unknown_word};

/// The kind of traffic that a rule can match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TrafficKind {
    /// A long-lived connection: a price feed or a shift board.
    Feed,
    /// A short request: a bid or a claim.
    Bid,
    /// A large request that consists of many parts.
    Upload,
}

impl TrafficKind {
    /// All kinds of traffic.
    pub const ALL: [TrafficKind; 3] = [TrafficKind::Feed, TrafficKind::Bid, TrafficKind::Upload];

    /// Returns the name used in rules, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            TrafficKind::Feed => "feed",
            TrafficKind::Bid => "bid",
            TrafficKind::Upload => "upload",
        }
    }
}

impl fmt::Display for TrafficKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for TrafficKind {
    type Err = Error;

    fn from_str(word: &str) -> Result<TrafficKind, Error> {
        TrafficKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == word)
            .ok_or_else(|| unknown_word("kind of traffic", word))
    }
}
