//! The help texts of `foxledgectl` and its errors on invalid command lines.

mod common;

use common::run_to_text;
use expect_test::expect;

#[test]
fn prints_the_help_of_the_tool() {
    expect![[r#"
        Checks foxledge's files and asks its daemons

        Usage: foxledgectl [OPTIONS] <COMMAND>

        Commands:
          check    Check files offline and report every finding
          status   Show a daemon's state, peers, rule list, homes and parts
          explain  Show which rule matches a flow, where the flow goes, and why
          audit    Show who changed what, when and why
          drain    Ask a daemon to leave: it takes nothing new, finishes and stops
          packets  Ask an instance that routes packets
          trace    Print one flow's story from log lines of all instances, in order
          losses   Sum up what callers lost, by second, outcome and cause, from log lines
          help     Print this message or the help of the given subcommand(s)

        Options:
          -h, --help             Print help
          -V, --version          Print version
              --format <FORMAT>  How to write the report [default: text] [possible values: text, json]

        Exit codes:
          0  done
          1  a check has findings, or the daemon declined
          2  the command line is wrong
          3  the command could not be carried out, for instance because the daemon doesn't answer
        exit code 0
    "#]].assert_eq(&run_to_text(&["--help"]));
}

#[test]
fn prints_the_help_of_check() {
    expect![[r#"
        Check files offline and report every finding

        Usage: foxledgectl check [OPTIONS] <COMMAND>

        Commands:
          settings  Check a daemon's settings
          rules     Check a rule list
          packets   Check the settings of an instance that routes packets
          help      Print this message or the help of the given subcommand(s)

        Options:
          -h, --help             Print help
              --format <FORMAT>  How to write the report [default: text] [possible values: text, json]
        exit code 0
    "#]].assert_eq(&run_to_text(&["check", "--help"]));
    expect![[r#"
        Check a rule list

        Usage: foxledgectl check rules [OPTIONS] <FILE>...

        Arguments:
          <FILE>...  The parts of the list, in their order

        Options:
          -h, --help             Print help
              --format <FORMAT>  How to write the report [default: text] [possible values: text, json]
        exit code 0
    "#]].assert_eq(&run_to_text(&["check", "rules", "--help"]));
}

#[test]
fn prints_the_help_of_commands_that_call_a_daemon() {
    expect![[r#"
        Show which rule matches a flow, where the flow goes, and why

        Usage: foxledgectl explain [OPTIONS] --address <ADDRESS> --member <MEMBER> --kind <KIND> --daemon <IP:PORT>

        Options:
              --address <ADDRESS>   Service address that the caller wants
              --member <MEMBER>     Member that the flow belongs to
              --kind <KIND>         Kind of traffic [possible values: feed, bid, upload]
              --flow <HEX>          Also show what was decided for the flow with this id
              --daemon <IP:PORT>    The daemon's control address
              --wait-ms <MS>        How long to wait for an answer, in milliseconds [default: 5000]
              --ca <FILE>           PEM file of the authorities to trust; turns TLS on
              --certificate <FILE>  PEM file of the own certificate chain
              --key <FILE>          PEM file of the own private key
          -h, --help                Print help
              --format <FORMAT>     How to write the report [default: text] [possible values: text, json]
        exit code 0
    "#]].assert_eq(&run_to_text(&["explain", "--help"]));
    expect![[r#"
        Show who changed what, when and why

        Usage: foxledgectl audit [OPTIONS] --daemon <IP:PORT>

        Options:
              --after <NUMBER>      Only entries numbered above this [default: 0]
              --limit <COUNT>       Only the newest so many of them [default: 100]
              --follow              Go on with new entries until interrupted
              --daemon <IP:PORT>    The daemon's control address
              --wait-ms <MS>        How long to wait for an answer, in milliseconds [default: 5000]
              --ca <FILE>           PEM file of the authorities to trust; turns TLS on
              --certificate <FILE>  PEM file of the own certificate chain
              --key <FILE>          PEM file of the own private key
          -h, --help                Print help
              --format <FORMAT>     How to write the report [default: text] [possible values: text, json]
        exit code 0
    "#]].assert_eq(&run_to_text(&["audit", "--help"]));
}

#[test]
fn rejects_invalid_command_lines_with_exit_code_2() {
    let explain = ["explain", "--daemon", "127.0.0.1:1", "--address", "a", "--member", "m"];
    let run_explain = |more: &[&'static str]| run_to_text(&[&explain[..], more].concat());
    expect![[r#"
        error: the following required arguments were not provided:
          --kind <KIND>

        Usage: foxledgectl explain --address <ADDRESS> --member <MEMBER> --kind <KIND> --daemon <IP:PORT>

        For more information, try '--help'.
        exit code 2
    "#]].assert_eq(&run_explain(&[]));
    expect![[r#"
        error: invalid value 'claim' for '--kind <KIND>'
          [possible values: feed, bid, upload]

        For more information, try '--help'.
        exit code 2
    "#]]
    .assert_eq(&run_explain(&["--kind", "claim"]));
    expect![[r#"
        error: invalid value 'xyz' for '--flow <HEX>': must be up to 16 hex digits

        For more information, try '--help'.
        exit code 2
    "#]]
    .assert_eq(&run_explain(&["--kind", "bid", "--flow", "xyz"]));
    expect![[r#"
        error: invalid value 'localhost:1' for '--daemon <IP:PORT>': invalid socket address syntax

        For more information, try '--help'.
        exit code 2
    "#]]
    .assert_eq(&run_to_text(&["status", "--daemon", "localhost:1"]));
    expect![[r#"
        error: the following required arguments were not provided:
          --ca <FILE>
          --certificate <FILE>

        Usage: foxledgectl status --daemon <IP:PORT> --ca <FILE> --key <FILE> --certificate <FILE>

        For more information, try '--help'.
        exit code 2
    "#]]
    .assert_eq(&run_to_text(&["status", "--daemon", "127.0.0.1:1", "--key", "k"]));
}
