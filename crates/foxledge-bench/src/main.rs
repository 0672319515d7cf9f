//! `foxledge-bench`: measures the desk's policy in virtual time, and its cost.

use std::{fs, path::PathBuf};

use anyhow::{Context, Result, anyhow};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use foxledge_bench::{
    cost::{cost_figures, cost_table, memory_figures, memory_table},
    figures::figure_line,
    fleet::{FleetChoice, fleet_table, load_by_name, mishap_by_name, run_fleet},
    flows::{FlowChoice, flow_plans, flow_table, run_flows},
    matrix::{matrix_rows, matrix_table, parse_plan, run_matrix, write_csv, write_plots},
    outage::{CallerTiming, outage_table},
    sweep::{SweepChoice, run_sweep, sweep_plans, sweep_table},
};

/// Longest time between two copies of a caller's data, in milliseconds.
const LONGEST_RESEND_MS: u64 = 1_600;

fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("sweep", matches)) => sweep(matches),
        Some(("cost", matches)) => cost(matches),
        Some(("fleet", matches)) => fleet(matches),
        Some(("flows", matches)) => flows(matches),
        Some(("matrix", matches)) => matrix(matches),
        Some(("outage", matches)) => {
            outage(matches);
            Ok(())
        }
        _ => Ok(()),
    }
}

fn command() -> Command {
    Command::new("foxledge-bench")
        .version(clap::crate_version!())
        .about("Measures the desk's policy in virtual time, and its cost")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(sweep_command())
        .subcommand(cost_command())
        .subcommand(fleet_command())
        .subcommand(flows_command())
        .subcommand(matrix_command())
        .subcommand(outage_command())
}

fn sweep_command() -> Command {
    Command::new("sweep")
        .about("Runs the workloads in virtual time; two runs of one seed agree to the digit")
        .arg(choice_arg("service", "Service, such as auction-desk; all without"))
        .arg(choice_arg("variant", "Variant, such as plain or slow-target; all without"))
        .arg(choice_arg("place", "Where work is admitted, such as service-home; all without"))
        .arg(
            choice_arg("level", "Load relative to what the slots can carry; 0.5 to 2 without")
                .value_parser(value_parser!(f64)),
        )
        .arg(number_arg("seconds", "0", "Virtual seconds of each run; 0 is the workload's own"))
        .arg(number_arg("seed", "1", "Seed of arrivals and choices"))
        .arg(number_arg("threads", "4", "Runs made at the same time"))
        .arg(json_arg())
}

fn cost_command() -> Command {
    Command::new("cost")
        .about("Takes processor time and memory of one desk")
        .arg(number_arg("rounds", "20000", "Requests per figure"))
        .arg(number_arg("seed", "1", "Seed of the desk's choices"))
        .arg(json_arg())
}

fn fleet_command() -> Command {
    Command::new("fleet")
        .about("Runs a workload over real processes on loopback")
        .arg(text_arg("workload", "lakeshore", "lakeshore or berovo"))
        .arg(
            text_arg("level", "0.5", "Load relative to what the desk's slots can carry")
                .value_parser(value_parser!(f64)),
        )
        .arg(text_arg(
            "mishap",
            "none",
            "What happens halfway: none, kill, freeze, replace-all, platform-down, cut-halves, \
             drain-intake, flood",
        ))
        .arg(number_arg("instances", "3", "Instances in each data centre"))
        .arg(number_arg("seconds", "10", "How long callers send"))
        .arg(number_arg("seed", "1", "Seed of callers, fabrics and backend servers"))
        .arg(text_arg("settings", "", "TOML laid over the settings of every instance"))
        .arg(json_arg())
}

fn flows_command() -> Command {
    Command::new("flows")
        .about("Places flows in virtual time, by the product's policy and by others")
        .arg(choice_arg("policy", "Policy, such as least-loaded; all without"))
        .arg(choice_arg("variant", "What goes wrong, such as silent-servers; all without"))
        .arg(
            choice_arg("level", "Load relative to what the slots can carry; 0.22 and 0.9 without")
                .value_parser(value_parser!(f64)),
        )
        .arg(number_arg("seed", "1", "Seed of arrivals and choices"))
        .arg(number_arg("threads", "4", "Runs made at the same time"))
        .arg(json_arg())
}

fn matrix_command() -> Command {
    let path = |name: &'static str, help| {
        Arg::new(name).long(name).help(help).value_parser(value_parser!(PathBuf))
    };
    Command::new("matrix")
        .about("Switches the routers' mechanisms off one by one, pair by pair with one seed")
        .arg(
            Arg::new("plan")
                .value_name("FILE")
                .help("TOML: sites, variants, loads, mechanisms, first_seed, seeds")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(path("csv", "File that gets the rows as CSV"))
        .arg(path("plots", "Folder that gets a plot in SVG for each site, variant and load"))
        .arg(number_arg("threads", "8", "Runs made at the same time"))
        .arg(json_arg())
}

