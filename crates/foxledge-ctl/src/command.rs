//! The definition of the command line.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
};

use clap::{
    Arg, ArgAction, ArgMatches, Command,
    builder::{NonEmptyStringValueParser, PossibleValuesParser},
    value_parser,
};
use foxledge_core::traffic::TrafficKind;

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  a check has findings, or the daemon declined
  2  the command line is wrong
  3  the command could not be carried out, for instance because the daemon doesn't answer";

/// The format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for operators.
    Text,
    /// JSON for programs.
    Json,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("foxledgectl")
        .version(clap::crate_version!())
        .about("Checks foxledge's files and asks its daemons")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(format_argument())
        .subcommand(check_command())
        .subcommand(with_daemon_arguments(status_command()))
        .subcommand(with_daemon_arguments(explain_command()))
        .subcommand(with_daemon_arguments(audit_command()))
        .subcommand(with_daemon_arguments(drain_command()))
        .subcommand(packets_command())
        .subcommand(trace_command())
        .subcommand(losses_command())
}

/// Returns the output format that the command line requests.
pub fn output_format(matches: &ArgMatches) -> OutputFormat {
    match matches.get_one::<String>("format").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Text,
    }
}

fn format_argument() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .help("How to write the report")
        .value_parser(["text", "json"])
        .default_value("text")
        .display_order(usize::MAX)
        .global(true)
}

fn check_command() -> Command {
    let settings = Command::new("settings")
        .about("Check a daemon's settings")
        .arg(files_argument("A daemon's settings file").num_args(1));
    let rules = Command::new("rules")
        .about("Check a rule list")
        .arg(files_argument("The parts of the list, in their order").num_args(1..));
    let packets = Command::new("packets")
        .about("Check the settings of an instance that routes packets")
        .arg(files_argument("An instance's settings file").num_args(1));
    Command::new("check")
        .about("Check files offline and report every finding")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(settings)
        .subcommand(rules)
        .subcommand(packets)
}

fn files_argument(help: &'static str) -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
        .required(true)
}

fn status_command() -> Command {
    Command::new("status").about("Show a daemon's state, peers, rule list, homes and parts")
}

fn explain_command() -> Command {
    let kinds = PossibleValuesParser::new(TrafficKind::ALL.map(TrafficKind::as_str));
    Command::new("explain")
        .about("Show which rule matches a flow, where the flow goes, and why")
        .arg(required_argument("address", "ADDRESS", "Service address that the caller wants"))
        .arg(required_argument("member", "MEMBER", "Member that the flow belongs to"))
        .arg(required_argument("kind", "KIND", "Kind of traffic").value_parser(kinds))
        .arg(
            Arg::new("flow")
                .long("flow")
                .value_name("HEX")
                .help("Also show what was decided for the flow with this id")
                .value_parser(parse_hex),
        )
}

fn required_argument(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help).required(true)
}

fn parse_hex(text: &str) -> Result<u64, String> {
    let digits = text.strip_prefix("0x").unwrap_or(text);
    u64::from_str_radix(digits, 16).map_err(|_| "must be up to 16 hex digits".to_owned())
}

fn audit_command() -> Command {
    Command::new("audit")
        .about("Show who changed what, when and why")
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("NUMBER")
                .help("Only entries numbered above this")
                .value_parser(value_parser!(u64))
                .default_value("0"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .help("Only the newest so many of them")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("100"),
        )
        .arg(
            Arg::new("follow")
                .long("follow")
                .help("Go on with new entries until interrupted")
                .action(ArgAction::SetTrue),
        )
}

fn drain_command() -> Command {
    Command::new("drain").about("Ask a daemon to leave: it takes nothing new, finishes and stops")
}

fn packets_command() -> Command {
    let explain = Command::new("explain")
        .about("Show where a flow would go now, why, and what its token names")
        .arg(endpoint_argument("caller", "The caller's address and port"))
        .arg(endpoint_argument("service", "The address and port that the caller wants"))
        .arg(
            Arg::new("token")
                .long("token")
                .value_name("NUMBER")
                .help("The token in packets of the open flow")
                .value_parser(value_parser!(u32))
                .default_value("0"),
        );
    Command::new("packets")
        .about("Ask an instance that routes packets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("IP:PORT")
                .help("The instance's address for operators")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
        .subcommand(Command::new("status").about("Show its list, peers and backend servers"))
        .subcommand(Command::new("audit").about("Show what changed, when and why"))
        .subcommand(explain)
}

fn endpoint_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .value_parser(value_parser!(SocketAddrV4))
        .required(true)
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Print one flow's story from log lines of all instances, in order")
        .arg(
            Arg::new("flow")
                .value_name("FLOW")
                .help("The caller's IP:PORT, or CALLER>SERVICE as in the log lines")
                .value_parser(NonEmptyStringValueParser::new())
                .required(true),
        )
        .arg(
            Arg::new("at")
                .long("at")
                .value_name("MILLISECONDS")
                .help("When the request failed, as in at_ms; adds starts and stops of instances")
                .value_parser(value_parser!(u64)),
        )
        .arg(logs_argument())
}

fn losses_command() -> Command {
    Command::new("losses")
        .about("Sum up what callers lost, by second, outcome and cause, from log lines")
        .arg(logs_argument())
}

fn logs_argument() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .help("Log files of any instances; standard input without any")
        .value_parser(value_parser!(PathBuf))
        .num_args(0..)
}

/// Adds the arguments of every command that calls a daemon.
fn with_daemon_arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("IP:PORT")
                .help("The daemon's control address")
                .value_parser(value_parser!(SocketAddr))
                .required(true),
        )
        .arg(
            Arg::new("wait_ms")
                .long("wait-ms")
                .value_name("MS")
                .help("How long to wait for an answer, in milliseconds")
                .value_parser(value_parser!(u64).range(1..=600_000))
                .default_value("5000"),
        )
        .arg(file_argument("ca", "PEM file of the authorities to trust; turns TLS on"))
        .arg(file_argument("certificate", "PEM file of the own certificate chain").requires("key"))
        .arg(file_argument("key", "PEM file of the own private key").requires("certificate"))
}

fn file_argument(name: &'static str, help: &'static str) -> Arg {
    let argument = Arg::new(name)
        .long(name)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf));
    if name == "ca" { argument } else { argument.requires("ca") }
}
