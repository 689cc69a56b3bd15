//! TLS configuration of the peer port.
//!
//! One authority signs all certificates. A peer whose certificate is valid for [`INSTANCE_NAME`] is
//! an instance; any other peer is an operator.

use std::{path::PathBuf, sync::Arc, time::Duration};

use anyhow::{Context, Result};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::WebPkiClientVerifier,
};

/// ALPN protocol name, which includes the version of the peer protocol.
const PROTOCOL: &[u8] = b"poplarspan/1";
/// Subject name in the certificates of instances. Clients use it as the server name.
pub const INSTANCE_NAME: &str = "instance.poplarspan.internal";
/// A connection on which no packet arrives for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of keep-alive packets, several per idle timeout.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of calls that a peer may have open on one connection.
const MAX_BIDI_STREAMS: u32 = 1024;
/// Maximum number of streams for the replicated log on one connection; there is one per group.
const MAX_UNI_STREAMS: u32 = 256;

/// PEM files of one side of a mutual TLS connection.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// Certificates of the authority that signs the certificates of all instances and operators.
    pub authority: PathBuf,
    /// Certificate chain of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// Certificates and private key of one process.
pub struct Credentials {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Credentials {
    /// Reads the certificates and the private key from PEM files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or does not contain a certificate or key. The error names
    /// the file.
    pub fn load(files: &TlsFiles) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&files.authority)? {
            roots.add(certificate).with_context(|| format!("{}", files.authority.display()))?;
        }
        let chain = read_certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key)
            .with_context(|| format!("cannot read a private key from {}", files.key.display()))?;
        Ok(Self { roots: Arc::new(roots), chain, key })
    }

    /// Derives a key for `context` and `salt` from the private key.
    pub(super) fn derive_key(&self, context: &str, salt: &[u8]) -> [u8; blake3::KEY_LEN] {
        let mut hasher = blake3::Hasher::new_derive_key(context);
        hasher.update(self.key.secret_der()).update(salt);
        *hasher.finalize().as_bytes()
    }

    /// Returns the QUIC configuration for accepting connections.
    ///
    /// # Errors
    ///
    /// Fails when the certificates are not usable.
    pub fn server_config(&self) -> Result<quinn::ServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), provider.clone())
                .build()?;
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut cfg = quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
        cfg.transport_config(transport_config());
        Ok(cfg)
    }

    /// Returns the QUIC configuration for opening connections.
    ///
    /// # Errors
    ///
    /// Fails when the certificates are not usable.
    pub fn client_config(&self) -> Result<quinn::ClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        tls.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut cfg = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        cfg.transport_config(transport_config());
        Ok(cfg)
    }
}

fn read_certificates(path: &std::path::Path) -> Result<Vec<CertificateDer<'static>>> {
    let read = || -> Result<Vec<_>> {
        Ok(CertificateDer::pem_file_iter(path)?.collect::<Result<Vec<_>, _>>()?)
    };
    let chain =
        read().with_context(|| format!("cannot read certificates from {}", path.display()))?;
    anyhow::ensure!(!chain.is_empty(), "{} contains no certificate", path.display());
    Ok(chain)
}

fn transport_config() -> Arc<quinn::TransportConfig> {
    let mut cfg = quinn::TransportConfig::default();
    cfg.max_idle_timeout(Some(
        IDLE_TIMEOUT.try_into().expect("idle timeout is within the range of QUIC"),
    ));
    cfg.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    cfg.max_concurrent_bidi_streams(MAX_BIDI_STREAMS.into());
    cfg.max_concurrent_uni_streams(MAX_UNI_STREAMS.into());
    Arc::new(cfg)
}

/// Returns whether the certificate of the peer belongs to an instance.
pub fn is_instance(connection: &quinn::Connection) -> bool {
    let Some(identity) = connection.peer_identity() else { return false };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else { return false };
    let Some(certificate) = chain.first() else { return false };
    let Ok(end_entity) = webpki::EndEntityCert::try_from(certificate) else { return false };
    let name = ServerName::try_from(INSTANCE_NAME).expect("INSTANCE_NAME is a valid DNS name");
    end_entity.verify_is_valid_for_subject_name(&name).is_ok()
}
