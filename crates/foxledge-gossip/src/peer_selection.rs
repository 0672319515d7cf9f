//! Selection of known instances to send to, to probe, and to name to others.

use std::{collections::BTreeMap, net::SocketAddrV4};

use foxledge_core::time::ClockTime;
use rand::{Rng, rngs::StdRng};

use crate::{
    messages::PeerEntry,
    peers::{PeerRecord, PeerTable},
};

/// Time without contact to any instance of another data centre after which one there is probed, in
/// milliseconds.
const CENTRE_PROBE_DELAY_MS: u64 = 8_000;
/// Time, in milliseconds, after which a probe counts as unanswered: ten times what an instance with
/// a twentieth of a core takes to respond while its whole fleet starts.
const PROBE_TIMEOUT_MS: u64 = 1_500;

/// `SampleSize` is the number of instances that a message names.
#[derive(Clone, Copy, Debug)]
pub struct SampleSize {
    /// Instances of the receiver's data centre.
    pub receiver_centre: usize,
    /// Instances of other data centres.
    pub other_centres: usize,
}

impl SampleSize {
    /// Sample in a full heartbeat to another data centre, whose instances know few of this data
    /// centre and all of their own.
    pub const REMOTE_HEARTBEAT: SampleSize = SampleSize { receiver_centre: 2, other_centres: 0 };
    /// Empty sample.
    pub const NONE: SampleSize = SampleSize { receiver_centre: 0, other_centres: 0 };
    /// Sample in each full heartbeat. An instance receives some four of these a second. With four
    /// instances each, tables of fifty held half of their data centre ten seconds after its start,
    /// and some instances were in so few of them that updates missed them.
    pub const FULL_HEARTBEAT: SampleSize = SampleSize { receiver_centre: 6, other_centres: 3 };
    /// Sample in a response to an instance that may know no other.
    pub const RESPONSE: SampleSize = SampleSize { receiver_centre: 12, other_centres: 4 };
}

impl PeerTable {
    /// Returns up to `count` random instances of the same data centre that aren't quiet.
    pub fn pick_same_centre(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        choose_random(
            rng,
            self.responsive_same_centre(now)
                .filter_map(|record| record.descriptor.address())
                .collect(),
            count,
        )
    }

    /// Returns a quiet instance of the same data centre to probe: one with the fewest unanswered
    /// probes.
    ///
    /// Of fifty live instances, some are heard from only once in ten seconds, by chance. If those
    /// were taken for lost, instances that removed them would send them no updates, and operators
    /// would be shown losses that are none.
    pub fn pick_probe_target(&mut self, rng: &mut StdRng, now: ClockTime) -> Option<SocketAddrV4> {
        let local_centre = &self.local_centre;
        let is_candidate = |record: &PeerRecord| {
            let is_same_centre = record.descriptor.data_centre == *local_centre;
            is_same_centre && record.is_quiet(now) && record.probe_expires_at.is_past(now)
        };
        let candidates = self.records.iter().filter(|(_, record)| is_candidate(record));
        let min_probes = candidates.clone().map(|(_, record)| record.unanswered_probes).min()?;
        let least_probed = candidates.filter(|(_, record)| record.unanswered_probes == min_probes);
        let address =
            choose_random(rng, least_probed.map(|(address, _)| *address).collect(), 1).pop()?;
        let record = self.records.get_mut(&address)?;
        record.unanswered_probes += 1;
        record.probe_expires_at = now.after_millis(PROBE_TIMEOUT_MS);
        Some(address)
    }

    /// Returns a random quiet instance of the same data centre, which is sent updates as well: most
    /// of them are alive.
    pub fn pick_random_quiet(&self, rng: &mut StdRng, now: ClockTime) -> Option<SocketAddrV4> {
        let same_centre_records = self
            .records
            .values()
            .filter(|record| record.descriptor.data_centre == self.local_centre);
        let quiet = same_centre_records.filter(|record| record.is_quiet(now));
        choose_random(rng, quiet.filter_map(|record| record.descriptor.address()).collect(), 1)
            .pop()
    }

