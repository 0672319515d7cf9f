//! Certificates for the calls between instances, read anew when their files change.

use std::{
    fs,
    path::PathBuf,
    time::{Duration, SystemTime},
};

use anyhow::{Context, Result};
use foxledge_settings::TlsSettings;
use log::{info, warn};
use tokio::{sync::watch, time::sleep};
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

/// Name that every instance's certificate carries; instances are called by IP number.
pub const INSTANCE_DOMAIN: &str = "foxledge.internal";
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// `TlsBundle` is the certificates in use; none without TLS.
#[derive(Clone, Debug, Default)]
pub struct TlsBundle {
    /// Counts the readings of the files.
    pub generation: u64,
    /// For calls to other instances.
    pub client: Option<ClientTlsConfig>,
    /// For calls from other instances and operators.
    pub server: Option<ServerTlsConfig>,
}

/// `TlsFiles` is the files that the certificates are read from.
pub struct TlsFiles {
    settings: Option<TlsSettings>,
    modified_times: Vec<Option<SystemTime>>,
    bundle: TlsBundle,
}

impl TlsFiles {
    /// Reads the files; without settings the calls go without TLS.
    pub fn load(settings: Option<TlsSettings>) -> Result<TlsFiles> {
        let mut files =
            TlsFiles { settings, modified_times: Vec::new(), bundle: TlsBundle::default() };
        if let Some(settings) = &files.settings {
            files.modified_times = modified_times(settings);
            files.bundle = read_bundle(settings, 1)?;
        }
        Ok(files)
    }

    /// The certificates as last read.
    pub fn bundle(&self) -> TlsBundle {
        self.bundle.clone()
    }

    /// Reads the files again whenever one has changed, for ever.
    ///
    /// Certificates are replaced before they run out. A process that kept the
    /// old ones would be cut off from its peers when they do, all at once.
    pub async fn reload_on_change(mut self, bundles: watch::Sender<TlsBundle>) -> Result<()> {
        let Some(settings) = self.settings.take() else {
            std::future::pending::<()>().await;
            return Ok(());
        };
        loop {
            sleep(CHECK_INTERVAL).await;
            let changed = modified_times(&settings);
            if changed == self.modified_times {
                continue;
            }
            // The files may change one after the other; a reading in between fails and is repeated.
            match read_bundle(&settings, self.bundle.generation + 1) {
                Ok(bundle) => {
                    info!("link: certificates read anew");
                    self.modified_times = changed;
                    self.bundle = bundle.clone();
                    bundles.send(bundle)?;
                }
                Err(error) => warn!("link: certificates kept, the new ones are bad: {error:#}"),
            }
        }
    }
}

fn modified_times(settings: &TlsSettings) -> Vec<Option<SystemTime>> {
    let paths = [&settings.ca, &settings.certificate, &settings.key];
    paths.map(|path| fs::metadata(path).and_then(|data| data.modified()).ok()).to_vec()
}

fn read_bundle(settings: &TlsSettings, generation: u64) -> Result<TlsBundle> {
    let ca = Certificate::from_pem(read_file(&settings.ca)?);
    let certificate = read_file(&settings.certificate)?;
    let identity = Identity::from_pem(certificate, read_file(&settings.key)?);
    let client = ClientTlsConfig::new()
        .domain_name(INSTANCE_DOMAIN)
        .ca_certificate(ca.clone())
        .identity(identity.clone());
    let server = ServerTlsConfig::new().identity(identity).client_ca_root(ca);
    // Building a server is the check that the files go together.
    tonic::transport::Server::builder().tls_config(server.clone()).context("certificates")?;
    Ok(TlsBundle { generation, client: Some(client), server: Some(server) })
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>> {
    fs::read(path).with_context(|| format!("can't read {}", path.display()))
}
