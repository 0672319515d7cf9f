//! The client of a daemon's `Admin` service.

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

/// The domain name in the certificate of every instance, as daemons are addressed by IP address.
const INSTANCE_DOMAIN: &str = "foxledge.internal";

/// A client that is connected to one daemon.
pub struct DaemonClient {
    address: SocketAddr,
    call_timeout: Duration,
    client: AdminClient<Channel>,
}

impl DaemonClient {
    /// Connects to the daemon that the command line names.
    ///
    /// # Errors
    ///
    /// Returns an error when the TLS files can't be used, or the daemon doesn't accept the
    /// connection before the timeout.
    pub async fn connect(matches: &ArgMatches) -> Result<DaemonClient> {
        let address = *matches.get_one::<SocketAddr>("daemon").context("--daemon is missing")?;
        let call_timeout = matches.get_one::<u64>("wait_ms").copied().unwrap_or(5000);
        let call_timeout = Duration::from_millis(call_timeout);
        let tls = tls_config(matches)?;
        let scheme = if tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))?;
        if let Some(tls) = tls {
            endpoint = endpoint.tls_config(tls).context("can't use the TLS files")?;
        }
        let connection = timeout(call_timeout, endpoint.connect()).await;
        let channel = connection
            .map_err(|_| timeout_error(address, call_timeout))?
            .with_context(|| format!("can't connect to {address}"))?;
        Ok(DaemonClient { address, call_timeout, client: AdminClient::new(channel) })
    }

    /// Requests the status report of the daemon.
    pub async fn status(&mut self) -> Result<Value> {
        let (address, call_timeout) = (self.address, self.call_timeout);
        let reply =
            await_reply(address, call_timeout, self.client.status(StatusRequest {})).await?;
        parse_json(&reply.json)
    }

    /// Requests the daemon's explanation of a flow.
    pub async fn explain(&mut self, request: ExplainRequest) -> Result<Value> {
        let (address, call_timeout) = (self.address, self.call_timeout);
        let reply = await_reply(address, call_timeout, self.client.explain(request)).await?;
        parse_json(&reply.json)
    }

    /// Requests the audit entries with numbers above `after`, the oldest first. The daemon limits
    /// the number of entries in one reply.
    pub async fn audit(&mut self, after: u64) -> Result<Vec<Value>> {
        let (address, call_timeout) = (self.address, self.call_timeout);
        let request = AuditRequest { after, limit: 0 };
        let reply = await_reply(address, call_timeout, self.client.audit(request)).await?;
        match parse_json(&reply.json)? {
            Value::Array(entries) => Ok(entries),
            _ => Err(anyhow!("the reply of {address} is not a list of audit entries")),
        }
    }

    /// Requests that the daemon drains and stops, and returns whether it accepts.
    pub async fn drain(&mut self) -> Result<bool> {
        let (address, call_timeout) = (self.address, self.call_timeout);
        let reply = await_reply(address, call_timeout, self.client.drain(DrainRequest {})).await?;
        Ok(reply.accepted)
    }
}

async fn await_reply<T>(
    address: SocketAddr,
    call_timeout: Duration,
    call: impl Future<Output = Result<Response<T>, Status>>,
) -> Result<T> {
    match timeout(call_timeout, call).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(anyhow!("{address} refused: {}", status.message())),
        Err(_) => Err(timeout_error(address, call_timeout)),
    }
}

fn timeout_error(address: SocketAddr, call_timeout: Duration) -> anyhow::Error {
    anyhow!("no answer from {address} within {} ms", call_timeout.as_millis())
}

fn parse_json(text: &str) -> Result<Value> {
    serde_json::from_str(text).context("the daemon's reply is not valid JSON")
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
