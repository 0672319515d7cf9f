//! The harness of integration tests and of the demo: starts the real binaries on loopback.
//!
//! A [`FleetPlan`] says what to start: data centres with their instances, services with their
//! backend servers, members, keys and rules. [`TestFleet::start`] starts platform, backend servers,
//! instances and one fabric for each data centre, publishes the list and the membership listing, and
//! waits until every instance is ready. Every process writes a log of its own into the fleet's
//! directory, which stays when a test fails, and is ended when its handle is dropped.
//!
//! Waits are always on a condition with a wide limit ([`wait_until`]).

pub mod actions;
pub mod backends;
pub mod callers;
pub mod directory;
pub mod fleet;
pub mod http;
pub mod links;
pub mod plan;
pub mod platforms;
pub mod ports;
pub mod processes;
pub mod settings;
pub mod waits;

pub use backends::{BackendPlan, TestBackend};
pub use callers::{CallerPlan, TestCaller};
pub use directory::make_directory;
pub use fleet::{CentreFabric, TestFleet, TestInstance};
pub use links::LinkBook;
pub use plan::{FleetPlan, LinkMode, ServiceSize};
pub use platforms::TestPlatform;
pub use ports::free_address;
pub use processes::{TestProcess, binary_path};
pub use settings::InstanceAddresses;
pub use waits::{START_LIMIT, wait_until, wait_until_ok};
