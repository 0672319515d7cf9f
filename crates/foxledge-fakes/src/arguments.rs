//! Command line arguments that several stand-ins have.

use std::net::SocketAddr;

use clap::{Arg, value_parser};

/// An optional `--name IP:PORT`.
pub(crate) fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

/// A `--name N` with a default.
pub(crate) fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option_arg(name, "N", default, help).value_parser(value_parser!(u64))
}

/// A `--name VALUE` with a default.
pub(crate) fn option_arg(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value).default_value(default).help(help)
}
