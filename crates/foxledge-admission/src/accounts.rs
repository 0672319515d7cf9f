//! Detection of client accounts that exceed their fair rate, from samples.
//!
//! The fair rate is the max-min fair share of the admitted openings; see [`fair_level`].

use std::{collections::BTreeMap, net::Ipv4Addr, num::NonZeroUsize};

use foxledge_core::time::ClockTime;
use lru::LruCache;
use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::shares::fair_level;

/// The maximum number of tracked accounts; the least recently sampled one is evicted.
const MAX_ACCOUNTS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
/// The length of each of the two windows in which samples are counted, in milliseconds.
const WINDOW_MS: u64 = 1000;
/// The minimum number of samples of a heavy account; fewer may be chance.
const MIN_SAMPLES: u32 = 8;
/// The multiple of the other accounts' mean rate from which an account is heavy.
const HEAVY_FACTOR: f64 = 3.0;
/// The minimum time that a rate is computed over, in seconds.
const MIN_SPAN_S: f64 = 0.2;

/// A client account in messages: the low 32 bits of the hash of its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct AccountKey(pub u32);

impl AccountKey {
    /// Returns the key of the account that the caller's address stands for.
    pub fn from_address(caller: Ipv4Addr) -> AccountKey {
        AccountKey(xxh3_64(&caller.octets()) as u32)
    }
}

/// A client account that exceeds its fair rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HeavyAccount {
    /// Openings per second, including refused ones.
    #[serde(rename = "rate")]
    pub openings_per_s: f64,
    /// Openings per second that are admitted, before the admitted share of their priority is
    /// applied.
    #[serde(rename = "allowed")]
    pub admitted_per_s: f64,
}

impl HeavyAccount {
    /// Returns the fraction of the account's openings that is admitted.
    pub fn admitted_share(&self) -> f64 {
        (self.admitted_per_s / self.openings_per_s).clamp(0.0, 1.0)
    }

    /// Returns `true` if an opening of this account at `now` is admitted, given the admitted share
    /// of its priority.
    ///
    /// Limits the load that a single account causes. The decision depends on a hash of the time,
    /// which spreads the admitted openings evenly. The readmission window would instead admit all
    /// openings of the account for a part of each rotation, and none in the rest.
    pub fn admits(&self, now: ClockTime, caller: Ipv4Addr, share: f64) -> bool {
        let draw = xxh3_64_with_seed(&caller.octets(), now.as_micros());
        (draw as f64) < share * self.admitted_share() * u64::MAX as f64
    }
}

/// Sample counts of client accounts over the last two seconds.
#[derive(Debug)]
pub struct AccountTable {
    counts: LruCache<AccountKey, AccountCount>,
    current: Option<SampleWindow>,
    previous: Option<SampleWindow>,
}

/// The sample counts of one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountCount {
    current: SampleCount,
    previous: SampleCount,
}

/// A number of samples, and of the openings that they stand for.
#[derive(Clone, Copy, Debug, Default)]
struct SampleCount {
    samples: u32,
    openings: f64,
}

/// A period in which samples are counted.
#[derive(Clone, Copy, Debug)]
struct SampleWindow {
    started_at: ClockTime,
    ends_at: ClockTime,
    expires_at: ClockTime,
}

impl Default for AccountTable {
    fn default() -> AccountTable {
        AccountTable { counts: LruCache::new(MAX_ACCOUNTS), current: None, previous: None }
    }
}

impl AccountTable {
    /// Records samples: the account's hash, and the openings that each sample stands for.
    pub fn record_samples(&mut self, now: ClockTime, samples: &[(u32, u32)]) {
        self.rotate_windows(now);
        if samples.is_empty() {
            return;
        }
        self.current.get_or_insert(SampleWindow {
            started_at: now,
            ends_at: now.after_millis(WINDOW_MS),
            expires_at: now.after_millis(2 * WINDOW_MS),
        });
        for (hash, openings) in samples {
            let count = self.counts.get_or_insert_mut(AccountKey(*hash), AccountCount::default);
            count.current.samples += 1;
            count.current.openings += f64::from((*openings).max(1));
        }
    }

    /// Returns the accounts that open more than `share_multiple` times the fair rate, if the
    /// fraction `served` of all openings can be admitted. Accounts with few samples are never among
    /// them, nor those below [`HEAVY_FACTOR`] times the mean rate of the others.
    ///
    /// `sampled_per_s` is the rate of the openings that samples were taken from; not all of these
    /// samples are received. If it is 0, the received samples stand for all openings.
    ///
    /// When one account demands far more than the others, its excess is refused before theirs.
    pub fn heavy_accounts(
        &self,
        now: ClockTime,
        sampled_per_s: f64,
        served: f64,
        share_multiple: f64,
    ) -> BTreeMap<AccountKey, HeavyAccount> {
        let Some(span_s) = self.span_s(now) else { return BTreeMap::new() };
        let total: f64 = self.counts.iter().map(|(_, count)| count.openings()).sum();
        let others = self.counts.len().saturating_sub(1) as f64;
        let is_heavy = |count: &AccountCount| {
            let mean = (total - count.openings()) / others;
            count.samples() >= MIN_SAMPLES && count.openings() >= HEAVY_FACTOR * mean
        };
        let heavy: Vec<_> = self.counts.iter().filter(|(_, count)| is_heavy(count)).collect();
        if others < 1.0 || heavy.is_empty() {
            return BTreeMap::new();
        }
        let total_per_s = if sampled_per_s > 0.0 { sampled_per_s } else { total / span_s };
        let rate = |count: &AccountCount| count.openings() / total * total_per_s;
        let rates = self.counts.iter().map(|(_, count)| rate(count)).collect();
        let fair_rate = fair_level(rates, total_per_s * served.clamp(0.0, 1.0));
        let account = |(key, count): &(&AccountKey, &AccountCount)| {
            let openings_per_s = rate(count);
            (
                **key,
                HeavyAccount {
                    openings_per_s,
                    admitted_per_s: openings_per_s.min(fair_rate * share_multiple),
                },
            )
        };
        heavy
            .iter()
            .map(account)
            .filter(|(_, heavy)| heavy.admitted_per_s < heavy.openings_per_s)
            .collect()
    }

    /// Returns the number of tracked accounts.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Closes the current window once it has ended, and drops samples that have expired.
    fn rotate_windows(&mut self, now: ClockTime) {
        if self.current.is_some_and(|window| window.ends_at.is_past(now)) {
            self.previous = self.current.take();
            for (_, count) in self.counts.iter_mut() {
                count.previous = std::mem::take(&mut count.current);
            }
        }
        if self.previous.is_some_and(|window| window.expires_at.is_past(now)) {
            self.previous = None;
            for (_, count) in self.counts.iter_mut() {
                count.previous = SampleCount::default();
            }
        }
        while self.counts.peek_lru().is_some_and(|(_, count)| count.samples() == 0) {
            self.counts.pop_lru();
        }
    }

    /// Returns the time over which the samples were counted, in seconds.
    fn span_s(&self, now: ClockTime) -> Option<f64> {
        let first = self.previous.or(self.current)?;
        Some(now.since(first.started_at).as_secs_f64().max(MIN_SPAN_S))
    }
}

impl AccountCount {
    fn samples(&self) -> u32 {
        self.current.samples + self.previous.samples
    }

    fn openings(&self) -> f64 {
        self.current.openings + self.previous.openings
    }
}
