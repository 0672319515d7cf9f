//! Client accounts that take more than a fair rate, known from samples.

use std::{collections::BTreeMap, net::Ipv4Addr, num::NonZeroUsize};

use foxledge_core::time::ClockTime;
use lru::LruCache;
use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::shares::fair_level;

/// Accounts that a table remembers; the one that was sampled longest ago is evicted.
const MOST_ACCOUNTS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
/// Length of one of the two windows in which samples are counted.
const WINDOW_MS: u64 = 1000;
/// Samples from which an account can be heavy; fewer may be chance.
const LEAST_SAMPLES: u32 = 8;
/// Multiple of the other accounts' mean rate from which an account is heavy.
const HEAVY_FACTOR: f64 = 3.0;
/// Shortest time in seconds that a rate is taken over.
const LEAST_SPAN_S: f64 = 0.2;

/// `AccountKey` is a client account as it travels: the low half of its address's hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct AccountKey(pub u32);

impl AccountKey {
    /// The account of a caller's address.
    pub fn of(caller: Ipv4Addr) -> AccountKey {
        AccountKey(xxh3_64(&caller.octets()) as u32)
    }
}

/// `HeavyAccount` is a client account that takes more than a fair rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HeavyAccount {
    /// Openings a second, refused ones included.
    #[serde(rename = "rate")]
    pub openings_per_s: f64,
    /// Openings a second that are admitted, but for the share of their priority.
    #[serde(rename = "allowed")]
    pub admitted_per_s: f64,
}

impl HeavyAccount {
    /// Share of its openings that is admitted.
    pub fn admitted_share(&self) -> f64 {
        (self.admitted_per_s / self.openings_per_s).clamp(0.0, 1.0)
    }

    /// True when an opening of it at `now` is admitted, of whose priority `share` is.
    ///
    /// Answers a load that one account causes. The hash of the time spreads what is admitted
    /// evenly; an account in the window of readmission would take its share at once.
    pub fn admits(&self, now: ClockTime, caller: Ipv4Addr, share: f64) -> bool {
        let draw = xxh3_64_with_seed(&caller.octets(), now.as_micros());
        (draw as f64) < share * self.admitted_share() * u64::MAX as f64
    }
}

/// `AccountTable` counts samples of client accounts over the last two seconds.
#[derive(Debug)]
pub struct AccountTable {
    counts: LruCache<AccountKey, AccountCount>,
    current: Option<SampleWindow>,
    before: Option<SampleWindow>,
}

/// `AccountCount` is one account's samples.
#[derive(Clone, Copy, Debug, Default)]
struct AccountCount {
    current: SampleCount,
    before: SampleCount,
}

/// `SampleCount` is a number of samples, and of the openings that they stand for.
#[derive(Clone, Copy, Debug, Default)]
struct SampleCount {
    samples: u32,
    openings: f64,
}

/// `SampleWindow` is a time in which samples are counted.
#[derive(Clone, Copy, Debug)]
struct SampleWindow {
    begins_at: ClockTime,
    ends_at: ClockTime,
    lapses_at: ClockTime,
}

impl Default for AccountTable {
    fn default() -> AccountTable {
        AccountTable { counts: LruCache::new(MOST_ACCOUNTS), current: None, before: None }
    }
}

impl AccountTable {
    /// Counts samples: the account's hash, and the openings that each stands for.
    pub fn take(&mut self, now: ClockTime, samples: &[(u32, u32)]) {
        self.turn_windows(now);
        if samples.is_empty() {
            return;
        }
        self.current.get_or_insert(SampleWindow {
            begins_at: now,
            ends_at: now.after_millis(WINDOW_MS),
            lapses_at: now.after_millis(2 * WINDOW_MS),
        });
        for (hash, openings) in samples {
            let count = self.counts.get_or_insert_mut(AccountKey(*hash), AccountCount::default);
            count.current.samples += 1;
            count.current.openings += f64::from((*openings).max(1));
        }
    }

    /// The accounts that take more than a fair rate when the part `served` of all openings can be
    /// admitted, and an account may take `multiple` of the fair rate.
    ///
    /// `sampled_per_s` are the openings of which samples were told; not all of these are heard.
    ///
    /// Answers a load of which one account asks for much more than the others: its excess is
    /// refused before theirs.
    pub fn heavy(
        &self,
        now: ClockTime,
        sampled_per_s: f64,
        served: f64,
        multiple: f64,
    ) -> BTreeMap<AccountKey, HeavyAccount> {
        let Some(span_s) = self.span_s(now) else { return BTreeMap::new() };
        let all: f64 = self.counts.iter().map(|(_, count)| count.openings()).sum();
        let others = self.counts.len().saturating_sub(1) as f64;
        let is_heavy = |count: &AccountCount| {
            let mean = (all - count.openings()) / others;
            count.samples() >= LEAST_SAMPLES && count.openings() >= HEAVY_FACTOR * mean
        };
        let heavy: Vec<_> = self.counts.iter().filter(|(_, count)| is_heavy(count)).collect();
        if others < 1.0 || heavy.is_empty() {
            return BTreeMap::new();
        }
        let all_per_s = if sampled_per_s > 0.0 { sampled_per_s } else { all / span_s };
        let rate = |count: &AccountCount| count.openings() / all * all_per_s;
        let rates = self.counts.iter().map(|(_, count)| rate(count)).collect();
        let fair = fair_level(rates, all_per_s * served.clamp(0.0, 1.0));
        let account = |(key, count): &(&AccountKey, &AccountCount)| {
            let rate = rate(count);
            (
                **key,
                HeavyAccount { openings_per_s: rate, admitted_per_s: rate.min(fair * multiple) },
            )
        };
        heavy
            .iter()
            .map(account)
            .filter(|(_, heavy)| heavy.admitted_per_s < heavy.openings_per_s)
            .collect()
    }

    /// Accounts that are remembered.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Ends the current window when its end has passed, and drops samples that have lapsed.
    fn turn_windows(&mut self, now: ClockTime) {
        if self.current.is_some_and(|window| window.ends_at.is_past(now)) {
            self.before = self.current.take();
            for (_, count) in self.counts.iter_mut() {
                count.before = std::mem::take(&mut count.current);
            }
        }
        if self.before.is_some_and(|window| window.lapses_at.is_past(now)) {
            self.before = None;
            for (_, count) in self.counts.iter_mut() {
                count.before = SampleCount::default();
            }
        }
        while self.counts.peek_lru().is_some_and(|(_, count)| count.samples() == 0) {
            self.counts.pop_lru();
        }
    }

    /// Seconds in which the samples were counted.
    fn span_s(&self, now: ClockTime) -> Option<f64> {
        let first = self.before.or(self.current)?;
        Some(now.since(first.begins_at).as_secs_f64().max(LEAST_SPAN_S))
    }
}

impl AccountCount {
    fn samples(&self) -> u32 {
        self.current.samples + self.before.samples
    }

    fn openings(&self) -> f64 {
        self.current.openings + self.before.openings
    }
}
