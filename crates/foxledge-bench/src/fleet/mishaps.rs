//! What goes wrong in the middle of a run.

use std::{thread, time::Duration};

use anyhow::{Result, bail};
use foxledge_fakes::{harness::TestFleet, platform::orders::PlatformHealth};

/// How long a frozen instance or a cut lasts.
const MISHAP_SPAN: Duration = Duration::from_secs(5);
/// How long a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// `FleetMishap` is one fault, or one planned change, during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetMishap {
    /// Nothing.
    None,
    /// One instance of the first data centre is killed.
    Kill,
    /// One instance of the first data centre is frozen for 5 s.
    Freeze,
    /// Every instance of the first data centre is replaced, one by one.
    ReplaceAll,
    /// The platform refuses every call until the end.
    PlatformDown,
    /// Half the instances of the first data centre are cut from the others for 5 s.
    CutHalves,
    /// Every target of the upload service in the first data centre is published as draining.
    DrainIntake,
    /// The last member sends ten times its share; nothing fails.
    Flood,
}

/// Every mishap with its word.
pub const MISHAPS: [(&str, FleetMishap); 8] = [
    ("none", FleetMishap::None),
    ("kill", FleetMishap::Kill),
    ("freeze", FleetMishap::Freeze),
    ("replace-all", FleetMishap::ReplaceAll),
    ("platform-down", FleetMishap::PlatformDown),
    ("cut-halves", FleetMishap::CutHalves),
    ("drain-intake", FleetMishap::DrainIntake),
    ("flood", FleetMishap::Flood),
];

/// The mishap of that name.
pub fn mishap_by_name(name: &str) -> Result<FleetMishap> {
    match MISHAPS.iter().find(|(word, _)| *word == name) {
        Some((_, mishap)) => Ok(*mishap),
        None => bail!("no mishap {name}"),
    }
}

impl FleetMishap {
    /// The word on the command line.
    pub fn name(self) -> &'static str {
        MISHAPS.iter().find(|(_, mishap)| *mishap == self).map_or("", |(word, _)| word)
    }

    /// Lets it happen; returns when it is over.
    pub fn happen(self, fleet: &mut TestFleet, centre: &str) -> Result<()> {
        match self {
            FleetMishap::None | FleetMishap::Flood => Ok(()),
            FleetMishap::Kill => fleet.kill_instance(instances_of(fleet, centre)[0]),
            FleetMishap::Freeze => freeze(fleet, centre),
            FleetMishap::ReplaceAll => {
                for index in instances_of(fleet, centre) {
                    fleet.replace_instance(index, STOP_LIMIT)?;
                }
                Ok(())
            }
            FleetMishap::PlatformDown => fleet.platform.client.set_health(PlatformHealth::Down),
            FleetMishap::DrainIntake => drain_intake(fleet, centre),
            FleetMishap::CutHalves => cut_halves(fleet, centre),
        }
    }
}

fn instances_of(fleet: &TestFleet, centre: &str) -> Vec<usize> {
    (0..fleet.instances.len())
        .filter(|&index| fleet.instances[index].data_centre == centre)
        .collect()
}

fn freeze(fleet: &mut TestFleet, centre: &str) -> Result<()> {
    let index = instances_of(fleet, centre)[0];
    fleet.instances[index].process.freeze()?;
    thread::sleep(MISHAP_SPAN);
    fleet.instances[index].process.wake()
}

fn drain_intake(fleet: &mut TestFleet, centre: &str) -> Result<()> {
    // The upload service is the second one of every workload.
    let Some(service) = fleet.list.services.get_mut(1) else { bail!("no upload service") };
    for target in service.targets.iter_mut().filter(|target| target.data_centre == centre) {
        target.draining = true;
    }
    fleet.publish().map(drop)
}

fn cut_halves(fleet: &mut TestFleet, centre: &str) -> Result<()> {
    let Some(links) = &fleet.links else { bail!("the fleet isn't routed") };
    let names: Vec<_> = instances_of(fleet, centre)
        .into_iter()
        .map(|index| fleet.instances[index].name.clone())
        .collect();
    let (left, right) = names.split_at(names.len() / 2);
    let pairs: Vec<_> = left.iter().flat_map(|l| right.iter().map(move |r| (l, r))).collect();
    for (one, other) in &pairs {
        links.cut(one, other)?;
    }
    thread::sleep(MISHAP_SPAN);
    for (one, other) in &pairs {
        links.heal(one, other)?;
    }
    Ok(())
}
