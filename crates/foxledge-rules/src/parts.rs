//! Reading the tables of one part.

use std::str::FromStr;

use foxledge_core::{
    lists::{FlowMatch, FullAction, KeySpec, MemberSpec, PaidPriority, TargetSpec},
    names::{CentreName, MemberName, RuleName, ServiceAddress, ServiceName, TargetName},
    traffic::TrafficKind,
};
use foxledge_document::{Place, PlacedText, TableReader, read_document};

use crate::{
    draft::{
        KeyDraft, ListDraft, MemberDraft, RuleDraft, ServeDraft, ServiceDraft, TargetDraft,
        ThenDraft,
    },
    secrets::parse_secret,
    sources::{ListSources, ListSpot},
};

const U32_MAX: u64 = u32::MAX as u64;
const MAX_WEIGHT: u64 = 1_000_000;
const MAX_QUEUE: u64 = 1_000_000;
const MAX_SHARDS: u64 = 1000;
const MAX_SLOTS: u64 = 100_000;
const MAX_CONNECTIONS: u64 = 10_000_000;

/// Reads one part into the draft.
pub(crate) fn read_part(sources: &ListSources, part: usize, text: &str, draft: &mut ListDraft) {
    read_document(sources.notes(part), text, |root| {
        let mut reader = PartReader { sources, part, draft };
        reader.read(root);
    });
}

struct PartReader<'a> {
    sources: &'a ListSources,
    part: usize,
    draft: &'a mut ListDraft,
}

