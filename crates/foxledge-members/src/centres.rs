//! Summaries and contacts of the other data centres.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use foxledge_core::{
    lists::ListVersion,
    names::{CentreName, InstanceName},
    peers::{CentreContact, PeerInfo},
    time::ClockTime,
};
use foxledge_wire::{
    control::{CentreSummary, PeerRecord},
    convert,
};

/// The maximum number of other data centres stored.
const MAX_CENTRES: usize = 64;
/// The maximum number of addresses stored for each data centre.
const MAX_ADDRESSES: usize = 16;
/// The maximum number of summary authors tracked for each data centre.
const MAX_AUTHORS: usize = 8;
/// The number of times that each instance relays a summary inside its data centre.
const RELAYS_PER_SUMMARY: u32 = 6;
/// The maximum number of summaries relayed in one message.
const MAX_RELAYED_SUMMARIES: usize = 7;

/// The sequence of the newest summary received from one author.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AuthorSequence {
    name: String,
    /// The author's incarnation and its number for the summary.
    newest_sequence: (u64, u32),
}

/// The time for which a contact stays valid, in multiples of the summary timeout: each summary
/// names only some of the contacts.
const CONTACT_TTL_FACTOR: u32 = 4;

/// The state of one other data centre.
#[derive(Clone, Debug)]
struct CentreEntry {
    alive_count: u32,
    version: ListVersion,
    contacts: Vec<PeerRecord>,
    /// The peer address of every contact named recently, with the time at which it expires.
    known_contacts: BTreeMap<InstanceName, (SocketAddr, ClockTime)>,
    /// Control addresses in this data centre other than those of the contacts.
    addresses: Vec<SocketAddr>,
    author_sequences: Vec<AuthorSequence>,
    /// The time at which the data centre is considered unreachable.
    reachable_deadline: ClockTime,
    next_heartbeat_at: ClockTime,
    heartbeats_sent: usize,
    next_relay_at: ClockTime,
    remaining_relays: u32,
}

/// The other data centres, with a summary and a few contacts of each.
///
/// The author of a summary is its first contact, and numbers the summary in that contact's
/// `refutation`. Without the number, a summary that two instances relay to each other would always
/// look new, and an unreachable data centre would never be detected. With it, only a summary with a
/// new number is accepted.
#[derive(Debug)]
pub(crate) struct CentreTable {
    local_centre: CentreName,
    entries: BTreeMap<CentreName, CentreEntry>,
    summary_timeout: Duration,
    heartbeat_interval: Duration,
    last_sequence: u32,
    third_centre_index: usize,
}

impl CentreTable {
    pub(crate) fn new(
        local_centre: CentreName,
        summary_timeout: Duration,
        heartbeat_interval: Duration,
    ) -> CentreTable {
        CentreTable {
            local_centre,
            entries: BTreeMap::new(),
            summary_timeout,
            heartbeat_interval,
            last_sequence: 0,
            third_centre_index: 0,
        }
    }

    /// Makes the summary of the local data centre. `contacts` are the instances that other data
    /// centres may contact.
    pub(crate) fn make_local_summary(
        &mut self,
        local_peer: &PeerInfo,
        alive: usize,
        version: ListVersion,
        contacts: &[&PeerInfo],
    ) -> CentreSummary {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let author = PeerRecord { refutation: self.last_sequence, ..contact_record(local_peer) };
        let others = contacts.iter().filter(|peer| peer.name != local_peer.name);
        CentreSummary {
            data_centre: self.local_centre.to_string(),
            alive: u32::try_from(alive).unwrap_or(u32::MAX),
            version: Some(convert::wire_version(version)),
            contacts: std::iter::once(author)
                .chain(others.map(|peer| contact_record(peer)))
                .collect(),
        }
    }

    /// Applies a summary. Returns true if it is newer than the last one of its author.
    pub(crate) fn apply_summary(&mut self, now: ClockTime, summary: &CentreSummary) -> bool {
        let Some(author) = summary.contacts.first() else { return false };
        let reachable_deadline = now.after(self.summary_timeout);
        let contact_deadline = now.after(self.summary_timeout * CONTACT_TTL_FACTOR);
        let relay_interval = self.heartbeat_interval * 2;
        let Some(entry) = self.entry(now, &summary.data_centre) else { return false };
        if !entry.accept_sequence(author) {
            return false;
        }
        entry.alive_count = summary.alive;
        entry.version = summary.version.as_ref().map(convert::list_version).unwrap_or_default();
        entry.contacts = summary.contacts.iter().take(MAX_ADDRESSES).cloned().collect();
        entry.reachable_deadline = reachable_deadline;
        entry.merge_contacts(now, contact_deadline);
        if entry.next_relay_at.is_past(now) {
            entry.next_relay_at = now.after(relay_interval);
            entry.remaining_relays = RELAYS_PER_SUMMARY;
        }
        true
    }

