//! `foxledge-soak`: runs seeds one after the other and reports which broke a promise.

use std::{path::PathBuf, process::ExitCode};

use anyhow::{Context, Result};
use clap::{Arg, Command, value_parser};
use foxledge_soak::{BuildSet, FaultRange, SoakOptions, run_soak};

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken) => {
            println!("{broken} seeds broke a promise");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("foxledge-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<usize> {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let binary = match matches.get_one::<PathBuf>("binary") {
        Some(binary) => binary.clone(),
        None => std::env::current_exe()?.with_file_name("foxledged"),
    };
    let builds = match matches.get_one::<PathBuf>("other-binary") {
        Some(other) => BuildSet::single(binary).with_binary(other.clone()),
        None => BuildSet::single(binary),
    };
    let range = match matches.get_one::<String>("range").map(String::as_str) {
        Some("control") => FaultRange::Control,
        Some("entries") => FaultRange::Entries,
        Some("evacuations") => FaultRange::Evacuations,
        Some("restores") => FaultRange::Restores,
        Some("replicas") => FaultRange::Replicas,
        Some("bursts") => FaultRange::Bursts,
        _ => FaultRange::Packets,
    };
    let mut broken = 0;
    for seed in number("seed")..number("seed") + number("seeds") {
        let options = SoakOptions::new(seed)
            .seconds(number("seconds"))
            .instances(number("instances") as usize)
            .fault_every_ms(number("every"))
            .range(range);
        let report = run_soak(options, &builds).with_context(|| format!("seed {seed}"))?;
        println!("{report}");
        broken += usize::from(!report.breaches.is_empty());
    }
    Ok(broken)
}

fn command() -> Command {
    Command::new("foxledge-soak")
        .version(clap::crate_version!())
        .about("Runs real instances among stand-ins and faults, and checks the promises")
        .arg(number_argument("seed", "First seed", "1"))
        .arg(number_argument("seeds", "Number of seeds", "1"))
        .arg(number_argument("seconds", "Time with faults for each seed", "20"))
        .arg(number_argument("instances", "Instances in each of the two data centres", "3"))
        .arg(number_argument("every", "Mean milliseconds between faults, 0 for none", "700"))
        .arg(
            Arg::new("range")
                .long("range")
                .value_name("NAME")
                .default_value("packets")
                .help("Faults that come; seeds of before this option was made are of control")
                .value_parser([
                    "control",
                    "packets",
                    "entries",
                    "evacuations",
                    "restores",
                    "replicas",
                    "bursts",
                ]),
        )
        .arg(
            Arg::new("other-binary")
                .long("other-binary")
                .value_name("FILE")
                .help("Another build of the daemon, in turns with the first at each start")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_name("FILE")
                .help("The daemon; by default foxledged beside this program")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn number_argument(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}
