//! Encoding of health observations in messages, 32 bits each.
//!
//! | bits | meaning |
//! |---|---|
//! | 31 to 16 | id |
//! | 15 to 13 | kind |
//! | 12 to 0 | age in milliseconds |

use foxledge_core::time::ClockTime;
use foxledge_flows::ObservationKind;

use crate::{backend_evidence::ObservationRecord, dissemination::age_ms};

const ID_SHIFT: u32 = 16;
const KIND_SHIFT: u32 = 13;
const KIND_MASK: u32 = 0b111;
/// Maximum encoded age in milliseconds; observations expire sooner.
const MAX_AGE_MS: u32 = (1 << KIND_SHIFT) - 1;

/// Encodes an observation with its current age.
pub(crate) fn pack_record(now: ClockTime, record: &ObservationRecord) -> u32 {
    let kind = match record.kind {
        ObservationKind::Suspect => 1,
        ObservationKind::Ejected => 2,
        ObservationKind::OpeningUnanswered => 3,
        ObservationKind::DataUnanswered => 4,
        ObservationKind::Alive => 5,
    };
    let age = age_ms(now, record.observed_at).min(MAX_AGE_MS);
    u32::from(record.id) << ID_SHIFT | kind << KIND_SHIFT | age
}

/// Decodes an observation; none for kinds that a later version has added.
pub(crate) fn unpack_record(now: ClockTime, bits: u32) -> Option<ObservationRecord> {
    let kind = match bits >> KIND_SHIFT & KIND_MASK {
        1 => ObservationKind::Suspect,
        2 => ObservationKind::Ejected,
        3 => ObservationKind::OpeningUnanswered,
        4 => ObservationKind::DataUnanswered,
        5 => ObservationKind::Alive,
        _ => return None,
    };
    let observed_at = now.before_millis(u64::from(bits & MAX_AGE_MS));
    Some(ObservationRecord { id: (bits >> ID_SHIFT) as u16, kind, observed_at })
}
