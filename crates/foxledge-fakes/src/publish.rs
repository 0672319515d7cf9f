//! What operators publish: a list made from plain values, and the `publish` subcommand.

use std::{fs, net::SocketAddr, path::PathBuf};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::{
    arguments::address_arg,
    platform::orders::{PartText, PlatformClient},
};

/// The command line of `foxledge-fake publish`.
pub fn command() -> Command {
    Command::new("publish")
        .about("Publishes list parts from files, in the order given")
        .arg(address_arg("control", "Control port of the platform").required(true))
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("TOML files; a part is named by its file"),
        )
}

/// Runs `foxledge-fake publish`.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let control: SocketAddr = *matches.get_one("control").context("control")?;
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let parts = files.map(read_part).collect::<anyhow::Result<Vec<_>>>()?;
    let revision = PlatformClient::new(control).publish_list(parts)?;
    println!("revision {revision}");
    Ok(())
}

fn read_part(path: &PathBuf) -> anyhow::Result<PartText> {
    let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    Ok(PartText { name, text })
}

/// `ListPlan` is a whole list; change it and publish it again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPlan {
    /// Rules in order.
    pub rules: Vec<RulePlan>,
    /// Services with their targets.
    pub services: Vec<ServicePlan>,
    /// Members.
    pub members: Vec<MemberPlan>,
    /// Keys.
    pub keys: Vec<KeyPlan>,
    /// Parts that are published as they are, after the others.
    pub more: Vec<PartText>,
}

impl ListPlan {
    /// The parts: `keys`, `members`, one part for each service, `rules`, then the others.
    pub fn parts(&self) -> anyhow::Result<Vec<PartText>> {
        let mut parts = vec![
            part_text("keys", &KeyPart { key: &self.keys })?,
            part_text("members", &MemberPart { member: &self.members })?,
        ];
        for service in &self.services {
            let name = format!("service-{}", service.name);
            parts.push(part_text(&name, &ServicePart { service: [service] })?);
        }
        parts.push(part_text("rules", &RulePart { rule: &self.rules })?);
        parts.extend(self.more.iter().cloned());
        Ok(parts)
    }

    /// The service of that name.
    pub fn service_mut(&mut self, name: &str) -> Option<&mut ServicePlan> {
        self.services.iter_mut().find(|service| service.name == name)
    }

    /// The target of that name, of any service.
    pub fn target_mut(&mut self, name: &str) -> Option<&mut TargetPlan> {
        let mut targets = self.services.iter_mut().flat_map(|service| &mut service.targets);
        targets.find(|target| target.name == name)
    }
}

fn part_text(name: &str, part: &impl Serialize) -> anyhow::Result<PartText> {
    let text = toml::to_string(part).with_context(|| format!("part {name}"))?;
    Ok(PartText { name: name.to_owned(), text })
}

#[derive(Serialize)]
struct KeyPart<'a> {
    key: &'a [KeyPlan],
}

#[derive(Serialize)]
struct MemberPart<'a> {
    member: &'a [MemberPlan],
}

#[derive(Serialize)]
struct ServicePart<'a> {
    service: [&'a ServicePlan; 1],
}

#[derive(Serialize)]
struct RulePart<'a> {
    rule: &'a [RulePlan],
}

/// `KeyPlan` is one published key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyPlan {
    /// Its number.
    pub id: u32,
    /// 64 hex digits.
    pub secret: String,
}

impl KeyPlan {
    /// Makes a key whose secret follows from its number; good for tests only.
    pub fn numbered(id: u32) -> KeyPlan {
        KeyPlan { id, secret: format!("{:064x}", u128::from(id) * 0x0123_4567_89ab_cdef + 0xf0) }
    }
}

/// `MemberPlan` is one published member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberPlan {
    /// Its name.
    pub name: String,
    /// Its callers' secret as hex digits; none asks for no credential.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub secret: Option<String>,
}

impl MemberPlan {
    /// Makes a member without a secret.
    pub fn open(name: &str) -> MemberPlan {
        MemberPlan { name: name.to_owned(), secret: None }
    }
}

/// `ServicePlan` is one published service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// Addresses that may lead to it.
    pub addresses: Vec<String>,
    /// Most requests that wait at one home.
    pub queue_limit: u32,
    /// Equal shards.
    pub shards: u32,
    /// Its targets.
    #[serde(rename = "target")]
    pub targets: Vec<TargetPlan>,
}

impl ServicePlan {
    /// Makes a service of one address, without targets.
    pub fn new(name: &str, address: &str) -> ServicePlan {
        ServicePlan {
            name: name.to_owned(),
            addresses: vec![address.to_owned()],
            queue_limit: 400,
            shards: 1,
            targets: Vec::new(),
        }
    }
}

/// `TargetPlan` is one published backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TargetPlan {
    /// Its name.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Changes when another process takes the address over.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: String,
    /// Requests at once.
    pub slots: u32,
    /// Connections at once.
    pub connections: u32,
    /// Published as leaving.
    pub draining: bool,
}

/// `RulePlan` is one published rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RulePlan {
    /// Its name.
    pub name: String,
    /// What it matches.
    pub when: WhenPlan,
    /// What it decides.
    pub then: ThenPlan,
}

/// `WhenPlan` is what a rule matches; an empty list matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WhenPlan {
    /// Service addresses.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub address: Vec<String>,
    /// Members.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub member: Vec<String>,
    /// Data centres.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub data_centre: Vec<String>,
    /// Kinds of traffic.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kind: Vec<String>,
}

/// `ThenPlan` is what a rule decides; without a value the list's default holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ThenPlan {
    /// Refuse.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deny: Option<bool>,
    /// The service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Paid priority, 0 to 7.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Share within the priority.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Most requests of one member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member_limit: Option<u32>,
    /// `queue` or `refuse`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub when_full: Option<String>,
}

impl RulePlan {
    /// Makes a rule that serves everything for `address` by `service`.
    pub fn serve(name: &str, address: &str, service: &str) -> RulePlan {
        RulePlan {
            name: name.to_owned(),
            when: WhenPlan { address: vec![address.to_owned()], ..WhenPlan::default() },
            then: ThenPlan { service: Some(service.to_owned()), ..ThenPlan::default() },
        }
    }

    /// Makes a rule that refuses everything.
    pub fn deny_rest(name: &str) -> RulePlan {
        RulePlan {
            name: name.to_owned(),
            when: WhenPlan::default(),
            then: ThenPlan { deny: Some(true), ..ThenPlan::default() },
        }
    }

    /// Restricts the rule to some kinds of traffic.
    pub fn kinds(mut self, kinds: &[&str]) -> RulePlan {
        self.when.kind = kinds.iter().map(|kind| (*kind).to_owned()).collect();
        self
    }

    /// Restricts the rule to some members.
    pub fn members(mut self, members: &[&str]) -> RulePlan {
        self.when.member = members.iter().map(|member| (*member).to_owned()).collect();
        self
    }

    /// Sets the paid priority.
    pub fn priority(mut self, priority: u8) -> RulePlan {
        self.then.priority = Some(priority);
        self
    }
}
