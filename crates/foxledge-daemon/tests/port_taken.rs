//! The error of a daemon whose port is taken.

mod common;

use anyhow::Result;
use common::{OneDaemon, STOP_LIMIT, start_daemon, write_settings};
use foxledge_fakes::harness::InstanceAddresses;

/// Guards against a system error that names neither the address nor the setting, so that an
/// operator can't tell which of four ports is taken. For each port in turn, a second daemon
/// shares only that one with the first.
#[test]
fn error_names_address_and_setting_of_taken_port() -> Result<()> {
    let first = OneDaemon::start("port-first", "")?;
    let taken = first.listen;
    let free = InstanceAddresses::pick()?;
    let cases = [
        ("data", taken.data, InstanceAddresses { data: taken.data, ..free }),
        ("peer", taken.peer, InstanceAddresses { peer: taken.peer, ..free }),
        ("control", taken.control, InstanceAddresses { control: taken.control, ..free }),
        ("admin", taken.admin, InstanceAddresses { admin: taken.admin, ..free }),
    ];
    for (key, address, listen) in cases {
        let name = format!("port-{key}");
        let settings = write_settings(&first.directory, &name, listen, "")?;
        let mut second = start_daemon(&name, &settings, &first.directory)?;
        let status = second.wait_exit(STOP_LIMIT)?;
        assert_eq!(status.code(), Some(1), "{key}");
        let expected = format!("can't listen on {address} (listen.{key})");
        assert!(second.log_text().contains(&expected), "{}", second.log_text());
    }
    Ok(())
}
