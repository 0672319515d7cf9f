//! Platforms under test.

use std::{net::SocketAddr, path::Path};

use super::{
    ports::free_address,
    processes::TestProcess,
    waits::{START_LIMIT, wait_until_ok},
};
use crate::platform::orders::PlatformClient;

/// `TestPlatform` is one platform process.
#[derive(Debug)]
pub struct TestPlatform {
    /// Where readers call.
    pub address: SocketAddr,
    /// Orders to the platform.
    pub client: PlatformClient,
    /// Its process.
    pub process: TestProcess,
}

impl TestPlatform {
    /// Starts a platform with this ration and waits until it answers orders.
    pub fn start(reads_per_second: u32, directory: &Path) -> anyhow::Result<TestPlatform> {
        let (address, control) = (free_address()?, free_address()?);
        let arguments = [
            "platform".to_owned(),
            format!("--listen={address}"),
            format!("--control={control}"),
            format!("--reads-per-second={reads_per_second}"),
        ];
        let process = TestProcess::start("platform", "foxledge-fake", &arguments, directory)?;
        let client = PlatformClient::new(control);
        wait_until_ok("platform", START_LIMIT, || client.report())?;
        Ok(TestPlatform { address, client, process })
    }
}