    /// Adds an address in another data centre. The oldest address is dropped once there are [`MAX_ADDRESSES`].
    pub(crate) fn add_address(&mut self, now: ClockTime, centre: &str, address: SocketAddr) {
        let Some(entry) = self.entry(now, centre) else { return };
        if entry.addresses.contains(&address) {
            return;
        }
        if entry.addresses.len() == MAX_ADDRESSES {
            entry.addresses.remove(0);
        }
        entry.addresses.push(address);
    }

    /// Returns the summaries to relay inside the data centre with the next message.
    pub(crate) fn take_relayed_summaries(&mut self, now: ClockTime) -> Vec<CentreSummary> {
        let mut summaries = Vec::new();
        for (name, entry) in &mut self.entries {
            if summaries.len() == MAX_RELAYED_SUMMARIES {
                break;
            }
            if entry.remaining_relays == 0 || entry.reachable_deadline.is_past(now) {
                continue;
            }
            entry.remaining_relays -= 1;
            summaries.push(entry.summary(name));
        }
        summaries
    }

    /// Returns the addresses to send a heartbeat to now: one for each data centre that
    /// `is_representative` accepts.
    ///
    /// Contacts and other known addresses take turns, so that a data centre whose contacts have all
    /// been replaced is still found.
    pub(crate) fn take_due_addresses(
        &mut self,
        now: ClockTime,
        is_representative: impl Fn(&CentreName) -> bool,
    ) -> Vec<SocketAddr> {
        let mut due_addresses = Vec::new();
        for (name, entry) in &mut self.entries {
            if !entry.next_heartbeat_at.is_past(now) {
                continue;
            }
            entry.next_heartbeat_at = now.after(self.heartbeat_interval);
            if is_representative(name) {
                due_addresses.extend(entry.next_address(now));
            }
        }
        due_addresses
    }

    /// Returns the summary of a data centre other than the requester's, so that the requester
    /// discovers it. The data centres are returned in rotation.
    pub(crate) fn next_third_centre(
        &mut self,
        now: ClockTime,
        requester: &str,
    ) -> Option<CentreSummary> {
        let is_other = |name: &CentreName| name.as_str() != requester;
        let entries = self.entries.iter();
        let reachable: Vec<_> = entries
            .filter(|(name, entry)| is_other(name) && !entry.reachable_deadline.is_past(now))
            .collect();
        let index = self.third_centre_index.checked_rem(reachable.len())?;
        self.third_centre_index = self.third_centre_index.wrapping_add(1);
        reachable.get(index).map(|(name, entry)| entry.summary(name))
    }

    /// Returns the known control addresses in reachable data centres.
    pub(crate) fn reachable_addresses(&self, now: ClockTime) -> Vec<SocketAddr> {
        let reachable =
            self.entries.values().filter(|entry| !entry.reachable_deadline.is_past(now));
        reachable
            .flat_map(|entry| entry.addresses.iter().copied().chain(entry.contact_addresses()))
            .collect()
    }

    /// Returns the reachable data centres including the local one, ordered by name.
    pub(crate) fn reachable_centres(&self, now: ClockTime) -> Vec<CentreName> {
        let is_reachable = |entry: &CentreEntry| !entry.reachable_deadline.is_past(now);
        let reachable = self.entries.iter().filter(|(_, entry)| is_reachable(entry));
        let mut names: Vec<_> = reachable.map(|(name, _)| name.clone()).collect();
        names.push(self.local_centre.clone());
        names.sort();
        names
    }

    /// Returns a few instances of each reachable data centre, ordered by name.
    ///
    /// Summaries have different authors, each of which names itself first. The contacts of all
    /// recent summaries are combined, because the view would otherwise change with each summary.
    pub(crate) fn contacts(&self, now: ClockTime) -> Vec<CentreContact> {
        let reachable =
            self.entries.iter().filter(|(_, entry)| !entry.reachable_deadline.is_past(now));
        let mut contacts = Vec::new();
        for (centre, entry) in reachable {
            let known =
                entry.known_contacts.iter().filter(|(_, (_, deadline))| !deadline.is_past(now));
            contacts.extend(known.map(|(name, (peer_address, _))| CentreContact {
                name: name.clone(),
                data_centre: centre.clone(),
                peer_address: *peer_address,
            }));
        }
        contacts
    }

