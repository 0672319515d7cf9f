//! Calls to a daemon's `Admin` service.

use std::{fs, future::Future, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, Result, anyhow};
use clap::ArgMatches;
use foxledge_wire::control::{
    AuditRequest, DrainRequest, ExplainRequest, StatusRequest, admin_client::AdminClient,
};
use serde_json::Value;
use tokio::time::timeout;
use tonic::{
    Response, Status,
    transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity},
};

/// Name that every instance's certificate carries; daemons are called by IP number.
const INSTANCE_DOMAIN: &str = "foxledge.internal";

/// `DaemonClient` calls one daemon.
pub struct DaemonClient {
    address: SocketAddr,
    wait: Duration,
    client: AdminClient<Channel>,
}

impl DaemonClient {
    /// Connects to the daemon that the command line names.
    pub async fn connect(matches: &ArgMatches) -> Result<DaemonClient> {
        let address = *matches.get_one::<SocketAddr>("daemon").context("--daemon is missing")?;
        let wait = matches.get_one::<u64>("wait_ms").copied().unwrap_or(5000);
        let wait = Duration::from_millis(wait);
        let tls = tls_config(matches)?;
        let scheme = if tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))?;
        if let Some(tls) = tls {
            endpoint = endpoint.tls_config(tls).context("the TLS files can't be used")?;
        }
        let connected = timeout(wait, endpoint.connect()).await;
        let channel = connected
            .map_err(|_| no_answer(address, wait))?
            .with_context(|| format!("can't connect to {address}"))?;
        Ok(DaemonClient { address, wait, client: AdminClient::new(channel) })
    }

    /// The daemon's status report.
    pub async fn status(&mut self) -> Result<Value> {
        let (address, wait) = (self.address, self.wait);
        let reply = answer(address, wait, self.client.status(StatusRequest {})).await?;
        read_json(&reply.json)
    }

    /// The daemon's explanation of a flow.
    pub async fn explain(&mut self, request: ExplainRequest) -> Result<Value> {
        let (address, wait) = (self.address, self.wait);
        let reply = answer(address, wait, self.client.explain(request)).await?;
        read_json(&reply.json)
    }

    /// Audit entries numbered above `after`, the oldest first; as many as the
    /// daemon gives at once.
    pub async fn audit(&mut self, after: u64) -> Result<Vec<Value>> {
        let (address, wait) = (self.address, self.wait);
        let request = AuditRequest { after, limit: 0 };
        let reply = answer(address, wait, self.client.audit(request)).await?;
        match read_json(&reply.json)? {
            Value::Array(entries) => Ok(entries),
            _ => Err(anyhow!("{address} answered with something else than audit entries")),
        }
    }

    /// Asks the daemon to leave; true when it will.
    pub async fn drain(&mut self) -> Result<bool> {
        let (address, wait) = (self.address, self.wait);
        let reply = answer(address, wait, self.client.drain(DrainRequest {})).await?;
        Ok(reply.accepted)
    }
}

async fn answer<T>(
    address: SocketAddr,
    wait: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T> {
    match timeout(wait, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(anyhow!("{address} refused: {}", status.message())),
        Err(_) => Err(no_answer(address, wait)),
    }
}

fn no_answer(address: SocketAddr, wait: Duration) -> anyhow::Error {
    anyhow!("no answer from {address} within {} ms", wait.as_millis())
}

fn read_json(text: &str) -> Result<Value> {
    serde_json::from_str(text).context("the daemon's answer is no JSON")
}

fn tls_config(matches: &ArgMatches) -> Result<Option<ClientTlsConfig>> {
    let Some(ca) = matches.get_one::<PathBuf>("ca") else {
        return Ok(None);
    };
    let ca = Certificate::from_pem(read_file(ca)?);
    let config = ClientTlsConfig::new().domain_name(INSTANCE_DOMAIN).ca_certificate(ca);
    let certificate = matches.get_one::<PathBuf>("certificate");
    let key = matches.get_one::<PathBuf>("key");
    let (Some(certificate), Some(key)) = (certificate, key) else {
        return Ok(Some(config));
    };
    let identity = Identity::from_pem(read_file(certificate)?, read_file(key)?);
    Ok(Some(config.identity(identity)))
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>> {
    fs::read(path).with_context(|| format!("can't read {}", path.display()))
}