fn outage_command() -> Command {
    Command::new("outage")
        .about("Works out what callers lose to an outage of all instances, whatever these do")
        .arg(number_arg("deadline", "1000", "Milliseconds after which a caller gives up"))
        .arg(number_arg("answer", "25", "Milliseconds from a packet to its answer"))
        .arg(number_arg("first", "200", "Milliseconds until data is sent again; doubles"))
        .arg(
            Arg::new("outages")
                .long("outages")
                .value_name("MS")
                .help("Lengths of outages")
                .value_delimiter(',')
                .value_parser(value_parser!(u64))
                .default_value("500,1000,1500,2000,3000"),
        )
}

fn text_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

fn choice_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::Append).value_delimiter(',')
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default).value_parser(value_parser!(u64))
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .help("File, or - for the terminal, that gets the figures as JSON lines with command and seed")
        .value_parser(value_parser!(PathBuf))
}

fn sweep(matches: &ArgMatches) -> Result<()> {
    let choice = SweepChoice {
        services: words(matches, "service"),
        levels: matches.get_many("level").unwrap_or_default().copied().collect(),
        variants: words(matches, "variant"),
        places: words(matches, "place"),
        seconds: number(matches, "seconds"),
        seed: number(matches, "seed"),
    };
    let results = run_sweep(&sweep_plans(&choice), number(matches, "threads") as usize);
    print!("{}", sweep_table(&results));
    write_lines(matches, results.iter().map(|result| figure_line(choice.seed, result)))
}

fn cost(matches: &ArgMatches) -> Result<()> {
    let seed = number(matches, "seed");
    let figures = cost_figures(number(matches, "rounds"), seed);
    print!("{}", cost_table(&figures));
    let memory = memory_figures(seed)?;
    print!("\n{}", memory_table(&memory));
    let costs = figures.iter().map(|figure| figure_line(seed, figure));
    write_lines(matches, costs.chain(memory.iter().map(|figure| figure_line(seed, figure))))
}

fn fleet(matches: &ArgMatches) -> Result<()> {
    let choice = FleetChoice {
        load: load_by_name(&text(matches, "workload"))?,
        level: matches.get_one("level").copied().unwrap_or_default(),
        mishap: mishap_by_name(&text(matches, "mishap"))?,
        instances: number(matches, "instances") as usize,
        seconds: number(matches, "seconds"),
        seed: number(matches, "seed"),
        settings: text(matches, "settings"),
    };
    let figure = run_fleet(&choice)?;
    print!("{}", fleet_table(&figure));
    write_lines(matches, std::iter::once(figure_line(choice.seed, &figure)))
}

fn flows(matches: &ArgMatches) -> Result<()> {
    let choice = FlowChoice {
        policies: words(matches, "policy"),
        variants: words(matches, "variant"),
        levels: matches.get_many("level").unwrap_or_default().copied().collect(),
        seed: number(matches, "seed"),
    };
    let results = run_flows(&flow_plans(&choice), number(matches, "threads") as usize);
    print!("{}", flow_table(&results));
    write_lines(matches, results.iter().map(|result| figure_line(choice.seed, result)))
}

fn matrix(matches: &ArgMatches) -> Result<()> {
    let path = matches.get_one::<PathBuf>("plan").context("no plan")?;
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    let plan = parse_plan(&text)
        .map_err(|findings| anyhow!("{}: {}", path.display(), findings.join("\n")))?;
    let runs = plan.runs();
    let results = run_matrix(&runs, number(matches, "threads") as usize);
    let rows = matrix_rows(&plan, &runs, &results);
    print!("{}", matrix_table(&rows));
    if let Some(path) = matches.get_one::<PathBuf>("csv") {
        let file =
            fs::File::create(path).with_context(|| format!("can't write {}", path.display()))?;
        write_csv(&rows, file)?;
    }
    if let Some(folder) = matches.get_one::<PathBuf>("plots") {
        fs::create_dir_all(folder)?;
        for path in write_plots(&plan, &runs, &results, folder)? {
            println!("{}", path.display());
        }
    }
    let seed = plan.seeds.first().copied().unwrap_or_default();
    write_lines(matches, rows.iter().map(|row| figure_line(seed, row)))
}

fn outage(matches: &ArgMatches) {
    let timing = CallerTiming::new(number(matches, "deadline"), number(matches, "answer"))
        .doubling(number(matches, "first"), LONGEST_RESEND_MS);
    let outages: Vec<u64> = matches.get_many("outages").unwrap_or_default().copied().collect();
    print!("{}", outage_table(&timing, &outages));
}

fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn write_lines(matches: &ArgMatches, lines: impl Iterator<Item = Result<String>>) -> Result<()> {
    let Some(path) = matches.get_one::<PathBuf>("json") else {
        return Ok(());
    };
    let lines = lines.collect::<Result<Vec<_>>>()?;
    if path.as_os_str() == "-" {
        print!("{}", lines.concat());
        return Ok(());
    }
    fs::write(path, lines.concat()).with_context(|| format!("can't write {}", path.display()))
}

fn words(matches: &ArgMatches, name: &str) -> Vec<String> {
    matches.get_many::<String>(name).unwrap_or_default().cloned().collect()
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}