    /// Returns the most recently heard instance of a random data centre from which nothing has come
    /// for [`CENTRE_PROBE_DELAY_MS`], to be probed.
    pub fn pick_quiet_centre_peer(&self, rng: &mut StdRng, now: ClockTime) -> Option<SocketAddrV4> {
        let latest = self.latest_remote().into_values();
        let quiet = latest
            .filter(|record| record.last_heard_at.after_millis(CENTRE_PROBE_DELAY_MS).is_past(now));
        choose_random(rng, quiet.filter_map(|record| record.descriptor.address()).collect(), 1)
            .pop()
    }

    /// Returns up to `count` random instances of each other data centre.
    pub fn pick_remote(&self, rng: &mut StdRng, count: usize) -> Vec<SocketAddrV4> {
        let mut centres: BTreeMap<&str, Vec<SocketAddrV4>> = BTreeMap::new();
        for record in self
            .records
            .values()
            .filter(|record| record.descriptor.data_centre != self.local_centre)
        {
            let Some(address) = record.descriptor.address() else { continue };
            centres.entry(record.descriptor.data_centre.as_str()).or_default().push(address);
        }
        let mut picked: Vec<_> = centres
            .into_values()
            .flat_map(|addresses| choose_random(rng, addresses, count))
            .collect();
        picked.sort_unstable();
        picked
    }

    /// Returns random instances to name to one of data centre `centre`: mostly of that data centre,
    /// since the receiver may learn of those from no other instance.
    pub fn sample_entries(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        centre: &str,
        size: SampleSize,
    ) -> Vec<PeerEntry> {
        let responsive = self.records.iter().filter(|(_, record)| !record.is_quiet(now));
        let (receiver_records, other_records): (Vec<_>, Vec<_>) =
            responsive.partition(|(_, record)| record.descriptor.data_centre == centre);
        let addresses = |records: Vec<(&SocketAddrV4, &PeerRecord)>| {
            records.into_iter().map(|(address, _)| *address).collect::<Vec<_>>()
        };
        let mut picked = choose_random(rng, addresses(receiver_records), size.receiver_centre);
        picked.extend(choose_random(rng, addresses(other_records), size.other_centres));
        let records = picked.iter().filter_map(|address| self.records.get(address));
        records.map(|record| peer_entry(record, now)).collect()
    }

    /// Returns up to `count` random instances that know the list beyond `head`, as entries of a
    /// message: instances of the same data centre that aren't quiet, or else quiet ones, or else
    /// remote ones.
    pub fn pick_list_holders(
        &self,
        rng: &mut StdRng,
        now: ClockTime,
        head: u64,
        count: usize,
    ) -> Vec<PeerEntry> {
        let holders = self
            .records
            .values()
            .filter(|record| record.head > head && record.unanswered_probes == 0);
        let preference = |record: &PeerRecord| {
            (record.descriptor.data_centre != self.local_centre, record.is_quiet(now))
        };
        let Some(preferred) = holders.clone().map(preference).min() else { return Vec::new() };
        let preferred = holders.filter(|record| preference(record) == preferred);
        let picked = choose_random(
            rng,
            preferred.filter_map(|record| record.descriptor.address()).collect(),
            count,
        );
        let records = picked.iter().filter_map(|address| self.records.get(address));
        records.map(|record| peer_entry(record, now)).collect()
    }
}

/// Returns the entry of a message for an instance.
fn peer_entry(record: &PeerRecord, now: ClockTime) -> PeerEntry {
    let age = now.since(record.last_heard_at).as_millis();
    PeerEntry {
        descriptor: Some(record.descriptor.clone()),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        head: record.head,
    }
}

fn choose_random(
    rng: &mut StdRng,
    mut addresses: Vec<SocketAddrV4>,
    count: usize,
) -> Vec<SocketAddrV4> {
    addresses.sort_unstable();
    while addresses.len() > count {
        let index = rng.random_range(0..addresses.len());
        addresses.swap_remove(index);
    }
    addresses
}
