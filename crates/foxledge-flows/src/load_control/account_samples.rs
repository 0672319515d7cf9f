//! Samples of the client accounts of openings.

use std::net::Ipv4Addr;

use foxledge_admission::AccountKey;

/// Maximum number of account hashes per interval. A load report has room for those of two
/// intervals.
const MAX_INTERVAL_ACCOUNTS: usize = 6;

/// Samples the client accounts of openings since the previous load report.
///
/// Local loads are collected every 50 ms and sent every 100 ms, so each of them covers the openings
/// since the last but one.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountSamples {
    current: SampleInterval,
    previous: SampleInterval,
}

#[derive(Clone, Debug, Default)]
struct SampleInterval {
    accounts: Vec<u32>,
    openings: u32,
}

impl AccountSamples {
    /// Records an opening; `draw` decides whether it replaces an entry of a full sample.
    pub fn record_opening(&mut self, caller: Ipv4Addr, draw: u64) {
        let interval = &mut self.current;
        interval.openings += 1;
        let account = AccountKey::from_address(caller).0;
        if interval.accounts.len() < MAX_INTERVAL_ACCOUNTS {
            return interval.accounts.push(account);
        }
        let index = (draw % u64::from(interval.openings)) as usize;
        if let Some(entry) = interval.accounts.get_mut(index) {
            *entry = account;
        }
    }

    /// Returns the sample and the number of openings that each hash stands for, and starts a new
    /// interval.
    pub fn drain_sample(&mut self) -> (Vec<u32>, u32) {
        let mut accounts = self.previous.accounts.clone();
        accounts.extend(&self.current.accounts);
        let openings = self.previous.openings + self.current.openings;
        self.previous = std::mem::take(&mut self.current);
        match accounts.len() as u32 {
            0 => (accounts, 0),
            count => (accounts, openings.div_ceil(count)),
        }
    }

    /// Discards all openings.
    pub fn clear(&mut self) {
        *self = AccountSamples::default();
    }
}
