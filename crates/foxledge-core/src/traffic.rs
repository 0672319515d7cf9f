//! What kind of traffic a flow carries.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::errors::{Error, unknown_word};

/// `TrafficKind` is the kind of traffic that a rule can match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TrafficKind {
    /// A long-lived connection: price feed or shift board.
    Feed,
    /// A short request: a bid or a claim.
    Bid,
    /// A large request of many parts.
    Upload,
}

impl TrafficKind {
    /// Every kind.
    pub const ALL: [TrafficKind; 3] = [TrafficKind::Feed, TrafficKind::Bid, TrafficKind::Upload];

    /// The word used in rules, logs and metrics.
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
