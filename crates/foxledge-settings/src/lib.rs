//! Settings of the daemon, read from a TOML file and checked as a whole.
//!
//! All findings are reported, each with file, line and key; the daemon doesn't start with
//! settings that have any. `docs/examples/foxledged.toml` shows every key.

mod checks;
pub mod choices;
pub mod packet_settings;
mod parse;
pub mod settings;

pub use choices::{PlacementChoice, PolicyChoice};
pub use packet_settings::{
    AdmissionSettings, PacketSettings, load_packet_settings, parse_packet_settings,
};
pub use parse::{load_settings, parse_settings};
pub use settings::{
    AuditSettings, DaemonSettings, DeskSettings, FlowSettings, InstanceSettings, ListenSettings,
    LogSettings, PeerSettings, PlatformSettings, StopSettings, TlsSettings, TrialSettings,
};
