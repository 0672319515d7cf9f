//! Which runs a matrix holds, read from a plan file and checked.

use foxledge_flows::RouterMechanism;
use serde::Deserialize;

use crate::flows::{FlowPlan, FlowVariant, PolicyKind, sites::SitePlan};

/// Most runs of one matrix: some minutes on eight cores.
const MOST_RUNS: usize = 20_000;

/// `MatrixPlan` is the checked content of a plan file.
#[derive(Clone, Debug, PartialEq)]
pub struct MatrixPlan {
    /// Sites.
    pub sites: Vec<&'static SitePlan>,
    /// What goes wrong.
    pub variants: Vec<FlowVariant>,
    /// Loads as parts of each site's own.
    pub loads: Vec<f64>,
    /// Mechanisms to do without; runs with all of them are always made.
    pub mechanisms: Vec<RouterMechanism>,
    /// Seeds, each for a run and its twins.
    pub seeds: Vec<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    sites: Vec<String>,
    variants: Vec<String>,
    loads: Vec<f64>,
    mechanisms: Vec<String>,
    first_seed: u64,
    seeds: u64,
}

/// Reads a plan file.
///
/// # Errors
///
/// Every finding, one a line, when the text isn't TOML of that form or names what isn't
/// there.
pub fn parse_plan(text: &str) -> Result<MatrixPlan, Vec<String>> {
    let file: PlanFile = toml::from_str(text).map_err(|error| vec![error.to_string()])?;
    let mut findings = Vec::new();
    let sites = known(&mut findings, "site", &file.sites, SitePlan::by_name);
    let variants = known(&mut findings, "variant", &file.variants, FlowVariant::by_name);
    let mechanisms =
        known(&mut findings, "mechanism", &file.mechanisms, RouterMechanism::from_name);
    for load in &file.loads {
        if !(0.1..=20.0).contains(load) {
            findings.push(format!("load {load} isn't between 0.1 and 20"));
        }
    }
    let lists = [
        ("sites", file.sites.len()),
        ("variants", file.variants.len()),
        ("loads", file.loads.len()),
    ];
    for (name, _) in lists.iter().filter(|(_, count)| *count == 0) {
        findings.push(format!("{name} is empty"));
    }
    if file.seeds == 0 {
        findings.push("seeds is 0".to_owned());
    }
    let last = file.first_seed.saturating_add(file.seeds);
    let plan = MatrixPlan {
        sites,
        variants,
        loads: file.loads,
        mechanisms,
        seeds: (file.first_seed..last).collect(),
    };
    if plan.count() > MOST_RUNS {
        findings.push(format!("{} runs, {MOST_RUNS} at most", plan.count()));
    }
    if findings.is_empty() { Ok(plan) } else { Err(findings) }
}

fn known<T>(
    findings: &mut Vec<String>,
    what: &str,
    names: &[String],
    by_name: impl Fn(&str) -> Option<T>,
) -> Vec<T> {
    let mut found = Vec::new();
    for name in names {
        match by_name(name) {
            Some(one) => found.push(one),
            None => findings.push(format!("no {what} {name}")),
        }
    }
    found
}

impl MatrixPlan {
    fn count(&self) -> usize {
        let cells = self.sites.len() * self.variants.len() * self.loads.len();
        cells.saturating_mul(self.seeds.len()).saturating_mul(self.mechanisms.len() + 1)
    }

    /// The runs: for each site, variant and load first those with all mechanisms, then those
    /// without each, seed by seed.
    pub fn runs(&self) -> Vec<FlowPlan> {
        let mut runs = Vec::new();
        for site in &self.sites {
            for variant in &self.variants {
                for load in &self.loads {
                    runs.extend(self.cells(site, *variant, *load));
                }
            }
        }
        runs
    }

    fn cells(&self, site: &'static SitePlan, variant: FlowVariant, load: f64) -> Vec<FlowPlan> {
        let without = [None].into_iter().chain(self.mechanisms.iter().copied().map(Some));
        let plan = |without, seed| FlowPlan {
            site,
            without,
            policy: PolicyKind::LeastLoaded,
            variant,
            level: site.level * load,
            seed,
        };
        without
            .flat_map(|without| self.seeds.iter().map(move |seed| plan(without, *seed)))
            .collect()
    }
}
