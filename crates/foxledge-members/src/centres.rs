//! What is held about the other data centres.

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

/// Most data centres held.
const MAX_CENTRES: usize = 64;
/// Most addresses held of one data centre.
const MAX_ADDRESSES: usize = 16;
/// Most authors whose summary numbers are held for one data centre.
const MAX_AUTHORS: usize = 8;
/// Sends of one summary inside the data centre, by each instance that gets it.
const RELAY_SENDS: u32 = 6;
/// Most summaries relayed in one message.
const RELAY_LIMIT: usize = 7;

/// `AuthorMark` is the newest summary seen of one author.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AuthorMark {
    name: String,
    /// The author's incarnation, and its number for the summary.
    newest: (u64, u32),
}

/// How many times longer than a summary a contact counts, as each summary names only some.
const CONTACT_LIVES: u32 = 4;

/// `CentreEntry` is what is held about one other data centre.
#[derive(Clone, Debug)]
struct CentreEntry {
    alive: u32,
    version: ListVersion,
    contacts: Vec<PeerRecord>,
    /// Every contact named lately, with the deadline until which it counts.
    known: BTreeMap<InstanceName, (SocketAddr, ClockTime)>,
    /// Addresses said to be there, beside the contacts.
    addresses: Vec<SocketAddr>,
    marks: Vec<AuthorMark>,
    /// When it counts as out of reach.
    fresh_deadline: ClockTime,
    next_talk: ClockTime,
    talks: usize,
    next_relay: ClockTime,
    relays_left: u32,
}

/// `CentreTable` is the other data centres: a summary and a few contacts of each.
///
/// A summary is numbered by its author, the first of its contacts, in that
/// contact's `refutation`. Without a number a summary that two instances pass
/// to and fro would look new for ever, and a data centre that is cut off would
/// never be seen to be; with it only a number that was not seen yet counts.
#[derive(Debug)]
pub(crate) struct CentreTable {
    own: CentreName,
    entries: BTreeMap<CentreName, CentreEntry>,
    fresh_for: Duration,
    talk_every: Duration,
    written: u32,
    pointers: usize,
}

impl CentreTable {
    pub(crate) fn new(own: CentreName, fresh_for: Duration, talk_every: Duration) -> CentreTable {
        CentreTable {
            own,
            entries: BTreeMap::new(),
            fresh_for,
            talk_every,
            written: 0,
            pointers: 0,
        }
    }

    /// Writes the own data centre's summary; `contacts` are who may be talked to there.
    pub(crate) fn write_own(
        &mut self,
        me: &PeerInfo,
        alive: usize,
        version: ListVersion,
        contacts: &[&PeerInfo],
    ) -> CentreSummary {
        self.written = self.written.wrapping_add(1);
        let author = PeerRecord { refutation: self.written, ..slim_record(me) };
        let others = contacts.iter().filter(|peer| peer.name != me.name);
        CentreSummary {
            data_centre: self.own.to_string(),
            alive: u32::try_from(alive).unwrap_or(u32::MAX),
            version: Some(convert::wire_version(version)),
            contacts: std::iter::once(author).chain(others.map(|peer| slim_record(peer))).collect(),
        }
    }

    /// Takes a summary; true when it says something not heard before.
    pub(crate) fn take(&mut self, now: ClockTime, summary: &CentreSummary) -> bool {
        let Some(author) = summary.contacts.first() else { return false };
        let fresh_deadline = now.after(self.fresh_for);
        let contact_deadline = now.after(self.fresh_for * CONTACT_LIVES);
        let relay_wait = self.talk_every * 2;
        let Some(entry) = self.entry(now, &summary.data_centre) else { return false };
        if !entry.accept_number(author) {
            return false;
        }
        entry.alive = summary.alive;
        entry.version = summary.version.as_ref().map(convert::list_version).unwrap_or_default();
        entry.contacts = summary.contacts.iter().take(MAX_ADDRESSES).cloned().collect();
        entry.fresh_deadline = fresh_deadline;
        entry.note_contacts(now, contact_deadline);
        if entry.next_relay.is_past(now) {
            entry.next_relay = now.after(relay_wait);
            entry.relays_left = RELAY_SENDS;
        }
        true
    }

