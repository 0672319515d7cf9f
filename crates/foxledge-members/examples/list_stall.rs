//! Prints one JSON line with the time for which a store blocks its caller while lists of one size
//! arrive.
//!
//! `cargo run --release -p foxledge-members --example list_stall targets 38000 16384`
//!
//! The arguments are those of foxledge-rules' `list_growth`. Apart from the engine's share, the
//! store's work at a change is all that is done there: parsing, checks, the audit entry and the
//! snapshot.

#[path = "../../foxledge-rules/examples/list_growth/texts.rs"]
mod texts;

use std::time::{Duration, Instant};

use foxledge_core::{hash::digest_of, time::ClockTime};
use foxledge_members::{ListEffect, ListOptions, ListSnapshot, ListSource, ListStore};
use foxledge_wire::control::ListPart;

use texts::{TextParts, resident_bytes, status_bytes};

/// The number of changes, of one part each.
const CHANGES: usize = 31;
/// The number of changes per day at the target size.
const CHANGES_PER_DAY: f64 = 16_000.0;

fn main() {
    let mut texts = TextParts::from_arguments();
    let before = resident_bytes();
    let mut trial = StoreTrial {
        store: ListStore::new(ListOptions::default()),
        snapshot: None,
        now: ClockTime::ZERO,
        longest: Duration::ZERO,
        spent: Duration::ZERO,
    };
    trial.publish(1, &texts);
    let (whole, whole_longest) = trial.drain_times();
    let first = resident_bytes().saturating_sub(before);
    let mut changes = Vec::new();
    let mut change_longest = Duration::ZERO;
    for change in 0..CHANGES {
        texts.change_one(change);
        trial.publish(2 + change as u64, &texts);
        let (spent, longest) = trial.drain_times();
        changes.push(spent);
        change_longest = change_longest.max(longest);
    }
    let resident = resident_bytes().saturating_sub(before);
    changes.sort();
    let median = changes[changes.len() / 2];
    let list = trial.store.current_list().expect("a list is in force");
    let targets: usize = list.services.values().map(|service| service.targets.len()).sum();
    println!(
        "{{\"targets\":{targets},\"list_bytes\":{},\"parts\":{},\"whole_ms\":{:.2},\
         \"whole_longest_ms\":{:.2},\"change_ms\":{:.2},\"change_longest_ms\":{:.2},\
         \"core_share_at_target_rate\":{:.5},\"first_resident_bytes\":{first},\
         \"resident_bytes\":{resident},\"peak_process_bytes\":{}}}",
        texts.bytes(),
        texts.parts.len(),
        millis(whole),
        millis(whole_longest),
        millis(median),
        millis(change_longest),
        median.as_secs_f64() * CHANGES_PER_DAY / 86_400.0,
        status_bytes("VmHWM:"),
    );
}

/// A store whose calls are timed.
struct StoreTrial {
    store: ListStore,
    /// The last snapshot, kept as the daemon keeps it.
    snapshot: Option<ListSnapshot>,
    now: ClockTime,
    longest: Duration,
    spent: Duration,
}

impl StoreTrial {
    fn publish(&mut self, revision: u64, texts: &TextParts) {
        self.now = self.now.after_millis(5_400);
        let now = self.now;
        let manifest = texts.manifest(revision);
        let mut effects =
            self.timed(|trial| trial.store.on_manifest(now, ListSource::Platform, manifest));
        while let Some(digests) = requested_digests(&effects) {
            // As from a peer: the reply is bounded, and the remaining parts are requested again.
            let parts = first_parts(texts, &digests);
            effects = self.timed(|trial| {
                let effects = trial.store.on_parts(now, ListSource::Platform, parts);
                trial.snapshot = trial.store.snapshot();
                effects
            });
        }
        assert_eq!(self.store.version().revision, revision);
    }

    fn timed<T>(&mut self, run: impl FnOnce(&mut StoreTrial) -> T) -> T {
        let started = Instant::now();
        let value = run(self);
        let spent = started.elapsed();
        self.longest = self.longest.max(spent);
        self.spent += spent;
        value
    }

    /// Returns the total time spent and the longest call since the last call of this function.
    fn drain_times(&mut self) -> (Duration, Duration) {
        (std::mem::take(&mut self.spent), std::mem::take(&mut self.longest))
    }
}

fn requested_digests(effects: &[ListEffect]) -> Option<Vec<u64>> {
    effects.iter().find_map(|effect| match effect {
        ListEffect::FetchParts { digests, .. } => Some(digests.clone()),
        _ => None,
    })
}

/// Returns the parts of the digests, up to 256 KB but at least one part.
fn first_parts(texts: &TextParts, digests: &[u64]) -> Vec<ListPart> {
    let mut parts = Vec::new();
    let mut bytes = 0;
    for (_, text) in &texts.parts {
        let digest = digest_of(text.as_bytes());
        if !digests.contains(&digest) {
            continue;
        }
        bytes += text.len();
        if bytes > 256 * 1024 && !parts.is_empty() {
            break;
        }
        parts.push(ListPart { digest, text: text.as_bytes().to_vec() });
    }
    parts
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