impl PartReader<'_> {
    fn read(&mut self, root: &TableReader<'_>) {
        for table in root.tables("rule") {
            let rule = self.read_rule(&table);
            self.draft.rules.push(rule);
        }
        for table in root.tables("service") {
            self.read_service(&table);
        }
        for table in root.tables("target") {
            self.read_target(&table);
        }
        for table in root.tables("member") {
            let member = self.read_member(&table);
            self.draft.members.extend(member);
        }
        for table in root.tables("key") {
            let key = self.read_key(&table);
            self.draft.keys.extend(key);
        }
    }

    fn read_rule(&self, table: &TableReader<'_>) -> RuleDraft {
        let notes = self.sources.notes(self.part);
        let findings_before = notes.count();
        let name = table.require("name", table.name("name"));
        let when = table.table("when");
        let addresses = when.names("address");
        let members = when.names("member");
        let centres = when.names("data_centre");
        let flow_match = FlowMatch {
            addresses: addresses.iter().map(|name| ServiceAddress::new(name.text)).collect(),
            members: members.iter().map(|name| MemberName::new(name.text)).collect(),
            data_centres: centres.iter().map(|name| CentreName::new(name.text)).collect(),
            kinds: self.read_kinds(&when),
        };
        when.finish();
        let then = self.read_then(table);
        table.finish();
        RuleDraft {
            spot: self.spot_of(table),
            name_spot: self.spot(table.place_of("name")),
            name: name.map(RuleName::new),
            when: flow_match,
            address_spots: self.spots(addresses),
            member_spots: self.spots(members),
            then,
            is_sound: notes.count() == findings_before,
        }
    }

    fn read_kinds(&self, when: &TableReader<'_>) -> Vec<TrafficKind> {
        let mut kinds = Vec::new();
        for word in when.texts("kind") {
            let spot = ListSpot { part: self.part, place: word.place };
            match TrafficKind::from_str(word.text) {
                Err(error) => self.sources.add(&spot, error.to_string()),
                Ok(kind) if kinds.contains(&kind) => {
                    self.sources.add(&spot, format!("\"{kind}\" stands twice"));
                }
                Ok(kind) => kinds.push(kind),
            }
        }
        kinds
    }

    fn read_then(&self, table: &TableReader<'_>) -> Option<ThenDraft> {
        let then = table.require("then", table.optional_table("then"))?;
        if then.switch("deny") == Some(true) {
            self.check_deny(&then);
            return Some(ThenDraft::Deny);
        }
        let service = then.require("service", then.name("service"));
        let priority = then.number_or("priority", 0..=PaidPriority::HIGHEST.0.into(), 0);
        let weight = then.number_or("weight", 1..=MAX_WEIGHT, 1);
        let member_limit = then.number_or("member_limit", 0..=U32_MAX, 0);
        let when_full = self.read_when_full(&then);
        then.finish();
        Some(ThenDraft::Serve(ServeDraft {
            service: ServiceName::new(service?),
            service_spot: self.spot(then.place_of("service")),
            priority: PaidPriority(priority as u8),
            weight: weight as u32,
            member_limit: member_limit as u32,
            when_full,
        }))
    }

    /// Whoever writes more beside `deny` expects it to have an effect.
    fn check_deny(&self, then: &TableReader<'_>) {
        for key in ["service", "priority", "weight", "member_limit", "when_full"] {
            if then.has(key) {
                then.note(key, "has no meaning beside deny");
            }
        }
        then.finish();
    }

    fn read_when_full(&self, then: &TableReader<'_>) -> FullAction {
        match then.text("when_full") {
            None | Some("queue") => FullAction::Queue,
            Some("refuse") => FullAction::Refuse,
            Some(_) => {
                then.note("when_full", "must be \"queue\" or \"refuse\"");
                FullAction::Queue
            }
        }
    }

    fn read_service(&mut self, table: &TableReader<'_>) {
        let name = table.require("name", table.name("name")).map(ServiceName::new);
        let addresses = table.names("addresses");
        table.require_items("addresses");
        let queue_limit = table.number_or("queue_limit", 0..=MAX_QUEUE, 400) as u32;
        let shards = table.number_or("shards", 1..=MAX_SHARDS, 1) as u32;
        for inner in table.tables("target") {
            let target = self.read_target_of(&inner, name.clone(), inner.place().clone());
            self.draft.targets.extend(target);
        }
        table.finish();
        let addresses = addresses.into_iter();
        let addresses =
            addresses.map(|name| (ServiceAddress::new(name.text), self.spot(name.place)));
        let service = ServiceDraft {
            spot: self.spot_of(table),
            name_spot: self.spot(table.place_of("name")),
            name,
            addresses: addresses.collect(),
            queue_limit,
            shards,
            shards_spot: self.spot(table.place_of("shards")),
        };
        self.draft.services.push(service);
    }

    fn read_target(&mut self, table: &TableReader<'_>) {
        let service = table.require("service", table.name("service")).map(ServiceName::new);
        let target = self.read_target_of(table, service, table.place_of("service"));
        self.draft.targets.extend(target);
    }

    fn read_target_of(
        &self,
        table: &TableReader<'_>,
        service: Option<ServiceName>,
        service_place: Place,
    ) -> Option<TargetDraft> {
        let name = table.require("name", table.name("name"));
        let address = table.require("address", table.address("address"));
        let incarnation = table.require("incarnation", table.number("incarnation", 1..=u64::MAX));
        let data_centre = table.require("data_centre", table.name("data_centre"));
        let slots = table.number_or("slots", 1..=MAX_SLOTS, 2) as u32;
        let connections = table.number_or("connections", 1..=MAX_CONNECTIONS, 2000) as u32;
        let draining = table.switch("draining").unwrap_or(false);
        table.finish();
        if address.is_some_and(|address| address.ip().is_unspecified()) {
            table.note("address", "must name one IP number");
        }
        let target = TargetSpec {
            name: TargetName::new(name?),
            address: address?,
            incarnation: incarnation?,
            data_centre: CentreName::new(data_centre?),
            slots,
            connections,
            draining,
        };
        Some(TargetDraft {
            name_spot: self.spot(table.place_of("name")),
            service: service?,
            service_spot: self.spot(service_place),
            target,
            address_spot: self.spot(table.place_of("address")),
        })
    }

    fn read_member(&self, table: &TableReader<'_>) -> Option<MemberDraft> {
        let name = table.require("name", table.name("name"));
        let secret = match table.text("secret") {
            Some(text) => self.read_secret(table, text).unwrap_or_default(),
            None => Vec::new(),
        };
        table.finish();
        let member = MemberSpec { name: MemberName::new(name?), secret };
        Some(MemberDraft { spot: self.spot(table.place_of("name")), member })
    }

    fn read_key(&self, table: &TableReader<'_>) -> Option<KeyDraft> {
        let id = table.require("id", table.number("id", 1..=U32_MAX));
        let secret = table.require("secret", table.text("secret"));
        let secret = secret.and_then(|text| self.read_secret(table, text));
        table.finish();
        let key = KeySpec { id: id? as u32, secret: secret? };
        Some(KeyDraft { spot: self.spot(table.place_of("id")), key })
    }

    fn read_secret(&self, table: &TableReader<'_>, text: &str) -> Option<Vec<u8>> {
        match parse_secret(text) {
            Ok(secret) => Some(secret),
            Err(fault) => {
                table.note("secret", fault);
                None
            }
        }
    }

    fn spots(&self, names: Vec<PlacedText<'_>>) -> Vec<ListSpot> {
        names.into_iter().map(|name| self.spot(name.place)).collect()
    }

    fn spot(&self, place: Place) -> ListSpot {
        ListSpot { part: self.part, place }
    }

    fn spot_of(&self, table: &TableReader<'_>) -> ListSpot {
        self.spot(table.place().clone())
    }
}
