//! Signs of health as they travel: 32 bits each.
//!
//! | bits | meaning |
//! |---|---|
//! | 31 to 16 | identity |
//! | 15 to 13 | kind |
//! | 12 to 0 | age in milliseconds |

use foxledge_core::time::ClockTime;
use foxledge_flows::ObservationKind;

use crate::{backend_evidence::ObservationRecord, dissemination::age_ms};

const ID_SHIFT: u32 = 16;
const KIND_SHIFT: u32 = 13;
const KIND_MASK: u32 = 0b111;
/// Ages beyond it are told as this: no sign is told for so long.
const OLDEST_MS: u32 = (1 << KIND_SHIFT) - 1;

/// A sign as it is told now.
pub(crate) fn pack_record(now: ClockTime, sign: &ObservationRecord) -> u32 {
    let kind = match sign.kind {
        ObservationKind::Suspect => 1,
        ObservationKind::Ejected => 2,
        ObservationKind::OpeningUnanswered => 3,
        ObservationKind::DataUnanswered => 4,
        ObservationKind::Alive => 5,
    };
    let age = age_ms(now, sign.observed_at).min(OLDEST_MS);
    u32::from(sign.id) << ID_SHIFT | kind << KIND_SHIFT | age
}

/// The sign that was told; none for kinds of later versions.
pub(crate) fn unpack_record(now: ClockTime, word: u32) -> Option<ObservationRecord> {
    let kind = match word >> KIND_SHIFT & KIND_MASK {
        1 => ObservationKind::Suspect,
        2 => ObservationKind::Ejected,
        3 => ObservationKind::OpeningUnanswered,
        4 => ObservationKind::DataUnanswered,
        5 => ObservationKind::Alive,
        _ => return None,
    };
    let at = now.before_millis(u64::from(word & OLDEST_MS));
    Some(ObservationRecord { id: (word >> ID_SHIFT) as u16, kind, observed_at: at })
}
