//! `foxledged`: the daemon's command line.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, Command, value_parser};
use foxledge_daemon::daemon::Daemon;
use foxledge_settings::load_settings;
use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return ExitCode::FAILURE;
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprint!("{findings}");
            eprintln!("foxledged: {} findings, nothing started", findings.len());
            return ExitCode::FAILURE;
        }
    };
    if matches.get_flag("check") {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    start_log(settings.log.level);
    match Daemon::start(settings).and_then(|mut daemon| daemon.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("foxledged: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("foxledged")
        .version(clap::crate_version!())
        .about("Layer-4 load balancer for marketplaces: the daemon")
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .help("Settings in TOML; docs/examples/foxledged.toml shows every key")
                .value_parser(value_parser!(PathBuf))
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, report every finding and exit")
                .action(ArgAction::SetTrue),
        )
}

fn start_log(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        // Other crates' lines carry no part's prefix and would only be noise.
        .add_filter_allow_str("foxledge")
        .build();
    // The logger is set once, here.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