    /// Notes an address in another data centre.
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

    /// Summaries to pass on inside the data centre with the next message.
    pub(crate) fn take_relays(&mut self, now: ClockTime) -> Vec<CentreSummary> {
        let mut summaries = Vec::new();
        for (name, entry) in &mut self.entries {
            if summaries.len() == RELAY_LIMIT {
                break;
            }
            if entry.relays_left == 0 || entry.fresh_deadline.is_past(now) {
                continue;
            }
            entry.relays_left -= 1;
            summaries.push(entry.summary(name));
        }
        summaries
    }

    /// Whom to beat now: one address for each data centre that `talks_to` names.
    ///
    /// Contacts and other known addresses take turns, so that a data centre
    /// whose contacts have all been replaced is still found.
    pub(crate) fn take_due(
        &mut self,
        now: ClockTime,
        talks_to: impl Fn(&CentreName) -> bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (name, entry) in &mut self.entries {
            if !entry.next_talk.is_past(now) {
                continue;
            }
            entry.next_talk = now.after(self.talk_every);
            if talks_to(name) {
                due.extend(entry.next_address(now));
            }
        }
        due
    }

    /// A summary of one data centre, in turn, for the asking one to find it by.
    pub(crate) fn next_pointer(&mut self, now: ClockTime, asking: &str) -> Option<CentreSummary> {
        let is_other = |name: &CentreName| name.as_str() != asking;
        let entries = self.entries.iter();
        let fresh: Vec<_> = entries
            .filter(|(name, entry)| is_other(name) && !entry.fresh_deadline.is_past(now))
            .collect();
        let index = self.pointers.checked_rem(fresh.len())?;
        self.pointers = self.pointers.wrapping_add(1);
        fresh.get(index).map(|(name, entry)| entry.summary(name))
    }

    /// Control addresses in data centres that answered lately.
    pub(crate) fn fresh_addresses(&self, now: ClockTime) -> Vec<SocketAddr> {
        let fresh = self.entries.values().filter(|entry| !entry.fresh_deadline.is_past(now));
        fresh
            .flat_map(|entry| entry.addresses.iter().copied().chain(entry.contact_addresses()))
            .collect()
    }

    /// Data centres that answered lately, the own one included, by name.
    pub(crate) fn reachable(&self, now: ClockTime) -> Vec<CentreName> {
        let is_fresh = |entry: &CentreEntry| !entry.fresh_deadline.is_past(now);
        let fresh = self.entries.iter().filter(|(_, entry)| is_fresh(entry));
        let mut names: Vec<_> = fresh.map(|(name, _)| name.clone()).collect();
        names.push(self.own.clone());
        names.sort();
        names
    }

    /// A few instances of each data centre in reach, by name.
    ///
    /// Summaries have different authors, each of which names itself first. The
    /// contacts named lately are taken together, or the view would change with
    /// each summary.
    pub(crate) fn contacts(&self, now: ClockTime) -> Vec<CentreContact> {
        let fresh = self.entries.iter().filter(|(_, entry)| !entry.fresh_deadline.is_past(now));
        let mut contacts = Vec::new();
        for (centre, entry) in fresh {
            let known = entry.known.iter().filter(|(_, (_, until))| !until.is_past(now));
            contacts.extend(known.map(|(name, (peer_address, _))| CentreContact {
                name: name.clone(),
                data_centre: centre.clone(),
                peer_address: *peer_address,
            }));
        }
        contacts
    }

    /// Gives every data centre that is in reach a whole new wait.
    pub(crate) fn renew(&mut self, now: ClockTime, last_tick: ClockTime) {
        let fresh_deadline = now.after(self.fresh_for);
        for entry in self.entries.values_mut() {
            if !entry.fresh_deadline.is_past(last_tick) {
                entry.fresh_deadline = fresh_deadline;
            }
        }
    }

