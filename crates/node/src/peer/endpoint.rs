//! The socket of the peer port.
//!
//! A process that starts on the address of one that has ended gets packets of connections that it
//! does not know. It answers them with a stateless reset (RFC 9000, section 10.3), so that the peer
//! opens a new connection at once instead of waiting until the old one has been idle for long. The
//! peer recognises the reset by a token that both processes derive from the same key.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use anyhow::{Context, Result};
use quinn::crypto::{CryptoError, HmacKey};

use super::tls::Credentials;

/// Contexts in which keys are derived from the private key of the certificate.
const RESET_CONTEXT: &str = "poplarspan peer port stateless reset 1";
const ID_CONTEXT: &str = "poplarspan peer port connection ids 1";

/// Opens the peer port on `address`.
///
/// # Errors
///
/// Fails when the address is in use or the certificates are not usable.
pub fn listen(credentials: &Credentials, address: SocketAddr) -> Result<quinn::Endpoint> {
    let socket = UdpSocket::bind(address)
        .with_context(|| format!("cannot listen on peer address {address}"))?;
    let bound = socket.local_addr()?.to_string();
    let reset_key = ResetKey(credentials.derive_key(RESET_CONTEXT, bound.as_bytes()));
    let id_key = credentials.derive_key(ID_CONTEXT, bound.as_bytes());
    let id_key = u64::from_le_bytes(*id_key.first_chunk().context("key is too short")?);
    let mut cfg = quinn::EndpointConfig::new(Arc::new(reset_key));
    // Ids with a checksum under this key tell packets of earlier connections from other ones.
    cfg.cid_generator(move || Box::new(quinn_proto::HashedConnectionIdGenerator::from_key(id_key)));
    let runtime = quinn::default_runtime().context("no runtime for the peer port")?;
    let server = credentials.server_config()?;
    Ok(quinn::Endpoint::new(cfg, Some(server), socket, runtime)?)
}

/// Key of the tokens in stateless resets.
struct ResetKey([u8; blake3::KEY_LEN]);

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        blake3::Hasher::new_keyed(&self.0).update(data).finalize_xof().fill(signature_out);
    }

    fn signature_len(&self) -> usize {
        blake3::OUT_LEN
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let own = blake3::keyed_hash(&self.0, data);
        // `Hash` compares in constant time.
        let is_same = blake3::Hash::from_slice(signature).is_ok_and(|other| own == other);
        if is_same { Ok(()) } else { Err(CryptoError) }
    }
}
