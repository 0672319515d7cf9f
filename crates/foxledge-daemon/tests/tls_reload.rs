//! Mutual TLS on control calls, and reloads of certificates.

mod common;

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use anyhow::{Result, bail};
use common::OneDaemon;
use foxledge_daemon::side::tls::INSTANCE_DOMAIN;
use foxledge_fakes::harness::{http, make_directory, wait_until};
use foxledge_wire::control::{StatusRequest, admin_client::AdminClient};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use tokio::time::timeout;
use tonic::transport::{Certificate, ClientTlsConfig, Endpoint, Identity};

const LIMIT: Duration = Duration::from_secs(30);
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// A certificate authority and a certificate issued by it, as PEM.
struct TestCertificates {
    ca: String,
    certificate: String,
    key: String,
}

impl TestCertificates {
    fn make() -> Result<TestCertificates> {
        let mut ca = CertificateParams::new(Vec::new())?;
        ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let ca_key = KeyPair::generate()?;
        let ca_text = ca.self_signed(&ca_key)?.pem();
        let issuer = Issuer::new(ca, ca_key);
        let key = KeyPair::generate()?;
        let params = CertificateParams::new(vec![INSTANCE_DOMAIN.to_owned()])?;
        let certificate = params.signed_by(&key, &issuer)?.pem();
        Ok(TestCertificates { ca: ca_text, certificate, key: key.serialize_pem() })
    }

    fn write(&self, directory: &Path) -> Result<()> {
        fs::write(directory.join("ca.pem"), &self.ca)?;
        fs::write(directory.join("certificate.pem"), &self.certificate)?;
        fs::write(directory.join("key.pem"), &self.key)?;
        Ok(())
    }

    fn client(&self) -> ClientTlsConfig {
        ClientTlsConfig::new()
            .domain_name(INSTANCE_DOMAIN)
            .ca_certificate(Certificate::from_pem(&self.ca))
    }

    fn client_with_identity(&self) -> ClientTlsConfig {
        self.client().identity(Identity::from_pem(&self.certificate, &self.key))
    }
}

/// Returns the `[tls]` table for certificates in `directory`.
fn tls_table(directory: &Path) -> String {
    let file = |name: &str| directory.join(name).display().to_string();
    format!(
        "[tls]\nca = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
        file("ca.pem"),
        file("certificate.pem"),
        file("key.pem")
    )
}

async fn status(address: SocketAddr, tls: Option<ClientTlsConfig>) -> Result<String> {
    let scheme = if tls.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))?;
    if let Some(tls) = tls {
        endpoint = endpoint.tls_config(tls)?;
    }
    let call = async {
        let mut client = AdminClient::new(endpoint.connect().await?);
        anyhow::Ok(client.status(StatusRequest {}).await?.into_inner().json)
    };
    match timeout(CALL_LIMIT, call).await {
        Ok(outcome) => outcome,
        Err(_) => bail!("no answer"),
    }
}

fn ask(address: SocketAddr, tls: Option<ClientTlsConfig>) -> Result<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(status(address, tls))
}

#[test]
fn refuses_clients_without_trusted_certificate() -> Result<()> {
    let (good, other) = (TestCertificates::make()?, TestCertificates::make()?);
    let directory = make_directory()?;
    good.write(&directory)?;
    let daemon = OneDaemon::start("tls-known", &tls_table(&directory))?;
    let control = daemon.listen.control;
    let known = ask(control, Some(good.client_with_identity()))?;
    assert!(known.contains("tls-known"), "{known}");
    assert!(ask(control, Some(good.client())).is_err(), "no certificate");
    let forged = good.client().identity(Identity::from_pem(&other.certificate, &other.key));
    assert!(ask(control, Some(forged)).is_err(), "a certificate of another authority");
    assert!(ask(control, None).is_err(), "no TLS");
    Ok(())
}

/// Guards against instances that lose each other when their certificates expire, because the files
/// are read only at the start. The files of two connected instances are replaced by those of a new
/// authority; then a third instance starts, which has only the new ones.
#[test]
fn reloads_replaced_certificates() -> Result<()> {
    let (old, new) = (TestCertificates::make()?, TestCertificates::make()?);
    let directory = make_directory()?;
    old.write(&directory)?;
    let first = OneDaemon::start("tls-first", &tls_table(&directory))?;
    let seeds = format!("[peers]\nseeds = [\"{}\"]\n", first.listen.control);
    let second = OneDaemon::start("tls-second", &format!("{seeds}{}", tls_table(&directory)))?;
    let sees_two = |daemon: &OneDaemon| {
        let metrics = http::get(daemon.listen.admin, "/metrics");
        metrics.is_ok_and(|got| got.body.contains("foxledge_peers{state=\"joining\"} 2"))
    };
    wait_until("both see two instances", LIMIT, || sees_two(&first) && sees_two(&second))?;

    new.write(&directory)?;
    let control = first.listen.control;
    wait_until("the new certificates are served", LIMIT, || {
        ask(control, Some(new.client_with_identity())).is_ok()
    })?;
    assert!(ask(control, Some(old.client_with_identity())).is_err());

    // The third instance trusts only the new certificates, so calls to it need them too.
    let third = OneDaemon::start("tls-third", &format!("{seeds}{}", tls_table(&directory)))?;
    let sees_three = |daemon: &OneDaemon| {
        let metrics = http::get(daemon.listen.admin, "/metrics");
        metrics.is_ok_and(|got| got.body.contains("foxledge_peers{state=\"joining\"} 3"))
    };
    wait_until("all see three instances", LIMIT, || {
        [&first, &second, &third].into_iter().all(sees_three)
    })
}
