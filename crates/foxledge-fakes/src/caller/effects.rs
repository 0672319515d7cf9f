//! What a flow wants done, and what it saw.

use foxledge_core::time::ClockTime;
use foxledge_wire::{
    encode_packet,
    flow::{Packet, RefusalReason, RunOutcome},
};

use crate::report::RequestId;

/// `CallerEffect` is one effect of a flow's decision.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerEffect {
    /// Send one datagram to the fabric.
    Send(Vec<u8>),
    /// Count what was seen.
    Note(FlowNote),
}

impl CallerEffect {
    /// Sends a packet.
    pub fn send(packet: &Packet) -> CallerEffect {
        CallerEffect::Send(encode_packet(packet))
    }
}

/// `FlowNote` is something to count.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowNote {
    /// The whole, right answer came for work that arrived at `born`.
    Served {
        /// The request.
        id: RequestId,
        /// When the work arrived.
        born: ClockTime,
    },
    /// A request or ticket was refused.
    Refused {
        /// The request; `None` when only a ticket was refused.
        id: Option<RequestId>,
        /// Whether it ran.
        outcome: RunOutcome,
        /// Why.
        reason: RefusalReason,
    },
    /// A refusal came for a request that had ended.
    LateRefusal {
        /// The request.
        id: RequestId,
        /// Whether it ran.
        outcome: RunOutcome,
    },
    /// Refused work is asked for again under a new number.
    AskedAgain,
    /// Work ended refused as not run.
    GaveUp,
    /// Work ended unknown.
    EndedUnknown,
    /// Work ended without a final answer.
    TimedOut {
        /// The request; `None` when none was sent.
        id: Option<RequestId>,
    },
    /// A datagram was sent again.
    Resent,
    /// A ticket was asked for.
    TicketAsked,
    /// A ticket came, by a grant or with an answer.
    TicketGot,
    /// An answer's content belongs to another request.
    Crossed,
    /// An answer came from another service.
    WrongService,
    /// An answer came after the end.
    Late,
    /// A feed was opened for the first time.
    FeedOpened,
    /// A feed was opened again.
    FeedReopened,
    /// The next item came, so long after the one before.
    FeedItem {
        /// Milliseconds since the item before.
        silence_ms: u64,
    },
    /// The feed had no next item for too long.
    FeedBroken,
}