    fn entry(&mut self, now: ClockTime, centre: &str) -> Option<&mut CentreEntry> {
        let is_other = !centre.is_empty() && centre != self.own.as_str();
        let is_known = self.entries.contains_key(centre);
        if !is_other || (!is_known && self.entries.len() == MAX_CENTRES) {
            return None;
        }
        let entry = self.entries.entry(CentreName::new(centre)).or_insert_with(|| CentreEntry {
            alive: 0,
            version: ListVersion::default(),
            contacts: Vec::new(),
            known: BTreeMap::new(),
            addresses: Vec::new(),
            marks: Vec::new(),
            fresh_deadline: now,
            next_talk: now,
            talks: 0,
            next_relay: now,
            relays_left: 0,
        });
        Some(entry)
    }
}

impl CentreEntry {
    /// Keeps the contacts of the summary just taken, and drops those not named for long.
    fn note_contacts(&mut self, now: ClockTime, until: ClockTime) {
        self.known.retain(|_, (_, deadline)| !deadline.is_past(now));
        for contact in &self.contacts {
            if let Ok(address) = contact.peer_address.parse()
                && self.known.len() < MAX_ADDRESSES
            {
                self.known.insert(InstanceName::new(&contact.name), (address, until));
            }
        }
    }

    /// True when the author's number wasn't seen yet; the newest is kept.
    fn accept_number(&mut self, author: &PeerRecord) -> bool {
        let newest = (author.incarnation, author.refutation);
        if let Some(index) = self.marks.iter().position(|mark| mark.name == author.name) {
            if newest <= self.marks[index].newest {
                return false;
            }
            self.marks.remove(index);
        }
        // The mark that moved last is at the end; the one at the front makes room.
        if self.marks.len() == MAX_AUTHORS {
            self.marks.remove(0);
        }
        self.marks.push(AuthorMark { name: author.name.clone(), newest });
        true
    }

    fn summary(&self, name: &CentreName) -> CentreSummary {
        CentreSummary {
            data_centre: name.to_string(),
            alive: self.alive,
            version: Some(convert::wire_version(self.version)),
            contacts: self.contacts.clone(),
        }
    }

    fn contact_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.contacts.iter().filter_map(|peer| peer.control_address.parse().ok())
    }

    fn next_address(&mut self, now: ClockTime) -> Option<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.contact_addresses().collect();
        if self.fresh_deadline.is_past(now) {
            addresses.extend(&self.addresses);
        }
        if addresses.is_empty() {
            addresses.clone_from(&self.addresses);
        }
        let index = self.talks.checked_rem(addresses.len())?;
        self.talks = self.talks.wrapping_add(1);
        addresses.get(index).copied()
    }
}

/// The part of a record that another data centre needs to talk to the instance.
fn slim_record(peer: &PeerInfo) -> PeerRecord {
    PeerRecord {
        name: peer.name.to_string(),
        incarnation: peer.incarnation,
        peer_address: peer.peer_address.to_string(),
        control_address: peer.control_address.to_string(),
        ..PeerRecord::default()
    }
}

/// Key under which the talkers to a data centre are drawn.
pub(crate) fn talker_key(centre: &CentreName) -> String {
    format!("talker/{centre}")
}

/// True when `name` is among the `count` highest of `names` for `key`.
///
/// Rendezvous hashing: instances that hold the same view agree without a message.
pub(crate) fn is_elected<'a>(
    key: &str,
    count: usize,
    name: &InstanceName,
    names: impl Iterator<Item = &'a InstanceName>,
) -> bool {
    let weight = |name: &InstanceName| foxledge_core::hash::rendezvous_weight(key, name);
    let own = (weight(name), name);
    let above = names.filter(|other| *other != name && (weight(other), *other) > own);
    above.take(count).count() < count
}
