//! `--ca`, `--certificate` and `--key` against a daemon with mutual TLS.

mod canned;
mod common;

use std::{
    path::PathBuf,
    sync::{Arc, atomic::AtomicU64},
};

use common::run_to_text;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

/// The domain name in the certificate of every instance.
const INSTANCE_DOMAIN: &str = "foxledge.internal";

/// A temporary folder with a certificate authority and one certificate that it signed, as PEM
/// files.
struct CertificateFolder(PathBuf);

impl CertificateFolder {
    fn new(name: &str) -> CertificateFolder {
        let path = std::env::temp_dir().join(format!("foxledgectl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        let mut ca = CertificateParams::new(Vec::new()).unwrap();
        ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let ca_key = KeyPair::generate().unwrap();
        std::fs::write(path.join("ca.pem"), ca.self_signed(&ca_key).unwrap().pem()).unwrap();
        let issuer = Issuer::new(ca, ca_key);
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![INSTANCE_DOMAIN.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &issuer).unwrap().pem();
        std::fs::write(path.join("certificate.pem"), certificate).unwrap();
        std::fs::write(path.join("key.pem"), key.serialize_pem()).unwrap();
        CertificateFolder(path)
    }

    fn file(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    fn server(&self) -> Server {
        let read = |name| std::fs::read(self.0.join(name)).unwrap();
        let tls = ServerTlsConfig::new()
            .identity(Identity::from_pem(read("certificate.pem"), read("key.pem")))
            .client_ca_root(Certificate::from_pem(read("ca.pem")));
        Server::builder().tls_config(tls).unwrap()
    }
}

impl Drop for CertificateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

// Guards against a tool or daemon that accepts a peer without a certificate of its own authority.
#[test]
fn connects_only_with_certificates_of_the_same_authority() {
    let good = CertificateFolder::new("tls-good");
    let other = CertificateFolder::new("tls-other");
    let address = canned::start_daemon(good.server(), Arc::new(AtomicU64::new(0))).to_string();
    let status = |options: &[&str]| {
        run_to_text(&[&["status", "--daemon", &address, "--wait-ms", "3000"], options].concat())
    };
    let certificate_files =
        |folder: &CertificateFolder| [folder.file("certificate.pem"), folder.file("key.pem")];
    let ca = good.file("ca.pem");
    let [certificate, key] = certificate_files(&good);
    let known = status(&["--ca", &ca, "--certificate", &certificate, "--key", &key]);
    assert!(known.starts_with("toledo-1 in toledo: serving\n"), "{known}");
    let [certificate, key] = certificate_files(&other);
    let refused = [
        status(&[]),
        status(&["--ca", &ca]),
        status(&["--ca", &ca, "--certificate", &certificate, "--key", &key]),
    ];
    for text in refused {
        assert!(text.ends_with("exit code 3\n"), "{text}");
    }
    let [certificate, key] = certificate_files(&good);
    let wrong_ca = other.file("ca.pem");
    let text = status(&["--ca", &wrong_ca, "--certificate", &certificate, "--key", &key]);
    assert!(text.ends_with("exit code 3\n"), "a daemon of another authority: {text}");
    let missing = good.file("missing.pem");
    let text = status(&["--ca", &missing]);
    assert!(text.contains("can't read"), "{text}");
}
