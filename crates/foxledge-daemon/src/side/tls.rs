//! Certificates for calls between instances, reloaded when their files change.

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

/// Domain name in the certificates of all instances, as they are called by IP address.
pub const INSTANCE_DOMAIN: &str = "foxledge.internal";
/// Time between two checks of the files for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// The certificates in use; empty without TLS.
#[derive(Clone, Debug, Default)]
pub struct TlsBundle {
    /// Increases with each reload of the files.
    pub generation: u64,
    /// Configuration of calls to other instances.
    pub client: Option<ClientTlsConfig>,
    /// Configuration of the server for other instances and operators.
    pub server: Option<ServerTlsConfig>,
}

/// The files of the certificates and their current contents.
pub struct TlsFiles {
    settings: Option<TlsSettings>,
    modified_times: Vec<Option<SystemTime>>,
    bundle: TlsBundle,
}

impl TlsFiles {
    /// Loads the files; calls are made without TLS when `settings` is none.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or is invalid.
    pub fn load(settings: Option<TlsSettings>) -> Result<TlsFiles> {
        let mut files =
            TlsFiles { settings, modified_times: Vec::new(), bundle: TlsBundle::default() };
        if let Some(settings) = &files.settings {
            files.modified_times = modified_times(settings);
            files.bundle = read_bundle(settings, 1)?;
        }
        Ok(files)
    }

    /// Returns the certificates as last loaded.
    pub fn bundle(&self) -> TlsBundle {
        self.bundle.clone()
    }

    /// Reloads the files whenever one of them has changed. Never returns without an error.
    ///
    /// Certificates are replaced before they expire. A process that went on with the old
    /// ones would lose all its peers at their expiry.
    ///
    /// # Errors
    ///
    /// Fails when the receivers of the certificates have been dropped.
    pub async fn reload_on_change(mut self, bundles: watch::Sender<TlsBundle>) -> Result<()> {
        let Some(settings) = self.settings.take() else {
            std::future::pending::<()>().await;
            return Ok(());
        };
        loop {
            sleep(CHECK_INTERVAL).await;
            let modified_times = modified_times(&settings);
            if modified_times == self.modified_times {
                continue;
            }
            // The files may be replaced one after the other; a reload in between fails and is
            // retried.
            match read_bundle(&settings, self.bundle.generation + 1) {
                Ok(bundle) => {
                    info!("link: certificates read anew");
                    self.modified_times = modified_times;
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