    /// Gives every data centre that was reachable at `last_tick` a full new summary timeout.
    pub(crate) fn extend_deadlines(&mut self, now: ClockTime, last_tick: ClockTime) {
        let reachable_deadline = now.after(self.summary_timeout);
        for entry in self.entries.values_mut() {
            if !entry.reachable_deadline.is_past(last_tick) {
                entry.reachable_deadline = reachable_deadline;
            }
        }
    }

    fn entry(&mut self, now: ClockTime, centre: &str) -> Option<&mut CentreEntry> {
        let is_other = !centre.is_empty() && centre != self.local_centre.as_str();
        let is_known = self.entries.contains_key(centre);
        if !is_other || (!is_known && self.entries.len() == MAX_CENTRES) {
            return None;
        }
        let entry = self.entries.entry(CentreName::new(centre)).or_insert_with(|| CentreEntry {
            alive_count: 0,
            version: ListVersion::default(),
            contacts: Vec::new(),
            known_contacts: BTreeMap::new(),
            addresses: Vec::new(),
            author_sequences: Vec::new(),
            reachable_deadline: now,
            next_heartbeat_at: now,
            heartbeats_sent: 0,
            next_relay_at: now,
            remaining_relays: 0,
        });
        Some(entry)
    }
}

impl CentreEntry {
    /// Adds the contacts of the current summary and removes expired ones.
    fn merge_contacts(&mut self, now: ClockTime, contact_deadline: ClockTime) {
        self.known_contacts.retain(|_, (_, deadline)| !deadline.is_past(now));
        for contact in &self.contacts {
            if let Ok(address) = contact.peer_address.parse()
                && self.known_contacts.len() < MAX_ADDRESSES
            {
                self.known_contacts
                    .insert(InstanceName::new(&contact.name), (address, contact_deadline));
            }
        }
    }

    /// Returns true and stores the sequence if it is newer than the author's last one.
    fn accept_sequence(&mut self, author: &PeerRecord) -> bool {
        let newest_sequence = (author.incarnation, author.refutation);
        if let Some(index) =
            self.author_sequences.iter().position(|sequence| sequence.name == author.name)
        {
            if newest_sequence <= self.author_sequences[index].newest_sequence {
                return false;
            }
            self.author_sequences.remove(index);
        }
        // The most recently updated author is at the end; the one at the front is evicted.
        if self.author_sequences.len() == MAX_AUTHORS {
            self.author_sequences.remove(0);
        }
        self.author_sequences.push(AuthorSequence { name: author.name.clone(), newest_sequence });
        true
    }

    fn summary(&self, name: &CentreName) -> CentreSummary {
        CentreSummary {
            data_centre: name.to_string(),
            alive: self.alive_count,
            version: Some(convert::wire_version(self.version)),
            contacts: self.contacts.clone(),
        }
    }

    fn contact_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.contacts.iter().filter_map(|peer| peer.control_address.parse().ok())
    }

    fn next_address(&mut self, now: ClockTime) -> Option<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.contact_addresses().collect();
        if self.reachable_deadline.is_past(now) {
            addresses.extend(&self.addresses);
        }
        if addresses.is_empty() {
            addresses.clone_from(&self.addresses);
        }
        let index = self.heartbeats_sent.checked_rem(addresses.len())?;
        self.heartbeats_sent = self.heartbeats_sent.wrapping_add(1);
        addresses.get(index).copied()
    }
}

/// Returns the fields of a record that another data centre needs to contact the instance.
fn contact_record(peer: &PeerInfo) -> PeerRecord {
    PeerRecord {
        name: peer.name.to_string(),
        incarnation: peer.incarnation,
        peer_address: peer.peer_address.to_string(),
        control_address: peer.control_address.to_string(),
        ..PeerRecord::default()
    }
}

/// Returns the key under which the representatives for a data centre are elected.
pub(crate) fn representative_key(centre: &CentreName) -> String {
    format!("talker/{centre}")
}

/// Returns true if `name` is among the `count` highest of `names` for `key`.
///
/// Uses rendezvous hashing: instances with equal views agree without exchanging messages.
pub(crate) fn is_elected<'a>(
    key: &str,
    count: usize,
    name: &InstanceName,
    names: impl Iterator<Item = &'a InstanceName>,
) -> bool {
    let weight = |name: &InstanceName| foxledge_core::hash::rendezvous_weight(key, name);
    let own_rank = (weight(name), name);
    let above = names.filter(|other| *other != name && (weight(other), *other) > own_rank);
    above.take(count).count() < count
}
