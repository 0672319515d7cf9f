//! Backend servers grouped by service and data centre.

use std::collections::HashMap;

use foxledge_core::names::{CentreName, ServiceName};
use foxledge_load::ServiceKey;

/// The backend servers of one service in one data centre.
#[derive(Clone, Debug)]
pub(crate) struct BackendGroup {
    /// Index of the service.
    pub service: usize,
    /// The data centre.
    pub data_centre: CentreName,
    /// Indexes of the backend servers.
    pub backends: Vec<usize>,
    /// Incremented whenever the backend servers change.
    pub version: u64,
}

/// A service with its groups.
#[derive(Clone, Debug)]
pub(crate) struct GroupedService {
    /// Name of the service.
    pub name: ServiceName,
    /// Key of the service in load messages.
    pub key: ServiceKey,
    /// Indexes of its groups.
    pub groups: Vec<usize>,
}

/// All groups seen so far. Indexes of groups and services stay valid.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupTable {
    services: Vec<GroupedService>,
    groups: Vec<BackendGroup>,
    by_name: HashMap<ServiceName, usize>,
}

impl GroupTable {
    /// Adds a backend server to its group and returns the group's index.
    pub fn add(&mut self, service: &ServiceName, centre: &CentreName, backend: usize) -> usize {
        let group = self.find_or_add(service, centre);
        self.groups[group].backends.push(backend);
        self.groups[group].version += 1;
        group
    }

    /// Removes a backend server from its group.
    pub fn remove(&mut self, group: usize, backend: usize) {
        if let Some(group) = self.groups.get_mut(group) {
            group.backends.retain(|other| *other != backend);
            group.version += 1;
        }
    }

    /// Returns all services, by index.
    pub fn services(&self) -> &[GroupedService] {
        &self.services
    }

    /// Returns all groups, by index.
    pub fn groups(&self) -> &[BackendGroup] {
        &self.groups
    }

    /// Returns the index of a service, or `None` if it never had a backend server.
    pub fn service_index(&self, service: &str) -> Option<usize> {
        self.by_name.get(service).copied()
    }

    /// Returns the group of a service in a data centre.
    pub fn group_in(&self, service: usize, centre: &str) -> Option<usize> {
        let groups = &self.services.get(service)?.groups;
        groups.iter().copied().find(|group| self.groups[*group].data_centre.as_str() == centre)
    }

    fn find_or_add(&mut self, service: &ServiceName, centre: &CentreName) -> usize {
        let service = match self.by_name.get(service) {
            Some(index) => *index,
            None => {
                let (name, key) = (service.clone(), ServiceKey::from_name(service));
                self.by_name.insert(service.clone(), self.services.len());
                self.services.push(GroupedService { name, key, groups: Vec::new() });
                self.services.len() - 1
            }
        };
        if let Some(group) = self.group_in(service, centre) {
            return group;
        }
        let group = self.groups.len();
        let data_centre = centre.clone();
        self.groups.push(BackendGroup { service, data_centre, backends: Vec::new(), version: 0 });
        self.services[service].groups.push(group);
        group
    }
}

/// A counter for each group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupCounts {
    counts: Vec<u32>,
    total: u32,
}

impl GroupCounts {
    /// Adds one to the count of a group.
    pub fn add(&mut self, group: usize) {
        if group >= self.counts.len() {
            self.counts.resize(group + 1, 0);
        }
        self.counts[group] += 1;
        self.total += 1;
    }

    /// Subtracts one from the count of a group.
    pub fn remove(&mut self, group: usize) {
        if let Some(count) = self.counts.get_mut(group).filter(|count| **count > 0) {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Returns the count of a group.
    pub fn count_in(&self, group: usize) -> u32 {
        self.counts.get(group).copied().unwrap_or(0)
    }

    /// Returns the sum over all groups.
    pub fn total(&self) -> u32 {
        self.total
    }
}
