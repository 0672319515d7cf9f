//! Settings files of the instances under test.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use toml::Table;

use super::ports::free_address;

/// `InstanceAddresses` is where one instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct InstanceAddresses {
    /// UDP, callers and backend servers.
    pub data: SocketAddr,
    /// UDP, other instances.
    pub peer: SocketAddr,
    /// TCP, control calls.
    pub control: SocketAddr,
    /// TCP, HTTP.
    pub admin: SocketAddr,
}

impl InstanceAddresses {
    /// Picks free addresses.
    pub fn pick() -> anyhow::Result<InstanceAddresses> {
        Ok(InstanceAddresses {
            data: free_address()?,
            peer: free_address()?,
            control: free_address()?,
            admin: free_address()?,
        })
    }
}

/// `SettingsPlan` is what differs between the settings of instances.
#[derive(Debug)]
pub struct SettingsPlan<'a> {
    /// The instance's name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Where it listens.
    pub listen: InstanceAddresses,
    /// Where it reads the platform.
    pub platform: SocketAddr,
    /// Control addresses of instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// Links to other instances, by the address that each stands in for.
    pub routes: BTreeMap<SocketAddr, SocketAddr>,
    /// Tables that go over the others, such as `[flow]`.
    pub more: &'a Table,
}

impl SettingsPlan<'_> {
    /// The settings as TOML text.
    pub fn text(&self) -> anyhow::Result<String> {
        let mut settings = Table::try_from(BaseSettings {
            instance: InstanceTable { name: self.name, data_centre: self.data_centre },
            listen: self.listen,
            platform: PlatformTable { addresses: [self.platform] },
            peers: PeerTable { seeds: &self.seeds },
        })?;
        if !self.routes.is_empty() {
            let routes = BTreeMap::from([("routes", &self.routes)]);
            settings.insert("trial".to_owned(), Table::try_from(routes)?.into());
        }
        lay_over(&mut settings, self.more);
        Ok(toml::to_string(&settings)?)
    }
}

fn lay_over(settings: &mut Table, more: &Table) {
    for (key, value) in more {
        match (settings.get_mut(key), value) {
            (Some(toml::Value::Table(below)), toml::Value::Table(above)) => lay_over(below, above),
            _ => _ = settings.insert(key.clone(), value.clone()),
        }
    }
}

#[derive(Serialize)]
struct BaseSettings<'a> {
    instance: InstanceTable<'a>,
    listen: InstanceAddresses,
    platform: PlatformTable,
    peers: PeerTable<'a>,
}

#[derive(Serialize)]
struct InstanceTable<'a> {
    name: &'a str,
    data_centre: &'a str,
}

#[derive(Serialize)]
struct PlatformTable {
    addresses: [SocketAddr; 1],
}

#[derive(Serialize)]
struct PeerTable<'a> {
    seeds: &'a [SocketAddr],
}
